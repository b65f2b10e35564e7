"""Straggler and crash verdicts from what this router itself sees.

Load reports lag, so an upstream is judged by the time to first token and the
time between tokens of this router's own requests, against the median of the
pool.  A request whose first token is overdue counts at once, before it ends.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotpoint.types import Seconds

SLOW_RATIO = 2.5  # against the pool's median
CLEAR_RATIO = 1.5  # a probe below this ends an ejection
MIN_TTFT_S = 0.05  # differences below this are noise
MIN_TBT_S = 0.005
MIN_SAMPLES = 3
FIRST_EJECT_S = 1.0
LONGEST_EJECT_S = 16.0
FIRST_DOWN_S = 0.5
LONGEST_DOWN_S = 4.0
RAMP_S = 5.0  # time in which a restored upstream regains its full weight
MAX_EJECTED_PART = 0.4
JUDGE_EVERY_S = 0.02
_GAIN = 0.3


class Verdict(StrEnum):
    """What is thought of one upstream."""

    GOOD = "good"
    SLOW = "slow"
    DOWN = "down"


@dataclass(slots=True)
class UpstreamHealth:
    """Measured behaviour of one upstream and the verdict on it.

    Times are in seconds; ``ttft_s`` and ``tbt_s`` are moving averages.
    """

    ttft_s: Seconds = 0.0
    tbt_s: Seconds = 0.0
    samples: int = 0
    verdict: Verdict = Verdict.GOOD
    since_s: Seconds = 0.0
    until_s: Seconds = 0.0
    term_s: Seconds = 0.0
    probing: bool = False
    restored_s: Seconds = -RAMP_S
    overdue_s: Seconds = 0.0

    def observe_ttft(self, value_s: Seconds) -> None:
        """Take in one time to first token."""
        self.ttft_s = _blend(self.ttft_s, value_s, self.samples)
        self.samples += 1

    def observe_tbt(self, value_s: Seconds) -> None:
        """Take in one time between tokens."""
        self.tbt_s = _blend(self.tbt_s, value_s, 1 if self.tbt_s else 0)

    def weight(self, now: Seconds) -> float:
        """Return the part of its share that the upstream gets, 0 to 1."""
        if self.verdict is not Verdict.GOOD:
            return 0.0
        return min(1.0, 0.2 + 0.8 * (now - self.restored_s) / RAMP_S)


def _blend(average: float, value: float, samples: int) -> float:
    return value if not samples else average + _GAIN * (value - average)


class HealthBook:
    """Verdicts on all upstreams of one pool.

    Attributes
    ----------
    news : list of str
        Upstreams judged slow here since the owner last cleared it.
    """

    def __init__(self, *, max_ejected_part: float = MAX_EJECTED_PART):
        self._book: dict[str, UpstreamHealth] = {}
        self._max_ejected_part = max_ejected_part
        self._judged_s: Seconds = -1.0
        self.news: list[str] = []

    def __getitem__(self, upstream: str) -> UpstreamHealth:
        return self._book[upstream]

    def set_upstreams(self, names: Iterable[str]) -> None:
        """Keep exactly these upstreams."""
        names = set(names)
        for name in names - self._book.keys():
            self._book[name] = UpstreamHealth()
        for name in self._book.keys() - names:
            del self._book[name]

    def median_ttft_s(self) -> Seconds:
        """Return the median time to first token over measured upstreams."""
        return _median(h.ttft_s for h in self._book.values() if h.samples)

    def median_tbt_s(self) -> Seconds:
        """Return the median time between tokens over measured upstreams."""
        return _median(h.tbt_s for h in self._book.values() if h.tbt_s)

    def usable(self, upstream: str) -> bool:
        """Return whether the upstream may take ordinary work."""
        return self._book[upstream].verdict is Verdict.GOOD

    def wants_probe(self, upstream: str, now: Seconds) -> bool:
        """Return whether one trial request is due."""
        health = self._book[upstream]
        if health.verdict is Verdict.GOOD or health.probing:
            return False
        return now >= health.until_s

    def start_probe(self, upstream: str) -> None:
        """Note that a trial request is on its way."""
        self._book[upstream].probing = True

    def failed(self, upstream: str, now: Seconds) -> None:
        """Note that the upstream could not be reached, refused or crashed."""
        health = self._book.get(upstream)
        if health is None:
            return
        already = health.verdict is Verdict.DOWN and now < health.until_s
        if already and not health.probing:
            return
        term_s = health.term_s * 2 if health.verdict is Verdict.DOWN else FIRST_DOWN_S
        _eject(health, Verdict.DOWN, min(term_s, LONGEST_DOWN_S), now)

    def answered(self, upstream: str, ttft_s: Seconds, now: Seconds) -> None:
        """Note a first token; ends an ejection if it came in good time."""
        health = self._book.get(upstream)
        if health is None:
            return
        if health.probing:
            self._judge_probe(health, ttft_s, now)
        else:
            health.observe_ttft(ttft_s)
            self.judge(now)

    def progressed(self, upstream: str, tbt_s: Seconds) -> None:
        """Note the time between tokens of one stream."""
        health = self._book.get(upstream)
        if health is not None:
            health.observe_tbt(tbt_s)

    def probe_abandoned(self, upstream: str, waited_s: Seconds, now: Seconds) -> None:
        """Note that a request ended without an answer after some time.

        A probe that had waited too long already counts as a slow answer.
        """
        health = self._book.get(upstream)
        if health is None or not health.probing:
            return
        median_s = max(self.median_ttft_s(), MIN_TTFT_S)
        if waited_s > CLEAR_RATIO * median_s:
            self._judge_probe(health, waited_s, now)
        health.probing = False

    def set_overdue(self, upstream: str, overdue_s: Seconds) -> None:
        """Note how long the oldest request has waited for its first token."""
        self._book[upstream].overdue_s = overdue_s

    def judge(self, now: Seconds) -> list[str]:
        """Eject the slowest upstreams within the bound; return their names."""
        if now - self._judged_s < JUDGE_EVERY_S:
            return []
        self._judged_s = now
        ttft_s, tbt_s = self.median_ttft_s(), self.median_tbt_s()
        ratios = sorted(
            (
                (_slowness(health, ttft_s, tbt_s), name)
                for name, health in self._book.items()
                if health.verdict is Verdict.GOOD
            ),
            reverse=True,
        )
        ejected = []
        for ratio, name in ratios:
            if ratio < SLOW_RATIO or not self._may_eject_one_more():
                break
            health = self._book[name]
            term_s = FIRST_EJECT_S
            if now - health.restored_s < LONGEST_EJECT_S and health.term_s:
                term_s = min(health.term_s * 2, LONGEST_EJECT_S)
            _eject(health, Verdict.SLOW, term_s, now)
            ejected.append(name)
        self.news += ejected
        return ejected

    def hear_slow(self, upstream: str, now: Seconds) -> None:
        """Take over a peer's fresh verdict; a probe of our own ends it."""
        health = self._book.get(upstream)
        if health is None or health.verdict is not Verdict.GOOD:
            return
        if self._may_eject_one_more():
            _eject(health, Verdict.SLOW, FIRST_EJECT_S, now)

    def _may_eject_one_more(self) -> bool:
        ejected = sum(1 for h in self._book.values() if h.verdict is not Verdict.GOOD)
        allowed = max(1, int(len(self._book) * self._max_ejected_part))
        return len(self._book) > 1 and ejected < allowed

    def _judge_probe(self, health, ttft_s: Seconds, now: Seconds) -> None:
        health.probing = False
        median_s = max(self.median_ttft_s(), MIN_TTFT_S)
        if ttft_s > CLEAR_RATIO * median_s and health.verdict is Verdict.SLOW:
            term_s = min(health.term_s * 2, LONGEST_EJECT_S)
            _eject(health, health.verdict, term_s, now)
            return
        health.verdict = Verdict.GOOD
        health.restored_s = now
        health.since_s = now
        health.ttft_s = ttft_s
        health.samples = 1
        health.tbt_s = 0.0
        health.overdue_s = 0.0


def _slowness(health: UpstreamHealth, ttft_s: Seconds, tbt_s: Seconds) -> float:
    """Return the worst ratio of an upstream's times to the pool's medians."""
    ratio = 0.0
    if ttft_s:
        seen_s = health.ttft_s if health.samples >= MIN_SAMPLES else 0.0
        seen_s = max(seen_s, health.overdue_s)
        ratio = seen_s / max(ttft_s, MIN_TTFT_S)
    if tbt_s and health.tbt_s:
        ratio = max(ratio, health.tbt_s / max(tbt_s, MIN_TBT_S))
    return ratio


def _eject(health: UpstreamHealth, verdict: Verdict, term_s: Seconds, now: Seconds):
    health.verdict = verdict
    health.since_s = now
    health.term_s = term_s
    health.until_s = now + term_s
    health.probing = False


def _median(values: Iterable[float]) -> float:
    known = list(values)
    return statistics.median_low(known) if known else 0.0
