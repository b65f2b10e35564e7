"""Memory for the response bodies that a router holds, shared by all requests."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

DEFAULT_TOTAL_BYTES = 64 << 20  # leaves room for the rest of a router in 300 MB
FREE_BYTES = 64 << 10  # of each body that are not counted; most bodies are smaller


class BodyMemory:
    """Limits the size of all response bodies together.

    A single limit for each body is not enough: many upstreams may send without end at
    the same time.

    Examples
    --------
    >>> memory = BodyMemory(total_bytes=100)
    >>> with memory.reservation() as body:
    ...     body.grow(FREE_BYTES + 60), body.grow(60), memory.used_bytes
    (True, False, 60)
    >>> memory.used_bytes
    0
    """

    def __init__(self, *, total_bytes: int = DEFAULT_TOTAL_BYTES):
        self.total_bytes = total_bytes
        self.used_bytes = 0

    @contextlib.contextmanager
    def reservation(self) -> Iterator[BodyReservation]:
        """Yield the reservation of one request; its bytes are freed at the end."""
        reservation = BodyReservation(self)
        try:
            yield reservation
        finally:
            self.used_bytes -= reservation.counted_bytes


class BodyReservation:
    """The bytes that the bodies of one request take of a :class:`BodyMemory`."""

    def __init__(self, memory: BodyMemory):
        self.counted_bytes = 0
        self._memory = memory
        self._size_bytes = 0

    def grow(self, size_bytes: int) -> bool:
        """Add bytes of a body; return whether there is memory for them."""
        counted = max(0, self._size_bytes + size_bytes - FREE_BYTES)
        added = counted - self.counted_bytes
        if added and self._memory.used_bytes + added > self._memory.total_bytes:
            return False
        self._size_bytes += size_bytes
        self._memory.used_bytes += added
        self.counted_bytes = counted
        return True
