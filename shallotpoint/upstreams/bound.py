"""Connections that belong to one upstream, not to its address.

An address may be given to another upstream later, so connections are pooled by
the upstream's name and closed when it leaves.
"""

from __future__ import annotations

import asyncio
import contextlib
import functools
import logging
import os
import socket
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass
from typing import Any

import aiohttp
import yarl
from aiohttp.client_proto import ResponseHandler

from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import Outgoing, translating_failures

CONNECT_S = 0.7  # many times a connection's set-up within a region
KEPT_IDLE_S = 2.0  # below the usual idle limit of servers, which close without notice
USER_TIMEOUT_MS = 2_000  # bytes unacknowledged for this long end a connection
PROBE_AFTER_S = 1  # an idle or silent connection is probed after this time
PROBE_EVERY_S = 1
PROBES = 2
HEAD_BYTES = 64 << 10  # an answer's head, many times the largest that servers send
FIRST_FINAL_STATUS = 200
_log = logging.getLogger(__name__)
_HEAD_END = b"\r\n\r\n"
_NO_BODY = (
    "User-Agent",
    "Accept-Encoding",
    "Accept",
    "Content-Type",
)


@dataclass(slots=True)
class _Sessions:
    """One upstream's connections: kept ones, and such for a single request."""

    kept: aiohttp.ClientSession
    single: aiohttp.ClientSession

    async def close(self) -> None:
        await self.kept.close()
        await self.single.close()


class _GuardedHandler(ResponseHandler):
    """A connection that trusts its other side with less than the library does.

    A reset is never taken for the end of a body, though a body without length or
    chunks ends with its connection.  Bytes that come while no answer is due close
    it, lest they be taken for the next one.  So do bytes that bring neither a head
    nor any part of a body, once they are more than a head may have.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._answered = False
        self._fruitless_bytes = 0

    def set_response_params(self, **params: Any) -> None:
        """Begin to wait for an answer."""
        self._payload = None
        self._answered = False
        self._fruitless_bytes = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Take in a head, which an interim one does not make an answer."""
        message, _ = data
        self._answered = message.code >= FIRST_FINAL_STATUS
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Take in bytes, if an answer is due and they get on with it."""
        payload = self._payload
        if data and self._answered and payload is not None and payload.is_eof():
            _log.warning("bytes after an answer", extra={"bytes": len(data)})
            self.abort()
            return
        if payload is None:
            # Apart from the rest, so that what follows a whole answer cannot undo it.
            end = data.find(_HEAD_END) + len(_HEAD_END)
            if len(_HEAD_END) <= end < len(data):
                self._feed(data[:end])
                data = data[end:]
        self._feed(data)

    def _feed(self, data: bytes) -> None:
        before = self._progress()
        super().data_received(data)
        if self._progress() != before:
            self._fruitless_bytes = 0
            return
        self._fruitless_bytes += len(data)
        if self._fruitless_bytes > HEAD_BYTES and self.transport is not None:
            exc = aiohttp.ClientPayloadError("a head or a chunk's frame without an end")
            self._break_body(exc)
            self.set_exception(exc)
            self.transport.abort()

    def _progress(self) -> tuple[int, int]:
        payload = self._payload
        return (0, 0) if payload is None else (id(payload), payload.total_bytes)

    def eof_received(self) -> None:
        """Look for a reset behind the end of the connection.

        The event loop tells a reset that came together with data as a plain end.
        """
        transport = self.transport
        sock = transport.get_extra_info("socket") if transport is not None else None
        if sock is not None:
            number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
            if number:
                self._break_body(OSError(number, os.strerror(number)))
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Mark a body that is still open as broken if the end was a reset."""
        if exc is not None:
            self._break_body(exc)
        if self._payload is not None and self._payload.is_eof():
            self._payload = None  # whole, whatever the parser thinks of what followed
        super().connection_lost(exc)

    def _break_body(self, exc: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"cut: {exc!r}"))


class BoundClient:
    """Sends requests to upstreams by name."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Sessions] = {}
        self._closing: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Close all connections, and end the requests on them."""
        for task in self._closing:
            task.cancel()
        await asyncio.gather(*self._closing, return_exceptions=True)
        sessions, self._sessions = self._sessions, {}
        await asyncio.gather(*(each.close() for each in sessions.values()))

    def keep(self, upstreams: Iterable[str]) -> None:
        """Close idle connections of all upstreams but these.

        Requests that run on the others end first.
        """
        for name in self._sessions.keys() - set(upstreams):
            self.forget(name)

    def forget(self, upstream: str) -> None:
        """Open new connections to an upstream; requests on the old ones end."""
        sessions = self._sessions.pop(upstream, None)
        if sessions is None:
            return
        task = asyncio.create_task(self._close_when_idle(sessions))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    @contextlib.asynccontextmanager
    async def sending(
        self,
        upstream: str,
        address: str,
        outgoing: Outgoing,
        *,
        repeatable: bool,
        timeout_s: Seconds,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response once its headers are there.

        A request that may not be repeated gets a connection of its own, as on a
        kept one a close by the other side cannot be told from a lost answer.

        Raises
        ------
        UpstreamFailure
            The attempt failed, here or while the body was read.
        """
        sessions = self._sessions.get(upstream)
        if sessions is None:
            sessions = self._sessions[upstream] = _Sessions(
                self._session(kept=True), self._session(kept=False)
            )
        session = sessions.kept if repeatable else sessions.single
        with translating_failures(address):
            async with session.request(
                outgoing.method,
                yarl.URL(f"http://{address}{outgoing.path}", encoded=True),
                data=outgoing.body or None,
                headers=outgoing.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(total=timeout_s, sock_connect=CONNECT_S),
            ) as resp:
                yield resp

    async def _close_when_idle(self, sessions: _Sessions) -> None:
        try:
            for session in (sessions.kept, sessions.single):
                connector = session.connector
                while connector is not None and getattr(connector, "_acquired", None):
                    await asyncio.sleep(0.25)
        finally:
            await sessions.close()

    def _session(self, *, kept: bool) -> aiohttp.ClientSession:
        session = aiohttp.ClientSession(
            connector=watched_connector(kept=kept),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_NO_BODY,
        )
        # The client would repeat a GET on its own; only the policy may decide that.
        session._retry_connection = False
        return session


def watched_connector(*, kept: bool = True) -> aiohttp.TCPConnector:
    """Return a connector whose connections notice a silent peer.

    Parameters
    ----------
    kept : bool
        Whether connections serve more than one request.
    """
    idle: dict[str, Any] = {"keepalive_timeout": KEPT_IDLE_S} if kept else {}
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not kept,
        use_dns_cache=False,
        socket_factory=_watched_socket,
        **idle,
    )
    loop = asyncio.get_running_loop()
    factory = functools.partial(_GuardedHandler, loop=loop)
    connector._factory = factory  # type: ignore[assignment]
    return connector


def _watched_socket(info) -> socket.socket:
    """Return a socket that the kernel ends when its peer has gone silent."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_AFTER_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_EVERY_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBES)
    return sock
