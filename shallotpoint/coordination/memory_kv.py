"""An in-memory key-value service with fault injection, for stand-ins and tests."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass, field

from shallotpoint.coordination.kv import (
    Change,
    Delete,
    Entry,
    Expect,
    HistoryLost,
    Listing,
    OutcomeUnknown,
    PollResult,
    Put,
    TxnOutcome,
    Unavailable,
)
from shallotpoint.types import Clock, Revision, Seconds

MAX_KEPT_CHANGES = 10_000  # number of past changes that a watch or poll can ask for


class MemoryStore:
    """The state of a key-value service, without I/O; the time is an argument.

    Attributes
    ----------
    revision : int
        Revision of the last change.
    compacted_revision : int
        Revision up to which changes were dropped, by :meth:`forget_history` or as
        there were too many.
    era : int
        Number of times that the store was restored from a backup.
    """

    def __init__(self) -> None:
        self.era = 0
        self.revision: Revision = 1
        self.compacted_revision: Revision = 0
        self._entries: dict[str, Entry] = {}
        self._leases: dict[int, tuple[Seconds, Seconds]] = {}
        self._next_lease = 1
        self._history: list[Change] = []
        self._watchers: set[asyncio.Queue] = set()

    def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        return self._entries.get(key)

    def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix, sorted."""
        found = sorted(k for k in self._entries if k.startswith(prefix))
        return Listing(tuple(self._entries[k] for k in found), self.revision)

    def txn(
        self, expects: Sequence[Expect], changes: Sequence[Put | Delete]
    ) -> TxnOutcome:
        """Apply all changes if all conditions hold, otherwise none of them."""
        for expect in expects:
            entry = self._entries.get(expect.key)
            if (entry.revision if entry else 0) != expect.revision:
                return self._failed_outcome(expects)
        for change in changes:
            if isinstance(change, Put) and change.lease:
                if change.lease not in self._leases:
                    raise Unavailable(f"lease {change.lease} is not alive")
        self._apply(changes)
        return TxnOutcome(True, self.revision)

    def grant(self, ttl_s: Seconds, now: Seconds) -> int:
        """Create a lease with a time to live in seconds and return its id."""
        lease = self._next_lease
        self._next_lease += 1
        self._leases[lease] = (ttl_s, now + ttl_s)
        return lease

    def keep_alive(self, lease: int, now: Seconds) -> Seconds:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        self.expire(now)
        if lease not in self._leases:
            return 0.0
        ttl_s, _ = self._leases[lease]
        self._leases[lease] = (ttl_s, now + ttl_s)
        return ttl_s

    def revoke(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        self._leases.pop(lease, None)
        bound_keys = [k for k, e in self._entries.items() if e.lease == lease]
        self._apply([Delete(key) for key in bound_keys])

    def expire(self, now: Seconds, *, all_leases: bool = False) -> None:
        """Revoke the leases that have expired, or all leases."""
        for lease, (_, until_s) in list(self._leases.items()):
            if all_leases or until_s <= now:
                self.revoke(lease)

    def forget_history(self) -> None:
        """Drop all past changes, as a compaction does."""
        self._history.clear()
        self.compacted_revision = self.revision

    def backup(self) -> MemoryStore:
        """Return a copy of the state, without watchers."""
        copy = MemoryStore()
        copy.revision = self.revision
        copy.compacted_revision = self.compacted_revision
        copy._entries = dict(self._entries)
        copy._leases = dict(self._leases)
        copy._next_lease = self._next_lease
        copy._history = list(self._history)
        return copy

    def restore(self, backup: MemoryStore) -> None:
        """Return to the state of a backup, which begins a new era.

        What was written since is lost; its revisions and lease ids are used again.
        """
        state = backup.backup()
        self.era += 1
        self.revision = state.revision
        self.compacted_revision = state.compacted_revision
        self._entries = state._entries
        self._leases = state._leases
        self._next_lease = state._next_lease
        self._history = state._history

    def changes_after(self, prefix: str, after: Revision) -> list[Change]:
        """Return the changes to keys with a prefix after a revision.

        Raises
        ------
        HistoryLost
            Some of the changes are no longer kept.
        """
        if after < self.compacted_revision:
            raise HistoryLost(f"changes up to {self.compacted_revision} are dropped")
        if after > self.revision:
            raise HistoryLost(f"revision {after} has not been reached")
        return [
            c for c in self._history if c.revision > after and c.key.startswith(prefix)
        ]

    def subscribe(self, from_revision: Revision) -> asyncio.Queue:
        """Return a queue of batches of changes, from a revision on."""
        queue: asyncio.Queue = asyncio.Queue()
        past = [c for c in self._history if c.revision >= from_revision]
        if past:
            queue.put_nowait(past)
        self._watchers.add(queue)
        return queue

    def unsubscribe(self, queue: asyncio.Queue) -> None:
        """Stop adding changes to a queue from :meth:`subscribe`."""
        self._watchers.discard(queue)

    def _failed_outcome(self, expects: Sequence[Expect]) -> TxnOutcome:
        found = (self._entries.get(e.key) for e in expects)
        return TxnOutcome(False, self.revision, tuple(e for e in found if e))

    def _apply(self, changes: Sequence[Put | Delete]) -> None:
        if not changes:
            return
        self.revision += 1
        events: list[Change] = []
        for change in changes:
            if isinstance(change, Put):
                entry = Entry(change.key, change.value, self.revision, change.lease)
                self._entries[change.key] = entry
                events.append(Change(change.key, entry, self.revision))
                continue
            for key in self._matching_keys(change):
                del self._entries[key]
                events.append(Change(key, None, self.revision))
        self._history += events
        if len(self._history) > MAX_KEPT_CHANGES:
            # A revision is kept or dropped as a whole.
            self.compacted_revision = self._history[-MAX_KEPT_CHANGES - 1].revision
            self._history = [
                c for c in self._history if c.revision > self.compacted_revision
            ]
        for queue in self._watchers:
            queue.put_nowait(events)

    def _matching_keys(self, change: Delete) -> list[str]:
        if change.prefix:
            return [k for k in self._entries if k.startswith(change.key)]
        return [change.key] if change.key in self._entries else []


@dataclass(slots=True)
class KeyValueFaults:
    """Injected faults of a key-value service.

    Attributes
    ----------
    down : bool
        Whether each call fails.
    delay_s : float
        Delay of each call before it takes effect, in seconds.
    lose_answers : float
        Share of transactions and lease grants that take effect without an answer.
    expire_leases : bool
        Whether each call first ends all leases.
    """

    down: bool = False
    delay_s: Seconds = 0.0
    lose_answers: float = 0.0
    expire_leases: bool = False


@dataclass(slots=True)
class CallCounts:
    """Numbers of calls received; a watch or a waiting poll counts as one call."""

    reads: int = 0
    writes: int = 0
    watches: int = 0


@dataclass(slots=True)
class MemoryKeyValue:
    """An in-process :class:`~shallotpoint.coordination.kv.PolledKeyValue`.

    Parameters
    ----------
    clock : Callable
        Returns the time by which leases expire, in seconds.
    rng : random.Random
        Decides which answers are lost.
    store : MemoryStore
        The stored state; several services can share one.
    """

    clock: Clock
    rng: random.Random
    store: MemoryStore = field(default_factory=MemoryStore)
    faults: KeyValueFaults = field(default_factory=KeyValueFaults)
    counts: CallCounts = field(default_factory=CallCounts)
    name: str = "memory"
    longest_wait_s: Seconds = 30.0

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""
        await self._start_read()
        return self.store.get(key)

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix."""
        await self._start_read()
        return self.store.list_prefix(prefix)

    async def txn(
        self, expects: Sequence[Expect], changes: Sequence[Put | Delete]
    ) -> TxnOutcome:
        """Apply all changes if all conditions hold, otherwise none of them."""
        await self._start_write()
        outcome = self.store.txn(expects, changes)
        self._maybe_lose_answer()
        return outcome

    async def grant(self, ttl_s: Seconds) -> int:
        """Create a lease with a time to live in seconds and return its id."""
        await self._start_write()
        lease = self.store.grant(ttl_s, self.clock())
        self._maybe_lose_answer()
        return lease

    async def keep_alive(self, lease: int) -> Seconds:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""
        await self._start_write()
        return self.store.keep_alive(lease, self.clock())

    async def revoke(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""
        await self._start_write()
        self.store.revoke(lease)

    async def watch(
        self, prefix: str, from_revision: Revision
    ) -> AsyncIterator[Sequence[Change]]:
        """Yield batches of changes to keys with a prefix, from a revision on."""
        self.counts.watches += 1
        self._raise_if_down()
        queue = self.store.subscribe(from_revision)
        try:
            while True:
                changes = await queue.get()
                self._raise_if_down()
                wanted = [c for c in changes if c.key.startswith(prefix)]
                if wanted:
                    yield wanted
        finally:
            self.store.unsubscribe(queue)

    async def close(self) -> None:
        """Do nothing; there are no connections."""

    async def poll(self, prefix: str, after: Revision, wait_s: Seconds) -> PollResult:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        self.counts.watches += 1
        await self._start_call()
        queue = self.store.subscribe(self.store.revision + 1)
        try:
            async with asyncio.timeout(wait_s):
                while not (changes := self.store.changes_after(prefix, after)):
                    await queue.get()
        except TimeoutError:
            changes = []
        finally:
            self.store.unsubscribe(queue)
        self._raise_if_down()
        return PollResult(tuple(changes), self.store.revision)

    async def _start_read(self) -> None:
        self.counts.reads += 1
        await self._start_call()

    async def _start_write(self) -> None:
        self.counts.writes += 1
        await self._start_call()

    async def _start_call(self) -> None:
        await asyncio.sleep(self.faults.delay_s)
        self._raise_if_down()
        self.store.expire(self.clock(), all_leases=self.faults.expire_leases)

    def _raise_if_down(self) -> None:
        if self.faults.down:
            raise Unavailable("the key-value service is down")

    def _maybe_lose_answer(self) -> None:
        if self.faults.lose_answers and self.rng.random() < self.faults.lose_answers:
            raise OutcomeUnknown("the answer was lost")
