"""Collects and distributes reports of requests that crash upstreams.

A router detects the end of an upstream by a refused connection, by another upstream at
its address, or from the list of hosts; its peers learn of it from a gossip row.
Reports are also stored in the key-value service, as all routers may end at once.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping, Sequence

from shallotpoint.controllers.crash_archive import CrashArchive
from shallotpoint.controllers.crash_publisher import (
    CRASHES_TOPIC,
    CrashPublisher,
    read_crashes,
)
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.coordination.kv import Entry, KeyValue
from shallotpoint.hashing import content_name
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.crash_reports import CrashReport, Incarnation
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.prompts import logged_ids
from shallotpoint.types import Clock, Seconds

CONNECTING_REPORT_INTERVAL_S = 1.0

_log = logging.getLogger("shallotpoint.router")


class CrashController:
    """Records which requests ran on upstreams that terminated, and informs peers.

    Parameters
    ----------
    poison : PoisonTracker
        Crash records of all requests.
    attempts : AttemptTracker
        The unanswered attempts of this router's requests.
    kv : KeyValue
        Stores the reports, under ``prefix``.
    notify_peers : Callable
        Called when there are new reports that peers should learn of soon.
    """

    def __init__(
        self,
        gossip: Board,
        poison: PoisonTracker,
        attempts: AttemptTracker,
        *,
        kv: KeyValue,
        prefix: str,
        clock: Clock,
        rng: random.Random,
        notify_peers: Callable[[], None],
    ):
        self._name = gossip.name
        self._publisher = CrashPublisher(gossip, stays_published=self._stays_published)
        self._poison = poison
        self._attempts = attempts
        self._clock = clock
        self._notify_peers = notify_peers
        self._archive = CrashArchive(
            kv,
            prefix,
            gossip.name,
            clock=clock,
            rng=rng,
            poison=poison,
            on_report=self._record_report,
        )

    async def run(self) -> None:
        """Record and store crash reports, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._archive.run())
            group.create_task(self._report_connecting_attempts())

    async def _report_connecting_attempts(self) -> None:
        """Report attempts that reached an upstream which has ended since.

        When an upstream ends, a very recent attempt may still be connecting; it is
        reported once it must have connected.
        """
        while True:
            await asyncio.sleep(CONNECTING_REPORT_INTERVAL_S)
            self._record_own(self._attempts.collect_late_reports(self._clock()))

    def record_host_termination(self, host: Host) -> None:
        """Record that an upstream which was unlisted or restarted has terminated."""
        self._record_termination(
            Incarnation(host.name, host.started_ms), "the list of hosts"
        )

    def report_crash(self, report: CrashReport) -> None:
        """Distribute a crash that a request of this router revealed."""
        self._distribute([report])

    def merge_rows(self, rows: Sequence[Row]) -> None:
        """Record the crash reports in gossip rows of peers."""
        now = self._clock()
        for row in rows:
            if row.topic == CRASHES_TOPIC:
                for report in read_crashes(row.payload, now=now):
                    self._record_report(report, row.origin)

    def update_entries(self, entries: Mapping[str, Entry]) -> None:
        """Record the crash reports in entries of the key-value service."""
        self._archive.update_entries(entries)

    def _stays_published(self, report: CrashReport) -> bool:
        """Return whether a report stays in this router's row after reaching peers.

        That holds for current reports of requests that were on several ended
        upstreams.
        """
        repeated = self._poison.has_several_crashes(report.fingerprint)
        return repeated and self._poison.has_crash(report)

    def _record_report(self, report: CrashReport, source: str) -> None:
        """Record a report from a peer or the archive, and the end that it shows."""
        if not self._poison.record_crash(report):
            return
        if self._poison.has_several_crashes(report.fingerprint):
            _log_crash(report, source, self._clock())
            self._archive.request_write()
        self._record_termination(report.incarnation, source)

    def _record_termination(self, incarnation: Incarnation, evidence: str) -> None:
        """Record a termination for each request that it left unanswered here."""
        reports = self._attempts.record_termination(incarnation, self._clock())
        if not reports:
            return
        _log.info(
            "upstream ended under requests",
            extra={
                "upstream": incarnation.upstream,
                "started_ms": incarnation.started_ms,
                "requests": len(reports),
                "evidence": evidence,
            },
        )
        self._record_own(reports)

    def _record_own(self, reports: Sequence[CrashReport]) -> None:
        """Record crashes that this router detected, and distribute the new ones."""
        self._distribute([r for r in reports if self._poison.record_crash(r)])

    def _distribute(self, reports: Sequence[CrashReport]) -> None:
        now = self._clock()
        for report in reports:
            _log_crash(report, self._name, now)
        if reports:
            self._publisher.add(reports, now=now)
            self._archive.add(reports, now)
            self._notify_peers()


def _log_crash(report: CrashReport, source: str, now: Seconds) -> None:
    _log.info(
        "crash counted",
        extra={
            "content": content_name(report.fingerprint),
            "upstream": report.upstream,
            "parts": logged_ids(report.parts),
            "source": source,
            "age_s": round(now - report.at_s, 3),
        },
    )
