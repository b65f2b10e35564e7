"""A value that is changed by compare-and-swap and tolerates lost answers."""

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

MAX_CHANGE_IDS = 64  # change ids stored with a value, to resolve lost answers
MAX_VALUE_BYTES = 1_000_000
MAX_READ_BACK_ATTEMPTS = 5
MAX_UPDATE_ATTEMPTS = 16


class ChangeOutcomeUnknown(Exception):
    """A change was sent, and whether it took effect could not be read back."""


class ValueTooLarge(Exception):
    """A value is larger than the service can store."""


class Contention(Exception):
    """Each attempt lost to a concurrent change; nothing was stored."""


class _Envelope(msgspec.Struct, array_like=True):
    recent_change_ids: tuple[str, ...]
    body: bytes


@dataclass(frozen=True, slots=True)
class VersionedValue:
    """A value as stored at one revision.

    Attributes
    ----------
    revision : int
        Revision of the last change; 0 if nothing is stored.
    body : bytes
        The value itself.
    recent_change_ids : tuple of str
        Ids of the last changes, oldest first.
    """

    revision: Revision = 0
    body: bytes = b""
    recent_change_ids: tuple[str, ...] = ()


def decode_versioned(entry: Entry | None) -> VersionedValue:
    """Decode the value in a stored entry; None stands for a key that is not stored."""
    if entry is None:
        return VersionedValue()
    envelope = msgspec.msgpack.decode(entry.value, type=_Envelope)
    return VersionedValue(entry.revision, envelope.body, envelope.recent_change_ids)


class CasCell:
    """One key that many writers change without losing each other's changes.

    Each write is conditional on the revision that was read, so a retry cannot
    overwrite a concurrent change.  The ids of recent changes are stored with the value:
    a writer that got no answer reads the value back and looks for the id of its change.

    Parameters
    ----------
    kv : KeyValue
        The service that stores the key.
    key : str
        The key of the value.
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
        """Return a new random id for a change; its retries use the same id."""
        return f"{self._rng.getrandbits(64):016x}"

    async def read(self) -> VersionedValue:
        """Return the current value.

        Raises
        ------
        Unavailable
            The value could not be read.
        """
        return decode_versioned(await self._kv.get(self._key))

    async def swap(
        self, base: VersionedValue, body: bytes, change_id: str
    ) -> VersionedValue | None:
        """Store a value if it was not changed since it was read.

        Parameters
        ----------
        base : VersionedValue
            The value as it was read.
        body : bytes
            The new value.
        change_id : str
            Id of the change, from :meth:`new_change_id`.

        Returns
        -------
        VersionedValue or None
            A stored value that includes this change, or None if another change came
            first.

        Raises
        ------
        ChangeOutcomeUnknown
            The write was sent and could not be read back.
        Unavailable
            Nothing was stored.
        ValueTooLarge
            The value is too large; nothing was stored.
        """
        recent_change_ids = (*base.recent_change_ids, change_id)[-MAX_CHANGE_IDS:]
        value = msgspec.msgpack.encode(_Envelope(recent_change_ids, body))
        if len(value) > MAX_VALUE_BYTES:
            raise ValueTooLarge(f"{self._key} would have {len(value)} bytes")
        expect = Expect(self._key, base.revision)
        outcome_unknown = False
        try:
            outcome = await self._kv.txn([expect], [Put(self._key, value)])
            if outcome.succeeded:
                return VersionedValue(outcome.revision, body, recent_change_ids)
        except OutcomeUnknown:
            outcome_unknown = True
        # The conflicting write may be an earlier attempt at this same change.
        stored = await self._read_back(outcome_unknown=outcome_unknown)
        return stored if change_id in stored.recent_change_ids else None

    async def update(self, change: Callable[[bytes], bytes]) -> VersionedValue:
        """Replace the value by a function of it, retrying after concurrent changes.

        Raises
        ------
        ChangeOutcomeUnknown
            A write was sent and could not be read back.
        Contention
            Each attempt lost to a concurrent change.
        Unavailable
            The value could not be read or written.
        """
        change_id = self.new_change_id()
        for _ in range(MAX_UPDATE_ATTEMPTS):
            current = await self.read()
            if change_id in current.recent_change_ids:
                return current
            stored = await self.swap(current, change(current.body), change_id)
            if stored is not None:
                return stored
        raise Contention(
            f"{self._key} was changed {MAX_UPDATE_ATTEMPTS} times meanwhile"
        )

    async def _read_back(self, *, outcome_unknown: bool) -> VersionedValue:
        for _ in range(MAX_READ_BACK_ATTEMPTS):
            try:
                return await self.read()
            except Unavailable as exc:
                last = exc
        if outcome_unknown:
            raise ChangeOutcomeUnknown(f"{self._key} could not be read back") from last
        raise last
