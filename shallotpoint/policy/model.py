"""What operators configure: service classes, branch exceptions, pools."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from shallotpoint.types import Seconds

LOWEST_TIER = 4


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """A promise to requests and their rank against others.

    Attributes
    ----------
    tier : int
        Rank from 1, served first, to 4.
    ttft_s : float or None
        Target for the first token, in seconds.
    tbt_s : float or None
        Target for the time between tokens, in seconds.
    deadline_s : float or None
        The whole answer is due this long after arrival, in seconds.
    max_wait_s : float or None
        An unprotected request that waits longer is refused.  Defaults to the
        first-token target, else to the deadline.
    protected : bool
        Never shed or preempted for a lower tier.
    share : float
        Guaranteed part of each pool's capacity while work waits, 0 to 1.
    max_queued, max_queued_bytes : int
        Bounds of the queue in one router.
    """

    name: str
    tier: int = 3
    ttft_s: Seconds | None = None
    tbt_s: Seconds | None = None
    deadline_s: Seconds | None = None
    max_wait_s: Seconds | None = None
    protected: bool = False
    share: float = 0.0
    max_queued: int = 1_000
    max_queued_bytes: int = 64 << 20

    @property
    def patience_s(self) -> Seconds | None:
        """Longest wait in a queue, in seconds; None waits without limit."""
        if self.protected:
            return None
        for limit in (self.max_wait_s, self.ttft_s, self.deadline_s):
            if limit is not None:
                return limit
        return None


@dataclass(frozen=True, slots=True)
class BranchException:
    """Fields of one class that differ for requests of one branch."""

    branch: str
    service_class: str
    overrides: tuple[tuple[str, Any], ...] = ()

    @property
    def name(self) -> str:
        """The key of the exception among all others."""
        return f"{self.branch}/{self.service_class}"

    def apply_to(self, cls: ServiceClass) -> ServiceClass:
        """Return the class as this branch sees it."""
        return replace(cls, **dict(self.overrides))


class PoolKind(StrEnum):
    """What stands behind a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of upstreams that serve the same models or the same service.

    Attributes
    ----------
    upstreams : tuple of str
        Names from the host list, or ``host:port`` addresses.
    slots : int
        Requests that one upstream runs at once.
    idempotent : bool
        Whether calls may be repeated; others need an ``Idempotency-Key``.
    discovered : bool
        Whether its upstreams are those that the host list names for it.
    """

    name: str
    kind: PoolKind = PoolKind.ENGINE
    models: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    slots: int = 8
    idempotent: bool = True
    discovered: bool = False


@dataclass(frozen=True, slots=True)
class Organisation:
    """A holder of API keys and the classes that it may use.

    Attributes
    ----------
    tier : int or None
        Rank of its requests on routes, from 0; None leaves it to the route.
    """

    name: str
    key_hash: str
    classes: tuple[str, ...] = ()
    default_class: str = ""
    weight: float = 1.0
    tier: int | None = None
