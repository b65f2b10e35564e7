"""What the decision on numbers of servers reads and returns."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum

from shallotpoint.policy.model import ScalingRule
from shallotpoint.types import Seconds

FOLLOW_MARGIN_S = 3.0  # the list of servers lags behind the boot of a server


class ServerKind(StrEnum):
    """Kinds of servers that are ordered separately."""

    ON_DEMAND = "on-demand"
    RECLAIMABLE = "reclaimable"


@dataclass(frozen=True, slots=True)
class Servers:
    """The servers of one kind in one data centre.

    Attributes
    ----------
    ready : int
        Listed servers that accept work.
    failing : int
        Those of them that this router's health checks avoid.
    leaving : int
        Listed servers that are about to leave.
    wanted : int or None
        Number of the last order; None if this holder has ordered none.
    ordered_at_s : float
        Time of that order, in seconds.
    raised_at_s, lowered_at_s : float
        Times at which the wanted number was last raised and lowered, in seconds.
    settled_since_s : float
        Time since which no ready server was lost, other than by an order, and since
        which most have been ready, in seconds.
    unavailable_until_s : float
        Time before which the platform has no more of these servers, in seconds.
    """

    ready: int = 0
    failing: int = 0
    leaving: int = 0
    wanted: int | None = None
    ordered_at_s: Seconds = -math.inf
    raised_at_s: Seconds = -math.inf
    lowered_at_s: Seconds = -math.inf
    settled_since_s: Seconds = -math.inf
    unavailable_until_s: Seconds = -math.inf

    @property
    def current(self) -> int:
        """Number that was last ordered, or that stands there without an order."""
        return self.ready if self.wanted is None else self.wanted

    @property
    def serving(self) -> int:
        """Servers that accept work and do so after the last order is carried out."""
        return max(0, min(self.ready, self.current) - self.failing)

    def is_late(self, boot_s: Seconds, now: Seconds) -> bool:
        """Return whether ordered servers are missing although they had time to boot."""
        return (
            self.ready < self.current
            and now > self.ordered_at_s + boot_s + FOLLOW_MARGIN_S
        )

    def expected(self, boot_s: Seconds, now: Seconds) -> int:
        """Return the number to count on: the ordered one, or the ready one if late."""
        return self.ready if self.is_late(boot_s, now) else self.current


@dataclass(frozen=True, slots=True)
class DataCentre:
    """One data centre in which a pool may have servers.

    Attributes
    ----------
    price : float
        Price of an on-demand server per second.
    mean_load : float
        Mean number of running requests on its servers.
    """

    name: str
    price: float
    on_demand: Servers = Servers()
    reclaimable: Servers = Servers()
    mean_load: float = 0.0

    def servers(self, kind: ServerKind) -> Servers:
        """Return the servers of a kind."""
        return self.reclaimable if kind is ServerKind.RECLAIMABLE else self.on_demand


@dataclass(frozen=True, slots=True)
class LoadSummary:
    """Running and waiting requests of a pool at all routers, over the last time.

    Attributes
    ----------
    latest, mean, peak : float
        Requests at the newest measurement, on average and at most.
    ahead : float
        Requests to expect at most until a server ordered now has booted.
    span_s : float
        Time between the oldest and the newest measurement, in seconds.
    age_s : float
        Age of the newest measurement, in seconds; infinity if there is none.
    """

    latest: float = 0.0
    mean: float = 0.0
    peak: float = 0.0
    ahead: float = 0.0
    span_s: Seconds = 0.0
    age_s: Seconds = math.inf


@dataclass(frozen=True, slots=True)
class Snapshot:
    """All that the decision for one pool depends on, beside the time.

    Attributes
    ----------
    slots : float
        Requests that one server runs at once, on average.
    """

    pool: str
    rule: ScalingRule
    slots: float
    load: LoadSummary
    data_centres: tuple[DataCentre, ...]


@dataclass(frozen=True, slots=True)
class ServerOrder:
    """A changed number of servers of one kind in one data centre.

    Attributes
    ----------
    reason : str
        For the log.
    """

    pool: str
    data_centre: str
    kind: ServerKind
    count: int
    reason: str
