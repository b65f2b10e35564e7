"""Drives one scheduler per pool and carries its actions to the requests."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import (
    ConfigSection,
    CreditsSection,
    DeparturesSection,
    HostsSection,
    LimitsSection,
    credit_key,
)
from shallotpoint.metrics import Metrics
from shallotpoint.platform_api.hosts import HostState
from shallotpoint.policy.actions import Admission, Admitted, Expire, Send, Withdraw
from shallotpoint.policy.limits import Ask, Permit
from shallotpoint.policy.model import Pool
from shallotpoint.policy.poison import SICK_AFTER, CrashReport, PoisonBook
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Clock, Seconds

TICK_S = 0.02
_READ = (ConfigSection, HostsSection, CreditsSection, DeparturesSection)


class Runner(Protocol):
    """A request that waits for the scheduler's word."""

    def send(self, upstream: str, *, hedge: bool) -> None:
        """Start a leg."""

    def expire(self, result: Result, retry_after_s: Seconds) -> None:
        """End without having run."""

    def withdraw(self, upstream: str, reason: Result, *, requeued: bool) -> None:
        """Cancel a leg."""


class PoolRunner:
    """One pool's scheduler and the requests that it decides on."""

    def __init__(
        self,
        pool: Pool,
        poison: PoisonBook,
        clock: Clock,
        *,
        on_urgent: Callable[[], None] = lambda: None,
        on_ask: Callable[[Ask], None] = lambda ask: None,
        before_poll: Callable[[], None] = lambda: None,
        scheduler: Scheduler | None = None,
    ):
        self.pool = pool
        self.scheduler = scheduler or Scheduler(poison=poison)
        self._clock = clock
        self._on_urgent = on_urgent
        self._on_ask = on_ask
        self._before_poll = before_poll
        self._runners: dict[str, Runner] = {}
        self._polling = False

    def submit(self, ticket: Ticket, runner: Runner) -> Admission:
        """Queue a request; its runner hears what to do."""
        admission = self.scheduler.offer(ticket, self._clock())
        if isinstance(admission, Admitted):
            self._runners[ticket.id] = runner
            self.poll()
            if self.scheduler.urgent_waiting(self._clock()):
                self._on_urgent()
        return admission

    def progress(self, ticket_id: str, upstream: str, tokens: int) -> None:
        """Count tokens of a leg."""
        actions = self.scheduler.progress(ticket_id, upstream, tokens, self._clock())
        self._carry_out(actions)

    def hold_back(self, ticket_id: str, upstream: str, held_back: bool) -> None:
        """Note that a stream begins or ends to wait for its caller."""
        self.scheduler.hold_back(ticket_id, upstream, held_back, self._clock())

    def finished(self, ticket_id: str, upstream: str) -> None:
        """Note a whole answer."""
        actions = self.scheduler.finished(ticket_id, upstream, self._clock())
        self._carry_out(actions)
        self._runners.pop(ticket_id, None)
        self.poll()

    def failed(
        self,
        ticket_id: str,
        upstream: str,
        reason: Result,
        *,
        may_retry: bool,
        is_gone: bool = False,
    ) -> Result | None:
        """Note a failed leg; return the code to give up with, if any."""
        verdict = self.scheduler.failed(
            ticket_id,
            upstream,
            reason,
            self._clock(),
            may_retry=may_retry,
            is_gone=is_gone,
        )
        if verdict is not None:
            self._runners.pop(ticket_id, None)
        self.poll()
        return verdict

    def turned_away(self, upstream: str, wait_s: Seconds) -> None:
        """Note that an upstream wants nothing for a time."""
        self.scheduler.turned_away(upstream, wait_s, self._clock())

    def permit_of(self, ticket_id: str, upstream: str) -> Permit | None:
        """Return the permit under which a request was sent, None if it needed none."""
        return self.scheduler.permit_of(ticket_id, upstream)

    def opening_in_s(self) -> Seconds | None:
        """Return the time until an upstream opens, None if one is open."""
        now = self._clock()
        opening_s = self.scheduler.opening_s(now)
        return None if opening_s is None else opening_s - now

    def abandon(self, ticket_id: str) -> None:
        """Forget a request; nothing to do for one that has ended."""
        self._runners.pop(ticket_id, None)
        if ticket_id not in self.scheduler.courses:
            return
        self.scheduler.abandon(ticket_id, self._clock())
        self.poll()

    def poll(self) -> None:
        """Carry out what the scheduler wants now."""
        if self._polling:
            return
        self._polling = True
        self._before_poll()
        try:
            self._carry_out(self.scheduler.poll(self._clock()))
        finally:
            self._polling = False

    def _carry_out(self, actions) -> None:
        for action in actions:
            if isinstance(action, Ask):
                self._on_ask(action)
                continue
            runner = self._runners.get(action.ticket.id)
            if runner is None:
                continue
            match action:
                case Send(upstream=upstream, hedge=hedge):
                    runner.send(upstream, hedge=hedge)
                case Expire(result=result, retry_after_s=wait_s):
                    self._runners.pop(action.ticket.id, None)
                    runner.expire(result, wait_s)
                case Withdraw(upstream=upstream, reason=reason, requeued=requeued):
                    runner.withdraw(upstream, reason, requeued=requeued)


class PoolsController:
    """Keeps one :class:`PoolRunner` per configured pool."""

    def __init__(
        self,
        board: Blackboard,
        *,
        data_centre: str,
        clock: Clock,
        on_crash: Callable[[CrashReport], None] = lambda report: None,
        on_urgent: Callable[[], None] = lambda: None,
        on_slow: Callable[[str, str], None] = lambda pool, upstream: None,
        on_ask: Callable[[Ask], None] = lambda ask: None,
        before_poll: Callable[[], None] = lambda: None,
        make_scheduler: Callable[[Pool, PoisonBook], Scheduler] | None = None,
        poison: PoisonBook | None = None,
    ):
        self.poison = poison or PoisonBook(sick_after=SICK_AFTER)
        self._make_scheduler = make_scheduler
        self._board = board
        self._data_centre = data_centre
        self._clock = clock
        self._on_crash = on_crash
        self._on_urgent = on_urgent
        self._on_slow = on_slow
        self._on_ask = on_ask
        self._before_poll = before_poll
        self._runners: dict[str, PoolRunner] = {}
        for section in _READ:
            board.on_change(section, lambda _: self.refresh())

    def runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool."""
        return self._runners.get(pool)

    def runners(self) -> list[PoolRunner]:
        """Return all runners."""
        return list(self._runners.values())

    def poll(self) -> None:
        """Let all schedulers act at once."""
        for runner in self.runners():
            runner.poll()

    def measure(self, metrics: Metrics) -> None:
        """Bring the gauges of queues and running requests up to date."""
        for runner in self.runners():
            scheduler = runner.scheduler
            for name in scheduler.class_names():
                labels = {"pool": runner.pool.name, "class": name}
                metrics.queued.set(labels, scheduler.queue_length(name))
                metrics.running.set(labels, scheduler.running_count(name))

    @property
    def in_flight(self) -> int:
        """Requests that wait or run in this router."""
        return sum(len(r.scheduler.courses) for r in self._runners.values())

    def refresh(self) -> None:
        """Bring all schedulers in line with the blackboard."""
        config = self._board.get(ConfigSection).config
        for name, pool in config.pools.items():
            runner = self._runners.get(name)
            if runner is None:
                make = self._make_scheduler
                runner = PoolRunner(
                    pool,
                    self.poison,
                    self._clock,
                    on_urgent=self._on_urgent,
                    on_ask=self._on_ask,
                    before_poll=self._before_poll,
                    scheduler=make(pool, self.poison) if make else None,
                )
                self._runners[name] = runner
            runner.pool = pool
            runner.scheduler.set_classes(config.classes)
            runner.scheduler.set_upstreams(self._slots(pool))
            runner.poll()
        for name in self._runners.keys() - config.pools.keys():
            runner = self._runners[name]
            runner.scheduler.set_upstreams({})
            if not runner.scheduler.courses:
                del self._runners[name]

    async def run(self) -> None:
        """Poll all schedulers on a tick, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S)
            for runner in self.runners():
                runner.poll()
                for report in runner.scheduler.crash_reports:
                    self._on_crash(report)
                runner.scheduler.crash_reports.clear()
                for upstream in runner.scheduler.health.news:
                    self._on_slow(runner.pool.name, upstream)
                runner.scheduler.health.news.clear()
            self.poison.expire(self._clock())

    def wanted(self, now: Seconds) -> dict[str, Want]:
        """Return what all pools could use, by pool and upstream."""
        wants: dict[str, Want] = {}
        for runner in self._runners.values():
            wants |= pool_wants(runner.pool.name, runner.scheduler, now)
        return wants

    def hear_slow(self, pool: str, upstream: str) -> None:
        """Take over a peer's verdict that an upstream is slow."""
        runner = self._runners.get(pool)
        if runner is not None:
            runner.scheduler.health.hear_slow(upstream, self._clock())

    def address_of(self, upstream: str) -> str:
        """Return the ``host:port`` of an upstream."""
        host = self._board.get(HostsSection).find(upstream)
        return host.address if host else upstream

    def started_ms(self, upstream: str) -> int:
        """Return the start of an upstream's present incarnation, 0 if unknown."""
        host = self._board.get(HostsSection).find(upstream)
        return host.started_ms if host else 0

    def limit_per_s(self, upstream: str) -> float | None:
        """Return the requests a second that an upstream takes, None for any number."""
        limit = self._board.get(LimitsSection).limits.get(upstream)
        return limit.per_s if limit else None

    def _slots(self, pool: Pool) -> dict[str, Slots]:
        hosts = self._board.get(HostsSection)
        config = self._board.get(ConfigSection).config
        credits = self._board.get(CreditsSection)
        departures = self._board.get(DeparturesSection)
        slots = {}
        names = hosts.members(pool.name) if pool.discovered else pool.upstreams
        for name in names:
            host = hosts.find(name)
            key = credit_key(pool.name, name)
            unknown = host is None and ":" not in name
            leaving = host is not None and (
                host.state is HostState.LEAVING or departures.covers(host)
            )
            total = (host.slots if host else 0) or pool.slots
            slots[name] = Slots(
                credits=_credits(pool, key, total, credits),
                total=total,
                near=host is None or host.data_centre == self._data_centre,
                draining=unknown or leaving or name in config.drained,
                elsewhere=credits.elsewhere.get(key, 0),
                started_ms=host.started_ms if host else 0,
            )
        return slots


def _credits(pool: Pool, key: str, total: int, credits: CreditsSection) -> int:
    """Return the slots that this router may fill on an upstream.

    Discovered upstreams refuse truthfully when they are full, so that what peers
    leave by their last word may be used without a promise from them.
    """
    if not pool.discovered:
        return credits.held.get(key, 0)
    return max(1, total - credits.elsewhere.get(key, 0))


@dataclass(frozen=True, slots=True)
class Want:
    """What one pool could use of one upstream.

    Attributes
    ----------
    wanted, running, urgent : int
        Slots, as in :class:`~shallotpoint.coordination.credits.Use`.
    """

    wanted: int
    running: int
    urgent: int


def pool_wants(pool: str, scheduler: Scheduler, now: Seconds) -> dict[str, Want]:
    """Spread what a pool could use over its upstreams, by :func:`credit_key`.

    Urgent work asks on every upstream, as the one asked may have none to free.
    """
    usable = {
        name: slots
        for name, slots in scheduler.upstreams.items()
        if not slots.draining and scheduler.health.usable(name)
    }
    total = scheduler.slots_wanted(now)
    held = sum(slots.credits for slots in usable.values())
    urgent_each = math.ceil(scheduler.urgent_waiting(now) / max(1, len(usable)))
    wants = {}
    for name, slots in usable.items():
        running = len(slots.running)
        if total > held:
            wanted = slots.credits + math.ceil((total - held) / len(usable))
        else:
            wanted = math.ceil(slots.credits * total / held) if held else 0
        wants[credit_key(pool, name)] = Want(
            wanted=min(slots.total, max(running, wanted)),
            running=running,
            urgent=min(slots.total, scheduler.firm_running(name) + urgent_each),
        )
    return wants
