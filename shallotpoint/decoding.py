"""Decoding of bytes that others wrote: the errors, and the bounds of numbers.

Python's integers have no bound.  One above 1e308 raises OverflowError in arithmetic
with floats, and text of more than 4,300 digits raises ValueError when it is converted.
Numbers are therefore bounded where they are decoded.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec

# Very deep nesting raises RecursionError, also in a field that is not read.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
MAX_EXACT_INT = 1 << 53  # floats hold every integer up to here exactly

_WHOLE_NUMBER = re.compile(r"0*([0-9]{1,19})")


def parse_whole_number(text: str, *, limit: int = MAX_EXACT_INT) -> int | None:
    """Return a number written in the ASCII digits 0 to 9.

    None if the text holds anything else, or if the number is above ``limit``.

    Examples
    --------
    >>> parse_whole_number("0042"), parse_whole_number("4\u00b2")
    (42, None)
    """
    match = _WHOLE_NUMBER.fullmatch(text)
    if match is None:
        return None
    number = int(match[1])
    return number if number <= limit else None


def usable_number(raw: Any) -> float | None:
    """Return a decoded number from 0 to ``MAX_EXACT_INT``; None for anything else.

    Examples
    --------
    >>> usable_number(2.5), usable_number(10**400), usable_number(True)
    (2.5, None, None)
    """
    if not isinstance(raw, int | float) or isinstance(raw, bool):
        return None
    return raw if 0 <= raw <= MAX_EXACT_INT else None


def usable_positive(raw: Any) -> float | None:
    """Return a decoded number that may also divide; None for anything else.

    That is from ``1 / MAX_EXACT_INT`` to ``MAX_EXACT_INT``, so that products and
    quotients of two such numbers are finite and not 0.

    Examples
    --------
    >>> usable_positive(0.5), usable_positive(0), usable_positive(1e300)
    (0.5, None, None)
    """
    number = usable_number(raw)
    return None if number is None or number < 1 / MAX_EXACT_INT else number


def clamp_int(number: int, *, limit: int = MAX_EXACT_INT) -> int:
    """Return an integer, or the nearest one from ``-limit`` to ``limit``.

    Examples
    --------
    >>> clamp_int(7), clamp_int(-(10**400), limit=9)
    (7, -9)
    """
    return max(-limit, min(number, limit))
