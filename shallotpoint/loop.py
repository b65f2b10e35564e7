"""The event loop of all commands."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
from collections.abc import Callable, Collection, Coroutine, Iterator
from typing import Any, TypeVar

# Read when the first loop is made; from 0.23 on uvloop ignores it, hence the pin.
os.environ["UV_USE_IO_URING"] = "0"

import uvloop  # noqa: E402

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)

T = TypeVar("T")


def run_loop(main: Coroutine[Any, Any, T]) -> T:
    """Run a coroutine on uvloop, with io_uring off."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
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
