"""Generation of request ids."""

from __future__ import annotations

import itertools
import secrets
from collections.abc import Callable


def make_id_generator() -> Callable[[], str]:
    """Return a function that generates ids, unique among all routers and restarts."""
    start = secrets.token_hex(8)
    numbers = itertools.count(1)
    return lambda: f"{start}-{next(numbers):x}"
