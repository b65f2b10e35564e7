"""Polls the platform's list of hosts and puts it on the blackboard."""

from __future__ import annotations

import asyncio
import logging

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import HostsSection
from shallotpoint.platform_api.hosts import HostList, HostListError
from shallotpoint.types import Seconds

_log = logging.getLogger(__name__)


class HostsController:
    """Owns :class:`HostsSection`; keeps the last list while it cannot be read.

    Used by :mod:`shallotpoint.daemons.router`.

    Parameters
    ----------
    interval_s : float
        Interval between two reads, in seconds.
    """

    def __init__(self, board: Blackboard, source: HostList, *, interval_s: Seconds):
        self._source = source
        self._interval_s = interval_s
        self._write = board.claim(HostsSection, "hosts")

    async def read(self) -> None:
        """Read the list once."""
        try:
            hosts = await self._source.fetch()
        except HostListError as exc:
            _log.warning("list of hosts not updated: %s", exc)
            return
        self._write(HostsSection(tuple(sorted(hosts, key=lambda h: h.name))))

    async def run(self) -> None:
        """Read the list at a fixed interval, until cancelled."""
        while True:
            await self.read()
            await asyncio.sleep(self._interval_s)
