"""Paces of the upstreams of one pool in one router."""

from __future__ import annotations

import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from shallotpoint.pacing import pace as transitions
from shallotpoint.pacing.pace import MAX_FAILURES, Pace, PaceCause
from shallotpoint.policy.crash_reports import Incarnation
from shallotpoint.results import NOT_REACHED, Result
from shallotpoint.types import Seconds

# Failures after which the connection, and perhaps the process, is another one.
_LOST = NOT_REACHED | {Result.RETRY_BROKE, Result.UPSTREAM_BROKE}
_NONE_OR_CLOSED = (PaceCause.NONE, PaceCause.CLOSED)
# Upstreams that are no longer listed whose paces are remembered.
MAX_DEPARTED = 1_000
# Window after a failure, as a fraction of the first one.
FAILED_WINDOW = 0.5


@dataclass(frozen=True, slots=True)
class PaceChange:
    """A pace that began or ended, for the log."""

    upstream: str
    cause: PaceCause


class PaceTracker:
    """Keeps the pace of each upstream of a pool.

    Upstreams of the first list are at full pace: a router that starts beside a running
    fleet can't tell which of them are new, and their load is known from its peers.

    Parameters
    ----------
    routers : Callable
        Returns the number of routers that share the pace.
    rng : random.Random
        Source of the first credits.

    Attributes
    ----------
    changes : list of PaceChange
        Paces that began or ended since the owner last cleared the list.
    """

    def __init__(self, *, routers: Callable[[], int], rng: random.Random):
        self._routers = routers
        self._rng = rng
        self._paces: dict[str, Pace] = {}
        self._departed: dict[str, Pace] = {}
        self._unanswered: dict[str, set[str]] = {}
        self._paced: set[str] = set()
        self._slots: dict[str, int] = {}
        self.changes: list[PaceChange] = []

    @property
    def is_limiting(self) -> bool:
        """Whether any upstream is below full pace."""
        return bool(self._paced)

    @property
    def limited(self) -> list[str]:
        """Names of the upstreams below full pace."""
        return sorted(self._paced)

    @property
    def paces(self) -> Mapping[str, Pace]:
        """Pace of each upstream."""
        return self._paces

    @property
    def routers(self) -> int:
        """Number of routers that share the pace."""
        return max(1, self._routers())

    def count_by_cause(self) -> dict[PaceCause, int]:
        """Return the number of upstreams below full pace, by cause."""
        causes = [self._paces[name].cause for name in self._paced]
        return {
            cause: causes.count(cause)
            for cause in PaceCause
            if cause is not PaceCause.NONE
        }

    def count_unanswered(self, upstream: str) -> int:
        """Return this router's requests on an upstream without a first token."""
        return len(self._unanswered.get(upstream, ()))

    def set_upstreams(self, upstreams: Mapping[str, tuple[int, int]]) -> None:
        """Set the upstreams; those of the same incarnation keep their pace.

        This also holds for upstreams that were not listed for a time.

        Parameters
        ----------
        upstreams : mapping
            Start time of the process in milliseconds, 0 if unknown, and slots.
        """
        is_first = not self._paces
        self._slots = {name: slots for name, (_, slots) in upstreams.items()}
        for name, (started_ms, _) in upstreams.items():
            incarnation = Incarnation(name, started_ms)
            known = self._paces.get(name)
            departed = self._departed.pop(name, None)
            if known is None and departed and departed.incarnation == incarnation:
                self._set(name, departed)
            elif known is None:
                self._paces[name] = transitions.full_pace(incarnation)
                if not is_first:
                    cause = PaceCause.RESTARTED if departed else PaceCause.NEW
                    self._begin(name, cause)
            elif started_ms and known.incarnation != incarnation:
                had_time = known.incarnation.started_ms
                self._paces[name] = transitions.full_pace(incarnation)
                self._paced.discard(name)
                if had_time:
                    self._begin(name, PaceCause.RESTARTED)
        for name in self._paces.keys() - upstreams.keys():
            self._departed[name] = self._paces.pop(name)
            self._unanswered.pop(name, None)
            self._paced.discard(name)
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def update(self, upstream: str, peer_started: int, now: Seconds) -> None:
        """Bring the pace of an upstream up to date.

        Parameters
        ----------
        peer_started : int
            Requests of other routers there that have a first token.
        """
        if upstream in self._paced:
            pace = self._paces[upstream]
            self._set(
                upstream, transitions.updated(pace, peer_started, self.routers, now)
            )

    def on_sent(self, upstream: str, request_id: str) -> None:
        """Record that a request was sent."""
        self._unanswered.setdefault(upstream, set()).add(request_id)
        if upstream in self._paced:
            self._set(upstream, transitions.started(self._paces[upstream]))

    def on_answer(
        self,
        upstream: str,
        request_id: str,
        response_s: Seconds,
        expected_s: Seconds | None,
    ) -> None:
        """Record a first token.

        Parameters
        ----------
        expected_s : float or None
            Expected time, in seconds; None for the usual one of the other upstreams.
        """
        self._unanswered.get(upstream, set()).discard(request_id)
        pace = self._paces.get(upstream)
        if pace is None:
            return
        if expected_s is None:
            expected_s = self._usual_response_s(upstream) or response_s
        self._set(upstream, transitions.answered(pace, response_s, expected_s))

    def on_failure(self, upstream: str, request_id: str, reason: Result) -> None:
        """Record a failed attempt.

        A rejection by an upstream at full pace is no failure of it: it was full.
        One that closes it begins a pace of its own.
        """
        self._unanswered.get(upstream, set()).discard(request_id)
        pace = self._paces.get(upstream)
        if pace is None:
            return
        if reason is Result.RETRY_REFUSED and pace.cause in _NONE_OR_CLOSED:
            return
        was_full = pace.is_full
        pace = transitions.failed(pace)
        self._set(upstream, pace)
        if was_full and (reason in _LOST or pace.failures >= MAX_FAILURES):
            self._begin(upstream, PaceCause.FAILED, windows=FAILED_WINDOW)

    def on_end(self, upstream: str, request_id: str) -> None:
        """Record the end of an attempt, whatever its outcome."""
        self._unanswered.get(upstream, set()).discard(request_id)

    def on_closed(self, upstream: str) -> None:
        """Record that an upstream asked for a pause, after which it is paced."""
        pace = self._paces.get(upstream)
        if pace is not None and pace.cause in _NONE_OR_CLOSED:
            self._begin(upstream, PaceCause.CLOSED)

    def _begin(self, upstream: str, cause: PaceCause, *, windows: float = 1.0) -> None:
        self._set(
            upstream,
            transitions.begin(
                self._paces[upstream],
                cause,
                slots=self._slots.get(upstream, 1),
                credit=self._rng.random(),
                windows=windows,
                response_s=self._usual_response_s(upstream),
            ),
        )

    def _set(self, upstream: str, pace: Pace) -> None:
        self._paces[upstream] = pace
        if pace.is_full == (upstream not in self._paced):
            return
        if pace.is_full:
            self._paced.discard(upstream)
        else:
            self._paced.add(upstream)
        self.changes.append(PaceChange(upstream, pace.cause))

    def _usual_response_s(self, upstream: str) -> Seconds:
        """Return the median response time of the other upstreams at full pace."""
        times = sorted(
            pace.response_s
            for name, pace in self._paces.items()
            if name != upstream and pace.is_full and pace.response_s
        )
        return times[len(times) // 2] if times else 0.0
