"""Upstreams that asked for a pause, with the times at which they accept requests again.

An overloaded upstream may reject a request and state a time for which it accepts no
more.  Each router stops sending for that time plus a random delay, so that the routers
do not all start to send again at once.
"""

from __future__ import annotations

import random
from collections.abc import Iterable

from shallotpoint.types import Seconds

MAX_CLOSURE_S = 86_400.0  # so that one answer cannot exclude an upstream for good
# The random delay is at most this fraction of the stated time plus the minimum range.
JITTER_RATIO = 0.1
MIN_JITTER_RANGE_S = 0.05
MAX_JITTER_RANGE_S = 6.0  # spreads the requests of many routers well enough


class UpstreamClosures:
    """Times until which upstreams accept no requests from this router.

    Parameters
    ----------
    rng : random.Random
        Source of the random delays.

    Examples
    --------
    >>> closures = UpstreamClosures(random.Random(1))
    >>> closures.close("u1", 2.0, now=10.0)
    >>> closures.is_closed("u1", now=12.0), closures.is_closed("u1", now=12.3)
    (True, False)
    >>> closures.close("u1", 0.5, now=10.1); closures.is_closed("u1", now=12.0)
    True
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._until_s: dict[str, Seconds] = {}

    def close(self, upstream: str, wait_s: Seconds, now: Seconds) -> None:
        """Close an upstream for a time in seconds; repeats can only prolong it."""
        wait_s = min(MAX_CLOSURE_S, wait_s)
        until_s = now + self.with_jitter_s(wait_s)
        self._until_s = {n: at_s for n, at_s in self._until_s.items() if at_s > now}
        self._until_s[upstream] = max(until_s, self._until_s.get(upstream, until_s))

    def with_jitter_s(self, wait_s: Seconds) -> Seconds:
        """Return a wait in seconds with a random delay added."""
        range_s = min(MAX_JITTER_RANGE_S, MIN_JITTER_RANGE_S + JITTER_RATIO * wait_s)
        return wait_s + self._rng.uniform(0.0, range_s)

    def is_closed(self, upstream: str, now: Seconds) -> bool:
        """Return whether an upstream accepts no requests at present."""
        return self._until_s.get(upstream, now) > now

    def opens_in_s(self, upstream: str, now: Seconds) -> Seconds:
        """Return the time until an upstream accepts requests, 0 if it does now."""
        return max(0.0, self._until_s.get(upstream, now) - now)

    def earliest_opening_s(
        self, upstreams: Iterable[str], now: Seconds
    ) -> Seconds | None:
        """Return the time at which the first of some upstreams opens, in seconds.

        None if one of them is open or none are given.
        """
        openings = [self._until_s.get(name, now) for name in upstreams]
        if not openings or min(openings) <= now:
            return None
        return min(openings)
