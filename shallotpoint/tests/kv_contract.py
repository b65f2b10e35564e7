"""Tests that every implementation of the key-value interface must pass."""

from __future__ import annotations

import asyncio

from shallotpoint.coordination.kv import (
    Delete,
    Expect,
    OutcomeUnknown,
    Put,
    Unavailable,
)


class KeyValueContract:
    """A mixin for the test case of each implementation, which defines ``make``."""

    def run_scenario(self, scenario):
        async def main():
            async with self.make() as (kv, faults):
                return await scenario(kv, faults)

        return self.run_async(main())

    def test_create_read_swap_delete(self):
        async def scenario(kv, faults):
            created = await kv.txn([Expect("/a/x", 0)], [Put("/a/x", b"1")])
            again = await kv.txn([Expect("/a/x", 0)], [Put("/a/x", b"2")])
            entry = await kv.get("/a/x")
            swapped = await kv.txn(
                [Expect("/a/x", entry.revision)], [Put("/a/x", b"3")]
            )
            listed = await kv.list_prefix("/a/")
            await kv.txn([], [Delete("/a/", prefix=True)])
            return (
                created.succeeded,
                again.succeeded,
                again.found,
                entry.revision == created.revision,
                swapped.revision > created.revision,
                [e.value for e in listed.entries],
                await kv.get("/a/x"),
            ), entry

        found, entry = self.run_scenario(scenario)
        self.assertEqual((True, False, (entry,), True, True, [b"3"], None), found)

    def test_one_failed_condition_prevents_all_changes(self):
        async def scenario(kv, faults):
            await kv.txn([], [Put("b", b"")])
            outcome = await kv.txn(
                [Expect("a", 0), Expect("b", 0)], [Put("a", b"1"), Put("c", b"1")]
            )
            return outcome.succeeded, await kv.get("a"), await kv.get("c")

        self.assertEqual((False, None, None), self.run_scenario(scenario))

    def test_keys_are_removed_with_their_lease(self):
        async def scenario(kv, faults):
            lease = await kv.grant(5.0)
            await kv.txn([], [Put("k", b"", lease)])
            renewed = await kv.keep_alive(lease)
            await kv.revoke(lease)
            return renewed, await kv.keep_alive(lease), await kv.get("k")

        self.assertEqual((5.0, 0.0, None), self.run_scenario(scenario))

    def test_watch_yields_past_and_new_changes(self):
        async def scenario(kv, faults):
            first = await kv.txn([], [Put("/w/a", b"1")])
            changes = kv.watch("/w/", first.revision)
            seen = []

            async def follow():
                async for batch in changes:
                    seen.extend((c.key, c.entry and c.entry.value) for c in batch)
                    if len(seen) == 3:
                        return

            following = asyncio.create_task(follow())
            await asyncio.sleep(0.05)
            await kv.txn([], [Put("/w/b", b"2"), Put("/other", b"")])
            await kv.txn([], [Delete("/w/a")])
            await asyncio.wait_for(following, 3.0)
            await changes.aclose()
            return seen

        self.assertEqual(
            [("/w/a", b"1"), ("/w/b", b"2"), ("/w/a", None)],
            self.run_scenario(scenario),
        )

    def test_txn_under_each_fault(self):
        cases = [
            ("down", {"down": True}, Unavailable, False),
            ("answer lost", {"lose_answers": 1.0}, OutcomeUnknown, True),
        ]
        for name, wanted, error, stored in cases:

            async def scenario(kv, faults, wanted=wanted, error=error):
                for field, value in wanted.items():
                    setattr(faults, field, value)
                with self.assertRaises(error):
                    await kv.txn([], [Put("k", b"1")])
                faults.down, faults.lose_answers = False, 0.0
                return await kv.get("k") is not None

            self.assertEqual(stored, self.run_scenario(scenario), name)
