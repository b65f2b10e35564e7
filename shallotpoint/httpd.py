"""HTTP servers inside an event loop that somebody else owns."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import ssl
from collections.abc import AsyncIterator
from typing import Any

import uvicorn

from shallotpoint.types import Seconds

BACKLOG = 2_048
KEEP_ALIVE_S = 75


class _QuietServer(uvicorn.Server):
    """A uvicorn server that leaves signals to the daemon."""

    @contextlib.contextmanager
    def capture_signals(self):
        yield


class HttpServer:
    """One ASGI application on one address.

    Parameters
    ----------
    host, port
        Address to listen on; port 0 lets the kernel choose.
    tls : ssl.SSLContext, optional
        Context of the server side.
    """

    def __init__(
        self, app: Any, *, host: str, port: int = 0, tls: ssl.SSLContext | None = None
    ):
        self._app = app
        self._host = host
        self._port = port
        self._tls = tls
        self._server: _QuietServer | None = None
        self._task: asyncio.Task | None = None

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
            http="httptools",
            ws="none",
            lifespan="off",
            log_config=None,
            access_log=False,
            server_header=False,
            date_header=False,
            proxy_headers=False,
            timeout_keep_alive=KEEP_ALIVE_S,
        )
        config.load()
        config.ssl = self._tls
        self._server = _QuietServer(config)
        self._task = asyncio.create_task(self._server.serve(sockets=[sock]))
        while not self._server.started:
            if self._task.done():
                self._task.result()
                raise OSError(f"no server on {self.address}")
            await asyncio.sleep(0.001)

    async def stop(self, *, grace_s: Seconds = 5.0) -> None:
        """Stop accepting, finish what runs within ``grace_s``, then close."""
        if self._server is None or self._task is None:
            return
        self._server.config.timeout_graceful_shutdown = max(1, int(grace_s))
        self._server.should_exit = True
        await asyncio.wait({self._task}, timeout=grace_s + 1.0)
        if not self._task.done():
            self.crash()
            await asyncio.wait({self._task}, timeout=1.0)
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
