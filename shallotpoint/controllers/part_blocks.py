"""Publishes blocked prompt parts, and the answers that clear them, to all routers.

Peers learn of both from a gossip row.  Blocks are also stored in the key-value service,
as all routers may end at once.
"""

from __future__ import annotations

import asyncio
import logging
import math
import random
from collections.abc import Callable, Mapping, Set

import msgspec

from shallotpoint.coordination import overlay
from shallotpoint.coordination.entries import skipping_unreadable
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Delete, Entry, KeyValue, KeyValueError, Put
from shallotpoint.hashing import content_name, hash64
from shallotpoint.policy.crash_reports import EXPIRY_S
from shallotpoint.policy.part_blame import BlockEvent, PartBlock, Parts, PartTracker
from shallotpoint.types import Clock, Seconds

PARTS_TOPIC = "parts"
PUBLISH_INTERVAL_S = 0.3
SPREAD_TIME_S = 10.0  # a row reaches all peers in this time, even if one is unreachable
STORE_RETRY_S = 2.0
REWRITE_PAUSE_S = 10.0
LEASE_TTL_S = EXPIRY_S
WRITERS = 3  # routers that store a block, as some may be cut off from the service
MAX_LOGGED_UPSTREAMS = 5

_IN_FORCE = frozenset({BlockEvent.BLOCKED, BlockEvent.ADOPTED})
_log = logging.getLogger("shallotpoint.router")


class _WireBlock(msgspec.Struct, frozen=True, array_like=True):
    """A block in a gossip row; ages, as clocks of two routers cannot be compared."""

    parts: list[str]
    age_s: Seconds


class _WireRow(msgspec.Struct, frozen=True, array_like=True):
    """A gossip row: blocks in force, and the age of the last answer to each part."""

    blocks: list[_WireBlock]
    answers: dict[str, Seconds]


_row_decoder = msgspec.msgpack.Decoder(_WireRow)
_entry_decoder = msgspec.json.Decoder(list[str])


def rank(routers: Set[str], name: str, parts: Parts) -> int:
    """Return a router's place in the order that all routers agree on for some parts."""
    return overlay.rank({*routers, name}, _text(parts)).index(name)


class PartBlockController:
    """Distributes what this router's tracker finds, and merges what peers found.

    Parameters
    ----------
    kv : KeyValue
        Stores the blocks, under ``prefix``.
    routers : Callable
        Returns the names of all listed routers.
    notify_peers : Callable
        Called when there are changes that peers should learn of soon.
    """

    def __init__(
        self,
        gossip: Board,
        tracker: PartTracker,
        *,
        kv: KeyValue,
        prefix: str,
        routers: Callable[[], Set[str]],
        clock: Clock,
        rng: random.Random,
        notify_peers: Callable[[], None],
    ):
        self._gossip = gossip
        self._tracker = tracker
        self._kv = kv
        self._prefix = prefix
        self._routers = routers
        self._clock = clock
        self._rng = rng
        self._notify_peers = notify_peers
        self._answers_s: dict[str, Seconds] = {}
        self._stored: dict[str, bytes] = {}
        self._removed: set[str] = set()
        self._write_due_s: dict[str, Seconds] = {}

    async def run(self) -> None:
        """Publish and store changes, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._publish_changes())
            group.create_task(self._store_changes())

    def may_try(self, parts: Parts) -> bool:
        """Return whether this router is the one that tries some blocked parts."""
        return rank(self._routers(), self._gossip.name, parts) == 0

    def merge_row(self, payload: bytes) -> None:
        """Record the blocks and answers in a peer's gossip row.

        Raises
        ------
        msgspec.DecodeError
            The row is malformed.
        """
        now = self._clock()
        row = _row_decoder.decode(payload)
        for part, age_s in row.answers.items():
            self._tracker.record_published(part, now - age_s)
        for block in row.blocks:
            self._tracker.adopt(frozenset(block.parts), now - block.age_s, now)
        self._log_changes(now)

    def update_entries(self, entries: Mapping[str, Entry]) -> None:
        """Adopt the blocks in new entries of the key-value service."""
        now = self._clock()
        previous, self._stored = self._stored, {}
        for key, entry in entries.items():
            if not key.startswith(self._prefix):
                continue
            self._stored[key] = entry.value
            if previous.get(key) == entry.value:
                continue
            with skipping_unreadable(key):
                parts = frozenset(_entry_decoder.decode(entry.value))
                self._tracker.adopt(parts, now, now)
        self._log_changes(now)

    def publish(self, now: Seconds) -> None:
        """Log changes of blocks, and publish the row if it has news."""
        changed = self._log_changes(now)
        answers = dict(self._tracker.answers_to_publish())
        if not changed and not answers:
            return
        self._answers_s = {
            part: begun_s
            for part, begun_s in {**self._answers_s, **answers}.items()
            if now - begun_s < SPREAD_TIME_S or part in answers
        }
        row = _WireRow(
            [
                _WireBlock(sorted(block.parts), now - block.since_s)
                for block in self._tracker.blocks
            ],
            {part: now - begun_s for part, begun_s in self._answers_s.items()},
        )
        self._gossip.publish(PARTS_TOPIC, msgspec.msgpack.encode(row), now=now)
        if changed:
            self._notify_peers()

    async def _publish_changes(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            self.publish(self._clock())

    async def _store_changes(self) -> None:
        while True:
            await asyncio.sleep(PUBLISH_INTERVAL_S * self._rng.uniform(0.8, 1.2))
            try:
                await self._store_pending()
            except KeyValueError as exc:
                _log.info("blocked parts not stored", extra={"reason": str(exc)})
                await asyncio.sleep(STORE_RETRY_S * self._rng.uniform(1.0, 2.0))

    async def _store_pending(self) -> None:
        """Write the blocks that the service lacks; remove those that were cleared."""
        removed, self._removed = self._removed, set()
        if removed:
            await self._kv.txn([], [Delete(key) for key in removed])
        now = self._clock()
        for block in self._tracker.blocks:
            key = self._key(block.parts)
            if key in self._stored or now < self._write_due_s.get(key, -math.inf):
                continue
            if not self._stores(block.parts):
                continue
            # A copy of the entries may be some seconds old.
            self._write_due_s[key] = now + REWRITE_PAUSE_S * self._rng.uniform(1.0, 2.0)
            lease = await self._kv.grant(LEASE_TTL_S)
            value = msgspec.json.encode(sorted(block.parts))
            await self._kv.txn([], [Put(key, value, lease)])

    def _stores(self, parts: Parts) -> bool:
        return rank(self._routers(), self._gossip.name, parts) < WRITERS

    def _key(self, parts: Parts) -> str:
        return f"{self._prefix}{content_name(hash64(_text(parts)))}"

    def _log_changes(self, now: Seconds) -> bool:
        """Log the changes of blocks; return whether there were any."""
        changes = self._tracker.take_changes()
        for event, block in changes:
            _log_block(event, block, now)
            key = self._key(block.parts)
            if event in _IN_FORCE:
                self._removed.discard(key)
            elif self._stores(block.parts):
                self._removed.add(key)
                self._write_due_s.pop(key, None)
        return bool(changes)


def _text(parts: Parts) -> str:
    return ",".join(sorted(parts))


def _log_block(event: BlockEvent, block: PartBlock, now: Seconds) -> None:
    in_force = event in _IN_FORCE
    _log.warning(
        "prompt parts blocked" if in_force else "prompt parts unblocked",
        extra={
            "parts": sorted(block.parts),
            "cause": str(event),
            "crashes": len(block.crashes),
            "contents": block.contents,
            "upstreams": sorted(i.upstream for i in block.crashes)[
                :MAX_LOGGED_UPSTREAMS
            ],
            "last_crash_age_s": round(now - block.since_s, 3),
        },
    )
