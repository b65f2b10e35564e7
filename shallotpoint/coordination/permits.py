"""Permits that enforce an upstream's rate limit on all routers (members) together.

One member at a time, the holder of a lease on the upstream, grants permits from a token
bucket.  Each permit allows one request and expires soon.  The total rate is therefore
bounded whatever the members know of the limit and however many there are.

In any period T at most ``rate * (T + lifetime of a permit) + size of the bucket``
requests are sent, also when the lease passes to another member, because that one
starts with an empty bucket.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from shallotpoint.types import Seconds

PERMIT_LIFETIME_S = 1.0  # lifetime of a permit, short so that few can be used at once
MIN_RATE_PER_S = (
    0.5  # at lower rates it would take seconds to notice the end of a limit
)
BURST_S = 0.5  # size of the bucket, as the time in which it fills
MIN_BURST = 2.0  # one permit for the asking member, one for more urgent requests
RAISE_DELAY_S = 0.5  # responses with an older, higher limit may still be in flight
# A member whose next request comes later than expected by more than this is taken to
# want no permits.
MAX_OVERDUE_S = 0.2
# Minimum average interval between the requests of all members that wait for permits.
# It is shorter above 50 members, because of ``MAX_REQUEST_INTERVAL_S``.
REQUEST_SPACING_S = 0.02
MIN_REQUEST_INTERVAL_S = 0.05
MAX_REQUEST_INTERVAL_S = 1.0  # all members learn within it that a limit has ended


@dataclass(frozen=True, slots=True)
class PermitGrant:
    """The reply to a member's request for permits.

    Attributes
    ----------
    permits : int
        Number of permits granted.
    granted_at_s : float
        When they were granted, in seconds on the clock of the lease holder.
    retry_after_s : float
        Time after which the member should request permits again, in seconds.
    queued : mapping of int to int
        Requests of all members that wait for a permit, by tier.
    available : float
        Permits left in the bucket.
    per_s : float
        Rate limit of the upstream, in requests a second; infinite if it has ended.
    """

    permits: int
    granted_at_s: Seconds
    retry_after_s: Seconds
    queued: Mapping[int, int]
    available: float
    per_s: float


@dataclass(slots=True)
class _Demand:
    """The permits that a member wants, by tier, and until when this is valid."""

    counts: Counter[int]
    valid_until_s: Seconds


class PermitBucket:
    """Grants the permits of one upstream to all members.

    Parameters
    ----------
    per_s : float
        Rate limit of the upstream, in requests a second of all members together.
    now : float
        Current time in seconds, on a clock that advances while the host is suspended.

    Examples
    --------
    >>> issuer = PermitBucket(2.0, now=0.0)
    >>> issuer.grant_permits("a", {1: 1}, now=0.0).permits
    0
    >>> issuer.grant_permits("a", {1: 1}, now=0.5).permits
    1
    """

    def __init__(self, per_s: float, now: Seconds):
        self.per_s = per_s
        self._last_advertised_at_s = now
        self._last_confirmed_at_s = now
        self._available = 0.0
        self._refilled_at_s = now
        self._demands: dict[str, _Demand] = {}

    @property
    def rate_per_s(self) -> float:
        """Rate at which permits are granted, in permits a second."""
        return max(MIN_RATE_PER_S, self.per_s)

    def apply_limit(self, per_s: float, now: Seconds) -> None:
        """Apply a rate limit that the upstream advertised in a response.

        A higher limit is ignored until ``RAISE_DELAY_S`` after the current one was last
        advertised, because it may come from an older response.

        Parameters
        ----------
        per_s : float
            The advertised limit, in requests a second.
        now : float
            Current time, in seconds.
        """
        self._refill(now)
        self._last_advertised_at_s = now
        if per_s <= self.per_s:
            self._last_confirmed_at_s = now
        elif now - self._last_confirmed_at_s < RAISE_DELAY_S:
            return
        if math.isinf(self.per_s):
            self._available = 0.0
        self.per_s = per_s
        self._available = min(self._available, self._bucket_size())

    def apply_no_limit(self, granted_at_s: Seconds, now: Seconds) -> None:
        """Apply a response without a limit, to a request sent with a permit.

        It ends the limit only if the permit was granted after the last response that
        advertised a limit came in; otherwise the response may be an older one.

        Parameters
        ----------
        granted_at_s : float
            When the permit of the request was granted, in seconds.
        now : float
            Current time, in seconds.
        """
        if granted_at_s > self._last_advertised_at_s:
            self._refill(now)
            self.per_s = math.inf

    def grant_permits(
        self, member: str, counts: Mapping[int, int], now: Seconds
    ) -> PermitGrant:
        """Grant permits to a member; requests of more urgent (lower) tiers go first.

        Parameters
        ----------
        member : str
            Name of the member.
        counts : mapping of int to int
            Requests that the member would send to the upstream now, by tier.
        now : float
            Current time, in seconds.
        """
        self._refill(now)
        if math.isinf(self.per_s):
            return PermitGrant(0, now, 0.0, {}, 0.0, math.inf)
        self._demands = {
            n: d for n, d in self._demands.items() if d.valid_until_s > now
        }
        if not counts:
            return PermitGrant(
                0, now, 0.0, self._total_demand(), self._available, self.per_s
            )
        remaining = Counter(dict(counts))
        demand = self._demands[member] = _Demand(remaining, now + MAX_OVERDUE_S)
        others = self._total_demand() - remaining
        granted = 0
        for tier in sorted(remaining):
            share = self._fair_share(remaining[tier], tier, others)
            granted += share
            self._available -= share
            remaining[tier] -= share
        retry_after_s = 0.0
        if remaining.total():
            more_urgent = sum(n for tier, n in others.items() if tier < max(remaining))
            retry_after_s = max(
                (1.0 + more_urgent - self._available) / self.rate_per_s,
                REQUEST_SPACING_S * len(self._demands),
            )
            retry_after_s = min(
                MAX_REQUEST_INTERVAL_S, max(MIN_REQUEST_INTERVAL_S, retry_after_s)
            )
        demand.valid_until_s = now + retry_after_s + MAX_OVERDUE_S
        queued = {tier: n for tier, n in self._total_demand().items() if n}
        return PermitGrant(
            granted, now, retry_after_s, queued, self._available, self.per_s
        )

    def _fair_share(self, count: int, tier: int, others: Counter[int]) -> int:
        """Return the member's share of the free permits for one tier.

        Permits that other members want for more urgent tiers are kept for them; the
        rest is shared in proportion to the counts of this tier.
        """
        free = self._available - sum(n for other, n in others.items() if other < tier)
        if not count or free < 1.0:
            return 0
        share = math.ceil(free * count / (count + others[tier]))
        return min(count, int(free), share)

    def _total_demand(self) -> Counter[int]:
        total: Counter[int] = Counter()
        for demand in self._demands.values():
            total += demand.counts
        return total

    def _refill(self, now: Seconds) -> None:
        elapsed_s, self._refilled_at_s = now - self._refilled_at_s, now
        if not math.isinf(self.per_s):
            earned = max(0.0, elapsed_s) * self.rate_per_s
            self._available = min(self._bucket_size(), self._available + earned)

    def _bucket_size(self) -> float:
        """Return how many permits may be saved while no member requests any."""
        return max(MIN_BURST, BURST_S * self.rate_per_s)
