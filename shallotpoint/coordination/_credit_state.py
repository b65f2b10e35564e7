"""State that a credit ledger keeps for each peer and each upstream."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotpoint.coordination.credit_rows import BorrowerCounters, UpstreamUsage
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class PeerState:
    """The part of a peer's last row that concerns this member.

    Attributes
    ----------
    usage : mapping
        The peer's usage by upstream.
    granted : mapping
        Units that the peer has lent to this member, by upstream.
    borrower_counters : mapping
        The peer's counters of units lent by this member, by upstream.
    membership_hash : int
        Hash of the peer's member list.
    knows_incarnation : bool
        Whether the peer has received a row of this member's current incarnation.
    """

    incarnation: int
    usage: Mapping[str, UpstreamUsage]
    granted: Mapping[str, int]
    borrower_counters: Mapping[str, BorrowerCounters]
    membership_hash: int
    knows_incarnation: bool


@dataclass(slots=True)
class OwnedUnit:
    """A unit of an upstream that this member owns.

    Attributes
    ----------
    usable_from_s : float
        Time before which the unit must not be used.
    confirmed : bool
        Whether every listed peer has confirmed the member list; the unit must not be
        used before.
    """

    usable_from_s: Seconds
    confirmed: bool = False


@dataclass(frozen=True, slots=True)
class FrozenLoan:
    """Units lent to a peer that is no longer listed; unusable until ``until_s``."""

    count: int
    until_s: Seconds


@dataclass(slots=True)
class UpstreamCredits:
    """One upstream's units at this member, and what the member needs of them.

    Attributes
    ----------
    capacity : int
        Units of all members together.
    owned : dict
        Units that this member owns, by index below ``capacity``.
    wanted, running, urgent : int
        Units, as in :class:`~shallotpoint.coordination.credit_rows.UpstreamUsage`.
    promised : int
        Units to be freed here and then lent to a peer.
    held : int or None
        Cached number of units held; None if it has to be counted again.
    held_valid_until_s : float
        Time at which ``held`` expires.
    idle_since_s : float or None
        Time since which units are idle, None if none are.
    frozen : list
        Loans to peers that are no longer listed.
    """

    capacity: int
    owned: dict[int, OwnedUnit] = field(default_factory=dict)
    wanted: int = 0
    running: int = 0
    urgent: int = 0
    promised: int = 0
    held: int | None = None
    held_valid_until_s: Seconds = 0.0
    idle_since_s: Seconds | None = None
    frozen: list[FrozenLoan] = field(default_factory=list)
