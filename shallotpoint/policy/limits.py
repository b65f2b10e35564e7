"""Upstreams to which a request goes only with a permit.

Answers the load of an upstream in need that names how many requests a second it takes
from all routers together.  Work that would go there asks for a permit and soon goes
elsewhere without one; where every upstream is limited it waits for its turn, or is
refused at once if its turn would come too late.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from shallotpoint.types import Seconds

HOLD_S = 0.03  # many times a question to another router of the region
RECENT_S = 0.25  # as many as went there in this time are asked for at once
URGENT_AGAIN_S = 0.05  # least time between two questions
UNREACHED_S = 1.0  # assumed wait while nobody who hands out permits is reached


@dataclass(frozen=True, slots=True)
class Permit:
    """Lets one request pass.

    Attributes
    ----------
    granted_s : float
        When it was granted, by the clock of the router that did.
    lease : int
        Number of the lease under which that was.
    until_s : float
        When it lapses, by a clock of this router that counts suspended time.
    """

    granted_s: Seconds
    lease: int
    until_s: Seconds


@dataclass(frozen=True, slots=True)
class Ask:
    """A question for permits of one upstream.

    Attributes
    ----------
    counts : mapping
        Requests that would go there now, by tier.
    """

    upstream: str
    counts: Mapping[int, int]


@dataclass(frozen=True, slots=True)
class Outlook:
    """What all routers want of one upstream, as told with an answer.

    Attributes
    ----------
    at_s : float
        When it was told.
    queued, own : mapping
        Requests that want a permit, of all routers and of this one, by tier.
    saved : float
        Permits that nobody has yet.
    per_s : float
        Permits handed out a second; 0 if nobody who does can be reached.
    """

    at_s: Seconds
    queued: Mapping[int, int] = field(default_factory=dict)
    own: Mapping[int, int] = field(default_factory=dict)
    saved: float = 0.0
    per_s: float = 0.0

    def turn_s(self, tier: int, ahead: float, now: Seconds) -> Seconds:
        """Return when one more request gets a permit.

        Parameters
        ----------
        ahead : float
            Requests of this router that go before it.
        """
        if not self.per_s:
            return max(now, self.at_s + UNREACHED_S)
        elsewhere = sum(
            max(0, count - self.own.get(other, 0))
            for other, count in self.queued.items()
            if other <= tier
        )
        missing = elsewhere + ahead + 1.0 - self.saved
        return max(now, self.at_s + missing / self.per_s)


@dataclass(slots=True)
class _Limited:
    """What is known here of one limited upstream."""

    permits: deque[Permit] = field(default_factory=deque)
    taken: deque[Seconds] = field(default_factory=deque)
    wishes: dict[int, int] = field(default_factory=dict)
    asked: Mapping[int, int] = field(default_factory=dict)
    is_asking: bool = False
    ask_s: Seconds = 0.0
    outlook: Outlook | None = None

    def may_ask(self, now: Seconds) -> bool:
        """Return whether it is time, or there is more urgent work than was told."""
        if self.ask_s <= now:
            return True
        if self.outlook is None or self.outlook.at_s + URGENT_AGAIN_S > now:
            return False
        return min(self.wishes) < min(self.asked, default=math.inf)


class LimitBook:
    """The limited upstreams of one router and its permits for them.

    Examples
    --------
    >>> book = LimitBook()
    >>> book.allows("u1")
    True
    >>> book.limit("u1"); book.allows("u1")
    False
    >>> book.wish("u1", {0: 1}); book.due(now=0.0)
    [Ask(upstream='u1', counts={0: 1})]
    >>> permit = Permit(0.0, 1, until_s=1.0)
    >>> book.answered("u1", [permit], ask_s=0.1, outlook=Outlook(0.0, per_s=1.2))
    >>> book.allows("u1"), book.take("u1", now=0.0) == permit, book.allows("u1")
    (True, True, False)
    """

    def __init__(self) -> None:
        self._limited: dict[str, _Limited] = {}

    def __contains__(self, upstream: str) -> bool:
        return upstream in self._limited

    def __bool__(self) -> bool:
        return bool(self._limited)

    def limit(self, upstream: str) -> None:
        """Let requests to an upstream pass only with a permit from now on."""
        self._limited.setdefault(upstream, _Limited())

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

    def forget_wishes(self, upstreams: Iterable[str]) -> None:
        """Drop what was wished for of some upstreams, as it is looked at anew."""
        for name in upstreams:
            if name in self._limited:
                self._limited[name].wishes = {}

    def wish(self, upstream: str, counts: Mapping[int, int]) -> None:
        """Note that requests, by tier, would go to an upstream if they might."""
        wishes = self._limited[upstream].wishes
        for tier, count in counts.items():
            wishes[tier] = max(count, wishes.get(tier, 0))

    def divided(
        self, upstreams: Sequence[str], waiting: Mapping[int, int], now: Seconds
    ) -> dict[str, dict[int, int]]:
        """Divide what waits, by tier, over upstreams, each where its turn is first."""
        wishes: dict[str, dict[int, int]] = {}
        given = dict.fromkeys(upstreams, 0)
        if not upstreams:
            return wishes
        for tier in sorted(waiting):
            for _ in range(waiting[tier]):
                turns = [
                    (self.turn_s([name], tier, ahead, now), ahead, name)
                    for name, ahead in given.items()
                ]
                _, _, first = min(turns)
                given[first] += 1
                counts = wishes.setdefault(first, {})
                counts[tier] = counts.get(tier, 0) + 1
        return wishes

    def due(self, now: Seconds) -> list[Ask]:
        """Return the questions that are to be asked now; each is asked once."""
        asks = []
        for upstream, limited in self._limited.items():
            wishes = limited.wishes
            if not wishes or limited.is_asking or not limited.may_ask(now):
                continue
            while limited.taken and limited.taken[0] < now - RECENT_S:
                limited.taken.popleft()
            last = max(wishes)
            wishes[last] += max(0, len(limited.taken) - sum(wishes.values()))
            limited.is_asking, limited.asked, limited.wishes = True, wishes, {}
            asks.append(Ask(upstream, wishes))
        return asks

    def answered(
        self,
        upstream: str,
        permits: Sequence[Permit],
        *,
        ask_s: Seconds,
        outlook: Outlook,
    ) -> None:
        """Take in an answer; ``ask_s`` is the time of the next question."""
        limited = self._limited.get(upstream)
        if limited is None:
            return
        limited.permits.extend(permits)
        limited.is_asking, limited.ask_s = False, ask_s
        limited.outlook = replace(outlook, own=limited.asked)

    def expire(self, now: Seconds) -> None:
        """Drop lapsed permits, by the clock that counts suspended time."""
        for limited in self._limited.values():
            while limited.permits and limited.permits[0].until_s <= now:
                limited.permits.popleft()

    def turn_s(
        self, upstreams: Sequence[str], tier: int, ahead: int, now: Seconds
    ) -> Seconds:
        """Return when one more request gets its turn at one of some upstreams.

        Parameters
        ----------
        upstreams : sequence of str
            Limited ones, between which what waits here is divided.
        ahead : int
            Requests of this router that go before it.
        """
        turns = []
        for name in upstreams:
            limited = self._limited[name]
            if limited.outlook is None or len(limited.permits) > ahead:
                return now
            each = ahead / len(upstreams)
            turns.append(limited.outlook.turn_s(tier, each, now))
        return min(turns, default=now)
