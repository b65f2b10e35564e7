"""Admission control: whether a request is queued, and its estimated wait."""

from __future__ import annotations

from shallotpoint.policy.actions import Refused
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.ordering import may_take_slot
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.reassignment import count_preemptible
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds

MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0
CRASH_KNOWN_AFTER_S = 5.0  # by then it is known whether a silent upstream has crashed


def retry_after_s(wait_s: Seconds) -> Seconds:
    """Return ``Retry-After`` for an excess wait, within its bounds, in seconds."""
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))


def estimate_wait_s(
    state: PoolState, cls: ServiceClass, organisation: str, now: Seconds
) -> Seconds:
    """Return the estimated wait of a new request, in seconds."""
    ahead = requests_ahead(state, cls, organisation)
    if ahead < 1 and (
        may_take_slot(state, cls, now) or state.overtaking_upstreams(cls.tier)
    ):
        return 0.0
    preemption_wait_s = 0.0
    if state.tuning.count_preemptible and state.tuning.preempt_after is not None:
        if cls.ttft_s is not None:
            preemption_wait_s = state.tuning.preempt_after * cls.ttft_s
            ahead -= count_preemptible(state, cls, limit=ahead + 1)
    if ahead < 0:
        return preemption_wait_s
    rate = _service_rate(state, cls, now)
    return preemption_wait_s + (ahead + 1) / rate if rate > 0 else preemption_wait_s


def requests_ahead(state: PoolState, cls: ServiceClass, organisation: str) -> int:
    """Return how many queued requests are served before a new one."""
    queue = state.queues.get(cls.name)
    ahead = queue.min_requests_ahead(organisation) if queue else 0
    return ahead + _queued_in_higher_tiers(state, cls)


def assess(state: PoolState, ticket: Ticket, now: Seconds) -> Refused | Seconds:
    """Return the refusal of a request, or its estimated wait in seconds."""
    cls = ticket.service_class
    if state.is_blocked(ticket, now):
        return Refused(Result.POISON, blocked_retry_after_s(state, ticket, now))
    if not state.accepting_upstreams:
        return Refused(Result.NO_UPSTREAM, 1.0)
    opening_s = state.earliest_opening_s(now)
    if opening_s is not None and not is_queued_until(ticket, opening_s):
        return Refused(Result.UPSTREAMS_CLOSED, opening_s - now)
    permit_at_s = next_permit_at_s(state, cls.tier, now)
    if permit_at_s is not None and not is_queued_until(ticket, permit_at_s):
        wait_s = state.closures.with_jitter_s(permit_at_s - now)
        return Refused(Result.UPSTREAMS_LIMITED, retry_after_s(wait_s))
    if permit_at_s is not None:
        wait_s = permit_at_s - now
    else:
        wait_s = estimate_wait_s(state, cls, ticket.organisation, now)
    queue = state.queues.get(cls.name)
    if queue is None:
        return wait_s
    full = len(queue) >= cls.max_queued
    if full or queue.size_bytes + ticket.size_bytes > cls.max_queued_bytes:
        return Refused(Result.QUEUE_FULL, retry_after_s(wait_s))
    if (
        permit_at_s is not None
        or cls.queue_timeout_s is None
        or not state.tuning.early_refusal
    ):
        return wait_s
    if wait_s > state.tuning.refusal_margin * cls.queue_timeout_s:
        return Refused(
            Result.WAIT_TOO_LONG, retry_after_s(wait_s - cls.queue_timeout_s)
        )
    return wait_s


def next_permit_at_s(state: PoolState, tier: int, now: Seconds) -> Seconds | None:
    """Return when a new request of a tier gets a permit, None if it needs none.

    It needs one only if every upstream that accepts requests does.
    """
    limited = state.upstreams_if_all_limited() if state.limits else []
    if not limited:
        return None
    ahead = sum(
        count for other, count in state.waiting_by_tier().items() if other <= tier
    )
    return state.limits.next_grant_s(limited, tier, ahead, now)


def queued_without_timely_permit(
    state: PoolState, now: Seconds
) -> list[tuple[Ticket, Seconds]]:
    """Return queued requests that get no permit in time, with the predicted time.

    These requests are not counted as ahead of others.
    """
    limited = state.upstreams_if_all_limited() if state.limits else []
    if not limited:
        return []
    waiting = [ticket for queue in state.queues.values() for ticket in queue]
    waiting.sort(key=lambda ticket: (ticket.service_class.tier, ticket.due_s))
    late = []
    ahead = 0
    for ticket in waiting:
        tier = ticket.service_class.tier
        permit_at_s = state.limits.next_grant_s(limited, tier, ahead, now)
        if is_queued_until(ticket, permit_at_s):
            ahead += 1
        else:
            late.append((ticket, permit_at_s))
    return late


def blocked_retry_after_s(state: PoolState, ticket: Ticket, now: Seconds) -> Seconds:
    """Return ``Retry-After`` for a request that is blocked for crashes, in seconds.

    It is short if the request is blocked only because of upstreams that have not
    answered, as these may still turn out to be alive.
    """
    if state.poison.parts.is_blocked(ticket.parts, now) or state.poison.is_blocked(
        ticket.fingerprint, now
    ):
        return MAX_RETRY_AFTER_S
    return CRASH_KNOWN_AFTER_S


def refusal_at_dispatch(
    state: PoolState, placement: Placement, request: AdmittedRequest, now: Seconds
) -> Refused | None:
    """Return the refusal of the next request of a queue, or None if it may be sent."""
    if state.is_blocked(request.ticket, now):
        wait_s = blocked_retry_after_s(state, request.ticket, now)
        return Refused(Result.POISON, wait_s)
    return placement.refusal(state, request, now)


def is_queued_until(ticket: Ticket, at_s: Seconds) -> bool:
    """Return whether a request is still queued, not expired, at a given time."""
    return ticket.expires_s is None or ticket.expires_s > at_s


def _queued_in_higher_tiers(state: PoolState, cls: ServiceClass) -> int:
    return sum(
        len(queue)
        for name, queue in state.queues.items()
        if state.classes[name].tier < cls.tier
    )


def _service_rate(state: PoolState, cls: ServiceClass, now: Seconds) -> float:
    """Return how many requests of a class can start per second.

    This is the largest of its recent rate, the rate that higher tiers leave and its
    guaranteed share.
    """
    total = max(
        sum(d.departures.per_s(now) for d in state.demand.values()),
        _slot_release_rate(state),
    )
    higher = sum(
        state.demand[name].arrivals_fast.per_s(now)
        for name, other in state.classes.items()
        if other.tier < cls.tier
    )
    own = state.demand[cls.name].departures.per_s(now)
    return max(own, total - higher, cls.share * total)


def _slot_release_rate(state: PoolState) -> float:
    """Return how many slots per second the running requests free on average.

    The rate of recent departures alone is too low after a time of low load.
    """
    return sum(
        count / state.demand[name].mean_hold_s
        for name, count in state.running.items()
        if count and state.demand[name].mean_hold_s
    )
