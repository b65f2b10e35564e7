"""The stand-in of an engine: its slots and the requests that it reads."""

import asyncio

from shallotpoint.standins.engine import _Batch, read_generation
from shallotpoint.testing.cases import TestCase


class ReadTests(TestCase):
    def test_empty_messages_are_malformed(self):
        body = {"model": "m", "messages": [], "continue_final_message": True}
        self.assertRaises(ValueError, read_generation, body)


class SlotTests(TestCase):
    def test_request_cancelled_as_it_gets_a_slot_returns_it(self):
        async def main():
            batch = _Batch(1)

            async def run():
                async with batch.slot(0):
                    await asyncio.sleep(10.0)

            first, second = (asyncio.create_task(run()) for _ in range(2))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            first.cancel()
            while not first.done():
                await asyncio.sleep(0)
            second.cancel()
            await asyncio.gather(first, second, return_exceptions=True)
            return batch.running

        self.assertEqual(0, self.run_async(main()))
