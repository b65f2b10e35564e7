"""Type aliases shared by the whole package."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, TypeAlias

Seconds: TypeAlias = float
"""A point in time or a span, in seconds; the clock is the caller's choice."""

Tokens: TypeAlias = float
"""A number of generated tokens; fractions occur in averages."""

Clock: TypeAlias = Callable[[], Seconds]
"""Returns the present time; monotonic unless a docstring says otherwise."""

JSONObject: TypeAlias = dict[str, Any]
"""A decoded JSON object, for the edges only."""

Revision: TypeAlias = int
"""A version number given by the key-value service; it only ever grows."""
