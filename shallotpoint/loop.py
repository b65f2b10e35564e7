"""The event loop of all commands."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
from collections.abc import Callable, Collection, Coroutine, Iterator
from typing import Any, TypeVar

# Read when the first loop is made; from 0.23 on uvloop ignores it, hence the pin.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

T = TypeVar("T")


class _TransferredSocket:
    """A connected socket whose descriptor belongs to whoever asks for its number.

    It has the part of a socket's interface that uvloop uses to open a transport.
    """

    def __init__(self, sock: socket.socket):
        self._sock = sock
        self.family = sock.family
        self.type = sock.type

    def setblocking(self, flag: bool) -> None:
        """Set the socket's blocking mode."""
        self._sock.setblocking(flag)

    def fileno(self) -> int:
        """Detach the descriptor from the socket and return it."""
        return self._sock.detach()

    def close(self) -> None:
        """Do nothing, as the transport closes the descriptor."""


class EventLoop(uvloop.Loop):
    """uvloop's event loop, but each descriptor of a connection is closed once.

    If ``create_connection(sock=...)`` of uvloop fails or is cancelled, its transport
    closes the descriptor, but the socket object keeps the number and closes it again
    when it is collected.  By then the number may belong to another connection.
    """

    async def create_connection(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        host: Any = None,
        port: Any = None,
        *,
        sock: socket.socket | None = None,
        **options: Any,
    ) -> Any:
        """Open a connection, or make a transport of a connected TCP socket.

        The descriptor of ``sock`` is detached from it once the transport is opened.
        Until then, the socket remains the caller's, also after an error.
        """
        connected: Any = sock
        if sock is not None and sock.family != socket.AF_UNIX:
            connected = _TransferredSocket(sock)
        return await super().create_connection(
            protocol_factory, host, port, sock=connected, **options
        )

    async def connect_accepted_socket(
        self,
        protocol_factory: Callable[[], asyncio.BaseProtocol],
        sock: socket.socket,
        **options: Any,
    ) -> Any:
        """Make a transport of an accepted TCP socket, whose descriptor is detached."""
        accepted: Any = _TransferredSocket(sock)
        return await super().connect_accepted_socket(
            protocol_factory, accepted, **options
        )


def run_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on uvloop, with io_uring off."""
    with asyncio.Runner(loop_factory=EventLoop) as runner:
        return runner.run(main)


@contextlib.contextmanager
def on_signals(
    numbers: Collection[signal.Signals], callback: Callable[[], None]
) -> Iterator[None]:
    """Call back on signals; ignore them from then on, until the process ends.

    Handlers of the loop's own would be gone before the process is, and a signal that
    comes in between would end it.
    """
    loop = asyncio.get_running_loop()
    for number in numbers:
        signal.signal(number, lambda *_: loop.call_soon_threadsafe(callback))
    try:
        yield
    finally:
        for number in numbers:
            signal.signal(number, signal.SIG_IGN)


def stop_signal() -> asyncio.Event:
    """Return an event that SIGTERM and SIGINT set."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in STOP_SIGNALS:
        loop.add_signal_handler(number, stop.set)
    return stop
