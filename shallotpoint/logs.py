"""Structured logs: one JSON object a line on standard error."""

from __future__ import annotations

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def set_up_logging(level: str, *, router: str = "") -> None:
    """Send all log records to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"router": router} if router else None,
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level.upper())
    for name in ("uvicorn", "uvicorn.error", "asyncio", "matplotlib"):
        logging.getLogger(name).setLevel(max(logging.WARNING, root.level))
