"""Hashes that all routers agree on."""

from __future__ import annotations

import hashlib

import xxhash


def hash64(data: str | bytes) -> int:
    """Return a 64-bit hash of text or bytes; not for secrets."""
    raw = data.encode() if isinstance(data, str) else data
    return xxhash.xxh64_intdigest(raw)


def hash_key(key: str) -> str:
    """Return the form in which API keys and operator tokens are stored."""
    return hashlib.sha256(key.encode()).hexdigest()
