"""What members tell each other of shared capacity, and who owns its units."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from functools import partial

import msgspec

from shallotpoint.coordination.overlay import rendezvous_score
from shallotpoint.types import Seconds

MAX_URGENT_DELAY_S = 0.5  # with slower peers, units would idle on their way
LITTLE_ROOM = 1  # units; a member with no more is helped before it needs them
AMPLE_ROOM = 3  # units; a member with fewer keeps them
_DELAY_GAIN = 0.3


class Use(msgspec.Struct, frozen=True, array_like=True):
    """What one member says of one upstream.

    Attributes
    ----------
    wanted : int
        Units it could use now.
    held : int
        Units it may use.
    running : int
        Units in use.
    urgent : int
        Units it needs now for work that cannot give way or wait.
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
    def yielding(self) -> int:
        """Units that could be freed for urgent work elsewhere."""
        return max(0, self.held - self.urgent)


class Taken(msgspec.Struct, frozen=True, array_like=True):
    """What a borrower has seen granted, and what it has given back of that."""

    seen: int = 0
    returned: int = 0


class CreditRow(msgspec.Struct, frozen=True, array_like=True):
    """A member's row: use by upstream, and its counters by peer and upstream.

    Peers are addressed as ``name#incarnation``.  All counters run from the
    start of the member.

    Attributes
    ----------
    granted : dict
        Units lent to a peer.
    taken : dict
        Units borrowed from a peer.
    view : int
        Hash of the member list that the member goes by.
    known : dict
        Incarnation of each peer that the member has heard and goes by.
    """

    use: dict[str, Use] = {}
    granted: dict[str, dict[str, int]] = {}
    taken: dict[str, dict[str, Taken]] = {}
    view: int = 0
    known: dict[str, int] = {}


@dataclass(frozen=True, slots=True)
class PeerCredits:
    """A peer's row together with the incarnation that wrote it."""

    incarnation: int
    row: CreditRow


@dataclass(slots=True)
class Delay:
    """How long a peer takes to see a grant, from one grant at a time."""

    average_s: Seconds = 0.0
    upstream: str = ""
    total: int = 0
    since_s: Seconds | None = None

    def granted(self, upstream: str, total: int, now: Seconds) -> None:
        """Start to time a grant, unless one is under way."""
        if self.since_s is None:
            self.upstream, self.total, self.since_s = upstream, total, now

    def heard(self, taken: Mapping[str, Taken], now: Seconds) -> None:
        """Note what the peer has seen."""
        seen = taken.get(self.upstream)
        if self.since_s is None or seen is None or seen.seen < self.total:
            return
        delay_s = now - self.since_s
        self.average_s += _DELAY_GAIN * (delay_s - self.average_s)
        self.since_s = None

    def is_long(self, now: Seconds) -> bool:
        """Return whether grants reach the peer too late for urgent work."""
        return self.present_s(now) > MAX_URGENT_DELAY_S

    def present_s(self, now: Seconds) -> Seconds:
        """Return the delay, counting a grant that is still unseen."""
        unseen_s = 0.0 if self.since_s is None else now - self.since_s
        return max(self.average_s, unseen_s)


def owners_of(upstream: str, capacity: int, members: Sequence[str]) -> list[str]:
    """Return the owner of each unit: its best member that is not full yet.

    Every member gets the same number, give or take one, and a change of members
    moves few units.

    Examples
    --------
    >>> sorted(owners_of("u", 4, ["a", "b"]))
    ['a', 'a', 'b', 'b']
    """
    least, most = capacity // len(members), math.ceil(capacity / len(members))
    counts: dict[str, int] = {}
    owners = []
    for index in range(capacity):
        open_members = [m for m in members if counts.get(m, 0) < least] or [
            m for m in members if counts.get(m, 0) < most
        ]
        owner = max(open_members, key=partial(_score_of, f"{upstream}/{index}"))
        counts[owner] = counts.get(owner, 0) + 1
        owners.append(owner)
    return owners


def part_of_lack(me: str, lack: int, spare: Mapping[str, int], *, salt: str) -> int:
    """Return how many units of a lack one member covers.

    All see the same lack, so each works out who gives what: one unit each, those
    with most to spare first, until it is covered.

    Examples
    --------
    >>> [part_of_lack(m, 3, {"a": 3, "b": 1}, salt="") for m in "ab"]
    [2, 1]
    """
    left = {member: count for member, count in spare.items() if count > 0}
    order = sorted(left, key=lambda m: (-left[m], rendezvous_score(m, salt)))
    part = 0
    while lack > 0 and order:
        for member in list(order):
            if lack <= 0:
                break
            lack -= 1
            left[member] -= 1
            part += member == me
            if left[member] <= 0:
                order.remove(member)
    return part


def member_to_help(name: str, rooms: Mapping[str, int], *, salt: str) -> str | None:
    """Return the member with little room that this one makes room at, if any.

    All members rank the same rows, the one with most room pairs with the one
    with least, the second with the second, so that no two help the same.

    Parameters
    ----------
    rooms : mapping
        Units that each member could free or has free.

    Examples
    --------
    >>> rooms = {"a": 5, "b": 0, "c": 2}
    >>> [member_to_help(name, rooms, salt="") for name in rooms]
    ['b', None, None]
    """
    order = sorted(rooms, key=lambda m: (rooms[m], rendezvous_score(m, salt)))
    peer = order[-1 - order.index(name)]
    if rooms[peer] > LITTLE_ROOM or rooms[name] < AMPLE_ROOM:
        return None
    return peer


def _score_of(unit: str, member: str) -> int:
    return rendezvous_score(member, unit)
