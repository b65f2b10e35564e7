"""How a scheduler's attempts become crash reports: by breaks alone, or by ends."""

from __future__ import annotations

from shallotpoint.policy.exposures import ExposureBook
from shallotpoint.policy.poison import CrashReport, Incarnation, PoisonBook
from shallotpoint.policy.ticket import Course, Leg, Ticket
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds


class CrashWatch:
    """Takes each connection that breaks under a request for a crash.

    Attributes
    ----------
    reports : list of CrashReport
        Crashes seen here since the owner last cleared it.
    """

    def __init__(self, poison: PoisonBook):
        self.reports: list[CrashReport] = []
        self._poison = poison

    def sent(self, ticket: Ticket, leg: Leg) -> None:
        """Note an attempt as it is sent."""

    def lives(self, leg: Leg) -> None:
        """Take an upstream's answer as a sign that it lived when it was asked."""
        self._poison.alive(leg.incarnation, leg.sent_s)

    def answered(self, ticket: Ticket, leg: Leg) -> None:
        """Take a whole answer."""
        self._poison.answered(ticket.fingerprint, leg.incarnation, leg.sent_s)

    def failed(self, course: Course, leg: Leg, reason: Result, now: Seconds) -> None:
        """Take a failed attempt."""
        if reason is Result.RETRY_ERROR:
            self.lives(leg)
        fingerprint = course.ticket.fingerprint
        if fingerprint and reason in (Result.RETRY_BROKE, Result.RETRY_CARRY_ON):
            self._note(CrashReport(fingerprint, leg.upstream, now))
            course.suspect = True

    def ended(self, incarnation: Incarnation, now: Seconds) -> None:
        """Take a proof that an upstream is no longer there."""

    def closed(self, ticket: Ticket, leg: Leg, now: Seconds) -> None:
        """Note that an attempt is over, whatever came of it."""

    def _note(self, report: CrashReport) -> None:
        self._poison.crashed(report)
        self.reports.append(report)


class EndWatch(CrashWatch):
    """Counts a crash once the upstream has shown to have ended."""

    def __init__(self, poison: PoisonBook, exposures: ExposureBook):
        super().__init__(poison)
        self._exposures = exposures

    def sent(self, ticket: Ticket, leg: Leg) -> None:
        """Note an attempt as it is sent."""
        self._exposures.begin(ticket.id, ticket.fingerprint, leg)

    def lives(self, leg: Leg) -> None:
        """Take an upstream's answer as a sign that it lived when it was asked."""
        super().lives(leg)
        self._exposures.alive(leg.incarnation, leg.sent_s)

    def answered(self, ticket: Ticket, leg: Leg) -> None:
        """Take a whole answer."""
        super().answered(ticket, leg)
        self._exposures.forget(ticket.id, leg)

    def failed(self, course: Course, leg: Leg, reason: Result, now: Seconds) -> None:
        """Take a failed attempt."""
        if reason is Result.RETRY_ERROR:
            self.lives(leg)
        if reason is Result.RETRY_ERROR or reason in NOT_RUN:
            # A refusal is no sign of life: a successor at the address may give it.
            self._exposures.forget(course.ticket.id, leg)

    def ended(self, incarnation: Incarnation, now: Seconds) -> None:
        """Take a proof that an upstream is no longer there."""
        for report in self._exposures.ended(incarnation, now):
            self._note(report)

    def closed(self, ticket: Ticket, leg: Leg, now: Seconds) -> None:
        """Note that an attempt is over, whatever came of it."""
        report = self._exposures.close(ticket.id, leg, now)
        if report is not None:
            self._note(report)
