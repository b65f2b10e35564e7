"""Prompt parts that crash upstreams, among sound ones at the same crashes."""

import random
from unittest import mock

from shallotpoint.policy.actions import Expire, Refused
from shallotpoint.policy.crash_reports import EXPIRY_S, CrashReport, Incarnation
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.part_blame import (
    FIRST_TRIAL_S,
    MIN_CRASHES_AFTER_ANSWER,
    BlockEvent,
    PartTracker,
)
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.route_placement import ServicePlacement
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.policy.tuning import ROUTE_TUNING
from shallotpoint.results import Result
from shallotpoint.testing.cases import TestCase


class PartCase(TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = PartTracker()
        self.content = 0

    def crash(self, upstream, at_s, *requests, content=None):
        """Report the crash of an upstream under requests with the given parts."""
        for parts in requests:
            self.content += 1
            fingerprint = content or self.content
            self.tracker.record_crash(
                CrashReport(fingerprint, upstream, at_s, 5, frozenset(parts.split()))
            )

    def answer(self, parts, at_s):
        self.tracker.record_answer(frozenset(parts.split()), at_s)

    def blocked(self, parts, now=9.0):
        return self.tracker.is_blocked(frozenset(parts.split()), now)


class BlameTests(PartCase):
    def test_requests_with_one_fatal_part_are_blocked_after_three_crashes(self):
        # Guards against blame that is kept for whole requests only.
        self.answer("x", -1.0)
        for number, parts in enumerate(("bad x", "x bad", "x y bad z")):
            self.assertFalse(self.blocked("new bad"))
            self.crash(f"u{number}", float(number), parts)
        self.assertTrue(self.blocked("new bad"))
        self.assertFalse(self.blocked("new x y z"))

    def test_shared_start_at_every_crash_is_not_blocked(self):
        self.answer("start", 0.0)
        for number in range(40):
            self.crash(f"u{number}", 1.0 + number, "start bad", "start a", "start b")
            self.answer("start", 0.5 + number)
        self.assertTrue(self.blocked("start bad", 50.0))
        self.assertFalse(self.blocked("start", 50.0))
        self.assertFalse(self.blocked("start a", 50.0))

    def test_start_without_any_answer_yet_is_blocked_with_the_fatal_part_only(self):
        for number in range(5):
            self.crash(f"u{number}", float(number), "start bad", "start")
        self.assertTrue(self.blocked("start bad"))
        self.assertFalse(self.blocked("start"))

    def test_two_parts_that_come_together_are_blocked_together_until_one_answers(self):
        for number in range(3):
            self.crash(f"u{number}", float(number), "bad mate")
        self.assertEqual(
            [True, False, False],
            [self.blocked(parts) for parts in ("bad mate", "bad", "mate")],
        )
        self.answer("mate", 3.0)
        self.assertEqual(
            [True, True, False],
            [self.blocked(parts) for parts in ("bad mate", "bad", "mate")],
        )

    def test_two_fatal_parts_at_once_are_both_blocked(self):
        self.answer("start", 0.0)
        for number in range(6):
            bad = "bad1" if number % 2 else "bad2"
            self.crash(f"u{number}", 1.0 + number, f"start {bad}")
        self.assertTrue(self.blocked("bad1") and self.blocked("bad2"))
        self.assertFalse(self.blocked("start"))

    def test_sound_requests_at_every_crash_by_chance_are_not_blocked(self):
        # Under full load each of a few rare parts is on every upstream.
        rng = random.Random(1)
        rare = [f"rare{number}" for number in range(6)]
        for number in range(30):
            present = [f"start {part}" for part in rng.sample(rare, 4)]
            self.crash(f"u{number}", float(number), "start bad", *present)
            self.answer(f"start {rng.choice(rare)}", number + 0.5)
            wrong = [part for part in rare if self.blocked(f"start {part}")]
            self.assertEqual([], wrong, f"after crash {number}")
        self.assertTrue(self.blocked("start bad"))

    def test_one_repeated_request_blocks_none_of_its_parts(self):
        for number in range(6):
            self.crash(f"u{number}", float(number), "part", content=77)
        self.assertFalse(self.blocked("part"))

    def test_upstreams_that_crash_at_the_same_moment_block_nothing(self):
        # A data centre is lost while requests with a new part run there.
        for number in range(12):
            self.crash(f"u{number}", 1.0 + number * 0.005, "new")
        self.assertFalse(self.blocked("new"))

    def test_reports_that_come_together_are_assessed_once(self):
        # 640 reports of 40 upstreams that were lost at once took 0.8 s of each router.
        with mock.patch.object(
            self.tracker, "_assess", wraps=self.tracker._assess
        ) as assess:
            for number in range(40):
                self.crash(f"u{number}", 1.0, *(f"start p{n}" for n in range(16)))
            self.blocked("start p1")
            self.blocked("start p2")
        self.assertEqual(1, assess.call_count)

    def test_part_that_was_answered_needs_more_crashes(self):
        self.answer("part", 0.5)
        for number in range(MIN_CRASHES_AFTER_ANSWER):
            self.assertFalse(self.blocked("part"))
            self.crash(f"u{number}", 1.0 + number, "part")
        self.assertTrue(self.blocked("part"))

    def test_wrong_report_of_a_crash_does_not_count(self):
        for number in range(3):
            self.crash(f"u{number}", float(number), "part")
            self.tracker.record_alive(Incarnation(f"u{number}", 5), number + 0.5)
        self.assertFalse(self.blocked("part"))

    def test_wrong_block_ends_once_another_part_explains_the_crashes(self):
        for number in range(3):
            self.crash(f"u{number}", float(number), "unlucky")
        self.assertTrue(self.blocked("unlucky"))
        for number in range(7):
            self.crash(f"u{number}", float(number), "bad")
        self.assertFalse(self.blocked("unlucky"))
        self.assertTrue(self.blocked("bad"))


class BlockTests(PartCase):
    def block(self):
        for number in range(3):
            self.crash(f"u{number}", float(number), "bad")
        [change] = self.tracker.take_changes()
        return change

    def test_block_names_its_evidence(self):
        event, block = self.block()
        self.assertIs(BlockEvent.BLOCKED, event)
        self.assertEqual(frozenset({"bad"}), block.parts)
        self.assertEqual(3, len(block.crashes))
        self.assertEqual((3, 2.0), (block.contents, block.since_s))

    def test_answer_clears_a_block(self):
        self.block()
        self.answer("bad", 1.5)
        self.assertTrue(self.blocked("bad"))
        self.answer("bad", 2.5)
        self.assertFalse(self.blocked("bad"))
        self.assertIs(BlockEvent.ANSWERED, self.tracker.take_changes()[-1].event)

    def test_one_trial_at_a_time_is_let_through_less_and_less_often(self):
        self.block()
        sent = []
        for second in range(3, 600):
            if not self.blocked("bad", float(second)):
                self.tracker.record_sent(frozenset({"bad"}), float(second))
                sent.append(second)
                self.crash(f"t{second}", second + 0.2, "bad")
        self.assertEqual([62, 182, 422], sent)

    def test_only_the_chosen_router_tries_a_part(self):
        self.tracker = PartTracker(may_try=lambda parts: False)
        self.block()
        self.assertTrue(self.blocked("bad", 10 * FIRST_TRIAL_S))

    def test_block_that_no_request_meets_expires(self):
        self.block()
        self.tracker.expire(EXPIRY_S + 10.0)
        self.assertEqual([], self.tracker.blocks)

    def test_block_of_a_peer_is_adopted_unless_an_answer_contradicts(self):
        self.answer("sound", 3.0)
        for parts in ("sound", "bad"):
            self.tracker.adopt(frozenset({parts}), 2.0, 4.0)
        self.assertEqual([False, True], [self.blocked("sound"), self.blocked("bad")])

    def test_answers_to_suspected_parts_are_published_once(self):
        self.answer("start", 1.0)
        self.answer("other", 1.0)
        self.crash("u1", 2.0, "start bad")
        self.assertEqual([("start", 1.0)], list(self.tracker.answers_to_publish()))
        self.assertEqual([], list(self.tracker.answers_to_publish()))


class SchedulerTests(TestCase):
    """One router; upstreams crash as they begin an answer to a part."""

    def setUp(self):
        super().setUp()
        self.attempts = AttemptTracker()
        self.poison = PoisonTracker(block_after=3)
        self.scheduler = Scheduler(
            tuning=ROUTE_TUNING,
            poison=self.poison,
            placement=ServicePlacement(),
            exposures=self.attempts,
        )
        slots = {f"u{n}": Slots(4, 4, started_ms=5) for n in range(12)}
        self.scheduler.set_upstreams(slots)

    def ticket(self, number, now, *parts):
        cls = ServiceClass("desk", 1)
        return Ticket(
            f"r{number}",
            cls,
            "school",
            now,
            fingerprint=number,
            resumable=True,
            parts=frozenset(parts),
        )

    def crash_by(self, number, now, *parts):
        """Offer a request; its upstream crashes.  Return the refusal, if any."""
        admission = self.scheduler.offer(self.ticket(number, now, *parts), now)
        if isinstance(admission, Refused):
            return admission
        [send] = self.scheduler.poll(now)
        self.scheduler.failed(
            f"r{number}", send.upstream, Result.RETRY_BROKE, now + 0.1, may_retry=False
        )
        for report in self.attempts.record_termination(
            Incarnation(send.upstream, 5), now + 0.1
        ):
            self.poison.record_crash(report)
        self.scheduler.abandon(f"r{number}", now + 0.1)
        rest = {n: s for n, s in self.scheduler.upstreams.items() if n != send.upstream}
        self.scheduler.set_upstreams(rest)
        return None

    def test_budget_fourth_request_with_a_fatal_part_is_refused(self):
        # Guards against requests that are never alike and crash one server each.
        for number in range(1, 4):
            self.assertIsNone(self.crash_by(number, number * 0.5, "start", "bad"))
        refused = self.crash_by(4, 2.0, "start", "bad")
        self.assertIs(Result.POISON, refused.result)

    def test_queued_request_with_a_part_blocked_since_is_not_sent(self):
        slots = {"u0": Slots(1, 1, started_ms=5)}
        self.scheduler.set_upstreams(slots)
        self.scheduler.offer(self.ticket(1, 0.0, "sound"), 0.0)
        self.scheduler.poll(0.0)
        self.scheduler.offer(self.ticket(2, 0.1, "bad"), 0.1)
        for number in range(3):
            self.poison.record_crash(
                CrashReport(10 + number, f"v{number}", 0.2 + number, 5, {"bad"})
            )
        self.scheduler.finished("r1", "u0", 3.0)
        [action] = self.scheduler.poll(3.1)
        self.assertIsInstance(action, Expire)
        self.assertIs(Result.POISON, action.result)

    def test_answer_that_lasts_clears_its_parts(self):
        self.scheduler.offer(self.ticket(1, 0.0, "bad"), 0.0)
        [send] = self.scheduler.poll(0.0)
        for number in range(3):
            report = CrashReport(
                10 + number, f"v{number}", 0.1 + number / 5, 5, {"bad"}
            )
            self.poison.record_crash(report)
        self.scheduler.progress("r1", send.upstream, 1, 0.6)
        self.assertTrue(self.poison.parts.is_blocked(frozenset({"bad"}), 0.7))
        self.scheduler.progress("r1", send.upstream, 1, 1.7)
        self.assertFalse(self.poison.parts.is_blocked(frozenset({"bad"}), 1.8))
