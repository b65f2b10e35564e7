"""HTTP client that pools connections by upstream name instead of by address.

The platform may reassign an address to another upstream, so an upstream's
connections are closed when it leaves.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Iterable
from dataclasses import dataclass

import aiohttp
import yarl

from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import UpstreamRequest, translate_errors
from shallotpoint.upstreams.connections import make_strict_session

# Many times the connection set-up time within a region.
CONNECT_TIMEOUT_S = 0.7
_SKIPPED_AUTO_HEADERS = (
    "User-Agent",
    "Accept-Encoding",
    "Accept",
    "Content-Type",
)


@dataclass(slots=True)
class _Sessions:
    """One upstream's sessions: with reused and with single-use connections."""

    pooled: aiohttp.ClientSession
    single_use: aiohttp.ClientSession

    async def close(self) -> None:
        await self.pooled.close()
        await self.single_use.close()


class PerUpstreamClient:
    """Sends requests to upstreams over connections pooled by upstream name."""

    def __init__(self) -> None:
        self._sessions: dict[str, _Sessions] = {}
        self._closing_tasks: set[asyncio.Task] = set()

    async def close(self) -> None:
        """Close all connections and abort the requests on them."""
        for task in self._closing_tasks:
            task.cancel()
        await asyncio.gather(*self._closing_tasks, return_exceptions=True)
        sessions, self._sessions = self._sessions, {}
        await asyncio.gather(*(each.close() for each in sessions.values()))

    def close_except(self, upstreams: Iterable[str]) -> None:
        """Close the connections of all upstreams except the given ones.

        Connections in use are closed after their requests have ended.
        """
        for name in self._sessions.keys() - set(upstreams):
            self.renew_connections(name)

    def renew_connections(self, upstream: str) -> None:
        """Use new connections for an upstream's next requests.

        The old connections are closed after the requests on them have ended.
        """
        sessions = self._sessions.pop(upstream, None)
        if sessions is None:
            return
        task = asyncio.create_task(self._close_when_idle(sessions))
        self._closing_tasks.add(task)
        task.add_done_callback(self._closing_tasks.discard)

    @contextlib.asynccontextmanager
    async def send(
        self,
        upstream: str,
        address: str,
        request: UpstreamRequest,
        *,
        repeatable: bool,
        timeout_s: Seconds,
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response once its headers are received.

        A request that must not be repeated uses a new connection.  The server may
        close an idle connection just as it is reused, which would look like a lost
        response.

        Parameters
        ----------
        upstream : str
            Name of the upstream, by which its connections are pooled.
        address : str
            Current ``host:port`` of the upstream.
        repeatable : bool
            Whether the request may be sent again after a failure.
        timeout_s : float
            Time limit for the whole response, in seconds.

        Raises
        ------
        UpstreamFailure
            The attempt failed, either here or while the body was read.
        """
        sessions = self._sessions.get(upstream)
        if sessions is None:
            sessions = self._sessions[upstream] = _Sessions(
                self._make_session(pooled=True), self._make_session(pooled=False)
            )
        session = sessions.pooled if repeatable else sessions.single_use
        with translate_errors(address):
            async with session.request(
                request.method,
                yarl.URL(f"http://{address}{request.path}", encoded=True),
                data=request.body or None,
                headers=request.headers,
                allow_redirects=False,
                timeout=aiohttp.ClientTimeout(
                    total=timeout_s, sock_connect=CONNECT_TIMEOUT_S
                ),
            ) as resp:
                yield resp

    async def _close_when_idle(self, sessions: _Sessions) -> None:
        """Close sessions once no request uses their connections."""
        try:
            for session in (sessions.pooled, sessions.single_use):
                connector = session.connector
                while connector is not None and getattr(connector, "_acquired", None):
                    await asyncio.sleep(0.25)
        finally:
            await sessions.close()

    def _make_session(self, *, pooled: bool) -> aiohttp.ClientSession:
        return make_strict_session(
            pooled=pooled,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        )
