"""Connections to servers that detect silent ones, and answers that are not whole.

aiohttp takes a response with neither a content length nor chunked encoding for
complete when its connection closes, also by a reset, and parses bytes after a complete
response as the next one.
"""

from __future__ import annotations

import asyncio
import fcntl
import functools
import logging
import os
import socket
import ssl
import struct
import termios
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from shallotpoint.types import Seconds

# Shorter than the usual idle timeout of servers, which close without notice.
IDLE_TIMEOUT_S = 2.0
# A connection with data unacknowledged for this long is closed.
TCP_USER_TIMEOUT_MS = 2_000
# Time without received data until the first TCP keep-alive probe.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# Many times the largest response head that servers send.
MAX_HEAD_BYTES = 64 << 10
# Lower statuses (1xx) belong to interim responses.
MIN_FINAL_STATUS = 200
# Once a server has closed its side, a reset because of unread bytes follows within a
# round trip; this is many times as long.
END_WAIT_S = 0.3
END_POLL_S = 0.005
_log = logging.getLogger(__name__)
_HEAD_END = b"\r\n\r\n"


class _StrictResponseHandler(ResponseHandler):
    """A response parser that checks the server's bytes more strictly than aiohttp.

    A reset never counts as the end of a body, although a body with neither a
    content length nor chunked encoding ends when its connection closes.  Bytes
    that arrive after a complete response close the connection, as they would
    otherwise be parsed as the next response.  The connection is also closed after
    more than ``MAX_HEAD_BYTES`` bytes in a row that neither complete a response
    head nor add to a body.

    If the server closes its side while the request is still on its way, a body without
    a length is complete once the server has received the request, or if no reset
    follows for ``END_WAIT_S``.  Otherwise the order in which the end and the reset are
    read would decide whether a part of an answer counts as the whole.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self._final_head_received = False
        self._bytes_without_progress = 0
        self._has_tls = False
        self._end_received = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport of a new connection."""
        self._has_tls = transport.get_extra_info("sslcontext") is not None
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Prepare for the next response and reset the state of the checks."""
        self._payload = None
        self._final_head_received = False
        self._bytes_without_progress = 0
        super().set_response_params(**params)

    def feed_data(self, data: Any, size: int = 0) -> None:
        """Queue a parsed response head; interim heads (1xx) do not count as final."""
        message, _ = data
        self._final_head_received = message.code >= MIN_FINAL_STATUS
        super().feed_data(data, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; any after a complete response close the connection."""
        payload = self._payload
        if (
            data
            and self._final_head_received
            and payload is not None
            and payload.is_eof()
        ):
            _log.warning("bytes after an answer", extra={"bytes": len(data)})
            self.abort()
            return
        if payload is None:
            # Parse the head separately, so that an error in bytes after a complete
            # response cannot invalidate that response.
            end = data.find(_HEAD_END) + len(_HEAD_END)
            if len(_HEAD_END) <= end < len(data):
                self._feed_parser(data[:end])
                data = data[end:]
        self._feed_parser(data)

    def _feed_parser(self, data: bytes) -> None:
        before = self._body_progress()
        super().data_received(data)
        if self._body_progress() != before:
            self._bytes_without_progress = 0
            return
        self._bytes_without_progress += len(data)
        if self._bytes_without_progress > MAX_HEAD_BYTES and self.transport is not None:
            exc = aiohttp.ClientPayloadError(
                "response head or chunk header is too long"
            )
            self._fail_body(exc)
            self.set_exception(exc)
            self.transport.abort()

    def _body_progress(self) -> tuple[int, int]:
        payload = self._payload
        return (0, 0) if payload is None else (id(payload), payload.total_bytes)

    def eof_received(self) -> bool:  # type: ignore[override]
        """Fail the body if the end of the connection was in fact a reset.

        The event loop reports a reset that arrives together with data as a normal
        end of file, but the socket's error status still shows it.

        Returns
        -------
        bool
            Whether the connection stays open to see if a reset follows.
        """
        self._end_received = True
        super().eof_received()
        if self._has_tls or self._fail_body_if_reset() or not self._is_body_open():
            return False
        if not _has_unreceived_bytes(self.transport):
            return False
        loop = asyncio.get_running_loop()
        loop.call_later(END_POLL_S, self._check_end, loop.time() + END_WAIT_S)
        return True

    def _check_end(self, until_s: Seconds) -> None:
        """Close the connection once it is known whether a reset follows its end."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        loop = asyncio.get_running_loop()
        is_undecided = not self._fail_body_if_reset() and _has_unreceived_bytes(
            transport
        )
        if is_undecided and loop.time() < until_s:
            loop.call_later(END_POLL_S, self._check_end, until_s)
        else:
            transport.abort()

    def _fail_body_if_reset(self) -> bool:
        """Fail the body if the socket's error status shows a reset; return whether."""
        transport = self.transport
        sock = transport.get_extra_info("socket") if transport is not None else None
        if sock is None:
            return False
        error_number = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if not error_number:
            return False
        self._fail_body(OSError(error_number, os.strerror(error_number)))
        return True

    def _is_body_open(self) -> bool:
        return self._payload is not None and not self._payload.is_eof()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Fail an incomplete body if the connection did not end in an orderly way.

        A TLS connection that ends without the closing alert, of which the event loop
        tells as the end of file, may have been cut by a reset.
        """
        if exc is not None:
            self._fail_body(exc)
        elif self._has_tls and not self._end_received:
            self._fail_body(ConnectionResetError("no closing alert"))
        if self._payload is not None and self._payload.is_eof():
            self._payload = None  # complete; a parser error on later bytes is ignored
        super().connection_lost(exc)

    def _fail_body(self, exc: BaseException) -> None:
        payload = self._payload
        if payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"cut: {exc!r}"))


def _has_unreceived_bytes(transport: asyncio.Transport | None) -> bool:
    """Return whether the other side has yet to receive bytes of a connection."""
    if transport is None:
        return False
    if transport.get_write_buffer_size():
        return True
    sock = transport.get_extra_info("socket")
    try:
        raw = fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, bytes(4))
    except (OSError, ValueError):  # not known for this socket, or closed
        return False
    return struct.unpack("i", raw)[0] > 0


def make_strict_session(
    *,
    pooled: bool = True,
    idle_s: Seconds = IDLE_TIMEOUT_S,
    tls: ssl.SSLContext | None = None,
    **options: Any,
) -> aiohttp.ClientSession:
    """Return a session on a strict connector that repeats no request by itself.

    aiohttp repeats some requests when a connection breaks, which would hide that an
    answer was lost; only the caller may decide that.

    Parameters
    ----------
    pooled, idle_s, tls
        As in :func:`make_strict_connector`.
    **options
        Further options of the session.
    """
    connector = make_strict_connector(pooled=pooled, idle_s=idle_s, tls=tls)
    session = aiohttp.ClientSession(connector=connector, **options)
    session._retry_connection = False
    return session


def make_strict_connector(
    *,
    pooled: bool = True,
    idle_s: Seconds = IDLE_TIMEOUT_S,
    tls: ssl.SSLContext | None = None,
) -> aiohttp.TCPConnector:
    """Return a connector that detects unresponsive servers and malformed responses.

    Parameters
    ----------
    pooled : bool
        Whether a connection is reused for further requests.
    idle_s : float
        Time after which an idle connection is closed, in seconds.
    tls : ssl.SSLContext, optional
        Client-side TLS context.
    """
    idle_options: dict[str, Any] = {"keepalive_timeout": idle_s} if pooled else {}
    connector = aiohttp.TCPConnector(
        limit=0,
        force_close=not pooled,
        ssl=tls or True,
        use_dns_cache=False,
        socket_factory=_make_socket,
        **idle_options,
    )
    loop = asyncio.get_running_loop()
    factory = functools.partial(_StrictResponseHandler, loop=loop)
    connector._factory = factory  # type: ignore[assignment]
    return connector


def _make_socket(info) -> socket.socket:
    """Return a socket that the kernel closes once its peer stops responding."""
    family, kind, proto, _, _ = info
    sock = socket.socket(family, kind, proto)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    return sock
