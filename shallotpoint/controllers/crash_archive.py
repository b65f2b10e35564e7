"""Crash reports in the key-value service, so that they outlive the routers.

Each end has one entry by each router that had unanswered requests on it.  Entries are
written a little after the end, when the sound requests among them have mostly been
answered elsewhere, and go with their lease.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping, Sequence

import msgspec

from shallotpoint.coordination.kv import Entry, KeyValue, KeyValueError, Put
from shallotpoint.policy.poison import EXPIRY_S, CrashReport, Incarnation
from shallotpoint.types import Clock, Seconds

TICK_S = 0.5
SETTLE_S = 1.0  # most requests that were beside are answered elsewhere by then
RETRY_S = 2.0  # after a write that failed or that is not yet heard back
LEASE_S = EXPIRY_S
ENTRIES_AT_ONCE = 16  # half of what one write may hold

_decoder = msgspec.json.Decoder(list[int])
_log = logging.getLogger("shallotpoint.router")


class CrashArchive:
    """Writes this router's reports, and hears those of all that ever wrote.

    Parameters
    ----------
    prefix : str
        Where the entries are.
    is_current : Callable
        Returns whether a report still holds; others are not written.
    on_report : Callable
        Called with each report that is found, and the router that wrote it.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        name: str,
        *,
        clock: Clock,
        rng: random.Random,
        is_current: Callable[[CrashReport], bool],
        on_report: Callable[[CrashReport, str], None],
    ):
        self._kv = kv
        self._prefix = prefix
        self._name = name
        self._clock = clock
        self._rng = rng
        self._is_current = is_current
        self._on_report = on_report
        self._own: dict[Incarnation, list[CrashReport]] = {}
        self._due_s: dict[Incarnation, Seconds] = {}
        self._stored: dict[str, bytes] = {}

    def add(self, reports: Sequence[CrashReport], now: Seconds) -> None:
        """Take in reports that are to be written."""
        for report in reports:
            self._own.setdefault(report.incarnation, []).append(report)
            self._due_s.setdefault(report.incarnation, now + SETTLE_S)

    def take(self, entries: Mapping[str, Entry]) -> None:
        """Take in a copy of the service's entries; others than crashes are ignored."""
        stored = {
            key: entry.value
            for key, entry in entries.items()
            if key.startswith(self._prefix)
        }
        before, self._stored = self._stored, stored
        for key, raw in stored.items():
            if before.get(key) != raw:
                self._read(key, raw)

    async def run(self) -> None:
        """Write what is due, until cancelled."""
        while True:
            await asyncio.sleep(TICK_S * self._rng.uniform(0.8, 1.2))
            due = self._due(self._clock())
            if due:
                await self._write(due)

    def _due(self, now: Seconds) -> dict[Incarnation, list[CrashReport]]:
        """Return the ends that are to be written now; forget what no longer holds."""
        for end, reports in list(self._own.items()):
            current = [r for r in reports if self._is_current(r)]
            if current:
                self._own[end] = current
            elif now >= self._due_s[end]:
                del self._own[end], self._due_s[end]
        due = [
            end
            for end in self._own
            if now >= self._due_s[end] and self._key(end) not in self._stored
        ]
        return {end: self._own[end] for end in due[:ENTRIES_AT_ONCE]}

    async def _write(self, due: Mapping[Incarnation, Sequence[CrashReport]]) -> None:
        puts = []
        for end in due:
            self._due_s[end] = self._clock() + RETRY_S * self._rng.uniform(1.0, 2.0)
        try:
            lease = await self._kv.grant(LEASE_S)
            for end, reports in due.items():
                contents = sorted({r.fingerprint for r in reports})
                puts.append(Put(self._key(end), msgspec.json.encode(contents), lease))
            # Repeating this write is harmless, so a lost answer needs no reading back.
            await self._kv.txn([], puts)
        except KeyValueError as exc:
            _log.info("crashes not stored", extra={"reason": str(exc)})

    def _key(self, end: Incarnation) -> str:
        return f"{self._prefix}{end.upstream}/{end.started_ms}/{self._name}"

    def _read(self, key: str, raw: bytes) -> None:
        end, _, router = key.removeprefix(self._prefix).rpartition("/")
        upstream, _, started = end.rpartition("/")
        try:
            contents = _decoder.decode(raw)
            started_ms = int(started)
        except (msgspec.DecodeError, ValueError) as exc:
            _log.warning("unreadable entry", extra={"entry": key, "reason": str(exc)})
            return
        now = self._clock()
        for content in contents:
            self._on_report(CrashReport(content, upstream, now, started_ms), router)
