"""Permits that enforce an upstream's rate limit on all members together."""

import heapq
import math
import random

from hypothesis import given, settings, strategies as st
from testtools.matchers import GreaterThan, LessThan

from shallotpoint.coordination.permits import (
    MIN_RATE_PER_S,
    PERMIT_LIFETIME_S,
    RAISE_DELAY_S,
    PermitBucket,
)
from shallotpoint.testing.cases import TestCase

WINDOW_S = 4.0
LIMITS = (0.0, 0.2, 1.2, 6.0, 60.0)


def max_requests_in_window(per_s):
    """Return the requests that may reach an upstream in a window, by requirement."""
    return 1.5 * per_s * WINDOW_S + 5


def requests_in_busiest_window(times):
    times = sorted(times)
    return max((sum(a <= t <= a + WINDOW_S for t in times) for a in times), default=0)


def simulate_members(
    per_s,
    members,
    *,
    duration_s,
    holder_changes_s=(),
    seed=1,
    max_use_delay_s=PERMIT_LIFETIME_S,
):
    """Let members request permits when their grants allow; return the times of use.

    Each permit is used up to ``max_use_delay_s`` after it was granted.  At each time in
    ``holder_changes_s`` another router becomes the lease holder.
    """
    rng = random.Random(seed)
    issuer = PermitBucket(per_s, now=0.0)
    due_requests = [(rng.uniform(0.0, 1.0), number) for number in range(members)]
    heapq.heapify(due_requests)
    holder_changes = sorted(holder_changes_s)
    use_times_s = []
    while due_requests and due_requests[0][0] < duration_s:
        now, member = heapq.heappop(due_requests)
        while holder_changes and holder_changes[0] <= now:
            issuer = PermitBucket(per_s, now=holder_changes.pop(0))
        grant = issuer.grant_permits(str(member), {rng.randrange(3): 1}, now=now)
        use_times_s += [
            now + rng.uniform(0.0, max_use_delay_s) for _ in range(grant.permits)
        ]
        pause_s = max(0.001, grant.retry_after_s) + rng.expovariate(20.0)
        heapq.heappush(due_requests, (now + pause_s, member))
    return use_times_s


class RateLimitTests(TestCase):
    def test_total_rate_does_not_grow_with_the_members(self):
        for members in (7, 62, 195):
            for per_s in LIMITS:
                use_times_s = simulate_members(per_s, members, duration_s=20.0)
                self.assertThat(
                    requests_in_busiest_window(use_times_s),
                    LessThan(max_requests_in_window(per_s) + 1e-9),
                    f"{members} members, {per_s} a second",
                )

    def test_limit_is_used_up_by_few_and_by_many_members(self):
        for members in (7, 62, 195):
            for per_s in (1.2, 6.0, 60.0):
                use_times_s = simulate_members(per_s, members, duration_s=20.0)
                self.assertThat(
                    len(use_times_s) / (20.0 * per_s),
                    GreaterThan(0.9),
                    f"{members} members, {per_s} a second",
                )

    def test_limit_of_zero_still_allows_occasional_requests(self):
        use_times_s = simulate_members(0.0, 195, duration_s=20.0)
        self.assertThat(len(use_times_s) / 20.0, LessThan(MIN_RATE_PER_S * 1.2))
        self.assertThat(len(use_times_s), GreaterThan(5))

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        st.sampled_from(LIMITS),
        st.integers(1, 40),
        st.lists(st.floats(0.0, 12.0), max_size=6),
        st.integers(0, 1 << 16),
    )
    def test_limit_holds_when_the_lease_holder_changes(
        self, per_s, members, holder_changes_s, seed
    ):
        use_times_s = simulate_members(
            per_s,
            members,
            duration_s=12.0,
            holder_changes_s=holder_changes_s,
            seed=seed,
        )
        self.assertThat(
            requests_in_busiest_window(use_times_s),
            LessThan(max_requests_in_window(per_s) + 1e-9),
        )


class PriorityTests(TestCase):
    def test_permits_are_kept_for_more_urgent_requests(self):
        issuer = PermitBucket(1.0, now=0.0)
        self.assertEqual(0, issuer.grant_permits("urgent", {1: 1}, now=0.0).permits)
        self.assertEqual(0, issuer.grant_permits("other", {2: 1}, now=1.0).permits)
        self.assertEqual(1, issuer.grant_permits("urgent", {1: 1}, now=1.05).permits)
        self.assertEqual(1, issuer.grant_permits("other", {2: 1}, now=2.1).permits)

    def test_member_that_wants_many_permits_gets_only_its_share(self):
        issuer = PermitBucket(20.0, now=0.0)
        issuer.grant_permits("one", {1: 4}, now=0.0)
        issuer.grant_permits("two", {1: 4}, now=0.0)
        self.assertEqual(2, issuer.grant_permits("one", {1: 4}, now=0.2).permits)

    def test_request_for_no_permits_gets_none(self):
        issuer = PermitBucket(20.0, now=0.0)
        self.assertEqual(0, issuer.grant_permits("one", {1: 0}, now=1.0).permits)

    def test_grant_contains_the_demand_of_all_members(self):
        issuer = PermitBucket(2.0, now=0.0)
        for number in range(5):
            grant = issuer.grant_permits(str(number), {1: 2}, now=0.0)
        self.assertEqual({1: 10}, grant.queued)


class AdvertisedLimitTests(TestCase):
    def test_lower_limit_applies_at_once(self):
        issuer = PermitBucket(6.0, now=0.0)
        issuer.apply_limit(1.2, now=2.0)
        self.assertEqual(1.2, issuer.per_s)

    def test_higher_limit_of_an_overtaken_answer_is_ignored(self):
        issuer = PermitBucket(6.0, now=0.0)
        issuer.apply_limit(1.2, now=2.0)
        issuer.apply_limit(6.0, now=2.1)
        self.assertEqual(1.2, issuer.per_s)
        issuer.apply_limit(6.0, now=2.1 + RAISE_DELAY_S)
        self.assertEqual(6.0, issuer.per_s)

    def test_limit_ends_only_by_a_permit_granted_since_it_was_advertised(self):
        issuer = PermitBucket(1.2, now=0.0)
        issuer.apply_limit(1.2, now=5.0)
        issuer.apply_no_limit(4.9, now=5.2)
        self.assertEqual(1.2, issuer.per_s)
        issuer.apply_no_limit(5.1, now=5.4)
        self.assertEqual(math.inf, issuer.per_s)
        self.assertEqual(math.inf, issuer.grant_permits("a", {1: 1}, now=5.5).per_s)

    def test_limit_advertised_again_starts_with_an_empty_bucket(self):
        issuer = PermitBucket(1.2, now=0.0)
        issuer.apply_no_limit(1.0, now=2.0)
        issuer.apply_limit(1.2, now=30.0)
        self.assertEqual(0, issuer.grant_permits("a", {1: 1}, now=30.0).permits)
