"""Pace of one upstream: pure transitions of frozen values."""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import StrEnum

from shallotpoint.policy.crash_reports import Incarnation
from shallotpoint.types import Seconds

# Unanswered requests of all routers at first, as a fraction of the upstream's slots.
FIRST_WINDOW_SHARE = 0.125
MIN_FIRST_WINDOW = 2.0
# Smallest window after failures: still one request per second with quick failures.
MIN_WINDOW = 0.25
# Answers that end the pace, as a fraction of the slots.  Less is a sample too small
# for a server that slows down under load; more takes longer than two load reports.
FULL_PACE_SHARE = 0.25
MIN_ANSWERS = 4.0
# Time in which a window may be started, in response times: the answers arrive meanwhile
# although some take longer.
ROUND_RESPONSES = 2.0
# Bounds of that time.  Without any response time the lower one would let 40 routers of
# few requests each flood an engine before their first load reports.
MIN_ROUND_S = 0.1
MAX_ROUND_S = 2.0
DEFAULT_RESPONSE_S = 0.15
# Load reports are up to this old, so that they still count what ended before a restart.
REPORT_AGE_S = 1.0
# An answer is slow beyond this multiple of the expected time and of the upstream's own
# lowest one.  Expected times are for a fast engine; engines of half its speed pass.
SLOW_RATIO = 3.0
OWN_SLOW_RATIO = 1.5
# Answers after which the upstream's own lowest time counts as its baseline.
MIN_BASELINE_ANSWERS = 3
RESPONSE_NOISE_S = 0.1  # shorter expected times count as this
# Failures in a row after which an upstream at full pace is paced again.  A single one
# may be the fault of the request.
MAX_FAILURES = 3
_EWMA_GAIN = 0.3  # weight of the newest response time


class PaceCause(StrEnum):
    """Why an upstream is paced; ``NONE`` if it is at full pace."""

    NONE = "none"
    NEW = "new"
    RESTARTED = "restarted"
    FAILED = "failed"
    CLOSED = "closed"


# Causes after which load reports may count requests that ended with the upstream.
_ENDED_BEFORE = (PaceCause.RESTARTED, PaceCause.FAILED)


@dataclass(frozen=True, slots=True)
class Pace:
    """Pace of one incarnation of an upstream, as one router sees it.

    Attributes
    ----------
    incarnation : Incarnation
        Process of the upstream that the pace belongs to.
    cause : PaceCause
        Why it is paced.
    slots : int
        Requests that the upstream runs concurrently.
    first_window, window : float
        Unanswered requests of all routers that the upstream may have before any
        answer, at first and after the failures so far.
    own_window : float
        Growth of this router's share from its own answers.
    credit : float
        Starts that this router has left, as of ``credit_at_s``.
    credit_at_s : float or None
        Time of the latest update, in seconds; None before the first one.
    paced_at_s : float or None
        Time from which it is paced, in seconds; None before the first update.
    response_s : float
        Moving average of the times to first token, in seconds; 0 without any.
    lowest_ratio : float
        Lowest ratio of measured to expected time to first token; 0 without any.
    answers : int
        Answers of this incarnation to this router.
    failures : int
        Failures and slow answers since the latest good answer.
    peer_started : int
        Requests of other routers with a first token, as last reported.
    peer_answers : int
        Sum of the increases of that number since the latest failure seen here.
    """

    incarnation: Incarnation
    cause: PaceCause = PaceCause.NONE
    slots: int = 1
    first_window: float = MIN_FIRST_WINDOW
    window: float = MIN_FIRST_WINDOW
    own_window: float = 0.0
    credit: float = 0.0
    credit_at_s: Seconds | None = None
    paced_at_s: Seconds | None = None
    response_s: Seconds = 0.0
    lowest_ratio: float = 0.0
    answers: int = 0
    failures: int = 0
    peer_started: int = 0
    peer_answers: int = 0

    @property
    def is_full(self) -> bool:
        """Whether the upstream is at full pace, so that nothing is limited."""
        return self.cause is PaceCause.NONE

    @property
    def round_s(self) -> Seconds:
        """Time in which a window may be started, in seconds."""
        response_s = self.response_s or DEFAULT_RESPONSE_S
        return min(MAX_ROUND_S, max(MIN_ROUND_S, ROUND_RESPONSES * response_s))

    @property
    def answers_elsewhere(self) -> float:
        """Answers of other routers, less where this one saw failures."""
        return self.peer_answers * self.window / self.first_window

    @property
    def concurrent(self) -> float:
        """Unanswered requests that all routers may have there."""
        return max(1.0, self.window + self.answers_elsewhere + self.own_window)

    def share(self, routers: int) -> float:
        """Return how many of them are this router's share; may be below 1."""
        common = self.window + self.answers_elsewhere
        return common / max(1, routers) + self.own_window

    def starts_per_s(self, routers: int) -> float:
        """Return how many requests per second this router may start there."""
        return self.share(routers) / self.round_s


def full_pace(incarnation: Incarnation) -> Pace:
    """Return the pace of an upstream that is not limited."""
    return Pace(incarnation)


def begin(
    pace: Pace,
    cause: PaceCause,
    *,
    slots: int,
    credit: float,
    windows: float = 1.0,
    response_s: Seconds = 0.0,
) -> Pace:
    """Return the low pace of an upstream that is new or recovers.

    Parameters
    ----------
    credit : float
        Starts at first, a random number from 0 to 1.  It spreads the first starts of
        many routers over the time in which their shares add up to them.
    windows : float
        First window in use, as a fraction.
    response_s : float
        Usual response time of other upstreams, in seconds; 0 if unknown.
    """
    first_window = max(MIN_FIRST_WINDOW, FIRST_WINDOW_SHARE * slots)
    return Pace(
        pace.incarnation,
        cause,
        slots=slots,
        first_window=first_window,
        window=max(MIN_WINDOW, first_window * windows),
        credit=credit,
        response_s=response_s,
    )


def updated(pace: Pace, peer_started: int, routers: int, now: Seconds) -> Pace:
    """Return the pace with the credit and the answers known at a time."""
    if pace.is_full:
        return pace
    paced_at_s = now if pace.paced_at_s is None else pace.paced_at_s
    increase = max(0, peer_started - pace.peer_started)
    if pace.cause in _ENDED_BEFORE and now - paced_at_s < REPORT_AGE_S:
        increase = 0
    pace = replace(
        pace,
        paced_at_s=paced_at_s,
        peer_started=peer_started,
        peer_answers=pace.peer_answers + increase,
    )
    if _has_proved(pace):
        return ended(pace)
    earlier_s = now if pace.credit_at_s is None else pace.credit_at_s
    share = pace.share(routers)
    earned = max(0.0, now - earlier_s) * share / pace.round_s
    return replace(
        pace,
        credit=min(max(1.0, share), pace.credit + earned),
        credit_at_s=now,
    )


def ended(pace: Pace) -> Pace:
    """Return the full pace that follows, with the baseline of the incarnation."""
    return replace(
        full_pace(pace.incarnation),
        response_s=pace.response_s,
        lowest_ratio=pace.lowest_ratio,
        answers=pace.answers,
    )


def may_start(
    pace: Pace,
    *,
    own_unanswered: int,
    peer_unanswered: int,
) -> bool:
    """Return whether this router may start another request there now."""
    if pace.is_full:
        return True
    unanswered = own_unanswered + peer_unanswered
    return pace.credit >= 1.0 and unanswered < pace.concurrent


def started(pace: Pace) -> Pace:
    """Return the pace after a request was sent.

    The credit may fall to -1: requests for which no other upstream had room are
    charged too, so that they are followed by a pause.
    """
    if pace.is_full:
        return pace
    return replace(pace, credit=max(-1.0, pace.credit - 1.0))


def answered(pace: Pace, response_s: Seconds, expected_s: Seconds) -> Pace:
    """Return the pace after a first token, or after the response of a service.

    Parameters
    ----------
    expected_s : float
        Time that was expected for the request's length and the upstream's load, in
        seconds.
    """
    ratio = max(response_s, 0.001) / max(expected_s, RESPONSE_NOISE_S)
    lowest = min(ratio, pace.lowest_ratio or ratio)
    has_baseline = pace.answers >= MIN_BASELINE_ANSWERS
    bound = max(SLOW_RATIO, OWN_SLOW_RATIO * lowest if has_baseline else 0.0)
    is_slow = ratio > bound
    earlier_s = pace.response_s or response_s
    pace = replace(
        pace,
        response_s=earlier_s + _EWMA_GAIN * (response_s - earlier_s),
        lowest_ratio=lowest,
        answers=pace.answers + 1,
    )
    if pace.is_full:
        return replace(pace, failures=0) if pace.failures else pace
    if is_slow:
        return _halved(pace)
    return replace(pace, own_window=pace.own_window + 1.0, failures=0)


def failed(pace: Pace) -> Pace:
    """Return the pace after a failed attempt; a full one only counts it."""
    if pace.is_full:
        return replace(pace, failures=pace.failures + 1)
    return _halved(pace)


def _halved(pace: Pace) -> Pace:
    return replace(
        pace,
        window=max(MIN_WINDOW, pace.window / 2),
        own_window=pace.own_window / 2,
        peer_answers=0,
        failures=pace.failures + 1,
    )


def _has_proved(pace: Pace) -> bool:
    """Return whether enough answers are known to end the pace."""
    answers = pace.own_window + pace.answers_elsewhere
    return answers >= max(MIN_ANSWERS, FULL_PACE_SHARE * pace.slots)
