"""Tracking of the requests that were running on an upstream when it terminated.

A broken connection or a missing answer may mean a lost answer or a crash of the
upstream.  The evidence for one or the other may come seconds later, from another
request or from the list of hosts, or never.  Each attempt is therefore tracked until
its upstream is known to be alive after it, or to have terminated.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

from shallotpoint.policy.crash_reports import CrashReport, Incarnation
from shallotpoint.policy.ticket import Attempt
from shallotpoint.types import Seconds

RETENTION_S = 30.0  # a crash may become known late, as after an outage of the store
CONNECT_WINDOW_S = 1.0  # an attempt connects or fails to connect within this time
SUSPICIOUS_SILENCE_S = 2.0  # an upstream that is silent for longer may have crashed


@dataclass(slots=True)
class _TrackedAttempt:
    """One attempt; ``closed_s`` is the time at which it ended without an answer."""

    fingerprint: int
    attempt: Attempt
    parts: frozenset[str]
    closed_s: Seconds | None = None

    def crash_report(self, now: Seconds) -> CrashReport:
        """Return the report of a crash of the upstream during this attempt."""
        upstream, started_ms = self.attempt.incarnation
        at_s = now if self.closed_s is None else self.closed_s
        return CrashReport(self.fingerprint, upstream, at_s, started_ms, self.parts)


class AttemptTracker:
    """Attempts during which the upstream may have crashed.

    Examples
    --------
    >>> tracker = AttemptTracker()
    >>> attempt = Attempt("u1", sent_s=0.0, started_ms=5)
    >>> tracker.track("r1", 7, attempt)
    >>> tracker.record_closed("r1", attempt, now=1.5)  # no evidence of a crash yet
    >>> reports = tracker.record_termination(Incarnation("u1", 5), now=3.6)
    >>> [report.fingerprint for report in reports]
    [7]
    """

    def __init__(self) -> None:
        self._by_incarnation: dict[
            Incarnation, dict[tuple[str, Seconds], _TrackedAttempt]
        ] = {}
        self._terminated_s: dict[Incarnation, Seconds] = {}

    def track(
        self,
        ticket_id: str,
        fingerprint: int,
        attempt: Attempt,
        *,
        parts: frozenset[str] = frozenset(),
    ) -> None:
        """Start tracking an attempt when it is sent."""
        if fingerprint:
            attempts = self._by_incarnation.setdefault(attempt.incarnation, {})
            attempts[ticket_id, attempt.sent_s] = _TrackedAttempt(
                fingerprint, attempt, parts
            )

    def untrack(self, ticket_id: str, attempt: Attempt) -> None:
        """Stop tracking an attempt that was answered or never reached its upstream."""
        attempts = self._by_incarnation.get(attempt.incarnation)
        if attempts is not None:
            attempts.pop((ticket_id, attempt.sent_s), None)
            if not attempts:
                del self._by_incarnation[attempt.incarnation]

    def record_closed(
        self, ticket_id: str, attempt: Attempt, now: Seconds
    ) -> CrashReport | None:
        """Record that a tracked attempt failed or was cancelled.

        Returns
        -------
        CrashReport or None
            A report if the upstream is known to have terminated and may have crashed
            because of the request.
        """
        attempts = self._by_incarnation.get(attempt.incarnation, {})
        tracked = attempts.get((ticket_id, attempt.sent_s))
        if tracked is None:
            return None
        tracked.closed_s = now
        if attempt.incarnation not in self._terminated_s:
            return None
        self.untrack(ticket_id, attempt)
        return (
            None if tracked.attempt.outlasts_early_crash else tracked.crash_report(now)
        )

    def record_alive(self, incarnation: Incarnation, sent_s: Seconds) -> None:
        """Record that an upstream answered an attempt that was sent at ``sent_s``.

        Attempts that closed before that time did not crash the upstream and are
        dropped.  Open attempts stay, as the upstream may not have begun to run them.
        The answer proves nothing if incarnations are not distinguished, as a restarted
        upstream may have given it.
        """
        attempts = self._by_incarnation.get(incarnation)
        if attempts is None or not incarnation.started_ms:
            return
        for key, attempt in list(attempts.items()):
            if attempt.closed_s is not None and attempt.closed_s < sent_s:
                del attempts[key]
        if not attempts:
            del self._by_incarnation[incarnation]

    def record_termination(
        self, incarnation: Incarnation, now: Seconds
    ) -> list[CrashReport]:
        """Record that an upstream terminated; return a report per unanswered request.

        Attempts that ran for longer than ``EARLY_CRASH_S`` are not reported.  An
        attempt that may still be connecting is reported later, when it closes or by
        :meth:`collect_late_reports`.
        """
        self._terminated_s.setdefault(incarnation, now)
        attempts = self._by_incarnation.get(incarnation, {})
        found = {}
        for key, attempt in list(attempts.items()):
            if (
                attempt.closed_s is None
                and now - attempt.attempt.sent_s < CONNECT_WINDOW_S
            ):
                continue
            del attempts[key]
            if not attempt.attempt.outlasts_early_crash:
                found[attempt.fingerprint] = attempt.crash_report(now)
        if not attempts:
            self._by_incarnation.pop(incarnation, None)
        return list(found.values())

    def collect_late_reports(self, now: Seconds) -> list[CrashReport]:
        """Return reports of attempts that were still connecting at the termination.

        Closed attempts and terminations older than ``RETENTION_S`` are dropped.
        """
        found = []
        for incarnation in self._terminated_s.keys() & self._by_incarnation.keys():
            found += self.record_termination(incarnation, now)
        oldest_s = now - RETENTION_S
        self._terminated_s = {
            n: s for n, s in self._terminated_s.items() if s > oldest_s
        }
        for incarnation, attempts in list(self._by_incarnation.items()):
            for key, attempt in list(attempts.items()):
                if attempt.closed_s is not None and attempt.closed_s < oldest_s:
                    del attempts[key]
            if not attempts:
                del self._by_incarnation[incarnation]
        return found

    def possibly_crashed(self, fingerprint: int, now: Seconds) -> Set[Incarnation]:
        """Return the upstreams that have not answered a request and may have crashed.

        These are upstreams whose attempt closed without an answer or is silent for
        too long.
        """
        return {
            incarnation
            for incarnation, attempts in self._by_incarnation.items()
            for attempt in attempts.values()
            if attempt.fingerprint == fingerprint
            and attempt.attempt.first_token_at_s is None
            and (
                attempt.closed_s is not None
                or now - attempt.attempt.sent_s > SUSPICIOUS_SILENCE_S
            )
        }
