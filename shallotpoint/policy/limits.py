"""Client side of rate-limited upstreams, which need a permit for each request.

An overloaded upstream may announce how many requests per second it accepts from all
routers together.  A request for such an upstream waits briefly for a permit and goes to
another upstream if it gets none.  If every upstream is limited, the request waits for a
permit, or is refused at once if the permit would come too late.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from shallotpoint.types import Seconds

PERMIT_WAIT_S = 0.03  # many round trips to another router of the region
# At least as many permits are requested at once as requests were sent in this time.
DEMAND_WINDOW_S = 0.25
URGENT_REQUEST_INTERVAL_S = 0.05  # least time after a reply before an early request
UNREACHABLE_WAIT_S = 1.0  # assumed wait while no issuer of permits is reachable


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission to send one request to a rate-limited upstream.

    Attributes
    ----------
    granted_at_s : float
        Time of the grant, in seconds, by the clock of the router that issued it.
    fence : int
        Number of the lease under which it was issued.
    expires_at_s : float
        Time at which it expires, in seconds, by a clock of this router that also
        advances while the host is suspended.
    """

    granted_at_s: Seconds
    fence: int
    expires_at_s: Seconds


@dataclass(frozen=True, slots=True)
class PermitsNeeded:
    """A request for permits of one upstream.

    Attributes
    ----------
    counts : mapping
        Number of requests that need a permit now or shortly, by tier.
    """

    upstream: str
    counts: Mapping[int, int]


@dataclass(frozen=True, slots=True)
class PermitOutlook:
    """Demand for the permits of one upstream, as reported in a reply.

    Attributes
    ----------
    reported_s : float
        Time of the report, in seconds.
    queued, own : mapping
        Number of requests that need a permit, of all routers and of this one, by tier.
    available : float
        Permits that are available but not issued yet.
    per_s : float
        Permits issued per second; 0 if no issuer is reachable.
    """

    reported_s: Seconds
    queued: Mapping[int, int] = field(default_factory=dict)
    own: Mapping[int, int] = field(default_factory=dict)
    available: float = 0.0
    per_s: float = 0.0

    def next_grant_s(self, tier: int, ahead: float, now: Seconds) -> Seconds:
        """Return the time at which another request would get a permit, in seconds.

        Parameters
        ----------
        tier : int
            Tier of the request; requests of other routers with the same or a lower
            tier number go first.
        ahead : float
            Number of this router's requests that go first.
        """
        if not self.per_s:
            return max(now, self.reported_s + UNREACHABLE_WAIT_S)
        elsewhere = sum(
            max(0, count - self.own.get(other, 0))
            for other, count in self.queued.items()
            if other <= tier
        )
        missing = elsewhere + ahead + 1.0 - self.available
        return max(now, self.reported_s + missing / self.per_s)


@dataclass(slots=True)
class _LimitedUpstream:
    """This router's permits for one rate-limited upstream and its demand for them.

    Attributes
    ----------
    permits : deque of Permit
        Permits that are not used yet, oldest first.
    send_times_s : deque of float
        Times at which permits were used lately, in seconds.
    demand : dict
        Number of requests that need a permit, by tier.
    requested : mapping
        The counts of the latest request for permits.
    is_pending : bool
        Whether the reply to that request is outstanding.
    next_request_s : float
        Time of the next request for permits, in seconds.
    outlook : PermitOutlook or None
        Demand of all routers as of the latest reply.
    """

    permits: deque[Permit] = field(default_factory=deque)
    send_times_s: deque[Seconds] = field(default_factory=deque)
    demand: dict[int, int] = field(default_factory=dict)
    requested: Mapping[int, int] = field(default_factory=dict)
    is_pending: bool = False
    next_request_s: Seconds = 0.0
    outlook: PermitOutlook | None = None

    def may_request(self, now: Seconds) -> bool:
        """Return whether permits may be requested now.

        This is so when the next request for permits is due, or earlier if a request
        is more urgent than all that the latest one was made for.
        """
        if self.next_request_s <= now:
            return True
        if (
            self.outlook is None
            or self.outlook.reported_s + URGENT_REQUEST_INTERVAL_S > now
        ):
            return False
        return min(self.demand) < min(self.requested, default=math.inf)


class UpstreamLimits:
    """The rate-limited upstreams known to one router, and its permits for them.

    Examples
    --------
    >>> limits = UpstreamLimits()
    >>> limits.may_send("u1")
    True
    >>> limits.require_permits("u1"); limits.may_send("u1")
    False
    >>> limits.raise_demand("u1", {0: 1}); limits.due_requests(now=0.0)
    [PermitsNeeded(upstream='u1', counts={0: 1})]
    >>> permit = Permit(0.0, 1, expires_at_s=1.0)
    >>> outlook = PermitOutlook(0.0, per_s=1.2)
    >>> limits.add_reply("u1", [permit], next_request_s=0.1, outlook=outlook)
    >>> limits.may_send("u1"), limits.use_permit("u1", now=0.0) == permit
    (True, True)
    >>> limits.may_send("u1")
    False
    """

    def __init__(self) -> None:
        self._limited: dict[str, _LimitedUpstream] = {}

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._limited

    def __bool__(self) -> bool:
        return bool(self._limited)

    def require_permits(self, upstream: str) -> None:
        """Require a permit for each request to an upstream from now on."""
        self._limited.setdefault(upstream, _LimitedUpstream())

    def remove_limit(self, upstream: str) -> None:
        """Stop requiring permits for an upstream."""
        self._limited.pop(upstream, None)

    def may_send(self, upstream: str) -> bool:
        """Return whether one request may be sent to an upstream now."""
        limited = self._limited.get(upstream)
        return limited is None or bool(limited.permits)

    def may_get_permit(self, upstream: str, now: Seconds) -> bool:
        """Return whether a permit for an upstream may arrive shortly."""
        limited = self._limited.get(upstream)
        return limited is not None and (
            limited.is_pending or limited.next_request_s <= now
        )

    def use_permit(self, upstream: str, now: Seconds) -> Permit | None:
        """Use up a permit and return it; None for an upstream without a limit."""
        limited = self._limited.get(upstream)
        if limited is None:
            return None
        limited.send_times_s.append(now)
        return limited.permits.popleft()

    def reset_demand(self, upstreams: Iterable[str]) -> None:
        """Reset the demand for some upstreams, before it is determined anew."""
        for name in upstreams:
            if name in self._limited:
                self._limited[name].demand = {}

    def raise_demand(self, upstream: str, counts: Mapping[int, int]) -> None:
        """Raise the demand for permits, by tier, to at least the given counts."""
        demand = self._limited[upstream].demand
        for tier, count in counts.items():
            demand[tier] = max(count, demand.get(tier, 0))

    def divide_demand(
        self, upstreams: Sequence[str], waiting: Mapping[int, int], now: Seconds
    ) -> dict[str, dict[int, int]]:
        """Divide waiting requests over limited upstreams.

        Each request counts at the upstream where it would get a permit first.

        Parameters
        ----------
        waiting : mapping
            Number of waiting requests by tier.

        Returns
        -------
        dict
            Number of requests by upstream and tier.
        """
        demand: dict[str, dict[int, int]] = {}
        assigned = dict.fromkeys(upstreams, 0)
        if not upstreams:
            return demand
        for tier in sorted(waiting):
            for _ in range(waiting[tier]):
                turns = [
                    (self.next_grant_s([name], tier, ahead, now), ahead, name)
                    for name, ahead in assigned.items()
                ]
                _, _, first = min(turns)
                assigned[first] += 1
                counts = demand.setdefault(first, {})
                counts[tier] = counts.get(tier, 0) + 1
        return demand

    def due_requests(self, now: Seconds) -> list[PermitsNeeded]:
        """Return the requests for permits to send now, and mark them as sent."""
        requests = []
        for upstream, limited in self._limited.items():
            demand = limited.demand
            if not demand or limited.is_pending or not limited.may_request(now):
                continue
            while (
                limited.send_times_s and limited.send_times_s[0] < now - DEMAND_WINDOW_S
            ):
                limited.send_times_s.popleft()
            lowest_tier = max(demand)
            demand[lowest_tier] += max(
                0, len(limited.send_times_s) - sum(demand.values())
            )
            limited.is_pending, limited.requested, limited.demand = True, demand, {}
            requests.append(PermitsNeeded(upstream, demand))
        return requests

    def add_reply(
        self,
        upstream: str,
        permits: Sequence[Permit],
        *,
        next_request_s: Seconds,
        outlook: PermitOutlook,
    ) -> None:
        """Add the permits of a reply.

        Parameters
        ----------
        next_request_s : float
            Time of the next request for permits, in seconds.
        outlook : PermitOutlook
            Demand of all routers, as reported in the reply.
        """
        limited = self._limited.get(upstream)
        if limited is None:
            return
        limited.permits.extend(permits)
        limited.is_pending, limited.next_request_s = False, next_request_s
        limited.outlook = replace(outlook, own=limited.requested)

    def drop_expired(self, now: Seconds) -> None:
        """Drop expired permits.

        Parameters
        ----------
        now : float
            Time in seconds, by a clock that also advances while the host is suspended.
        """
        for limited in self._limited.values():
            while limited.permits and limited.permits[0].expires_at_s <= now:
                limited.permits.popleft()

    def next_grant_s(
        self, upstreams: Sequence[str], tier: int, ahead: int, now: Seconds
    ) -> Seconds:
        """Return the time at which another request would get a permit, in seconds.

        Parameters
        ----------
        upstreams : sequence of str
            Limited upstreams, over which the requests ahead are divided evenly.
        tier : int
            Tier of the request.
        ahead : int
            Number of this router's requests that go first.
        """
        turns = []
        for name in upstreams:
            limited = self._limited[name]
            if limited.outlook is None or len(limited.permits) > ahead:
                return now
            each = ahead / len(upstreams)
            turns.append(limited.outlook.next_grant_s(tier, each, now))
        return min(turns, default=now)
