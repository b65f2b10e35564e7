"""One HTTP request of a caller and its answer.

It uses ASGI without a web framework, as each request passes through this code.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from typing import Any

import msgspec

from shallotpoint.errors import RequestError
from shallotpoint.results import Executed, Result, status_name
from shallotpoint.types import Seconds

REQUEST_ID_HEADER = b"x-shallotpoint-request"
MAX_HEADER_CHARS = 256
_JSON_TYPE = b"application/json"
_ERROR_TYPES = {401: "authentication_error", 403: "permission_error", 429: "rate_limit"}


def _format_whole_seconds(wait_s: Seconds) -> bytes:
    return str(max(1, math.ceil(wait_s))).encode()


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


class Exchange:
    """Reads a caller's request and writes the answer to it.

    Parameters
    ----------
    request_id : str
        Id of the request, sent in a header of its answer.

    Attributes
    ----------
    started : bool
        Whether the answer's status and headers were sent.
    closes_connection : bool
        Whether the answer tells the caller to close the connection after it.
    connection_label : str
        Number of the connection and of the request on it, for logs.
    """

    def __init__(self, scope: Any, receive: Any, send: Any, request_id: str):
        self.scope = scope
        self.request_id = request_id
        self.started = False
        self.closes_connection = False
        self.connection_label: str = scope.get("place", "")
        self._receive = receive
        self._send = send
        self._headers = dict(scope["headers"])

    def header(self, name: str) -> str | None:
        """Return the value of a request header, or None if it is missing.

        Raises
        ------
        RequestError
            The value holds control characters or is too long.
        """
        raw = self._headers.get(name.encode())
        if raw is None:
            return None
        text = raw.decode("latin-1")
        if len(text) > MAX_HEADER_CHARS or not text.isprintable():
            raise RequestError(
                Result.BAD_HEADER,
                f"{name}: use up to {MAX_HEADER_CHARS} printable characters",
            )
        return text

    async def read_body(self, *, max_bytes: int, timeout_s: Seconds) -> bytes:
        """Return the whole request body.

        Raises
        ------
        RequestError
            The body is longer than ``max_bytes``, or incomplete after ``timeout_s``.
        CallerGone
            The caller closed the connection before the body's end.
        """
        declared = self._headers.get(b"content-length", b"0")
        if declared.isdigit() and int(declared) > max_bytes:
            raise _body_too_large_error(max_bytes)
        try:
            async with asyncio.timeout(timeout_s):
                return await self._read_parts(max_bytes)
        except TimeoutError:
            raise RequestError(Result.BODY_TOO_SLOW) from None

    async def wait_disconnect(self) -> None:
        """Wait until the caller has closed the connection."""
        while (await self._receive())["type"] != "http.disconnect":
            pass

    async def send_headers(
        self, status: int, headers: list[tuple[bytes, bytes]]
    ) -> None:
        """Send the status and headers, with the request id among them."""
        self.started = True
        head = [*headers, (REQUEST_ID_HEADER, self.request_id.encode())]
        if self.closes_connection:
            head.append((b"connection", b"close"))
        await self._send(
            {"type": "http.response.start", "status": status, "headers": head}
        )

    async def abort(self) -> None:
        """Abort the connection without sending the rest of the answer."""
        transport = getattr(getattr(self._send, "__self__", None), "transport", None)
        if transport is not None:
            transport.abort()
            # Until the disconnect, the server reports an incomplete answer as a fault
            # of the application.
            await self.wait_disconnect()

    def is_write_paused(self) -> bool:
        """Return whether the next write waits until the caller has read more."""
        flow = getattr(getattr(self._send, "__self__", None), "flow", None)
        return bool(getattr(flow, "write_paused", False))

    async def write(self, data: bytes, *, more: bool = True) -> None:
        """Send a part of the answer's body, once the caller has read enough."""
        await self._send(
            {"type": "http.response.body", "body": data, "more_body": more}
        )

    async def send_answer(
        self,
        status: int,
        body: bytes,
        *,
        content_type: bytes = _JSON_TYPE,
        headers: list[tuple[bytes, bytes]] | None = None,
    ) -> None:
        """Send status, headers and the whole body of an answer."""
        head = [
            (b"content-type", content_type),
            (b"content-length", str(len(body)).encode()),
            *(headers or ()),
        ]
        await self.send_headers(status, head)
        await self.write(body, more=False)

    async def send_error(
        self,
        exc: RequestError,
        *,
        write_retry_after: Callable[[Seconds], bytes] = _format_whole_seconds,
        status: int | None = None,
    ) -> None:
        """Send an error object; as an event if the answer's stream has begun.

        Parameters
        ----------
        write_retry_after : Callable, optional
            Formats the value of ``Retry-After``, in whole seconds by default.
        status : int, optional
            Replaces the status of the result code.  ``Retry-After`` is then also sent
            for errors that are not retryable.
        """
        body = encode_error(exc)
        if self.started:
            # No [DONE] event follows, so that a caller cannot take the interrupted
            # answer for a complete one.
            await self.write(b"data: " + body + b"\n\n", more=False)
            return
        headers = []
        retry_s = exc.retry_after_s
        if retry_s is None and exc.info.retryable:
            retry_s = 1.0
        if retry_s is not None and (exc.info.retryable or status is not None):
            headers.append((b"retry-after", write_retry_after(retry_s)))
        await self.send_answer(http_status_for(exc, status), body, headers=headers)

    async def _read_parts(self, max_bytes: int) -> bytes:
        parts = []
        size = 0
        while True:
            message = await self._receive()
            if message["type"] == "http.disconnect":
                raise CallerGone
            part = message.get("body", b"")
            size += len(part)
            if size > max_bytes:
                raise _body_too_large_error(max_bytes)
            parts.append(part)
            if not message.get("more_body"):
                return b"".join(parts)


def http_status_for(exc: RequestError, status: int | None = None) -> int:
    """Return the HTTP status of an error.

    429 and 503 invite the caller to retry, so a request that may have run gets 502
    instead.
    """
    status = status or exc.info.http_status
    if status in (429, 503) and exc.executed is not Executed.NO:
        return 502
    return status


def encode_error(exc: RequestError) -> bytes:
    """Return an OpenAI error object with two more fields.

    They are the result code, and whether the request was executed.
    """
    status = exc.info.http_status
    error = {
        "message": str(exc),
        "type": _ERROR_TYPES.get(status, "invalid_request" if status < 500 else "api"),
        "param": None,
        "code": status_name(exc.result),
        "result": int(exc.result),
        "executed": str(exc.executed),
    }
    return msgspec.json.encode(
        {"error": error, "result": int(exc.result), "executed": str(exc.executed)}
    )


def not_run_error(result: Result, message: str = "") -> RequestError:
    """Return an error that states that the request was not run."""
    return RequestError(result, message, executed=Executed.NO)


def _body_too_large_error(max_bytes: int) -> RequestError:
    return RequestError(
        Result.BODY_TOO_LARGE, f"the body is over the limit of {max_bytes} bytes"
    )
