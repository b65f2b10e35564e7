"""Routes: which pool serves a request, by host and longest path prefix."""

from __future__ import annotations

import functools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from shallotpoint.hashing import hash64
from shallotpoint.policy.model import ServiceClass
from shallotpoint.types import Seconds

UPSTREAM_RANKS = 10  # upstreams tell so many ranks apart
_SPLIT_STEPS = 1 << 32


class RouteKind(StrEnum):
    """What may be repeated, and how the answer comes."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """One target of a route; weights are relative to each other."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route and its promise.

    Attributes
    ----------
    prefix : str
        Start of the path; begins and ends with a slash.
    timeout_s : float
        Longest time until the final answer, in seconds.
    target_s : float
        The answer, or its first event, is on time within this, in seconds.
    pause_target_s : float or None
        Longest pause between events for which a stream is on time, in seconds.
    tier : int
        Rank from 0, served first.
    max_attempts : int
        Upstreams that one request may be sent to.
    open : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may be carried on at another upstream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    pools: tuple[WeightedPool, ...]
    timeout_s: Seconds
    target_s: Seconds
    pause_target_s: Seconds | None = None
    tier: int = 5
    max_attempts: int = 1
    open: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that may have run can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def pool_for(self, request_id: str) -> str:
        """Return the pool of one request; equal for equal ids.

        Examples
        --------
        >>> pools = (WeightedPool("old", 90), WeightedPool("new", 10))
        >>> route = Route("r", "h", "/", RouteKind.IDEMPOTENT, pools, 1.0, 0.1)
        >>> drawn = [route.pool_for(str(n)) for n in range(1000)]
        >>> 60 < drawn.count("new") < 140
        True
        """
        if len(self.pools) == 1:
            return self.pools[0].pool
        total = sum(target.weight for target in self.pools)
        point = hash64(request_id) % _SPLIT_STEPS / _SPLIT_STEPS * total
        for target in self.pools:
            point -= target.weight
            if point < 0:
                return target.pool
        return self.pools[-1].pool


class RouteTable:
    """Finds routes; immutable once built.

    Examples
    --------
    >>> pools = (WeightedPool("p"),)
    >>> routes = [
    ...     Route(prefix, "h", prefix, RouteKind.STREAM, pools, 1.0, 0.1)
    ...     for prefix in ("/", "/a/", "/a/b/")
    ... ]
    >>> table = RouteTable(routes)
    >>> [table.find("h", path).name for path in ("/a/b/c", "/a/bc", "/z")]
    ['/a/b/', '/a/', '/']
    >>> table.find("other", "/a/") is None
    True
    """

    def __init__(self, routes: Iterable[Route] = ()):
        self._routes = tuple(routes)
        self._by_place = {(r.host, r.prefix): r for r in self._routes}

    def __iter__(self):
        return iter(self._routes)

    def __len__(self) -> int:
        return len(self._routes)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RouteTable) and self._routes == other._routes

    __hash__ = None  # type: ignore[assignment]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None."""
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_place.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What operators allow a caller's connection.

    Attributes
    ----------
    head_s : float
        Time in which a request's headers have to arrive, in seconds.
    idle_s : float
        Time for which a kept connection may be idle, in seconds.
    """

    body_bytes: int = 4 << 20
    head_s: Seconds = 10.0
    idle_s: Seconds = 75.0


@dataclass(frozen=True, slots=True)
class TierOrder:
    """One order of all requests: by the organisation's tier, then by the route's.

    Upstreams know one number for a request.  If that were the organisation's tier
    alone, an organisation's long reports would go before its short questions.

    Attributes
    ----------
    pairs : tuple of tuple
        The tier that counts first and the route's own, most urgent first; empty
        if there are more than upstreams can tell apart.
    """

    pairs: tuple[tuple[int, int], ...] = ()

    @classmethod
    def of(cls, routes: Iterable[Route], tiers: Iterable[int | None]) -> TierOrder:
        """Return the order for routes and the tiers of organisations."""
        ranked = {*tiers, None}
        pairs = {
            (route.tier if tier is None else tier, route.tier)
            for route in routes
            for tier in ranked
        }
        return cls(tuple(sorted(pairs)) if len(pairs) <= UPSTREAM_RANKS else ())

    def rank(self, route: Route, tier: int | None) -> int:
        """Return the rank of an organisation's requests on a route; 0 is first."""
        pair = (route.tier if tier is None else tier, route.tier)
        if pair not in self.pairs:
            return pair[0]
        return self.pairs.index(pair)


@dataclass(frozen=True, slots=True)
class Routing:
    """The part of the configuration that belongs to routes.

    Attributes
    ----------
    key_holders : mapping
        Name of the organisation by key hash.
    needs_keys : bool
        Whether routes that are not open need a key.
    """

    table: RouteTable = field(default_factory=RouteTable)
    key_holders: Mapping[str, str] = field(default_factory=dict)
    needs_keys: bool = False
    limits: CallerLimits = CallerLimits()
    order: TierOrder = TierOrder()


@functools.lru_cache(maxsize=4_096)
def class_of(
    route: Route, tier: int | None, order: TierOrder = TierOrder()
) -> ServiceClass:
    """Return the service class of a route's requests.

    Parameters
    ----------
    tier : int or None
        Tier of the organisation, which goes before the route's.
    """
    rank = order.rank(route, tier)
    # A stream that has not begun within its target makes room for fresh ones.
    max_wait_s = route.timeout_s
    if route.kind is RouteKind.STREAM:
        max_wait_s = min(max_wait_s, route.target_s)
    cls = ServiceClass(
        route.name,
        tier=rank + 1,
        ttft_s=route.target_s,
        tbt_s=route.pause_target_s,
        deadline_s=route.timeout_s,
        max_wait_s=max_wait_s,
    )
    if rank == order.rank(route, None):
        return cls
    return replace(cls, name=f"{route.name}/tier-{rank}")
