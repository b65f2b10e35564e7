"""Objects that operators configure: classes, exceptions, pools, organisations."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, replace
from enum import StrEnum
from typing import Any

from shallotpoint.types import Seconds

LOWEST_TIER = 4


@dataclass(frozen=True, slots=True)
class ServiceClass:
    """Latency targets, priority and limits of one kind of request.

    Attributes
    ----------
    tier : int
        Priority; 1 is served first.  Operators may set 1 to 4.
    ttft_s : float or None
        Target for the first token, in seconds.
    tbt_s : float or None
        Target for the time between tokens, in seconds.
    deadline_s : float or None
        Target for the whole answer, in seconds after the arrival.
    max_wait_s : float or None
        Longest wait in a queue, in seconds, after which an unprotected request is
        refused.  Defaults to the target for the first token, else to the deadline.
    protected : bool
        Whether requests are never refused for a long wait and never preempted.
    share : float
        Guaranteed fraction of each pool's slots while requests are queued, 0 to 1.
    max_queued, max_queued_bytes : int
        Limits on the requests and on their bytes in the queue of one router.
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
    def queue_timeout_s(self) -> Seconds | None:
        """Longest wait in a queue, in seconds; None if there is no limit."""
        if self.protected:
            return None
        for limit in (self.max_wait_s, self.ttft_s, self.deadline_s):
            if limit is not None:
                return limit
        return None


@dataclass(frozen=True, slots=True)
class BranchException:
    """Settings of a class that differ for the requests of one branch."""

    branch: str
    service_class: str
    overrides: tuple[tuple[str, Any], ...] = ()

    @property
    def name(self) -> str:
        """Name of the exception, ``branch/class``."""
        return f"{self.branch}/{self.service_class}"

    def apply_to(self, cls: ServiceClass) -> ServiceClass:
        """Return the class with the settings of this branch."""
        return replace(cls, **dict(self.overrides))


class PoolKind(StrEnum):
    """Kind of the upstreams of a pool."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class ScalingRule:
    """Within which limits servers of a pool are ordered, and what they cost.

    Attributes
    ----------
    minimum, maximum : int
        Servers in one data centre, of both kinds together.
    boot_s : float
        Time from an order until a new server serves, in seconds.
    reclaimable_price : float
        Price of a server that the platform may reclaim, relative to an on-demand one.
    prices : mapping
        Price of a server by data centre.
    """

    minimum: int
    maximum: int
    boot_s: Seconds
    reclaimable_price: float
    prices: Mapping[str, float]


@dataclass(frozen=True, slots=True)
class Pool:
    """A set of interchangeable upstreams: engines with the same models, or a service.

    Attributes
    ----------
    upstreams : tuple of str
        Names from the host list, or ``host:port`` addresses.
    slots : int
        Requests that one upstream runs concurrently.
    idempotent : bool
        Whether calls may be sent twice; else they need an ``Idempotency-Key``.
    discovered : bool
        Whether its upstreams come from the host list.
    scaling : ScalingRule, optional
        Set if the number of its servers is decided here.
    transfer_s_per_token : float or None
        Time in which an engine copies the cached state of one prompt token from
        another one, in seconds; None if they can't.
    """

    name: str
    kind: PoolKind = PoolKind.ENGINE
    models: tuple[str, ...] = ()
    upstreams: tuple[str, ...] = ()
    slots: int = 8
    idempotent: bool = True
    discovered: bool = False
    scaling: ScalingRule | None = None
    transfer_s_per_token: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Organisation:
    """The owner of an API key, and the classes that it may use.

    Attributes
    ----------
    tier : int or None
        Priority of its requests on routes, from 0; None if the route sets it.
    """

    name: str
    key_hash: str
    classes: tuple[str, ...] = ()
    default_class: str = ""
    weight: float = 1.0
    tier: int | None = None
