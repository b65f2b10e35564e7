"""A retry budget: retries stay a small share of recent successes."""

from __future__ import annotations

from shallotpoint.types import Seconds

DEPOSIT = 0.1  # retries earned by one success
CAPACITY = 10.0  # most retries that can be saved up
FLOOR_PER_S = 0.2  # retries allowed per second without any success


class RetryBudget:
    """Permits retries in proportion to successes.

    Parameters
    ----------
    deposit : float
        Retries that one success earns.
    capacity : float
        Largest number of saved retries; also the first balance.
    floor_per_s : float
        Retries a second that are earned without any success.

    Examples
    --------
    >>> budget = RetryBudget(deposit=0.5, capacity=1.0, floor_per_s=0.0)
    >>> budget.spend(now=0.0), budget.spend(now=0.0)
    (True, False)
    >>> budget.succeed(now=1.0); budget.succeed(now=1.0)
    >>> budget.spend(now=1.0)
    True
    """

    def __init__(
        self,
        *,
        deposit: float = DEPOSIT,
        capacity: float = CAPACITY,
        floor_per_s: float = FLOOR_PER_S,
    ):
        self._deposit = deposit
        self._capacity = capacity
        self._floor_per_s = floor_per_s
        self._balance = capacity
        self._updated_s: Seconds | None = None

    def succeed(self, now: Seconds) -> None:
        """Earn a part of a retry."""
        self._refill(now)
        self._balance = min(self._capacity, self._balance + self._deposit)

    def spend(self, now: Seconds) -> bool:
        """Take one retry; False when there is none to take."""
        self._refill(now)
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True

    def _refill(self, now: Seconds) -> None:
        last_s = now if self._updated_s is None else self._updated_s
        earned = max(0.0, now - last_s) * self._floor_per_s
        self._balance = min(self._capacity, self._balance + earned)
        self._updated_s = now
