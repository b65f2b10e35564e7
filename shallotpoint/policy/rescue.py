"""Which running requests give way, get a second upstream, or move."""

from __future__ import annotations

from collections.abc import Iterator

from shallotpoint.policy.dispatch import choose
from shallotpoint.policy.health import Verdict
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import Course
from shallotpoint.types import Seconds

MAX_MOVES = 4  # times that one request is carried on after a failure
MAX_PREEMPTIONS = 20
STALL_MIN_S = 2.0  # a stream that is silent for less is not moved
STALL_RATIO = 40.0  # against the usual time between tokens
LOWER_TIER_WAIT_S = 2.0  # tiers below the first wait this long before they preempt


def wants_slot(state: PoolState, cls: ServiceClass, now: Seconds) -> bool:
    """Return whether the head of a class has waited long enough to preempt."""
    head = state.queues[cls.name].peek()
    if head is None or state.tuning.preempt_after is None:
        return False
    waited_s = now - state.courses[head.id].queued_s
    if cls.tier == 1 and cls.ttft_s is not None:
        return waited_s >= state.tuning.preempt_after * cls.ttft_s
    return waited_s >= LOWER_TIER_WAIT_S


def victim(state: PoolState, cls: ServiceClass) -> Course | None:
    """Return the running request that gives way to a class, or None.

    The lowest tier goes first, then the longest answer so far: it is the one
    that is likely to hold its slot longest.
    """
    best: tuple[int, int, str] | None = None
    for course in _giving_way(state, cls):
        key = (course.ticket.service_class.tier, course.tokens, course.ticket.id)
        if best is None or key > best:
            best = key
    return state.courses[best[2]] if best else None


def count_giving_way(state: PoolState, cls: ServiceClass, *, limit: int) -> int:
    """Return how many running requests would give way, counted up to a limit."""
    count = 0
    for _ in _giving_way(state, cls):
        count += 1
        if count >= limit:
            break
    return count


def has_victims(state: PoolState, cls: ServiceClass) -> bool:
    """Return whether any lower tier runs work that may be preempted."""
    return bool(_lower_running(state, cls))


def _lower_running(state: PoolState, cls: ServiceClass) -> set[str]:
    return {
        name
        for name, other in state.classes.items()
        if other.tier > cls.tier and state.running[name] and not other.protected
    }


def _giving_way(state: PoolState, cls: ServiceClass) -> Iterator[Course]:
    lower = _lower_running(state, cls)
    if not lower:
        return
    for slots in state.upstreams.values():
        for ticket_id in slots.running:
            course = state.courses[ticket_id]
            other = course.ticket.service_class
            if (
                other.name in lower
                and course.ticket.preemptible
                and course.preemptions < MAX_PREEMPTIONS
                and len(course.legs) == 1
                and not state.is_owed(other.name)
            ):
                yield course


def urgent_waiting(state: PoolState, now: Seconds) -> int:
    """Return the waiting requests for which other routers should make room."""
    count = 0
    for name, queue in state.queues.items():
        cls = state.classes[name]
        if not len(queue) or not wants_slot(state, cls, now):
            continue
        if cls.tier == 1:
            count += len(queue)
        elif state.is_owed(name):
            count += min(len(queue), int(state.shares.owed(name)))
    return count


def firm_running(state: PoolState, upstream: str) -> int:
    """Return the requests on an upstream that give way to nobody."""
    running = state.upstreams[upstream].running
    return sum(not gives_way(state.courses[ticket_id]) for ticket_id in running)


def over_credits(state: PoolState) -> list[Course]:
    """Return requests that give way, as their upstream is over its credits."""
    found: list[Course] = []
    if state.tuning.preempt_after is None:
        return found
    for slots in state.upstreams.values():
        excess = len(slots.running) - slots.credits
        if excess <= 0 or slots.draining:
            continue
        yielding = [state.courses[t] for t in slots.running]
        yielding = [c for c in yielding if gives_way(c) and len(c.legs) == 1]
        yielding.sort(
            key=lambda c: (c.ticket.service_class.tier, c.tokens, c.ticket.id),
            reverse=True,
        )
        found += yielding[:excess]
    return found


def gives_way(course: Course) -> bool:
    """Return whether a request leaves its slot when a higher tier needs it."""
    return (
        course.ticket.preemptible
        and course.ticket.service_class.tier > 1
        and course.preemptions < MAX_PREEMPTIONS
    )


def oldest_waits(state: PoolState, now: Seconds) -> dict[str, Seconds]:
    """Return how long the oldest first token has been outstanding, by upstream."""
    oldest = dict.fromkeys(state.upstreams, 0.0)
    for ticket_id in state.starting:
        for leg in state.courses[ticket_id].legs:
            if leg.waiting:
                oldest[leg.upstream] = max(oldest[leg.upstream], now - leg.sent_s)
    return oldest


def overdue(state: PoolState, now: Seconds) -> Iterator[tuple[Course, str]]:
    """Yield requests with an overdue first token, and a second upstream for each."""
    if state.tuning.hedge_ratio is None or not state.starting:
        return
    if not state.open_upstreams():
        return
    median_s = state.health.median_ttft_s()
    limit_s = max(state.tuning.hedge_min_s, state.tuning.hedge_ratio * median_s)
    for ticket_id in list(state.starting):
        course = state.courses[ticket_id]
        if len(course.legs) != 1 or not course.ticket.idempotent:
            continue
        if now - course.legs[0].sent_s < limit_s:
            continue
        # Looked up afresh, as each hedge takes a slot.
        untried = [n for n in state.open_upstreams() if n not in course.tried]
        upstream = _second_upstream(state, untried, now)
        if upstream is None:
            continue
        if state.budget(course.ticket, course.legs[0].upstream).spend(now):
            if not state.is_usable(upstream):
                state.health.start_probe(upstream)
            yield course, upstream


def _second_upstream(state: PoolState, untried: list[str], now: Seconds) -> str | None:
    """Return where to ask again: a good upstream, else one due to be tried out."""
    good = [name for name in untried if state.is_usable(name)]
    upstream = choose((state.candidate(n, now) for n in good), cached_on=None)
    if upstream is not None:
        return upstream
    return next((n for n in untried if state.health.wants_probe(n, now)), None)


def stuck_on_slow(state: PoolState, now: Seconds) -> Iterator[Course]:
    """Yield streams to carry on elsewhere, as their upstream became slow."""
    if not state.tuning.move_slow:
        return
    for name, slots in state.upstreams.items():
        if not slots.running or state.health[name].verdict is not Verdict.SLOW:
            continue
        for ticket_id in sorted(slots.running):
            course = state.courses[ticket_id]
            if _may_move(state, course, name, now):
                yield course


def stalled(state: PoolState, now: Seconds) -> list[Course]:
    """Return streams whose upstream fell silent, to be carried on elsewhere."""
    if not state.tuning.move_silent:
        return []
    limit_s = max(STALL_MIN_S, STALL_RATIO * state.health.median_tbt_s())
    found = []
    for course in state.courses.values():
        if len(course.legs) != 1 or not course.ticket.resumable:
            continue
        leg = course.legs[0]
        if leg.last_s is None or leg.held_back or now - leg.last_s < limit_s:
            continue
        if course.moves < MAX_MOVES and len(state.upstreams) > 1:
            found.append(course)
    return found


def _may_move(state: PoolState, course: Course, upstream: str, now: Seconds) -> bool:
    if not course.ticket.resumable or course.moves >= MAX_MOVES:
        return False
    if len(course.legs) != 1 or course.legs[0].waiting:
        return False
    if course.legs[0].sent_s >= state.health[upstream].since_s:
        return False
    return state.free_slots > 0 and state.budget(course.ticket, upstream).spend(now)
