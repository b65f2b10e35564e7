"""Permits for an upstream that takes only so many requests a second from all members.

One member at a time, the holder of a lease on the upstream, hands out permits; each
lets one request pass and lapses soon.  The sum over all members is then bounded by
construction: what each of them believes, and how many there are, plays no part.

In any time T no more than ``per_s * (T + PERMIT_S) + burst`` requests pass, across a
change of the holder too, as a new one begins without saved permits.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass

from shallotpoint.types import Seconds

PERMIT_S = 1.0  # an unused permit lapses, so that few can be used at once
LEAST_PER_S = 0.5  # at a lower limit its end would be seen only after seconds
BURST_S = 0.5  # permits saved up while nobody asked, as a time at the limit
LEAST_BURST = 2.0  # one for who asks and one kept for more urgent work
OVERTAKE_S = 0.5  # answers with an older, higher limit may still be on their way
LATE_S = 0.2  # who asks again later than this past its time wants nothing any more
AGAIN_EACH_S = 0.02  # members together ask about this often, however many they are
LEAST_AGAIN_S = 0.05
LONGEST_AGAIN_S = 1.0  # within this time all members hear that a limit has ended


@dataclass(frozen=True, slots=True)
class Grant:
    """The answer to one question.

    Attributes
    ----------
    permits : int
        Requests that may pass.
    granted_s : float
        When they were granted, by the clock of the holder of the lease.
    again_s : float
        Time until the next question.
    queued : mapping
        Requests of all members that want a permit, by tier.
    saved : float
        Permits that nobody has yet.
    per_s : float
        Requests a second that the upstream takes; infinite if its limit has ended.
    """

    permits: int
    granted_s: Seconds
    again_s: Seconds
    queued: Mapping[int, int]
    saved: float
    per_s: float


@dataclass(slots=True)
class _Want:
    """What a member wants, by tier, and until when that counts."""

    counts: Counter[int]
    until_s: Seconds


class PermitBook:
    """Hands out the permits of one upstream.

    Parameters
    ----------
    per_s : float
        Requests a second that the upstream takes from all members together.
    now : float
        Present time in seconds; it must go on while the host is suspended.

    Examples
    --------
    >>> book = PermitBook(2.0, now=0.0)
    >>> book.ask("a", {1: 1}, now=0.0).permits
    0
    >>> book.ask("a", {1: 1}, now=0.5).permits
    1
    """

    def __init__(self, per_s: float, now: Seconds):
        self.per_s = per_s
        self._named_s = now
        self._lowest_s = now
        self._saved = 0.0
        self._filled_s = now
        self._wants: dict[str, _Want] = {}

    @property
    def rate_per_s(self) -> float:
        """Permits handed out a second."""
        return max(LEAST_PER_S, self.per_s)

    def named(self, per_s: float, now: Seconds) -> None:
        """Take a limit that an answer named; a higher one may be an older one."""
        self._fill(now)
        self._named_s = now
        if per_s <= self.per_s:
            self._lowest_s = now
        elif now - self._lowest_s < OVERTAKE_S:
            return
        if math.isinf(self.per_s):
            self._saved = 0.0
        self.per_s = per_s
        self._saved = min(self._saved, self._burst())

    def named_none(self, granted_s: Seconds, now: Seconds) -> None:
        """Take an answer without a limit, to a request whose permit is known.

        It ends the limit only if the permit was granted after the last answer that
        named one.
        """
        if granted_s > self._named_s:
            self._fill(now)
            self.per_s = math.inf

    def ask(self, member: str, counts: Mapping[int, int], now: Seconds) -> Grant:
        """Grant permits for what a member wants; more urgent wants go first.

        Parameters
        ----------
        counts : mapping
            Requests that would go to the upstream now, by tier.
        """
        self._fill(now)
        if math.isinf(self.per_s):
            return Grant(0, now, 0.0, {}, 0.0, math.inf)
        self._wants = {n: w for n, w in self._wants.items() if w.until_s > now}
        if not counts:
            return Grant(0, now, 0.0, self._queued(), self._saved, self.per_s)
        own = Counter(dict(counts))
        want = self._wants[member] = _Want(own, now + LATE_S)
        others = self._queued() - own
        granted = 0
        for tier in sorted(own):
            part = self._part(own[tier], tier, others)
            granted += part
            self._saved -= part
            own[tier] -= part
        again_s = 0.0
        if own.total():
            sooner = sum(n for tier, n in others.items() if tier < max(own))
            again_s = max(
                (1.0 + sooner - self._saved) / self.rate_per_s,
                AGAIN_EACH_S * len(self._wants),
            )
            again_s = min(LONGEST_AGAIN_S, max(LEAST_AGAIN_S, again_s))
        want.until_s = now + again_s + LATE_S
        queued = {tier: n for tier, n in self._queued().items() if n}
        return Grant(granted, now, again_s, queued, self._saved, self.per_s)

    def _part(self, count: int, tier: int, others: Counter[int]) -> int:
        """Return the permits for the wants of one tier beside those of others."""
        free = self._saved - sum(n for other, n in others.items() if other < tier)
        if not count or free < 1.0:
            return 0
        share = math.ceil(free * count / (count + others[tier]))
        return min(count, int(free), share)

    def _queued(self) -> Counter[int]:
        total: Counter[int] = Counter()
        for want in self._wants.values():
            total += want.counts
        return total

    def _fill(self, now: Seconds) -> None:
        elapsed_s, self._filled_s = now - self._filled_s, now
        if not math.isinf(self.per_s):
            earned = max(0.0, elapsed_s) * self.rate_per_s
            self._saved = min(self._burst(), self._saved + earned)

    def _burst(self) -> float:
        return max(LEAST_BURST, BURST_S * self.rate_per_s)
