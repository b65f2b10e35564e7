"""Tests of the retry budget that all routers share."""

from shallotpoint.policy.retries import SharedRetryBudget, WindowRetryBudget
from shallotpoint.testing.cases import TestCase

SHARED = SharedRetryBudget(ratio=0.2, slack=60.0, window_s=10.0)
ROUTERS = 6


def count_spendable(budget, now):
    """Spend the whole budget; return the number of retries that it allowed."""
    count = 0
    while budget.try_spend(now):
        count += 1
    return count


class SharedBudgetTests(TestCase):
    def allowed_retries(self, requests):
        return SHARED.ratio * requests + SHARED.slack

    def test_budget_is_not_spent_again_after_restarts(self):
        # Guards against overspending after restarts: the count of retries was lost with
        # the processes, and the new processes spent the whole budget again.
        count, requests = 0, 0
        for start_s in (0.0, 4.0, 8.0):
            for _ in range(ROUTERS):
                budget = WindowRetryBudget(SHARED, routers=ROUTERS, started_s=start_s)
                if start_s == 0.0:
                    budget.started_s = -SHARED.window_s
                for _ in range(10):
                    budget.record_request(start_s + 1.0)
                requests += 10
                count += count_spendable(budget, start_s + 1.5)
        self.assertLessEqual(count, self.allowed_retries(requests))
        self.assertGreater(count, 0)

    def test_budget_is_not_spent_by_each_router_without_a_router_list(self):
        # Guards against overspending after an outage of the router list: each router
        # saw no other one and took the whole budget for its own.
        count = 0
        for _ in range(ROUTERS):
            budget = WindowRetryBudget(SHARED, routers=ROUTERS)
            budget.set_routers(1, 5.0)
            count += count_spendable(budget, 6.0)
        self.assertLessEqual(count, SHARED.slack)

    def test_last_router_gets_the_whole_budget_after_a_delay(self):
        budget = WindowRetryBudget(SHARED, routers=ROUTERS)
        budget.set_routers(1, 5.0)
        self.assertGreater(count_spendable(budget, 80.0), SHARED.slack / 2)

    def test_higher_router_count_divides_the_budget_at_once(self):
        budget = WindowRetryBudget(SHARED, routers=1)
        budget.set_routers(ROUTERS, 5.0)
        self.assertLessEqual(count_spendable(budget, 5.0), SHARED.slack / ROUTERS)

    def test_slack_is_available_one_window_after_the_start(self):
        budget = WindowRetryBudget(SHARED, started_s=0.0)
        self.assertEqual(0, count_spendable(budget, 9.0))
        self.assertGreater(count_spendable(budget, 11.0), 0)
