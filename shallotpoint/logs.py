"""Structured logs: one JSON object a line."""

from __future__ import annotations

import logging
import os
import sys
import threading
import time
from collections import deque

from pythonjsonlogger.json import JsonFormatter
from pythonjsonlogger.msgspec import MsgspecFormatter

from shallotpoint.types import Seconds

LINES_PER_S = 400  # about ten times a host's usual rate; more are counted, not kept
MAX_PENDING = 2_000  # lines held while the reader of the output is slow
_FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
_NAMES = {"asctime": "time", "levelname": "level", "name": "logger"}


def set_up_logging(level: str, *, router: str = "") -> None:
    """Send all log records to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    _use(handler, JsonFormatter, level, router)


def set_up_bounded_logging(level: str, *, router: str = "") -> None:
    """Send all log records to standard output, bounded and without blocking."""
    handler = BoundedHandler(sys.stdout.fileno())
    _use(handler, MsgspecFormatter, level, router)


def _use(
    handler: logging.Handler,
    formatter: type[JsonFormatter] | type[MsgspecFormatter],
    level: str,
    router: str,
) -> None:
    static = {"router": router} if router else None
    handler.setFormatter(formatter(_FIELDS, rename_fields=_NAMES, static_fields=static))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn", "uvicorn.error", "asyncio", "matplotlib"):
        logging.getLogger(name).setLevel(max(logging.WARNING, root.level))


class BoundedHandler(logging.Handler):
    """Writes lines to a descriptor without ever waiting for its reader.

    Lines past the rate or the room are dropped; the next line that is written
    is preceded by one that tells how many.
    """

    def __init__(self, fd: int, *, lines_per_s: int = LINES_PER_S):
        super().__init__()
        os.set_blocking(fd, False)
        self._fd = fd
        self._lines_per_s = lines_per_s
        self._second = 0
        self._written = 0
        self._dropped = 0
        self._pending: deque[bytes] = deque()
        self._guard = threading.Lock()

    def emit(self, record: logging.LogRecord) -> None:
        """Write or drop one record."""
        with self._guard:
            if not self._has_room(record, time.monotonic()):
                self._dropped += 1
                return
            try:
                line = self.format(record).encode() + b"\n"
            except (TypeError, ValueError):
                self.handleError(record)
                return
            if self._dropped:
                note = b'{"level":"WARNING","message":"log lines dropped","count":%d}\n'
                self._pending.append(note % self._dropped)
                self._dropped = 0
            self._pending.append(line)
            self._flush()

    def _has_room(self, record: logging.LogRecord, now: Seconds) -> bool:
        if int(now) != self._second:
            self._second, self._written = int(now), 0
        self._written += 1
        if len(self._pending) >= MAX_PENDING:
            return False
        return self._written <= self._lines_per_s or record.levelno >= logging.ERROR

    def _flush(self) -> None:
        while self._pending:
            line = self._pending[0]
            try:
                count = os.write(self._fd, line)
            except BlockingIOError:
                return
            except OSError:  # nobody reads the output any more
                self._pending.clear()
                return
            if count < len(line):
                self._pending[0] = line[count:]
                return
            self._pending.popleft()
