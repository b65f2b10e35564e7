"""How much of what was seen still counts later."""

from __future__ import annotations

from shallotpoint.types import Seconds


def half_life(age_s: Seconds, half_s: Seconds) -> float:
    """Return the part that is left after some time of what halves in ``half_s``.

    Examples
    --------
    >>> half_life(0.0, 2.0), half_life(4.0, 2.0), half_life(-1.0, 2.0)
    (1.0, 0.25, 1.0)
    """
    return 0.5 ** (max(0.0, age_s) / half_s)
