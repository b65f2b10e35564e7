"""Which requests were on an upstream as it ended.

A connection that breaks, or an attempt that nobody answers, shows a lost answer as
well as a crash.  What tells them apart may come seconds later, by another request or
from the list of hosts, or never; so each attempt is kept until its upstream has
shown that it lives on, or has ended.
"""

from __future__ import annotations

from collections.abc import Set
from dataclasses import dataclass

from shallotpoint.policy.poison import CrashReport, Incarnation
from shallotpoint.policy.ticket import Leg
from shallotpoint.types import Seconds

PAST_BEGIN_S = 1.0  # a request that ends its upstream does so as it begins
KEPT_S = 30.0  # an end may be learned of this late, as after an outage of the store
CONNECTED_S = 1.0  # by now an attempt has its connection, or has failed to get one
DOUBT_S = 2.0  # an attempt without a sign for this long may have met an end


@dataclass(slots=True)
class _Exposure:
    """One attempt; ``closed_s`` is when it ended without an answer."""

    fingerprint: int
    leg: Leg
    closed_s: Seconds | None = None

    def report(self, now: Seconds) -> CrashReport:
        """Return the report of an end under this attempt."""
        upstream, started_ms = self.leg.incarnation
        at_s = now if self.closed_s is None else self.closed_s
        return CrashReport(self.fingerprint, upstream, at_s, started_ms)

    @property
    def past_begin(self) -> bool:
        """Whether the upstream ran the request for a while without ending."""
        first_s, last_s = self.leg.first_s, self.leg.last_s
        if first_s is None or last_s is None:
            return False
        return last_s - first_s > PAST_BEGIN_S


class ExposureBook:
    """Attempts whose upstream may have ended under them.

    Examples
    --------
    >>> book = ExposureBook()
    >>> leg = Leg("u1", sent_s=0.0, started_ms=5)
    >>> book.begin("r1", 7, leg)
    >>> book.close("r1", leg, now=1.5)  # nothing is known of the upstream yet
    >>> [report.fingerprint for report in book.ended(Incarnation("u1", 5), now=3.6)]
    [7]
    """

    def __init__(self) -> None:
        self._by_end: dict[Incarnation, dict[tuple[str, Seconds], _Exposure]] = {}
        self._ended_s: dict[Incarnation, Seconds] = {}

    def begin(self, ticket_id: str, fingerprint: int, leg: Leg) -> None:
        """Note an attempt as it is sent."""
        if fingerprint:
            exposures = self._by_end.setdefault(leg.incarnation, {})
            exposures[ticket_id, leg.sent_s] = _Exposure(fingerprint, leg)

    def forget(self, ticket_id: str, leg: Leg) -> None:
        """Drop an attempt that was answered or that never reached its upstream."""
        exposures = self._by_end.get(leg.incarnation)
        if exposures is not None:
            exposures.pop((ticket_id, leg.sent_s), None)
            if not exposures:
                del self._by_end[leg.incarnation]

    def close(self, ticket_id: str, leg: Leg, now: Seconds) -> CrashReport | None:
        """Note that an attempt broke or was given up; nothing if it is not kept.

        Returns
        -------
        CrashReport or None
            If its upstream is known to have ended.
        """
        exposures = self._by_end.get(leg.incarnation, {})
        exposure = exposures.get((ticket_id, leg.sent_s))
        if exposure is None:
            return None
        exposure.closed_s = now
        if leg.incarnation not in self._ended_s:
            return None
        self.forget(ticket_id, leg)
        return None if exposure.past_begin else exposure.report(now)

    def alive(self, incarnation: Incarnation, sent_s: Seconds) -> None:
        """Take a sign of life, the answer to an attempt sent at some time.

        Attempts that had closed before that did not end their upstream.  Open ones
        stay, as the upstream may not have begun to run them.  It says nothing where
        a successor cannot be told from the one that ended.
        """
        exposures = self._by_end.get(incarnation)
        if exposures is None or not incarnation.started_ms:
            return
        for key, exposure in list(exposures.items()):
            if exposure.closed_s is not None and exposure.closed_s < sent_s:
                del exposures[key]
        if not exposures:
            del self._by_end[incarnation]

    def ended(self, incarnation: Incarnation, now: Seconds) -> list[CrashReport]:
        """Return a report for each request that an upstream's end leaves unanswered.

        An attempt that may still be connecting is reported once it closes, or by
        :meth:`settle`.
        """
        self._ended_s.setdefault(incarnation, now)
        exposures = self._by_end.get(incarnation, {})
        found = {}
        for key, exposure in list(exposures.items()):
            if exposure.closed_s is None and now - exposure.leg.sent_s < CONNECTED_S:
                continue
            del exposures[key]
            if not exposure.past_begin:
                found[exposure.fingerprint] = exposure.report(now)
        if not exposures:
            self._by_end.pop(incarnation, None)
        return list(found.values())

    def settle(self, now: Seconds) -> list[CrashReport]:
        """Return reports of attempts that have connected to what has ended since.

        Attempts and ends that are too old are dropped.
        """
        found = []
        for incarnation in self._ended_s.keys() & self._by_end.keys():
            found += self.ended(incarnation, now)
        oldest_s = now - KEPT_S
        self._ended_s = {n: s for n, s in self._ended_s.items() if s > oldest_s}
        for incarnation, exposures in list(self._by_end.items()):
            for key, exposure in list(exposures.items()):
                if exposure.closed_s is not None and exposure.closed_s < oldest_s:
                    del exposures[key]
            if not exposures:
                del self._by_end[incarnation]
        return found

    def unanswered(self, fingerprint: int, now: Seconds) -> Set[Incarnation]:
        """Return the upstreams that a request may have ended, by what is known."""
        return {
            incarnation
            for incarnation, exposures in self._by_end.items()
            for exposure in exposures.values()
            if exposure.fingerprint == fingerprint
            and exposure.leg.first_s is None
            and (exposure.closed_s is not None or now - exposure.leg.sent_s > DOUBT_S)
        }
