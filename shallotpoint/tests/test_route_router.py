"""The whole router for routes, over a key-value store in memory."""

import asyncio
import contextlib
import json
import random
import time

import aiohttp
from testtools.matchers import LessThan

from shallotpoint.controllers.sections import ConfigSection, HostsSection
from shallotpoint.coordination.kv import Delete, Put, Unavailable
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.daemons.route_router import Edges, RouteRouter
from shallotpoint.duties import CallOutcome, Duty
from shallotpoint.loop import run_loop
from shallotpoint.policy.configuration import InvalidConfig
from shallotpoint.policy.routes import RouteKind
from shallotpoint.policy.scheduler import STOP_RETRY_S
from shallotpoint.settings import (
    BoundSettings,
    DutySettings,
    PaceSettings,
    RouteListenSettings,
    RouterSettings,
    RouteSettings,
    StoreSettings,
)
from shallotpoint.testing.cases import TestCase, eventually
from shallotpoint.testing.ports import free_address
from shallotpoint.testing.routing import HOST, KEY, PlainDialect, config_of, route
from shallotpoint.testing.scripted_upstream import ScriptedConnection, ScriptedUpstream
from shallotpoint.tests.test_directory import put_upstream, read_upstream
from shallotpoint.tests.test_route_run import hang

ROUTE = route(RouteKind.NON_IDEMPOTENT)
SLOTS = 4  # of the upstream


def read_config(raw):
    try:
        return config_of(ROUTE, version=json.loads(raw)["version"])
    except (ValueError, KeyError) as exc:
        raise InvalidConfig(repr(exc)) from exc


def config(version):
    return Put("config", json.dumps({"version": version}).encode())


def settings(name, grace_s=2.5, duties=None, paced=False):
    return RouteSettings(
        RouterSettings(name, "here"),
        RouteListenSettings(*(free_address() for _ in range(4))),
        StoreSettings("127.0.0.1:9"),
        BoundSettings(grace_s=grace_s),
        duties,
        pace=PaceSettings(enabled=paced),
    )


@contextlib.asynccontextmanager
async def router(
    kv,
    name="one",
    duty_calls=None,
    held_duties=(Duty.USAGE,),
    read=read_config,
    **options,
):
    edges = Edges(
        kv=kv,
        read_config=read,
        read_upstream=lambda n, raw: _in_desk(read_upstream(n, raw)),
        dialect=PlainDialect(),
        config_key="config",
        upstream_prefix="u/",
        shared_prefix="shared/",
        duties=frozenset(held_duties) if duty_calls else frozenset(),
        duty_calls=duty_calls,
    )
    made = RouteRouter(settings(name, **options), edges, seed=1)
    async with made.running():
        yield made


def _in_desk(host):
    return type(host)(
        host.name, host.role, host.address, host.data_centre, pool="desk", slots=SLOTS
    )


class UnlistedKeyValue(MemoryKeyValue):
    """A service that gives no listing of upstreams until it is released."""

    is_released = False

    async def list_prefix(self, prefix):
        if prefix == "u/" and not self.is_released:
            raise Unavailable("no listing")
        return await super().list_prefix(prefix)


class RouterCase(TestCase):
    run_loop = staticmethod(run_loop)

    def play(self, scenario, *scripts):
        async def main():
            kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
            behind = ScriptedUpstream(*scripts)
            async with behind.serving() as address, aiohttp.ClientSession() as session:
                await kv.txn([], [config(3), put_upstream("u1", address)])
                return await scenario(kv, session)

        return self.run_async(main())


async def ask(session, made, *, request="r1", left_ms=1_000):
    headers = {
        "host": HOST,
        "x-request-id": request,
        "x-key": KEY,
        "x-time-left-ms": str(left_ms),
    }
    url = f"http://{made.settings.listen.callers}/desk/1"
    async with session.post(url, headers=headers, data=b"x") as resp:
        return resp.status, await resp.read(), resp.headers


async def readiness(session, made):
    url = f"http://{made.settings.listen.balancer}/readyz"
    async with session.get(url) as resp:
        return resp.status


class StartTests(RouterCase):
    def test_router_is_ready_once_it_is_configured_and_serves(self):
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                ready = await readiness(session, made)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                return ready, (await ask(session, made))[0]

        self.assertEqual((200, 200), self.play(scenario))

    def test_recover_router_without_the_list_of_upstreams_is_not_ready(self):
        # Guards against a router that says that it is ready and refuses every request,
        # as it has never read which upstreams there are.
        async def scenario(kv, session):
            unlisted = UnlistedKeyValue(
                clock=time.monotonic, rng=random.Random(2), store=kv.store
            )
            async with router(unlisted) as made:
                await eventually(made._is_informed)
                await eventually(lambda: made.board.get(ConfigSection).config.version)
                before = await readiness(session, made)
                unlisted.is_released = True
                await eventually(made.ready)
                return before, await readiness(session, made)

        self.assertEqual((503, 200), self.play(scenario))

    def test_upstreams_are_paced_only_if_the_settings_ask_for_it(self):
        async def scenario(kv, session):
            found = []
            for paced in (False, True):
                async with router(kv, paced=paced) as made:
                    await eventually(made.ready)
                    scheduler = made.pools.runner("desk").scheduler
                    await eventually(lambda s=scheduler: s.upstreams)
                    status, *_ = await ask(session, made)
                    made.pools.update_gauges(made.metrics)
                    body, _ = made.metrics.render()
                    gauge = b"shallotpoint_paced_upstreams{" in body
                    found.append((status, scheduler.pacing is not None, gauge))
            return found

        self.assertEqual([(200, False, False), (200, True, True)], self.play(scenario))

    def test_router_without_configuration_refuses_as_not_run(self):
        async def scenario(kv, session):
            kv.faults.down = True
            async with router(kv) as made:
                status, _, headers = await ask(session, made)
                return status, "retry-after" in headers, await readiness(session, made)

        self.assertEqual((503, True, 503), self.play(scenario))

    def test_older_and_unreadable_configurations_are_ignored(self):
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                versions = []
                for put in (config(2), Put("config", b"\xff"), config(5), config(4)):
                    await kv.txn([], [put])
                    await asyncio.sleep(0.05)
                    section = made.board.get(ConfigSection)
                    versions.append(section.config.version)
                return versions

        self.assertEqual([3, 3, 5, 5], self.play(scenario))

    def test_changed_bounds_are_taken_over(self):
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                made.take_bounds(BoundSettings(withdrawn_ms=900, retry_slack=3.0))
                limit_s = made.keys.rule().max_age_s
                return limit_s, [budget.shared.slack for budget in made._budgets]

        limit_s, slacks = self.play(scenario)
        self.assertThat(limit_s, LessThan(0.9))
        self.assertEqual([3.0], slacks)


class PeerTests(RouterCase):
    def test_routers_hear_what_the_others_have_on_upstreams(self):
        async def scenario(kv, session):
            async with router(kv, "one") as one, router(kv, "two") as two:
                await eventually(lambda: one.ready() and two.ready())
                await eventually(lambda: one.pools.runner("desk").scheduler.upstreams)
                asking = asyncio.create_task(ask(session, one, left_ms=5_000))
                slots = two.pools.runner("desk").scheduler.upstreams
                await eventually(lambda: slots, timeout_s=3.0)
                await eventually(
                    lambda: (
                        two.pools.runner("desk").scheduler.upstreams["u1"].peer_running
                        == 1
                    )
                )
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)

        self.play(scenario, hang)

    def test_router_that_the_store_turns_away_goes_on_by_its_peers_word(self):
        async def scenario(kv, session):
            own_kv = MemoryKeyValue(
                clock=time.monotonic, rng=random.Random(2), store=kv.store
            )
            async with router(kv, "one") as one, router(own_kv, "two") as two:
                await eventually(lambda: one.ready() and two.ready())
                await eventually(lambda: len(_routers(two)) == 2 == len(_routers(one)))
                await eventually(lambda: two.peers is not None)
                own_kv.faults.down = True
                await kv.txn([], [config(4)])
                await eventually(
                    lambda: two.board.get(ConfigSection).config.version == 4
                )
                await asyncio.sleep(one.bounds.withdrawn_ms / 1000)
                return two.keys.is_current(), (await ask(session, two))[0]

        self.assertEqual((True, 200), self.play(scenario))


def _routers(made):
    return made.board.get(HostsSection).routers()


class AcceptingPlatform:
    def __init__(self):
        self.reports = []

    async def report_usage(self, fence, window, counts):
        self.reports.append((fence, counts.get("school", 0)))
        return CallOutcome.DONE

    async def close(self):
        pass


class DutyTests(RouterCase):
    def test_usage_of_two_routers_is_reported_by_one(self):
        duties = DutySettings("127.0.0.1:9", "usage", window_s=0.5)
        calls = AcceptingPlatform()

        async def scenario(kv, session):
            options = {"duty_calls": calls, "duties": duties}
            async with router(kv, "one", **options) as one:
                async with router(kv, "two", **options) as two:
                    await eventually(lambda: one.ready() and two.ready())
                    for made in (one, two):
                        scheduler = made.pools.runner("desk").scheduler
                        await eventually(lambda s=scheduler: s.upstreams)
                        status, _, _ = await ask(session, made)
                        self.assertEqual(200, status)
                    await eventually(
                        lambda: sum(n for _, n in calls.reports) == 2, timeout_s=20.0
                    )
                    await asyncio.gather(one.stop(), two.stop())
                    return kv.store.get("shared/duties/usage")

        # A router that stops gives up the duty.
        self.assertIsNone(self.play(scenario))
        self.assertEqual(1, len({fence for fence, _ in calls.reports}))

    def test_no_store_call_for_windows_without_a_length(self):
        async def scenario(kv, session):
            duties = DutySettings("127.0.0.1:9", "usage")
            with self.assertLogs("shallotpoint.router", "WARNING") as logged:
                async with router(
                    kv, duty_calls=AcceptingPlatform(), duties=duties
                ) as made:
                    await eventually(made.ready)
                    await asyncio.sleep(1.0)
            keys = [entry.key for entry in kv.store.list_prefix("shared").entries]
            return logged.output, [key for key in keys if "duties" in key]

        logged, keys = self.play(scenario)
        self.assertEqual([], keys)
        self.assertIn("no usage is reported, as the window length is 0", logged[0])


class StopTests(RouterCase):
    def test_lost_request_that_crosses_the_end_of_a_planned_stop(self):
        async def answer_late(line: ScriptedConnection) -> None:
            await asyncio.sleep(0.8)
            await line.answer(200, b"whole")

        async def scenario(kv, session):
            async with router(kv, grace_s=5.5) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                await ask(session, made, left_ms=2_000)
                await made.stop()
                asking = asyncio.create_task(ask(session, made, left_ms=1_200))
                await asyncio.sleep(0.02)
            return await asking

        status, body, _ = self.play(scenario, answer_late)
        self.assertEqual((200, b"whole"), (status, body))

    def test_stop_is_bounded_also_with_work_that_does_not_end(self):
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                asking = asyncio.create_task(ask(session, made, left_ms=9_000))
                await eventually(lambda: made.pools.in_flight)
                started_s = time.monotonic()
                stopping = asyncio.create_task(made.stop())
                await asyncio.sleep(0.05)
                ready = await readiness(session, made)
                status, _, headers = await ask(
                    session, made, request="r2", left_ms=9_000
                )
                await stopping
                took_s = time.monotonic() - started_s
                asking.cancel()
                await asyncio.gather(asking, return_exceptions=True)
            return ready, status, float(headers["retry-after"]), took_s

        # The second request would end after the router: it is refused as not run.
        ready, status, retry_s, took_s = self.play(scenario, hang)
        self.assertEqual((503, 503), (ready, status))
        self.assertEqual(STOP_RETRY_S, retry_s)
        self.assertThat(took_s, LessThan(2.5))

    def test_lost_request_in_the_queue_is_refused_if_the_stop_would_cut_it(self):
        # Guards against a request that is passed on late in the grace time and cut.
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                scheduler = made.pools.runner("desk").scheduler
                await eventually(lambda: scheduler.upstreams)
                asking = [
                    asyncio.create_task(
                        ask(session, made, request=f"r{number}", left_ms=9_000)
                    )
                    for number in range(SLOTS + 1)
                ]
                await eventually(lambda: scheduler.waiting_count)
                # As known from earlier requests.
                scheduler._state.demand["desk"].mean_hold_s = 1.0
                stopping = asyncio.create_task(made.stop())
                done, _ = await asyncio.wait(
                    asking, timeout=1.0, return_when=asyncio.FIRST_COMPLETED
                )
                answers = [task.result() for task in done]
                await stopping
            await asyncio.gather(*asking, return_exceptions=True)
            return [(status, headers["retry-after"]) for status, _, headers in answers]

        self.assertEqual([(503, f"{STOP_RETRY_S:.2f}")], self.play(scenario, hang))

    def test_lost_request_whose_body_ends_late_in_a_stop_is_refused(self):
        # Guards against a request that is checked only as its head arrives.
        received = []

        async def answer(line: ScriptedConnection) -> None:
            received.append(line.request)
            await line.answer()

        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                host, _, port = made.settings.listen.callers.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(
                    f"POST /desk/1 HTTP/1.1\r\nhost: {HOST}\r\nx-request-id: r1\r\n"
                    f"x-key: {KEY}\r\ncontent-length: 4\r\n\r\nbo".encode()
                )
                await asyncio.sleep(0.1)
                stopping = asyncio.create_task(made.stop())
                await asyncio.sleep(0.1)
                writer.write(b"dy")
                status = await reader.readline()
                writer.close()
                await stopping
                return status

        status = self.play(scenario, answer)
        self.assertEqual(b"HTTP/1.1 503 Service Unavailable\r\n", status)
        self.assertEqual([], received)

    def test_work_that_does_not_end_gets_an_answer_at_the_end_of_a_stop(self):
        # Guards against a cut connection, and against status 500 of the server library.
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                asking = asyncio.create_task(ask(session, made, left_ms=9_000))
                await eventually(lambda: made.pools.in_flight)
                await made.stop()
            status, body, _ = await asking
            return status, json.loads(body)["error"]["executed"]

        with self.assertNoLogs("uvicorn.error", "ERROR"):
            answer = self.play(scenario, hang)
        self.assertEqual((502, "unknown"), answer)

    def test_work_in_flight_ends_whole(self):
        async def slow(line: ScriptedConnection) -> None:
            await asyncio.sleep(0.4)
            await line.answer()

        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(made.ready)
                await eventually(lambda: made.pools.runner("desk").scheduler.upstreams)
                asking = asyncio.create_task(ask(session, made))
                await eventually(lambda: made.pools.in_flight)
                await made.stop()
                return (await asking)[0]

        self.assertEqual(200, self.play(scenario, slow))


class SecretTests(RouterCase):
    def test_secret_that_the_store_has_lost_is_written_again(self):
        # Guards against a new router that makes another secret, which no peer accepts.
        async def scenario(kv, session):
            async with router(kv) as made:
                await eventually(lambda: kv.store.get("shared/secret") is not None)
                first = kv.store.get("shared/secret").value
                await eventually(
                    lambda: "shared/secret" in made.directory.routers.copy.entries
                )
                await kv.txn([], [Delete("shared/secret")])
                await eventually(
                    lambda: kv.store.get("shared/secret") is not None, timeout_s=8.0
                )
                return first, kv.store.get("shared/secret").value

        first, second = self.play(scenario)
        self.assertEqual(first, second)
