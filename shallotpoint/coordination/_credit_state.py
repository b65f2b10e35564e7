"""What a credit ledger keeps of its peers and of each upstream."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotpoint.coordination.credit_rows import Taken, Use
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Peer:
    """What a peer's last row says to this member."""

    incarnation: int
    use: Mapping[str, Use]
    granted: Mapping[str, int]
    taken: Mapping[str, Taken]
    view: int
    knows_me: bool


@dataclass(slots=True)
class Unit:
    """One owned unit: usable from a time on, once all peers know of the owner."""

    from_s: Seconds
    agreed: bool = False


@dataclass(frozen=True, slots=True)
class Frozen:
    """Units lent to a peer that is no longer listed, unused for a while."""

    count: int
    until_s: Seconds


@dataclass(slots=True)
class Upstream:
    """One upstream's units here, and what this member says of its use."""

    capacity: int
    owned: dict[int, Unit] = field(default_factory=dict)
    wanted: int = 0
    running: int = 0
    urgent: int = 0
    promised: int = 0
    held: int | None = None
    held_until_s: Seconds = 0.0
    idle_since_s: Seconds | None = None
    frozen: list[Frozen] = field(default_factory=list)
