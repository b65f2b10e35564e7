"""Detection of poison requests, which crash the upstreams that run them.

A caller may repeat such a request at any router.  It has to be blocked after a few
crashes, without blocking other requests that ran on the crashed upstreams.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass, field

from shallotpoint.policy.crash_reports import EXPIRY_S, CrashReport, Incarnation
from shallotpoint.policy.part_blame import PartTracker
from shallotpoint.types import Seconds

BLOCK_THRESHOLD = 2  # distinct upstream incarnations that one request crashed
EXPIRY_INTERVAL_S = 1.0  # scanning all records is slow in a large fleet
# With more requests running at one crash, the upstream itself is to blame.
MAX_REQUESTS_PER_CRASH = 3


@dataclass(slots=True)
class _RequestRecord:
    """Crashes during one request, and when the request was last received.

    Attributes
    ----------
    crash_times_s : dict
        Time of the earliest report by crashed incarnation, in seconds.
    last_seen_s : float
        Time of the latest request or crash, in seconds.
    """

    crash_times_s: dict[Incarnation, Seconds] = field(default_factory=dict)
    last_seen_s: Seconds = -math.inf


class PoisonTracker:
    """Counts upstream crashes by the requests that were running.

    A crash is attributed to the request that was present at most crashes, so that
    requests which were on the upstream by chance are not blocked.

    Parameters
    ----------
    block_after : int
        Number of crashes after which a request may not run anywhere.
    max_requests_per_crash : int, optional
        Largest number of requests that one crash may involve; with more, the upstream
        is to blame.  Used where the reports are of broken connections, which do not
        prove a crash.
    expiry_s : float
        Time for which a request is remembered after it was last received, in seconds.
    parts : PartTracker, optional
        Gets the same reports, to find prompt parts that crash upstreams.

    Examples
    --------
    >>> tracker = PoisonTracker(block_after=2)
    >>> for upstream in ("u1", "u2"):
    ...     for content in (7, 8) if upstream == "u1" else (7,):
    ...         _ = tracker.record_crash(CrashReport(content, upstream, at_s=1.0))
    >>> tracker.is_blocked(7, now=2.0), tracker.is_blocked(8, now=2.0)
    (True, False)
    >>> tracker.count_crashes(8, now=2.0)
    0
    """

    def __init__(
        self,
        *,
        block_after: int = BLOCK_THRESHOLD,
        max_requests_per_crash: int | None = None,
        expiry_s: Seconds = EXPIRY_S,
        parts: PartTracker | None = None,
    ):
        self.block_after = block_after
        self.parts = parts or PartTracker()
        self._max_requests_per_crash = max_requests_per_crash
        self._expiry_s = expiry_s
        self._records: dict[int, _RequestRecord] = {}
        self._requests_at_crash: dict[Incarnation, set[int]] = {}
        self._last_alive_s: dict[Incarnation, Seconds] = {}
        self._last_cleared_s: dict[int, Seconds] = {}
        self._last_expiry_s: Seconds = -math.inf

    def record_crash(self, report: CrashReport) -> bool:
        """Record a crash seen here or reported by a peer; return whether it is new."""
        fingerprint, incarnation = report.fingerprint, report.incarnation
        if not fingerprint or report.at_s < self._last_alive_s.get(
            incarnation, -math.inf
        ):
            return False
        if report.at_s < self._last_cleared_s.get(fingerprint, -math.inf):
            return False
        self.parts.record_crash(report)
        record = self._records.setdefault(fingerprint, _RequestRecord())
        is_new = incarnation not in record.crash_times_s
        record.crash_times_s[incarnation] = min(
            report.at_s, record.crash_times_s.get(incarnation, math.inf)
        )
        record.last_seen_s = max(record.last_seen_s, report.at_s)
        self._requests_at_crash.setdefault(incarnation, set()).add(fingerprint)
        return is_new

    def record_answer(
        self, fingerprint: int, incarnation: Incarnation, sent_s: Seconds
    ) -> None:
        """Record a complete answer, which clears the upstream and the request.

        Parameters
        ----------
        sent_s : float
            Time at which the attempt was sent, in seconds; crashes that were recorded
            at a later time stay.
        """
        self.record_alive(incarnation, sent_s)
        record = self._records.get(fingerprint)
        if record is None:
            return
        self._last_cleared_s[fingerprint] = sent_s
        for crash in [
            crash for crash, at_s in record.crash_times_s.items() if at_s < sent_s
        ]:
            self._drop_crash(fingerprint, crash)

    def record_alive(self, incarnation: Incarnation, sent_s: Seconds) -> None:
        """Record that an upstream answered an attempt that was sent at ``sent_s``.

        Earlier reports of its crash were wrong and are dropped.  The answer proves
        nothing if incarnations are not distinguished, as a restarted upstream may have
        given it.
        """
        if not incarnation.started_ms:
            return
        self.parts.record_alive(incarnation, sent_s)
        self._last_alive_s[incarnation] = max(
            sent_s, self._last_alive_s.get(incarnation, -math.inf)
        )
        for fingerprint in list(self._requests_at_crash.get(incarnation, ())):
            if self._records[fingerprint].crash_times_s[incarnation] < sent_s:
                self._drop_crash(fingerprint, incarnation)

    def record_arrival(self, fingerprint: int, now: Seconds) -> None:
        """Record that a request was received, which prolongs its record."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.last_seen_s = now

    def is_suspected(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether a crash is attributed to a request."""
        return self.count_crashes(fingerprint, now) > 0

    def is_blocked(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether a request may not run anywhere."""
        return self.count_crashes(fingerprint, now) >= self.block_threshold(fingerprint)

    def block_threshold(self, fingerprint: int) -> int:
        """Return the number of crashes after which a request is blocked.

        One more crash is needed while another request was running at all the same
        crashes, as one of the two may be harmless.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return self.block_after
        at_all_crashes = set.intersection(
            *(self._requests_at_crash[crash] for crash in record.crash_times_s)
        )
        return self.block_after + (len(at_all_crashes) > 1)

    def crashed_incarnations(self, fingerprint: int) -> Set[Incarnation]:
        """Return the incarnations that crashed while a request was running."""
        record = self._records.get(fingerprint)
        return record.crash_times_s.keys() if record is not None else frozenset()

    def count_crashes(self, fingerprint: int, now: Seconds) -> int:
        """Return the number of crashes that are attributed to a request."""
        record = self._records.get(fingerprint)
        if record is None or record.last_seen_s <= now - self._expiry_s:
            return 0
        total = len(record.crash_times_s)
        return sum(
            1 for crash in record.crash_times_s if self._is_main_suspect(crash, total)
        )

    def has_several_crashes(self, fingerprint: int) -> bool:
        """Return whether more than one upstream crashed while a request was running."""
        return len(self.crashed_incarnations(fingerprint)) > 1

    def has_crash(self, report: CrashReport) -> bool:
        """Return whether the crash of a report is still recorded."""
        return report.incarnation in self.crashed_incarnations(report.fingerprint)

    def expire(self, now: Seconds) -> None:
        """Drop records older than the expiry time; scans once a second at most."""
        if now - self._last_expiry_s < EXPIRY_INTERVAL_S:
            return
        self._last_expiry_s = now
        self.parts.expire(now)
        oldest_s = now - self._expiry_s
        for fingerprint, record in list(self._records.items()):
            if record.last_seen_s <= oldest_s:
                for crash in list(record.crash_times_s):
                    self._drop_crash(fingerprint, crash)
        _drop_older(self._last_alive_s, oldest_s)
        _drop_older(self._last_cleared_s, oldest_s)

    def _is_main_suspect(self, incarnation: Incarnation, total: int) -> bool:
        """Return whether all requests at a crash were at ``total`` crashes at most.

        False too if so many requests were running that the upstream is to blame.
        """
        present = self._requests_at_crash[incarnation]
        if (
            self._max_requests_per_crash is not None
            and len(present) > self._max_requests_per_crash
        ):
            return False
        return all(
            len(self._records[other].crash_times_s) <= total for other in present
        )

    def _drop_crash(self, fingerprint: int, incarnation: Incarnation) -> None:
        record = self._records[fingerprint]
        del record.crash_times_s[incarnation]
        if not record.crash_times_s:
            del self._records[fingerprint]
        present = self._requests_at_crash[incarnation]
        present.discard(fingerprint)
        if not present:
            del self._requests_at_crash[incarnation]


def _drop_older(times: dict, oldest_s: Seconds) -> None:
    for key in [key for key, at_s in times.items() if at_s <= oldest_s]:
        del times[key]
