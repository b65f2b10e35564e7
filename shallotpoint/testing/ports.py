"""Addresses for tests that have to name them before they listen."""

from __future__ import annotations

import socket


def free_address() -> str:
    """Return a loopback address whose port the kernel has just chosen."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
