"""Upstreams to which a request goes only with a permit.

Answers the load of an upstream in need that names how many requests a second it takes
from all routers together.  Work that would go there asks for a permit and soon goes
elsewhere without one; where every upstream is limited it waits for its turn, or is
refused at once if its turn would come too late.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from shallotpoint.types import Seconds

HOLD_S = 0.03  # many times a question to another router of the region
RECENT_S = 0.25  # as many as went there in this time are asked for at once
MOST_AT_ONCE = 64


@dataclass(frozen=True, slots=True)
class Permit:
    """Lets one request pass.

    Attributes
    ----------
    granted_s : float
        When it was granted, by the clock of the router that did.
    keeper : int
        Number of the lease under which that was.
    until_s : float
        When it lapses, by a clock of this router that counts suspended time.
    """

    granted_s: Seconds
    keeper: int
    until_s: Seconds


@dataclass(frozen=True, slots=True)
class Ask:
    """A question for permits of one upstream.

    Attributes
    ----------
    count : int
        Requests that would go there now.
    tier : int
        The most urgent of them.
    """

    upstream: str
    count: int
    tier: int


@dataclass(slots=True)
class _Limited:
    """What is known here of one limited upstream."""

    per_s: float
    permits: deque[Permit] = field(default_factory=deque)
    taken: deque[Seconds] = field(default_factory=deque)
    count: int = 0
    tier: int = 0
    asked: int = 0
    is_asking: bool = False
    ask_s: Seconds = 0.0
    turn_s: Seconds = 0.0


class LimitBook:
    """The limited upstreams of one router and its permits for them.

    Examples
    --------
    >>> book = LimitBook()
    >>> book.allows("u1")
    True
    >>> book.limit("u1", 1.2); book.allows("u1")
    False
    >>> book.wish("u1", 1, tier=0); book.due(now=0.0)
    [Ask(upstream='u1', count=1, tier=0)]
    >>> permit = Permit(0.0, 1, until_s=1.0)
    >>> book.answered("u1", [permit], ask_s=0.1, turn_s=0.8)
    >>> book.allows("u1"), book.take("u1", now=0.0) == permit, book.allows("u1")
    (True, True, False)
    """

    def __init__(self) -> None:
        self._limited: dict[str, _Limited] = {}

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._limited

    def __bool__(self) -> bool:
        return bool(self._limited)

    def limit(self, upstream: str, per_s: float) -> None:
        """Let requests to an upstream pass only with a permit from now on."""
        limited = self._limited.setdefault(upstream, _Limited(per_s))
        limited.per_s = per_s

    def lift(self, upstream: str) -> None:
        """Let all requests to an upstream pass."""
        self._limited.pop(upstream, None)

    def allows(self, upstream: str) -> bool:
        """Return whether one request may go to an upstream."""
        limited = self._limited.get(upstream)
        return limited is None or bool(limited.permits)

    def may_ask(self, upstream: str, now: Seconds) -> bool:
        """Return whether a permit may still come in an instant."""
        limited = self._limited.get(upstream)
        return limited is not None and (limited.is_asking or limited.ask_s <= now)

    def take(self, upstream: str, now: Seconds) -> Permit | None:
        """Use up a permit; None for an upstream without a limit."""
        limited = self._limited.get(upstream)
        if limited is None:
            return None
        limited.taken.append(now)
        return limited.permits.popleft()

    def wish(self, upstream: str, count: int, *, tier: int) -> None:
        """Note that requests would go to an upstream if they might."""
        limited = self._limited[upstream]
        limited.tier = min(limited.tier, tier) if limited.count else tier
        limited.count = max(limited.count, count)

    def due(self, now: Seconds) -> list[Ask]:
        """Return the questions that are to be asked now; each is asked once."""
        asks = []
        for upstream, limited in self._limited.items():
            if not limited.count or limited.is_asking or limited.ask_s > now:
                continue
            while limited.taken and limited.taken[0] < now - RECENT_S:
                limited.taken.popleft()
            count = min(MOST_AT_ONCE, max(limited.count, len(limited.taken)))
            limited.is_asking, limited.count = True, 0
            limited.asked = count
            asks.append(Ask(upstream, count, limited.tier))
        return asks

    def answered(
        self,
        upstream: str,
        permits: list[Permit],
        *,
        ask_s: Seconds,
        turn_s: Seconds,
    ) -> None:
        """Take in an answer.

        Parameters
        ----------
        ask_s : float
            Time of the next question.
        turn_s : float
            When one more request would get a permit.
        """
        limited = self._limited.get(upstream)
        if limited is None:
            return
        limited.permits.extend(permits)
        limited.asked -= len(permits)
        limited.is_asking = False
        limited.ask_s, limited.turn_s = ask_s, turn_s

    def expire(self, now: Seconds) -> None:
        """Drop lapsed permits, by the clock that counts suspended time."""
        for limited in self._limited.values():
            while limited.permits and limited.permits[0].until_s <= now:
                limited.permits.popleft()

    def turn_s(self, upstreams: list[str], waiting: int, now: Seconds) -> Seconds:
        """Return when one more request gets its turn behind those that wait here.

        What came since the last answers adds to what they predicted.

        Parameters
        ----------
        upstreams : list of str
            Limited ones, between which the waiting requests are divided.
        """
        turns = []
        each = waiting / max(1, len(upstreams))
        for name in upstreams:
            limited = self._limited[name]
            if limited.permits:
                return now
            added = max(0.0, each - limited.asked) / max(0.1, limited.per_s)
            turns.append(max(now, limited.turn_s) + added)
        return min(turns, default=now)
