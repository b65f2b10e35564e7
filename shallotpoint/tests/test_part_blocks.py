"""Blocked prompt parts in gossip rows and in the key-value service."""

import random

from shallotpoint.controllers.part_blocks import (
    PARTS_TOPIC,
    REWRITE_PAUSE_S,
    WRITERS,
    PartBlockController,
    rank,
)
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Entry
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.policy.crash_reports import CrashReport
from shallotpoint.policy.part_blame import PartTracker
from shallotpoint.testing.cases import FakeClock, TestCase

BAD = frozenset({"bad"})


class PartBlockCase(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.clock.now = 100.0
        self.kv = MemoryKeyValue(clock=self.clock, rng=random.Random(1))
        self.notified = []
        self.routers = frozenset({"one", "two"})

    def controller(self, name):
        tracker = PartTracker()
        controller = PartBlockController(
            Board(name, 1),
            tracker,
            kv=self.kv,
            prefix="blocked/",
            routers=lambda: self.routers,
            clock=self.clock,
            rng=random.Random(1),
            notify_peers=lambda: self.notified.append(name),
        )
        return controller, tracker

    def crash(self, tracker, parts):
        for number in range(3):
            at_s = self.clock.now + number - 4.0
            report = CrashReport(number + 1, f"u{number}", at_s, 5, parts)
            tracker.record_crash(report)

    def send_row(self, sender, receiver):
        sender.publish(self.clock.now)
        row = sender._gossip.get(sender._gossip.name, PARTS_TOPIC)
        receiver.merge_row(row.payload)

    def stored(self):
        return {e.key: e for e in self.kv.store.list_prefix("blocked/").entries}


class RowTests(PartBlockCase):
    def test_peer_adopts_a_block(self):
        one, one_tracker = self.controller("one")
        two, two_tracker = self.controller("two")
        self.crash(one_tracker, BAD)
        self.send_row(one, two)
        self.assertTrue(two_tracker.is_blocked(BAD, self.clock.now))
        self.assertEqual(["one"], self.notified)

    def test_answer_at_one_router_clears_the_block_at_another(self):
        one, one_tracker = self.controller("one")
        two, two_tracker = self.controller("two")
        for tracker in (one_tracker, two_tracker):
            self.crash(tracker, BAD)
        one_tracker.record_answer(BAD, self.clock.now)
        self.send_row(one, two)
        self.assertFalse(two_tracker.is_blocked(BAD, self.clock.now))

    def test_answer_before_the_crashes_protects_a_part_everywhere(self):
        # A router that has just started has seen no answers of its own.
        one, one_tracker = self.controller("one")
        two, two_tracker = self.controller("two")
        one_tracker.record_answer(frozenset({"start"}), self.clock.now - 50.0)
        for tracker in (one_tracker, two_tracker):
            self.crash(tracker, frozenset({"start", "bad"}))
        self.send_row(one, two)
        self.assertFalse(two_tracker.is_blocked(frozenset({"start"}), self.clock.now))
        self.assertTrue(two_tracker.is_blocked(BAD, self.clock.now))

    def test_row_without_news_is_not_published_again(self):
        one, tracker = self.controller("one")
        self.crash(tracker, BAD)
        one.publish(self.clock.now)
        first = one._gossip.get("one", PARTS_TOPIC)
        one.publish(self.clock.now)
        self.assertIs(first, one._gossip.get("one", PARTS_TOPIC))


class StoreTests(PartBlockCase):
    def store_block(self):
        one, tracker = self.controller("one")
        self.crash(tracker, BAD)
        one.publish(self.clock.now)
        self.run_async(one._store_pending())
        return one, tracker

    def test_block_survives_a_restart_of_all_routers(self):
        self.store_block()
        two, tracker = self.controller("two")
        two.update_entries(self.stored())
        self.assertTrue(tracker.is_blocked(BAD, self.clock.now))

    def test_entry_that_cannot_be_applied_does_not_keep_the_others_from_it(self):
        # Guards against an entry that ends the task which follows the shared entries.
        self.store_block()
        two, tracker = self.controller("two")
        adopt = tracker.adopt

        def fail_on_odd(parts, since_s, now):
            if "odd" in parts:
                raise OverflowError("a number too large")
            adopt(parts, since_s, now)

        tracker.adopt = fail_on_odd
        odd = {"blocked/0": Entry("blocked/0", b'["odd"]', 1)}
        two.update_entries(odd | self.stored())
        self.assertTrue(tracker.is_blocked(BAD, self.clock.now))

    def test_cleared_block_is_removed(self):
        one, tracker = self.store_block()
        one.update_entries(self.stored())
        tracker.record_answer(BAD, self.clock.now)
        one.publish(self.clock.now)
        self.run_async(one._store_pending())
        self.assertEqual({}, self.stored())

    def test_lost_entry_is_written_again(self):
        one, _ = self.store_block()
        one.update_entries(self.stored())
        one.update_entries({})
        key = next(iter(self.stored()))
        first = self.stored()[key].revision
        self.run_async(one._store_pending())
        self.assertEqual(first, self.stored()[key].revision)
        self.clock.now += 2 * REWRITE_PAUSE_S
        self.run_async(one._store_pending())
        self.assertGreater(self.stored()[key].revision, first)

    def test_only_a_few_routers_write_a_block(self):
        self.routers = frozenset(f"r{number}" for number in range(60))
        ranks = [rank(self.routers, name, BAD) for name in self.routers]
        self.assertEqual(WRITERS, sum(place < WRITERS for place in ranks))

    def test_unreadable_entries_are_ignored(self):
        two, tracker = self.controller("two")
        entries = {
            key: Entry(key, raw, 1)
            for key, raw in (
                ("blocked/1", b"\xff"),
                ("blocked/2", b"[" * 20_000),
                ("blocked/3", b'["bad"]'),
                ("routers/one", b"{}"),
            )
        }
        two.update_entries(entries)
        self.assertTrue(tracker.is_blocked(BAD, self.clock.now))
