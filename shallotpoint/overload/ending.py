"""Whether an answer can end within its time limit, and what follows from it."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotpoint.types import Seconds

# A predicted end up to this multiple of the time left is no clear miss: hints are right
# at the median only, and a wrong refusal costs a caller the whole answer.
CLEAR_MISS_RATIO = 1.3


@dataclass(frozen=True, slots=True)
class EnginePace:
    """What is predicted for one answer on one engine, in seconds.

    Attributes
    ----------
    ttft_s : float
        Time to first token if the request is sent now.
    gap_s : float
        Time between events with the present requests on the engine.
    best_ttft_s, best_gap_s : float
        The same for the load at which the engine begins answers of the lowest tier
        again, if the request waits for that.
    """

    ttft_s: Seconds
    gap_s: Seconds
    best_ttft_s: Seconds
    best_gap_s: Seconds


def can_end(
    events: float, ttft_s: Seconds, gap_s: Seconds, left_s: Seconds | None
) -> bool:
    """Return whether an answer does not clearly miss its time limit.

    Parameters
    ----------
    events : float
        Expected events of the answer.
    left_s : float or None
        Time left; None without a time limit.

    Examples
    --------
    >>> can_end(64, 0.5, 0.15, 12.0), can_end(120, 0.5, 0.15, 12.0)
    (True, False)
    """
    return left_s is None or ttft_s + events * gap_s <= CLEAR_MISS_RATIO * left_s


def can_end_later(
    events: float, engines: Iterable[EnginePace], left_s: Seconds | None
) -> bool:
    """Return whether an answer can end on any engine, now or at its best pace.

    Examples
    --------
    >>> full = EnginePace(ttft_s=1.0, gap_s=0.3, best_ttft_s=0.1, best_gap_s=0.1)
    >>> [can_end_later(events, [full], 10.0) for events in (60, 140)]
    [True, False]
    """
    return any(
        can_end(events, engine.best_ttft_s, engine.best_gap_s, left_s)
        or can_end(events, engine.ttft_s, engine.gap_s, left_s)
        for engine in engines
    )
