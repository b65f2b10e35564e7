"""Crash reports from attempts, by broken connections or by proven terminations."""

from __future__ import annotations

from shallotpoint.policy.crash_reports import CrashReport, Incarnation
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.ticket import AdmittedRequest, Attempt, Ticket
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds


class CrashDetector:
    """Counts each connection that breaks during a request as a crash.

    Attributes
    ----------
    reports : list of CrashReport
        Crashes seen by this router since the owner of the scheduler last cleared it.
    """

    def __init__(self, poison: PoisonTracker):
        self.reports: list[CrashReport] = []
        self._poison = poison

    def on_sent(self, ticket: Ticket, attempt: Attempt) -> None:
        """Called after an attempt was sent."""

    def record_alive(self, attempt: Attempt) -> None:
        """Record that an upstream was alive when an attempt was sent to it."""
        self._poison.record_alive(attempt.incarnation, attempt.sent_s)

    def on_progress(self, ticket: Ticket, attempt: Attempt) -> None:
        """Called after a token of an attempt arrived."""
        if not attempt.cleared_parts and attempt.outlasts_early_crash:
            self._clear_parts(ticket, attempt)

    def on_complete(self, ticket: Ticket, attempt: Attempt) -> None:
        """Called after an attempt was answered completely."""
        self._poison.record_answer(
            ticket.fingerprint, attempt.incarnation, attempt.sent_s
        )
        if attempt.tokens:
            self._clear_parts(ticket, attempt)

    def on_failure(
        self, request: AdmittedRequest, attempt: Attempt, reason: Result, now: Seconds
    ) -> None:
        """Called after an attempt failed."""
        if reason is Result.RETRY_ERROR:
            self.record_alive(attempt)
        fingerprint = request.ticket.fingerprint
        if fingerprint and reason in (Result.RETRY_BROKE, Result.RETRY_CARRY_ON):
            self._report_crash(CrashReport(fingerprint, attempt.upstream, now))
            request.is_suspect = True

    def on_termination(self, incarnation: Incarnation, now: Seconds) -> None:
        """Called when an upstream is proven to have terminated."""

    def on_end(self, ticket: Ticket, attempt: Attempt, now: Seconds) -> None:
        """Called at the end of an attempt, whatever its outcome."""

    def _clear_parts(self, ticket: Ticket, attempt: Attempt) -> None:
        """Clear a request's prompt parts, as its upstream did not crash."""
        attempt.cleared_parts = True
        if ticket.parts and attempt.first_token_at_s is not None:
            self._poison.parts.record_answer(ticket.parts, attempt.first_token_at_s)

    def _report_crash(self, report: CrashReport) -> None:
        self._poison.record_crash(report)
        self.reports.append(report)


class TerminationCrashDetector(CrashDetector):
    """Counts a crash once the upstream is known to have terminated."""

    def __init__(self, poison: PoisonTracker, exposures: AttemptTracker):
        super().__init__(poison)
        self._exposures = exposures

    def on_sent(self, ticket: Ticket, attempt: Attempt) -> None:
        """Called after an attempt was sent."""
        self._exposures.track(
            ticket.id, ticket.fingerprint, attempt, parts=ticket.parts
        )

    def record_alive(self, attempt: Attempt) -> None:
        """Record that an upstream was alive when an attempt was sent to it."""
        super().record_alive(attempt)
        self._exposures.record_alive(attempt.incarnation, attempt.sent_s)

    def on_complete(self, ticket: Ticket, attempt: Attempt) -> None:
        """Called after an attempt was answered completely."""
        super().on_complete(ticket, attempt)
        self._exposures.untrack(ticket.id, attempt)

    def on_failure(
        self, request: AdmittedRequest, attempt: Attempt, reason: Result, now: Seconds
    ) -> None:
        """Called after an attempt failed."""
        if reason is Result.RETRY_ERROR:
            self.record_alive(attempt)
        if reason is Result.RETRY_ERROR or reason in NOT_RUN:
            # A refusal does not prove that the upstream is alive, as a restarted one
            # at the same address may have sent it.
            self._exposures.untrack(request.ticket.id, attempt)

    def on_termination(self, incarnation: Incarnation, now: Seconds) -> None:
        """Called when an upstream is proven to have terminated."""
        for report in self._exposures.record_termination(incarnation, now):
            self._report_crash(report)

    def on_end(self, ticket: Ticket, attempt: Attempt, now: Seconds) -> None:
        """Called at the end of an attempt, whatever its outcome."""
        report = self._exposures.record_closed(ticket.id, attempt, now)
        if report is not None:
            self._report_crash(report)
