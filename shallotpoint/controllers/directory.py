"""Service discovery: the listed upstreams and routers in the key-value service.

Upstreams register themselves.  Routers register under a lease, so that a lost router
disappears from its peers' lists.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping, Sequence

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import HostsSection
from shallotpoint.coordination.entries import skipping_unreadable
from shallotpoint.coordination.follow import PrefixFollower
from shallotpoint.coordination.kv import (
    Entry,
    Expect,
    KeyValue,
    KeyValueError,
    OutcomeUnknown,
    Put,
    Source,
)
from shallotpoint.platform_api.hosts import Host, HostState
from shallotpoint.types import Clock, Revision, Seconds

UPSTREAM_POLL_WAIT_S = 4.0  # maximum wait of a long poll, which returns at any change
ROUTER_POLL_WAIT_S = 10.0  # routers change rarely, and only load figures depend on them
# In a large group one router reads the key-value service for all.  Its polls wait for
# this part of the drain bound at most, so that the others turn to the service in time
# if it gives that router no answer.
READER_POLL_SHARE = 0.5
UPSTREAM_SETTLE_S = 0.3  # a tenth of the time in which a withdrawal must take effect
ROUTER_SETTLE_S = 2.0  # batches the changes when all routers start at once
UPSTREAM_GRACE_S = 2.0  # after an outage, live upstreams are listed again in this time
LEASE_TTL_S = 18.0  # a lost router disappears after this time
RENEW_INTERVAL_S = 6.0  # three attempts within one lease
# After an outage, all routers have renewed their lease or registered again by then.
ROUTER_GRACE_S = RENEW_INTERVAL_S + 2.0
RETRY_INTERVAL_S = 0.5

_log = logging.getLogger(__name__)


class _RouterEntry(msgspec.Struct, frozen=True):
    """A router's entry in the key-value service."""

    address: str
    data_centre: str


class DirectoryController:
    """Owns :class:`HostsSection`; keeps the lists of upstreams and routers current.

    Used by :mod:`shallotpoint.daemons.route_router`.

    Parameters
    ----------
    sources : Callable
        Returns the sources of the lists, the preferred one first.
    upstream_prefix, router_prefix : str
        Key prefixes of the upstreams' and the routers' entries.
    shared_prefix : str, optional
        Prefix of ``router_prefix`` that covers all entries which routers write.
    read_upstream : Callable
        Converts an upstream's name and entry to a host; raises
        :class:`~shallotpoint.coordination.entries.UnreadableEntry`.
    on_restart : Callable
        Called with the name of an upstream that was restarted.
    on_end : Callable
        Called with the last entry of an upstream that was restarted, or that is no
        longer listed and had not been listed as leaving.
    on_shared : Callable
        Called with all entries under ``shared_prefix`` after each change.
    on_departures : Callable
        Called with the name and start of each upstream that is newly listed as leaving
        or no longer listed, and with the revision of the list.
    """

    def __init__(
        self,
        board: Blackboard,
        *,
        sources: Callable[[], Sequence[Source]],
        upstream_prefix: str,
        router_prefix: str,
        read_upstream: Callable[[str, bytes], Host],
        clock: Clock,
        rng: random.Random,
        on_restart: Callable[[str], None] = lambda upstream: None,
        on_end: Callable[[Host], None] = lambda host: None,
        shared_prefix: str | None = None,
        on_shared: Callable[[Mapping[str, Entry]], None] = lambda entries: None,
        on_departures: Callable[
            [Sequence[tuple[str, int]], Revision], None
        ] = lambda departed, revision: None,
    ):
        self._read_upstream = read_upstream
        self._on_restart = on_restart
        self._on_end = on_end
        self._on_shared = on_shared
        self._on_departures = on_departures
        self._upstreams: dict[str, Host] = {}
        self._routers: dict[str, Host] = {}
        self._parsed_entries: dict[str, tuple[bytes, Host | None]] = {}
        self._write = board.claim(HostsSection, "directory")
        self._upstream_prefix = upstream_prefix
        self._router_prefix = router_prefix
        self.upstreams = PrefixFollower(
            sources,
            upstream_prefix,
            clock=clock,
            rng=rng,
            on_change=self._update_upstreams,
            poll_wait_s=UPSTREAM_POLL_WAIT_S,
            settle_s=UPSTREAM_SETTLE_S,
            grace_s=UPSTREAM_GRACE_S,
        )
        self.routers = PrefixFollower(
            sources,
            shared_prefix or router_prefix,
            clock=clock,
            rng=rng,
            on_change=self._update_shared,
            poll_wait_s=ROUTER_POLL_WAIT_S,
            settle_s=ROUTER_SETTLE_S,
            grace_s=ROUTER_GRACE_S,
        )

    def set_drain_bound(self, drain_s: Seconds, *, has_single_reader: bool) -> None:
        """Adapt the polls for upstreams to the bound on requests to leaving ones.

        Parameters
        ----------
        drain_s : float
            No request may reach an upstream this long after it was listed as leaving,
            in seconds.
        has_single_reader : bool
            Whether one router reads the key-value service for all others.
        """
        wait_s = UPSTREAM_POLL_WAIT_S
        if has_single_reader:
            wait_s = min(wait_s, READER_POLL_SHARE * drain_s)
        self.upstreams.poll_wait_s = wait_s

    async def run(self) -> None:
        """Follow the lists of upstreams and of routers, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.upstreams.run())
            group.create_task(self.routers.run())

    def _update_upstreams(self, entries: Mapping[str, Entry]) -> None:
        """Apply a changed list of upstreams."""
        hosts = {}
        previous, self._parsed_entries = self._parsed_entries, {}
        for key, entry in entries.items():
            name = key.removeprefix(self._upstream_prefix)
            host = self._parse_upstream(name, entry.value, previous.get(name))
            if host is not None:
                hosts[name] = host
        previous_hosts, self._upstreams = self._upstreams, hosts
        self._report_changes(previous_hosts, hosts)
        self._publish()
        departed = _newly_departed(previous_hosts, hosts)
        if departed:
            self._on_departures(departed, self.upstreams.copy.revision)

    def _parse_upstream(
        self, name: str, raw: bytes, known: tuple[bytes, Host | None] | None
    ) -> Host | None:
        """Return the host of an entry, None if the entry cannot be read.

        An unchanged entry is not parsed, or reported as unreadable, again.
        """
        if known is None or known[0] != raw:
            host: Host | None = None
            with skipping_unreadable(name):
                host = self._read_upstream(name, raw)
            known = raw, host
        self._parsed_entries[name] = known
        return known[1]

    def _update_shared(self, entries: Mapping[str, Entry]) -> None:
        """Apply changed entries that routers write."""
        self._update_routers(entries)
        self._on_shared(entries)

    def _update_routers(self, entries: Mapping[str, Entry]) -> None:
        """Apply a changed list of routers, skipping unreadable entries."""
        routers = {}
        for key, entry in entries.items():
            if not key.startswith(self._router_prefix):
                continue
            name = key.removeprefix(self._router_prefix)
            with skipping_unreadable(name):
                router = msgspec.json.decode(entry.value, type=_RouterEntry)
                routers[name] = Host(name, "router", router.address, router.data_centre)
        self._routers = routers
        self._publish()

    def _report_changes(self, old: Mapping[str, Host], new: Mapping[str, Host]) -> None:
        """Log the changes of upstreams and call back for restarts and ends."""
        for name, host in new.items():
            old_host = old.get(name)
            if old_host == host:
                continue
            if old_host is not None and _is_restarted(old_host, host):
                self._on_restart(name)
                self._on_end(old_host)
            _log.info(
                "upstream listed",
                extra={
                    "upstream": name,
                    "pool": host.pool,
                    "address": host.address,
                    "state": str(host.state),
                },
            )
        for name in old.keys() - new.keys():
            _log.info("upstream gone", extra={"upstream": name})
            if old[name].state is HostState.LIVE:
                self._on_end(old[name])

    def _publish(self) -> None:
        """Write all hosts to the blackboard, sorted by name."""
        hosts = [*self._upstreams.values(), *self._routers.values()]
        self._write(
            HostsSection(
                tuple(sorted(hosts, key=lambda h: h.name)),
                self.upstreams.copy.revision,
            )
        )


def _newly_departed(
    old: Mapping[str, Host], new: Mapping[str, Host]
) -> list[tuple[str, int]]:
    """Return name and start of the live upstreams that left the list or began to."""
    departed = []
    for name, host in old.items():
        if host.state is not HostState.LIVE:
            continue
        now_listed = new.get(name)
        if now_listed is None or (
            now_listed.state is HostState.LEAVING
            and now_listed.started_ms == host.started_ms
        ):
            departed.append((name, host.started_ms))
    return departed


def _is_restarted(old: Host, new: Host) -> bool:
    """Return whether an upstream has another address or start time."""
    return (old.address, old.started_ms) != (new.address, new.started_ms)


class RouterRegistration:
    """Registers this router in the key-value service under a lease.

    Parameters
    ----------
    key : str
        Key of this router's entry.
    address : str
        ``host:port`` at which peers reach this router.
    """

    def __init__(
        self,
        kv: KeyValue,
        key: str,
        *,
        address: str,
        data_centre: str,
        rng: random.Random,
    ):
        self._kv = kv
        self._key = key
        self._value = msgspec.json.encode(_RouterEntry(address, data_centre))
        self._rng = rng
        self._lease = 0

    async def run(self) -> None:
        """Register this router and renew its lease, until cancelled."""
        while True:
            pause_s: Seconds = RENEW_INTERVAL_S
            try:
                await self._renew()
            except KeyValueError as exc:
                _log.info("not registered", extra={"reason": str(exc)})
                pause_s = RETRY_INTERVAL_S
            await asyncio.sleep(pause_s * self._rng.uniform(0.8, 1.2))

    async def deregister(self) -> None:
        """Remove this router's entry at a planned stop."""
        if not self._lease:
            return
        lease, self._lease = self._lease, 0
        try:
            await self._kv.revoke(lease)
        except KeyValueError as exc:
            _log.info(
                "lease not revoked; the router's entry stays until it expires",
                extra={"reason": str(exc)},
            )

    async def _renew(self) -> None:
        """Renew the lease, or register with a new one if it has expired."""
        if self._lease and await self._kv.keep_alive(self._lease) > 0:
            return
        self._lease = 0
        lease = await self._kv.grant(LEASE_TTL_S)
        # The write is idempotent, so a lost response need not be checked.
        await self._kv.txn([], [Put(self._key, self._value, lease)])
        self._lease = lease


async def get_or_create_secret(kv: KeyValue, key: str, new_secret: bytes) -> bytes:
    """Return the secret that all routers share, storing a new one if there is none.

    Parameters
    ----------
    key : str
        Key of the secret.
    new_secret : bytes
        The secret to store if no router has stored one yet.

    Raises
    ------
    KeyValueError
        The service cannot be reached.
    """
    while True:
        try:
            outcome = await kv.txn([Expect(key, 0)], [Put(key, new_secret)])
        except OutcomeUnknown:
            _log.info("outcome of storing the shared secret is unknown; retrying")
            continue
        if outcome.succeeded:
            return new_secret
        if outcome.found:
            return outcome.found[0].value
