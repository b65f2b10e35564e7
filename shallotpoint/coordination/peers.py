"""Push-pull exchange of rows and configuration between members.

Each exchange carries the rows that the other side lacks, in both directions, and a
hash of the revisions of the configuration's sections.  Only if the hashes differ do
the two members exchange the revisions and then the newer sections.
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
from shallotpoint.coordination.overlay import FULL_MESH_MAX_MEMBERS
from shallotpoint.coordination.transport import Transport, TransportError
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.hashing import hash64
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Seconds

PROTOCOL_VERSION = 1
EXCHANGE_TIMEOUT_S = 1.0
QUERY_TIMEOUT_S = 1.5
UNRESPONSIVE_S = 4.0  # a member counts as unresponsive this long after a failed request
MIN_ROUND_PAUSE_S = 0.02  # between two rounds, also if one is requested at once

T = TypeVar("T")
_log = logging.getLogger(__name__)


class WireSection(msgspec.Struct, frozen=True, array_like=True):
    """A configuration section as it is sent; fields as in :class:`Section`."""

    name: str
    revision: int
    items: dict
    recent: tuple[str, ...]


class Exchange(msgspec.Struct, frozen=True, array_like=True, tag="x"):
    """A request or reply in which a member sends what the other lacks.

    Attributes
    ----------
    digest : dict
        Highest sequence number that the sender has received from each member.
    rows : tuple of Row
        Rows that the receiver lacks.
    config_hash : int
        Hash of all section revisions.
    revisions : dict or None
        Revision by section name, if the sender knows that the hashes differ.
    sections : tuple of WireSection
        Sections that are newer than the receiver's.
    loads : bytes
        Encoded loads of :class:`LoadPort`; empty if there are none.
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
    """A request to the query handler of another member."""

    version: int
    sender: str
    body: bytes


class QueryReply(msgspec.Struct, frozen=True, array_like=True, tag="r"):
    """The answer to a :class:`Query`."""

    sender: str
    body: bytes


class ConfigPort(msgspec.Struct):
    """Access of :class:`Peers` to this member's configuration.

    Attributes
    ----------
    get_state : Callable
        Returns the sections that this member has.
    merge_sections : Callable
        Stores sections of a peer; those that are not newer are ignored.
    """

    get_state: Callable[[], ConfigState]
    merge_sections: Callable[[Sequence[Section]], None]


class LoadPort(msgspec.Struct):
    """Functions that write and read the loads sent with each exchange.

    Those that read a member's loads may raise DecodeError.

    Attributes
    ----------
    make_request : Callable
        Returns the loads to send with a request to a member.
    handle_request : Callable
        Stores the loads of a member's request and returns those for the reply.
    handle_response : Callable
        Stores the loads of a member's reply.
    """

    make_request: Callable[[str], bytes]
    handle_request: Callable[[str, bytes], bytes]
    handle_response: Callable[[str, bytes], None]


@dataclass(slots=True)
class PeerStats:
    """Messages and bytes since the start, for metrics and measurements.

    Attributes
    ----------
    malformed : int
        Messages, rows and loads that could not be decoded.
    failed : int
        Exchanges without a valid reply.
    """

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0
    malformed: int = 0
    failed: int = 0


def config_hash(state: ConfigState) -> int:
    """Return a hash of all section revisions, to compare the state of two members."""
    revisions = sorted(f"{s.name}={s.revision}" for s in state.sections.values())
    return hash64("\n".join(revisions))


class Peers:
    """Exchanges one member's rows and configuration with its neighbours.

    Parameters
    ----------
    board : Board
        Rows to exchange.
    transport : Transport
        Sends the messages.
    config : ConfigPort
        Configuration to exchange.
    answer_query : Callable
        Returns the answer to a query of another member.
    clock : Callable
        Monotonic time in seconds.
    on_rows : Callable
        Reads newly received rows; may raise DecodeError.
    loads : LoadPort, optional
        Loads to send with each exchange.
    is_mutual : Callable
        Returns whether a neighbour has this member as its neighbour too, so that
        only one of the two needs to start exchanges; true for all by default.
    forwards_rows : Callable
        Returns whether rows of other members are forwarded to neighbours; by default
        this is done in groups too large for a full mesh.
    """

    def __init__(
        self,
        board: Board,
        transport: Transport,
        *,
        config: ConfigPort,
        answer_query: Callable[[bytes], Awaitable[bytes]],
        clock: Clock,
        rng: random.Random,
        on_rows: Callable[[Sequence[Row]], None] = lambda rows: None,
        loads: LoadPort | None = None,
        is_mutual: Callable[[str], bool] = lambda name: True,
        forwards_rows: Callable[[], bool] | None = None,
    ):
        self.board = board
        self.stats = PeerStats()
        self._transport = transport
        self._config = config
        self._answer_query = answer_query
        self._clock = clock
        self._rng = rng
        self._on_rows = on_rows
        self._loads = loads
        self._is_mutual = is_mutual
        self._forwards_rows = forwards_rows or self._exceeds_full_mesh
        self._last_received_s: dict[str, Seconds] = {}
        self._last_failed_s: dict[str, Seconds] = {}
        self._peer_digests: dict[str, Digest] = {}
        self._round_requested = asyncio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._decoder = msgspec.msgpack.Decoder(Exchange | Query | QueryReply)

    def request_round(self) -> None:
        """Start the next round at once, and with all neighbours."""
        self._round_requested.set()

    def unresponsive(self) -> set[str]:
        """Return the members that failed to answer in the last ``UNRESPONSIVE_S``."""
        now = self._clock()
        return {
            n for n, at_s in self._last_failed_s.items() if now - at_s < UNRESPONSIVE_S
        }

    async def run(
        self, addresses: Callable[[], Mapping[str, str]], *, interval_s: Seconds
    ) -> None:
        """Exchange with neighbours, in rounds, until cancelled.

        Parameters
        ----------
        addresses : Callable
            Returns the address of each neighbour by its name.
        interval_s : float
            Average time between two rounds in seconds.
        """
        while True:
            all_neighbours = self._round_requested.is_set()
            self._round_requested.clear()
            await self.run_round(addresses(), all_neighbours=all_neighbours)
            await asyncio.sleep(MIN_ROUND_PAUSE_S)
            pause_s = interval_s * self._rng.uniform(0.8, 1.2)
            await wait_set(self._round_requested, pause_s)

    async def run_round(
        self, addresses: Mapping[str, str], *, all_neighbours: bool = False
    ) -> None:
        """Exchange once with each neighbour that this member has to contact.

        Parameters
        ----------
        all_neighbours : bool
            Whether to contact also neighbours that usually contact this member.
        """
        exchanges = [
            self.exchange(name, address)
            for name, address in addresses.items()
            if all_neighbours or self._must_contact(name)
        ]
        await asyncio.gather(*exchanges)

    async def exchange(self, name: str, address: str) -> bool:
        """Exchange rows, loads and configuration; return whether the member replied."""
        message = self._exchange_request(name)
        reply = await self._send(address, message)
        if reply is None:
            self._peer_digests.pop(name, None)
            self._last_failed_s[name] = self._clock()
            return False
        self._last_failed_s.pop(name, None)
        self._apply_exchange(reply)
        if self._loads is not None and reply.loads:
            self._call_decoder(name, self._loads.handle_response, name, reply.loads)
        differs = reply.config_hash != config_hash(self._config.get_state())
        if differs and reply.revisions is not None:
            await self._reconcile_config(address, reply.revisions)
        return True

    async def query_all(
        self, addresses: Mapping[str, str], body: bytes, *, timeout_s=QUERY_TIMEOUT_S
    ) -> dict[str, bytes]:
        """Send a query to members; return the answers that came in time, by name."""
        query = self._encode(Query(PROTOCOL_VERSION, self.board.name, body))

        async def query_one(name: str, address: str) -> tuple[str, bytes | None]:
            try:
                return name, await self._query(address, query, timeout_s)
            except TransportError:
                return name, None

        queries = [query_one(name, address) for name, address in addresses.items()]
        answers = await asyncio.gather(*queries)
        return {name: body for name, body in answers if body is not None}

    async def query(
        self, name: str, address: str, body: bytes, timeout_s: Seconds
    ) -> bytes:
        """Send a query to one member and return its answer.

        Raises
        ------
        TransportError
            If there is no valid answer within ``timeout_s``.
        """
        query = self._encode(Query(PROTOCOL_VERSION, self.board.name, body))
        try:
            return await self._query(address, query, timeout_s)
        except TransportError:
            self._last_failed_s[name] = self._clock()
            raise

    async def handle(self, raw: bytes) -> bytes:
        """Return the encoded reply to one message of another member.

        Raises
        ------
        TransportError
            If the message is malformed or neither a query nor an exchange.
        """
        message = self._decode(raw)
        if isinstance(message, Query):
            body = await self._answer_query(message.body)
            return self._encode(QueryReply(self.board.name, body))
        if not isinstance(message, Exchange):
            raise TransportError("expected an Exchange or a Query message")
        self._apply_exchange(message)
        return self._encode(self._exchange_reply(message))

    def _exchange_reply(self, message: Exchange) -> Exchange:
        state = self._config.get_state()
        own_hash = config_hash(state)
        revisions = None
        sections: tuple[WireSection, ...] = ()
        loads = None
        if self._loads is not None and message.loads:
            sender = message.sender
            loads = self._call_decoder(
                sender, self._loads.handle_request, sender, message.loads
            )
        if message.revisions is not None:
            sections = _newer_sections(state, message.revisions)
        elif message.config_hash != own_hash:
            revisions = _section_revisions(state)
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

    def _exchange_request(self, name: str) -> Exchange:
        return Exchange(
            PROTOCOL_VERSION,
            self.board.name,
            self.board.digest(),
            self._rows_to_push(self._peer_digests.get(name, {})),
            config_hash(self._config.get_state()),
            loads=self._loads.make_request(name) if self._loads is not None else b"",
        )

    def _rows_to_push(self, peer_digest: Digest) -> tuple[Row, ...]:
        """Return rows for a member by its last digest, which may be out of date.

        In a full mesh every member sends its own rows to all others, so that it would
        only be repetition to forward the rows of others.
        """
        if not peer_digest:
            return ()
        rows = self.board.delta(peer_digest)
        if not self._forwards_rows():
            rows = [row for row in rows if row.origin == self.board.name]
        return tuple(rows)

    def _exceeds_full_mesh(self) -> bool:
        return len(self.board.members()) > FULL_MESH_MAX_MEMBERS

    async def _reconcile_config(
        self, address: str, peer_revisions: Mapping[str, int]
    ) -> None:
        """Send the sections that a peer lacks, and store those that it returns."""
        state = self._config.get_state()
        message = Exchange(
            PROTOCOL_VERSION,
            self.board.name,
            self.board.digest(),
            (),
            config_hash(state),
            _section_revisions(state),
            _newer_sections(state, peer_revisions),
        )
        reply = await self._send(address, message)
        if reply is not None:
            self._apply_exchange(reply)

    async def _query(self, address: str, query: bytes, timeout_s: Seconds) -> bytes:
        raw = await self._transport.request(address, query, timeout_s=timeout_s)
        reply = self._decode(raw)
        if not isinstance(reply, QueryReply):
            raise TransportError("expected a QueryReply message")
        return reply.body

    async def _send(self, address: str, message: Exchange) -> Exchange | None:
        """Send an exchange and return the reply, None if there is no valid one."""
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

    def _apply_exchange(self, message: Exchange) -> None:
        """Store the rows and sections of an exchange, and the peer's digest."""
        self._peer_digests[message.sender] = message.digest
        self._last_received_s[message.sender] = self._clock()
        new_rows = self.board.merge(message.rows, now=self._clock())
        if message.sections:
            self._config.merge_sections(
                [
                    Section(s.name, s.revision, s.items, s.recent)
                    for s in message.sections
                ]
            )
        self._deliver_rows(new_rows)

    def _deliver_rows(self, rows: Sequence[Row]) -> None:
        """Pass new rows to ``on_rows``, and request a round if rows are forwarded.

        Each row is passed by itself, so that a malformed one does not affect others.
        """
        for row in rows:
            self._call_decoder(row.origin, self._on_rows, [row])
        if rows and self._forwards_rows():
            self.request_round()

    def _call_decoder(self, peer: str, read: Callable[..., T], *args: Any) -> T | None:
        """Call a function that decodes and applies a peer's bytes.

        Return its result, or log the error and return None if it fails.
        """
        try:
            return read(*args)
        except DECODE_ERRORS as exc:
            self.stats.malformed += 1
            _log.warning(
                "unreadable bytes of a peer dropped",
                extra={"peer": peer, "reason": str(exc)},
            )
        except Exception:
            self.stats.malformed += 1
            _log.exception("bytes of a peer not applied", extra={"peer": peer})
        return None

    def _must_contact(self, name: str) -> bool:
        """Return whether this member has to contact a neighbour in a usual round.

        One member of each pair does, by a hash of their names.  The other one does if
        it has received nothing from the first for a second.
        """
        if not self._is_mutual(name):
            return True
        pair_hash = hash64(min(name, self.board.name) + max(name, self.board.name))
        comes_first = name < self.board.name
        if (pair_hash % 2 == 0) == comes_first:
            return True
        received_s = self._last_received_s.get(name)
        return received_s is None or self._clock() - received_s > 1.0

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
        except DECODE_ERRORS as exc:
            self.stats.malformed += 1
            raise TransportError(f"malformed message: {exc}") from exc


def _section_revisions(state: ConfigState) -> dict[str, int]:
    return {s.name: s.revision for s in state.sections.values()}


def _newer_sections(
    state: ConfigState, peer_revisions: Mapping[str, int]
) -> tuple[WireSection, ...]:
    return tuple(
        WireSection(s.name, s.revision, dict(s.items), s.recent_change_ids)
        for s in state.sections.values()
        if s.revision > peer_revisions.get(s.name, 0)
    )
