"""TLS contexts from settings, reloaded when their files change."""

from __future__ import annotations

import asyncio
import logging
import os
import ssl

from shallotpoint.settings import ClientTLS, ServerTLS
from shallotpoint.types import Seconds

RELOAD_POLL_S = 2.0
_log = logging.getLogger(__name__)


def server_context(tls: ServerTLS) -> ssl.SSLContext | None:
    """Return the context of a listener, or None for plain HTTP."""
    if not tls.certificate:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_cert_chain(tls.certificate, tls.key or None)
    return context


def client_context(tls: ClientTLS) -> ssl.SSLContext | None:
    """Return the context towards upstreams, or None for plain HTTP."""
    if not tls.ca:
        return None
    context = ssl.create_default_context(cafile=tls.ca)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    if tls.certificate:
        context.load_cert_chain(tls.certificate, tls.key or None)
    return context


async def reload_certificates(
    context: ssl.SSLContext, tls: ServerTLS, *, every_s: Seconds = RELOAD_POLL_S
) -> None:
    """Load a listener's certificate again whenever its files change."""
    seen = _modified(tls)
    while True:
        await asyncio.sleep(every_s)
        now = _modified(tls)
        if now == seen:
            continue
        try:
            context.load_cert_chain(tls.certificate, tls.key or None)
        except (OSError, ssl.SSLError) as exc:
            # Half-written files; the next poll tries again.
            _log.warning("certificate not reloaded: %s", exc)
            continue
        seen = now
        _log.info("certificate reloaded")


def _modified(tls: ServerTLS) -> tuple[int, ...]:
    times = []
    for path in (tls.certificate, tls.key):
        if not path:
            continue
        try:
            times.append(os.stat(path).st_mtime_ns)
        except OSError:
            times.append(0)
    return tuple(times)
