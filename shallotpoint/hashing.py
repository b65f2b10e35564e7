"""Hashes that all routers agree on."""

from __future__ import annotations

import hashlib

import xxhash


def hash64(data: str | bytes) -> int:
    """Return a 64-bit hash of text or bytes; not for secrets."""
    raw = data.encode() if isinstance(data, str) else data
    return xxhash.xxh64_intdigest(raw)


def content_name(fingerprint: int) -> str:
    """Return a request's fingerprint as logs show it."""
    return f"{fingerprint:016x}"


def hash_key(key: str) -> str:
    """Return the form in which API keys and operator tokens are stored."""
    return hashlib.sha256(key.encode()).hexdigest()
