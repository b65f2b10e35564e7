"""Ids of requests."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable


def request_ids() -> Callable[[], str]:
    """Return a source of request ids, unique among routers and starts."""
    start = secrets.token_hex(8)
    numbers = itertools.count(1)
    return lambda: f"{start}-{next(numbers):x}"
