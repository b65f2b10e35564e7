"""Copies of key prefixes that routers serve to one another.

In a large group only one router polls the key-value service; the others poll their
parents in the tree of :mod:`~shallotpoint.coordination.tree`.  A router that gets no
answer from the service also polls its peers.  A request is held until there are
changes or a newer confirmation that there are none, so that confirmations pass down
the tree without delay.  Each reply contains the age of its data, so that the age of a
copy counts from the answer of the service and not from that of a peer.
"""

from __future__ import annotations

import math
from collections.abc import Awaitable, Callable, Sequence

import msgspec

from shallotpoint.coordination.eras import split_era
from shallotpoint.coordination.follow import PrefixFollower
from shallotpoint.coordination.kv import (
    Change,
    Entry,
    HistoryLost,
    Listing,
    PollResult,
    Unavailable,
)
from shallotpoint.coordination.transport import TransportError
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.types import Clock, Revision, Seconds

# The longest wait of a poll is short, so that an unresponsive peer is replaced well
# within the time in which the withdrawal of a key must take effect.
MAX_POLL_WAIT_S = 1.0
ROUND_TRIP_S = 0.4  # many times the round trip between data centres of one region

SendRequest = Callable[[bytes, Seconds], Awaitable[bytes]]


class _CopyRequest(msgspec.Struct, frozen=True, array_like=True):
    """A request for the changes after a revision.

    Attributes
    ----------
    after : int
        The revision; -1 requests all entries.
    wait_ms : int
        Longest time to wait for a change, in ms.
    """

    prefix: str
    after: int
    wait_ms: int = 0


class _CopyItem(msgspec.Struct, frozen=True, array_like=True):
    """A key with its value; the value of a removed key is None."""

    key: str
    value: bytes | None
    revision: int


class _CopyReply(msgspec.Struct, frozen=True, array_like=True):
    """A reply from a peer's copy.

    Attributes
    ----------
    age_ms : int
        How long before the reply the copy was last certainly current, in ms; negative
        if the copy is too old to be served.
    revision : int
        Revision of the service that the copy reflects.
    complete : bool
        False if some of the requested changes are no longer kept.
    items : tuple of _CopyItem
        The changes, or all entries.
    held_ms : int
        How long the request was held before this reply, in ms.
    """

    age_ms: int
    revision: int = 0
    complete: bool = True
    items: tuple[_CopyItem, ...] = ()
    held_ms: int = 0


_ALL_ENTRIES = -1
_request_decoder = msgspec.msgpack.Decoder(_CopyRequest)
_reply_decoder = msgspec.msgpack.Decoder(_CopyReply)
_encode = msgspec.msgpack.encode


class PeerSource:
    """A :class:`~shallotpoint.coordination.kv.Source` that reads a peer's copies.

    Parameters
    ----------
    name : str
        Name of the peer.
    send : Callable
        Sends a request with a timeout in seconds and returns the reply; raises
        TransportError if there is none.
    """

    longest_wait_s = MAX_POLL_WAIT_S

    def __init__(self, name: str, send: SendRequest):
        self.name = name
        self._send = send

    async def list_prefix(self, prefix: str) -> Listing:
        """Return all keys with a prefix."""
        reply = await self._request(_CopyRequest(prefix, _ALL_ENTRIES), 0.0)
        entries = [
            Entry(item.key, item.value, item.revision)
            for item in reply.items
            if item.value is not None
        ]
        return Listing(tuple(entries), reply.revision, reply.age_ms / 1000)

    async def poll(self, prefix: str, after: Revision, wait_s: Seconds) -> PollResult:
        """Return the changes after a revision, waiting up to ``wait_s`` for one."""
        request = _CopyRequest(prefix, after, int(wait_s * 1000))
        reply = await self._request(request, wait_s)
        if not reply.complete:
            raise HistoryLost(f"{self.name} lacks changes after revision {after}")
        if split_era(reply.revision).era < split_era(after).era:
            raise Unavailable(f"the copy of {self.name} is of an earlier era")
        changes = tuple(_to_change(item) for item in reply.items)
        age_s, held_s = reply.age_ms / 1000, reply.held_ms / 1000
        return PollResult(changes, reply.revision, age_s, held_s)

    async def _request(self, request: _CopyRequest, wait_s: Seconds) -> _CopyReply:
        try:
            raw = await self._send(_encode(request), wait_s + ROUND_TRIP_S)
            reply = _reply_decoder.decode(raw)
        except (TransportError, *DECODE_ERRORS) as exc:
            raise Unavailable(f"no usable reply from {self.name}: {exc}") from exc
        if reply.age_ms < 0:
            raise Unavailable(f"the copy of {self.name} is out of date")
        return reply


class CopyServer:
    """Serves this router's copies to its peers.

    Parameters
    ----------
    followers : sequence of PrefixFollower
        Their copies are served, by prefix.
    clock : Callable
        The clock of the followers.
    """

    def __init__(self, followers: Sequence[PrefixFollower], *, clock: Clock):
        self._followers = {follower.prefix: follower for follower in followers}
        self._clock = clock

    async def handle_request(self, raw: bytes) -> bytes:
        """Return the encoded reply to one encoded request.

        Raises
        ------
        TransportError
            The request could not be decoded.
        """
        try:
            request = _request_decoder.decode(raw)
        except DECODE_ERRORS as exc:
            raise TransportError(f"malformed request for a copy: {exc}") from exc
        follower = self._followers.get(request.prefix)
        if follower is None:
            return _encode(_CopyReply(-1))
        received_s = self._clock()
        copy = follower.copy
        if request.after != _ALL_ENTRIES and not copy.changes_since(request.after):
            wait_s = min(MAX_POLL_WAIT_S, max(0, request.wait_ms) / 1000)
            age_s = follower.age_s(received_s)
            if age_s is not None:
                # Reply no later than the copy becomes too old, so that the peer turns
                # to another source at once.
                wait_s = min(wait_s, max(0.0, follower.max_served_age_s - age_s))
            await follower.wait_for_confirmation(wait_s)
        reply = self._reply_from(follower, request.after)
        held_ms = int((self._clock() - received_s) * 1000)
        return _encode(msgspec.structs.replace(reply, held_ms=held_ms))

    def _reply_from(self, follower: PrefixFollower, after: Revision) -> _CopyReply:
        copy = follower.copy
        age_s = follower.age_s(self._clock())
        if age_s is None or age_s >= follower.max_served_age_s or copy.is_failing:
            return _CopyReply(-1)
        age_ms = math.ceil(age_s * 1000)
        if after == _ALL_ENTRIES:
            items = [
                _CopyItem(e.key, e.value, e.revision) for e in copy.entries.values()
            ]
            return _CopyReply(age_ms, copy.revision, True, tuple(items))
        changes = copy.changes_since(after)
        if changes is None:
            return _CopyReply(age_ms, copy.revision, complete=False)
        return _CopyReply(
            age_ms, copy.revision, True, tuple(_to_item(change) for change in changes)
        )


def _to_item(change: Change) -> _CopyItem:
    value = None if change.entry is None else change.entry.value
    return _CopyItem(change.key, value, change.revision)


def _to_change(item: _CopyItem) -> Change:
    entry = None
    if item.value is not None:
        entry = Entry(item.key, item.value, item.revision)
    return Change(item.key, entry, item.revision)
