"""Requests that crash the upstreams which run them."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotpoint.types import Seconds

BLOCK_AFTER = 2  # distinct upstreams that one request crashed
EXPIRY_S = 600.0
CONFIRM_S = 1.5  # a crashed upstream is away for longer than this
SICK_AFTER = 3  # distinct requests after which an upstream is itself to blame


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One upstream crashed while it ran one request; shared among routers."""

    fingerprint: int
    upstream: str
    at_s: Seconds


class CrashSuspicions:
    """Tells a crash from an answer that was lost on a live upstream.

    A connection that breaks shows either; only a crashed upstream cannot be
    reached right afterwards.

    Examples
    --------
    >>> seen = CrashSuspicions()
    >>> seen.broke(7, "engine-1", now=0.0)
    >>> [report.fingerprint for report in seen.unreachable("engine-1", now=0.4)]
    [7]
    >>> seen.unreachable("engine-1", now=0.5)
    []
    """

    def __init__(self) -> None:
        self._breaks: list[CrashReport] = []

    def broke(self, fingerprint: int, upstream: str, now: Seconds) -> None:
        """Note that a connection broke under a request."""
        self._breaks = [b for b in self._breaks if now - b.at_s < CONFIRM_S]
        self._breaks.append(CrashReport(fingerprint, upstream, now))

    def unreachable(self, upstream: str, now: Seconds) -> list[CrashReport]:
        """Return the breaks that an unreachable upstream shows to be crashes."""
        crashes = [
            b
            for b in self._breaks
            if b.upstream == upstream and now - b.at_s < CONFIRM_S
        ]
        self._breaks = [b for b in self._breaks if b.upstream != upstream]
        return crashes


@dataclass(slots=True)
class _Record:
    upstreams: dict[str, Seconds] = field(default_factory=dict)


class PoisonBook:
    """Counts distinct crashes by request content and blocks repeat offenders.

    Crashes on an upstream that breaks under many different requests are not
    counted, as the upstream is then to blame.
    """

    def __init__(self, *, expiry_s: Seconds = EXPIRY_S):
        self._expiry_s = expiry_s
        self._records: dict[int, _Record] = {}
        self._by_upstream: dict[str, dict[int, Seconds]] = {}

    def crashed(self, report: CrashReport) -> bool:
        """Record a crash, seen here or heard from a peer; return whether it is new."""
        if not report.fingerprint:
            return False
        record = self._records.setdefault(report.fingerprint, _Record())
        is_new = report.upstream not in record.upstreams
        record.upstreams[report.upstream] = report.at_s
        victims = self._by_upstream.setdefault(report.upstream, {})
        victims[report.fingerprint] = report.at_s
        return is_new

    def suspected(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether the request was on an upstream as that crashed."""
        return self._count(fingerprint, now) > 0

    def blocked(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether the request may not run anywhere."""
        return self._count(fingerprint, now) >= BLOCK_AFTER

    def expire(self, now: Seconds) -> None:
        """Forget all that is older than the expiry time."""
        oldest_s = now - self._expiry_s
        for fingerprint in list(self._records):
            upstreams = self._records[fingerprint].upstreams
            _drop_older(upstreams, oldest_s)
            if not upstreams:
                del self._records[fingerprint]
        for upstream in list(self._by_upstream):
            victims = self._by_upstream[upstream]
            _drop_older(victims, oldest_s)
            if not victims:
                del self._by_upstream[upstream]

    def reports(self) -> list[CrashReport]:
        """Return all that is recorded, for peers."""
        return [
            CrashReport(fingerprint, upstream, at_s)
            for fingerprint, record in self._records.items()
            for upstream, at_s in record.upstreams.items()
        ]

    def _count(self, fingerprint: int, now: Seconds) -> int:
        record = self._records.get(fingerprint)
        if record is None:
            return 0
        oldest_s = now - self._expiry_s
        return sum(
            1
            for upstream, at_s in record.upstreams.items()
            if at_s > oldest_s and not self._sick(upstream, oldest_s)
        )

    def _sick(self, upstream: str, oldest_s: Seconds) -> bool:
        victims = self._by_upstream.get(upstream, {})
        recent = sum(1 for at_s in victims.values() if at_s > oldest_s)
        return recent > SICK_AFTER


def _drop_older(times: dict, oldest_s: Seconds) -> None:
    for key in [key for key, at_s in times.items() if at_s <= oldest_s]:
        del times[key]
