"""The interface of the key-value service that the coordination modules use."""

from __future__ import annotations

from collections.abc import AsyncIterator, Sequence
from dataclasses import dataclass
from typing import Protocol

from shallotpoint.types import Revision, Seconds


class KeyValueError(Exception):
    """Base class of the errors of a key-value service."""


class Unavailable(KeyValueError):
    """The call failed and did not take effect."""


class HistoryLost(KeyValueError):
    """The requested changes are no longer kept; the prefix must be listed again."""


class OutcomeUnknown(KeyValueError):
    """The call was sent; whether it took effect is not known."""


@dataclass(frozen=True, slots=True)
class Entry:
    """One key with its value.

    Attributes
    ----------
    revision : int
        Revision of the last change to the key.
    lease : int
        Id of the lease with which the key expires; 0 if it does not expire.
    """

    key: str
    value: bytes
    revision: Revision
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Expect:
    """A condition that a key was last changed at a revision; 0: it does not exist."""

    key: str
    revision: Revision


@dataclass(frozen=True, slots=True)
class Put:
    """A write of one key; unless ``lease`` is 0, the key expires with that lease."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Delete:
    """A removal of one key or, if ``prefix`` is set, of all keys that begin with it."""

    key: str
    prefix: bool = False


@dataclass(frozen=True, slots=True)
class TxnOutcome:
    """The result of a transaction.

    Attributes
    ----------
    succeeded : bool
        Whether all conditions held and the changes were applied.
    revision : int
        Revision of the store after the call.
    found : tuple of Entry
        If a condition failed, those keys of the conditions that exist.
    """

    succeeded: bool
    revision: Revision
    found: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys with a prefix at one revision.

    Attributes
    ----------
    age_s : float
        How long before the answer the data was last known to be current, in seconds;
        0 if the service itself answered.
    """

    entries: tuple[Entry, ...]
    revision: Revision
    age_s: Seconds = 0.0


@dataclass(frozen=True, slots=True)
class Change:
    """A change to one key; ``entry`` is None for a removal."""

    key: str
    entry: Entry | None
    revision: Revision


@dataclass(frozen=True, slots=True)
class PollResult:
    """The result of a poll for changes.

    Attributes
    ----------
    revision : int
        Revision after which the next poll asks for changes.
    age_s : float
        How long before the answer the data was last known to be current, in seconds.
    held_s : float or None
        How long the source certainly held the request before it answered, in
        seconds; None if it does not say.
    """

    changes: tuple[Change, ...]
    revision: Revision
    age_s: Seconds = 0.0
    held_s: Seconds | None = None


class KeyValue(Protocol):
    """A key-value service with conditional transactions, leases and watches.

    Each method raises :class:`Unavailable` or, for calls that write,
    :class:`OutcomeUnknown` if the service gives no usable answer.
    """

    async def get(self, key: str) -> Entry | None:
        """Return the entry of a key, or None if the key does not exist."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix."""

    async def txn(
        self, expects: Sequence[Expect], changes: Sequence[Put | Delete]
    ) -> TxnOutcome:
        """Apply all changes if all conditions hold, otherwise none of them."""

    async def grant(self, ttl_s: Seconds) -> int:
        """Create a lease with a time to live in seconds and return its id."""

    async def keep_alive(self, lease: int) -> Seconds:
        """Renew a lease; return its time to live in seconds, 0 if it has expired."""

    async def revoke(self, lease: int) -> None:
        """End a lease and remove the keys bound to it."""

    def watch(
        self, prefix: str, from_revision: Revision
    ) -> AsyncIterator[Sequence[Change]]:
        """Yield batches of changes to keys with a prefix, from a revision on."""


class Source(Protocol):
    """What a copy of a key prefix is read from: the service, or a peer's copy.

    Each method raises :class:`Unavailable` if the source gives no usable answer.
    """

    @property
    def name(self) -> str:
        """Return the name of the source in logs."""

    @property
    def longest_wait_s(self) -> Seconds:
        """Return the longest wait of a poll, in seconds; longer ones are cut to it."""

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix."""

    async def poll(self, prefix: str, after: Revision, wait_s: Seconds) -> PollResult:
        """Return the changes after a revision, waiting up to ``wait_s`` for one.

        Raises
        ------
        HistoryLost
            The source no longer has all changes after the revision.
        """


class PolledKeyValue(KeyValue, Source, Protocol):
    """A key-value service that can also be polled for changes."""

    async def close(self) -> None:
        """Close all connections."""
