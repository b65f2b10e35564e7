"""Sharing of the upstreams' capacity among members without a coordinator.

Each unit of an upstream's capacity has one owner, which rendezvous hashing chooses
among the listed members.  An owner lends units by raising a counter in its own
row, and the borrower returns them by raising a counter in its row.  Both counters
only grow, and each side acts on the last value that it received from the other.
A row that is late, lost or repeated therefore leaves units idle, but never lets
two members use the same unit.

Invariant: the units held by all members together never exceed the capacity, even
if messages are late or lost or the network is partitioned.  A unit that a member
gains by a change of the member list or by its own start becomes usable once every
listed peer has reported, in its own row, the same member list and this member's
incarnation, and not before ``SETTLE_S`` has passed.  Until then a new member can
only borrow.  Calls that were started on a unit before its member lost the unit
exceed the capacity until they end.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping

from shallotpoint.coordination._credit_state import (
    FrozenLoan,
    OwnedUnit,
    PeerState,
    UpstreamCredits,
)
from shallotpoint.coordination.credit_rows import (
    AMPLE_HEADROOM_UNITS,
    BorrowerCounters,
    CreditRow,
    GrantDelay,
    PeerCredits,
    UpstreamUsage,
    assign_owners,
    member_to_lend_to,
    share_of_shortage,
)
from shallotpoint.hashing import hash64
from shallotpoint.types import Seconds

SETTLE_S = 3.0  # longer than the member lists of two members can differ
IDLE_BEFORE_RETURN_S = 1.0


class CreditLedger:
    """Counts the units of every upstream that one member owns, lends and borrows.

    Parameters
    ----------
    name : str
        Name of this member.
    incarnation : int
        Number that is higher at each start of the member; peers address their
        counters to it.
    settle_s : float
        Time in seconds before a gained unit becomes usable; must be longer than the
        member lists of two members can differ.
    group_of : Callable
        Returns the group of an upstream.  Work of a group can run on any of its
        upstreams.  By default each upstream is a group of its own.

    Examples
    --------
    >>> one = CreditLedger("one", 1, settle_s=0.0)
    >>> two = CreditLedger("two", 1, settle_s=0.0)
    >>> for ledger in (one, two):
    ...     ledger.configure({"u": 8}, ["one", "two"], now=0.0)
    >>> for _ in range(2):
    ...     one.receive_row("two", PeerCredits(1, two.row(now=0.0)), now=0.0)
    ...     two.receive_row("one", PeerCredits(1, one.row(now=0.0)), now=0.0)
    >>> one.held("u", now=0.0), two.held("u", now=0.0)
    (4, 4)
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        *,
        settle_s: Seconds = SETTLE_S,
        group_of: Callable[[str], str] = str,
    ):
        self.name = name
        self._group_of = group_of
        self.incarnation = incarnation
        self._settle_s = settle_s
        self._upstreams: dict[str, UpstreamCredits] = {}
        self._members: tuple[str, ...] = ()
        self._own_address = f"{name}#{incarnation}"
        self._peers: dict[str, PeerState] = {}
        self._membership_hash = 0
        self._membership_confirmed = False
        self._delays: dict[str, GrantDelay] = {}
        # Totals by peer and upstream since the peer's current incarnation was seen.
        self._granted: dict[str, dict[str, int]] = {}
        self._returned: dict[str, dict[str, int]] = {}

    def configure(
        self, capacities: Mapping[str, int], members: Iterable[str], *, now: Seconds
    ) -> None:
        """Set the capacity of each upstream, in units, and the member list."""
        self._members = tuple(sorted({*members, self.name}))
        membership_hash = hash64("\n".join(self._members))
        if membership_hash != self._membership_hash:
            self._membership_hash, self._membership_confirmed = membership_hash, False
        for name in self._upstreams.keys() - capacities.keys():
            del self._upstreams[name]
        for name, capacity in capacities.items():
            upstream = self._upstreams.setdefault(name, UpstreamCredits(capacity))
            upstream.capacity = capacity
            self._assign_owned_units(name, upstream, now)
            upstream.held = None
        for peer in self._peers.keys() - set(self._members):
            self._freeze_loans(peer, now)
            self._drop_peer(peer)
            self._invalidate_held()
        if not self._membership_confirmed:
            self._confirm_membership()

    def receive_row(self, peer: str, credits: PeerCredits, *, now: Seconds) -> None:
        """Process a peer's row.

        A higher incarnation discards all loans to and from the earlier one; a row of
        a lower incarnation or of a member that is not listed is ignored.
        """
        if peer == self.name or peer not in self._members:
            return
        previous = self._peers.get(peer)
        if previous is not None and credits.incarnation > previous.incarnation:
            self._drop_peer(peer)
            self._invalidate_held()
        elif previous is not None and credits.incarnation < previous.incarnation:
            return
        row = credits.row
        current = PeerState(
            credits.incarnation,
            row.usage,
            row.granted.get(self._own_address, {}),
            row.borrower_counters.get(self._own_address, {}),
            row.membership_hash,
            row.incarnations.get(self.name) == self.incarnation,
        )
        previous = self._peers.get(peer)
        self._peers[peer] = current
        if previous is None or (previous.granted, previous.borrower_counters) != (
            current.granted,
            current.borrower_counters,
        ):
            self._invalidate_held()
        if not self._membership_confirmed:
            self._confirm_membership()
        if peer in self._delays:
            self._delays[peer].acknowledge(current.borrower_counters, now)

    def set_usage(
        self, upstream: str, *, wanted: int, running: int, urgent: int = 0
    ) -> None:
        """Set how many units of an upstream are needed here.

        Parameters
        ----------
        wanted, running, urgent : int
            Units, as in :class:`~shallotpoint.coordination.credit_rows.UpstreamUsage`.
        """
        state = self._upstreams.get(upstream)
        if state is not None:
            state.wanted = wanted
            state.running = running
            state.urgent = urgent

    def held(self, upstream: str, *, now: Seconds) -> int:
        """Return how many units of an upstream belong to this member at present.

        These are its usable owned units, less those lent, plus those borrowed.
        """
        state = self._upstreams.get(upstream)
        if state is None:
            return 0
        if state.held is None or now >= state.held_valid_until_s:
            state.held = self._count_held(upstream, state, now)
            state.held_valid_until_s = _next_change_s(state, now)
        return state.held

    def _count_held(self, upstream: str, state: UpstreamCredits, now: Seconds) -> int:
        owned = sum(
            1 for u in state.owned.values() if u.confirmed and u.usable_from_s <= now
        )
        state.frozen = [f for f in state.frozen if f.until_s > now]
        net_lent = sum(f.count for f in state.frozen)
        for name, peer in self._peers.items():
            lent = self._granted.get(name, {}).get(upstream, 0)
            if lent:
                counters = peer.borrower_counters.get(upstream)
                net_lent += lent - counters.returned if counters else lent
            borrowed = peer.granted.get(upstream, 0)
            if borrowed:
                net_lent -= borrowed - self._returned.get(name, {}).get(upstream, 0)
        return owned - net_lent

    def allowed(self, upstream: str, *, now: Seconds) -> int:
        """Return how many units may be in use: those held less those promised.

        Promised units are to be freed here and then lent to a peer.
        """
        state = self._upstreams.get(upstream)
        return self.held(upstream, now=now) - state.promised if state else 0

    def rebalance(self, *, now: Seconds) -> bool:
        """Return and lend units that are not needed here; return whether any moved."""
        moved = False
        for name, state in self._upstreams.items():
            moved |= self._return_borrowed(name, state, now)
            moved |= self._lend(name, state, now)
        moved |= self._balance_headroom(now)
        return moved

    @property
    def has_promised_units(self) -> bool:
        """Whether units have to be freed here so that they can be lent to peers."""
        return any(state.promised for state in self._upstreams.values())

    def row(self, *, now: Seconds) -> CreditRow:
        """Return the row that this member publishes to its peers."""
        use = {
            name: UpstreamUsage(
                state.wanted, self.held(name, now=now), state.running, state.urgent
            )
            for name, state in self._upstreams.items()
        }
        granted = {self._address(p): dict(c) for p, c in self._granted.items() if c}
        borrower_counters = {
            self._address(p): self._own_borrower_counters(p) for p in self._peers
        }
        incarnations = {name: peer.incarnation for name, peer in self._peers.items()}
        borrower_counters = {p: t for p, t in borrower_counters.items() if t}
        return CreditRow(
            use, granted, borrower_counters, self._membership_hash, incarnations
        )

    def running_elsewhere(self, upstream: str) -> int:
        """Return how many units of an upstream all peers use, by their last rows."""
        usages = (p.usage.get(upstream) for p in self._peers.values())
        return sum(usage.running for usage in usages if usage)

    # Ownership

    def _assign_owned_units(
        self, upstream: str, state: UpstreamCredits, now: Seconds
    ) -> None:
        """Update which units of an upstream this member owns."""
        owners = assign_owners(upstream, state.capacity, self._members)
        own_indices = {
            index for index, owner in enumerate(owners) if owner == self.name
        }
        for index in state.owned.keys() - own_indices:
            del state.owned[index]
        for index in own_indices - state.owned.keys():
            state.owned[index] = OwnedUnit(
                now + self._settle_s, self._membership_confirmed
            )

    def _confirm_membership(self) -> None:
        """Make owned units usable once every listed peer has confirmed the member list.

        A peer that reports this incarnation has discarded its loans from an earlier
        incarnation.  A peer with the same member list claims none of the same units.
        """
        for name in self._members:
            if name == self.name:
                continue
            peer = self._peers.get(name)
            if (
                peer is None
                or not peer.knows_incarnation
                or peer.membership_hash != self._membership_hash
            ):
                return
        self._membership_confirmed = True
        for state in self._upstreams.values():
            state.held = None
            for unit in state.owned.values():
                unit.confirmed = True

    # Lending

    def _address(self, peer: str) -> str:
        return f"{peer}#{self._peers[peer].incarnation}"

    def _lent(self, peer: str, upstream: str) -> int:
        """Return units lent to a peer that it has not returned."""
        granted = self._granted.get(peer, {}).get(upstream, 0)
        return (
            granted - self._counters_of_borrower(peer, upstream).returned
            if granted
            else 0
        )

    def _counters_of_borrower(self, peer: str, upstream: str) -> BorrowerCounters:
        """Return a peer's counters of units that this member has lent to it."""
        return self._peers[peer].borrower_counters.get(upstream) or BorrowerCounters()

    def _borrowed(self, peer: str, upstream: str) -> int:
        """Return units borrowed from a peer that this member has not returned."""
        granted = self._peers[peer].granted.get(upstream, 0)
        return granted - self._returned.get(peer, {}).get(upstream, 0)

    def _own_borrower_counters(self, peer: str) -> dict[str, BorrowerCounters]:
        """Return this member's counters of units borrowed from a peer, by upstream."""
        granted = self._peers[peer].granted
        returned = self._returned.get(peer, {})
        return {
            u: BorrowerCounters(count, returned.get(u, 0))
            for u, count in granted.items()
        }

    def _invalidate_held(self) -> None:
        for state in self._upstreams.values():
            state.held = None

    def _freeze_loans(self, peer: str, now: Seconds) -> None:
        """Set aside units lent to a peer that is no longer listed.

        The peer may use them until it has received the same member list.
        """
        for name, state in self._upstreams.items():
            count = self._lent(peer, name)
            if count > 0:
                state.frozen.append(FrozenLoan(count, now + self._settle_s))

    def _drop_peer(self, peer: str) -> None:
        self._peers.pop(peer, None)
        self._granted.pop(peer, None)
        self._delays.pop(peer, None)
        self._returned.pop(peer, None)

    def _peer_usage(self, peer: str, upstream: str) -> UpstreamUsage:
        return self._peers[peer].usage.get(upstream, UpstreamUsage())

    def _return_borrowed(
        self, upstream: str, state: UpstreamCredits, now: Seconds
    ) -> bool:
        """Give unused borrowed units back to their owners; return whether any were.

        Units that their owner lacks are returned at once, unless grants reach it
        slowly; idle ones after :meth:`_idle_before_return_s`.
        """
        held = self.held(upstream, now=now)
        idle = held - max(state.running, state.wanted)
        if idle <= 0:
            state.idle_since_s = None
        elif state.idle_since_s is None:
            state.idle_since_s = now
        long_idle = (
            state.idle_since_s is not None
            and now - state.idle_since_s >= self._idle_before_return_s(now)
        )
        free = held - state.running
        moved = False
        for peer in self._peers:
            borrowed = self._borrowed(peer, upstream)
            if borrowed <= 0 or free <= 0:
                continue
            usage = self._peer_usage(peer, upstream)
            owner_shortage = max(0, max(usage.wanted, usage.urgent) - usage.held)
            if peer in self._delays and self._delays[peer].is_slow(now):
                owner_shortage = 0
            count = min(borrowed, free, max(owner_shortage, idle if long_idle else 0))
            if count > 0:
                counters = self._returned.setdefault(peer, {})
                counters[upstream] = counters.get(upstream, 0) + count
                state.held = None
                free -= count
                idle -= count
                moved = True
        return moved

    def _idle_before_return_s(self, now: Seconds) -> Seconds:
        """Return how long borrowed units may be idle before they are returned.

        The time is longer if a peer is slow to receive grants.
        """
        slowest_s = max((d.current_s(now) for d in self._delays.values()), default=0.0)
        return max(IDLE_BEFORE_RETURN_S, 2 * slowest_s)

    def _lend(self, upstream: str, state: UpstreamCredits, now: Seconds) -> bool:
        """Lend units that peers lack; return whether any were lent.

        Urgent work of peers gets idle and preemptible units; those still in use are
        promised.  Other work gets idle units only.
        """
        held = self.held(upstream, now=now)
        borrowed = sum(max(0, self._borrowed(p, upstream)) for p in self._peers)
        own_usage, _ = self._usage_of(self.name, upstream, now)
        owned = held - borrowed
        moved = False
        state.promised = 0
        for peer, shortage in self._shortages(upstream, urgent=True):
            if peer in self._delays and self._delays[peer].is_slow(now):
                continue
            share = self._own_share(
                upstream, shortage, peer, own_usage.preemptible, _preemptible_units
            )
            share = min(share, owned, own_usage.preemptible)
            free = max(0, held - state.running)
            moved |= self._grant(peer, upstream, min(share, free), now)
            # The rest is lent once the preemptible work that uses it has ended.
            state.promised += max(0, share - free)
            held -= min(share, free)
            owned -= share
            own_usage = UpstreamUsage(state.wanted, held, state.running, state.urgent)
        for peer, shortage in self._shortages(upstream, urgent=False):
            if not self._worth_lending(peer, state, now):
                continue
            share = self._own_share(
                upstream, shortage, peer, own_usage.idle, _idle_units
            )
            share = min(share, owned, own_usage.idle)
            moved |= self._grant(peer, upstream, share, now)
            owned -= share
            held -= share
            own_usage = UpstreamUsage(state.wanted, held, state.running, state.urgent)
        return moved

    def _balance_headroom(self, now: Seconds) -> bool:
        """Lend a unit in advance to the peer that is paired with this member, if any.

        Members are paired by their headroom, separately for each group of upstreams.
        Return whether any unit was lent.
        """
        moved = False
        groups: dict[str, list[str]] = {}
        for name in self._upstreams:
            groups.setdefault(self._group_of(name), []).append(name)
        for group, names in groups.items():
            headroom = {
                m: self._headroom(m, names, now) for m in (self.name, *self._peers)
            }
            peer = member_to_lend_to(self.name, headroom, salt=group)
            if peer is None:
                continue
            if peer not in self._delays or not self._delays[peer].is_slow(now):
                moved |= self._lend_in_advance(peer, names, now)
        return moved

    def _headroom(self, member: str, names: Iterable[str], now: Seconds) -> int:
        """Return a member's headroom: units that are free or can be freed."""
        held = urgent = 0
        for name in names:
            usage, in_transit = self._usage_of(member, name, now)
            held += usage.held + in_transit
            urgent += usage.urgent
        # A member without urgent work is ranked too high to be lent units in advance.
        return held - urgent if urgent else max(held, AMPLE_HEADROOM_UNITS - 1)

    def _usage_of(
        self, member: str, upstream: str, now: Seconds
    ) -> tuple[UpstreamUsage, int]:
        """Return a member's usage of an upstream, and units in transit to it."""
        if member != self.name:
            return self._peer_usage(member, upstream), self._units_in_transit(
                member, upstream
            )
        state = self._upstreams[upstream]
        held = self.held(upstream, now=now)
        return UpstreamUsage(state.wanted, held, state.running, state.urgent), 0

    def _lend_in_advance(self, peer: str, names: Iterable[str], now: Seconds) -> bool:
        """Lend a peer one unit of an upstream, or promise it if none is free.

        An upstream with a free unit is preferred, then one with more headroom.
        Return whether a unit was lent.
        """
        best: tuple[bool, int, str] | None = None
        for name in names:
            state = self._upstreams[name]
            held = self.held(name, now=now)
            owned = held - sum(max(0, self._borrowed(p, name)) for p in self._peers)
            headroom = held - state.urgent - state.promised
            if owned > 0 and headroom > 0:
                candidate = (held > state.running, headroom, name)
                best = max(best, candidate) if best else candidate
        if best is None:
            return False
        has_free, _, name = best
        if has_free:
            return self._grant(peer, name, 1, now)
        self._upstreams[name].promised += 1
        return False

    def _worth_lending(self, peer: str, state: UpstreamCredits, now: Seconds) -> bool:
        """Return whether idle units will probably be idle still when the peer has them.

        This is assumed of a peer that receives grants fast.  For a slow one, the units
        must already have been idle for longer than its grants take.
        """
        delay = self._delays.get(peer)
        if delay is None or not delay.is_slow(now):
            return True
        idle_s = 0.0 if state.idle_since_s is None else now - state.idle_since_s
        return idle_s > delay.current_s(now)

    def _grant(self, peer: str, upstream: str, count: int, now: Seconds) -> bool:
        if count <= 0:
            return False
        counters = self._granted.setdefault(peer, {})
        counters[upstream] = counters.get(upstream, 0) + count
        self._upstreams[upstream].held = None
        delay = self._delays.setdefault(peer, GrantDelay())
        delay.start(upstream, counters[upstream], now)
        return True

    def _own_share(
        self,
        upstream: str,
        shortage: int,
        borrower: str,
        own_spare: int,
        spare_of: Callable[[UpstreamUsage], int],
    ) -> int:
        """Return how many units of a peer's shortage this member covers.

        Parameters
        ----------
        own_spare : int
            Units that this member can spare.
        spare_of : Callable
            Returns the units that a peer can spare, by its usage.
        """
        spare = {
            p: spare_of(self._peer_usage(p, upstream))
            for p in self._peers
            if p != borrower
        }
        spare[self.name] = own_spare
        return share_of_shortage(self.name, shortage, spare, salt=upstream)

    def _shortages(self, upstream: str, *, urgent: bool) -> list[tuple[str, int]]:
        """Return peers and their shortages of an upstream, the largest first.

        Units lent to a peer count as held there before it has acknowledged them.
        """
        shortages = []
        for peer in self._peers:
            usage = self._peer_usage(peer, upstream)
            needed = usage.urgent if urgent else usage.wanted
            shortage = needed - usage.held - self._units_in_transit(peer, upstream)
            if shortage > 0:
                shortages.append((peer, shortage))
        return sorted(shortages, key=lambda pair: -pair[1])

    def _units_in_transit(self, peer: str, upstream: str) -> int:
        """Return units lent to a peer that its last row does not acknowledge."""
        granted = self._granted.get(peer, {}).get(upstream, 0)
        return (
            max(0, granted - self._counters_of_borrower(peer, upstream).acknowledged)
            if granted
            else 0
        )


def _next_change_s(state: UpstreamCredits, now: Seconds) -> Seconds:
    """Return when the number of held units next changes as time passes."""
    times = [
        unit.usable_from_s for unit in state.owned.values() if unit.usable_from_s > now
    ]
    times += [f.until_s for f in state.frozen if f.until_s > now]
    return min(times, default=math.inf)


def _idle_units(usage: UpstreamUsage) -> int:
    return usage.idle


def _preemptible_units(usage: UpstreamUsage) -> int:
    return usage.preemptible
