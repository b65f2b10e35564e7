"""Revisions and lease ids of a service that may come back from a backup.

Such a service gives out again the numbers that it gave out after the backup, and says
at each return that a new era has begun.  A revision or lease id therefore contains the
era, so that those of a later era are always higher.
"""

from __future__ import annotations

from typing import NamedTuple

NUMBER_BITS = 48  # of a revision or lease id within one era


class EraNumber(NamedTuple):
    """A number that the service gave out, and the era in which it did."""

    era: int
    number: int


def join_era(era: int, number: int) -> int:
    """Return a number that is unique over all eras; 0, which stands for none, stays.

    Examples
    --------
    >>> join_era(1, 5) > join_era(0, 900)
    True
    >>> split_era(join_era(1, 5))
    EraNumber(era=1, number=5)
    """
    return (era << NUMBER_BITS) + number if number else 0


def split_era(value: int) -> EraNumber:
    """Return the era of a revision or lease id, and the number within the era."""
    return EraNumber(value >> NUMBER_BITS, value & ((1 << NUMBER_BITS) - 1))
