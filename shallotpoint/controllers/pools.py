"""Runs one scheduler per pool and passes its actions to the requests."""

from __future__ import annotations

import asyncio
import logging
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
    StopSection,
    credit_key,
)
from shallotpoint.metrics import Metrics
from shallotpoint.pacing import PaceCause, PaceTracker
from shallotpoint.platform_api.hosts import HostState
from shallotpoint.policy.actions import Admission, Admitted, Expire, Send, Withdraw
from shallotpoint.policy.crash_reports import CrashReport
from shallotpoint.policy.limits import Permit, PermitsNeeded
from shallotpoint.policy.model import Pool
from shallotpoint.policy.poison import MAX_REQUESTS_PER_CRASH, PoisonTracker
from shallotpoint.policy.scheduler import STOP_RETRY_S, Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Clock, Seconds

POLL_INTERVAL_S = 0.02
_log = logging.getLogger("shallotpoint.router")
_INPUT_SECTIONS = (
    ConfigSection,
    HostsSection,
    CreditsSection,
    DeparturesSection,
    StopSection,
)


class RequestHandler(Protocol):
    """Callbacks through which a scheduler's actions reach one request.

    An attempt is one try to run the request at one upstream.
    """

    def send(self, upstream: str, *, hedge: bool) -> None:
        """Start an attempt at an upstream.

        Parameters
        ----------
        hedge : bool
            Whether it runs in parallel with an earlier attempt.
        """

    def expire(self, result: Result, retry_after_s: Seconds) -> None:
        """End the request with a result code.

        Parameters
        ----------
        retry_after_s : float
            Time after which the caller may retry, in seconds.
        """

    def withdraw(self, upstream: str, reason: Result, *, requeued: bool) -> None:
        """Cancel the attempt at an upstream.

        Parameters
        ----------
        requeued : bool
            Whether the request is queued again and resumes later.
        """


class PoolRunner:
    """One pool's scheduler and the handlers of the requests in it.

    Parameters
    ----------
    on_urgent : Callable
        Called when a new request leaves requests waiting that are urgent enough to
        preempt others.
    on_permits_needed : Callable
        Called when the scheduler needs permits for a rate-limited upstream.
    before_poll : Callable
        Called before each poll of the scheduler.
    """

    def __init__(
        self,
        pool: Pool,
        poison: PoisonTracker,
        clock: Clock,
        *,
        on_urgent: Callable[[], None] = lambda: None,
        on_permits_needed: Callable[[PermitsNeeded], None] = lambda needed: None,
        before_poll: Callable[[], None] = lambda: None,
        scheduler: Scheduler | None = None,
    ):
        self.pool = pool
        self.scheduler = scheduler or Scheduler(poison=poison)
        self._clock = clock
        self._on_urgent = on_urgent
        self._on_permits_needed = on_permits_needed
        self._before_poll = before_poll
        self._handlers: dict[str, RequestHandler] = {}
        self._polling = False

    def submit(self, ticket: Ticket, handler: RequestHandler) -> Admission:
        """Offer a request to the scheduler, whose actions go to its handler."""
        admission = self.scheduler.offer(ticket, self._clock())
        if isinstance(admission, Admitted):
            self._handlers[ticket.id] = handler
            self.poll()
            if self.scheduler.count_urgent(self._clock()):
                self._on_urgent()
        return admission

    def progress(self, ticket_id: str, upstream: str, tokens: int) -> None:
        """Record tokens that an attempt has streamed."""
        actions = self.scheduler.progress(ticket_id, upstream, tokens, self._clock())
        self._execute(actions)

    def set_backpressure(
        self, ticket_id: str, upstream: str, is_backpressured: bool
    ) -> None:
        """Record whether a stream is paused because its caller reads too slowly."""
        self.scheduler.set_backpressure(
            ticket_id, upstream, is_backpressured, self._clock()
        )

    def finished(self, ticket_id: str, upstream: str) -> None:
        """Record that an attempt has received its complete response."""
        actions = self.scheduler.finished(ticket_id, upstream, self._clock())
        self._execute(actions)
        self._handlers.pop(ticket_id, None)
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
        """Record a failed attempt.

        Parameters
        ----------
        may_retry : bool
            Whether another attempt is allowed.
        is_gone : bool
            Whether the failure proves that the upstream is no longer there.

        Returns
        -------
        Result or None
            The code to end the request with, None if the request continues.
        """
        final_result = self.scheduler.failed(
            ticket_id,
            upstream,
            reason,
            self._clock(),
            may_retry=may_retry,
            is_gone=is_gone,
        )
        if final_result is not None:
            self._handlers.pop(ticket_id, None)
        self.poll()
        return final_result

    def back_off(self, upstream: str, wait_s: Seconds) -> None:
        """Send no new requests to an upstream for ``wait_s`` seconds, as it asked."""
        self.scheduler.close_upstream(upstream, wait_s, self._clock())

    def permit_of(self, ticket_id: str, upstream: str) -> Permit | None:
        """Return the permit used to send a request, None if none was needed."""
        return self.scheduler.permit_of(ticket_id, upstream)

    def cache_source(self, ticket_id: str, upstream: str) -> str | None:
        """Return the upstream to copy a prompt's cached state from, None if none."""
        return self.scheduler.cache_source(ticket_id, upstream, self._clock())

    def opens_in_s(self) -> Seconds | None:
        """Return the time in seconds until an upstream accepts requests.

        None if one accepts requests now, or if the pool has no upstreams.
        """
        now = self._clock()
        accepts_at_s = self.scheduler.earliest_opening_s(now)
        return None if accepts_at_s is None else accepts_at_s - now

    def abandon(self, ticket_id: str) -> None:
        """Drop a request; one that has already ended is ignored."""
        self._handlers.pop(ticket_id, None)
        if ticket_id not in self.scheduler.requests:
            return
        self.scheduler.abandon(ticket_id, self._clock())
        self.poll()

    def end_all(self) -> None:
        """End all requests, as the router stops."""
        for handler in list(self._handlers.values()):
            handler.expire(Result.STOPPING, STOP_RETRY_S)

    def poll(self) -> None:
        """Poll the scheduler and execute the actions that are due."""
        if self._polling:
            return
        self._polling = True
        self._before_poll()
        try:
            self._execute(self.scheduler.poll(self._clock()))
        finally:
            self._polling = False

    def _execute(self, actions) -> None:
        """Pass actions to the handlers of their requests."""
        for action in actions:
            if isinstance(action, PermitsNeeded):
                self._on_permits_needed(action)
                continue
            handler = self._handlers.get(action.ticket.id)
            if handler is None:
                continue
            match action:
                case Send(upstream=upstream, hedge=hedge):
                    handler.send(upstream, hedge=hedge)
                case Expire(result=result, retry_after_s=wait_s):
                    self._handlers.pop(action.ticket.id, None)
                    handler.expire(result, wait_s)
                case Withdraw(upstream=upstream, reason=reason, requeued=requeued):
                    handler.withdraw(upstream, reason, requeued=requeued)


class PoolsController:
    """Maintains one :class:`PoolRunner` per configured pool.

    Parameters
    ----------
    on_crash : Callable
        Called with each crash that a request of this router revealed.
    on_slow : Callable
        Called with pool and upstream when this router finds an upstream slow.
    on_urgent, on_permits_needed, before_poll : Callable
        As in :class:`PoolRunner`.
    make_scheduler : Callable, optional
        Creates a pool's scheduler; a default one is used if left out.
    poison : PoisonTracker, optional
        Crash records that all pools share.
    """

    def __init__(
        self,
        board: Blackboard,
        *,
        data_centre: str,
        clock: Clock,
        on_crash: Callable[[CrashReport], None] = lambda report: None,
        on_urgent: Callable[[], None] = lambda: None,
        on_slow: Callable[[str, str], None] = lambda pool, upstream: None,
        on_permits_needed: Callable[[PermitsNeeded], None] = lambda needed: None,
        before_poll: Callable[[], None] = lambda: None,
        make_scheduler: Callable[[Pool, PoisonTracker], Scheduler] | None = None,
        poison: PoisonTracker | None = None,
    ):
        self.poison = poison or PoisonTracker(
            max_requests_per_crash=MAX_REQUESTS_PER_CRASH
        )
        self._make_scheduler = make_scheduler
        self._board = board
        self._data_centre = data_centre
        self._clock = clock
        self._on_crash = on_crash
        self._on_urgent = on_urgent
        self._on_slow = on_slow
        self._on_permits_needed = on_permits_needed
        self._before_poll = before_poll
        self._runners: dict[str, PoolRunner] = {}
        for section in _INPUT_SECTIONS:
            board.on_change(section, lambda _: self.refresh())

    def runner(self, pool: str) -> PoolRunner | None:
        """Return the runner of a pool, None if the pool is unknown."""
        return self._runners.get(pool)

    def runners(self) -> list[PoolRunner]:
        """Return the runners of all pools."""
        return list(self._runners.values())

    def poll(self) -> None:
        """Poll all schedulers now, instead of at the next interval."""
        for runner in self.runners():
            runner.poll()

    def end_all(self) -> None:
        """End all requests of all pools, as the router stops."""
        for runner in self.runners():
            runner.end_all()

    def update_gauges(self, metrics: Metrics) -> None:
        """Update the gauges of queued and running requests."""
        for runner in self.runners():
            scheduler = runner.scheduler
            for name in scheduler.class_names():
                labels = {"pool": runner.pool.name, "class": name}
                metrics.queued.set(labels, scheduler.queue_length(name))
                metrics.running.set(labels, scheduler.running_count(name))
            if scheduler.pacing is not None:
                for cause, count in scheduler.pacing.count_by_cause().items():
                    labels = {"pool": runner.pool.name, "cause": str(cause)}
                    metrics.paced.set(labels, count)

    @property
    def in_flight(self) -> int:
        """Number of requests that are queued or running in this router."""
        return sum(len(r.scheduler.requests) for r in self._runners.values())

    def refresh(self) -> None:
        """Apply the blackboard's configuration, hosts and stop to all schedulers.

        The runner of a removed pool is kept until its requests have ended.
        """
        config = self._board.get(ConfigSection).config
        stops_at_s = self._board.get(StopSection).stops_at_s
        for name, pool in config.pools.items():
            runner = self._runners.get(name)
            if runner is None:
                make = self._make_scheduler
                runner = PoolRunner(
                    pool,
                    self.poison,
                    self._clock,
                    on_urgent=self._on_urgent,
                    on_permits_needed=self._on_permits_needed,
                    before_poll=self._before_poll,
                    scheduler=make(pool, self.poison) if make else None,
                )
                self._runners[name] = runner
            runner.pool = pool
            runner.scheduler.stops_at_s = stops_at_s
            runner.scheduler.set_classes(config.classes)
            runner.scheduler.set_upstreams(self._build_slots(pool))
            runner.poll()
        for name in self._runners.keys() - config.pools.keys():
            runner = self._runners[name]
            runner.scheduler.stops_at_s = stops_at_s
            runner.scheduler.set_upstreams({})
            if not runner.scheduler.requests:
                del self._runners[name]

    async def run(self) -> None:
        """Poll all schedulers at a fixed interval, until cancelled."""
        while True:
            await asyncio.sleep(POLL_INTERVAL_S)
            for runner in self.runners():
                runner.poll()
                for report in runner.scheduler.crash_reports:
                    self._on_crash(report)
                runner.scheduler.crash_reports.clear()
                for upstream in runner.scheduler.health.newly_slow:
                    self._on_slow(runner.pool.name, upstream)
                runner.scheduler.health.newly_slow.clear()
                if runner.scheduler.pacing is not None:
                    _log_pace_changes(runner.pool.name, runner.scheduler.pacing)
            self.poison.expire(self._clock())

    def slot_demand(self, now: Seconds) -> dict[str, SlotDemand]:
        """Return the slots that all pools could use, by :func:`credit_key`."""
        demands: dict[str, SlotDemand] = {}
        for runner in self._runners.values():
            demands |= pool_slot_demand(runner.pool.name, runner.scheduler, now)
        return demands

    def mark_slow(self, pool: str, upstream: str) -> None:
        """Mark an upstream as slow, as found by a peer."""
        runner = self._runners.get(pool)
        if runner is not None:
            runner.scheduler.health.eject_for_peer(upstream, self._clock())

    def address_of(self, upstream: str) -> str:
        """Return the ``host:port`` of an upstream, its name if it is not listed."""
        host = self._board.get(HostsSection).find(upstream)
        return host.address if host else upstream

    def started_ms(self, upstream: str) -> int:
        """Return the Unix start time of an upstream in milliseconds, 0 if unknown."""
        host = self._board.get(HostsSection).find(upstream)
        return host.started_ms if host else 0

    def limit_per_s(self, upstream: str) -> float | None:
        """Return an upstream's limit in requests per second, None if it has none."""
        limit = self._board.get(LimitsSection).limits.get(upstream)
        return limit.requests_per_s if limit else None

    def _build_slots(self, pool: Pool) -> dict[str, Slots]:
        """Return the slots of a pool's upstreams from the blackboard."""
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
                host.state is HostState.LEAVING
                or departures.covers(host, hosts.revision)
            )
            total = (host.slots if host else 0) or pool.slots
            slots[name] = Slots(
                credits=_usable_slots(pool, key, total, credits),
                total=total,
                in_own_data_centre=host is None
                or host.data_centre == self._data_centre,
                draining=unknown or leaving or name in config.drained,
                peer_running=credits.running_elsewhere.get(key, 0),
                started_ms=host.started_ms if host else 0,
            )
        return slots


def _log_pace_changes(pool: str, pacing: PaceTracker) -> None:
    """Log the paces that began or ended, and clear them."""
    for change in pacing.changes:
        pace = pacing.paces.get(change.upstream)
        fields = {
            "pool": pool,
            "upstream": change.upstream,
            "started_ms": pace.incarnation.started_ms if pace else 0,
        }
        if change.cause is PaceCause.NONE:
            _log.info("upstream at full pace", extra=fields)
        else:
            fields |= {"cause": str(change.cause), "routers": pacing.routers}
            _log.info("upstream paced", extra=fields)
    pacing.changes.clear()


def _usable_slots(pool: Pool, key: str, total: int, credits: CreditsSection) -> int:
    """Return the number of slots that this router may use on an upstream.

    Slots of configured upstreams are shared out among the routers as credits.
    Discovered upstreams reject requests reliably when full, so this router may use
    all slots that peers did not last report as occupied, and always one.
    """
    if not pool.discovered:
        return credits.held.get(key, 0)
    return max(1, total - credits.running_elsewhere.get(key, 0))


@dataclass(frozen=True, slots=True)
class SlotDemand:
    """Demand of one pool for the slots of one upstream.

    Attributes
    ----------
    wanted : int
        Slots that the pool could use now.
    running : int
        Slots in use.
    urgent : int
        Slots needed now by requests that can neither be preempted nor wait.
    """

    wanted: int
    running: int
    urgent: int


def pool_slot_demand(
    pool: str, scheduler: Scheduler, now: Seconds
) -> dict[str, SlotDemand]:
    """Divide a pool's demand for slots over its usable upstreams.

    Waiting urgent requests are divided evenly and rounded up, so that at least one
    counts at each upstream, even if there are fewer of them than upstreams: any single
    upstream may have no slot that can be freed.

    Returns
    -------
    dict
        Demand by :func:`credit_key`.
    """
    usable = {
        name: slots
        for name, slots in scheduler.upstreams.items()
        if not slots.draining and scheduler.health.is_healthy(name)
    }
    wanted_total = scheduler.slots_wanted(now)
    held_total = sum(slots.credits for slots in usable.values())
    urgent_each = math.ceil(scheduler.count_urgent(now) / max(1, len(usable)))
    demands = {}
    for name, slots in usable.items():
        running = len(slots.running)
        if wanted_total > held_total:
            wanted = slots.credits + math.ceil(
                (wanted_total - held_total) / len(usable)
            )
        else:
            wanted = (
                math.ceil(slots.credits * wanted_total / held_total)
                if held_total
                else 0
            )
        demands[credit_key(pool, name)] = SlotDemand(
            wanted=min(slots.total, max(running, wanted)),
            running=running,
            urgent=min(
                slots.total, scheduler.count_not_preemptible(name) + urgent_each
            ),
        )
    return demands
