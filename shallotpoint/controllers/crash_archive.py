"""Crash reports in the key-value service, so that they outlive the routers.

For the end of an upstream, each router writes at most one entry.  It lists those of the
router's unanswered requests on that upstream that were also on another upstream as it
ended.  Most ends have no entry, as no request on them is at fault.  Entries are removed
when their lease expires.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple

import msgspec

from shallotpoint.coordination.entries import skipping_unreadable
from shallotpoint.coordination.kv import Entry, KeyValue, KeyValueError, Put
from shallotpoint.policy.crash_reports import (
    EXPIRY_S,
    CrashReport,
    Incarnation,
    read_incarnation,
)
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Seconds

CHECK_INTERVAL_S = 0.5
MIN_WRITE_PAUSE_S = (
    0.5  # minimum pause between writes, to batch ends that are close together
)
# After a write that failed or whose entry has not been read back yet.
WRITE_RETRY_S = 2.0
LEASE_TTL_S = EXPIRY_S
LEASE_REUSE_S = 60.0  # writes share one lease for this time, much less than its TTL
# Half of the entries that one write to the store of the route router may hold.
MAX_ENTRIES_PER_WRITE = 16

_decoder = msgspec.json.Decoder(list[int])
_log = logging.getLogger("shallotpoint.router")


class _StoredEntry(NamedTuple):
    """An entry as last read, and the fingerprints of the requests that it lists."""

    raw: bytes
    fingerprints: frozenset[int]


class CrashArchive:
    """Stores this router's crash reports and reads those of all routers.

    Parameters
    ----------
    prefix : str
        Key prefix of the entries.
    name : str
        Name of this router.
    poison : PoisonTracker
        Knows which reports are still current, and which requests were on several
        upstreams that ended.
    on_report : Callable
        Called with each report that is read, and the name of the router that wrote it.
    """

    def __init__(
        self,
        kv: KeyValue,
        prefix: str,
        name: str,
        *,
        clock: Clock,
        rng: random.Random,
        poison: PoisonTracker,
        on_report: Callable[[CrashReport, str], None],
    ):
        self._kv = kv
        self._prefix = prefix
        self._name = name
        self._clock = clock
        self._rng = rng
        self._poison = poison
        self._on_report = on_report
        self._lease = 0
        self._lease_granted_s: Seconds = -math.inf
        self._write_requested = asyncio.Event()
        self._own_reports: dict[Incarnation, list[CrashReport]] = {}
        self._write_due_s: dict[Incarnation, Seconds] = {}
        self._stored_entries: dict[str, _StoredEntry] = {}

    def add(self, reports: Sequence[CrashReport], now: Seconds) -> None:
        """Add reports of this router that may have to be written."""
        for report in reports:
            self._own_reports.setdefault(report.incarnation, []).append(report)
            self._write_due_s.setdefault(report.incarnation, now)
        if any(self._poison.has_several_crashes(r.fingerprint) for r in reports):
            self.request_write()

    def request_write(self) -> None:
        """Request a write without delay, as this router may end at any moment."""
        self._write_requested.set()

    def update_entries(self, entries: Mapping[str, Entry]) -> None:
        """Update the known entries from a copy of the key-value service's entries.

        Entries outside the prefix of crash reports are ignored.
        """
        previous, self._stored_entries = self._stored_entries, {}
        for key, entry in entries.items():
            if not key.startswith(self._prefix):
                continue
            known = previous.get(key)
            if known is None or known.raw != entry.value:
                known = _StoredEntry(entry.value, self._read_entry(key, entry.value))
            self._stored_entries[key] = known

    async def run(self) -> None:
        """Write entries that are due, until cancelled."""
        while True:
            await wait_set(
                self._write_requested, CHECK_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            )
            self._write_requested.clear()
            due = self._due_entries(self._clock())
            if due:
                await self._write(due)
                await asyncio.sleep(MIN_WRITE_PAUSE_S)

    def _due_entries(self, now: Seconds) -> dict[Incarnation, list[int]]:
        """Return the entries to be written now, and drop reports that have expired.

        Returns
        -------
        dict
            Sorted fingerprints of requests by the incarnation that ended.
        """
        due: dict[Incarnation, list[int]] = {}
        for incarnation, reports in list(self._own_reports.items()):
            if now < self._write_due_s[incarnation]:
                continue
            current = [r for r in reports if self._poison.has_crash(r)]
            if not current:
                del self._own_reports[incarnation], self._write_due_s[incarnation]
                continue
            self._own_reports[incarnation] = current
            fingerprints = {r.fingerprint for r in current}
            repeated = {f for f in fingerprints if self._poison.has_several_crashes(f)}
            entry = self._stored_entries.get(self._key(incarnation))
            if not repeated <= (entry.fingerprints if entry else frozenset()):
                due[incarnation] = sorted(repeated)
            if len(due) >= MAX_ENTRIES_PER_WRITE:
                break
        return due

    async def _write(self, due: Mapping[Incarnation, list[int]]) -> None:
        """Write entries in one transaction; failures are retried when due again."""
        for incarnation in due:
            self._write_due_s[incarnation] = (
                self._clock() + WRITE_RETRY_S * self._rng.uniform(1.0, 2.0)
            )
        try:
            lease = await self._current_lease()
            # The write is idempotent, so a lost response need not be checked.
            await self._kv.txn(
                [],
                [
                    Put(
                        self._key(incarnation),
                        msgspec.json.encode(fingerprints),
                        lease,
                    )
                    for incarnation, fingerprints in due.items()
                ],
            )
        except KeyValueError as exc:
            self._lease = 0
            _log.info("crashes not stored", extra={"reason": str(exc)})

    async def _current_lease(self) -> int:
        """Return a lease for new entries, granted recently or just now."""
        now = self._clock()
        if not self._lease or now - self._lease_granted_s > LEASE_REUSE_S:
            self._lease = await self._kv.grant(LEASE_TTL_S)
            self._lease_granted_s = now
        return self._lease

    def _key(self, incarnation: Incarnation) -> str:
        """Return the key of this router's entry for the end of an upstream."""
        return (
            f"{self._prefix}{incarnation.upstream}/{incarnation.started_ms}/"
            f"{self._name}"
        )

    def _read_entry(self, key: str, raw: bytes) -> frozenset[int]:
        """Report each crash in an entry; return the fingerprints that it lists.

        An entry that cannot be read is logged and counts as empty.
        """
        with skipping_unreadable(key):
            name, _, router = key.removeprefix(self._prefix).rpartition("/")
            upstream, started_ms = read_incarnation(name)
            fingerprints = _decoder.decode(raw)
            now = self._clock()
            for fingerprint in fingerprints:
                report = CrashReport(fingerprint, upstream, now, started_ms)
                self._on_report(report, router)
            return frozenset(fingerprints)
        return frozenset()
