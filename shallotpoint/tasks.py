"""Background tasks of a part that runs for long."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Coroutine
from typing import Any

from shallotpoint.types import Seconds

_log = logging.getLogger("shallotpoint.router")


RESTART_PAUSE_S = 0.5  # before a task that died is started again


class Tasks:
    """Tasks that run until they are stopped; one that dies is logged."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task] = set()

    def start(self, name: str, coro: Coroutine[Any, Any, Any]) -> None:
        """Start one more task."""
        task = asyncio.create_task(coro, name=name)
        task.add_done_callback(_log_death)
        task.add_done_callback(self._tasks.discard)
        self._tasks.add(task)

    def start_lasting(
        self, name: str, run: Callable[[], Coroutine[Any, Any, Any]]
    ) -> None:
        """Start a task that is started again if it dies."""
        self.start(name, _run_again(name, run))

    async def stop(self) -> None:
        """Cancel all tasks and wait for their end."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_set(event: asyncio.Event, timeout_s: Seconds) -> bool:
    """Wait for an event, for some time at most; return whether it is set.

    ``asyncio.wait_for`` drops a cancel that comes as the event is set, so that a loop
    around it goes on after it was stopped.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await event.wait()
    return event.is_set()


async def _run_again(name: str, run: Callable[[], Coroutine[Any, Any, Any]]) -> None:
    while True:
        try:
            await run()
            return
        except Exception:
            _log.exception("task %s died and starts again", name)
        await asyncio.sleep(RESTART_PAUSE_S)


def _log_death(task: asyncio.Task) -> None:
    if not task.cancelled() and task.exception() is not None:
        _log.error("task %s died", task.get_name(), exc_info=task.exception())
