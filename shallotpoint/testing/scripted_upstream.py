"""An upstream whose every answer a test writes, byte by byte if it wants to."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from dataclasses import dataclass, field

import httptools


@dataclass(slots=True)
class Received:
    """One request as the upstream read it."""

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    connection: int = 0


@dataclass(slots=True)
class Line:
    """The connection on which a script answers."""

    writer: asyncio.StreamWriter
    reader: asyncio.StreamReader
    request: Received

    async def send(self, data: bytes) -> None:
        """Send bytes as they are."""
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
        """Send a whole answer with a length, for this request or another."""
        named = request or self.request.headers["x-request-id"]
        lines = [
            f"HTTP/1.1 {status} Status",
            f"x-request-id: {named}",
            f"content-length: {len(body)}",
            *headers,
        ]
        await self.send("\r\n".join(lines).encode() + b"\r\n\r\n" + body)

    async def start_stream(self) -> None:
        """Send the head of a stream in chunks."""
        named = self.request.headers["x-request-id"]
        await self.send(
            b"HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n"
            b"transfer-encoding: chunked\r\nx-request-id: "
            + named.encode()
            + b"\r\n\r\n"
        )

    async def chunk(self, data: bytes) -> None:
        """Send one chunk; an empty one ends the stream."""
        await self.send(b"%x\r\n" % len(data) + data + b"\r\n")

    async def events(self, first: int, last: int) -> None:
        """Send events with these ids."""
        for number in range(first, last + 1):
            await self.chunk(event(number))

    def reset(self) -> None:
        """End the connection with a reset."""
        sock = self.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self.writer.transport.abort()

    def close(self) -> None:
        """End the connection in order."""
        self.writer.close()

    async def closed_by_peer(self) -> None:
        """Return when the other side has closed."""
        while await self.reader.read(1_024):
            pass


Script = Callable[[Line], Awaitable[None]]


def event(number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class ScriptedUpstream:
    """Answers the n-th request by the n-th script, later ones by the last."""

    def __init__(self, *scripts: Script):
        self.scripts = list(scripts) or [Line.answer]
        self.received: list[Received] = []
        self.address = ""
        self.connections = 0

    @contextlib.asynccontextmanager
    async def serving(self, address: str = "127.0.0.1:0") -> AsyncIterator[str]:
        """Listen for the length of a ``with`` block; yield the address."""
        host, _, port = address.rpartition(":")
        server = await asyncio.start_server(self._connected, host, int(port))
        bound = server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        try:
            yield self.address
        finally:
            server.close()

    async def _connected(self, reader, writer) -> None:
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
                await self.scripts[index](Line(writer, reader, request))
        writer.close()


class _Collector:
    """Takes what the parser finds."""

    def __init__(self) -> None:
        self.request = Received()
        self.done = False

    def on_url(self, url: bytes) -> None:
        self.request.target += url.decode()

    def on_header(self, name: bytes, value: bytes) -> None:
        self.request.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.request.body += body

    def on_message_complete(self) -> None:
        self.done = True


async def _read_request(reader: asyncio.StreamReader) -> Received | None:
    found = _Collector()
    parser = httptools.HttpRequestParser(found)
    while not found.done:
        data = await reader.read(65_536)
        if not data:
            return None
        parser.feed_data(data)
    found.request.method = parser.get_method().decode()
    return found.request
