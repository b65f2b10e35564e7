"""Free loopback addresses, for tests that need one before the server starts."""

from __future__ import annotations

import socket


def free_address() -> str:
    """Return a loopback address with a port that the kernel reports as free."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"
