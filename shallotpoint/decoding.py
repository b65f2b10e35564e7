"""What decoding bytes that others wrote may raise."""

from __future__ import annotations

import msgspec

# Very deep nesting raises RecursionError, also in a field that is not read.
DECODE_ERRORS = (msgspec.DecodeError, RecursionError)
