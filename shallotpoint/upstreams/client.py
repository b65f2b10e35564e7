"""HTTP client for upstreams, and the classification of their failures.

A failure tells the caller whether the request may have run.  It certainly did not
run only if no connection was established or if the upstream refused the request.
"""

from __future__ import annotations

import contextlib
import ssl
from collections.abc import AsyncIterator, Iterator, Mapping
from dataclasses import dataclass

import aiohttp
import msgspec

from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds
from shallotpoint.upstreams.body_memory import BodyReservation
from shallotpoint.upstreams.connections import make_strict_session

# An upstream that responds with one of these did not run the request.
REFUSAL_STATUSES = frozenset({429, 503})
FINAL_STATUSES = range(200, 600)  # of whole answers; no others exist
MAX_BODY_BYTES = 16 << 20
MAX_REPORT_BYTES = 1 << 20  # many times the largest load report
IDLE_TIMEOUT_S = 30.0


class ResponseTooLarge(aiohttp.ClientPayloadError):
    """A response body is larger than its reader accepts."""


class UpstreamFailure(Exception):
    """An attempt to run a request on an upstream failed.

    Attributes
    ----------
    reason : Result
        Cause of the failure; the request did not run if this is in
        :data:`~shallotpoint.results.NOT_RUN`.
    is_gone : bool
        Whether the failure proves that the upstream is no longer at its address.
    """

    def __init__(self, reason: Result, message: str, *, is_gone: bool = False):
        self.reason = reason
        self.is_gone = is_gone
        super().__init__(message)

    @property
    def not_run(self) -> bool:
        """Whether the request certainly did not run."""
        return self.reason in NOT_RUN


@dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits of one request.

    Attributes
    ----------
    connect_s : float
        Limit for establishing a connection, in seconds.
    silence_s : float
        Limit between two reads from the connection, in seconds.
    answer_s : float
        Limit for the whole response, in seconds.
    """

    connect_s: Seconds = 1.0
    silence_s: Seconds = 30.0
    answer_s: Seconds = 600.0


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """One HTTP request to an upstream."""

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes


class UpstreamClient:
    """Sends requests to upstreams over connections pooled by address.

    Parameters
    ----------
    timeouts : Timeouts
        Default time limits of requests.
    tls : ssl.SSLContext, optional
        Client-side TLS context; if given, upstreams are reached over HTTPS.
    """

    def __init__(self, *, timeouts: Timeouts, tls: ssl.SSLContext | None = None):
        self._timeouts = timeouts
        self._scheme = "https" if tls else "http"
        self._pooled_session = self._make_session(tls, pooled=True)
        self._single_use_session = self._make_session(tls, pooled=False)

    async def close(self) -> None:
        """Close all connections."""
        await self._pooled_session.close()
        await self._single_use_session.close()

    @contextlib.asynccontextmanager
    async def send(
        self, address: str, request: UpstreamRequest, *, repeatable: bool
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response once its headers are received.

        A request that must not be repeated uses a new connection.  The server may
        close an idle connection just as it is reused, which would look like a lost
        response.

        Raises
        ------
        UpstreamFailure
            The attempt failed, either here or while the body was read.
        """
        session = self._pooled_session if repeatable else self._single_use_session
        url = f"{self._scheme}://{address}{request.path}"
        with translate_errors(address):
            async with session.request(
                request.method,
                url,
                data=request.body,
                headers=request.headers,
                allow_redirects=False,
            ) as resp:
                check_status(resp)
                if resp.status in REFUSAL_STATUSES:
                    raise UpstreamFailure(
                        Result.RETRY_REFUSED,
                        f"{address} refused with status {resp.status}",
                    )
                yield resp

    async def get_json(self, address: str, path: str, *, timeout_s: Seconds) -> dict:
        """Fetch a small JSON document, such as a load report.

        Raises
        ------
        UpstreamFailure
            The request failed or the response is not valid JSON.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"{self._scheme}://{address}{path}"
        try:
            async with self._pooled_session.get(url, timeout=timeout) as resp:
                check_status(resp)
                resp.raise_for_status()
                raw = await read_bounded(resp, max_bytes=MAX_REPORT_BYTES)
                return msgspec.json.decode(raw, type=dict)
        except (aiohttp.ClientError, TimeoutError, OSError, *DECODE_ERRORS) as exc:
            raise UpstreamFailure(Result.RETRY_CONNECT, f"{address}: {exc!r}") from exc

    async def post_json(
        self, address: str, path: str, body: dict, *, timeout_s: Seconds
    ) -> tuple[int, dict]:
        """Post a small JSON document; return the status and the response body.

        Raises
        ------
        UpstreamFailure
            The request failed or the response is not valid JSON.
        """
        timeout = aiohttp.ClientTimeout(total=timeout_s)
        url = f"{self._scheme}://{address}{path}"
        try:
            async with self._single_use_session.post(
                url, json=body, timeout=timeout
            ) as resp:
                check_status(resp)
                raw = await read_bounded(resp, max_bytes=MAX_REPORT_BYTES)
                return resp.status, msgspec.json.decode(raw, type=dict)
        except aiohttp.ClientConnectorError as exc:
            raise UpstreamFailure(Result.RETRY_CONNECT, f"{address}: {exc}") from exc
        except (aiohttp.ClientError, TimeoutError, OSError, *DECODE_ERRORS) as exc:
            raise UpstreamFailure(Result.RETRY_BROKE, f"{address}: {exc!r}") from exc

    def _make_session(
        self, tls: ssl.SSLContext | None, *, pooled: bool
    ) -> aiohttp.ClientSession:
        timeout = aiohttp.ClientTimeout(
            total=self._timeouts.answer_s,
            sock_connect=self._timeouts.connect_s,
            sock_read=self._timeouts.silence_s,
        )
        return make_strict_session(
            pooled=pooled,
            idle_s=IDLE_TIMEOUT_S,
            tls=tls,
            timeout=timeout,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            skip_auto_headers=("User-Agent", "Accept-Encoding"),
        )


def check_status(resp: aiohttp.ClientResponse) -> None:
    """Raise UpstreamFailure for a status that no whole answer can have."""
    if resp.status not in FINAL_STATUSES:
        resp.close()
        raise UpstreamFailure(
            Result.RETRY_BROKE, f"there is no answer with status {resp.status}"
        )


@contextlib.contextmanager
def translate_errors(address: str) -> Iterator[None]:
    """Translate network and HTTP errors into :class:`UpstreamFailure`."""
    try:
        yield
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        cause = getattr(exc, "os_error", None)
        raise UpstreamFailure(
            Result.RETRY_CONNECT,
            f"{address} cannot be reached: {exc}",
            is_gone=isinstance(cause, ConnectionRefusedError),
        ) from exc
    except TimeoutError as exc:
        raise UpstreamFailure(
            Result.UPSTREAM_TIMEOUT, f"{address} did not respond in time"
        ) from exc
    except (aiohttp.ClientError, OSError) as exc:
        raise UpstreamFailure(
            Result.RETRY_BROKE, f"{address} broke off: {exc!r}"
        ) from exc


async def read_response_body(
    resp: aiohttp.ClientResponse,
    *,
    max_bytes: int = MAX_BODY_BYTES,
    reservation: BodyReservation | None = None,
) -> bytes:
    """Read a whole response body.

    Raises
    ------
    UpstreamFailure
        The body is larger than ``max_bytes``, or ``reservation`` cannot grow.
    """
    try:
        return await read_bounded(resp, max_bytes=max_bytes, reservation=reservation)
    except ResponseTooLarge as exc:
        raise UpstreamFailure(Result.RETRY_BROKE, str(exc)) from exc


async def read_bounded(
    resp: aiohttp.ClientResponse,
    *,
    max_bytes: int,
    reservation: BodyReservation | None = None,
) -> bytes:
    """Read a whole response body of limited size.

    ``aiohttp.ClientResponse.read`` has no limit, and a faulty server may send without
    end.

    Raises
    ------
    ResponseTooLarge
        The body is larger than ``max_bytes``, or ``reservation`` cannot grow; its
        connection will not be reused.
    """
    parts = []
    size = 0
    while data := await resp.content.readany():
        size += len(data)
        if size > max_bytes:
            resp.close()
            raise ResponseTooLarge(f"response body is over {max_bytes} bytes")
        if reservation is not None and not reservation.grow(len(data)):
            resp.close()
            raise ResponseTooLarge(f"no memory for a response body of {size} bytes")
        parts.append(data)
    return b"".join(parts)
