"""Which upstreams may take a request, given their paces: a pure function."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from shallotpoint.pacing.pace import Pace, may_start
from shallotpoint.types import Seconds

# An upstream with more than this fraction of its slots in use has no room for what the
# pace keeps from another: the loads that other routers report are up to a second old.
FULL_SHARE = 0.8
# With fewer upstreams at full pace than this fraction, the whole pool starts, and the
# few that answered first would be flooded.
MIN_FULL_PACE_SHARE = 0.5
# Without a request that loses little by a delay, any that may be retried is the first.
ANY_FIRST_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class UpstreamUse:
    """Use of one upstream that accepts requests, as far as this router knows.

    Attributes
    ----------
    slots : int
        Requests that the upstream runs concurrently.
    has_free_slot : bool
        Whether this router may send there now, apart from the pace.
    own_running, own_unanswered : int
        Requests of this router, and those of them without a first token.
    peer_unanswered, peer_started : int
        Requests of other routers without and with a first token.
    """

    slots: int
    has_free_slot: bool
    own_running: int = 0
    own_unanswered: int = 0
    peer_unanswered: int = 0
    peer_started: int = 0

    @property
    def has_room(self) -> bool:
        """Whether it can take requests that the pace keeps from another upstream."""
        occupied = self.own_running + self.peer_unanswered + self.peer_started
        return self.has_free_slot and occupied < FULL_SHARE * self.slots


@dataclass(frozen=True, slots=True)
class PacedRequest:
    """What the choice of upstreams depends on in a request.

    Attributes
    ----------
    may_be_retried : bool
        Whether the request may be sent again after a failure.
    is_patient : bool
        Whether its caller loses less by a delay than others of the pool.
    tried : frozenset of str
        Upstreams that it was sent to before.
    preferred : frozenset of str
        Upstreams that its class uses first; empty if it has no preference.
    """

    may_be_retried: bool = True
    is_patient: bool = True
    tried: frozenset[str] = frozenset()
    preferred: frozenset[str] = frozenset()


def admissible(
    names: Sequence[str],
    request: PacedRequest,
    paces: Mapping[str, Pace],
    uses: Mapping[str, UpstreamUse],
    now: Seconds,
) -> list[str]:
    """Return which of the upstreams that could take a request may take it now.

    Only upstreams that the class of the request uses first count as alternatives.

    Parameters
    ----------
    names : sequence of str
        Upstreams that could take it, apart from their paces.
    paces, uses : mapping
        Pace and use of each upstream of the pool that accepts requests.
    """
    group = request.preferred & uses.keys() or uses.keys()
    full_pace = {name for name in group if paces[name].is_full}
    if len(full_pace) < MIN_FULL_PACE_SHARE * len(group):
        return list(names)
    if not any(
        uses[name].has_room and name not in request.tried
        for name in names
        if name in full_pace
    ):
        return list(names)
    return [
        name
        for name in names
        if name not in uses or holds_back(paces[name], uses[name], request, now) is None
    ]


def holds_back(
    pace: Pace, use: UpstreamUse, request: PacedRequest, now: Seconds
) -> str | None:
    """Return why the pace keeps a request from an upstream, None if it doesn't."""
    if pace.is_full:
        return None
    if not may_start(
        pace,
        own_unanswered=use.own_unanswered,
        peer_unanswered=use.peer_unanswered,
    ):
        return "no start left"
    if pace.own_window >= 1.0 or pace.answers_elsewhere >= 1.0:
        return None
    if not request.may_be_retried:
        return "not retryable"
    paced_s = 0.0 if pace.paced_at_s is None else now - pace.paced_at_s
    if not request.is_patient and paced_s < ANY_FIRST_AFTER_S:
        return "urgent"
    return None
