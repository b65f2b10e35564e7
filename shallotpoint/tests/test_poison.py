"""Which requests are blocked for what happened to the upstreams that ran them."""

from shallotpoint.policy.poison import CrashReport, PoisonBook
from shallotpoint.testing.cases import TestCase

FATAL = 1


class CountTests(TestCase):
    def test_budget_many_requests_on_each_ended_upstream(self):
        # BUDGET: the one request that was on all of them is blocked, the others not.
        book = PoisonBook()
        for number in range(3):
            for content in (FATAL, *range(10 * number + 10, 10 * number + 20)):
                book.crashed(CrashReport(content, f"u{number}", 1.0 + number))
        self.assertTrue(book.blocked(FATAL, 5.0))
        self.assertFalse(any(book.blocked(n, 5.0) for n in range(10, 40)))

    def test_budget_sound_request_that_was_beside_twice(self):
        book = PoisonBook()
        for number in range(3):
            book.crashed(CrashReport(FATAL, f"u{number}", 1.0 + number))
        for number in range(2):
            book.crashed(CrashReport(7, f"u{number}", 1.0 + number))
        self.assertTrue(book.blocked(FATAL, 5.0))
        self.assertFalse(book.blocked(7, 5.0))
