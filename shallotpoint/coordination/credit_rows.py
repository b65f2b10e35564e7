"""Rows by which members share capacity, and rules that all members apply alike.

The rules say which member owns a unit and which one lends to which.  Each member
computes them from the same rows, so that no messages are needed to agree.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial

import msgspec

from shallotpoint.coordination.overlay import rendezvous_score
from shallotpoint.types import Seconds

MAX_URGENT_DELAY_S = 0.5  # units lent to a slower peer would be idle in transit
LOW_HEADROOM_UNITS = 1  # a member with at most this headroom is lent units in advance
AMPLE_HEADROOM_UNITS = 3  # a member with less headroom than this lends none in advance
_DELAY_SMOOTHING = 0.3


class UpstreamUsage(msgspec.Struct, frozen=True, array_like=True):
    """One member's usage of one upstream.

    Attributes
    ----------
    wanted : int
        Units that the member could use now.
    held : int
        Units that belong to the member at present: owned or borrowed, and not lent.
    running : int
        Units in use.
    urgent : int
        Units that the member needs now for work that can neither be preempted nor
        wait.
    """

    wanted: int = 0
    held: int = 0
    running: int = 0
    urgent: int = 0

    @property
    def idle(self) -> int:
        """Units that are neither in use nor wanted."""
        return max(0, self.held - max(self.running, self.wanted))

    @property
    def preemptible(self) -> int:
        """Units that are free, or can be freed by preemption, for urgent work."""
        return max(0, self.held - self.urgent)


class BorrowerCounters(msgspec.Struct, frozen=True, array_like=True):
    """A borrower's counters for one lender and one upstream.

    Attributes
    ----------
    acknowledged : int
        Units lent, by the lender's last row that the borrower has received.
    returned : int
        Units returned of those.
    """

    acknowledged: int = 0
    returned: int = 0


class CreditRow(msgspec.Struct, frozen=True, array_like=True):
    """A member's row: its usage by upstream, and its counters by peer and upstream.

    Peers are addressed as ``name#incarnation``.  All counters start at zero with each
    incarnation of the member.

    Attributes
    ----------
    usage : dict
        Usage by upstream.
    granted : dict
        Units lent to a peer in total.
    borrower_counters : dict
        Counters of units borrowed from a peer.
    membership_hash : int
        Hash of the member list that the member has.
    incarnations : dict
        Highest incarnation that the member has seen of each listed peer.
    """

    usage: dict[str, UpstreamUsage] = {}
    granted: dict[str, dict[str, int]] = {}
    borrower_counters: dict[str, dict[str, BorrowerCounters]] = {}
    membership_hash: int = 0
    incarnations: dict[str, int] = {}


@dataclass(frozen=True, slots=True)
class PeerCredits:
    """A peer's row together with the incarnation that wrote it."""

    incarnation: int
    row: CreditRow


@dataclass(slots=True)
class GrantDelay:
    """Measures the time until a peer acknowledges a grant, one grant at a time.

    Attributes
    ----------
    average_s : float
        Exponential moving average of the delay in seconds.
    upstream : str
        Upstream of the grant that is measured.
    granted_total : int
        Counter of units lent of that upstream, as the grant left it.
    granted_at_s : float or None
        When that grant was made; None if no grant is measured.
    """

    average_s: Seconds = 0.0
    upstream: str = ""
    granted_total: int = 0
    granted_at_s: Seconds | None = None

    def start(self, upstream: str, granted_total: int, now: Seconds) -> None:
        """Start to measure a grant, unless another one is being measured."""
        if self.granted_at_s is None:
            self.upstream, self.granted_total, self.granted_at_s = (
                upstream,
                granted_total,
                now,
            )

    def acknowledge(
        self, counters_by_upstream: Mapping[str, BorrowerCounters], now: Seconds
    ) -> None:
        """Update the average if the peer's counters acknowledge the grant."""
        counters = counters_by_upstream.get(self.upstream)
        if (
            self.granted_at_s is None
            or counters is None
            or counters.acknowledged < self.granted_total
        ):
            return
        delay_s = now - self.granted_at_s
        self.average_s += _DELAY_SMOOTHING * (delay_s - self.average_s)
        self.granted_at_s = None

    def is_slow(self, now: Seconds) -> bool:
        """Return whether grants take too long to reach the peer for urgent work."""
        return self.current_s(now) > MAX_URGENT_DELAY_S

    def current_s(self, now: Seconds) -> Seconds:
        """Return the delay in seconds: the average, or the age of a grant if longer.

        Only a grant that is not acknowledged yet counts.
        """
        pending_s = 0.0 if self.granted_at_s is None else now - self.granted_at_s
        return max(self.average_s, pending_s)


def assign_owners(upstream: str, capacity: int, members: Sequence[str]) -> list[str]:
    """Return the owner of each unit of an upstream.

    A unit goes to the member with the highest rendezvous score that has room left, so
    that a change of members moves few units.  The numbers of units that members own
    differ by one at most.

    Examples
    --------
    >>> sorted(assign_owners("u", 4, ["a", "b"]))
    ['a', 'a', 'b', 'b']
    """
    min_units, max_units = capacity // len(members), math.ceil(capacity / len(members))
    counts: dict[str, int] = {}
    owners = []
    for index in range(capacity):
        open_members = [m for m in members if counts.get(m, 0) < min_units] or [
            m for m in members if counts.get(m, 0) < max_units
        ]
        owner = max(open_members, key=partial(_unit_score, f"{upstream}/{index}"))
        counts[owner] = counts.get(owner, 0) + 1
        owners.append(owner)
    return owners


def share_of_shortage(
    me: str, shortage: int, spare: Mapping[str, int], *, salt: str
) -> int:
    """Return how many units of a peer's shortage one member covers.

    Members take turns to give one unit each, those with most to spare first, until the
    shortage is covered.  All members see the same shortage and compute the same split.

    Parameters
    ----------
    spare : mapping
        Units that each member can spare.
    salt : str
        Decides between members that can spare equally many.

    Examples
    --------
    >>> [share_of_shortage(m, 3, {"a": 3, "b": 1}, salt="") for m in "ab"]
    [2, 1]
    """
    remaining = {member: count for member, count in spare.items() if count > 0}
    order = sorted(remaining, key=lambda m: (-remaining[m], rendezvous_score(m, salt)))
    share = 0
    while shortage > 0 and order:
        for member in list(order):
            if shortage <= 0:
                break
            shortage -= 1
            remaining[member] -= 1
            share += member == me
            if remaining[member] <= 0:
                order.remove(member)
    return share


def member_to_lend_to(
    name: str, headroom: Mapping[str, int], *, salt: str
) -> str | None:
    """Return the member with little headroom that this one lends to, if any.

    All members rank the same rows.  The member with the most headroom is paired with
    the one with the least, the second with the second last and so on, so that no two
    members lend to the same one.

    Parameters
    ----------
    headroom : mapping
        Units that each member has free or can free.
    salt : str
        Decides between members with equal headroom.

    Examples
    --------
    >>> headroom = {"a": 5, "b": 0, "c": 2}
    >>> [member_to_lend_to(name, headroom, salt="") for name in headroom]
    ['b', None, None]
    """
    order = sorted(headroom, key=lambda m: (headroom[m], rendezvous_score(m, salt)))
    peer = order[-1 - order.index(name)]
    if headroom[peer] > LOW_HEADROOM_UNITS or headroom[name] < AMPLE_HEADROOM_UNITS:
        return None
    return peer


def _unit_score(unit: str, member: str) -> int:
    return rendezvous_score(member, unit)
