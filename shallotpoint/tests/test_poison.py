"""Blocking of requests that crash upstreams, but not of others on those upstreams."""

from shallotpoint.policy.crash_reports import EXPIRY_S, CrashReport, Incarnation
from shallotpoint.policy.poison import MAX_REQUESTS_PER_CRASH, PoisonTracker
from shallotpoint.testing.cases import TestCase

FATAL = 1


class CrashCountTests(TestCase):
    def test_only_the_request_at_all_crashes_is_blocked(self):
        # Ten other requests run at each crash, different ones each time.
        tracker = PoisonTracker()
        for number in range(3):
            for content in (FATAL, *range(10 * number + 10, 10 * number + 20)):
                tracker.record_crash(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertTrue(tracker.is_blocked(FATAL, 5.0))
        self.assertFalse(any(tracker.is_blocked(n, 5.0) for n in range(10, 40)))

    def test_harmless_request_at_two_of_three_crashes_is_not_blocked(self):
        tracker = PoisonTracker()
        for number in range(3):
            tracker.record_crash(CrashReport(FATAL, f"u{number}", 1.0 + number))
        for number in range(2):
            tracker.record_crash(CrashReport(7, f"u{number}", 1.0 + number))
        self.assertTrue(tracker.is_blocked(FATAL, 5.0))
        self.assertFalse(tracker.is_blocked(7, 5.0))

    def test_harmless_request_at_the_same_crashes_is_not_blocked(self):
        # Only the next crash can tell the two requests apart.
        tracker = PoisonTracker(block_after=3)
        for number in range(3):
            for content in (FATAL, 7):
                tracker.record_crash(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertFalse(tracker.is_blocked(7, 5.0))
        tracker.record_crash(CrashReport(FATAL, "u3", 4.0))
        self.assertTrue(tracker.is_blocked(FATAL, 5.0))
        self.assertFalse(tracker.is_blocked(7, 5.0))

    def test_fatal_requests_at_the_same_crashes_are_blocked_one_crash_later(self):
        tracker = PoisonTracker(block_after=3)
        for number in range(4):
            for content in (FATAL, FATAL + 1):
                tracker.record_crash(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertTrue(
            tracker.is_blocked(FATAL, 6.0) and tracker.is_blocked(FATAL + 1, 6.0)
        )

    def test_each_incarnation_of_an_upstream_counts_once(self):
        tracker = PoisonTracker(block_after=3)
        for started_ms in (1, 2, 3):
            tracker.record_crash(CrashReport(FATAL, "u1", 1.0, started_ms))
            tracker.record_crash(CrashReport(FATAL, "u1", 1.5, started_ms))
        self.assertEqual(3, tracker.count_crashes(FATAL, 2.0))

    def test_two_fatal_requests_are_both_blocked(self):
        tracker = PoisonTracker()
        for number in range(4):
            tracker.record_crash(CrashReport(FATAL, f"u{number}", 1.0))
        for number in range(3, 7):
            tracker.record_crash(CrashReport(FATAL + 1, f"u{number}", 1.0))
        self.assertTrue(
            tracker.is_blocked(FATAL, 2.0) and tracker.is_blocked(FATAL + 1, 2.0)
        )

    def test_broken_connections_of_many_requests_blame_the_upstream(self):
        tracker = PoisonTracker(max_requests_per_crash=MAX_REQUESTS_PER_CRASH)
        for content in range(1, MAX_REQUESTS_PER_CRASH + 2):
            for upstream in ("u1", "u2"):
                tracker.record_crash(CrashReport(content, upstream, 1.0))
        self.assertFalse(tracker.is_suspected(FATAL, 2.0))


class CompleteAnswerTests(TestCase):
    def tracker_after_crashes(self, *upstreams):
        tracker = PoisonTracker()
        for upstream in upstreams:
            tracker.record_crash(CrashReport(FATAL, upstream, 1.0, 5))
        return tracker

    def test_whole_answer_clears_a_request(self):
        tracker = self.tracker_after_crashes("u1", "u2")
        tracker.record_answer(FATAL, Incarnation("u3", 5), sent_s=1.5)
        self.assertFalse(tracker.is_suspected(FATAL, 2.0))

    def test_late_reports_do_not_restore_a_cleared_request(self):
        tracker = self.tracker_after_crashes("u1", "u2")
        tracker.record_answer(FATAL, Incarnation("u3", 5), sent_s=1.5)
        self.assertFalse(tracker.record_crash(CrashReport(FATAL, "u2", 1.2, 5)))
        self.assertTrue(tracker.record_crash(CrashReport(FATAL, "u4", 1.7, 5)))

    def test_later_answer_withdraws_the_crash(self):
        tracker = self.tracker_after_crashes("u1", "u2")
        tracker.record_alive(Incarnation("u1", 5), sent_s=1.5)
        self.assertEqual(1, tracker.count_crashes(FATAL, 2.0))
        self.assertFalse(tracker.record_crash(CrashReport(FATAL, "u1", 1.2, 5)))

    def test_answer_to_an_earlier_attempt_clears_nothing(self):
        tracker = self.tracker_after_crashes("u1", "u2")
        tracker.record_alive(Incarnation("u1", 5), sent_s=0.9)
        tracker.record_answer(FATAL, Incarnation("u1", 5), sent_s=0.9)
        self.assertTrue(tracker.is_blocked(FATAL, 2.0))

    def test_answer_without_known_incarnation_clears_nothing(self):
        tracker = PoisonTracker()
        tracker.record_crash(CrashReport(FATAL, "u1", 1.0))
        tracker.record_answer(8, Incarnation("u1"), sent_s=4.0)
        tracker.record_crash(CrashReport(FATAL, "u2", 5.0))
        self.assertTrue(tracker.is_blocked(FATAL, 6.0))


class ExpiryTests(TestCase):
    def test_unrepeated_request_expires(self):
        tracker = CompleteAnswerTests.tracker_after_crashes(self, "u1", "u2")
        tracker.expire(EXPIRY_S + 2.0)
        self.assertFalse(tracker.crashed_incarnations(FATAL))

    def test_rare_repeats_stay_blocked(self):
        # The repeats are minutes apart and go on for longer than an unused record is
        # kept.
        tracker = CompleteAnswerTests.tracker_after_crashes(self, "u1", "u2")
        for step in range(1, 6):
            now = step * EXPIRY_S * 0.8
            tracker.expire(now)
            self.assertTrue(tracker.is_blocked(FATAL, now))
            tracker.record_arrival(FATAL, now)
