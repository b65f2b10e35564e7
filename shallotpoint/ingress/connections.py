"""Which connection is closed as another one arrives and all places are taken."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Waiting:
    """A connection without a request that is complete and not yet answered.

    Attributes
    ----------
    since_s : float
        Time since which it has been waiting for a request or the rest of one.
    has_served : bool
        Whether an earlier request on it was complete.
    """

    number: int
    since_s: Seconds
    has_served: bool


def choose_closed(connections: Iterable[Waiting]) -> int | None:
    """Return the number of the connection to close, None if all are being served.

    Those that never sent a complete request come first, as most callers send one at
    once; then the one that has waited for longest.

    Examples
    --------
    >>> used, silent = Waiting(1, 5.0, True), Waiting(2, 8.0, False)
    >>> choose_closed([used, silent]), choose_closed([used]), choose_closed([])
    (2, 1, None)
    """
    order = sorted(connections, key=lambda c: (c.has_served, c.since_s, c.number))
    return order[0].number if order else None
