"""A ledger of calls that may be executed at most once.

Before a call is sent, an intent is created under its key, on the condition
that no intent exists.  Keys carry the day, so that old entries are removed by
one call; creation is conditional on the neighbouring days as well.  Intents of
concurrent calls share one transaction, each with its own condition.
"""

from __future__ import annotations

import asyncio
import hashlib
from dataclasses import dataclass, replace
from enum import StrEnum

import msgspec

from shallotpoint.coordination.kv import (
    Delete,
    Entry,
    Expect,
    KeyValue,
    KeyValueError,
    OutcomeUnknown,
    Put,
    Unavailable,
)
from shallotpoint.types import Revision, Seconds

DAY_S = 86_400.0
KEPT_DAYS = 2  # today and the day before; older entries may be removed
MAX_ANSWER_BYTES = 64 << 10
MAX_BATCH = 40  # the service allows 128 operations; each intent needs three
MAX_READ_BACKS = 4


class LedgerUnavailable(Exception):
    """An intent could not be recorded for certain; do not send the call."""


class State(StrEnum):
    """What is known of a call."""

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Answer:
    """A stored answer; ``body`` is None when it was too large to store."""

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class Record:
    """What the ledger holds under one key.

    Attributes
    ----------
    attempt : str
        Id of the attempt that may send the call.
    content : str
        Digest of the call, to tell a repeat from another call.
    """

    attempt: str
    content: str
    state: State
    answer: Answer | None = None
    revision: Revision = 0


class _Stored(msgspec.Struct, array_like=True):
    attempt: str
    content: str
    state: State
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class Begun:
    """The intent is recorded: this attempt, and no other, may send."""

    key: str
    record: Record


@dataclass(frozen=True, slots=True)
class Known:
    """The call was seen before; what is known of it."""

    record: Record


def content_digest(*parts: bytes) -> str:
    """Return a digest of the parts of a call."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class _Pending:
    name: str
    record: Record
    day: int
    fut: asyncio.Future


class OnceLedger:
    """Records intents and outcomes in a key-value service.

    Parameters
    ----------
    kv : KeyValue
        The service that keeps the entries.
    prefix : str
        Start of all keys, with a slash at the end.

    Examples
    --------
    >>> import random, time
    >>> from shallotpoint.coordination.memory_kv import MemoryKeyValue
    >>> async def main():
    ...     kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
    ...     ledger = OnceLedger(kv, "/once/")
    ...     first = await ledger.begin("k1", "digest", "attempt-1", now=0.0)
    ...     again = await ledger.begin("k1", "digest", "attempt-2", now=1.0)
    ...     return type(first).__name__, type(again).__name__
    >>> asyncio.run(main())
    ('Begun', 'Known')
    """

    def __init__(self, kv: KeyValue, prefix: str):
        self._kv = kv
        self._prefix = prefix
        self._pending: list[_Pending] = []
        self._flushing: asyncio.Task | None = None
        self.writes = 0

    async def begin(
        self, name: str, content: str, attempt: str, *, now: Seconds
    ) -> Begun | Known:
        """Record the intent of one attempt, unless the call is known.

        Parameters
        ----------
        name : str
            The caller's idempotency key, made unique among callers.
        now : float
            Wall-clock time in seconds; may differ by hours among routers.

        Raises
        ------
        LedgerUnavailable
            Nothing may be sent.
        """
        record = Record(attempt, content, State.INTENT)
        day = int(now // DAY_S)
        found = await self._submit(_pending(name, record, day))
        if isinstance(found, Begun):
            return found
        stored = _read_record(found)
        if stored.attempt == attempt and stored.state is State.INTENT:
            return Begun(found.key, stored)
        if stored.state is State.NOT_RUN and stored.content == content:
            return await self._begin_again(found, record)
        return Known(stored)

    async def finish(self, begun: Begun, answer: Answer) -> bool:
        """Store the outcome; return whether that is certain."""
        if answer.body is not None and len(answer.body) > MAX_ANSWER_BYTES:
            answer = replace(answer, body=None)
        done = replace(begun.record, state=State.DONE, answer=answer)
        return await self._replace(begun, done)

    async def release(self, begun: Begun) -> bool:
        """Store that the call was not run, so that a repeat may run it."""
        return await self._replace(begun, replace(begun.record, state=State.NOT_RUN))

    async def look_up(self, name: str, *, now: Seconds) -> Record | None:
        """Return what is known of a call; Unavailable when it cannot be read."""
        for day in _days(now):
            entry = await self._kv.get(self._key(name, day))
            if entry is not None:
                return _read_record(entry)
        return None

    async def sweep(self, *, now: Seconds) -> None:
        """Remove entries that are older than they are promised to be kept."""
        oldest = int(now // DAY_S) - KEPT_DAYS
        changes = [
            Delete(f"{self._prefix}{day}/", prefix=True)
            for day in range(oldest - 7, oldest)
        ]
        await self._kv.txn([], changes)

    async def _begin_again(self, found: Entry, record: Record) -> Begun | Known:
        """Take over an entry whose call was certainly not run."""
        change = Put(found.key, _encode(record))
        expect = Expect(found.key, found.revision)
        try:
            outcome = await self._kv.txn([expect], [change])
            if outcome.succeeded:
                return Begun(found.key, replace(record, revision=outcome.revision))
        except Unavailable as exc:
            raise LedgerUnavailable(str(exc)) from exc
        except OutcomeUnknown:
            pass
        stored = _read_record(await self._read_back(found.key))
        if stored.attempt == record.attempt:
            return Begun(found.key, stored)
        return Known(stored)

    async def _replace(self, begun: Begun, record: Record) -> bool:
        expect = Expect(begun.key, begun.record.revision)
        for _ in range(MAX_READ_BACKS):
            try:
                self.writes += 1
                outcome = await self._kv.txn(
                    [expect], [Put(begun.key, _encode(record))]
                )
            except KeyValueError:
                continue
            if outcome.succeeded:
                return True
            stored = [_read_record(e) for e in outcome.found]
            return any(
                s.attempt == record.attempt and s.state is record.state for s in stored
            )
        return False

    # Batched creation

    def _key(self, name: str, day: int) -> str:
        digest = hashlib.blake2b(name.encode(), digest_size=16).hexdigest()
        return f"{self._prefix}{day}/{digest}"

    async def _submit(self, pending: _Pending) -> Begun | Entry:
        self._pending.append(pending)
        if self._flushing is None:
            self._flushing = asyncio.create_task(self._flush())
        return await pending.fut

    async def _flush(self) -> None:
        """Send waiting intents in batches, one transaction at a time."""
        try:
            await asyncio.sleep(0)
            while self._pending:
                batch = _distinct(self._pending)[:MAX_BATCH]
                taken = {id(p) for p in batch}
                self._pending = [p for p in self._pending if id(p) not in taken]
                await self._create(batch)
        finally:
            self._flushing = None

    async def _create(self, batch: list[_Pending]) -> None:
        """Create a batch; entries that exist already leave the batch."""
        while batch:
            try:
                found = await self._try_create(batch)
            except LedgerUnavailable as exc:
                for pending in batch:
                    _resolve(pending, exc)
                return
            except Exception as exc:
                for pending in batch:
                    _resolve(pending, LedgerUnavailable(repr(exc)))
                raise
            batch = self._settle(batch, found)

    async def _try_create(self, batch: list[_Pending]) -> dict[str, Entry] | None:
        """Return None if all were created, else the entries in the way."""
        expects = [
            Expect(self._key(p.name, day), 0)
            for p in batch
            for day in (p.day - 1, p.day, p.day + 1)
        ]
        changes = [Put(self._key(p.name, p.day), _encode(p.record)) for p in batch]
        self.writes += 1
        try:
            outcome = await self._kv.txn(expects, changes)
        except Unavailable as exc:
            raise LedgerUnavailable(str(exc)) from exc
        except OutcomeUnknown:
            return await self._read_batch(batch)
        if not outcome.succeeded:
            return {entry.key: entry for entry in outcome.found}
        for pending in batch:
            key = self._key(pending.name, pending.day)
            record = replace(pending.record, revision=outcome.revision)
            _resolve(pending, Begun(key, record))
        return None

    async def _read_batch(self, batch: list[_Pending]) -> dict[str, Entry]:
        """Find out what a transaction without an answer left behind.

        Its writes all happened or none did, so a missing entry means that the
        transaction may still be on its way: creating again is safe, as the
        condition lets only one of the two take effect.
        """
        found: dict[str, Entry] = {}
        for pending in batch:
            for day in (pending.day - 1, pending.day, pending.day + 1):
                key = self._key(pending.name, day)
                entry = await self._get_with_retries(key)
                if entry is not None:
                    found[key] = entry
        return found

    def _settle(
        self, batch: list[_Pending], found: dict[str, Entry] | None
    ) -> list[_Pending]:
        """Answer those whose entry exists; return those still to create."""
        if found is None:
            return []
        rest = []
        for pending in batch:
            days = (pending.day, pending.day - 1, pending.day + 1)
            keys = [self._key(pending.name, day) for day in days]
            entry = next((found[key] for key in keys if key in found), None)
            if entry is None:
                rest.append(pending)
            else:
                _resolve(pending, entry)
        return rest

    async def _read_back(self, key: str) -> Entry:
        entry = await self._get_with_retries(key)
        if entry is None:
            raise LedgerUnavailable(f"{key} is gone")
        return entry

    async def _get_with_retries(self, key: str) -> Entry | None:
        for _ in range(MAX_READ_BACKS):
            try:
                return await self._kv.get(key)
            except KeyValueError as exc:
                last = exc
        raise LedgerUnavailable(f"{key} cannot be read back") from last


def _pending(name: str, record: Record, day: int) -> _Pending:
    fut = asyncio.get_running_loop().create_future()
    return _Pending(name, record, day, fut)


def _distinct(pending: list[_Pending]) -> list[_Pending]:
    """Return the first waiting intent of each name."""
    first: dict[str, _Pending] = {}
    for item in pending:
        first.setdefault(item.name, item)
    return list(first.values())


def _resolve(pending: _Pending, outcome: Begun | Entry | Exception) -> None:
    if pending.fut.done():
        return
    if isinstance(outcome, Exception):
        pending.fut.set_exception(outcome)
    else:
        pending.fut.set_result(outcome)


def _days(now: Seconds) -> tuple[int, int, int]:
    day = int(now // DAY_S)
    return (day, day - 1, day + 1)


def _encode(record: Record) -> bytes:
    return msgspec.msgpack.encode(
        _Stored(record.attempt, record.content, record.state, record.answer)
    )


def _read_record(entry: Entry) -> Record:
    stored = msgspec.msgpack.decode(entry.value, type=_Stored)
    return Record(
        stored.attempt, stored.content, stored.state, stored.answer, entry.revision
    )
