"""Reads the host list and keeps it on the blackboard."""

from __future__ import annotations

import asyncio
import logging

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import HostsSection
from shallotpoint.platform_api.hosts import HostList, HostListError
from shallotpoint.types import Seconds

_log = logging.getLogger(__name__)


class HostsController:
    """Owns :class:`HostsSection`; the last list stays while it cannot be read."""

    def __init__(self, board: Blackboard, source: HostList, *, every_s: Seconds):
        self._source = source
        self._every_s = every_s
        self._write = board.claim(HostsSection, "hosts")

    async def read(self) -> None:
        """Read the list once."""
        try:
            hosts = await self._source.fetch()
        except HostListError as exc:
            _log.warning("host list: %s", exc)
            return
        self._write(HostsSection(tuple(sorted(hosts, key=lambda h: h.name))))

    async def run(self) -> None:
        """Read the list again and again, until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(self._every_s)
