"""Stable hashes that all routers agree on; not for secrets."""

from __future__ import annotations

import xxhash


def hash64(data: str | bytes) -> int:
    """Return a 64-bit hash of text or bytes."""
    raw = data.encode() if isinstance(data, str) else data
    return xxhash.xxh64_intdigest(raw)
