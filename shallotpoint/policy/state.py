"""State of one pool in one router.

The policy modules read it to decide; :class:`~shallotpoint.policy.scheduler.Scheduler`
updates it.
"""

from __future__ import annotations

import random
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotpoint.pacing import PaceTracker
from shallotpoint.policy.closures import UpstreamClosures
from shallotpoint.policy.demand import Demand
from shallotpoint.policy.dispatch import Candidate
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.health import HealthTracker
from shallotpoint.policy.limits import UpstreamLimits
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.queueing import FairQueue
from shallotpoint.policy.retries import RetryBudget, WindowRetryBudget
from shallotpoint.policy.shares import ShareLedger
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.policy.tuning import Tuning
from shallotpoint.types import Seconds

PRIORITY_DEFICIT_SLOT_S = 1.0  # a class this far below its share precedes all tiers


@dataclass(slots=True)
class Slots:
    """Capacity of one upstream for this router, and the requests that use it.

    Attributes
    ----------
    credits : int
        Requests that this router may run on the upstream.
    total : int
        Requests that the upstream runs concurrently, for all routers.
    in_own_data_centre : bool
        Whether the upstream is in the router's own data centre.
    draining : bool
        Whether the upstream gets no new requests.
    peer_running : int
        Requests of other routers on the upstream, as they last reported.
    started_ms : int
        Start time of the upstream's process in milliseconds, as the host list gives
        it; 0 if unknown.
    closed : bool
        Whether the upstream rejected a request and asked for a pause that still lasts.
    running : set of str
        Ids of this router's requests on the upstream.
    suspect_id : str or None
        Id of the only request on it that is suspected of crashing upstreams.
    """

    credits: int
    total: int
    in_own_data_centre: bool = True
    draining: bool = False
    peer_running: int = 0
    started_ms: int = 0
    closed: bool = False
    running: set[str] = field(default_factory=set)
    suspect_id: str | None = None

    @property
    def occupied(self) -> int:
        """Slots in use or asked for by all routers, as far as this one knows."""
        return len(self.running) + self.peer_running

    @property
    def free(self) -> int:
        """Slots that this router may still use."""
        if self.draining or self.closed:
            return 0
        return max(0, self.credits - len(self.running))


@dataclass(slots=True)
class PoolState:
    """Queues, admitted requests and upstreams of one pool.

    Attributes
    ----------
    requests : dict
        Admitted requests that are queued or running, by id.
    running : dict
        Slots in use, by class.
    awaiting_first_token : dict
        Ids of requests sent upstream whose first token has not arrived, oldest first.
    budgets : dict
        Retry budgets by class and upstream.
    shared_budget : WindowRetryBudget or None
        Budget that all routers share; replaces ``budgets`` if set.
    exposures : AttemptTracker or None
        If set, a crash counts only once the upstream process is known to have ended.
    count_unstarted_below : Callable
        Returns how many requests of lower tiers than a given one were sent to an
        upstream, by any router, and have not started.
    count_peer_started : Callable
        Returns how many requests of other routers on an upstream have a first token.
    prefers : Callable
        Returns whether a class uses an upstream before others.
    pacing : PaceTracker or None
        Paces of new and recovered upstreams; None if they are not limited.
    """

    tuning: Tuning
    poison: PoisonTracker
    closures: UpstreamClosures = field(
        default_factory=lambda: UpstreamClosures(random.Random())
    )
    limits: UpstreamLimits = field(default_factory=UpstreamLimits)
    health: HealthTracker = field(default_factory=HealthTracker)
    requests: dict[str, AdmittedRequest] = field(default_factory=dict)
    upstreams: dict[str, Slots] = field(default_factory=dict)
    queues: dict[str, FairQueue] = field(default_factory=dict)
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    demand: dict[str, Demand] = field(default_factory=lambda: defaultdict(Demand))
    shares: ShareLedger = field(default_factory=ShareLedger)
    awaiting_first_token: dict[str, None] = field(default_factory=dict)
    budgets: dict[tuple[str, str], RetryBudget] = field(default_factory=dict)
    shared_budget: WindowRetryBudget | None = None
    exposures: AttemptTracker | None = None
    count_unstarted_below: Callable[[str, int], int] = lambda upstream, tier: 0
    count_peer_started: Callable[[str], int] = lambda upstream: 0
    prefers: Callable[[ServiceClass, str], bool] = lambda cls, upstream: True
    pacing: PaceTracker | None = None

    @property
    def waiting_count(self) -> int:
        """Number of queued requests of all classes."""
        return sum(len(queue) for queue in self.queues.values())

    def waiting_by_tier(self) -> dict[int, int]:
        """Return the number of queued requests by tier."""
        waiting: dict[int, int] = defaultdict(int)
        for name, queue in self.queues.items():
            if len(queue):
                waiting[self.classes[name].tier] += len(queue)
        return dict(waiting)

    @property
    def accepting_upstreams(self) -> list[str]:
        """Names of the upstreams that are not draining."""
        return [name for name, slots in self.upstreams.items() if not slots.draining]

    @property
    def total_slots(self) -> int:
        """Credits on all healthy upstreams that are not draining."""
        return sum(
            self.upstreams[name].credits
            for name in self.accepting_upstreams
            if self.is_usable(name)
        )

    @property
    def free_slots(self) -> int:
        """Slots free now on healthy upstreams, without those that lack a permit."""
        return sum(
            self.upstreams[name].free
            for name in self.open_upstreams()
            if self.is_usable(name)
        )

    def open_upstreams(self) -> list[str]:
        """Return the upstreams with a free slot and, where one is needed, a permit."""
        may_send = self.limits.may_send
        return [n for n, slots in self.upstreams.items() if slots.free and may_send(n)]

    def overtaking_upstreams(self, tier: int) -> list[str]:
        """Return the upstreams on which a request starts before others that wait there.

        An upstream has a queue of its own that it serves by tier, so requests of lower
        tiers that have not started take no slot from a request of this tier.
        """
        if tier >= max((cls.tier for cls in self.classes.values()), default=tier):
            return []
        return [
            name
            for name, slots in self.upstreams.items()
            if not (slots.draining or slots.closed)
            and slots.total
            <= slots.occupied
            < slots.total + self.count_unstarted_below(name, tier)
            and self.limits.may_send(name)
        ]

    def upstreams_awaiting_permit(self, now: Seconds) -> list[str]:
        """Return the upstreams with a free slot whose missing permit may soon come."""
        return [
            name
            for name, slots in self.upstreams.items()
            if slots.free
            and not self.limits.may_send(name)
            and self.limits.may_get_permit(name, now)
        ]

    def upstreams_if_all_limited(self) -> list[str]:
        """Return the upstreams that accept requests, if all of them need permits.

        The list is empty if any upstream accepts requests without a permit.
        """
        names = [
            name
            for name, slots in self.upstreams.items()
            if not (slots.draining or slots.closed)
        ]
        return names if all(name in self.limits for name in names) else []

    def is_blocked(self, ticket: Ticket, now: Seconds) -> bool:
        """Return whether a request may have crashed too many upstreams to run again.

        After the first proven crash, upstreams that have not answered the request
        count as crashed too.  The crashes of other requests count if a part of the
        prompt that they share with it is to blame.
        """
        if self.poison.parts.is_blocked(ticket.parts, now):
            return True
        fingerprint = ticket.fingerprint
        count = self.poison.count_crashes(fingerprint, now)
        if count and self.exposures is not None:
            possibly_crashed = self.exposures.possibly_crashed(fingerprint, now)
            count += len(
                possibly_crashed - self.poison.crashed_incarnations(fingerprint)
            )
        return count >= self.poison.block_threshold(fingerprint)

    def update_closed_flags(self, now: Seconds) -> None:
        """Update the ``closed`` flags of all upstreams."""
        for name, slots in self.upstreams.items():
            slots.closed = self.closures.is_closed(name, now)

    def earliest_opening_s(self, now: Seconds) -> Seconds | None:
        """Return when the first upstream reopens; None if one is open or none exist."""
        return self.closures.earliest_opening_s(self.accepting_upstreams, now)

    def is_usable(self, upstream: str) -> bool:
        """Return whether an upstream is healthy enough for more than probes."""
        return not self.tuning.health or self.health.is_healthy(upstream)

    def is_below_share(self, class_name: str) -> bool:
        """Return whether a class has had clearly less than its guaranteed share."""
        return self.shares.deficit_slot_s(class_name) >= PRIORITY_DEFICIT_SLOT_S

    def budget(self, ticket: Ticket, upstream: str) -> RetryBudget | WindowRetryBudget:
        """Return the shared retry budget, or that of a class on an upstream."""
        if self.shared_budget is not None:
            return self.shared_budget
        key = (ticket.service_class.name, upstream)
        budget = self.budgets.get(key)
        if budget is None:
            budget = self.budgets[key] = RetryBudget()
        return budget

    def charge(self, request: AdmittedRequest, tokens: int) -> None:
        """Charge tokens to a request's organisation, beyond those that it prepaid."""
        paid = min(request.prepaid_tokens, tokens)
        request.prepaid_tokens -= paid
        queue = self.queues.get(request.ticket.service_class.name)
        if queue is not None and tokens > paid:
            queue.charge(request.ticket.organisation, tokens - paid)

    def candidate(self, upstream: str, now: Seconds) -> Candidate:
        """Return the load and health of an upstream, to compare it with others."""
        slots = self.upstreams[upstream]
        health = self.health[upstream]
        return Candidate(
            upstream,
            running=len(slots.running),
            peer_running=slots.peer_running,
            slots=slots.total,
            ttft_s=health.ttft_s,
            weight=health.weight(now) if self.tuning.health else 1.0,
            in_own_data_centre=slots.in_own_data_centre,
        )
