"""The sections of the blackboard."""

from __future__ import annotations

import functools
from collections.abc import Mapping
from dataclasses import dataclass, field

from shallotpoint.coordination.config import ConfigState
from shallotpoint.platform_api.hosts import Host, HostState
from shallotpoint.policy.configuration import Config
from shallotpoint.types import Revision, Seconds


@dataclass(frozen=True, slots=True)
class ConfigSection:
    """The current configuration.

    Attributes
    ----------
    state : ConfigState
        The stored sections with their versions; empty in deployments that store the
        configuration under one key.
    config : Config
        The configuration parsed from them.
    """

    state: ConfigState = field(default_factory=ConfigState)
    config: Config = field(default_factory=Config)


@dataclass(frozen=True)
class HostsSection:
    """The list of hosts as last read: upstreams and routers.

    Attributes
    ----------
    revision : int
        Revision of the key-value service that the list of upstreams reflects.
    """

    hosts: tuple[Host, ...] = ()
    revision: Revision = 0

    @functools.cached_property
    def _by_name(self) -> dict[str, Host]:
        """Hosts by name and by address; a name takes precedence over an address."""
        found = {h.address: h for h in reversed(self.hosts)}
        return found | {h.name: h for h in self.hosts}

    @functools.cached_property
    def _routers(self) -> dict[str, Host]:
        return {h.name: h for h in self.hosts if h.role == "router"}

    def members(self, pool: str) -> tuple[str, ...]:
        """Return the names of the hosts in a pool."""
        return tuple(h.name for h in self.hosts if h.pool == pool)

    def routers(self) -> dict[str, Host]:
        """Return the listed routers by name."""
        return self._routers

    def find(self, upstream: str) -> Host | None:
        """Return a host by its name or its address, None if it is not listed."""
        return self._by_name.get(upstream)

    def is_leaving(self, upstream: str) -> bool:
        """Return whether an upstream is listed as leaving."""
        host = self.find(upstream)
        return host is not None and host.state is HostState.LEAVING


@dataclass(frozen=True, slots=True)
class Departure:
    """News that an upstream is shutting down or gone.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation that is shutting down; does not apply to later ones.
    source : str
        The router that received the news first.
    received_at_s : float
        When that router received it, by this router's clock.
    revision : int
        Revision of the key-value service in which the upstream was listed as leaving
        or removed; 0 if the upstream announced it in a response.
    """

    upstream: str
    started_ms: int
    source: str
    received_at_s: Seconds
    revision: Revision = 0


@dataclass(frozen=True, slots=True)
class DeparturesSection:
    """Known departures by upstream."""

    departures: Mapping[str, Departure] = field(default_factory=dict)

    def covers(self, host: Host, revision: Revision = 0) -> bool:
        """Return whether the departure of an upstream's listed incarnation is known.

        Parameters
        ----------
        revision : int
            Revision of the list that has the upstream.  A departure from an earlier
            list does not count: the upstream has been listed again since.
        """
        departure = self.departures.get(host.name)
        if departure is None or departure.started_ms != host.started_ms:
            return False
        return not departure.revision or departure.revision > revision

    def is_announced(self, host: Host) -> bool:
        """Return whether an upstream's listed incarnation announced its departure."""
        departure = self.departures.get(host.name)
        return (
            departure is not None
            and departure.started_ms == host.started_ms
            and not departure.revision
        )


@dataclass(frozen=True, slots=True)
class AdvertisedLimit:
    """A rate limit that an upstream advertised in a response.

    Attributes
    ----------
    requests_per_s : float
        Requests per second from all routers together.
    started_ms : int
        Start of the incarnation that advertised it.
    received_at_s : float
        When a response to this router last advertised it, by this router's clock;
        minus infinity if the limit is known only from others.
    """

    requests_per_s: float
    started_ms: int
    received_at_s: Seconds


@dataclass(frozen=True, slots=True)
class LimitsSection:
    """Rate limits by upstream."""

    limits: Mapping[str, AdvertisedLimit] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class ContactSection:
    """Times of the last contact with the key-value service and with a peer.

    Attributes
    ----------
    kv_contact_at_s, peer_contact_at_s : float or None
        Times by the router's monotonic clock, None before the first contact.
    """

    kv_contact_at_s: Seconds | None = None
    peer_contact_at_s: Seconds | None = None

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since the last contact in seconds, None if there was none."""
        contact_times = [
            t for t in (self.kv_contact_at_s, self.peer_contact_at_s) if t is not None
        ]
        return now - max(contact_times) if contact_times else None


@dataclass(frozen=True, slots=True)
class CreditsSection:
    """This router's slots on each upstream, and the load that other routers have there.

    Attributes
    ----------
    held : mapping
        Slots that this router may use, by :func:`credit_key`.
    running_elsewhere : mapping
        Running requests of other routers, by :func:`credit_key`.
    """

    held: Mapping[str, int] = field(default_factory=dict)
    running_elsewhere: Mapping[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class StopSection:
    """Whether this router is stopping.

    Attributes
    ----------
    stops_at_s : float or None
        When the stop ends; None if none has begun or it waits for all requests.
    """

    stopping: bool = False
    stops_at_s: Seconds | None = None


def credit_key(pool: str, upstream: str) -> str:
    """Return the key of an upstream's slots in credits and loads, ``pool/upstream``."""
    return f"{pool}/{upstream}"


def pool_of(key: str) -> str:
    """Return the pool of a :func:`credit_key`."""
    return key.partition("/")[0]
