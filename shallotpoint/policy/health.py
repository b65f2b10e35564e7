"""Detection of slow and failed upstreams from this router's own requests.

Load reports of upstreams are outdated when they arrive, so the time to first token
and the time between tokens of this router's own requests are compared with the median
of the pool.  A request whose first token is overdue counts before the token arrives.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from shallotpoint.types import Seconds

SLOW_RATIO = 2.5  # upstreams at or above this multiple of the pool's median are slow
PROBE_PASS_RATIO = 1.5  # a probe up to this multiple of the median ends an ejection
TTFT_NOISE_S = 0.05  # shorter medians count as this, as their differences are noise
TBT_NOISE_S = 0.005
MIN_SAMPLES = 3
MIN_EJECTION_S = 1.0  # for slow upstreams; doubles with each failed probe
MAX_EJECTION_S = 16.0
MIN_DOWN_S = 0.5  # likewise for upstreams that failed
MAX_DOWN_S = 4.0
RAMP_UP_S = 5.0  # time until a restored upstream has its full weight again
MAX_EJECTED_FRACTION = 0.4
CHECK_INTERVAL_S = 0.02
_AVERAGE_GAIN = 0.3  # weight of the newest sample


class Verdict(StrEnum):
    """Health of one upstream as seen by this router.

    Upstreams that are slow or down are ejected: they get probe requests only.
    """

    GOOD = "good"
    SLOW = "slow"
    DOWN = "down"


@dataclass(slots=True)
class UpstreamHealth:
    """Measured times of one upstream and the verdict that follows from them.

    Attributes
    ----------
    ttft_s, tbt_s : float
        Moving averages of the time to first token and of the time between tokens,
        in seconds.
    samples : int
        Number of first tokens measured since the upstream was last restored.
    verdict_since_s : float
        Time at which the verdict was last set, in seconds.
    probe_from_s : float
        Time from which an ejected upstream may be probed, in seconds.
    ejection_s : float
        Length of the latest ejection before its first probe, in seconds.
    is_probing : bool
        Whether a probe is under way.
    restored_at_s : float
        Time at which the last ejection ended, in seconds.
    longest_wait_s : float
        Longest current wait for a first token, in seconds.
    """

    ttft_s: Seconds = 0.0
    tbt_s: Seconds = 0.0
    samples: int = 0
    verdict: Verdict = Verdict.GOOD
    verdict_since_s: Seconds = 0.0
    probe_from_s: Seconds = 0.0
    ejection_s: Seconds = 0.0
    is_probing: bool = False
    restored_at_s: Seconds = -RAMP_UP_S
    longest_wait_s: Seconds = 0.0

    def observe_ttft(self, value_s: Seconds) -> None:
        """Add a time to first token to the moving average."""
        self.ttft_s = _moving_average(self.ttft_s, value_s, self.samples)
        self.samples += 1

    def observe_tbt(self, value_s: Seconds) -> None:
        """Add a time between tokens to the moving average."""
        self.tbt_s = _moving_average(self.tbt_s, value_s, 1 if self.tbt_s else 0)

    def weight(self, now: Seconds) -> float:
        """Return the fraction of its usual load that the upstream gets, 0 to 1.

        It rises linearly from 0.2 after an ejection.
        """
        if self.verdict is not Verdict.GOOD:
            return 0.0
        return min(1.0, 0.2 + 0.8 * (now - self.restored_at_s) / RAMP_UP_S)


def _moving_average(average: float, value: float, samples: int) -> float:
    return value if not samples else average + _AVERAGE_GAIN * (value - average)


class HealthTracker:
    """Health of all upstreams of one pool.

    Parameters
    ----------
    max_ejected_fraction : float
        Largest fraction of ejected upstreams, slow or down, up to which slow ones are
        ejected; at least one may be if there are several.

    Attributes
    ----------
    newly_slow : list of str
        Upstreams that were found slow since the owner last cleared the list.
    """

    def __init__(self, *, max_ejected_fraction: float = MAX_EJECTED_FRACTION):
        self._health: dict[str, UpstreamHealth] = {}
        self._max_ejected_fraction = max_ejected_fraction
        self._last_check_s: Seconds = -1.0
        self.newly_slow: list[str] = []

    def __getitem__(self, upstream: str) -> UpstreamHealth:
        return self._health[upstream]

    def set_upstreams(self, names: Iterable[str]) -> None:
        """Set the upstreams to track; those that stay keep their measurements."""
        names = set(names)
        for name in names - self._health.keys():
            self._health[name] = UpstreamHealth()
        for name in self._health.keys() - names:
            del self._health[name]

    def median_ttft_s(self) -> Seconds:
        """Return the median time to first token of all upstreams, 0 if unknown."""
        return _median(h.ttft_s for h in self._health.values() if h.samples)

    def median_tbt_s(self) -> Seconds:
        """Return the median time between tokens of all upstreams, 0 if unknown."""
        return _median(h.tbt_s for h in self._health.values() if h.tbt_s)

    def is_healthy(self, upstream: str) -> bool:
        """Return whether an upstream is healthy; others get probe requests only."""
        return self._health[upstream].verdict is Verdict.GOOD

    def is_probe_due(self, upstream: str, now: Seconds) -> bool:
        """Return whether an ejected upstream should get a probe request now."""
        health = self._health[upstream]
        if health.verdict is Verdict.GOOD or health.is_probing:
            return False
        return now >= health.probe_from_s

    def start_probe(self, upstream: str) -> None:
        """Record that a probe request is being sent."""
        self._health[upstream].is_probing = True

    def record_failure(self, upstream: str, now: Seconds) -> None:
        """Eject an upstream that could not be reached, refused a request or crashed.

        Each failed probe doubles the time until the next one, within a bound.
        """
        health = self._health.get(upstream)
        if health is None:
            return
        is_ejected = health.verdict is Verdict.DOWN and now < health.probe_from_s
        if is_ejected and not health.is_probing:
            return
        ejection_s = (
            health.ejection_s * 2 if health.verdict is Verdict.DOWN else MIN_DOWN_S
        )
        _eject(health, Verdict.DOWN, min(ejection_s, MAX_DOWN_S), now)

    def record_first_token(self, upstream: str, ttft_s: Seconds, now: Seconds) -> None:
        """Record a time to first token; a fast enough probe ends an ejection."""
        health = self._health.get(upstream)
        if health is None:
            return
        if health.is_probing:
            self._apply_probe_result(health, ttft_s, now)
        else:
            health.observe_ttft(ttft_s)
            self.eject_slow(now)

    def record_token_gap(self, upstream: str, tbt_s: Seconds) -> None:
        """Record a time between tokens of one stream, in seconds."""
        health = self._health.get(upstream)
        if health is not None:
            health.observe_tbt(tbt_s)

    def record_unanswered(self, upstream: str, waited_s: Seconds, now: Seconds) -> None:
        """Record that an attempt ended before its first token.

        If it was a probe that had already waited too long, it counts as a slow answer.
        """
        health = self._health.get(upstream)
        if health is None or not health.is_probing:
            return
        median_s = max(self.median_ttft_s(), TTFT_NOISE_S)
        if waited_s > PROBE_PASS_RATIO * median_s:
            self._apply_probe_result(health, waited_s, now)
        health.is_probing = False

    def set_longest_wait(self, upstream: str, longest_wait_s: Seconds) -> None:
        """Set the longest current wait for a first token on an upstream, in seconds."""
        self._health[upstream].longest_wait_s = longest_wait_s

    def eject_slow(self, now: Seconds) -> list[str]:
        """Eject upstreams that are slow compared with the pool; return their names.

        The slowest go first, up to the largest fraction that may be ejected.  An
        upstream that is ejected again soon is ejected for twice as long.
        """
        if now - self._last_check_s < CHECK_INTERVAL_S:
            return []
        self._last_check_s = now
        ttft_s, tbt_s = self.median_ttft_s(), self.median_tbt_s()
        ratios = sorted(
            (
                (_slowness(health, ttft_s, tbt_s), name)
                for name, health in self._health.items()
                if health.verdict is Verdict.GOOD
            ),
            reverse=True,
        )
        ejected = []
        for ratio, name in ratios:
            if ratio < SLOW_RATIO or not self._may_eject_one_more():
                break
            health = self._health[name]
            ejection_s = MIN_EJECTION_S
            if now - health.restored_at_s < MAX_EJECTION_S and health.ejection_s:
                ejection_s = min(health.ejection_s * 2, MAX_EJECTION_S)
            _eject(health, Verdict.SLOW, ejection_s, now)
            ejected.append(name)
        self.newly_slow += ejected
        return ejected

    def eject_for_peer(self, upstream: str, now: Seconds) -> None:
        """Eject an upstream that another router just found slow.

        A probe by this router ends the ejection.
        """
        health = self._health.get(upstream)
        if health is None or health.verdict is not Verdict.GOOD:
            return
        if self._may_eject_one_more():
            _eject(health, Verdict.SLOW, MIN_EJECTION_S, now)

    def _may_eject_one_more(self) -> bool:
        ejected = sum(1 for h in self._health.values() if h.verdict is not Verdict.GOOD)
        allowed = max(1, int(len(self._health) * self._max_ejected_fraction))
        return len(self._health) > 1 and ejected < allowed

    def _apply_probe_result(self, health, ttft_s: Seconds, now: Seconds) -> None:
        health.is_probing = False
        median_s = max(self.median_ttft_s(), TTFT_NOISE_S)
        if ttft_s > PROBE_PASS_RATIO * median_s and health.verdict is Verdict.SLOW:
            ejection_s = min(health.ejection_s * 2, MAX_EJECTION_S)
            _eject(health, health.verdict, ejection_s, now)
            return
        health.verdict = Verdict.GOOD
        health.restored_at_s = now
        health.verdict_since_s = now
        health.ttft_s = ttft_s
        health.samples = 1
        health.tbt_s = 0.0
        health.longest_wait_s = 0.0


def _slowness(health: UpstreamHealth, ttft_s: Seconds, tbt_s: Seconds) -> float:
    """Return the larger ratio of an upstream's two times to the pool's medians."""
    ratio = 0.0
    if ttft_s:
        own_ttft_s = health.ttft_s if health.samples >= MIN_SAMPLES else 0.0
        own_ttft_s = max(own_ttft_s, health.longest_wait_s)
        ratio = own_ttft_s / max(ttft_s, TTFT_NOISE_S)
    if tbt_s and health.tbt_s:
        ratio = max(ratio, health.tbt_s / max(tbt_s, TBT_NOISE_S))
    return ratio


def _eject(health: UpstreamHealth, verdict: Verdict, ejection_s: Seconds, now: Seconds):
    health.verdict = verdict
    health.verdict_since_s = now
    health.ejection_s = ejection_s
    health.probe_from_s = now + ejection_s
    health.is_probing = False


def _median(values: Iterable[float]) -> float:
    measured = list(values)
    return statistics.median_low(measured) if measured else 0.0
