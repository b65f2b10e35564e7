"""One account for the memory that clients make a process hold."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

from shallotpoint.types import Seconds

SMALL_BYTES = 64 << 10  # most requests are smaller; they may use all of the account
LARGE_SHARE = 0.75  # of the account, for connections that hold more than that
STALL_S = 1.0  # without a byte, before an incomplete request counts as stalled


@dataclass(slots=True)
class Holding:
    """What one connection holds.

    Attributes
    ----------
    number : int
        Number of the connection; later ones have higher numbers.
    drop : Callable
        Refuses the request that is being read, and closes the connection.
    size_bytes : int
        All that is charged.
    incomplete_bytes : int
        Part of it that belongs to a request that is not complete.
    progress_s : float
        Time at which its last bytes came.
    """

    number: int
    drop: Callable[[], None]
    size_bytes: int = 0
    incomplete_bytes: int = 0
    progress_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Held:
    """An incomplete request, as the choice of those to be dropped sees it."""

    number: int
    size_bytes: int
    progress_s: Seconds


def choose_dropped(
    requests: Iterable[Held],
    needed_bytes: int,
    now: Seconds,
    *,
    needed_by_small: bool,
) -> tuple[int, ...]:
    """Return the numbers of the requests to drop, so that bytes become free.

    Stalled requests are dropped first, the largest of them before others and the newer
    of two.  For a small request, larger ones that make progress are dropped as well.
    Nothing is dropped if that would not free enough.

    Parameters
    ----------
    requests : iterable of Held
        Requests whose bytes have not all come.
    needed_by_small : bool
        Whether the bytes are needed by a small request.

    Examples
    --------
    >>> idle = Held(1, 900_000, progress_s=0.0)
    >>> busy = Held(2, 900_000, progress_s=9.9)
    >>> choose_dropped([idle, busy], 500_000, 10.0, needed_by_small=False)
    (1,)
    >>> choose_dropped([busy], 500_000, 10.0, needed_by_small=False)
    ()
    >>> choose_dropped([busy], 500_000, 10.0, needed_by_small=True)
    (2,)
    """
    large = [r for r in requests if r.size_bytes > SMALL_BYTES]
    stalled = {r.number for r in large if now - r.progress_s >= STALL_S}
    if not needed_by_small:
        large = [r for r in large if r.number in stalled]
    large.sort(key=lambda r: (r.number not in stalled, -r.size_bytes, -r.number))
    dropped = []
    freed_bytes = 0
    for request in large:
        if freed_bytes >= needed_bytes:
            break
        freed_bytes += request.size_bytes
        dropped.append(request.number)
    return tuple(dropped) if freed_bytes >= needed_bytes else ()


class CallerMemory:
    """The account of all connections of a process.

    Examples
    --------
    >>> memory = CallerMemory(total_bytes=1_000_000)
    >>> first, second = (Holding(n, drop=lambda: None) for n in (1, 2))
    >>> memory.grow(first, 700_000, now=0.0), memory.grow(second, 90_000, now=0.0)
    (True, False)
    >>> memory.grow(second, 60_000, now=0.0), memory.used_bytes
    (True, 760000)
    """

    def __init__(self, *, total_bytes: int):
        self.total_bytes = total_bytes
        self.used_bytes = 0
        self._incomplete: dict[int, Holding] = {}

    @property
    def large_bytes(self) -> int:
        """Size of the account for connections that hold more than ``SMALL_BYTES``."""
        return int(self.total_bytes * LARGE_SHARE)

    def grow(self, holding: Holding, size_bytes: int, now: Seconds) -> bool:
        """Charge bytes of an incomplete request; return whether there is room.

        Other requests may be dropped for it.
        """
        holding.progress_s = now
        is_small = holding.size_bytes + size_bytes <= SMALL_BYTES
        limit_bytes = self.total_bytes if is_small else self.large_bytes
        excess_bytes = self.used_bytes + size_bytes - limit_bytes
        if excess_bytes > 0 and not self._make_room(
            holding, excess_bytes, now, is_small
        ):
            return False
        self.used_bytes += size_bytes
        holding.size_bytes += size_bytes
        holding.incomplete_bytes += size_bytes
        if holding.incomplete_bytes > SMALL_BYTES:
            self._incomplete[holding.number] = holding
        return True

    def complete(self, holding: Holding) -> int:
        """Note that all of a request came; return the bytes that it is charged."""
        charged_bytes, holding.incomplete_bytes = holding.incomplete_bytes, 0
        self._incomplete.pop(holding.number, None)
        return charged_bytes

    def shrink(self, holding: Holding, size_bytes: int) -> None:
        """Take back a charge."""
        self.used_bytes -= size_bytes
        holding.size_bytes -= size_bytes

    def close(self, holding: Holding) -> None:
        """Take back all that a connection is charged."""
        self.complete(holding)
        self.shrink(holding, holding.size_bytes)

    def _make_room(
        self, holding: Holding, needed_bytes: int, now: Seconds, is_small: bool
    ) -> bool:
        others = [
            Held(h.number, h.incomplete_bytes, h.progress_s)
            for h in self._incomplete.values()
            if h is not holding
        ]
        dropped = choose_dropped(others, needed_bytes, now, needed_by_small=is_small)
        for number in dropped:
            self._incomplete[number].drop()
        return bool(dropped)
