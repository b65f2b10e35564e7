"""Blocking of requests that crash upstreams, but not of others on those upstreams."""

from shallotpoint.policy.poison import (
    EXPIRY_S,
    SICK_AFTER,
    CrashReport,
    Incarnation,
    PoisonBook,
)
from shallotpoint.testing.cases import TestCase

FATAL = 1


class CountTests(TestCase):
    def test_only_the_request_at_all_crashes_is_blocked(self):
        # Ten other requests run at each crash, different ones each time.
        book = PoisonBook()
        for number in range(3):
            for content in (FATAL, *range(10 * number + 10, 10 * number + 20)):
                book.crashed(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertTrue(book.blocked(FATAL, 5.0))
        self.assertFalse(any(book.blocked(n, 5.0) for n in range(10, 40)))

    def test_harmless_request_at_two_of_three_crashes_is_not_blocked(self):
        book = PoisonBook()
        for number in range(3):
            book.crashed(CrashReport(FATAL, f"u{number}", 1.0 + number))
        for number in range(2):
            book.crashed(CrashReport(7, f"u{number}", 1.0 + number))
        self.assertTrue(book.blocked(FATAL, 5.0))
        self.assertFalse(book.blocked(7, 5.0))

    def test_harmless_request_at_the_same_crashes_is_not_blocked(self):
        # Only the next crash can tell the two requests apart.
        book = PoisonBook(block_after=3)
        for number in range(3):
            for content in (FATAL, 7):
                book.crashed(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertFalse(book.blocked(7, 5.0))
        book.crashed(CrashReport(FATAL, "u3", 4.0))
        self.assertTrue(book.blocked(FATAL, 5.0))
        self.assertFalse(book.blocked(7, 5.0))

    def test_fatal_requests_at_the_same_crashes_are_blocked_one_crash_later(self):
        book = PoisonBook(block_after=3)
        for number in range(4):
            for content in (FATAL, FATAL + 1):
                book.crashed(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertTrue(book.blocked(FATAL, 6.0) and book.blocked(FATAL + 1, 6.0))

    def test_each_incarnation_of_an_upstream_counts_once(self):
        book = PoisonBook(block_after=3)
        for started_ms in (1, 2, 3):
            book.crashed(CrashReport(FATAL, "u1", 1.0, started_ms))
            book.crashed(CrashReport(FATAL, "u1", 1.5, started_ms))
        self.assertEqual(3, book.count(FATAL, 2.0))

    def test_two_fatal_requests_are_both_blocked(self):
        book = PoisonBook()
        for number in range(4):
            book.crashed(CrashReport(FATAL, f"u{number}", 1.0))
        for number in range(3, 7):
            book.crashed(CrashReport(FATAL + 1, f"u{number}", 1.0))
        self.assertTrue(book.blocked(FATAL, 2.0) and book.blocked(FATAL + 1, 2.0))

    def test_broken_connections_of_many_requests_blame_the_upstream(self):
        book = PoisonBook(sick_after=SICK_AFTER)
        for content in range(1, SICK_AFTER + 2):
            for upstream in ("u1", "u2"):
                book.crashed(CrashReport(content, upstream, 1.0))
        self.assertFalse(book.suspected(FATAL, 2.0))


class AnswerTests(TestCase):
    def book(self, *upstreams):
        made = PoisonBook()
        for upstream in upstreams:
            made.crashed(CrashReport(FATAL, upstream, 1.0, 5))
        return made

    def test_whole_answer_clears_a_request(self):
        book = self.book("u1", "u2")
        book.record_answer(FATAL, Incarnation("u3", 5), sent_s=1.5)
        self.assertFalse(book.suspected(FATAL, 2.0))

    def test_late_reports_do_not_restore_a_cleared_request(self):
        book = self.book("u1", "u2")
        book.record_answer(FATAL, Incarnation("u3", 5), sent_s=1.5)
        self.assertFalse(book.crashed(CrashReport(FATAL, "u2", 1.2, 5)))
        self.assertTrue(book.crashed(CrashReport(FATAL, "u4", 1.7, 5)))

    def test_later_answer_withdraws_the_crash(self):
        book = self.book("u1", "u2")
        book.record_alive(Incarnation("u1", 5), sent_s=1.5)
        self.assertEqual(1, book.count(FATAL, 2.0))
        self.assertFalse(book.crashed(CrashReport(FATAL, "u1", 1.2, 5)))

    def test_answer_to_an_earlier_attempt_clears_nothing(self):
        book = self.book("u1", "u2")
        book.record_alive(Incarnation("u1", 5), sent_s=0.9)
        book.record_answer(FATAL, Incarnation("u1", 5), sent_s=0.9)
        self.assertTrue(book.blocked(FATAL, 2.0))

    def test_answer_without_known_incarnation_clears_nothing(self):
        book = PoisonBook()
        book.crashed(CrashReport(FATAL, "u1", 1.0))
        book.record_answer(8, Incarnation("u1"), sent_s=4.0)
        book.crashed(CrashReport(FATAL, "u2", 5.0))
        self.assertTrue(book.blocked(FATAL, 6.0))


class ExpiryTests(TestCase):
    def test_unrepeated_request_expires(self):
        book = AnswerTests.book(self, "u1", "u2")
        book.expire(EXPIRY_S + 2.0)
        self.assertFalse(book.ends(FATAL))

    def test_rare_repeats_stay_blocked(self):
        # The repeats are minutes apart and last longer than an unused record.
        book = AnswerTests.book(self, "u1", "u2")
        for step in range(1, 6):
            now = step * EXPIRY_S * 0.8
            book.expire(now)
            self.assertTrue(book.blocked(FATAL, now))
            book.asked(FATAL, now)
