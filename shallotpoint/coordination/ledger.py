"""A ledger of calls that may be executed at most once.

Before a call is sent, an entry for it, the intent, is created in the key-value
service on the condition that the call has none yet.  Keys contain the day, so that
all entries of a day can be deleted by prefix.  As the clocks of routers may disagree
on the day, creation also requires that the day before and the day after hold no entry
of the call.  Intents of concurrent calls are batched into one transaction.
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
# Entries of today and the day before are promised to be kept; those of one more day
# are not deleted either.
RETENTION_DAYS = 2
MAX_STORED_BODY_BYTES = 64 << 10
MAX_BATCH_INTENTS = 40  # etcd allows 128 operations per transaction; an intent needs 3
MAX_KV_ATTEMPTS = 4


class LedgerUnavailable(Exception):
    """The intent of a call may not have been recorded; the call must not be sent."""


class CallState(StrEnum):
    """How far a call got.

    ``INTENT``: it may have been sent; ``DONE``: it was answered; ``NOT_RUN``: it was
    certainly not executed and may be sent again.
    """

    INTENT = "intent"
    DONE = "done"
    NOT_RUN = "not_run"


@dataclass(frozen=True, slots=True)
class Answer:
    """The response to a call; ``body`` is None if it was too large to store."""

    status: int
    content_type: str
    body: bytes | None


@dataclass(frozen=True, slots=True)
class CallRecord:
    """The ledger entry of one call.

    Attributes
    ----------
    attempt : str
        Id of the attempt that may send the call.
    content_digest : str
        Digest of the call's content, which distinguishes a repeat of the call from a
        different call under the same idempotency key.
    answer : Answer or None
        The response, once the call is done.
    revision : int
        Revision of the entry in the key-value service.
    """

    attempt: str
    content_digest: str
    state: CallState
    answer: Answer | None = None
    revision: Revision = 0


class _StoredRecord(msgspec.Struct, array_like=True):
    attempt: str
    content_digest: str
    state: CallState
    answer: Answer | None


@dataclass(frozen=True, slots=True)
class RecordedIntent:
    """The intent was recorded: only this attempt may send the call."""

    key: str
    record: CallRecord


@dataclass(frozen=True, slots=True)
class KnownCall:
    """The call has an entry of another attempt and must not be sent."""

    record: CallRecord


def content_digest(*parts: bytes) -> str:
    """Return a hexadecimal digest of the parts of a call, such as method and body."""
    digest = hashlib.blake2b(digest_size=16)
    for part in parts:
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.hexdigest()


@dataclass(slots=True)
class _PendingIntent:
    call_key: str
    record: CallRecord
    day: int
    fut: asyncio.Future


class OnceLedger:
    """Records the intents and outcomes of calls in a key-value service.

    Parameters
    ----------
    kv : KeyValue
        The service that stores the entries.
    prefix : str
        Prefix of all keys, with a slash at the end.

    Attributes
    ----------
    writes : int
        Number of transactions sent for new intents and outcomes.

    Examples
    --------
    >>> import random, time
    >>> from shallotpoint.coordination.memory_kv import MemoryKeyValue
    >>> async def main():
    ...     kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
    ...     ledger = OnceLedger(kv, "/once/")
    ...     first = await ledger.record_intent("k1", "digest", "attempt-1", now=0.0)
    ...     again = await ledger.record_intent("k1", "digest", "attempt-2", now=1.0)
    ...     return first.record.attempt, again.record.attempt
    >>> asyncio.run(main())
    ('attempt-1', 'attempt-1')
    """

    def __init__(self, kv: KeyValue, prefix: str):
        self._kv = kv
        self._prefix = prefix
        self._waiting: list[_PendingIntent] = []
        self._flush_task: asyncio.Task | None = None
        self.writes = 0

    async def record_intent(
        self, call_key: str, content_digest: str, attempt: str, *, now: Seconds
    ) -> RecordedIntent | KnownCall:
        """Record the intent of an attempt, unless the call has an entry already.

        Parameters
        ----------
        call_key : str
            The caller's idempotency key, made unique among callers.
        content_digest : str
            Digest of the call's content.
        attempt : str
            Id of the attempt.
        now : float
            Wall-clock time in seconds; may differ by hours among routers.

        Raises
        ------
        LedgerUnavailable
            The intent may not have been recorded; the call must not be sent.
        """
        record = CallRecord(attempt, content_digest, CallState.INTENT)
        day = int(now // DAY_S)
        found = await self._submit(_new_pending_intent(call_key, record, day))
        if isinstance(found, RecordedIntent):
            return found
        stored = _read_record(found)
        if stored.attempt == attempt and stored.state is CallState.INTENT:
            return RecordedIntent(found.key, stored)
        if (
            stored.state is CallState.NOT_RUN
            and stored.content_digest == content_digest
        ):
            return await self._replace_not_run(found, record)
        return KnownCall(stored)

    async def record_answer(self, intent: RecordedIntent, answer: Answer) -> bool:
        """Store the response to a call; return whether it is certainly stored."""
        if answer.body is not None and len(answer.body) > MAX_STORED_BODY_BYTES:
            answer = replace(answer, body=None)
        done = replace(intent.record, state=CallState.DONE, answer=answer)
        return await self._update_entry(intent, done)

    async def record_not_run(self, intent: RecordedIntent) -> bool:
        """Store that a call was not executed, so that a repeat of it may be sent.

        Returns
        -------
        bool
            Whether this is certainly stored.
        """
        return await self._update_entry(
            intent, replace(intent.record, state=CallState.NOT_RUN)
        )

    async def look_up(self, call_key: str, *, now: Seconds) -> CallRecord | None:
        """Return the entry of a call, or None if there is none.

        Raises
        ------
        Unavailable
            The entry could not be read.
        """
        for day in _days_to_search(now):
            entry = await self._kv.get(self._entry_key(call_key, day))
            if entry is not None:
                return _read_record(entry)
        return None

    async def delete_expired(self, *, now: Seconds) -> None:
        """Delete the entries whose day is three to nine days ago."""
        oldest = int(now // DAY_S) - RETENTION_DAYS
        changes = [
            Delete(f"{self._prefix}{day}/", prefix=True)
            for day in range(oldest - 7, oldest)
        ]
        await self._kv.txn([], changes)

    async def _replace_not_run(
        self, entry: Entry, record: CallRecord
    ) -> RecordedIntent | KnownCall:
        """Replace an entry whose call was certainly not executed by a new intent."""
        change = Put(entry.key, _encode(record))
        expect = Expect(entry.key, entry.revision)
        try:
            outcome = await self._kv.txn([expect], [change])
            if outcome.succeeded:
                return RecordedIntent(
                    entry.key, replace(record, revision=outcome.revision)
                )
        except Unavailable as exc:
            raise LedgerUnavailable(str(exc)) from exc
        except OutcomeUnknown:
            pass
        stored = _read_record(await self._read_back(entry.key))
        if stored.attempt == record.attempt:
            return RecordedIntent(entry.key, stored)
        return KnownCall(stored)

    async def _update_entry(self, intent: RecordedIntent, record: CallRecord) -> bool:
        """Store a new state of a call; return whether it is certainly stored."""
        expect = Expect(intent.key, intent.record.revision)
        for _ in range(MAX_KV_ATTEMPTS):
            try:
                self.writes += 1
                outcome = await self._kv.txn(
                    [expect], [Put(intent.key, _encode(record))]
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

    # Batched creation of intents

    def _entry_key(self, call_key: str, day: int) -> str:
        digest = hashlib.blake2b(call_key.encode(), digest_size=16).hexdigest()
        return f"{self._prefix}{day}/{digest}"

    async def _submit(self, pending: _PendingIntent) -> RecordedIntent | Entry:
        """Queue an intent; return it once created, or the entry that its call has."""
        self._waiting.append(pending)
        if self._flush_task is None:
            self._flush_task = asyncio.create_task(self._flush())
        return await pending.fut

    async def _flush(self) -> None:
        """Create the waiting intents in batches, one transaction at a time."""
        try:
            await asyncio.sleep(0)
            while self._waiting:
                batch = _first_per_call(self._waiting)[:MAX_BATCH_INTENTS]
                batch_ids = {id(p) for p in batch}
                self._waiting = [p for p in self._waiting if id(p) not in batch_ids]
                await self._create(batch)
        finally:
            self._flush_task = None

    async def _create(self, batch: list[_PendingIntent]) -> None:
        """Create a batch of intents, without those whose calls have an entry.

        One entry that exists fails the whole transaction, so the batch is sent again
        without the intents concerned.
        """
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
            batch = self._resolve_existing(batch, found)

    async def _try_create(self, batch: list[_PendingIntent]) -> dict[str, Entry] | None:
        """Return None if all were created, else the existing entries by key."""
        expects = [
            Expect(self._entry_key(p.call_key, day), 0)
            for p in batch
            for day in (p.day - 1, p.day, p.day + 1)
        ]
        changes = [
            Put(self._entry_key(p.call_key, p.day), _encode(p.record)) for p in batch
        ]
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
            key = self._entry_key(pending.call_key, pending.day)
            record = replace(pending.record, revision=outcome.revision)
            _resolve(pending, RecordedIntent(key, record))
        return None

    async def _read_batch(self, batch: list[_PendingIntent]) -> dict[str, Entry]:
        """Return the entries that exist after a transaction of unknown outcome.

        Either all of its writes took effect or none.  A missing entry means that the
        transaction may still be in flight; sending it again is safe, because its
        conditions let only one of the two take effect.
        """
        found: dict[str, Entry] = {}
        for pending in batch:
            for day in (pending.day - 1, pending.day, pending.day + 1):
                key = self._entry_key(pending.call_key, day)
                entry = await self._get_with_retries(key)
                if entry is not None:
                    found[key] = entry
        return found

    def _resolve_existing(
        self, batch: list[_PendingIntent], found: dict[str, Entry] | None
    ) -> list[_PendingIntent]:
        """Resolve the intents whose entry exists; return those still to create."""
        if found is None:
            return []
        rest = []
        for pending in batch:
            days = (pending.day, pending.day - 1, pending.day + 1)
            keys = [self._entry_key(pending.call_key, day) for day in days]
            entry = next((found[key] for key in keys if key in found), None)
            if entry is None:
                rest.append(pending)
            else:
                _resolve(pending, entry)
        return rest

    async def _read_back(self, key: str) -> Entry:
        entry = await self._get_with_retries(key)
        if entry is None:
            raise LedgerUnavailable(f"ledger entry {key} does not exist")
        return entry

    async def _get_with_retries(self, key: str) -> Entry | None:
        for _ in range(MAX_KV_ATTEMPTS):
            try:
                return await self._kv.get(key)
            except KeyValueError as exc:
                last = exc
        raise LedgerUnavailable(f"ledger entry {key} cannot be read") from last


def _new_pending_intent(call_key: str, record: CallRecord, day: int) -> _PendingIntent:
    fut = asyncio.get_running_loop().create_future()
    return _PendingIntent(call_key, record, day, fut)


def _first_per_call(pending: list[_PendingIntent]) -> list[_PendingIntent]:
    """Return the first waiting intent of each call."""
    first: dict[str, _PendingIntent] = {}
    for item in pending:
        first.setdefault(item.call_key, item)
    return list(first.values())


def _resolve(
    pending: _PendingIntent, outcome: RecordedIntent | Entry | Exception
) -> None:
    if pending.fut.done():
        return
    if isinstance(outcome, Exception):
        pending.fut.set_exception(outcome)
    else:
        pending.fut.set_result(outcome)


def _days_to_search(now: Seconds) -> tuple[int, int, int]:
    day = int(now // DAY_S)
    return (day, day - 1, day + 1)


def _encode(record: CallRecord) -> bytes:
    return msgspec.msgpack.encode(
        _StoredRecord(
            record.attempt, record.content_digest, record.state, record.answer
        )
    )


def _read_record(entry: Entry) -> CallRecord:
    stored = msgspec.msgpack.decode(entry.value, type=_StoredRecord)
    return CallRecord(
        stored.attempt,
        stored.content_digest,
        stored.state,
        stored.answer,
        entry.revision,
    )
