"""All decisions of one router about one pool, free of clock and I/O.

The owner reports what happened, each time with the present time, and carries
out the actions that :meth:`Scheduler.poll` returns.  The daemon and the
virtual-clock bench drive this same class.
"""

from __future__ import annotations

import heapq
from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotpoint.policy.actions import (
    Action,
    Admission,
    Admitted,
    Expire,
    Refused,
    Send,
    Withdraw,
)
from shallotpoint.policy.demand import Demand
from shallotpoint.policy.dispatch import Candidate, PrefixMap, choose
from shallotpoint.policy.health import HealthBook, Verdict
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.poison import CrashReport, PoisonBook
from shallotpoint.policy.queueing import FairQueue
from shallotpoint.policy.retries import RetryBudget
from shallotpoint.policy.shares import ShareLedger
from shallotpoint.policy.ticket import Course, Leg, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds

PREPAID_TOKENS = 16  # charged when sent, so that one organisation is not sent all
SUSPECT_CLEAR_S = 5.0  # a suspect that streams this long is cleared
MAX_MOVES = 4  # times that one request is carried on or moved
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


@dataclass(frozen=True, slots=True)
class Tuning:
    """The parts of the policy that can be switched or set, for measurement.

    Attributes
    ----------
    reserve : bool
        Keep slots for recent demand of higher tiers.
    caps : bool
        Keep the guaranteed shares of active classes out of others' reach.
    preempt_after : float or None
        Part of the first-token target after which a waiting request of a
        higher tier takes the slot of a preemptible one; None for never.
    hedge_ratio : float or None
        Multiple of the pool's first-token time after which a second upstream
        is asked; None for never.
    move_slow : bool
        Carry streams on elsewhere when their upstream is judged slow.
    affinity : bool
        Prefer the upstream that has seen a prompt's prefix.
    early_refusal : bool
        Refuse on arrival when the estimated wait passes the target.
    health : bool
        Eject upstreams that are slow or down.
    """

    reserve: bool = True
    caps: bool = True
    preempt_after: float | None = 0.2
    hedge_ratio: float | None = 3.0
    hedge_min_s: Seconds = 0.25
    move_slow: bool = True
    affinity: bool = True
    early_refusal: bool = True
    health: bool = True
    refusal_margin: float = 0.9


@dataclass(slots=True)
class Slots:
    """One upstream's capacity as this router may use it."""

    credits: int
    total: int
    near: bool = True
    draining: bool = False
    elsewhere: int = 0
    running: set[str] = field(default_factory=set)
    suspect: str | None = None

    @property
    def free(self) -> int:
        """Slots that this router may still fill."""
        return 0 if self.draining else max(0, self.credits - len(self.running))


class Scheduler:
    """Queues, admission, dispatch, retries and preemption for one pool.

    Parameters
    ----------
    tuning : Tuning, optional
        Switches for measurements.
    poison : PoisonBook, optional
        Shared among the pools of a router.
    """

    def __init__(self, *, tuning: Tuning | None = None, poison=None):
        self.tuning = tuning or Tuning()
        self.poison: PoisonBook = poison or PoisonBook()
        self.health = HealthBook()
        self.courses: dict[str, Course] = {}
        self.upstreams: dict[str, Slots] = {}
        self.crash_reports: list[CrashReport] = []
        self._queues: dict[str, FairQueue] = {}
        self._classes: dict[str, ServiceClass] = {}
        self._running: dict[str, int] = defaultdict(int)
        self._demand: dict[str, Demand] = defaultdict(Demand)
        self._shares = ShareLedger()
        self._budgets: dict[tuple[str, str], RetryBudget] = {}
        self._prefixes = PrefixMap()
        self._expiries: list[tuple[Seconds, str]] = []
        self._starting: dict[str, None] = {}

    # Configuration

    def set_classes(self, classes: Mapping[str, ServiceClass]) -> None:
        """Take over the operators' classes; queued work keeps its place."""
        self._classes = dict(classes)

    def set_upstreams(self, slots: Mapping[str, Slots]) -> None:
        """Take over credits, load elsewhere and draining marks."""
        for name, new in slots.items():
            old = self.upstreams.get(name)
            if old is not None:
                new.running = old.running
                new.suspect = old.suspect
        kept = {n: s for n, s in self.upstreams.items() if n not in slots and s.running}
        for gone in kept.values():
            gone.draining = True
        self.upstreams = {**slots, **kept}
        self.health.set_upstreams(self.upstreams)

    def set_credits(self, upstream: str, credits: int) -> None:
        """Set how many requests this router may have on an upstream."""
        self.upstreams[upstream].credits = credits

    # Queries

    def class_names(self) -> list[str]:
        """Return the names of all classes that are known here."""
        return list(self._classes)

    def queue_length(self, class_name: str) -> int:
        """Return how many requests of a class wait."""
        queue = self._queues.get(class_name)
        return len(queue) if queue else 0

    def running_count(self, class_name: str) -> int:
        """Return how many slots a class holds."""
        return self._running[class_name]

    @property
    def waiting_count(self) -> int:
        """Requests that wait, over all classes."""
        return sum(len(queue) for queue in self._queues.values())

    @property
    def total_slots(self) -> int:
        """Slots that this router may fill on upstreams that take work."""
        return sum(
            slots.credits
            for name, slots in self.upstreams.items()
            if not slots.draining and self._is_usable(name)
        )

    def slots_wanted(self, now: Seconds) -> float:
        """Return the slots that this router could use now, for lending."""
        running = sum(len(s.running) for s in self.upstreams.values())
        recent = sum(d.slots_wanted(now) for d in self._demand.values())
        return max(running + self.waiting_count, recent)

    # Events

    def offer(self, ticket: Ticket, now: Seconds) -> Admission:
        """Queue a new request, or refuse it at once."""
        cls = ticket.service_class
        self._classes.setdefault(cls.name, cls)
        self._demand[cls.name].arrive(now)
        refusal = self._refusal(ticket, now)
        if refusal is not None:
            return refusal
        wait_s = self.estimate_wait_s(cls, ticket.organisation, now)
        self.courses[ticket.id] = Course(ticket, queued_s=now)
        self._enqueue(ticket)
        return Admitted(wait_s)

    def progress(
        self, ticket_id: str, upstream: str, tokens: int, now: Seconds
    ) -> list[Action]:
        """Count tokens from one leg; the first leg to answer wins a hedge."""
        course = self.courses.get(ticket_id)
        leg = course.leg_on(upstream) if course else None
        if course is None or leg is None:
            return []
        actions: list[Action] = []
        if leg.first_s is None:
            leg.first_s = now
            self._starting.pop(ticket_id, None)
            self.health.answered(upstream, now - leg.sent_s, now)
            actions = self._drop_other_legs(course, leg, now)
        elif leg.last_s is not None and tokens:
            self.health.progressed(upstream, (now - leg.last_s) / tokens)
        leg.last_s = now
        leg.tokens += tokens
        course.tokens += tokens
        self._charge(course, tokens)
        self._clear_suspicion(course, leg, now)
        return actions

    def finished(self, ticket_id: str, upstream: str, now: Seconds) -> list[Action]:
        """Note a whole answer."""
        course = self.courses.get(ticket_id)
        if course is None:
            return []
        leg = course.leg_on(upstream)
        actions: list[Action] = []
        if leg is not None:
            if leg.first_s is None:
                self.health.answered(upstream, now - leg.sent_s, now)
                actions = self._drop_other_legs(course, leg, now)
            self._budget(course.ticket, upstream).succeed(now)
        self._end_legs(course, now)
        self._forget(course)
        return actions

    def failed(
        self,
        ticket_id: str,
        upstream: str,
        reason: Result,
        now: Seconds,
        *,
        may_retry: bool = True,
    ) -> Result | None:
        """Note a failed leg.

        Returns
        -------
        Result or None
            The code to give up with, or None when the request goes on.
        """
        course = self.courses.get(ticket_id)
        if course is None or course.leg_on(upstream) is None:
            return None
        self._note_failure(course, upstream, reason, now)
        self._end_leg(course, upstream, now)
        if course.legs:
            return None
        verdict = self._verdict_on_retry(course, upstream, reason, may_retry, now)
        if verdict is not None:
            self._forget(course)
            return verdict
        self._requeue(course, now)
        return None

    def abandon(self, ticket_id: str, now: Seconds) -> None:
        """Forget a request whose caller is gone or that its owner ended."""
        course = self.courses.get(ticket_id)
        if course is None:
            return
        queue = self._queues.get(course.ticket.service_class.name)
        if queue is not None:
            queue.remove(ticket_id)
        self._end_legs(course, now)
        self._forget(course)

    def poll(self, now: Seconds) -> list[Action]:
        """Return what is to be done now; call after events and on a tick."""
        self._note_overdue(now)
        actions = self._expire(now)
        self._update_shares(now)
        actions += self._dispatch(now)
        actions += self._preempt(now)
        actions += self._hedge(now)
        if self.tuning.move_slow:
            actions += self._move_from_slow(now)
        return actions

    # Admission

    def estimate_wait_s(
        self, cls: ServiceClass, organisation: str, now: Seconds
    ) -> Seconds:
        """Return the estimated wait of a new request, in seconds."""
        queue = self._queues.get(cls.name)
        own = self._ahead_in_class(queue, organisation)
        ahead = own + self._ahead_in_higher_tiers(cls)
        if ahead < 1 and self._has_room(cls, now):
            return 0.0
        rate = self._service_rate(cls, now)
        return (ahead + 1) / rate if rate > 0 else 0.0

    def _ahead_in_class(self, queue: FairQueue | None, organisation: str) -> int:
        if not queue:
            return 0
        fair = (queue.backlog(organisation) + 1) * queue.active_organisations
        return min(len(queue), fair)

    def _ahead_in_higher_tiers(self, cls: ServiceClass) -> int:
        return sum(
            len(queue)
            for name, queue in self._queues.items()
            if self._classes[name].tier < cls.tier
        )

    def _service_rate(self, cls: ServiceClass, now: Seconds) -> float:
        """Return the requests of this class that can start per second."""
        total = sum(d.departures.per_s(now) for d in self._demand.values())
        higher = sum(
            self._demand[name].arrivals_fast.per_s(now)
            for name, other in self._classes.items()
            if other.tier < cls.tier
        )
        own = self._demand[cls.name].departures.per_s(now)
        return max(own, total - higher, cls.share * total)

    def _refusal(self, ticket: Ticket, now: Seconds) -> Refused | None:
        cls = ticket.service_class
        queue = self._queues.get(cls.name)
        if self.poison.blocked(ticket.fingerprint, now):
            return Refused(Result.POISON, MAX_RETRY_AFTER_S)
        if not any(not s.draining for s in self.upstreams.values()):
            return Refused(Result.NO_UPSTREAM, 1.0)
        if queue is None:
            return None
        full = len(queue) >= cls.max_queued
        if full or queue.size_bytes + ticket.size_bytes > cls.max_queued_bytes:
            wait_s = self.estimate_wait_s(cls, ticket.organisation, now)
            return Refused(Result.QUEUE_FULL, retry_after_s(wait_s))
        if cls.patience_s is None or not self.tuning.early_refusal:
            return None
        wait_s = self.estimate_wait_s(cls, ticket.organisation, now)
        if wait_s > self.tuning.refusal_margin * cls.patience_s:
            over_s = wait_s - cls.patience_s
            return Refused(Result.WAIT_TOO_LONG, retry_after_s(over_s))
        return None

    def _enqueue(self, ticket: Ticket) -> None:
        queue = self._queues.setdefault(ticket.service_class.name, FairQueue())
        queue.push(ticket)
        if ticket.expires_s is not None:
            heapq.heappush(self._expiries, (ticket.expires_s, ticket.id))

    def _expire(self, now: Seconds) -> list[Action]:
        actions: list[Action] = []
        while self._expiries and self._expiries[0][0] <= now:
            _, ticket_id = heapq.heappop(self._expiries)
            course = self.courses.get(ticket_id)
            if course is None or course.legs or course.tokens:
                continue
            cls = course.ticket.service_class
            if self._queues[cls.name].remove(ticket_id) is None:
                continue
            self._forget(course)
            wait_s = self.estimate_wait_s(cls, course.ticket.organisation, now)
            actions.append(
                Expire(course.ticket, Result.WAIT_EXPIRED, retry_after_s(wait_s))
            )
        return actions

    # Dispatch

    def _is_usable(self, name: str) -> bool:
        return not self.tuning.health or self.health[name].verdict is Verdict.GOOD

    def _has_room(self, cls: ServiceClass, now: Seconds) -> bool:
        free = sum(s.free for n, s in self.upstreams.items() if self._is_usable(n))
        return free > self._reserved_against(cls, now) and self._under_cap(cls, now)

    def _reserved_against(self, cls: ServiceClass, now: Seconds) -> int:
        """Return the slots kept for recent demand of higher tiers."""
        if not self.tuning.reserve:
            return 0
        kept = 0.0
        for name, other in self._classes.items():
            if other.tier < cls.tier:
                wanted = self._demand[name].slots_wanted(now) - self._running[name]
                kept += max(0.0, wanted)
        return min(int(kept), self._most_reserved(cls))

    def _most_reserved(self, cls: ServiceClass) -> int:
        """Return the bound of the reserve: it leaves lower tiers their share."""
        lower = sum(c.share for c in self._classes.values() if c.tier >= cls.tier)
        return int(self.total_slots * max(0.0, 1.0 - lower))

    def _under_cap(self, cls: ServiceClass, now: Seconds) -> bool:
        """Return whether the class leaves active others their guaranteed part."""
        if not self.tuning.caps:
            return True
        others = sum(
            other.share
            for name, other in self._classes.items()
            if name != cls.name and other.tier < cls.tier
            if self._demand[name].active(now)
        )
        cap = max(1.0, self.total_slots * (1.0 - others))
        return self._running[cls.name] < cap

    def _update_shares(self, now: Seconds) -> None:
        waiting = {name: len(queue) for name, queue in self._queues.items()}
        self._shares.update(
            self._classes.values(), self._running, waiting, self.total_slots, now
        )

    def _class_order(self) -> list[ServiceClass]:
        """Return waiting classes, those owed a slot first, then by tier and due."""
        ranked = []
        for name, queue in self._queues.items():
            if not len(queue):
                continue
            cls = self._classes[name]
            owed = self._shares.owed(name)
            head = queue.peek()
            due_s = head.due_s if head else 0.0
            # A slot's worth of debt outranks tiers; less than that does not.
            rank = (0, -owed) if owed >= 1.0 else (1, float(cls.tier))
            ranked.append((rank, due_s, name))
        return [self._classes[name] for _, _, name in sorted(ranked)]

    def _dispatch(self, now: Seconds) -> list[Action]:
        actions: list[Action] = []
        while True:
            action = self._dispatch_one(now)
            if action is None:
                return actions
            actions.append(action)

    def _dispatch_one(self, now: Seconds) -> Send | None:
        free = [n for n, s in self.upstreams.items() if s.free]
        if not free:
            return None
        for cls in self._class_order():
            owed = self._shares.owed(cls.name) >= 1.0
            if not owed and not self._has_room(cls, now):
                continue
            ticket = self._queues[cls.name].peek()
            if ticket is None:
                continue
            upstream = self._choose_upstream(self.courses[ticket.id], free, now)
            if upstream is None:
                continue
            self._queues[cls.name].pop()
            return self._send(self.courses[ticket.id], upstream, now)
        return None

    def _choose_upstream(
        self, course: Course, free: list[str], now: Seconds
    ) -> str | None:
        ticket = course.ticket
        probe = self._probe_target(ticket, free, now)
        if probe is not None:
            return probe
        cached = self._prefixes.upstream_for(ticket.prefix)
        allowed = [
            name
            for name in free
            if self._is_usable(name) and self._suits_suspect(course, name)
        ]
        fresh = [name for name in allowed if name not in course.tried]
        return choose(
            (self._candidate(name, now) for name in fresh or allowed),
            cached_on=cached if self.tuning.affinity else None,
        )

    def _probe_target(
        self, ticket: Ticket, free: list[str], now: Seconds
    ) -> str | None:
        """Return an ejected upstream that this request may try out, if any."""
        if not self.tuning.health or not ticket.idempotent:
            return None
        due = [name for name in free if self.health.wants_probe(name, now)]
        if not due:
            return None
        nothing_else = not any(self._is_usable(name) for name in free)
        if ticket.service_class.protected and not nothing_else:
            return None
        self.health.start_probe(due[0])
        return due[0]

    def _suits_suspect(self, course: Course, name: str) -> bool:
        """Keep suspects apart, so that a second crash names one of them."""
        if not course.suspect:
            return True
        holder = self.upstreams[name].suspect
        return holder is None or holder == course.ticket.id

    def _candidate(self, name: str, now: Seconds) -> Candidate:
        slots = self.upstreams[name]
        health = self.health[name]
        return Candidate(
            name,
            running=len(slots.running),
            elsewhere=slots.elsewhere,
            slots=slots.total,
            ttft_s=health.ttft_s,
            weight=health.weight(now) if self.tuning.health else 1.0,
            near=slots.near,
        )

    def _send(
        self, course: Course, upstream: str, now: Seconds, *, hedge: bool = False
    ) -> Send:
        ticket = course.ticket
        course.legs.append(Leg(upstream, sent_s=now, hedge=hedge))
        course.tried.append(upstream)
        slots = self.upstreams[upstream]
        slots.running.add(ticket.id)
        if course.suspect:
            slots.suspect = ticket.id
        self._running[ticket.service_class.name] += 1
        self._starting[ticket.id] = None
        if not hedge:
            self._charge(course, PREPAID_TOKENS)
            course.prepaid = PREPAID_TOKENS
        self._prefixes.note(ticket.prefix, upstream)
        return Send(ticket, upstream, hedge)

    # Preemption, hedges and moves

    def _preempt(self, now: Seconds) -> list[Action]:
        """Free slots for requests of higher tiers that have waited too long."""
        actions: list[Action] = []
        if self.tuning.preempt_after is None:
            return actions
        for cls in self._class_order():
            head = self._queues[cls.name].peek()
            if head is None or cls.ttft_s is None:
                continue
            waited_s = now - head.arrived_s
            if waited_s < self.tuning.preempt_after * cls.ttft_s:
                continue
            if any(s.free and self._is_usable(n) for n, s in self.upstreams.items()):
                break
            victim = self._victim(cls)
            if victim is None:
                continue
            actions.append(self._withdraw(victim, Result.RETRY_PREEMPTED, now))
            actions += self._dispatch(now)
        return actions

    def _victim(self, cls: ServiceClass) -> Course | None:
        """Return the running request that gives way to a class, or None."""
        best: tuple[int, int, str] | None = None
        for slots in self.upstreams.values():
            for ticket_id in slots.running:
                course = self.courses[ticket_id]
                if not self._gives_way(course, cls):
                    continue
                key = (course.ticket.service_class.tier, course.tokens, ticket_id)
                if best is None or key > best:
                    best = key
        return self.courses[best[2]] if best else None

    def _gives_way(self, course: Course, cls: ServiceClass) -> bool:
        other = course.ticket.service_class
        return (
            course.ticket.preemptible
            and other.tier > cls.tier
            and course.moves < MAX_MOVES
            and len(course.legs) == 1
            and self._shares.owed(other.name) < 1.0
        )

    def _hedge(self, now: Seconds) -> list[Action]:
        """Ask a second upstream where the first token is overdue."""
        if self.tuning.hedge_ratio is None:
            return []
        median_s = self.health.median_ttft_s()
        overdue_s = max(self.tuning.hedge_min_s, self.tuning.hedge_ratio * median_s)
        actions: list[Action] = []
        for ticket_id in list(self._starting):
            course = self.courses[ticket_id]
            if len(course.legs) != 1 or not course.ticket.idempotent:
                continue
            if now - course.legs[0].sent_s < overdue_s:
                continue
            free = [
                name
                for name, slots in self.upstreams.items()
                if slots.free and self._is_usable(name) and name not in course.tried
            ]
            upstream = choose(
                (self._candidate(name, now) for name in free), cached_on=None
            )
            if upstream is None:
                continue
            if self._budget(course.ticket, course.legs[0].upstream).spend(now):
                actions.append(self._send(course, upstream, now, hedge=True))
        return actions

    def _move_from_slow(self, now: Seconds) -> list[Action]:
        """Carry streams on elsewhere when their upstream is judged slow."""
        actions: list[Action] = []
        for name, slots in self.upstreams.items():
            if self.health[name].verdict is not Verdict.SLOW:
                continue
            for ticket_id in sorted(slots.running):
                course = self.courses[ticket_id]
                if self._may_move(course, name, now):
                    actions.append(self._withdraw(course, Result.RETRY_CARRY_ON, now))
        if actions:
            actions += self._dispatch(now)
        return actions

    def _may_move(self, course: Course, upstream: str, now: Seconds) -> bool:
        if not course.ticket.resumable or course.moves >= MAX_MOVES:
            return False
        if len(course.legs) != 1 or course.legs[0].waiting:
            return False
        health = self.health[upstream]
        if course.legs[0].sent_s >= health.since_s:
            return False
        free = any(s.free and self._is_usable(n) for n, s in self.upstreams.items())
        return free and self._budget(course.ticket, upstream).spend(now)

    def _withdraw(self, course: Course, reason: Result, now: Seconds) -> Withdraw:
        upstream = course.legs[0].upstream
        self._end_leg(course, upstream, now)
        course.moves += 1
        self._requeue(course, now)
        return Withdraw(course.ticket, upstream, reason, requeued=True)

    # Failures

    def _note_failure(self, course, upstream: str, reason: Result, now) -> None:
        self.health.failed(upstream, now)
        if reason not in (Result.RETRY_BROKE, Result.RETRY_CARRY_ON):
            return
        fingerprint = course.ticket.fingerprint
        if fingerprint:
            report = CrashReport(fingerprint, upstream, now)
            self.poison.crashed(report)
            self.crash_reports.append(report)
            course.suspect = True

    def _verdict_on_retry(
        self, course: Course, upstream: str, reason: Result, may_retry: bool, now
    ) -> Result | None:
        ticket = course.ticket
        sent = reason not in (Result.RETRY_CONNECT, Result.RETRY_REFUSED)
        if self.poison.blocked(ticket.fingerprint, now):
            return Result.POISON
        if sent and not (may_retry and ticket.idempotent):
            return Result.STREAM_CUT if course.tokens else Result.UPSTREAM_BROKE
        if course.tokens and not ticket.resumable:
            return Result.STREAM_CUT
        if sent and course.moves >= MAX_MOVES:
            return Result.STREAM_CUT if course.tokens else Result.UPSTREAM_BROKE
        course.moves += 1
        if ticket.service_class.protected:
            return None
        if not self._budget(ticket, upstream).spend(now):
            if sent:
                return Result.STREAM_CUT if course.tokens else Result.UPSTREAM_BROKE
            return Result.RETRY_BUDGET_EMPTY
        return None

    def _note_overdue(self, now: Seconds) -> None:
        """Tell the health book how long first tokens have been outstanding."""
        if not self.tuning.health:
            return
        oldest: dict[str, Seconds] = {}
        for ticket_id in self._starting:
            for leg in self.courses[ticket_id].legs:
                if leg.waiting:
                    waited_s = now - leg.sent_s
                    if waited_s > oldest.get(leg.upstream, 0.0):
                        oldest[leg.upstream] = waited_s
        for name in self.upstreams:
            self.health.set_overdue(name, oldest.get(name, 0.0))
        if oldest:
            self.health.judge(now)

    # Bookkeeping

    def _requeue(self, course: Course, now: Seconds) -> None:
        course.queued_s = now
        self._enqueue(course.ticket)

    def _charge(self, course: Course, tokens: int) -> None:
        """Charge the organisation, first using up what was prepaid."""
        paid = min(course.prepaid, tokens)
        course.prepaid -= paid
        queue = self._queues.get(course.ticket.service_class.name)
        if queue is not None and tokens > paid:
            queue.charge(course.ticket.organisation, tokens - paid)

    def _clear_suspicion(self, course: Course, leg: Leg, now: Seconds) -> None:
        if not course.suspect or now - leg.sent_s < SUSPECT_CLEAR_S:
            return
        course.suspect = False
        slots = self.upstreams[leg.upstream]
        if slots.suspect == course.ticket.id:
            slots.suspect = None

    def _drop_other_legs(self, course: Course, winner: Leg, now) -> list[Action]:
        actions: list[Action] = []
        for leg in list(course.legs):
            if leg is not winner:
                self._end_leg(course, leg.upstream, now)
                actions.append(
                    Withdraw(
                        course.ticket, leg.upstream, Result.RETRY_HEDGE, requeued=False
                    )
                )
        return actions

    def _end_legs(self, course: Course, now: Seconds) -> None:
        for leg in list(course.legs):
            self._end_leg(course, leg.upstream, now)

    def _end_leg(self, course: Course, upstream: str, now: Seconds) -> None:
        leg = course.leg_on(upstream)
        if leg is None:
            return
        ticket = course.ticket
        course.legs.remove(leg)
        if not course.legs:
            self._starting.pop(ticket.id, None)
        slots = self.upstreams[upstream]
        slots.running.discard(ticket.id)
        if slots.suspect == ticket.id:
            slots.suspect = None
        if leg.waiting:
            self.health.probe_abandoned(upstream)
        name = ticket.service_class.name
        self._running[name] -= 1
        self._demand[name].depart(now, now - leg.sent_s)

    def _forget(self, course: Course) -> None:
        self.courses.pop(course.ticket.id, None)
        self._starting.pop(course.ticket.id, None)

    def _budget(self, ticket: Ticket, upstream: str) -> RetryBudget:
        key = (ticket.service_class.name, upstream)
        budget = self._budgets.get(key)
        if budget is None:
            budget = self._budgets[key] = RetryBudget()
        return budget


def retry_after_s(wait_s: Seconds) -> Seconds:
    """Return a sensible ``Retry-After`` for an excess wait, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
