"""HTTP servers inside an event loop that somebody else owns."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import itertools
import logging
import socket
import ssl
from collections import deque
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass
from typing import Any, cast

import httptools
import uvicorn
from uvicorn.protocols.http.flow_control import FlowControl
from uvicorn.protocols.http.httptools_impl import (
    STATUS_LINE,
    HttpToolsProtocol,
    RequestResponseCycle,
)

from shallotpoint.ingress import Ingress, Waiting, choose_closed
from shallotpoint.ingress.bounds import UNKNOWN_CONNECTIONS
from shallotpoint.ingress.memory import Holding
from shallotpoint.types import Seconds

BACKLOG = 2_048  # of the kernel, which keeps them without descriptors of the process
ACCEPTS_AT_ONCE = 32  # connections that are accepted in one turn of the loop
ACCEPT_RETRY_S = 0.2  # after an error, such as no descriptors in the whole system
FULL_POLL_S = 0.05  # between two looks for a place while all connections are served
HANDSHAKE_S = 10.0  # of TLS
KEEP_ALIVE_S = 75.0  # for callers without a configured limit
HEAD_S = 10.0  # likewise; many times the travel of a request's head
STOP_SLACK_S = 0.3  # beyond a stop's grace time, for three ticks of the server
SUPPORTED_VERSIONS = ("1.0", "1.1")  # the parser takes a missing one for 0.9
HEADER_BYTES = 32 << 10  # of all headers of a request, twice what operators configure
TARGET_BYTES = 16 << 10
FIELD_LINE_BYTES = 4  # of a header's line, beside its name and value
EMPTY_LINE_BYTES = 1 << 10  # before a request
CHUNK_BYTES = 64 << 10  # of a chunked body's framing, and as many again as follows
CHUNK_BYTES_PER_BYTE = 32  # a chunk of a byte takes 6, with a short extension 20
SLICE_BYTES = 16 << 10  # parsed at once, between two checks of the limits
TURN_BYTES = 64 << 10  # of bodies that a connection has parsed in one turn of the loop
FRAMING_COST = 4  # bytes of bodies that take as long to parse as one other byte
UNREAD_S = 15.0  # without a byte taken by a caller, before its connection is cut
PIPELINED_REQUESTS = 64  # on one connection, before the first of them is answered
RETRY_S = 1  # told to callers that are refused as too many
CONNECTION_BYTES = 12 << 10  # of an open connection, its parser and its buffers
FIELD_OVERHEAD_BYTES = 200  # of a header in memory, beside its text

_numbers = itertools.count(1)
_log = logging.getLogger(__name__)


@dataclass(slots=True)
class ConnectionLimits:
    """How long a caller's connection may wait for a request; may be changed.

    Attributes
    ----------
    head_s : float
        From the first byte of a request to the end of its headers, in seconds.
    idle_s : float
        Without any request, in seconds.
    header_bytes : int
        Of all headers of a request, and of all trailers.
    """

    head_s: Seconds = HEAD_S
    idle_s: Seconds = KEEP_ALIVE_S
    header_bytes: int = HEADER_BYTES


@dataclass(frozen=True, slots=True)
class _Refusal:
    """Answer to bytes that are not accepted; the connection is closed after it."""

    status: int
    reason: str
    name: str
    retry_after_s: int | None = None

    def encode(self) -> bytes:
        """Return the bytes of the answer."""
        body = self.reason.encode()
        lines = [b"content-type: text/plain; charset=utf-8"]
        lines.append(b"content-length: %d" % len(body))
        if self.retry_after_s is not None:
            lines.append(b"retry-after: %d" % self.retry_after_s)
        lines += [b"connection: close", b"", body]
        return STATUS_LINE[self.status] + b"\r\n".join(lines)


_INVALID = _Refusal(400, "Invalid HTTP request received.", "invalid")
_TUNNEL = _Refusal(400, "Tunnels are not supported.", "tunnel")
_EMPTY_LINES = _Refusal(400, "Too many empty lines before a request.", "empty_lines")
_CHUNK_FRAMING = _Refusal(400, "The framing of the chunks is too long.", "framing")
_LONG_TARGET = _Refusal(414, "The request target is too long.", "target")
_LONG_HEADERS = _Refusal(431, "The headers or trailers are too long.", "headers")
_PIPELINED = _Refusal(
    503, "Too many requests before the first answer.", "pipelined", RETRY_S
)
_NO_MEMORY = _Refusal(503, "No memory for the request now.", "memory", RETRY_S)
_NO_PLACE = _Refusal(503, "Too many connections.", "connections", RETRY_S)
_NEVER_FITS = _Refusal(413, "The request is too large for this host.", "too_large")


class _Refused(httptools.HttpParserError):
    """Ends the parsing of a request that exceeds a limit."""


class _ReadingGate(FlowControl):
    """Pauses reading for the application, and beside that while the gate is held."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self._is_paused = False
        self._is_held = False

    def pause_reading(self) -> None:
        self._is_paused = True
        self._apply()

    def resume_reading(self) -> None:
        self._is_paused = False
        self._apply()

    def hold(self) -> None:
        """Read nothing until :meth:`release`."""
        self._is_held = True
        self._apply()

    def release(self) -> None:
        """Read again, unless the application has paused reading."""
        self._is_held = False
        self._apply()

    def _apply(self) -> None:
        if self._is_paused or self._is_held:
            super().pause_reading()
        else:
            super().resume_reading()


class _LimitedProtocol(HttpToolsProtocol):
    """Ends connections that are idle, or slow with a request's head, for too long.

    Bytes are counted as they arrive, before more of them are parsed: the parser itself
    keeps a header without end, and reads empty lines and extensions without end.

    The scope of each request names its place: the connection's number in this
    process and the request's on it, as ``12.3``.
    """

    def __init__(
        self,
        *args: Any,
        limits: ConnectionLimits,
        ingress: Ingress,
        on_lost: Callable[[], None],
        **options: Any,
    ):
        super().__init__(*args, **options)
        self._limits = limits
        self._ingress = ingress
        self._on_lost = on_lost
        self._has_served = False
        self._head_timer: asyncio.TimerHandle | None = None
        self.number = next(_numbers)
        self._holding = Holding(self.number, self._drop)
        self._charged_bytes: dict[RequestResponseCycle, int] = {}
        self._requests = 0
        self._idle_since_s: Seconds = 0.0
        self._is_head_complete = False
        self._is_body_expected = False
        self._refusal: _Refusal | None = None
        self._is_in_request = False
        self._empty_line_bytes = 0
        self._trailer_bytes = 0
        self._unparsed = b""  # read, and left for later turns of the loop
        self._unread_timer: asyncio.TimerHandle | None = None
        self._unread_bytes = 0
        self._silent_bytes = 0  # parsed since the parser last reported something
        self._has_reported = False
        self._body_phase_bytes = 0
        self._body_bytes = 0
        self._all_body_bytes = 0
        self._unanswered: list[RequestResponseCycle] = []

    def connection_made(self, transport) -> None:
        super().connection_made(transport)
        self.flow = self._gate = _ReadingGate(transport)
        self._idle_since_s = self.loop.time()
        self._close_when_idle()
        if self._ingress.memory.grow(
            self._holding, CONNECTION_BYTES, self._idle_since_s
        ):
            self._ingress.memory.complete(self._holding)
        else:
            self._refuse(_NO_MEMORY)

    def connection_lost(self, exc: Exception | None) -> None:
        self._head_came()
        self._ingress.memory.close(self._holding)
        self._charged_bytes.clear()
        self._unparsed = b""
        if self._unread_timer is not None:
            self._unread_timer.cancel()
        self._on_lost()
        for cycle in self._unanswered:  # the server itself tells the last one only
            if not cycle.response_complete:
                cycle.disconnected = True
                cycle.message_event.set()
        super().connection_lost(exc)

    def pause_writing(self) -> None:
        super().pause_writing()
        self._unread_bytes = self.transport.get_write_buffer_size()
        self._unread_timer = self.loop.call_later(UNREAD_S, self._check_unread)

    def resume_writing(self) -> None:
        super().resume_writing()
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None

    def _check_unread(self) -> None:
        """Cut the connection if the caller has taken nothing since the last check."""
        unread_bytes = self.transport.get_write_buffer_size()
        if unread_bytes >= self._unread_bytes:
            self._ingress.on_refusal("unread")
            self.transport.abort()
            return
        self._unread_bytes = unread_bytes
        self._unread_timer = self.loop.call_later(UNREAD_S, self._check_unread)

    def on_message_complete(self) -> None:
        self._has_reported = True
        if not self.parser.should_upgrade():
            self._is_body_expected = False
            self._is_in_request = False
            self._empty_line_bytes = 0
            self._request_came()
            super().on_message_complete()

    def on_message_begin(self) -> None:
        super().on_message_begin()
        self._has_reported = True
        self._is_in_request = True
        self._is_head_complete = False
        self._requests += 1
        self.scope["place"] = f"{self.number}.{self._requests}"  # type: ignore
        if self.cycle is not None and not self.cycle.response_complete:
            _log.info(
                "request before the last answer",
                extra={
                    "connection": self.scope["place"],  # type: ignore
                    "client": str(self.client),
                    "begun": self.cycle.response_started,
                },
            )
        self._expect_head(self._limits.head_s)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; an offer of an upgrade is ignored.

        The parser ends a request that offers an upgrade at its head.  It is parsed
        again without the offer, so that its body is read as such.
        """
        self._unparsed += data
        if len(self._unparsed) == len(data):
            self._parse_turn()

    def _parse_turn(self) -> None:
        """Parse what has come, up to the share of one turn of the loop.

        Bytes that are no body take longest to parse, and callers may send them without
        end.
        """
        cost_bytes = start = 0
        data = self._unparsed
        while start < len(data) and cost_bytes < TURN_BYTES:
            if self._refusal is not None or self.transport.is_closing():
                start = len(data)
                break
            part = data[start : start + SLICE_BYTES]
            start += len(part)
            body_bytes = self._all_body_bytes
            if not self._is_in_request:
                part = self._skip_empty_lines(part)
            if part and self._refusal is None:
                self._unset_keepalive_if_required()
                self._parse(part)
            framing_bytes = max(0, len(part) - self._all_body_bytes + body_bytes)
            cost_bytes += len(part) + (FRAMING_COST - 1) * framing_bytes
        self._unparsed = data[start:]
        if cost_bytes >= TURN_BYTES and not self.transport.is_closing():
            self._gate.hold()
            self.loop.call_soon(self._continue)

    def _continue(self) -> None:
        """Go on in the next turn of the loop."""
        if self.transport.is_closing():
            self._unparsed = b""
            return
        self._gate.release()
        if self._unparsed:
            self._parse_turn()

    def _skip_empty_lines(self, data: bytes) -> bytes:
        """Return the data without the empty lines before a request."""
        rest = data.lstrip(b"\r\n")
        self._empty_line_bytes += len(data) - len(rest)
        if self._empty_line_bytes > EMPTY_LINE_BYTES:
            self._refuse(_EMPTY_LINES)
        return rest

    def _parse(self, data: bytes) -> None:
        """Parse one slice of what came."""
        while True:
            self._has_reported = False
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                head = self._encode_head_without_offer()
                if head is None:
                    self._refuse(_TUNNEL)
                    return
                self.parser = _make_parser(self)  # the old one keeps the offer's state
                self._requests -= 1
                data = head + data[exc.args[0] :]
                continue
            except httptools.HttpParserError as exc:
                cause = exc if isinstance(exc, _Refused) else exc.__context__
                refused = isinstance(cause, _Refused)
                self._refuse(cause.args[0] if refused and cause else _INVALID)
                return
            try:
                self._check_framing(len(data))
            except _Refused as exc:
                self._refuse(exc.args[0])
            return

    def _check_framing(self, parsed_bytes: int) -> None:
        """Raise _Refused for too many bytes that are not part of a body."""
        if self._has_reported:
            self._silent_bytes = 0
        else:
            self._silent_bytes += parsed_bytes
        if not self._is_in_request:
            if self._silent_bytes > EMPTY_LINE_BYTES:
                raise _Refused(_EMPTY_LINES)
        elif not self._is_head_complete:
            if self._silent_bytes > self._limits.header_bytes + TARGET_BYTES:
                raise _Refused(_LONG_HEADERS)
            self._charge(parsed_bytes)
        else:
            self._body_phase_bytes += parsed_bytes
            framing = self._body_phase_bytes - self._body_bytes
            allowed = CHUNK_BYTES + CHUNK_BYTES_PER_BYTE * self._body_bytes
            if framing > max(allowed, self._limits.header_bytes):
                raise _Refused(_CHUNK_FRAMING)
            if self._silent_bytes > max(CHUNK_BYTES, self._limits.header_bytes):
                raise _Refused(_CHUNK_FRAMING)

    def _charge(self, size_bytes: int) -> None:
        """Charge bytes of the request that is being read.

        Raises
        ------
        _Refused
            There is no memory for them.
        """
        memory = self._ingress.memory
        if not memory.grow(self._holding, size_bytes, self.loop.time()):
            wanted_bytes = self._holding.size_bytes + size_bytes
            never_fits = wanted_bytes > memory.large_bytes
            raise _Refused(_NEVER_FITS if never_fits else _NO_MEMORY)

    def _request_came(self) -> None:
        """Charge a complete request until it is answered."""
        self._has_served = True
        charged_bytes = self._ingress.memory.complete(self._holding)
        if self.cycle.response_complete or self._refusal is not None:
            self._ingress.memory.shrink(self._holding, charged_bytes)
        else:
            self._charged_bytes[self.cycle] = charged_bytes
        if self.cycle.response_complete:
            self._idle_since_s = self.loop.time()
            self._close_when_idle()

    def waiting(self) -> Waiting | None:
        """Return since when the connection waits; None while it is being served."""
        if self.transport is None or self.transport.is_closing():
            return None
        unanswered = [c for c in self._unanswered if not c.response_complete]
        if self._is_body_expected:
            unanswered = [c for c in unanswered if c is not self.cycle]
        if unanswered:
            return None
        since_s = max(self._idle_since_s, self._holding.progress_s)
        return Waiting(self.number, since_s, self._has_served)

    def close_for_another(self) -> None:
        """Close the connection, as another one needs its place."""
        if self._is_in_request:
            self._refuse(_NO_PLACE)
        elif not self.transport.is_closing():
            self._ingress.on_refusal(_NO_PLACE.name)
            if self.transport.get_write_buffer_size():
                self.transport.abort()  # it would stay until its caller reads
            else:
                self.transport.close()

    def _drop(self) -> None:
        """Refuse the request that is being read, for the memory that it holds."""
        self._refuse(_NO_MEMORY)

    def _refuse(self, refusal: _Refusal) -> None:
        """Refuse what came last, once the requests before are answered.

        A request whose body is incomplete has not run: the application runs it once
        it has all of it.
        """
        if self._refusal is not None:
            return
        self._ingress.on_refusal(refusal.name)
        memory = self._ingress.memory
        memory.shrink(self._holding, memory.complete(self._holding))
        if self._is_body_expected:
            faulty = self.cycle
            faulty.body = bytearray()
            self.pipeline = deque(p for p in self.pipeline if p[0] is not faulty)
            self._unanswered = [c for c in self._unanswered if c is not faulty]
            if faulty.response_started:
                self.transport.close()
                return
        self._refusal = refusal
        self._send_refusal_in_turn()

    def _send_refusal_in_turn(self) -> None:
        """Send the refusal, if any, once all requests before it are answered."""
        answered = all(cycle.response_complete for cycle in self._unanswered)
        if self._refusal is not None and answered and not self.transport.is_closing():
            self.transport.write(self._refusal.encode())
            self.transport.close()
            self._abort_later()

    def _abort_later(self) -> None:
        """Cut a connection that is being closed if its caller does not read."""
        self._head_came()
        self._head_timer = self.loop.call_later(UNREAD_S, self.transport.abort)

    def _encode_head_without_offer(self) -> bytes | None:
        """Return the head of the request without its ``Upgrade``; None for CONNECT."""
        method = self.parser.get_method()
        if method == b"CONNECT":
            return None
        version = self.parser.get_http_version().encode()
        lines = [b"%s %s HTTP/%s" % (method, self.url, version)]
        lines += [b"%s: %s" % pair for pair in self.headers if pair[0] != b"upgrade"]
        return b"\r\n".join(lines) + b"\r\n\r\n"

    def on_url(self, url: bytes) -> None:
        if len(self.url) + len(url) > TARGET_BYTES:
            raise _Refused(_LONG_TARGET)
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        if not self._is_head_complete:
            super().on_header(name, value)
            return
        self._trailer_bytes += len(name) + len(value) + FIELD_LINE_BYTES
        if self._trailer_bytes > self._limits.header_bytes:
            raise _Refused(_LONG_HEADERS)

    def on_body(self, body: bytes) -> None:
        self._has_reported = True
        self._body_bytes += len(body)
        self._all_body_bytes += len(body)
        if not self.cycle.response_complete:
            self._charge(len(body))
        super().on_body(body)

    def on_headers_complete(self) -> None:
        self._head_came()
        self._has_reported = True
        self._is_head_complete = True  # further fields are trailers, which are dropped
        text_bytes = sum(map(len, itertools.chain.from_iterable(self.headers)))
        header_bytes = text_bytes + FIELD_LINE_BYTES * len(self.headers)
        if header_bytes > self._limits.header_bytes:
            raise _Refused(_LONG_HEADERS)
        overhead_bytes = FIELD_OVERHEAD_BYTES * len(self.headers)
        head_bytes = len(self.url) + header_bytes + overhead_bytes
        self._trailer_bytes = 0
        self._body_phase_bytes = self._body_bytes = 0
        version = self.parser.get_http_version()
        if version not in SUPPORTED_VERSIONS:
            raise httptools.HttpParserError(f"HTTP/{version} is not supported")
        if self.parser.should_upgrade():
            return  # the request is parsed again
        waiting = [c for c in self._unanswered if not c.response_complete]
        if len(waiting) >= PIPELINED_REQUESTS:
            raise _Refused(_PIPELINED)
        self._charge(head_bytes)
        self._is_body_expected = True
        super().on_headers_complete()
        self._unanswered = [*waiting, self.cycle]

    def on_response_complete(self) -> None:
        self._idle_since_s = self.loop.time()
        for cycle in [c for c in self._charged_bytes if c.response_complete]:
            charged_bytes = self._charged_bytes.pop(cycle)
            self._ingress.memory.shrink(self._holding, charged_bytes)
        if self._is_body_expected and self.cycle.response_complete:
            # The rest of its body has the time of a head to come.
            self._expect_head(self._limits.head_s)
        self.timeout_keep_alive = self._limits.idle_s  # type: ignore[assignment]
        super().on_response_complete()
        if self.transport.is_closing():
            self._abort_later()
        self._send_refusal_in_turn()

    def timeout_keep_alive_handler(self) -> None:
        self.timeout_keep_alive_task = None
        self._close_when_idle()

    def _close_when_idle(self) -> None:
        """Close the connection once it has been idle for the limit in force then.

        A caller that knows of a longer limit may use the connection for that long.
        """
        left_s = self._idle_since_s + self._limits.idle_s - self.loop.time()
        if left_s > 0:
            self._head_came()
            self._head_timer = self.loop.call_later(left_s, self._close_when_idle)
        elif not self.transport.is_closing():
            self.transport.close()
            self._abort_later()

    def _expect_head(self, within_s: Seconds) -> None:
        self._head_came()
        self._head_timer = self.loop.call_later(within_s, self._too_slow, within_s)

    def _head_came(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()

    def _too_slow(self, within_s: Seconds) -> None:
        if self.cycle is not None and not self.cycle.response_complete:
            # The request before it is still being answered.
            self._expect_head(within_s)
            return
        self.transport.close()
        self._abort_later()


def _make_parser(protocol: HttpToolsProtocol) -> httptools.HttpRequestParser:
    """Return a parser as the protocol makes it for a connection."""
    parser = httptools.HttpRequestParser(protocol)
    with contextlib.suppress(AttributeError):
        parser.set_dangerous_leniencies(lenient_data_after_close=True)
    return parser


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class _Acceptor:
    """Accepts connections while there is a place for them.

    At the bound, a connection that waits for a request is closed, and nothing is
    accepted until its descriptor is free.

    Attributes
    ----------
    open : int
        Number of connections that are accepted and not yet closed.
    """

    def __init__(
        self,
        sock: socket.socket,
        make_protocol: Callable[..., _LimitedProtocol],
        *,
        max_connections: int,
        tls: ssl.SSLContext | None,
    ):
        self.open = 0
        self._sock = sock
        self._make_protocol = make_protocol
        self._max_connections = max_connections
        self._tls = tls
        self._loop = asyncio.get_running_loop()
        self._is_reading = False
        self._is_closed = False
        self._protocols: dict[int, _LimitedProtocol] = {}
        self._tasks: set[asyncio.Task] = set()
        self._listen()

    def close(self) -> None:
        """Stop to accept."""
        if not self._is_closed:
            self._is_closed = True
            self._pause()
            self._sock.close()

    async def wait_closed(self) -> None:
        """Return at once, as an asyncio server's connections are not waited for."""

    def _listen(self) -> None:
        if not self._is_closed and not self._is_reading:
            self._is_reading = True
            self._loop.add_reader(self._sock.fileno(), self._accept)

    def _pause(self) -> None:
        if self._is_reading:
            self._is_reading = False
            self._loop.remove_reader(self._sock.fileno())

    def _accept(self) -> None:
        if self.open >= self._max_connections:
            self._pause()
            self._close_one()
            return
        for _ in range(min(ACCEPTS_AT_ONCE, self._max_connections - self.open)):
            try:
                connection, _ = self._sock.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as exc:
                _log.error("connection not accepted", extra={"reason": str(exc)})
                self._pause()
                self._loop.call_later(ACCEPT_RETRY_S, self._listen)
                return
            connection.setblocking(False)
            self.open += 1
            task = self._loop.create_task(self._connect(connection))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    def _close_one(self) -> None:
        waiting = (protocol.waiting() for protocol in self._protocols.values())
        number = choose_closed(found for found in waiting if found is not None)
        if number is not None:
            self._protocols[number].close_for_another()
        # If none could be closed, one becomes idle at some time.
        self._loop.call_later(FULL_POLL_S, self._listen)

    async def _connect(self, connection: socket.socket) -> None:
        protocol: _LimitedProtocol = self._make_protocol(
            on_lost=lambda: self._lost(protocol)
        )
        self._protocols[protocol.number] = protocol
        limits = {"ssl_handshake_timeout": HANDSHAKE_S} if self._tls else {}
        try:
            await self._loop.connect_accepted_socket(
                lambda: protocol, connection, ssl=self._tls, **limits
            )
        except (OSError, TimeoutError) as exc:
            connection.close()
            if protocol.transport is None:
                self._lost(protocol)
            _log.info("connection not opened", extra={"reason": repr(exc)})

    def _lost(self, protocol: _LimitedProtocol) -> None:
        if self._protocols.pop(protocol.number, None) is not None:
            self.open -= 1
            # Once the transport has closed the descriptor.
            self._loop.call_soon(self._listen)


class HttpServer:
    """One ASGI application on one address.

    Parameters
    ----------
    host, port
        Address to listen on; port 0 lets the kernel choose.
    tls : ssl.SSLContext, optional
        Context of the server side.
    ingress : Ingress, optional
        Bounds that all servers of a process share.
    max_connections : int, optional
        Largest number of open connections.

    Attributes
    ----------
    limits : ConnectionLimits
        Changes hold for requests that begin later; a longer idle time also holds for
        connections that are idle.
    """

    def __init__(
        self,
        app: Any,
        *,
        host: str,
        port: int = 0,
        tls: ssl.SSLContext | None = None,
        ingress: Ingress | None = None,
        max_connections: int = UNKNOWN_CONNECTIONS,
    ):
        self._app = app
        self._host = host
        self._port = port
        self._tls = tls
        self.limits = ConnectionLimits()
        self._ingress = ingress or Ingress()
        self._max_connections = max_connections
        self._acceptor: _Acceptor | None = None
        self._server: _QuietServer | None = None
        self._task: asyncio.Task | None = None

    @classmethod
    def at(
        cls,
        address: str,
        app: Any,
        *,
        tls: ssl.SSLContext | None = None,
        ingress: Ingress | None = None,
        max_connections: int = UNKNOWN_CONNECTIONS,
    ) -> HttpServer:
        """Return a server for an address written as ``host:port``."""
        host, _, port = address.rpartition(":")
        return cls(
            app,
            host=host.strip("[]"),
            port=int(port),
            tls=tls,
            ingress=ingress,
            max_connections=max_connections,
        )

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return self._acceptor.open if self._acceptor else 0

    @property
    def address(self) -> str:
        """The address as ``host:port``; the port is known once started."""
        return f"{self._host}:{self._port}"

    @property
    def url(self) -> str:
        """The base URL without a trailing slash."""
        return f"{'https' if self._tls else 'http'}://{self.address}"

    async def start(self) -> None:
        """Listen; OSError when the address is taken."""
        sock = _bind(self._host, self._port)
        self._port = sock.getsockname()[1]
        config = uvicorn.Config(
            self._app,
            http=cast(Any, _LimitedProtocol),
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
        )
        config.load()
        config.ssl = self._tls
        self._server = _QuietServer(config)
        # The acceptor stands in for the library's own servers, which accept all.
        self._task = asyncio.create_task(self._server.serve(sockets=[]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError(f"no server on {self.address}")
            await asyncio.sleep(0.001)
        make_protocol = functools.partial(
            _LimitedProtocol,
            config=config,
            server_state=self._server.server_state,
            app_state={},
            limits=self.limits,
            ingress=self._ingress,
        )
        self._acceptor = _Acceptor(
            sock,
            make_protocol,
            max_connections=self._max_connections,
            tls=self._tls,
        )
        self._server.servers.append(cast(Any, self._acceptor))

    async def stop(self, *, grace_s: Seconds = 5.0) -> None:
        """Stop accepting, finish what runs within ``grace_s``, then close."""
        if self._server is None or self._task is None:
            return
        # The library declares whole seconds and takes fractions as well.
        self._server.config.timeout_graceful_shutdown = cast(int, grace_s)
        self._server.should_exit = True
        await asyncio.wait({self._task}, timeout=grace_s + STOP_SLACK_S)
        if not self._task.done():
            self.crash()
            await asyncio.wait({self._task}, timeout=STOP_SLACK_S)
        self._server = self._task = None

    def crash(self) -> None:
        """Close the listener and cut all connections, as a killed process does."""
        if self._server is None or not self._server.started:
            return
        for listener in self._server.servers:
            listener.close()
        for connection in list(self._server.server_state.connections):
            transport = getattr(connection, "transport", None)
            if transport is not None:
                transport.abort()
        self._server.should_exit = True
        self._server.force_exit = True

    async def restart(self) -> None:
        """Listen again on the same address after a crash."""
        if self._task is not None:
            await asyncio.wait({self._task}, timeout=2.0)
        await self.start()


def _bind(host: str, port: int) -> socket.socket:
    family = socket.AF_INET6 if ":" in host else socket.AF_INET
    sock = socket.socket(family, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((host, port))
    sock.listen(BACKLOG)
    sock.setblocking(False)
    return sock


@contextlib.asynccontextmanager
async def serving(
    app: Any, *, host: str = "127.0.0.1", port: int = 0
) -> AsyncIterator[HttpServer]:
    """Serve an application for the length of a ``with`` block."""
    server = HttpServer(app, host=host, port=port)
    await server.start()
    try:
        yield server
    finally:
        await server.stop(grace_s=1.0)


class CrashToCut:
    """Turns one kind of exception of an application into a cut connection.

    Servers answer 500 when an application fails; a crashed process answers
    nothing.

    Parameters
    ----------
    app : ASGI application
        What to serve.
    crash : type
        The exception that stands for a crash.
    """

    def __init__(self, app: Any, crash: type[Exception]):
        self._app = app
        self._crash = crash

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        held: list[Any] = []

        async def guarded(message: Any) -> None:
            if message["type"] == "http.response.start" and message["status"] == 500:
                held.append(message)
            elif not held:
                await send(message)

        try:
            await self._app(scope, receive, guarded)
        except self._crash:
            transport = getattr(getattr(send, "__self__", None), "transport", None)
            if transport is not None:
                transport.abort()
