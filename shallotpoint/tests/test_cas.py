"""Compare-and-swap cells and configuration: lost answers, delays and conflicts."""

import asyncio
import random

import msgspec
from hypothesis import given, strategies as st

from shallotpoint.coordination.cas import CasCell, ChangeOutcomeUnknown, Contention
from shallotpoint.coordination.config import (
    ConfigConflict,
    ConfigState,
    ConfigStore,
    Edit,
    Section,
)
from shallotpoint.coordination.kv import Unavailable
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.testing.cases import TestCase
from shallotpoint.tests.test_ledger import FaultyKeyValue


def new_faulty_kv(seed):
    kv = FaultyKeyValue(clock=lambda: 0.0, rng=random.Random(seed))
    kv.late_writes = []
    return kv


class CasCellTests(TestCase):
    @given(st.integers(0, 10**6))
    def test_no_increment_is_lost_or_doubled(self, seed):
        """The stored count lies between the certain and the possible increments."""

        async def main():
            kv = new_faulty_kv(seed)
            certain, uncertain = 0, 0

            async def add(index):
                nonlocal certain, uncertain
                cell = CasCell(kv, "n", rng=random.Random(f"{seed}/{index}"))
                try:
                    await cell.update(lambda body: str(int(body or b"0") + 1).encode())
                    certain += 1
                except (Unavailable, Contention):
                    uncertain += 1
                except ChangeOutcomeUnknown:
                    uncertain += 1

            await asyncio.gather(*(add(i) for i in range(6)))
            await asyncio.gather(*kv.late_writes, return_exceptions=True)
            entry = kv.store.get("n")
            stored = 0
            if entry is not None:
                stored = int(msgspec.msgpack.decode(entry.value)[1])
            assert certain <= stored <= certain + uncertain, (
                certain,
                stored,
                uncertain,
            )

        asyncio.run(main())


class ConfigStoreTests(TestCase):
    def test_change_under_each_fault(self):
        cases = [
            ("no fault", {}, None),
            ("down", {"down": True}, Unavailable),
            ("every answer lost", {"lose_answers": 1.0}, None),
        ]
        for name, faults, error in cases:
            kv = MemoryKeyValue(clock=lambda: 0.0, rng=random.Random(1))
            for field, value in faults.items():
                setattr(kv.faults, field, value)
            store = ConfigStore(kv, "/c/", rng=random.Random(2))
            change = store.change(Edit("classes", "x", {"tier": 1}), ConfigState())
            if error is None:
                section = self.run_async(change)
                self.assertEqual(kv.store.get("/c/classes").revision, section.revision)
            else:
                self.assertRaises(error, self.run_async, change)
                self.assertIsNone(kv.store.get("/c/classes"), name)

    @given(st.integers(0, 10**6))
    def test_conflicting_edits_have_one_winner(self, seed):
        async def main():
            kv = new_faulty_kv(seed)

            async def edit(tier):
                store = ConfigStore(kv, "/c/", rng=random.Random(f"{seed}/{tier}"))
                try:
                    return await store.change(
                        Edit("classes", "x", {"tier": tier}), ConfigState()
                    )
                except (ConfigConflict, Unavailable, ChangeOutcomeUnknown) as exc:
                    return exc

            found = await asyncio.gather(*(edit(t) for t in (1, 2, 3)))
            await asyncio.gather(*kv.late_writes, return_exceptions=True)
            accepted = [f for f in found if isinstance(f, Section)]
            assert len(accepted) <= 1
            for section in accepted:
                stored = ConfigStore(kv, "/c/", rng=random.Random(0))
                entry = kv.store.get("/c/classes")
                assert stored.decode_section(entry).items == section.items

        asyncio.run(main())

    def test_concurrent_edits_of_different_items_are_both_stored(self):
        async def main():
            kv = MemoryKeyValue(clock=lambda: 0.0, rng=random.Random(1))
            stores = [ConfigStore(kv, "/c/", rng=random.Random(i)) for i in range(2)]
            await asyncio.gather(
                stores[0].change(Edit("classes", "x", {"tier": 1}), ConfigState()),
                stores[1].change(Edit("classes", "y", {"tier": 2}), ConfigState()),
            )
            return (await stores[0].load()).section("classes").items

        self.assertEqual({"x": {"tier": 1}, "y": {"tier": 2}}, self.run_async(main()))

    @given(st.lists(st.integers(1, 50), min_size=1, max_size=30))
    def test_older_copy_never_replaces_a_newer_one(self, revisions):
        state = ConfigState()
        highest = 0
        for revision in revisions:
            state = state.merged(Section("classes", revision))
            highest = max(highest, revision)
            assert state.section("classes").revision == highest
