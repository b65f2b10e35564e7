"""Applies the paces of a pool's upstreams to the choice for one request."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence

from shallotpoint.pacing import PacedRequest, UpstreamUse, admissible
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest
from shallotpoint.types import Seconds


def update_paces(state: PoolState, now: Seconds) -> None:
    """Bring the paces up to date with the loads that other routers reported."""
    if state.pacing is not None:
        for name in state.pacing.limited:
            state.pacing.update(name, _peer_started(state, name), now)


def paced_names(
    state: PoolState, request: AdmittedRequest, names: Sequence[str], now: Seconds
) -> Sequence[str]:
    """Return which of some upstreams may take a request now, given their paces."""
    pacing = state.pacing
    if pacing is None or not pacing.is_limiting:
        return names
    uses = upstream_uses(state)
    paced = paced_request(state, request, uses)
    return admissible(names, paced, pacing.paces, uses, now)


def choose_paced(
    state: PoolState,
    placement: Placement,
    request: AdmittedRequest,
    names: Sequence[str],
    now: Seconds,
) -> str | None:
    """Return the upstream for a request, or None to leave it queued.

    The pace prefers other upstreams, but doesn't keep a request waiting.
    """
    paced = paced_names(state, request, names, now)
    upstream = placement.choose(state, request, paced, now)
    if upstream is None and len(paced) < len(names):
        upstream = placement.choose(state, request, names, now)
    return upstream


def upstream_uses(state: PoolState) -> dict[str, UpstreamUse]:
    """Return the use of each upstream that has a pace and is not draining."""
    pacing = state.pacing
    assert pacing is not None
    uses = {}
    for name in state.accepting_upstreams:
        if name not in pacing.paces:
            continue
        slots = state.upstreams[name]
        started = _peer_started(state, name)
        uses[name] = UpstreamUse(
            slots.total,
            has_free_slot=slots.free > 0 and state.limits.may_send(name),
            own_running=len(slots.running),
            own_unanswered=pacing.count_unanswered(name),
            peer_unanswered=slots.peer_running - started,
            peer_started=started,
        )
    return uses


def _peer_started(state: PoolState, name: str) -> int:
    return min(state.upstreams[name].peer_running, state.count_peer_started(name))


def paced_request(
    state: PoolState, request: AdmittedRequest, upstreams: Collection[str]
) -> PacedRequest:
    """Return what the choice depends on in a request.

    A request is patient if its target for the first token is among the longer half of
    the classes that use the same upstreams first.
    """
    ticket = request.ticket
    own_class = ticket.service_class
    preferred = frozenset(n for n in upstreams if state.prefers(own_class, n))
    # Classes prefer either one group of the upstreams or the other.
    sample = next(iter(upstreams), "")
    has_attempt_left = (
        ticket.max_attempts is None
        or request.received_attempts + 1 < ticket.max_attempts
    )
    targets_s = sorted(
        math.inf if cls.ttft_s is None else cls.ttft_s
        for cls in state.classes.values()
        if state.prefers(cls, sample) == state.prefers(own_class, sample)
    )
    own_s = own_class.ttft_s
    return PacedRequest(
        may_be_retried=ticket.idempotent and has_attempt_left,
        is_patient=own_s is None
        or not targets_s
        or own_s >= targets_s[len(targets_s) // 2],
        tried=frozenset(request.tried_upstreams),
        preferred=preferred,
    )
