"""Upstreams that turned work away and named the time for which they want none.

Answers the load of an upstream that is overrun by many routers at once: each of
them stays away for the time that it was told, and they do not all come back in
the same instant.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from shallotpoint.types import Seconds

LONGEST_S = 60.0  # a longer request counts as this one, lest one answer ejects for good
SPREAD = 0.1  # part of the time by which routers come back apart from each other
SPREAD_MIN_S = 0.05


class ClosureBook:
    """Until when each upstream wants no work from this router.

    Parameters
    ----------
    rng : random.Random
        Spreads the returns of several routers.

    Examples
    --------
    >>> book = ClosureBook(random.Random(1))
    >>> book.close("u1", 2.0, now=10.0)
    >>> book.is_closed("u1", now=12.0), book.is_closed("u1", now=12.3)
    (True, False)
    >>> book.close("u1", 0.5, now=10.1); book.is_closed("u1", now=12.0)
    True
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._until_s: dict[str, Seconds] = {}

    def close(self, upstream: str, wait_s: Seconds, now: Seconds) -> None:
        """Note that an upstream wants nothing for a time; repeats only lengthen it."""
        wait_s = min(LONGEST_S, wait_s)
        until_s = now + self.spread_s(wait_s)
        self._until_s = {n: at_s for n, at_s in self._until_s.items() if at_s > now}
        self._until_s[upstream] = max(until_s, self._until_s.get(upstream, until_s))

    def spread_s(self, wait_s: Seconds) -> Seconds:
        """Return a wait made longer, so that not all come back at once."""
        return wait_s + self._rng.uniform(0.0, SPREAD_MIN_S + SPREAD * wait_s)

    def is_closed(self, upstream: str, now: Seconds) -> bool:
        """Return whether nothing may be sent to an upstream."""
        return self._until_s.get(upstream, now) > now

    def opening_s(self, upstreams: Iterable[str], now: Seconds) -> Seconds | None:
        """Return when the first of some upstreams opens, None if one is open."""
        openings = [self._until_s.get(name, now) for name in upstreams]
        if not openings or min(openings) <= now:
            return None
        return min(openings)
