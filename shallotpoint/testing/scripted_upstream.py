"""An HTTP upstream whose answers tests define, down to the bytes if needed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class ReceivedRequest:
    """A request as the upstream received it.

    Attributes
    ----------
    target : str
        Path and query as sent.
    headers : dict of str
        Values by header name in lower case.
    connection : int
        Number of the connection that carried it, from 1.
    """

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connection: int = 0


@dataclass(slots=True)
class ScriptedConnection:
    """A connection with the request that a script answers on it."""

    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    request: ReceivedRequest

    async def send(self, data: bytes) -> None:
        """Send bytes unchanged."""
        self.writer.write(data)
        await self.writer.drain()

    async def answer(
        self,
        status: int = 200,
        body: bytes = b"ok",
        *,
        headers: Sequence[str] = (),
        request: str | None = None,
    ) -> None:
        """Send a complete answer with a ``content-length``.

        ``request`` is the request id that the answer names; by default that of the
        received request.
        """
        request_id = request or self.request.headers["x-request-id"]
        lines = [
            f"HTTP/1.1 {status} Status",
            f"x-request-id: {request_id}",
            f"content-length: {len(body)}",
            *headers,
        ]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def start_stream(self) -> None:
        """Send the headers of an event stream with chunked encoding."""
        request_id = self.request.headers["x-request-id"]
        await self.send(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\nx-request-id: "
            + request_id.encode()
            + b"\r\n\r\n"
        )

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty chunk ends the stream."""
        await self.send(b"%x\r\n" % len(data) + data + b"\r\n")

    async def events(self, first: int, last: int) -> None:
        """Send the events with ids from ``first`` to ``last``, one chunk each."""
        for number in range(first, last + 1):
            await self.chunk(event(number))

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        reset_at_close(self.writer.get_extra_info("socket"))
        self.writer.transport.abort()

    def close(self) -> None:
        """Close the connection after all sent data."""
        self.writer.close()

    async def closed_by_peer(self) -> None:
        """Wait until the other side closes the connection."""
        while await self.reader.read(1_024):
            pass


Script = Callable[[ScriptedConnection], Awaitable[None]]


def reset_connection(sock: socket.socket) -> None:
    """Close a connected socket with a TCP reset."""
    reset_at_close(sock)
    sock.close()


def reset_at_close(sock: socket.socket) -> None:
    """Let the close of a connected socket send a TCP reset."""
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))


def event(number: int) -> bytes:
    """Return a server-sent event with this id."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class ScriptedUpstream:
    """Answers the n-th request with the n-th script, further requests with the last.

    Parameters
    ----------
    *scripts : Callable
        Scripts; by default one that answers with status 200.

    Attributes
    ----------
    received : list of ReceivedRequest
        All requests, in the order of their arrival.
    address : str
        Address of the server, as ``host:port``.
    connections : int
        Number of connections that were opened.
    """

    def __init__(self, *scripts: Script):
        self.scripts = list(scripts) or [ScriptedConnection.answer]
        self.received: list[ReceivedRequest] = []
        self.address = ""
        self.connections = 0

    @contextlib.asynccontextmanager
    async def serving(self, address: str = "127.0.0.1:0") -> AsyncIterator[str]:
        """Run the server during a ``with`` block; yield its address."""
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(self._serve_connection, host, int(port))
        socket_name = server.sockets[0].getsockname()
        self.address = f"{socket_name[0]}:{socket_name[1]}"
        try:
            yield self.address
        finally:
            server.close()

    async def _serve_connection(self, reader, writer) -> None:
        self.connections += 1
        number = self.connections
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while True:
                request = await _read_request(reader)
                if request is None:
                    break
                request.connection = number
                self.received.append(request)
                index = min(len(self.received), len(self.scripts)) - 1
                await self.scripts[index](ScriptedConnection(writer, reader, request))
        writer.close()


class _RequestBuilder:
    """Builds a request from the parser's callbacks."""

    def __init__(self) -> None:
        self.request = ReceivedRequest()
        self.done = False

    def on_url(self, url: bytes) -> None:
        self.request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        self.done = True


async def _read_request(reader: asyncio.StreamReader) -> ReceivedRequest | None:
    builder = _RequestBuilder()
    parser = httptools.HttpRequestParser(builder)
    while not builder.done:
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    builder.request.method = parser.get_method().decode()
    return builder.request
