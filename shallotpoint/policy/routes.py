"""Routes, which map a host and the longest matching path prefix to a pool."""

from __future__ import annotations

import functools
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from enum import StrEnum

from shallotpoint.hashing import hash64
from shallotpoint.policy.model import ServiceClass
from shallotpoint.types import Seconds

MAX_PRIORITIES = 10  # priorities that upstreams distinguish
# Streams may stay queued for up to this time, as long as those with the longest target
# for the first event, so that urgent ones do not leave before less urgent ones are
# served.  Callers give up a silent stream somewhat later.
STREAM_WAIT_S = 1.5
STREAM_WAIT_SHARE = 0.5  # of the time limit at most, to leave time for the answer
_HASH_RANGE = 1 << 32


class RouteKind(StrEnum):
    """Kind of a route: whether requests may be repeated, or whether it streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class WeightedPool:
    """One pool of a route, and its weight relative to the route's other pools."""

    pool: str
    weight: float = 1.0


@dataclass(frozen=True, slots=True)
class Route:
    """One route and its service targets.

    Attributes
    ----------
    host : str
        Host name of the requests.
    prefix : str
        Path prefix of the requests; begins and ends with a slash.
    pools : tuple of WeightedPool
        Pools among which requests are split by weight.
    timeout_s : float
        Time limit for the complete answer, in seconds.
    target_s : float
        Target for the answer, or for the first event of a stream, in seconds.
    event_gap_target_s : float or None
        Target for the time between two events of a stream, in seconds.
    tier : int
        Priority; 0 is served first.
    max_attempts : int
        Number of upstreams that one request may be sent to.
    is_public : bool
        Whether requests need no API key.
    resumable : bool
        Whether another upstream may continue a broken stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    pools: tuple[WeightedPool, ...]
    timeout_s: Seconds
    target_s: Seconds
    event_gap_target_s: Seconds | None = None
    tier: int = 5
    max_attempts: int = 1
    is_public: bool = False
    resumable: bool = False

    @property
    def repeatable(self) -> bool:
        """Whether a request that an upstream may have executed can be sent again."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT

    def pool_for(self, request_id: str) -> str:
        """Return the pool of a request; the same id always gets the same pool.

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
        point = hash64(request_id) % _HASH_RANGE / _HASH_RANGE * total
        for target in self.pools:
            point -= target.weight
            if point < 0:
                return target.pool
        return self.pools[-1].pool


class RouteTable:
    """Immutable lookup table of routes by host and path.

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
        self._by_host_and_prefix = {(r.host, r.prefix): r for r in self._routes}

    def __iter__(self):
        return iter(self._routes)

    def __len__(self) -> int:
        return len(self._routes)

    def __eq__(self, other: object) -> bool:
        return isinstance(other, RouteTable) and self._routes == other._routes

    __hash__ = None  # type: ignore[assignment]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route whose prefix is the longest match of a path, or None."""
        end = len(path)
        while (slash := path.rfind("/", 0, end)) >= 0:
            route = self._by_host_and_prefix.get((host, path[: slash + 1]))
            if route is not None:
                return route
            end = slash
        return None


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits for the connections of callers.

    Attributes
    ----------
    max_body_bytes : int
        Largest request body, in bytes.
    header_timeout_s : float
        Time in which a request's headers have to arrive, in seconds.
    idle_timeout_s : float
        Time for which a keep-alive connection may be idle, in seconds.
    max_header_bytes : int
        Largest size of all headers of a request, in bytes.
    """

    max_body_bytes: int = 4 << 20
    header_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 75.0
    max_header_bytes: int = 16 << 10


@dataclass(frozen=True, slots=True)
class TierOrder:
    """Priority order of all requests: by the organisation's tier, then the route's.

    Upstreams accept one priority per request.  If that were the organisation's tier
    alone, its long reports could be served before its short questions.

    Attributes
    ----------
    pairs : tuple of tuple
        Pairs of the organisation's tier and the route's tier, in order of priority.
        For organisations without a tier, the first is the route's tier as well.
        Empty if there are more pairs than upstreams distinguish.
    longest_stream_target_s : float
        Longest target of any streaming route for its first event, in seconds.
    """

    pairs: tuple[tuple[int, int], ...] = ()
    longest_stream_target_s: Seconds = math.inf

    @classmethod
    def for_routes(
        cls, routes: Iterable[Route], tiers: Iterable[int | None]
    ) -> TierOrder:
        """Return the order for some routes and for the tiers of organisations."""
        routes = tuple(routes)
        all_tiers = {*tiers, None}
        pairs = {
            (route.tier if tier is None else tier, route.tier)
            for route in routes
            for tier in all_tiers
        }
        targets_s = [r.target_s for r in routes if r.kind is RouteKind.STREAM]
        return cls(
            tuple(sorted(pairs)) if len(pairs) <= MAX_PRIORITIES else (),
            max(targets_s, default=math.inf),
        )

    def rank(self, route: Route, tier: int | None) -> int:
        """Return the priority of an organisation's requests on a route; 0 is first.

        Parameters
        ----------
        tier : int or None
            Tier of the organisation; None if it has none.
        """
        pair = (route.tier if tier is None else tier, route.tier)
        if pair not in self.pairs:
            return pair[0]
        return self.pairs.index(pair)


@dataclass(frozen=True, slots=True)
class Routing:
    """Routes, API keys and caller limits of the configuration.

    Attributes
    ----------
    table : RouteTable
        All routes.
    key_holders : mapping
        Name of the organisation by the hash of its API key.
    needs_keys : bool
        Whether routes need an API key, except for those that are open to all.
    limits : CallerLimits
        Limits for the connections of callers.
    order : TierOrder
        Priority order of requests.
    """

    table: RouteTable = field(default_factory=RouteTable)
    key_holders: Mapping[str, str] = field(default_factory=dict)
    needs_keys: bool = False
    limits: CallerLimits = CallerLimits()
    order: TierOrder = TierOrder()


@functools.lru_cache(maxsize=4_096)
def service_class_of(
    route: Route, tier: int | None, order: TierOrder = TierOrder()
) -> ServiceClass:
    """Return the service class of an organisation's requests on a route.

    Parameters
    ----------
    tier : int or None
        Tier of the organisation, which takes precedence over the route's; None if
        it has none.
    order : TierOrder
        Priority order of requests.
    """
    rank = order.rank(route, tier)
    max_wait_s = route.timeout_s
    if route.kind is RouteKind.STREAM:
        wait_s = min(
            STREAM_WAIT_S,
            STREAM_WAIT_SHARE * max_wait_s,
            order.longest_stream_target_s,
        )
        max_wait_s = min(max_wait_s, max(route.target_s, wait_s))
    cls = ServiceClass(
        route.name,
        tier=rank + 1,
        ttft_s=route.target_s,
        tbt_s=route.event_gap_target_s,
        deadline_s=route.timeout_s,
        max_wait_s=max_wait_s,
    )
    if rank == order.rank(route, None):
        return cls
    return replace(cls, name=f"{route.name}/tier-{rank}")
