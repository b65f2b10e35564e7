"""Configuration of deployments that store it under one key."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.directory import ROUTER_GRACE_S
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.coordination.eras import split_era
from shallotpoint.coordination.follow import PrefixFollower
from shallotpoint.coordination.kv import Entry, Source
from shallotpoint.policy.configuration import Config, InvalidConfig
from shallotpoint.types import Clock, Revision

# Keeps the copy's age below 2 s, also on a router that is cut off from the service.
POLL_WAIT_S = 1.2
PEER_RETRY_S = 0.3

AskPeers = Callable[[], Awaitable[Sequence[bytes]]]

_log = logging.getLogger(__name__)


class RouteConfigController:
    """Owns :class:`ConfigSection`; applies each new version atomically.

    An invalid or older configuration is logged and ignored.  A version that a restored
    service has lost may be given again to other content.  A service that was restored
    may have lost the newest version, so a router that starts then first asks its peers.
    Used by :mod:`shallotpoint.daemons.route_router`.

    Parameters
    ----------
    sources : Callable
        Returns the sources of the configuration, the preferred one first.
    key : str
        Key of the configuration.
    read : Callable
        Parses the configuration; raises :class:`InvalidConfig`, naming field and value.
    ask_peers : Callable, optional
        Returns the values that are in force at peers; empty if none answers with one.

    Attributes
    ----------
    value_in_force : bytes or None
        The value that was applied last.
    """

    def __init__(
        self,
        board: Blackboard,
        sources: Callable[[], Sequence[Source]],
        *,
        key: str,
        read: Callable[[bytes], Config],
        clock: Clock,
        rng: random.Random,
        ask_peers: AskPeers | None = None,
    ):
        self._ask_peers = ask_peers
        self._clock = clock
        self._is_confirmed = ask_peers is None
        self._unconfirmed_entry: Entry | None = None
        self._unconfirmed = asyncio.Event()
        self.value_in_force: bytes | None = None
        self._board = board
        self._key = key
        self._read = read
        self._write = board.claim(ConfigSection, "config")
        self._last_value: bytes | None = None
        self._applied_revision: Revision = 0
        self.follower = PrefixFollower(
            sources,
            key,
            clock=clock,
            rng=rng,
            on_change=self._apply,
            poll_wait_s=POLL_WAIT_S,
        )

    async def run(self) -> None:
        """Follow changes of the configuration, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.follower.run())
            group.create_task(self._confirm_first())

    async def _confirm_first(self) -> None:
        """Apply the first value of a restored service once peers were asked.

        All running routers are listed again within ``ROUTER_GRACE_S``.
        """
        await self._unconfirmed.wait()
        assert self._ask_peers is not None
        values: Sequence[bytes] = ()
        until_s = self._clock() + ROUTER_GRACE_S
        while not values and self._clock() < until_s:
            values = await self._ask_peers()
            if not values:
                await asyncio.sleep(PEER_RETRY_S)
        if not values:
            _log.warning("no peer confirms the configuration of a restored store")
        self._is_confirmed = True
        for value in values:
            self._apply_entry(Entry(self._key, value, 0))
        if self._unconfirmed_entry is not None:
            self._apply_entry(self._unconfirmed_entry)

    def _apply(self, entries: Mapping[str, Entry]) -> None:
        """Apply a changed configuration, unless peers have to confirm it first."""
        entry = entries.get(self._key)
        if entry is None:
            return
        if not self._is_confirmed and split_era(entry.revision).era:
            self._unconfirmed_entry = entry
            self._unconfirmed.set()
            return
        self._is_confirmed = True
        self._apply_entry(entry)

    def _apply_entry(self, entry: Entry) -> None:
        """Apply a configuration if it is valid and newer than the current one."""
        if entry.value == self._last_value:
            return
        self._last_value = entry.value
        section = self._board.get(ConfigSection)
        current_version = section.config.version
        try:
            config = self._read(entry.value)
        except InvalidConfig as exc:
            _log.error(
                "configuration not usable, the last one stays",
                extra={"version": current_version, "reason": str(exc)},
            )
            return
        except Exception:
            _log.exception(
                "configuration not readable, the last one stays",
                extra={"version": current_version},
            )
            return
        is_given_again = (
            config.version == current_version
            and entry.revision > self._applied_revision
        )
        if config.version <= current_version and not is_given_again:
            _log.warning(
                "older configuration ignored",
                extra={"version": current_version, "offered": config.version},
            )
            return
        self._applied_revision = entry.revision
        self.value_in_force = entry.value
        self._write(ConfigSection(section.state, config))
        _log.info(
            "configuration in force",
            extra={"version": config.version, "routes": len(config.routing.table)},
        )
