"""A value under compare-and-swap whose lost answers are found out."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from shallotpoint.coordination.kv import (
    Entry,
    Expect,
    KeyValue,
    OutcomeUnknown,
    Put,
    Unavailable,
)
from shallotpoint.types import Revision

RECENT_KEPT = 64  # change ids by which a lost answer is found again
MAX_VALUE_BYTES = 1_000_000
MAX_READ_BACKS = 5
MAX_ATTEMPTS = 16


class ChangeUnknown(Exception):
    """A change was sent and its outcome could not be read back."""


class ValueTooLarge(Exception):
    """A value is larger than the service holds."""


class Contention(Exception):
    """Others kept changing the value; nothing was stored."""


class _Envelope(msgspec.Struct, array_like=True):
    recent: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class Versioned:
    """A value as read at one revision.

    Attributes
    ----------
    revision : int
        Revision of the last change; 0 when nothing is stored.
    recent : tuple of str
        Ids of the last changes, oldest first.
    """

    revision: Revision = 0
    body: bytes = b""
    recent: tuple[str, ...] = ()


def read_versioned(entry: Entry | None) -> Versioned:
    """Return the value in a stored entry."""
    if entry is None:
        return Versioned()
    envelope = msgspec.msgpack.decode(entry.value, type=_Envelope)
    return Versioned(entry.revision, envelope.body, envelope.recent)


class CasCell:
    """One key that many writers change without losing each other's changes.

    An answer that is lost after the write took effect is resolved by reading
    back the ids of recent changes.  A write is never repeated blindly: each
    retry is conditional on the revision that was read.

    Parameters
    ----------
    kv : KeyValue
        The service that holds the key.
    rng : random.Random
        Source of change ids.

    Examples
    --------
    >>> import asyncio, time
    >>> from shallotpoint.coordination.memory_kv import MemoryKeyValue
    >>> kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
    >>> cell = CasCell(kv, "counter", rng=random.Random(2))
    >>> asyncio.run(cell.update(lambda body: body + b"x")).body
    b'x'
    """

    def __init__(self, kv: KeyValue, key: str, *, rng: random.Random):
        self._kv = kv
        self._key = key
        self._rng = rng

    def new_change_id(self) -> str:
        """Return an id for one intended change."""
        return f"{self._rng.getrandbits(64):016x}"

    async def read(self) -> Versioned:
        """Return the present value; Unavailable when it cannot be read."""
        return read_versioned(await self._kv.get(self._key))

    async def swap(
        self, seen: Versioned, body: bytes, change_id: str
    ) -> Versioned | None:
        """Store a value if nobody changed it since it was seen.

        Returns
        -------
        Versioned or None
            What is stored with this change in it, or None if another change
            came first.

        Raises
        ------
        ChangeUnknown
            The write was sent and could not be read back.
        Unavailable
            Nothing was stored.
        """
        recent = (*seen.recent, change_id)[-RECENT_KEPT:]
        value = msgspec.msgpack.encode(_Envelope(recent, body))
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{self._key} would have {len(value)} bytes")
        expect = Expect(self._key, seen.revision)
        sent = False
        try:
            outcome = await self._kv.txn([expect], [Put(self._key, value)])
            if outcome.succeeded:
                return Versioned(outcome.revision, body, recent)
        except OutcomeUnknown:
            sent = True
        # What it lost to may be an earlier try of this same change.
        stored = await self._read_back(sent=sent)
        return stored if change_id in stored.recent else None

    async def update(self, change: Callable[[bytes], bytes]) -> Versioned:
        """Apply a function to the value, again if others come first."""
        change_id = self.new_change_id()
        for _ in range(MAX_ATTEMPTS):
            seen = await self.read()
            if change_id in seen.recent:
                return seen
            stored = await self.swap(seen, change(seen.body), change_id)
            if stored is not None:
                return stored
        raise Contention(f"{self._key} was changed {MAX_ATTEMPTS} times meanwhile")

    async def _read_back(self, *, sent: bool) -> Versioned:
        for _ in range(MAX_READ_BACKS):
            try:
                return await self.read()
            except Unavailable as exc:
                last = exc
        if sent:
            raise ChangeUnknown(f"{self._key} could not be read back") from last
        raise last
