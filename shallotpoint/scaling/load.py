"""Load of a pool over the last tens of seconds."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping

from shallotpoint.scaling.model import LoadSummary
from shallotpoint.types import Seconds

WINDOW_S = 40.0  # two swings of the load, which have periods of about 17 s
MAX_GROWTH = 0.5  # of the peak; a burst is a step, not a slope that goes on


class LoadWindow:
    """Measurements of the load; old ones are dropped as new ones arrive.

    Examples
    --------
    >>> window = LoadWindow()
    >>> for second in range(5):
    ...     window.record(10.0 * second, {"west": 10.0 * second}, now=float(second))
    >>> summary = window.summary(boot_s=2.0, now=4.0)
    >>> summary.peak, summary.ahead
    (40.0, 60.0)
    """

    def __init__(self) -> None:
        self._samples: deque[tuple[Seconds, float, Mapping[str, float]]] = deque()

    def record(
        self, load: float, by_data_centre: Mapping[str, float], now: Seconds
    ) -> None:
        """Add a measurement: all requests, and those running in each data centre."""
        self._samples.append((now, load, by_data_centre))
        while now - self._samples[0][0] > WINDOW_S:
            self._samples.popleft()

    def summary(self, boot_s: Seconds, now: Seconds) -> LoadSummary:
        """Return the load and what to expect within the boot time of a server."""
        if not self._samples:
            return LoadSummary()
        newest_s, latest, _ = self._samples[-1]
        loads = [load for _, load, _ in self._samples]
        peak = ahead = max(loads)
        earlier = [load for at, load, _ in self._samples if at <= newest_s - boot_s]
        # Below an earlier peak the rise is part of a known swing.
        if earlier and latest > max(earlier):
            ahead = peak + min(latest - max(earlier), MAX_GROWTH * peak)
        return LoadSummary(
            latest=latest,
            mean=sum(loads) / len(loads),
            peak=peak,
            ahead=ahead,
            span_s=newest_s - self._samples[0][0],
            age_s=max(0.0, now - newest_s),
        )

    def mean_load(self, data_centre: str) -> float:
        """Return the mean number of requests that ran in a data centre."""
        if not self._samples:
            return 0.0
        total = sum(by_name.get(data_centre, 0.0) for _, _, by_name in self._samples)
        return total / len(self._samples)
