"""Retry budgets: they bound retries by recent successes or requests."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass

from shallotpoint.types import Seconds

RETRIES_PER_SUCCESS = 0.1
MAX_SAVED_RETRIES = 10.0
MIN_RETRIES_PER_S = 0.2  # retries allowed without any success
# A router that is missing from the list is back or has ended by then.
ROUTER_COUNT_DROP_DELAY_S = 60.0


class RetryBudget:
    """Permits retries in proportion to successes.

    Parameters
    ----------
    deposit : float
        Retries that one success earns.
    capacity : float
        Largest number of saved retries; also the initial balance.
    floor_per_s : float
        Retries per second that are earned without any success.

    Examples
    --------
    >>> budget = RetryBudget(deposit=0.5, capacity=1.0, floor_per_s=0.0)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    >>> budget.record_success(now=1.0); budget.record_success(now=1.0)
    >>> budget.try_spend(now=1.0)
    True
    """

    def __init__(
        self,
        *,
        deposit: float = RETRIES_PER_SUCCESS,
        capacity: float = MAX_SAVED_RETRIES,
        floor_per_s: float = MIN_RETRIES_PER_S,
    ):
        self._deposit = deposit
        self._capacity = capacity
        self._floor_per_s = floor_per_s
        self._balance = capacity
        self._updated_s: Seconds | None = None

    def record_success(self, now: Seconds) -> None:
        """Record a success, which earns a fraction of a retry."""
        self._refill(now)
        self._balance = min(self._capacity, self._balance + self._deposit)

    def try_spend(self, now: Seconds, *, unspent_share: float = 0.0) -> bool:
        """Use one retry; return False if none is left.

        Parameters
        ----------
        unspent_share : float
            Fraction of the capacity that must remain.
        """
        self._refill(now)
        if self._balance < 1.0 + unspent_share * self._capacity:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now: Seconds) -> None:
        last_s = now if self._updated_s is None else self._updated_s
        earned = max(0.0, now - last_s) * self._floor_per_s
        self._balance = min(self._capacity, self._balance + earned)
        self._updated_s = now


@dataclass(frozen=True, slots=True)
class SharedRetryBudget:
    """Limits on the retries of all routers together for one pool.

    Attributes
    ----------
    ratio : float
        Retries allowed for each request.
    slack : float
        Retries allowed in a window in addition.
    window_s : float
        Length of the sliding window, in seconds.
    margin : float
        Fraction of the budget that is used; the rest allows for routers that count
        differently.
    """

    ratio: float = 0.2
    slack: float = 10.0
    window_s: Seconds = 10.0
    margin: float = 0.7


class WindowRetryBudget:
    """Budget of one router within a :class:`SharedRetryBudget`, over a sliding window.

    A restarted process does not know what its predecessor spent, so it gets its
    fraction of the slack only once a whole window has passed since its start.

    Parameters
    ----------
    routers : int
        Number of routers that share the budget.
    started_s : float
        When the process started, in seconds.

    Examples
    --------
    >>> budget = WindowRetryBudget(SharedRetryBudget(slack=2.0, margin=1.0), routers=2)
    >>> budget.try_spend(now=0.0), budget.try_spend(now=0.0)
    (True, False)
    >>> for _ in range(5):
    ...     budget.record_request(now=1.0)
    >>> budget.try_spend(now=1.0), budget.try_spend(now=1.0)
    (True, False)
    >>> budget.try_spend(now=11.5)
    True
    """

    def __init__(
        self,
        shared: SharedRetryBudget,
        *,
        routers: int = 1,
        started_s: Seconds = -math.inf,
    ):
        self.shared = shared
        self.started_s = started_s
        self._routers = routers
        self._previous_counts: deque[tuple[Seconds, int]] = deque()
        self._requests: deque[Seconds] = deque()
        self._retries: deque[Seconds] = deque()

    def set_routers(self, count: int, now: Seconds) -> None:
        """Set how many routers share the budget; a lower number takes effect later.

        A router whose entry in the list expired during an outage may still run, so
        the slack is not divided among fewer routers at once.
        """
        if count != self._routers:
            self._previous_counts.append(
                (now + ROUTER_COUNT_DROP_DELAY_S, self._routers)
            )
            self._routers = count

    def record_request(self, now: Seconds) -> None:
        """Count a new request."""
        self._requests.append(now)
        self._drop_old(now)

    def record_success(self, now: Seconds) -> None:
        """Do nothing: the budget grows with requests, not with successes."""

    def try_spend(self, now: Seconds, *, unspent_share: float = 0.0) -> bool:
        """Use one retry; return False if none is left in the window.

        Parameters
        ----------
        unspent_share : float
            Fraction of the budget that must remain.
        """
        self._drop_old(now)
        shared = self.shared
        allowed = shared.ratio * len(self._requests)
        if now - self.started_s >= shared.window_s:
            allowed += shared.slack / self._router_count(now)
        allowed *= shared.margin * (1.0 - unspent_share)
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _router_count(self, now: Seconds) -> int:
        while self._previous_counts and self._previous_counts[0][0] <= now:
            self._previous_counts.popleft()
        return max(1, self._routers, *(count for _, count in self._previous_counts))

    def _drop_old(self, now: Seconds) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self.shared.window_s:
                times.popleft()
