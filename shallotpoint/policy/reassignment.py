"""Which running requests are preempted, hedged or moved to another upstream."""

from __future__ import annotations

from collections.abc import Iterator

from shallotpoint.policy.dispatch import choose
from shallotpoint.policy.health import Verdict
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.retry_decision import may_run_elsewhere
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.types import Seconds

MAX_PREEMPTIONS = 20
STALL_MIN_S = 2.0  # streams that pause for less are not moved
STALL_RATIO = 40.0  # pause of a stalled stream, in median times between tokens
# Preemption leaves this fraction of the retry budget to failed attempts.
PREEMPTION_UNSPENT_SHARE = 0.5
LOWER_TIER_WAIT_S = 2.0  # wait before a request of tier 2 or lower preempts others


def head_may_preempt(state: PoolState, cls: ServiceClass, now: Seconds) -> bool:
    """Return whether the first request of a class has waited long enough to preempt."""
    head = state.queues[cls.name].peek()
    if head is None or state.tuning.preempt_after is None:
        return False
    waited_s = now - state.requests[head.id].queued_s
    if cls.tier == 1 and cls.ttft_s is not None:
        return waited_s >= state.tuning.preempt_after * cls.ttft_s
    return waited_s >= LOWER_TIER_WAIT_S


def choose_victim(state: PoolState, cls: ServiceClass) -> AdmittedRequest | None:
    """Return the running request to preempt for a class, or None.

    The lowest tier is preempted first, and within it the request with the most
    tokens so far, as it is likely to hold its slot longest.
    """
    best: tuple[int, int, str] | None = None
    for request in _preemptible_requests(state, cls):
        key = (request.ticket.service_class.tier, request.tokens, request.ticket.id)
        if best is None or key > best:
            best = key
    return state.requests[best[2]] if best else None


def count_preemptible(state: PoolState, cls: ServiceClass, *, limit: int) -> int:
    """Return how many running requests a class may preempt, at most ``limit``."""
    count = 0
    for _ in _preemptible_requests(state, cls):
        count += 1
        if count >= limit:
            break
    return count


def has_preemptible_classes(state: PoolState, cls: ServiceClass) -> bool:
    """Return whether unprotected requests of lower tiers are running."""
    return bool(_preemptible_classes(state, cls))


def _preemptible_classes(state: PoolState, cls: ServiceClass) -> set[str]:
    return {
        name
        for name, other in state.classes.items()
        if other.tier > cls.tier and state.running[name] and not other.protected
    }


def _preemptible_requests(
    state: PoolState, cls: ServiceClass
) -> Iterator[AdmittedRequest]:
    lower = _preemptible_classes(state, cls)
    if not lower:
        return
    for slots in state.upstreams.values():
        for ticket_id in slots.running:
            request = state.requests[ticket_id]
            other = request.ticket.service_class
            if (
                other.name in lower
                and request.ticket.preemptible
                and request.preemptions < MAX_PREEMPTIONS
                and len(request.attempts) == 1
                and not state.is_below_share(other.name)
            ):
                yield request


def count_urgent(state: PoolState, now: Seconds) -> int:
    """Return the number of queued requests for which other routers should free slots.

    These are all of a class of tier 1, and as many of a class below its share as it
    lacks, if the first request of the class has waited long enough to preempt.
    """
    count = 0
    for name, queue in state.queues.items():
        cls = state.classes[name]
        if not len(queue) or not head_may_preempt(state, cls, now):
            continue
        if cls.tier == 1:
            count += len(queue)
        elif state.is_below_share(name):
            count += min(len(queue), int(state.shares.deficit_slot_s(name)))
    return count


def count_not_preemptible(state: PoolState, upstream: str) -> int:
    """Return the number of requests on an upstream that no other may preempt."""
    running = state.upstreams[upstream].running
    return sum(not may_be_preempted(state.requests[ticket_id]) for ticket_id in running)


def requests_over_credits(state: PoolState) -> list[AdmittedRequest]:
    """Return the requests to preempt on upstreams that run more than their credits."""
    to_preempt: list[AdmittedRequest] = []
    if state.tuning.preempt_after is None:
        return to_preempt
    for slots in state.upstreams.values():
        excess = len(slots.running) - slots.credits
        if excess <= 0 or slots.draining:
            continue
        preemptible = [state.requests[t] for t in slots.running]
        preemptible = [
            c for c in preemptible if may_be_preempted(c) and len(c.attempts) == 1
        ]
        preemptible.sort(
            key=lambda c: (c.ticket.service_class.tier, c.tokens, c.ticket.id),
            reverse=True,
        )
        to_preempt += preemptible[:excess]
    return to_preempt


def may_be_preempted(request: AdmittedRequest) -> bool:
    """Return whether a request of a higher tier may preempt this one."""
    return (
        request.ticket.preemptible
        and request.ticket.service_class.tier > 1
        and request.preemptions < MAX_PREEMPTIONS
    )


def unstarted_to_preempt(state: PoolState, now: Seconds) -> AdmittedRequest | None:
    """Return a running request without a first token to preempt, or None.

    An engine prefills lower tiers last, so their requests hold slots for seconds
    before they start.  They are preempted for a request of a higher tier that has
    waited long enough and can be sent nowhere; the lowest tier and the latest request
    first.  The request returned has spent from the retry budget.
    """
    share = state.tuning.preempt_unstarted_after
    if share is None or not state.awaiting_first_token:
        return None
    waiting_tiers = [
        state.classes[name].tier
        for name, queue in state.queues.items()
        if _waits_longer(state, queue.peek(), share, now)
    ]
    if not waiting_tiers:
        return None
    if state.open_upstreams() or state.overtaking_upstreams(min(waiting_tiers)):
        return None
    unstarted = [state.requests[ticket_id] for ticket_id in state.awaiting_first_token]
    unstarted.sort(
        key=lambda request: (request.ticket.service_class.tier, request.queued_s),
        reverse=True,
    )
    for request in unstarted:
        if (
            request.ticket.service_class.tier > min(waiting_tiers)
            and request.ticket.preemptible
            and not request.tokens
            and len(request.attempts) == 1
            and may_run_elsewhere(
                state,
                request,
                request.attempts[0].upstream,
                now,
                unspent_share=PREEMPTION_UNSPENT_SHARE,
            )
        ):
            return request
    return None


def _waits_longer(
    state: PoolState, head: Ticket | None, share: float, now: Seconds
) -> bool:
    """Return whether a queue's head has waited for a share of its target."""
    if head is None or head.service_class.ttft_s is None:
        return False
    waited_s = now - state.requests[head.id].queued_s
    return waited_s >= share * head.service_class.ttft_s


def longest_first_token_waits(state: PoolState, now: Seconds) -> dict[str, Seconds]:
    """Return the longest current wait for a first token, by upstream, in seconds."""
    longest_s = dict.fromkeys(state.upstreams, 0.0)
    for ticket_id in state.awaiting_first_token:
        for attempt in state.requests[ticket_id].attempts:
            if attempt.awaits_first_token:
                longest_s[attempt.upstream] = max(
                    longest_s[attempt.upstream], now - attempt.sent_s
                )
    return longest_s


def requests_to_hedge(
    state: PoolState, now: Seconds
) -> Iterator[tuple[AdmittedRequest, str]]:
    """Yield requests to hedge, each with the second upstream to send it to.

    These are idempotent requests whose first token is overdue.  Each one yielded
    has spent from the retry budget.
    """
    if state.tuning.hedge_ratio is None or not state.awaiting_first_token:
        return
    if not state.open_upstreams():
        return
    median_s = state.health.median_ttft_s()
    limit_s = max(state.tuning.hedge_min_s, state.tuning.hedge_ratio * median_s)
    for ticket_id in list(state.awaiting_first_token):
        request = state.requests[ticket_id]
        if len(request.attempts) != 1 or not request.ticket.idempotent:
            continue
        if now - request.attempts[0].sent_s < limit_s:
            continue
        # Looked up for each request, as the caller takes a slot for each hedge.
        untried = [
            n for n in state.open_upstreams() if n not in request.tried_upstreams
        ]
        upstream = _hedge_upstream(state, untried, now)
        if upstream is None:
            continue
        if may_run_elsewhere(state, request, request.attempts[0].upstream, now):
            if not state.is_usable(upstream):
                state.health.start_probe(upstream)
            yield request, upstream


def _hedge_upstream(state: PoolState, untried: list[str], now: Seconds) -> str | None:
    """Return the upstream for a hedge: a healthy one, else one that is due a probe."""
    healthy = [name for name in untried if state.is_usable(name)]
    upstream = choose((state.candidate(n, now) for n in healthy), cached_on=None)
    if upstream is not None:
        return upstream
    return next((n for n in untried if state.health.is_probe_due(n, now)), None)


def streams_on_slow_upstreams(
    state: PoolState, now: Seconds
) -> Iterator[AdmittedRequest]:
    """Yield streams to move away from upstreams that became slow.

    Each one yielded has spent from the retry budget.
    """
    if not state.tuning.move_slow:
        return
    for name, slots in state.upstreams.items():
        if not slots.running or state.health[name].verdict is not Verdict.SLOW:
            continue
        for ticket_id in sorted(slots.running):
            request = state.requests[ticket_id]
            if _may_move_from_slow(state, request, name, now):
                yield request


def stalled_streams(state: PoolState, now: Seconds) -> list[AdmittedRequest]:
    """Return streams to move because their upstream sends no more tokens.

    Each one returned has spent from the retry budget.
    """
    if not state.tuning.move_silent:
        return []
    limit_s = max(STALL_MIN_S, STALL_RATIO * state.health.median_tbt_s())
    streams = []
    for request in state.requests.values():
        if len(request.attempts) != 1 or not request.ticket.resumable:
            continue
        attempt = request.attempts[0]
        if (
            attempt.last_token_at_s is None
            or attempt.is_backpressured
            or now - attempt.last_token_at_s < limit_s
        ):
            continue
        if len(state.upstreams) > 1 and may_run_elsewhere(
            state, request, attempt.upstream, now
        ):
            streams.append(request)
    return streams


def _may_move_from_slow(
    state: PoolState, request: AdmittedRequest, upstream: str, now: Seconds
) -> bool:
    if not request.ticket.resumable:
        return False
    if len(request.attempts) != 1 or request.attempts[0].awaits_first_token:
        return False
    if request.attempts[0].sent_s >= state.health[upstream].verdict_since_s:
        return False
    return state.free_slots > 0 and may_run_elsewhere(state, request, upstream, now)
