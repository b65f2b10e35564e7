import asyncio
from unittest import mock

from shallotpoint.controllers.credits import CreditController
from shallotpoint.tasks import Tasks, wait_set
from shallotpoint.testing.cases import TestCase, eventually

TURNS = 6  # of the event loop; more than a wake-up takes


class WakeUpTests(TestCase):
    """A stop may come in any turn of the loop between a wake-up and its task."""

    async def is_stopped(self, main, wake_up, turns):
        tasks = Tasks()
        tasks.start("loop", main)
        for _ in range(TURNS):
            await asyncio.sleep(0)
        wake_up()
        for _ in range(turns):
            await asyncio.sleep(0)
        stopping = asyncio.create_task(tasks.stop())
        _, pending = await asyncio.wait([stopping], timeout=0.5)
        stopping.cancel()
        return not pending

    def test_a_stop_is_not_lost_in_a_wake_up(self):
        async def main(turns):
            event = asyncio.Event()

            async def loop():
                while True:
                    await wait_set(event, 10.0)
                    event.clear()

            return await self.is_stopped(loop(), event.set, turns)

        stopped = [self.run_async(main(turns)) for turns in range(TURNS)]
        self.assertEqual([True] * TURNS, stopped)

    def test_a_router_that_shares_credits_stops_though_a_tick_is_due(self):
        async def main(turns):
            loop = asyncio.get_running_loop()
            names = ("board", "gossip", "pools", "ledger")
            parts = [mock.MagicMock(name=name) for name in names]
            credits = CreditController(
                *parts, name="r", clock=loop.time, notify_peers=lambda: None
            )
            credits._last_tick_s = loop.time()
            with mock.patch.object(credits, "tick"):
                return await self.is_stopped(credits.run(), credits.tick_soon, turns)

        stopped = [self.run_async(main(turns)) for turns in range(TURNS)]
        self.assertEqual([True] * TURNS, stopped)

    def test_a_wait_that_is_over_says_whether_the_event_was_set(self):
        async def main():
            event = asyncio.Event()
            before = await wait_set(event, 0.01)
            event.set()
            return before, await wait_set(event, 0.01)

        self.assertEqual((False, True), self.run_async(main()))


class RestartTests(TestCase):
    def test_task_that_dies_starts_again_until_it_is_stopped(self):
        # Guards against a router that no longer follows the list of hosts, unseen.
        async def main():
            runs = []

            async def run():
                runs.append(len(runs))
                if len(runs) < 3:
                    raise RecursionError("an odd entry")
                await asyncio.sleep(10.0)

            tasks = Tasks()
            with mock.patch("shallotpoint.tasks.RESTART_PAUSE_S", 0.001):
                tasks.start_lasting("loop", run)
                await eventually(lambda: len(runs) == 3)
            await tasks.stop()
            return runs

        self.assertEqual([0, 1, 2], self.run_async(main()))
