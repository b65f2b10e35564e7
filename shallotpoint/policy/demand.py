"""Recent demand of a class: rates of arrivals and departures, and slot times."""

from __future__ import annotations

import math

from shallotpoint.types import Seconds

FAST_TIME_CONSTANT_S = 1.0  # follows peaks of the load
SLOW_TIME_CONSTANT_S = 10.0  # still shows the last peak
IDLE_AFTER_S = 30.0  # a class without arrivals for this long has no demand
_HOLD_TIME_GAIN = 0.1  # weight of the newest sample


class DecayingRate:
    """Rate of events whose weight decays exponentially with age.

    Parameters
    ----------
    time_constant_s : float
        Time constant of the decay, in seconds.
    """

    def __init__(self, time_constant_s: Seconds):
        self._time_constant_s = time_constant_s
        self._value = 0.0
        self._updated_s = 0.0

    def add(self, now: Seconds, count: float = 1.0) -> None:
        """Add events that happen at ``now``."""
        self._value = self.per_s(now) + count / self._time_constant_s
        self._updated_s = now

    def per_s(self, now: Seconds) -> float:
        """Return the rate in events per second."""
        age_s = max(0.0, now - self._updated_s)
        return self._value * math.exp(-age_s / self._time_constant_s)


class Demand:
    """Recent demand of one class on one pool.

    Attributes
    ----------
    mean_hold_s : float
        Moving average of the time that a request holds a slot, in seconds.
    """

    def __init__(self) -> None:
        self.arrivals_fast = DecayingRate(FAST_TIME_CONSTANT_S)
        self.arrivals_slow = DecayingRate(SLOW_TIME_CONSTANT_S)
        self.departures = DecayingRate(5.0)
        self.mean_hold_s: Seconds = 0.0
        self.last_arrival_s: Seconds = -math.inf

    def record_arrival(self, now: Seconds) -> None:
        """Count the arrival of a request."""
        self.arrivals_fast.add(now)
        self.arrivals_slow.add(now)
        self.last_arrival_s = now

    def record_departure(self, now: Seconds, held_s: Seconds) -> None:
        """Count a request that freed its slot after ``held_s`` seconds."""
        self.departures.add(now)
        if self.mean_hold_s:
            self.mean_hold_s += _HOLD_TIME_GAIN * (held_s - self.mean_hold_s)
        else:
            self.mean_hold_s = held_s

    def is_active(self, now: Seconds) -> bool:
        """Return whether a request of the class arrived recently."""
        return now - self.last_arrival_s < IDLE_AFTER_S

    def slots_wanted(self, now: Seconds, *, momentary: bool = False) -> float:
        """Return the slots that the recent demand needs.

        This is the mean from the arrival rate and the slot time, and one standard
        deviation of random arrivals as headroom.

        Parameters
        ----------
        momentary : bool
            Use the rate of the last second only, not the last peak.
        """
        if not self.is_active(now):
            return 0.0
        per_s = self.arrivals_fast.per_s(now)
        if not momentary:
            per_s = max(per_s, self.arrivals_slow.per_s(now))
        mean = per_s * self.mean_hold_s
        return mean + math.sqrt(mean)
