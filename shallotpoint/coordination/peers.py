"""Push-pull exchange of rows and configuration between members.

Each exchange carries the rows that the other side lacks, both ways, and a hash
of the configuration's revisions.  Only when the hashes differ do the two name
the revisions, and then send the sections that are newer.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

import msgspec

from shallotpoint.coordination.config import ConfigState, Section
from shallotpoint.coordination.gossip import Board, Digest, Row
from shallotpoint.coordination.overlay import FULL_MESH_UP_TO
from shallotpoint.coordination.transport import Transport, TransportError
from shallotpoint.hashing import hash64
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Seconds

PROTOCOL_VERSION = 1
EXCHANGE_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 1.5
SILENT_S = 4.0  # a member that gave no answer is left alone this long
MIN_PAUSE_S = 0.02  # least time between two rounds when there is news

T = TypeVar("T")
_log = logging.getLogger(__name__)


class WireSection(msgspec.Struct, frozen=True, array_like=True):
    """A configuration section on the wire."""

    name: str
    revision: int
    items: dict
    recent: tuple[str, ...]


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """One side of an exchange.

    Attributes
    ----------
    config_hash : int
        Hash of all section revisions.
    revisions : dict or None
        Revision by section, when the hashes are known to differ.
    loads : bytes
        What goes through :class:`LoadPort`.
    """

    version: int
    sender: str
    digest: Digest
    rows: tuple[Row, ...] = ()
    config_hash: int = 0
    revisions: dict[str, int] | None = None
    sections: tuple[WireSection, ...] = ()
    loads: bytes = b""


class Query(msgspec.Struct, frozen=True, array_like=True, tag="q"):
    """A question to another member's operators' view."""

    version: int
    sender: str
    body: bytes


class QueryReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The answer to a question."""

    sender: str
    body: bytes


class ConfigPort(msgspec.Struct):
    """How peers read and offer configuration.

    Attributes
    ----------
    state : Callable
        Returns the sections held.
    offer : Callable
        Takes sections in; older ones are ignored.
    """

    state: Callable[[], ConfigState]
    offer: Callable[[Sequence[Section]], None]


class LoadPort(msgspec.Struct):
    """How loads travel with the exchanges; each function may raise DecodeError.

    Attributes
    ----------
    ask : Callable
        Returns what to tell a member that is asked.
    answer : Callable
        Takes in what a member tells and returns what it should know.
    take : Callable
        Takes in a member's answer.
    """

    ask: Callable[[str], bytes]
    answer: Callable[[str, bytes], bytes]
    take: Callable[[str, bytes], None]


@dataclass(slots=True)
class PeerStats:
    """Messages and bytes since the start, for metrics and measurements."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    failed: int = 0


def config_hash(state: ConfigState) -> int:
    """Return a hash that is equal where all section revisions are."""
    marks = sorted(f"{s.name}={s.revision}" for s in state.sections.values())
    return hash64("\n".join(marks))


class Peers:
    """Spreads one member's rows and configuration to its neighbours.

    Parameters
    ----------
    board : Board
        Rows to spread.
    transport : Transport
        How messages travel.
    config : ConfigPort
        Configuration to spread.
    answer : Callable
        Answers the questions of other members.
    clock : Callable
        Monotonic time in seconds.
    loads : LoadPort, optional
        Loads that travel along.
    mutual : Callable
        Returns whether a neighbour has this member as a neighbour too, so that one
        of the two dials; by default all have.
    passes_on : Callable
        Returns whether rows of others go on to neighbours; by default in groups too
        large for a full mesh.
    """

    def __init__(
        self,
        board: Board,
        transport: Transport,
        *,
        config: ConfigPort,
        answer: Callable[[bytes], Awaitable[bytes]],
        clock: Clock,
        rng: random.Random,
        on_rows: Callable[[Sequence[Row]], None] = lambda rows: None,
        loads: LoadPort | None = None,
        mutual: Callable[[str], bool] = lambda name: True,
        passes_on: Callable[[], bool] | None = None,
    ):
        self.board = board
        self.stats = PeerStats()
        self._transport = transport
        self._config = config
        self._answer = answer
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._loads = loads
        self._mutual = mutual
        self._passes_on = passes_on or self._is_large
        self._heard_s: dict[str, Seconds] = {}
        self._failed_s: dict[str, Seconds] = {}
        self._known: dict[str, Digest] = {}
        self._news = asyncio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Exchange | Query | QueryReply)

    def poke(self) -> None:
        """Start the next round now, as there is news."""
        self._news.set()

    def silent(self) -> set[str]:
        """Return the members that gave no answer lately."""
        now = self._clock()
        return {n for n, at_s in self._failed_s.items() if now - at_s < SILENT_S}

    async def run(
        self, addresses: Callable[[], Mapping[str, str]], *, every_s: Seconds
    ) -> None:
        """Exchange with all neighbours, in rounds, until cancelled."""
        while True:
            urgent = self._news.is_set()
            self._news.clear()
            await self.round(addresses(), urgent=urgent)
            await asyncio.sleep(MIN_PAUSE_S)
            pause_s = every_s * self._rng.uniform(0.8, 1.2)
            await wait_set(self._news, pause_s)

    async def round(
        self, addresses: Mapping[str, str], *, urgent: bool = False
    ) -> None:
        """Exchange once with each neighbour that it is this member's turn for."""
        turns = [
            self.exchange(name, address)
            for name, address in addresses.items()
            if urgent or self._is_my_turn(name)
        ]
        await asyncio.gather(*turns)

    async def exchange(self, name: str, address: str) -> bool:
        """Exchange with one member; return whether it replied."""
        message = self._message(name)
        reply = await self._send(address, message)
        if reply is None:
            self._known.pop(name, None)
            self._failed_s[name] = self._clock()
            return False
        self._failed_s.pop(name, None)
        self._take_in(reply)
        if self._loads is not None and reply.loads:
            self._decoded(name, self._loads.take, name, reply.loads)
        differs = reply.config_hash != config_hash(self._config.state())
        if differs and reply.revisions is not None:
            await self._reconcile(address, reply.revisions)
        return True

    async def ask(
        self, addresses: Mapping[str, str], body: bytes, *, timeout_s=QUERY_TIMEOUT_S
    ) -> dict[str, bytes]:
        """Return the answers of all members that gave one in time."""
        query = self._encode(Query(PROTOCOL_VERSION, self.board.name, body))

        async def ask_one(name: str, address: str) -> tuple[str, bytes | None]:
            try:
                return name, await self._query(address, query, timeout_s)
            except TransportError:
                return name, None

        asked = [ask_one(name, address) for name, address in addresses.items()]
        answers = await asyncio.gather(*asked)
        return {name: body for name, body in answers if body is not None}

    async def ask_one(
        self, name: str, address: str, body: bytes, timeout_s: Seconds
    ) -> bytes:
        """Return one member's answer; TransportError when there is none in time."""
        query = self._encode(Query(PROTOCOL_VERSION, self.board.name, body))
        try:
            return await self._query(address, query, timeout_s)
        except TransportError:
            self._failed_s[name] = self._clock()
            raise

    async def handle(self, raw: bytes) -> bytes:
        """Answer one message of another member."""
        message = self._decode(raw)
        if isinstance(message, Query):
            body = await self._answer(message.body)
            return self._encode(QueryReply(self.board.name, body))
        if not isinstance(message, Exchange):
            raise TransportError("unexpected kind of message")
        self._take_in(message)
        return self._encode(self._reply(message))

    def _reply(self, message: Exchange) -> Exchange:
        state = self._config.state()
        own_hash = config_hash(state)
        revisions = None
        sections: tuple[WireSection, ...] = ()
        loads = None
        if self._loads is not None and message.loads:
            sender = message.sender
            loads = self._decoded(sender, self._loads.answer, sender, message.loads)
        if message.revisions is not None:
            sections = _newer(state, message.revisions)
        elif message.config_hash != own_hash:
            revisions = _revisions(state)
        return Exchange(
            PROTOCOL_VERSION,
            self.board.name,
            self.board.digest(),
            tuple(self.board.delta(message.digest)),
            own_hash,
            revisions,
            sections,
            loads or b"",
        )

    def _message(self, name: str) -> Exchange:
        return Exchange(
            PROTOCOL_VERSION,
            self.board.name,
            self.board.digest(),
            self._rows_to_push(self._known.get(name, {})),
            config_hash(self._config.state()),
            loads=self._loads.ask(name) if self._loads is not None else b"",
        )

    def _rows_to_push(self, known: Digest) -> tuple[Row, ...]:
        """Return rows for a member whose digest may be out of date.

        In a full mesh every member tells its own rows to all, so that passing on
        the rows of others would only repeat them.
        """
        if not known:
            return ()
        rows = self.board.delta(known)
        if not self._passes_on():
            rows = [row for row in rows if row.origin == self.board.name]
        return tuple(rows)

    def _is_large(self) -> bool:
        return len(self.board.members()) > FULL_MESH_UP_TO

    async def _reconcile(self, address: str, theirs: Mapping[str, int]) -> None:
        state = self._config.state()
        message = Exchange(
            PROTOCOL_VERSION,
            self.board.name,
            self.board.digest(),
            (),
            config_hash(state),
            _revisions(state),
            _newer(state, theirs),
        )
        reply = await self._send(address, message)
        if reply is not None:
            self._take_in(reply)

    async def _query(self, address: str, query: bytes, timeout_s: Seconds) -> bytes:
        raw = await self._transport.request(address, query, timeout_s=timeout_s)
        reply = self._decode(raw)
        if not isinstance(reply, QueryReply):
            raise TransportError("unexpected kind of message")
        return reply.body

    async def _send(self, address: str, message: Exchange) -> Exchange | None:
        raw = self._encode(message)
        try:
            answer = await self._transport.request(
                address, raw, timeout_s=EXCHANGE_TIMEOUT_S
            )
            reply = self._decode(answer)
        except TransportError:
            self.stats.failed += 1
            return None
        return reply if isinstance(reply, Exchange) else None

    def _take_in(self, message: Exchange) -> None:
        self._known[message.sender] = message.digest
        self._heard_s[message.sender] = self._clock()
        fresh = self.board.merge(message.rows, now=self._clock())
        if message.sections:
            self._config.offer(
                [
                    Section(s.name, s.revision, s.items, s.recent)
                    for s in message.sections
                ]
            )
        self._hand_on(fresh)

    def _hand_on(self, rows: Sequence[Row]) -> None:
        """Give rows to their readers; one that cannot be read is dropped."""
        for row in rows:
            self._decoded(row.origin, self._on_rows, [row])
        if rows and self._passes_on():
            self.poke()

    def _decoded(self, peer: str, read: Callable[..., T], *args: Any) -> T | None:
        """Return what a reader makes of a peer's bytes; None if it cannot."""
        try:
            return read(*args)
        except msgspec.DecodeError as exc:
            self.stats.malformed += 1
            _log.warning(
                "unreadable bytes of a peer dropped",
                extra={"peer": peer, "reason": str(exc)},
            )
            return None

    def _is_my_turn(self, name: str) -> bool:
        """Let one member of each pair dial, and the other when that is silent."""
        if not self._mutual(name):
            return True
        mine = hash64(min(name, self.board.name) + max(name, self.board.name))
        first = name < self.board.name
        if (mine % 2 == 0) == first:
            return True
        heard_s = self._heard_s.get(name)
        return heard_s is None or self._clock() - heard_s > 1.0

    def _encode(self, message: Exchange | Query | QueryReply) -> bytes:
        raw = self._encoder.encode(message)
        self.stats.sent += 1
        self.stats.sent_bytes += len(raw)
        return raw

    def _decode(self, raw: bytes) -> Exchange | Query | QueryReply:
        self.stats.received += 1
        self.stats.received_bytes += len(raw)
        try:
            return self._decoder.decode(raw)
        except (msgspec.DecodeError, msgspec.ValidationError) as exc:
            self.stats.malformed += 1
            raise TransportError(f"malformed message: {exc}") from exc


def _revisions(state: ConfigState) -> dict[str, int]:
    return {s.name: s.revision for s in state.sections.values()}


def _newer(state: ConfigState, known: Mapping[str, int]) -> tuple[WireSection, ...]:
    return tuple(
        WireSection(s.name, s.revision, dict(s.items), s.recent)
        for s in state.sections.values()
        if s.revision > known.get(s.name, 0)
    )
