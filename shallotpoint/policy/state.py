"""What one router knows of one pool; decisions read it, the scheduler writes it."""

from __future__ import annotations

import random
from collections import defaultdict
from dataclasses import dataclass, field

from shallotpoint.policy.closures import ClosureBook
from shallotpoint.policy.demand import Demand
from shallotpoint.policy.dispatch import Candidate
from shallotpoint.policy.exposures import ExposureBook
from shallotpoint.policy.health import HealthBook
from shallotpoint.policy.limits import LimitBook
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.poison import PoisonBook
from shallotpoint.policy.queueing import FairQueue
from shallotpoint.policy.retries import RetryBudget, WindowBudget
from shallotpoint.policy.shares import ShareLedger
from shallotpoint.policy.ticket import Course, Ticket
from shallotpoint.policy.tuning import Tuning
from shallotpoint.types import Seconds

OWED_SLOTS = 1.0  # slot-seconds of debt that outrank tiers


@dataclass(slots=True)
class Slots:
    """One upstream's capacity as this router may use it.

    Attributes
    ----------
    credits : int
        Requests that this router may have on the upstream.
    total : int
        Requests that the upstream runs at once.
    elsewhere : int
        Requests of other routers there, by their last word.
    started_ms : int
        Start of the present incarnation, 0 if starts are not told apart.
    closed : bool
        Whether it turned work away and the time that it named is not over.
    suspect : str or None
        The one request on it that may have crashed another upstream.
    """

    credits: int
    total: int
    near: bool = True
    draining: bool = False
    elsewhere: int = 0
    started_ms: int = 0
    closed: bool = False
    running: set[str] = field(default_factory=set)
    suspect: str | None = None

    @property
    def free(self) -> int:
        """Slots that this router may still fill."""
        if self.draining or self.closed:
            return 0
        return max(0, self.credits - len(self.running))


@dataclass(slots=True)
class PoolState:
    """Queues, courses and upstreams of one pool.

    Attributes
    ----------
    starting : dict
        Ids of requests that wait upstream for their first token, in order.
    running : dict
        Slots held, by class.
    shared_budget : WindowBudget or None
        Replaces the budgets by class and upstream where all routers share one.
    exposures : ExposureBook or None
        Where it is kept, a crash counts once its upstream has shown to have ended.
    """

    tuning: Tuning
    poison: PoisonBook
    closures: ClosureBook = field(default_factory=lambda: ClosureBook(random.Random()))
    limits: LimitBook = field(default_factory=LimitBook)
    health: HealthBook = field(default_factory=HealthBook)
    courses: dict[str, Course] = field(default_factory=dict)
    upstreams: dict[str, Slots] = field(default_factory=dict)
    queues: dict[str, FairQueue] = field(default_factory=dict)
    classes: dict[str, ServiceClass] = field(default_factory=dict)
    running: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    demand: dict[str, Demand] = field(default_factory=lambda: defaultdict(Demand))
    shares: ShareLedger = field(default_factory=ShareLedger)
    starting: dict[str, None] = field(default_factory=dict)
    budgets: dict[tuple[str, str], RetryBudget] = field(default_factory=dict)
    shared_budget: WindowBudget | None = None
    exposures: ExposureBook | None = None

    @property
    def waiting_count(self) -> int:
        """Requests that wait, over all classes."""
        return sum(len(queue) for queue in self.queues.values())

    def waiting_by_tier(self) -> dict[int, int]:
        """Return how many requests of each tier wait."""
        waiting: dict[int, int] = defaultdict(int)
        for name, queue in self.queues.items():
            if len(queue):
                waiting[self.classes[name].tier] += len(queue)
        return dict(waiting)

    @property
    def taking(self) -> list[str]:
        """Upstreams that are not draining."""
        return [name for name, slots in self.upstreams.items() if not slots.draining]

    @property
    def total_slots(self) -> int:
        """Slots that this router may fill on upstreams that take work."""
        return sum(
            self.upstreams[name].credits for name in self.taking if self.is_usable(name)
        )

    @property
    def free_slots(self) -> int:
        """Slots that ordinary work could take now."""
        return sum(
            self.upstreams[name].free
            for name in self.open_upstreams()
            if self.is_usable(name)
        )

    def open_upstreams(self) -> list[str]:
        """Return the upstreams on which this router has a slot left."""
        allows = self.limits.allows
        return [n for n, slots in self.upstreams.items() if slots.free and allows(n)]

    def askable_upstreams(self, now: Seconds) -> list[str]:
        """Return the limited upstreams with a slot left whose permit may soon come."""
        return [
            name
            for name, slots in self.upstreams.items()
            if slots.free
            and not self.limits.allows(name)
            and self.limits.may_ask(name, now)
        ]

    def limited_upstreams(self) -> list[str]:
        """Return the upstreams that take work, if each of them is limited."""
        names = [
            name
            for name, slots in self.upstreams.items()
            if not (slots.draining or slots.closed)
        ]
        return names if all(name in self.limits for name in names) else []

    def is_blocked(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether a request has ended too many upstreams to be sent again.

        After the first end, upstreams that have not answered it count as well.
        """
        count = self.poison.count(fingerprint, now)
        if count and self.exposures is not None:
            unanswered = self.exposures.unanswered(fingerprint, now)
            count += len(unanswered - self.poison.ends(fingerprint))
        return count >= self.poison.ends_to_block(fingerprint)

    def mark_closed(self, now: Seconds) -> None:
        """Bring the marks of closed upstreams up to date."""
        for name, slots in self.upstreams.items():
            slots.closed = self.closures.is_closed(name, now)

    def opening_s(self, now: Seconds) -> Seconds | None:
        """Return when the first upstream opens, None if one is open or none listed."""
        return self.closures.opening_s(self.taking, now)

    def is_usable(self, upstream: str) -> bool:
        """Return whether an upstream may take ordinary work."""
        return not self.tuning.health or self.health.usable(upstream)

    def is_owed(self, class_name: str) -> bool:
        """Return whether a class has had clearly less than its share."""
        return self.shares.owed(class_name) >= OWED_SLOTS

    def budget(self, ticket: Ticket, upstream: str) -> RetryBudget | WindowBudget:
        """Return the retry budget of a request's class on an upstream."""
        if self.shared_budget is not None:
            return self.shared_budget
        key = (ticket.service_class.name, upstream)
        budget = self.budgets.get(key)
        if budget is None:
            budget = self.budgets[key] = RetryBudget()
        return budget

    def charge(self, course: Course, tokens: int) -> None:
        """Charge a request's organisation, first using up what was prepaid."""
        paid = min(course.prepaid, tokens)
        course.prepaid -= paid
        queue = self.queues.get(course.ticket.service_class.name)
        if queue is not None and tokens > paid:
            queue.charge(course.ticket.organisation, tokens - paid)

    def candidate(self, upstream: str, now: Seconds) -> Candidate:
        """Return an upstream as the choice among upstreams sees it."""
        slots = self.upstreams[upstream]
        health = self.health[upstream]
        return Candidate(
            upstream,
            running=len(slots.running),
            elsewhere=slots.elsewhere,
            slots=slots.total,
            ttft_s=health.ttft_s,
            weight=health.weight(now) if self.tuning.health else 1.0,
            near=slots.near,
        )
