"""Shares of a common capacity that lend themselves without a coordinator.

Each unit of an upstream's capacity is owned by one member, found by rendezvous
hashing over the listed members.  An owner lends units by raising a counter in
its own row, and the borrower gives them back by raising a counter in its row.
Both only grow, and each side acts on the other's counter as last seen.  A row
that is late, lost or repeated therefore makes units idle, never double.

The guarantee: while members see the same member list to within ``SETTLE_S``,
the units held by all of them never exceed the capacity.  Calls that were
started before a member lost a unit to a newcomer come on top until they end.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from functools import partial

import msgspec

from shallotpoint.coordination.overlay import rendezvous_score
from shallotpoint.types import Seconds

SETTLE_S = 3.0  # a unit gained by a change of members is used after this time
IDLE_BEFORE_RETURN_S = 1.0


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
    """

    wanted: int = 0
    held: int = 0
    running: int = 0


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
    """

    use: dict[str, Use] = {}
    granted: dict[str, dict[str, int]] = {}
    taken: dict[str, dict[str, Taken]] = {}


@dataclass(frozen=True, slots=True)
class PeerCredits:
    """A peer's row together with the incarnation that wrote it."""

    incarnation: int
    row: CreditRow


@dataclass(frozen=True, slots=True)
class _Peer:
    """What a peer's last row says to this member."""

    incarnation: int
    use: Mapping[str, Use]
    granted: Mapping[str, int]
    taken: Mapping[str, Taken]


@dataclass(slots=True)
class _Unit:
    """One owned unit and when it may be used."""

    from_s: Seconds


@dataclass(frozen=True, slots=True)
class _Frozen:
    """Units lent to a peer that is no longer listed, unused for a while."""

    count: int
    until_s: Seconds


@dataclass(slots=True)
class _Upstream:
    capacity: int
    owned: dict[int, _Unit] = field(default_factory=dict)
    wanted: int = 0
    running: int = 0
    idle_since_s: Seconds | None = None
    frozen: list[_Frozen] = field(default_factory=list)


class CreditLedger:
    """One member's units of all upstreams.

    Parameters
    ----------
    name : str
        Name of this member.
    incarnation : int
        Number of this start; peers address counters to it.
    settle_s : float
        Time before a gained unit is used; longer than any two members' views
        of the member list differ.

    Examples
    --------
    >>> one = CreditLedger("one", 1, settle_s=0.0)
    >>> two = CreditLedger("two", 1, settle_s=0.0)
    >>> for ledger in (one, two):
    ...     ledger.configure({"u": 8}, ["one", "two"], now=0.0)
    >>> one.held("u", now=0.0) + two.held("u", now=0.0)
    8
    """

    def __init__(self, name: str, incarnation: int, *, settle_s: Seconds = SETTLE_S):
        self.name = name
        self.incarnation = incarnation
        self._settle_s = settle_s
        self._upstreams: dict[str, _Upstream] = {}
        self._members: tuple[str, ...] = ()
        self._own_address = f"{name}#{incarnation}"
        self._peers: dict[str, _Peer] = {}
        self._granted: dict[str, dict[str, int]] = {}
        self._returned: dict[str, dict[str, int]] = {}

    def configure(
        self, capacities: Mapping[str, int], members: Iterable[str], *, now: Seconds
    ) -> None:
        """Take over the upstreams' capacities and the listed members."""
        self._members = tuple(sorted({*members, self.name}))
        for name in self._upstreams.keys() - capacities.keys():
            del self._upstreams[name]
        for name, capacity in capacities.items():
            upstream = self._upstreams.setdefault(name, _Upstream(capacity))
            upstream.capacity = capacity
            self._own(name, upstream, now)
        for peer in self._peers.keys() - set(self._members):
            self._freeze_loans(peer, now)
            self._drop_peer(peer)

    def hear(self, peer: str, credits: PeerCredits) -> None:
        """Take in a peer's row; a new incarnation voids what the old one did."""
        if peer == self.name or peer not in self._members:
            return
        known = self._peers.get(peer)
        if known is not None and credits.incarnation > known.incarnation:
            self._drop_peer(peer)
        elif known is not None and credits.incarnation < known.incarnation:
            return
        row = credits.row
        self._peers[peer] = _Peer(
            credits.incarnation,
            row.use,
            row.granted.get(self._own_address, {}),
            row.taken.get(self._own_address, {}),
        )

    def set_use(self, upstream: str, *, wanted: int, running: int) -> None:
        """Note the units in use, and those that could be used now."""
        state = self._upstreams.get(upstream)
        if state is not None:
            state.wanted = wanted
            state.running = running

    def held(self, upstream: str, *, now: Seconds) -> int:
        """Return the units of an upstream that this member may use."""
        state = self._upstreams.get(upstream)
        if state is None:
            return 0
        owned = sum(1 for unit in state.owned.values() if unit.from_s <= now)
        if state.frozen:
            state.frozen = [f for f in state.frozen if f.until_s > now]
        away = sum(f.count for f in state.frozen)
        for name, peer in self._peers.items():
            lent = self._granted.get(name, {}).get(upstream, 0)
            if lent:
                taken = peer.taken.get(upstream)
                away += lent - taken.returned if taken else lent
            borrowed = peer.granted.get(upstream, 0)
            if borrowed:
                away -= borrowed - self._returned.get(name, {}).get(upstream, 0)
        return owned - away

    def rebalance(self, *, now: Seconds) -> bool:
        """Give back and lend what is not needed here; True if any moved."""
        moved = False
        for name, state in self._upstreams.items():
            moved |= self._give_back(name, state, now)
            moved |= self._lend(name, state, now)
        return moved

    def row(self, *, now: Seconds) -> CreditRow:
        """Return this member's row for its peers."""
        use = {
            name: Use(state.wanted, self.held(name, now=now), state.running)
            for name, state in self._upstreams.items()
        }
        granted = {self._address(p): dict(c) for p, c in self._granted.items() if c}
        taken = {self._address(p): self._taken_from(p) for p in self._peers}
        return CreditRow(use, granted, {p: t for p, t in taken.items() if t})

    def running_elsewhere(self, upstream: str) -> int:
        """Return the calls of all peers on an upstream, by their last rows."""
        uses = (p.use.get(upstream) for p in self._peers.values())
        return sum(use.running for use in uses if use)

    # Ownership

    def _own(self, name: str, upstream: _Upstream, now: Seconds) -> None:
        scores = {
            index: max(self._members, key=partial(_score_of, f"{name}/{index}"))
            for index in range(upstream.capacity)
        }
        mine = {index for index, owner in scores.items() if owner == self.name}
        for index in upstream.owned.keys() - mine:
            del upstream.owned[index]
        for index in mine - upstream.owned.keys():
            upstream.owned[index] = _Unit(now + self._settle_s)

    # Lending

    def _address(self, peer: str) -> str:
        return f"{peer}#{self._peers[peer].incarnation}"

    def _lent(self, peer: str, upstream: str) -> int:
        granted = self._granted.get(peer, {}).get(upstream, 0)
        return granted - self._taken_by(peer, upstream).returned if granted else 0

    def _taken_by(self, peer: str, upstream: str) -> Taken:
        return self._peers[peer].taken.get(upstream) or Taken()

    def _borrowed(self, peer: str, upstream: str) -> int:
        granted = self._peers[peer].granted.get(upstream, 0)
        return granted - self._returned.get(peer, {}).get(upstream, 0)

    def _taken_from(self, peer: str) -> dict[str, Taken]:
        granted = self._peers[peer].granted
        returned = self._returned.get(peer, {})
        return {u: Taken(seen, returned.get(u, 0)) for u, seen in granted.items()}

    def _freeze_loans(self, peer: str, now: Seconds) -> None:
        """Leave units unused that a peer may still use while views differ."""
        for name, state in self._upstreams.items():
            count = self._lent(peer, name)
            if count > 0:
                state.frozen.append(_Frozen(count, now + self._settle_s))

    def _drop_peer(self, peer: str) -> None:
        self._peers.pop(peer, None)
        self._granted.pop(peer, None)
        self._returned.pop(peer, None)

    def _peer_use(self, peer: str, upstream: str) -> Use:
        return self._peers[peer].use.get(upstream, Use())

    def _give_back(self, name: str, state: _Upstream, now: Seconds) -> bool:
        """Return borrowed units that are idle, at once if the owner lacks some."""
        held = self.held(name, now=now)
        idle = held - max(state.running, state.wanted)
        if idle <= 0:
            state.idle_since_s = None
        elif state.idle_since_s is None:
            state.idle_since_s = now
        long_idle = (
            state.idle_since_s is not None
            and now - state.idle_since_s >= IDLE_BEFORE_RETURN_S
        )
        free = held - state.running
        moved = False
        for peer in self._peers:
            borrowed = self._borrowed(peer, name)
            if borrowed <= 0 or free <= 0:
                continue
            use = self._peer_use(peer, name)
            recalled = max(0, use.wanted - use.held)
            count = min(borrowed, free, max(recalled, idle if long_idle else 0))
            if count > 0:
                counters = self._returned.setdefault(peer, {})
                counters[name] = counters.get(name, 0) + count
                free -= count
                idle -= count
                moved = True
        return moved

    def _lend(self, name: str, state: _Upstream, now: Seconds) -> bool:
        """Lend idle units to the peers that lack most."""
        held = self.held(name, now=now)
        borrowed = sum(max(0, self._borrowed(p, name)) for p in self._peers)
        spare = held - max(state.running, state.wanted) - borrowed
        if spare <= 0:
            return False
        lacking = self._lacking(name)
        others = sum(self._spare_of(peer, name) for peer in self._peers)
        moved = False
        for peer, lack in lacking:
            # Several owners see the same lack, so each covers only its part.
            part = math.ceil(lack * spare / max(1, spare + others))
            count = min(spare, part)
            if count <= 0:
                break
            counters = self._granted.setdefault(peer, {})
            counters[name] = counters.get(name, 0) + count
            spare -= count
            moved = True
        return moved

    def _lacking(self, name: str) -> list[tuple[str, int]]:
        """Return peers that want more than they hold, with what is on its way."""
        lacking = []
        for peer in self._peers:
            use = self._peer_use(peer, name)
            lack = use.wanted - use.held - self._unseen_by(peer, name)
            if lack > 0:
                lacking.append((peer, lack))
        return sorted(lacking, key=lambda pair: -pair[1])

    def _unseen_by(self, peer: str, name: str) -> int:
        """Return lent units that the peer's row cannot show yet."""
        granted = self._granted.get(peer, {}).get(name, 0)
        return max(0, granted - self._taken_by(peer, name).seen)

    def _spare_of(self, peer: str, name: str) -> int:
        use = self._peer_use(peer, name)
        return max(0, use.held - max(use.running, use.wanted))


def _score_of(unit: str, member: str) -> int:
    return rendezvous_score(member, unit)
