"""The copy of a key prefix: its age, outages and the grace time after them."""

import asyncio
import random
import time

from shallotpoint.coordination.follow import MIN_OUTAGE_S, PrefixCopy, PrefixFollower
from shallotpoint.coordination.kv import Change, Delete, Entry, Put
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.testing.cases import TestCase, eventually


def entry(key, value=b"v", revision=1):
    return Entry(key, value, revision)


def removal(key, revision=2):
    return Change(key, None, revision)


class CopyTests(TestCase):
    def new_copy(self, grace_s=2.0):
        copy = PrefixCopy(grace_s)
        copy.record_answer(0.0, 0.0)
        copy.replace_all([entry("a"), entry("b")], 1, 0.0)
        return copy

    def test_removal_in_normal_operation_applies_at_once(self):
        copy = self.new_copy()
        # A poll without changes waits for seconds, which is not an outage.
        copy.record_answer(4.1, 4.1)
        copy.apply([removal("a")], 2, 4.1)
        self.assertEqual({"b"}, set(copy.entries))

    def test_key_lost_in_an_outage_is_kept_for_the_grace_time(self):
        copy = self.new_copy()
        copy.record_failure(1.0)
        copy.record_failure(1.0 + MIN_OUTAGE_S)
        copy.record_answer(5.0, 5.0)
        copy.apply([removal("a")], 2, 5.0)
        self.assertEqual({"a", "b"}, set(copy.entries))
        self.assertTrue(copy.keeps_missing_keys)
        self.assertFalse(copy.remove_expired(6.9))
        self.assertTrue(copy.remove_expired(7.0))
        self.assertEqual({"b"}, set(copy.entries))

    def test_key_created_again_within_the_grace_time_is_kept(self):
        copy = self.new_copy()
        copy.record_failure(1.0)
        copy.record_failure(1.0 + MIN_OUTAGE_S)
        copy.record_answer(5.0, 5.0)
        copy.replace_all([entry("b")], 2, 5.0)
        copy.apply([Change("a", entry("a", revision=3), 3)], 3, 6.0)
        copy.remove_expired(9.0)
        self.assertEqual({"a", "b"}, set(copy.entries))

    def test_one_failed_call_is_no_outage(self):
        copy = self.new_copy()
        copy.record_failure(4.0)
        copy.record_answer(4.1, 4.1)
        copy.apply([removal("a")], 2, 4.2)
        self.assertEqual({"b"}, set(copy.entries))

    def test_removal_long_after_an_outage_applies_at_once(self):
        copy = self.new_copy()
        copy.record_failure(1.0)
        copy.record_failure(1.0 + MIN_OUTAGE_S)
        copy.record_answer(5.0, 5.0)
        copy.apply([removal("a")], 2, 7.5)
        self.assertEqual({"b"}, set(copy.entries))

    def test_age_counts_from_the_start_of_the_call(self):
        copy = PrefixCopy()
        self.assertIsNone(copy.age_s(1.0))
        copy.record_answer(confirmed_at_s=1.0, now=1.8)
        self.assertEqual(1.0, copy.age_s(2.0))


class FollowerTests(TestCase):
    def run_scenario(self, scenario, *, poll_wait_s=0.2, settle_s=0.0):
        async def main():
            kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
            seen = []
            follower = PrefixFollower(
                lambda: [kv],
                "p/",
                clock=time.monotonic,
                rng=random.Random(2),
                on_change=lambda entries: seen.append(
                    {key: entry.value for key, entry in entries.items()}
                ),
                poll_wait_s=poll_wait_s,
                settle_s=settle_s,
            )
            task = asyncio.create_task(follower.run())
            try:
                return await scenario(kv, follower, seen)
            finally:
                task.cancel()

        return self.run_async(main())

    def test_callback_gets_each_change(self):
        async def scenario(kv, follower, seen):
            await kv.txn([], [Put("p/a", b"1"), Put("q/a", b"1")])
            await eventually(lambda: seen and seen[-1] == {"p/a": b"1"})
            await kv.txn([], [Delete("p/a")])
            await eventually(lambda: seen[-1] == {})

        self.run_scenario(scenario)

    def test_a_burst_of_changes_takes_few_calls(self):
        async def scenario(kv, follower, seen):
            await eventually(lambda: follower.copy.confirmed_at_s is not None)
            for number in range(64):
                await kv.txn([], [Put(f"p/{number}", b"1")])
                await asyncio.sleep(0.01)
            await eventually(lambda: seen and len(seen[-1]) == 64)
            return kv.counts.watches

        calls = self.run_scenario(scenario, poll_wait_s=5.0, settle_s=0.3)
        self.assertTrue(calls <= 6, calls)

    def test_prefix_is_listed_again_after_the_history_is_lost(self):
        async def scenario(kv, follower, seen):
            await kv.txn([], [Put("p/a", b"1")])
            await eventually(lambda: seen and seen[-1] == {"p/a": b"1"})
            kv.store.txn([], [Put("p/b", b"2")])
            kv.store.forget_history()
            await eventually(lambda: len(seen[-1]) == 2)

        self.run_scenario(scenario)

    def test_copy_is_kept_and_ages_while_the_service_is_down(self):
        async def scenario(kv, follower, seen):
            await kv.txn([], [Put("p/a", b"1")])
            await eventually(lambda: seen and seen[-1] == {"p/a": b"1"})
            kv.faults.down = True
            await asyncio.sleep(0.5)
            old_s = follower.age_s(time.monotonic())
            held = set(follower.copy.entries)
            kv.faults.down = False
            await eventually(lambda: follower.age_s(time.monotonic()) < 0.3)
            return old_s, held

        old_s, held = self.run_scenario(scenario)
        self.assertEqual({"p/a"}, held)
        self.assertTrue(old_s > 0.2, old_s)
