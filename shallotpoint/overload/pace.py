"""Time between the events of a stream, by the number of requests on its engine.

One router has few streams on each engine, and none on many engines, so the engines of
a pool share one model, and each has a factor by which it is slower than the model.
"""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.policy.decay import decay_factor
from shallotpoint.types import Seconds

HALF_LIFE_S = 4.0  # the mix of prompts changes within seconds
MIN_WEIGHT = 20.0  # decayed number of samples before the model is used
# Share of the time between events that grows with the number of requests, if the
# samples do not tell: with a batch far from full, about half is fixed.
PRIOR_VARIABLE_SHARE = 0.5
# Variance in the number of requests at which samples and prior count alike.
PRIOR_VARIANCE = 16.0
FACTOR_GAIN = 0.05  # weight of the newest sample
FACTOR_RANGE = (0.3, 5.0)  # so that one outlier cannot exclude an engine
FACTOR_HALF_LIFE_S = 10.0  # of the deviation from 1 without samples


class EventPace:
    """Linear model of the time between events, from samples that decay with age."""

    def __init__(self) -> None:
        self._updated_s: Seconds = 0.0
        self._weight = 0.0
        self._requests = 0.0
        self._gaps = 0.0
        self._requests_squared = 0.0
        self._products = 0.0

    def add(self, requests: int, gap_s: Seconds, now: Seconds) -> None:
        """Add the time between two events of a stream.

        Parameters
        ----------
        requests : int
            Requests on its engine, of all routers.
        """
        decay = decay_factor(now - self._updated_s, HALF_LIFE_S)
        self._updated_s = now
        self._weight = decay * self._weight + 1.0
        self._requests = decay * self._requests + requests
        self._gaps = decay * self._gaps + gap_s
        self._requests_squared = decay * self._requests_squared + requests * requests
        self._products = decay * self._products + requests * gap_s

    def is_known(self, now: Seconds) -> bool:
        """Return whether there are enough recent samples."""
        decay = decay_factor(now - self._updated_s, HALF_LIFE_S)
        return self._weight * decay >= MIN_WEIGHT

    def gap_s(self, requests: float) -> Seconds:
        """Return the expected time between events with a number of requests."""
        mean_requests, mean_gap_s, slope_s = self._line()
        return max(0.0, mean_gap_s + slope_s * (requests - mean_requests))

    def requests_within(self, gap_s: Seconds) -> float:
        """Return with how many requests the time between events has a given value."""
        mean_requests, mean_gap_s, slope_s = self._line()
        if slope_s <= 0.0:
            return float("inf") if mean_gap_s <= gap_s else 0.0
        return mean_requests + (gap_s - mean_gap_s) / slope_s

    def _line(self) -> tuple[float, Seconds, Seconds]:
        """Return the mean number of requests, the mean gap and the gap's slope."""
        if not self._weight:
            return 0.0, 0.0, 0.0
        mean_requests = self._requests / self._weight
        mean_gap_s = self._gaps / self._weight
        if mean_requests <= 0.0:
            return mean_requests, mean_gap_s, 0.0
        variance = self._requests_squared / self._weight - mean_requests**2
        covariance = self._products / self._weight - mean_requests * mean_gap_s
        largest_s = mean_gap_s / mean_requests
        slope_s = (covariance + PRIOR_VARIABLE_SHARE * largest_s * PRIOR_VARIANCE) / (
            max(0.0, variance) + PRIOR_VARIANCE
        )
        return mean_requests, mean_gap_s, min(largest_s, max(0.0, slope_s))


@dataclass(slots=True)
class EngineFactor:
    """How much slower one engine is than the model of its pool."""

    value: float = 1.0
    updated_s: Seconds = 0.0

    def add(self, ratio: float, now: Seconds) -> None:
        """Add a measured time between events, as a multiple of the expected one."""
        low, high = FACTOR_RANGE
        present = self.current(now)
        ratio = min(high, max(low, ratio))
        self.value = present + FACTOR_GAIN * (ratio - present)
        self.updated_s = now

    def current(self, now: Seconds) -> float:
        """Return the factor; it approaches 1 while nothing is measured."""
        return 1.0 + (self.value - 1.0) * decay_factor(
            now - self.updated_s, FACTOR_HALF_LIFE_S
        )
