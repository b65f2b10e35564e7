"""Exponential decay of measured values."""

from __future__ import annotations

from shallotpoint.types import Seconds


def decay_factor(age_s: Seconds, half_life_s: Seconds) -> float:
    """Return the factor by which a value decays within a time.

    Parameters
    ----------
    age_s : float
        Time since the measurement, in seconds; a negative one counts as 0.
    half_life_s : float
        Time in which the value halves, in seconds.

    Examples
    --------
    >>> [decay_factor(age_s, 2.0) for age_s in (0.0, 4.0, -1.0)]
    [1.0, 0.25, 1.0]
    """
    return 0.5 ** (max(0.0, age_s) / half_life_s)
