"""What would happen to a request that arrived now, and why; nothing is changed.

It asks the functions that admit and place requests, on a request that is not queued.
"""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.pacing import PaceCause
from shallotpoint.policy import admission
from shallotpoint.policy.actions import Refused
from shallotpoint.policy.paced_choice import choose_paced, paced_names
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class UpstreamVerdict:
    """Why a request would or would not go to one upstream now.

    Attributes
    ----------
    verdict : str
        ``chosen``, or why it is not.
    running, peer_running, slots : int
        Requests of this router and of others there, and how many it runs.
    cost_s : float or None
        Cost by which the placement compares it, in seconds; None if not compared.
    cached_tokens : int
        Tokens of the prompt that are likely cached there.
    pace : str or None
        Cause of the pace; None if it is at full pace.
    pace_starts_per_s : float or None
        Requests per second that this router may start there; None without a pace.
    is_limited : bool
        Whether it takes requests with a permit only.
    opens_in_s : float
        Time until it accepts requests, in seconds; 0 if it does now.
    """

    upstream: str
    verdict: str
    running: int
    peer_running: int
    slots: int
    cost_s: Seconds | None
    cached_tokens: int
    pace: str | None
    pace_starts_per_s: float | None
    is_limited: bool
    opens_in_s: Seconds


@dataclass(frozen=True, slots=True)
class Explanation:
    """What would happen to a request.

    Attributes
    ----------
    upstream : str or None
        Upstream that it would be sent to at once; None if it waits or is refused.
    ahead : int
        Queued requests that are served before it.
    expected_wait_s : float or None
        Expected wait in the queue, in seconds; None if it is refused.
    refusal : Result or None
        Result with which it would be refused.
    retry_after_s : float or None
        ``Retry-After`` of the refusal, in seconds.
    """

    upstream: str | None
    ahead: int
    expected_wait_s: Seconds | None
    refusal: Result | None
    retry_after_s: Seconds | None
    upstreams: tuple[UpstreamVerdict, ...]


def explain(
    state: PoolState, placement: Placement, ticket: Ticket, now: Seconds
) -> Explanation:
    """Return what would happen to a request that arrived now."""
    cls = ticket.service_class
    request = AdmittedRequest(ticket, queued_s=now)
    with state.poison.parts.unobserved():
        admitted = admission.assess(state, ticket, now)
    is_refused = isinstance(admitted, Refused)
    ahead = admission.requests_ahead(state, cls, ticket.organisation)
    free = state.open_upstreams() or state.overtaking_upstreams(cls.tier)
    paced = paced_names(state, request, free, now)
    costs_s = placement.costs_s(state, request, paced, now)
    chosen = choose_paced(state, placement, request, free, now)
    if chosen is not None and chosen not in costs_s:
        costs_s = placement.costs_s(state, request, free, now)

    def verdict(name: str) -> str:
        slots = state.upstreams[name]
        if slots.draining:
            return "draining"
        if state.closures.is_closed(name, now):
            return "closed"
        if name not in free:
            return "no permit" if slots.free else "no free slot"
        if name == chosen:
            return "chosen"
        if name not in paced:
            return "paced"
        if name not in costs_s:
            return "not compared"  # not on the shortlist, or backing off
        return "streams too slow" if chosen is None else "higher cost"

    return Explanation(
        None if is_refused or ahead else chosen,
        ahead,
        None if isinstance(admitted, Refused) else admitted,
        admitted.result if isinstance(admitted, Refused) else None,
        admitted.retry_after_s if isinstance(admitted, Refused) else None,
        tuple(
            _upstream_verdict(
                state, placement, ticket, name, verdict(name), costs_s.get(name), now
            )
            for name in state.upstreams
        ),
    )


def _upstream_verdict(
    state: PoolState,
    placement: Placement,
    ticket: Ticket,
    name: str,
    verdict: str,
    cost_s: Seconds | None,
    now: Seconds,
) -> UpstreamVerdict:
    slots = state.upstreams[name]
    pacing = state.pacing
    pace = pacing.paces.get(name) if pacing is not None else None
    cause = None if pace is None or pace.cause is PaceCause.NONE else str(pace.cause)
    starts_per_s = None
    if pacing is not None and pace is not None and cause is not None:
        starts_per_s = pace.starts_per_s(pacing.routers)
    return UpstreamVerdict(
        name,
        verdict,
        len(slots.running),
        slots.peer_running,
        slots.total,
        cost_s,
        placement.cached_tokens(ticket, name, now),
        cause,
        starts_per_s,
        name in state.limits,
        state.closures.opens_in_s(name, now),
    )
