"""Recent demand of a class: arrivals, departures and how long slots are held."""

from __future__ import annotations

import math

from shallotpoint.types import Seconds

FAST_S = 1.0  # time constant that follows a crest
SLOW_S = 10.0  # time constant that remembers the last crest
IDLE_AFTER_S = 30.0  # a class without arrivals for this long reserves nothing
_HOLD_GAIN = 0.1


class DecayingRate:
    """Events per second, weighted by age with one time constant."""

    def __init__(self, constant_s: Seconds):
        self._constant_s = constant_s
        self._value = 0.0
        self._updated_s = 0.0

    def add(self, now: Seconds, count: float = 1.0) -> None:
        """Count events that happened now."""
        self._value = self.per_s(now) + count / self._constant_s
        self._updated_s = now

    def per_s(self, now: Seconds) -> float:
        """Return the rate in events per second."""
        age_s = max(0.0, now - self._updated_s)
        return self._value * math.exp(-age_s / self._constant_s)


class Demand:
    """What one class has asked of one pool lately."""

    def __init__(self) -> None:
        self.arrivals_fast = DecayingRate(FAST_S)
        self.arrivals_slow = DecayingRate(SLOW_S)
        self.departures = DecayingRate(5.0)
        self.hold_s: Seconds = 0.0
        self.last_arrival_s: Seconds = -math.inf

    def arrive(self, now: Seconds) -> None:
        """Count one arrival."""
        self.arrivals_fast.add(now)
        self.arrivals_slow.add(now)
        self.last_arrival_s = now

    def depart(self, now: Seconds, held_s: Seconds) -> None:
        """Count a request that held a slot for ``held_s`` seconds."""
        self.departures.add(now)
        if self.hold_s:
            self.hold_s += _HOLD_GAIN * (held_s - self.hold_s)
        else:
            self.hold_s = held_s

    def active(self, now: Seconds) -> bool:
        """Return whether the class has had work lately."""
        return now - self.last_arrival_s < IDLE_AFTER_S

    def slots_wanted(self, now: Seconds, *, momentary: bool = False) -> float:
        """Return the slots that the recent demand needs, with some headroom.

        Parameters
        ----------
        momentary : bool
            Count the last second only, not the last crest.
        """
        if not self.active(now):
            return 0.0
        per_s = self.arrivals_fast.per_s(now)
        if not momentary:
            per_s = max(per_s, self.arrivals_slow.per_s(now))
        mean = per_s * self.hold_s
        return mean + math.sqrt(mean)
