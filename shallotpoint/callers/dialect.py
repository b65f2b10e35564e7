"""The interface to the headers that a deployment uses on its routes.

The program that starts a router passes an implementation of :class:`Dialect`; all
other modules use only the types that are defined here, not the headers themselves.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from shallotpoint.policy.prompts import Prompt
from shallotpoint.types import Seconds

Headers = list[tuple[bytes, bytes]]

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers that concern one connection or its framing, and are never forwarded."""


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """The values in the headers of a caller's request.

    Attributes
    ----------
    id : str
        Id of this request; if the caller repeats the request, it uses another one.
    time_left_s : float or None
        How long the caller will wait for the answer, in seconds.
    api_key : str or None
        API key of the caller's organisation.
    prompt : Prompt or None
        Description of the prompt, for the placement by prefix caches.
    last_event_id : bytes or None
        Id of the last event of a stream that the caller has received.
    """

    id: str
    time_left_s: Seconds | None = None
    api_key: str | None = None
    prompt: Prompt | None = None
    last_event_id: bytes | None = None


@dataclass(frozen=True, slots=True)
class AttemptInfo:
    """The values that the router sends in headers with one attempt.

    Attributes
    ----------
    request : RequestInfo
        The values in the caller's headers.
    upstream : str
        Name of the upstream that the attempt is meant for.
    time_left_s : float
        How long the caller will still wait, in seconds.
    tier : int
        Priority of the request's class; 0 is served first.
    organisation : str or None
        Name of the caller's organisation.
    last_event_id : bytes or None
        Id of the event after which the upstream continues the stream.
    cache_source : str or None
        ``host:port`` of another upstream, from which this one first copies what that
        one has cached of the prompt.
    """

    request: RequestInfo
    upstream: str
    time_left_s: Seconds
    tier: int
    organisation: str | None = None
    last_event_id: bytes | None = None
    cache_source: str | None = None


@dataclass(frozen=True, slots=True)
class AnswerInfo:
    """The values in the headers of an upstream's answer.

    Attributes
    ----------
    request_id : str or None
        Id of the request that the upstream answered.
    not_run : bool
        Whether the upstream states that it did not run the request.
    misdirected : bool
        Whether another upstream answered than the one that was meant.
    leaving : bool
        Whether the upstream announces that it accepts no new requests from now on.
    closed_for_s : float or None
        For how long the upstream accepts no requests from this router, in seconds.
    limit_per_s : float or None
        Requests per second that the upstream accepts from all routers together;
        infinite if it advertises no limit, None if the header is malformed.
    """

    request_id: str | None
    not_run: bool
    misdirected: bool = False
    leaving: bool = False
    closed_for_s: Seconds | None = None
    limit_per_s: float | None = math.inf


class Dialect(Protocol):
    """Reads and writes the headers that one deployment uses."""

    def read_request(self, headers: Mapping[bytes, bytes]) -> RequestInfo | None:
        """Return the values in a request's headers, or None without a usable id."""

    def is_forwarded(self, name: bytes) -> bool:
        """Return whether a caller's header is sent to the upstream unchanged.

        The name is in lower case.
        """

    def write_request(self, attempt: AttemptInfo) -> list[tuple[str, str]]:
        """Return the headers that the router adds to an attempt."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerInfo:
        """Return the values in the headers of an upstream's answer."""

    def write_retry_after(self, wait_s: Seconds) -> bytes:
        """Return the value of ``Retry-After`` for a wait in seconds."""
