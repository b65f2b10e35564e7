"""What routers know of requests that end upstreams, from all that shows an end.

An end shows itself to a router by a refused connection, by another upstream at the
address, or by the list of hosts, and to the others by a peer's row.  Reports are kept
in the key-value service too, as routers may all end at once.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Mapping, Sequence

from shallotpoint.controllers.crash_archive import CrashArchive
from shallotpoint.controllers.crash_news import CRASHES_TOPIC, CrashNews, read_crashes
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.coordination.kv import Entry, KeyValue
from shallotpoint.hashing import content_name
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.exposures import ExposureBook
from shallotpoint.policy.poison import CrashReport, Incarnation, PoisonBook
from shallotpoint.types import Clock, Seconds

TICK_S = 1.0

_log = logging.getLogger("shallotpoint.router")


class CrashController:
    """Joins the signs of ended upstreams and spreads what was on them.

    Parameters
    ----------
    kv : KeyValue
        Where reports are kept, under ``prefix``.
    on_news : Callable
        Called when peers should hear of an end.
    """

    def __init__(
        self,
        gossip: Board,
        poison: PoisonBook,
        exposures: ExposureBook,
        *,
        kv: KeyValue,
        prefix: str,
        clock: Clock,
        rng: random.Random,
        on_news: Callable[[], None],
    ):
        self._name = gossip.name
        self._news = CrashNews(gossip, is_kept=self._is_told_on)
        self._poison = poison
        self._exposures = exposures
        self._clock = clock
        self._on_news = on_news
        self._archive = CrashArchive(
            kv,
            prefix,
            gossip.name,
            clock=clock,
            rng=rng,
            poison=poison,
            on_report=self._hear,
        )

    async def run(self) -> None:
        """Count and keep what was on ended upstreams, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._archive.run())
            group.create_task(self._settle())

    async def _settle(self) -> None:
        """Count what time shows to have been on an ended upstream."""
        while True:
            await asyncio.sleep(TICK_S)
            self._count(self._exposures.settle(self._clock()))

    def host_ended(self, host: Host) -> None:
        """Take in that an upstream is no longer listed, or started anew."""
        self._ended(Incarnation(host.name, host.started_ms), "the list of hosts")

    def seen(self, report: CrashReport) -> None:
        """Spread a crash that a request of this router showed."""
        self._spread([report])

    def take_rows(self, rows: Sequence[Row]) -> None:
        """Take in crash reports of peers."""
        now = self._clock()
        for row in rows:
            if row.topic == CRASHES_TOPIC:
                for report in read_crashes(row.payload, now=now):
                    self._hear(report, row.origin)

    def take_entries(self, entries: Mapping[str, Entry]) -> None:
        """Take in what the key-value service keeps."""
        self._archive.take(entries)

    def _is_told_on(self, report: CrashReport) -> bool:
        """Return whether peers that have heard a report should hear it again."""
        repeated = self._poison.is_repeated(report.fingerprint)
        return repeated and self._poison.holds(report)

    def _hear(self, report: CrashReport, source: str) -> None:
        if not self._poison.crashed(report):
            return
        if self._poison.is_repeated(report.fingerprint):
            _log_crash(report, source, self._clock())
            self._archive.wake()
        self._ended(report.incarnation, source)

    def _ended(self, incarnation: Incarnation, evidence: str) -> None:
        """Count an end for all requests of this router that it leaves unanswered."""
        reports = self._exposures.ended(incarnation, self._clock())
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
        self._count(reports)

    def _count(self, reports: Sequence[CrashReport]) -> None:
        self._spread([r for r in reports if self._poison.crashed(r)])

    def _spread(self, reports: Sequence[CrashReport]) -> None:
        now = self._clock()
        for report in reports:
            _log_crash(report, self._name, now)
        if reports:
            self._news.add(reports, now=now)
            self._archive.add(reports, now)
            self._on_news()


def _log_crash(report: CrashReport, source: str, now: Seconds) -> None:
    _log.info(
        "crash counted",
        extra={
            "content": content_name(report.fingerprint),
            "upstream": report.upstream,
            "source": source,
            "age_s": round(now - report.at_s, 3),
        },
    )
