"""Crash reports from attempts, by broken connections or by proven terminations."""

from __future__ import annotations

from shallotpoint.policy.exposures import ExposureBook
from shallotpoint.policy.poison import CrashReport, Incarnation, PoisonBook
from shallotpoint.policy.ticket import Course, Leg, Ticket
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds


class CrashWatch:
    """Counts each connection that breaks during a request as a crash.

    Attributes
    ----------
    reports : list of CrashReport
        Crashes seen by this router since the owner of the scheduler last cleared it.
    """

    def __init__(self, poison: PoisonBook):
        self.reports: list[CrashReport] = []
        self._poison = poison

    def sent(self, ticket: Ticket, leg: Leg) -> None:
        """Called after an attempt was sent."""

    def lives(self, leg: Leg) -> None:
        """Record that an upstream was alive when an attempt was sent to it."""
        self._poison.record_alive(leg.incarnation, leg.sent_s)

    def answered(self, ticket: Ticket, leg: Leg) -> None:
        """Called after an attempt was answered completely."""
        self._poison.record_answer(ticket.fingerprint, leg.incarnation, leg.sent_s)

    def failed(self, course: Course, leg: Leg, reason: Result, now: Seconds) -> None:
        """Called after an attempt failed."""
        if reason is Result.RETRY_ERROR:
            self.lives(leg)
        fingerprint = course.ticket.fingerprint
        if fingerprint and reason in (Result.RETRY_BROKE, Result.RETRY_CARRY_ON):
            self._report_crash(CrashReport(fingerprint, leg.upstream, now))
            course.suspect = True

    def ended(self, incarnation: Incarnation, now: Seconds) -> None:
        """Called when an upstream is proven to have terminated."""

    def closed(self, ticket: Ticket, leg: Leg, now: Seconds) -> None:
        """Called at the end of an attempt, whatever its outcome."""

    def _report_crash(self, report: CrashReport) -> None:
        self._poison.crashed(report)
        self.reports.append(report)


class EndWatch(CrashWatch):
    """Counts a crash once the upstream is known to have terminated."""

    def __init__(self, poison: PoisonBook, exposures: ExposureBook):
        super().__init__(poison)
        self._exposures = exposures

    def sent(self, ticket: Ticket, leg: Leg) -> None:
        """Called after an attempt was sent."""
        self._exposures.track(ticket.id, ticket.fingerprint, leg)

    def lives(self, leg: Leg) -> None:
        """Record that an upstream was alive when an attempt was sent to it."""
        super().lives(leg)
        self._exposures.record_alive(leg.incarnation, leg.sent_s)

    def answered(self, ticket: Ticket, leg: Leg) -> None:
        """Called after an attempt was answered completely."""
        super().answered(ticket, leg)
        self._exposures.untrack(ticket.id, leg)

    def failed(self, course: Course, leg: Leg, reason: Result, now: Seconds) -> None:
        """Called after an attempt failed."""
        if reason is Result.RETRY_ERROR:
            self.lives(leg)
        if reason is Result.RETRY_ERROR or reason in NOT_RUN:
            # A refusal does not prove that the upstream is alive, as a restarted one
            # at the same address may have sent it.
            self._exposures.untrack(course.ticket.id, leg)

    def ended(self, incarnation: Incarnation, now: Seconds) -> None:
        """Called when an upstream is proven to have terminated."""
        for report in self._exposures.ended(incarnation, now):
            self._report_crash(report)

    def closed(self, ticket: Ticket, leg: Leg, now: Seconds) -> None:
        """Called at the end of an attempt, whatever its outcome."""
        report = self._exposures.record_closed(ticket.id, leg, now)
        if report is not None:
            self._report_crash(report)
