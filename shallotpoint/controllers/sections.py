"""The sections of the blackboard."""

from __future__ import annotations

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotpoint.coordination.config import ConfigState
from shallotpoint.platform_api.hosts import Host, HostState
from shallotpoint.policy.configuration import Config
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class ConfigSection:
    """The configuration in force.

    Attributes
    ----------
    confirmed_s : float or None
        When the key-value service or a peer last confirmed it, by the
        router's monotonic clock.
    """

    state: ConfigState = field(default_factory=ConfigState)
    config: Config = field(default_factory=Config)


@dataclass(frozen=True)
class HostsSection:
    """The host list as last read."""

    hosts: tuple[Host, ...] = ()

    @functools.cached_property
    def _by_name(self) -> dict[str, Host]:
        """Hosts by address and, before that, by name."""
        found = {h.address: h for h in reversed(self.hosts)}
        return found | {h.name: h for h in self.hosts}

    @functools.cached_property
    def _routers(self) -> dict[str, Host]:
        return {h.name: h for h in self.hosts if h.role == "router"}

    def members(self, pool: str) -> tuple[str, ...]:
        """Return the names of the hosts that serve a pool."""
        return tuple(h.name for h in self.hosts if h.pool == pool)

    def routers(self) -> dict[str, Host]:
        """Return the listed routers by name."""
        return self._routers

    def find(self, upstream: str) -> Host | None:
        """Return a host by its name or its address."""
        return self._by_name.get(upstream)

    def is_leaving(self, upstream: str) -> bool:
        """Return whether the list says that an upstream is leaving."""
        host = self.find(upstream)
        return host is not None and host.state is HostState.LEAVING


@dataclass(frozen=True, slots=True)
class Departure:
    """One upstream's word, given in an answer, that it leaves.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that leaves; a later one is not concerned.
    source : str
        The router that got the answer.
    heard_s : float
        When that was, by the clock of this router.
    """

    upstream: str
    started_ms: int
    source: str
    heard_s: Seconds


@dataclass(frozen=True, slots=True)
class DeparturesSection:
    """The upstreams that said themselves that they leave, by name."""

    departures: Mapping[str, Departure] = field(default_factory=dict)

    def covers(self, host: Host) -> bool:
        """Return whether this incarnation of an upstream leaves."""
        departure = self.departures.get(host.name)
        return departure is not None and departure.started_ms == host.started_ms


@dataclass(frozen=True, slots=True)
class NamedLimit:
    """The requests a second that one upstream takes from all routers together.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that named it.
    heard_s : float
        When an answer last named it, by the clock of this router.
    """

    per_s: float
    started_ms: int
    heard_s: Seconds


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """The upstreams that name a limit, by name."""

    limits: Mapping[str, NamedLimit] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ContactSection:
    """When this router last heard from the service and from peers.

    Times are of the router's monotonic clock, None for never.
    """

    kv_s: Seconds | None = None
    peer_s: Seconds | None = None

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since any contact, in seconds."""
        times = [t for t in (self.kv_s, self.peer_s) if t is not None]
        return now - max(times) if times else None


@dataclass(frozen=True, slots=True)
class CreditsSection:
    """Slots that this router may fill, by pool and upstream.

    Attributes
    ----------
    held : mapping
        Keyed by ``pool/upstream``.
    elsewhere : mapping
        Requests of other routers, keyed alike.
    """

    held: Mapping[str, int] = field(default_factory=dict)
    elsewhere: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StopSection:
    """Whether this router is stopping."""

    stopping: bool = False


def credit_key(pool: str, upstream: str) -> str:
    """Return the key under which an upstream's slots are shared."""
    return f"{pool}/{upstream}"


def pool_of(key: str) -> str:
    """Return the pool of a :func:`credit_key`."""
    return key.partition("/")[0]
