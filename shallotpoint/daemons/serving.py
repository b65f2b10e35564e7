"""Runs a router for routes as a process: settings, logs and signals."""

from __future__ import annotations

import asyncio
import logging
import os
import signal
import sys
import threading
import time
import traceback
from collections.abc import Callable

from shallotpoint.daemons.route_router import Edges, RouteRouter
from shallotpoint.logs import set_up_bounded_logging
from shallotpoint.loop import STOP_SIGNALS, on_signals, run_loop
from shallotpoint.settings import RouteSettings, load_route_settings
from shallotpoint.tasks import wait_set
from shallotpoint.types import Seconds

SETTINGS_POLL_S = 0.5  # settings may change without a signal
END_MARGIN_S = 0.2  # the process ends this long before the platform would kill it
END_CHECK_S = 0.1
MAX_LOGGED_FRAMES = 12

_log = logging.getLogger("shallotpoint.router")


def run_route_router(path: str, edges: Callable[[RouteSettings], Edges]) -> int:
    """Run a router until SIGTERM; return the exit code of the process."""
    set_up_bounded_logging("info")
    try:
        settings = load_route_settings(path)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            _log.error("bad setting", extra={"reason": str(exc)})
        return 2
    set_up_bounded_logging(settings.log.level, router=settings.router.name)
    run_loop(_serve(path, settings, edges))
    return 0


async def _serve(path: str, settings: RouteSettings, make_edges) -> None:
    stop, reload = asyncio.Event(), asyncio.Event()
    router = RouteRouter(settings, make_edges(settings))
    with on_signals(STOP_SIGNALS, stop.set), on_signals([signal.SIGHUP], reload.set):
        async with router.running():
            _log.info("started", extra={"callers": settings.listen.callers})
            reloading = asyncio.create_task(_reload(path, router, reload))
            try:
                await stop.wait()
            finally:
                reloading.cancel()
            # The bounds may have changed since the file was looked at.
            _read_again(path, router, on_signal=False)
            _limit_end(router.bounds.grace_s - END_MARGIN_S)
            await router.stop()


def _limit_end(limit_s: Seconds) -> None:
    """End the process after a time even if its clean end takes longer or hangs.

    The thread also ends a process whose event loop is blocked, or that waits for other
    threads after the loop's end.
    """
    threading.Thread(target=_end_after, args=[limit_s], daemon=True).start()


def _end_after(limit_s: Seconds) -> None:
    _sleep_while_running(limit_s)
    frame = sys._current_frames().get(threading.main_thread().ident or 0)
    stack = traceback.extract_stack(frame)[-MAX_LOGGED_FRAMES:]
    # No error, as a busy host's clean end may take as long: all answers were sent.
    _log.warning(
        "process ended by force",
        extra={
            "limit_s": limit_s,
            "stack": [f"{f.name} ({f.filename}:{f.lineno})" for f in stack],
            "threads": [t.name for t in threading.enumerate()][:MAX_LOGGED_FRAMES],
        },
    )
    os._exit(0)


def _sleep_while_running(duration_s: Seconds) -> None:
    """Sleep; time in which the process is stopped by SIGSTOP does not count."""
    left_s = duration_s
    while left_s > 0.0:
        started_s = time.monotonic()
        time.sleep(min(END_CHECK_S, left_s))
        left_s -= min(time.monotonic() - started_s, 2 * END_CHECK_S)


async def _reload(path: str, router: RouteRouter, reload: asyncio.Event) -> None:
    """Take over changed settings, on SIGHUP or when the file is another one."""
    seen = _stamp(path)
    while True:
        asked = await wait_set(reload, SETTINGS_POLL_S)
        reload.clear()
        stamp = _stamp(path)
        if stamp == seen and not asked:
            continue
        seen = stamp
        _read_again(path, router, on_signal=asked)


def _read_again(path: str, router: RouteRouter, *, on_signal: bool) -> None:
    """Put the bounds of the settings file in force; keep the last ones on errors."""
    try:
        settings = load_route_settings(path, last_bounds=router.bounds)
    except ExceptionGroup as group:
        for exc in group.exceptions:
            _log.error("bad setting, the last ones stay", extra={"reason": str(exc)})
        return
    router.take_bounds(settings.bounds)
    router.take_duties(settings.duties)
    _log.info("settings read again", extra={"signal": on_signal})


def _stamp(path: str) -> tuple[Seconds, int, int]:
    try:
        found = os.stat(path)
    except OSError as exc:
        _log.warning("settings file", extra={"reason": str(exc)})
        return (0.0, 0, 0)
    return (found.st_mtime, found.st_size, found.st_ino)
