"""Configuration of deployments that store it under one key."""

from __future__ import annotations

import logging
import random
from collections.abc import Callable, Mapping, Sequence

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import ConfigSection
from shallotpoint.coordination.follow import PrefixFollower
from shallotpoint.coordination.kv import Entry, Source
from shallotpoint.policy.configuration import Config, InvalidConfig
from shallotpoint.types import Clock, Revision

# Keeps the copy's age below 2 s, also on a router that is cut off from the service.
POLL_WAIT_S = 1.2

_log = logging.getLogger(__name__)


class RouteConfigController:
    """Owns :class:`ConfigSection`; applies each new version atomically.

    An invalid or older configuration is logged and ignored.  A version that a restored
    service has lost may be given again to other content.  Used by
    :mod:`shallotpoint.daemons.route_router`.

    Parameters
    ----------
    sources : Callable
        Returns the sources of the configuration, the preferred one first.
    key : str
        Key of the configuration.
    read : Callable
        Parses the configuration; raises :class:`InvalidConfig`, naming field and value.
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
    ):
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
        await self.follower.run()

    def _apply(self, entries: Mapping[str, Entry]) -> None:
        """Apply a changed configuration if it is valid and newer than the current."""
        entry = entries.get(self._key)
        if entry is None or entry.value == self._last_value:
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
        self._write(ConfigSection(section.state, config))
        _log.info(
            "configuration in force",
            extra={"version": config.version, "routes": len(config.routing.table)},
        )
