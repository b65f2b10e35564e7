"""Scheduling decisions of one router for one pool, without clock or I/O.

The owner of a scheduler reports events together with the current time and
carries out the actions that :meth:`Scheduler.poll` returns.  The router process
and the bench, which runs on a virtual clock, both use this class.
"""

from __future__ import annotations

import heapq
import logging
import math
from collections.abc import Mapping

from shallotpoint.pacing import PaceTracker
from shallotpoint.policy import admission, ordering, reassignment
from shallotpoint.policy.actions import (
    Action,
    Admission,
    Admitted,
    Expire,
    Refused,
    Send,
    Withdraw,
)
from shallotpoint.policy.closures import UpstreamClosures
from shallotpoint.policy.crash_watch import CrashDetector, TerminationCrashDetector
from shallotpoint.policy.explain import Explanation, explain
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.limits import PERMIT_WAIT_S, Permit, UpstreamLimits
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.paced_choice import choose_paced, update_paces
from shallotpoint.policy.placement import ExpectedWaitPlacement, Placement
from shallotpoint.policy.poison import MAX_REQUESTS_PER_CRASH, PoisonTracker
from shallotpoint.policy.queueing import FairQueue
from shallotpoint.policy.retries import WindowRetryBudget
from shallotpoint.policy.retry_decision import retry_refusal
from shallotpoint.policy.state import PoolState, Slots
from shallotpoint.policy.ticket import AdmittedRequest, Attempt, Ticket
from shallotpoint.policy.tuning import Tuning
from shallotpoint.policy.view import PoolView
from shallotpoint.results import NOT_REACHED, Result
from shallotpoint.types import Seconds

# Charged when a request is sent, before it has produced any tokens; without it one
# organisation could take every free slot at once.
PREPAID_TOKENS = 16
SWEEP_INTERVAL_S = 0.015  # shortest time between two time-based checks of requests
STALL_CHECK_INTERVAL_S = 0.25
SUSPECT_CLEARED_AFTER_S = 5.0  # requests that run this long are no crash suspects
# Few requests hold a slot for more than this many times the mean of their class.
HOLD_TIMES_TO_END = 3.0
# Retry-After during a planned stop; short, as another router can serve the request
# at once.
STOP_RETRY_S = 0.05

_log = logging.getLogger("shallotpoint.router")


class Scheduler(PoolView):
    """Queues, admission, dispatch, retries and preemption for one pool.

    Parameters
    ----------
    tuning : Tuning, optional
        Options of the policy.
    poison : PoisonTracker, optional
        Crash counts by request; shared by the pools of a router.
    placement : Placement, optional
        Chooses upstreams; by default from expected wait and cached prompts.
    budget : WindowRetryBudget, optional
        Retry budget of this router, a fraction of the one that all routers share.
        Without it each class has a budget of its own on each upstream.
    closures : UpstreamClosures, optional
        Upstreams that asked for a pause; shared by the pools of a router.
    exposures : AttemptTracker, optional
        Attempts by upstream process; shared by the pools of a router.  Without it
        each broken connection counts as a crash.
    limits : UpstreamLimits, optional
        Upstreams that need permits; shared by the pools of a router.
    pacing : PaceTracker, optional
        Paces of new and recovered upstreams.  Without it they are not limited.

    Attributes
    ----------
    stops_at_s : float or None
        When a planned stop of the router ends; None if none has begun.

    Examples
    --------
    >>> scheduler = Scheduler()
    >>> scheduler.set_upstreams({"engine-1": Slots(credits=1, total=1)})
    >>> ticket = Ticket("r1", ServiceClass("counter", 1), "school", arrived_s=0.0)
    >>> scheduler.offer(ticket, now=0.0)
    Admitted(expected_wait_s=0.0)
    >>> [action.upstream for action in scheduler.poll(now=0.0)]
    ['engine-1']
    """

    def __init__(
        self,
        *,
        tuning: Tuning | None = None,
        poison=None,
        placement: Placement | None = None,
        budget: WindowRetryBudget | None = None,
        closures: UpstreamClosures | None = None,
        exposures: AttemptTracker | None = None,
        limits: UpstreamLimits | None = None,
        pacing: PaceTracker | None = None,
    ):
        super().__init__(
            PoolState(
                tuning or Tuning(),
                poison or PoisonTracker(max_requests_per_crash=MAX_REQUESTS_PER_CRASH),
            )
        )
        if closures is not None:
            self._state.closures = closures
        if limits is not None:
            self._state.limits = limits
        self._state.shared_budget = budget
        self._state.exposures = exposures
        self._state.pacing = pacing
        self.placement: Placement = placement or ExpectedWaitPlacement()
        self._state.count_unstarted_below = self.placement.count_unstarted_below
        self._state.count_peer_started = self.placement.count_peer_started
        self._state.prefers = self.placement.prefers
        self._crash_watch = (
            CrashDetector(self._state.poison)
            if exposures is None
            else TerminationCrashDetector(self._state.poison, exposures)
        )
        self.crash_reports = self._crash_watch.reports
        self._expiry_heap: list[tuple[Seconds, str]] = []
        self._overdue_heap: list[tuple[Seconds, str]] = []
        self._last_sweep_s: Seconds = -math.inf
        self._last_stall_check_s: Seconds = -math.inf
        self._credits_changed = False
        self.stops_at_s: Seconds | None = None

    def explain(self, ticket: Ticket, now: Seconds) -> Explanation:
        """Return what would happen to a request that arrived now; it isn't queued."""
        return explain(self._state, self.placement, ticket, now)

    # Configuration

    def set_classes(self, classes: Mapping[str, ServiceClass]) -> None:
        """Replace the configured classes; classes of admitted requests are kept."""
        names_in_use = {c.ticket.service_class.name for c in self.requests.values()}
        kept = {n: c for n, c in self._state.classes.items() if n in names_in_use}
        self._state.classes = {**kept, **classes}
        queues = self._state.queues
        self._state.queues = {
            n: q for n, q in queues.items() if n in self._state.classes
        }

    def set_upstreams(self, slots: Mapping[str, Slots]) -> None:
        """Replace the upstreams and their slots, keeping the requests that run there.

        An upstream that is no longer given drains: it is kept until its last request
        has ended.
        """
        for name, new in slots.items():
            old = self.upstreams.get(name)
            if old is not None:
                new.running = old.running
                new.suspect_id = old.suspect_id
        kept = {n: s for n, s in self.upstreams.items() if n not in slots and s.running}
        for gone in kept.values():
            gone.draining = True
        self._state.upstreams = {**slots, **kept}
        self._last_sweep_s = -math.inf  # the next poll sets the closed flags anew
        self.health.set_upstreams(self.upstreams)
        if self._state.pacing is not None:
            self._state.pacing.set_upstreams(
                {n: (s.started_ms, s.total) for n, s in self.upstreams.items()}
            )
        self._credits_changed = True

    def set_credits(self, upstream: str, credits: int) -> None:
        """Set how many requests this router may run on an upstream."""
        slots = self.upstreams[upstream]
        self._credits_changed |= credits < slots.credits
        slots.credits = credits

    # Events

    def offer(self, ticket: Ticket, now: Seconds) -> Admission:
        """Queue a new request, or refuse it immediately."""
        cls = ticket.service_class
        self._state.classes.setdefault(cls.name, cls)
        self._state.demand[cls.name].record_arrival(now)
        if self._state.shared_budget is not None:
            self._state.shared_budget.record_request(now)
        self._state.poison.record_arrival(ticket.fingerprint, now)
        refusal_or_wait_s = admission.assess(self._state, ticket, now)
        if isinstance(refusal_or_wait_s, Refused):
            return refusal_or_wait_s
        request = AdmittedRequest(ticket, queued_s=now)
        request.is_suspect = self._state.poison.is_suspected(ticket.fingerprint, now)
        self.requests[ticket.id] = request
        self._enqueue(ticket)
        return Admitted(refusal_or_wait_s)

    def progress(
        self, ticket_id: str, upstream: str, tokens: int, now: Seconds
    ) -> list[Action]:
        """Count tokens of one attempt.

        The first token of a hedged request cancels its other attempts.
        """
        request = self.requests.get(ticket_id)
        attempt = request.attempt_on(upstream) if request else None
        if request is None or attempt is None:
            return []
        actions: list[Action] = []
        if attempt.first_token_at_s is None:
            attempt.first_token_at_s = now
            self._crash_watch.record_alive(attempt)
            self._state.awaiting_first_token.pop(ticket_id, None)
            self.health.record_first_token(upstream, now - attempt.sent_s, now)
            self._pace_answer(request, attempt, now)
            self.placement.on_first_event(request, upstream, now)
            actions = self._cancel_other_attempts(request, attempt, now)
        elif attempt.last_token_at_s is not None and tokens:
            gap_s = (now - attempt.last_token_at_s) / tokens
            self.health.record_token_gap(upstream, gap_s)
            if not attempt.is_backpressured:
                self.placement.on_next_event(upstream, gap_s, now)
        attempt.last_token_at_s = now
        attempt.tokens += tokens
        request.tokens += tokens
        self._state.charge(request, tokens)
        self._crash_watch.on_progress(request.ticket, attempt)
        self._clear_suspicion(request, attempt, now)
        return actions

    def set_backpressure(
        self, ticket_id: str, upstream: str, is_backpressured: bool, now: Seconds
    ) -> None:
        """Record that a stream starts or stops waiting for its caller to read."""
        request = self.requests.get(ticket_id)
        attempt = request.attempt_on(upstream) if request else None
        if attempt is not None:
            attempt.is_backpressured = is_backpressured
            attempt.last_token_at_s = now

    def finished(self, ticket_id: str, upstream: str, now: Seconds) -> list[Action]:
        """Record that an attempt delivered the whole answer."""
        request = self.requests.get(ticket_id)
        if request is None:
            return []
        attempt = request.attempt_on(upstream)
        actions: list[Action] = []
        if attempt is not None:
            if attempt.first_token_at_s is None:
                self.health.record_first_token(upstream, now - attempt.sent_s, now)
                self._pace_answer(request, attempt, now)
                actions = self._cancel_other_attempts(request, attempt, now)
            self._crash_watch.on_complete(request.ticket, attempt)
            self.placement.on_finished(request)
            self._state.budget(request.ticket, upstream).record_success(now)
        self._end_attempts(request, now)
        self._remove_request(request)
        return actions

    def failed(
        self,
        ticket_id: str,
        upstream: str,
        reason: Result,
        now: Seconds,
        *,
        may_retry: bool = True,
        is_gone: bool = False,
    ) -> Result | None:
        """Record a failed attempt; the request is queued again if it may be retried.

        Parameters
        ----------
        may_retry : bool
            Whether another attempt is allowed although the request may have run.
        is_gone : bool
            Whether the failure proves that the upstream process has ended.

        Returns
        -------
        Result or None
            The result to report to the caller, or None if the request continues.
        """
        request = self.requests.get(ticket_id)
        attempt = request.attempt_on(upstream) if request else None
        if request is None or attempt is None:
            return None
        self.health.record_failure(upstream, now)
        if self._state.pacing is not None:
            self._state.pacing.on_failure(upstream, ticket_id, reason)
        self.placement.on_failure(request, upstream, reason, now)
        self._crash_watch.on_failure(request, attempt, reason, now)
        if is_gone:
            self._crash_watch.on_termination(attempt.incarnation, now)
        if reason not in NOT_REACHED:
            request.received_attempts += 1
        self._end_attempt(request, upstream, now)
        if request.attempts:
            return None
        final_result = retry_refusal(
            self._state, request, upstream, reason, may_retry=may_retry, now=now
        )
        if final_result is not None:
            self._remove_request(request)
            return final_result
        self._requeue(request, now)
        return None

    def close_upstream(self, upstream: str, wait_s: Seconds, now: Seconds) -> None:
        """Stop sending to an upstream for the time that it asked for, in seconds."""
        self._state.closures.close(upstream, wait_s, now)
        if self._state.pacing is not None:
            self._state.pacing.on_closed(upstream)
        self._state.update_closed_flags(now)

    def abandon(self, ticket_id: str, now: Seconds) -> None:
        """Drop a request that its caller or the owner of the scheduler has ended."""
        request = self.requests.get(ticket_id)
        if request is None:
            return
        queue = self._state.queues.get(request.ticket.service_class.name)
        if queue is not None:
            queue.remove(ticket_id)
        self.placement.on_abandoned(request)
        self._end_attempts(request, now)
        self._remove_request(request)

    def poll(self, now: Seconds) -> list[Action]:
        """Return the actions that are due.

        Call it after each event and periodically.
        """
        actions: list[Action] = []
        if now - self._last_sweep_s >= SWEEP_INTERVAL_S:
            self._last_sweep_s = now
            actions += self._sweep(now)
        if self._credits_changed:
            self._credits_changed = False
            actions += self._preempt_over_credits(now)
        if self._state.limits:
            self._state.limits.reset_demand(self.upstreams)
        if self.stops_at_s is not None:
            actions += self._expire_before_stop(self.stops_at_s, now)
        if self.waiting_count:
            actions += self._dispatch(now)
            actions += self._preempt(now)
        if self._state.limits:
            actions += self._state.limits.due_requests(now)
        return actions

    def permit_of(self, ticket_id: str, upstream: str) -> Permit | None:
        """Return the permit that an attempt used, None if it needed none."""
        request = self.requests.get(ticket_id)
        attempt = request.attempt_on(upstream) if request else None
        return attempt.permit if attempt else None

    def cache_source(self, ticket_id: str, upstream: str, now: Seconds) -> str | None:
        """Return the upstream to copy a prompt's cached state from, None if none."""
        request = self.requests.get(ticket_id)
        if request is None:
            return None
        return self.placement.cache_source(self._state, request, upstream, now)

    def _sweep(self, now: Seconds) -> list[Action]:
        """Run the checks that depend on time alone: expiry, hedging, slow upstreams."""
        self._update_health(now)
        self._state.update_closed_flags(now)
        update_paces(self._state, now)
        self._defer_overdue(now)
        actions = self._expire(now) + self._expire_before_opening(now)
        actions += self._expire_without_permit(now)
        self._update_shares(now)
        for request, upstream in reassignment.requests_to_hedge(self._state, now):
            if self._state.is_blocked(request.ticket, now):
                continue
            actions.append(self._send(request, upstream, now, hedge=True))
        return actions + self._move_streams(now) + self._preempt_unstarted(now)

    # Queues

    def _enqueue(self, ticket: Ticket) -> None:
        queue = self._state.queues.setdefault(ticket.service_class.name, FairQueue())
        queue.push(ticket)
        if ticket.expires_s is not None:
            heapq.heappush(self._expiry_heap, (ticket.expires_s, ticket.id))
        if ticket.overdue_s is not None:
            heapq.heappush(self._overdue_heap, (ticket.overdue_s, ticket.id))

    def _requeue(self, request: AdmittedRequest, now: Seconds) -> None:
        request.queued_s = now
        self._enqueue(request.ticket)

    def _defer_overdue(self, now: Seconds) -> None:
        """Defer queued requests that miss their target to those that can meet theirs.

        Requests that have produced tokens are not deferred.
        """
        while self._overdue_heap and self._overdue_heap[0][0] <= now:
            _, ticket_id = heapq.heappop(self._overdue_heap)
            request = self.requests.get(ticket_id)
            if request is not None and not request.tokens:
                queue = self._state.queues.get(request.ticket.service_class.name)
                if queue is not None:
                    queue.defer(ticket_id)

    def _expire(self, now: Seconds) -> list[Action]:
        """Expire queued requests that waited too long and have produced no tokens.

        A preempted request was not queued all the time; it waits until its time limit.
        """
        actions: list[Action] = []
        while self._expiry_heap and self._expiry_heap[0][0] <= now:
            _, ticket_id = heapq.heappop(self._expiry_heap)
            request = self.requests.get(ticket_id)
            if request is None or request.attempts or request.tokens:
                continue
            if request.preemptions and request.ticket.time_limit_at_s is not None:
                continue
            cls = request.ticket.service_class
            if self._state.queues[cls.name].remove(ticket_id) is None:
                continue
            self._remove_request(request)
            wait_s = self.estimate_wait_s(cls, request.ticket.organisation, now)
            retry_s = admission.retry_after_s(wait_s)
            actions.append(Expire(request.ticket, Result.WAIT_EXPIRED, retry_s))
        return actions

    def _expire_before_opening(self, now: Seconds) -> list[Action]:
        """Expire queued requests whose wait ends before any upstream opens again."""
        opening_s = self._state.earliest_opening_s(now)
        if opening_s is None:
            return []
        actions: list[Action] = []
        for queue in self._state.queues.values():
            for ticket in list(queue):
                request = self.requests[ticket.id]
                if request.tokens or admission.is_queued_until(ticket, opening_s):
                    continue
                wait_s = opening_s - now
                actions.append(
                    self._expire_queued(ticket, Result.UPSTREAMS_CLOSED, wait_s)
                )
        return actions

    def _expire_without_permit(self, now: Seconds) -> list[Action]:
        """Expire queued requests whose wait ends before they would get a permit."""
        state = self._state
        actions: list[Action] = []
        for ticket, permit_at_s in admission.queued_without_timely_permit(state, now):
            if self.requests[ticket.id].tokens:
                continue
            wait_s = admission.retry_after_s(
                state.closures.with_jitter_s(permit_at_s - now)
            )
            actions.append(
                self._expire_queued(ticket, Result.UPSTREAMS_LIMITED, wait_s)
            )
        return actions

    def _expire_before_stop(self, stops_at_s: Seconds, now: Seconds) -> list[Action]:
        """Expire queued requests that the router's stop would probably cut."""
        actions: list[Action] = []
        for name, queue in self._state.queues.items():
            hold_s = HOLD_TIMES_TO_END * self._state.demand[name].mean_hold_s
            for ticket in list(queue):
                ends_at_s = now + hold_s
                if ticket.time_limit_at_s is not None:
                    ends_at_s = min(ends_at_s, ticket.time_limit_at_s)
                if ends_at_s <= stops_at_s or self.requests[ticket.id].tokens:
                    continue
                actions.append(
                    self._expire_queued(ticket, Result.STOPPING, STOP_RETRY_S)
                )
        return actions

    def _expire_queued(self, ticket: Ticket, result: Result, wait_s: Seconds) -> Expire:
        """Remove a request from its queue and return the action that ends it."""
        self._state.queues[ticket.service_class.name].remove(ticket.id)
        self._remove_request(self.requests[ticket.id])
        return Expire(ticket, result, wait_s)

    def _update_shares(self, now: Seconds) -> None:
        state = self._state
        waiting = {name: len(queue) for name, queue in state.queues.items()}
        state.shares.update(
            state.classes.values(), state.running, waiting, state.total_slots, now
        )

    # Dispatch

    def _dispatch(self, now: Seconds) -> list[Action]:
        actions: list[Action] = []
        while self.waiting_count:
            action = self._dispatch_one(now)
            if action is None:
                break
            actions.append(action)
        return actions

    def _dispatch_one(self, now: Seconds) -> Send | Expire | None:
        """Send the next request that may use a free slot, or expire a blocked one."""
        state = self._state
        open_upstreams = state.open_upstreams()
        if not open_upstreams and state.limits:
            self._request_permits_for_all(now)
        open_slots = sum(
            self.upstreams[name].free
            for name in open_upstreams
            if state.is_usable(name)
        )
        for cls in ordering.classes_by_priority(state):
            ticket = state.queues[cls.name].peek()
            if ticket is None:
                continue
            free = open_upstreams or state.overtaking_upstreams(cls.tier)
            if not free:
                continue
            request = self.requests[ticket.id]
            try:
                place = self._place(request, cls, free, open_slots, now)
            except Exception:
                # Only this request ends: all others of the pool wait behind it.
                _log.exception("request not placed", extra={"request": ticket.id})
                return self._expire_queued(ticket, Result.INTERNAL, 0.0)
            if isinstance(place, Refused):
                return self._expire_queued(ticket, place.result, place.retry_after_s)
            if place is None:
                continue
            state.queues[cls.name].pop()
            return self._send(request, place, now)
        return None

    def _place(
        self,
        request: AdmittedRequest,
        cls: ServiceClass,
        free: list[str],
        open_slots: int,
        now: Seconds,
    ) -> str | Refused | None:
        """Return the upstream for the first request of a class, or its refusal.

        None if it has to wait.
        """
        state = self._state
        denied = admission.refusal_at_dispatch(state, self.placement, request, now)
        if denied is not None:
            return denied
        if not state.is_below_share(cls.name) and open_slots:
            preemptible = reassignment.may_be_preempted(request)
            if not ordering.may_take_slot(
                state, cls, now, free=open_slots, preemptible=preemptible
            ):
                return None
        return self._choose(request, free, now)

    def _choose(
        self, request: AdmittedRequest, free: list[str], now: Seconds
    ) -> str | None:
        """Return the upstream for a request, or None to leave it queued.

        If there is no permit for the best upstream, the request waits a moment for one
        and then goes to an upstream that it may use at once.
        """
        state = self._state
        awaiting_permit = state.upstreams_awaiting_permit(now) if state.limits else []
        names = [*free, *awaiting_permit]
        upstream = choose_paced(state, self.placement, request, names, now)
        if upstream is None or upstream not in awaiting_permit:
            return upstream
        if request.permit_wait_since_s is None:
            request.permit_wait_since_s = now
        if now - request.permit_wait_since_s >= PERMIT_WAIT_S:
            return self.placement.choose(state, request, free, now)
        state.limits.raise_demand(upstream, {request.ticket.service_class.tier: 1})
        return None

    def _request_permits_for_all(self, now: Seconds) -> None:
        """Ask for permits for all queued requests, as no upstream is available now."""
        state = self._state
        limited = [name for name in state.accepting_upstreams if name in state.limits]
        wanted = state.limits.divide_demand(limited, state.waiting_by_tier(), now)
        for upstream, counts in wanted.items():
            state.limits.raise_demand(upstream, counts)

    def _send(
        self,
        request: AdmittedRequest,
        upstream: str,
        now: Seconds,
        *,
        hedge: bool = False,
    ) -> Send:
        ticket = request.ticket
        slots = self.upstreams[upstream]
        attempt = Attempt(
            upstream, sent_s=now, started_ms=slots.started_ms, hedge=hedge
        )
        attempt.permit = self._state.limits.use_permit(upstream, now)
        request.permit_wait_since_s = None
        request.attempts.append(attempt)
        self._crash_watch.on_sent(ticket, attempt)
        self._state.poison.parts.record_sent(ticket.parts, now)
        request.tried_upstreams.append(upstream)
        slots.running.add(ticket.id)
        if request.is_suspect:
            slots.suspect_id = ticket.id
        self._state.running[ticket.service_class.name] += 1
        self._state.awaiting_first_token[ticket.id] = None
        if not hedge:
            self._state.charge(request, PREPAID_TOKENS)
            request.prepaid_tokens = PREPAID_TOKENS
        if self._state.pacing is not None:
            self._state.pacing.on_sent(upstream, ticket.id)
        self.placement.on_sent(request, upstream, now)
        return Send(ticket, upstream, hedge)

    # Preemption and moves

    def _preempt(self, now: Seconds) -> list[Action]:
        """Preempt lower tiers for queued requests that have waited long enough."""
        actions: list[Action] = []
        if self._state.tuning.preempt_after is None:
            return actions
        for cls in ordering.classes_by_priority(self._state):
            if not reassignment.has_preemptible_classes(self._state, cls):
                continue
            while reassignment.head_may_preempt(self._state, cls, now):
                if self._state.free_slots:
                    break
                victim = reassignment.choose_victim(self._state, cls)
                if victim is None:
                    break
                actions.append(self._preempt_request(victim, now))
                actions += self._dispatch(now)
        return actions

    def _preempt_unstarted(self, now: Seconds) -> list[Action]:
        """Preempt one request that has not started for one of a higher tier.

        At most one for each check, as it may take a moment until that makes room.
        """
        victim = reassignment.unstarted_to_preempt(self._state, now)
        if victim is None:
            return []
        withdrawal = self._preempt_request(victim, now)
        return [withdrawal, *self._dispatch(now)]

    def _preempt_over_credits(self, now: Seconds) -> list[Action]:
        """Preempt requests beyond the credits.

        Their slots are promised to urgent requests of other routers.
        """
        return [
            self._preempt_request(request, now)
            for request in reassignment.requests_over_credits(self._state)
        ]

    def _preempt_request(self, request: AdmittedRequest, now: Seconds) -> Withdraw:
        request.preemptions += 1
        return self._withdraw(request, Result.RETRY_PREEMPTED, now)

    def _move_streams(self, now: Seconds) -> list[Action]:
        """Move streams away from slow and silent upstreams."""
        actions: list[Action] = []
        streams = list(reassignment.streams_on_slow_upstreams(self._state, now))
        if now - self._last_stall_check_s >= STALL_CHECK_INTERVAL_S:
            self._last_stall_check_s = now
            streams += reassignment.stalled_streams(self._state, now)
        for request in streams:
            if not request.attempts:
                continue
            request.reroutes += 1
            actions.append(self._withdraw(request, Result.RETRY_CARRY_ON, now))
        if actions:
            actions += self._dispatch(now)
        return actions

    def _withdraw(
        self, request: AdmittedRequest, reason: Result, now: Seconds
    ) -> Withdraw:
        """Cancel the only attempt of a request and queue the request again."""
        upstream = request.attempts[0].upstream
        request.received_attempts += 1
        self._end_attempt(request, upstream, now)
        self._requeue(request, now)
        return Withdraw(request.ticket, upstream, reason, requeued=True)

    # Bookkeeping

    def _pace_answer(
        self, request: AdmittedRequest, attempt: Attempt, now: Seconds
    ) -> None:
        if self._state.pacing is None:
            return
        upstream = attempt.upstream
        self._state.pacing.on_answer(
            upstream,
            request.ticket.id,
            now - attempt.sent_s,
            self.placement.expected_ttft_s(request, upstream),
        )

    def _update_health(self, now: Seconds) -> None:
        """Pass the longest first-token waits to the tracker and update its verdicts."""
        if not self._state.tuning.health or not self._state.awaiting_first_token:
            return
        for name, waited_s in reassignment.longest_first_token_waits(
            self._state, now
        ).items():
            self.health.set_longest_wait(name, waited_s)
        self.health.eject_slow(now)

    def _clear_suspicion(
        self, request: AdmittedRequest, attempt: Attempt, now: Seconds
    ) -> None:
        """Clear a request of a suspected crash once it has run long enough."""
        if not request.is_suspect or now - attempt.sent_s < SUSPECT_CLEARED_AFTER_S:
            return
        request.is_suspect = False
        slots = self.upstreams[attempt.upstream]
        if slots.suspect_id == request.ticket.id:
            slots.suspect_id = None

    def _cancel_other_attempts(
        self, request: AdmittedRequest, winner: Attempt, now
    ) -> list[Action]:
        """Cancel all attempts of a hedged request but the first one to answer."""
        actions: list[Action] = []
        for attempt in list(request.attempts):
            if attempt is not winner:
                upstream = attempt.upstream
                self._end_attempt(request, upstream, now)
                actions.append(
                    Withdraw(
                        request.ticket, upstream, Result.RETRY_HEDGE, requeued=False
                    )
                )
        return actions

    def _end_attempts(self, request: AdmittedRequest, now: Seconds) -> None:
        for attempt in list(request.attempts):
            self._end_attempt(request, attempt.upstream, now)

    def _end_attempt(
        self, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> None:
        attempt = request.attempt_on(upstream)
        if attempt is None:
            return
        ticket = request.ticket
        request.attempts.remove(attempt)
        self._crash_watch.on_end(ticket, attempt, now)
        self.placement.on_end(request, upstream, now)
        if self._state.pacing is not None:
            self._state.pacing.on_end(upstream, ticket.id)
        if not request.attempts:
            self._state.awaiting_first_token.pop(ticket.id, None)
        slots = self.upstreams[upstream]
        slots.running.discard(ticket.id)
        if slots.suspect_id == ticket.id:
            slots.suspect_id = None
        if attempt.awaits_first_token:
            self.health.record_unanswered(upstream, now - attempt.sent_s, now)
        name = ticket.service_class.name
        self._state.running[name] -= 1
        self._state.demand[name].record_departure(now, now - attempt.sent_s)

    def _remove_request(self, request: AdmittedRequest) -> None:
        self.requests.pop(request.ticket.id, None)
        self._state.awaiting_first_token.pop(request.ticket.id, None)
