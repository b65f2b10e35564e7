"""How requests on routes and their answers are described by headers.

The program that runs a router chooses a dialect; everything behind it works with
these types alone.
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
"""Headers that concern one connection or its framing, and are never passed on."""


@dataclass(frozen=True, slots=True)
class RequestFacts:
    """What a caller's headers say.

    Attributes
    ----------
    id : str
        Id of this request; a repeat by the caller has another one.
    time_left_s : float or None
        How long the caller will wait, in seconds.
    last_event : bytes or None
        Id of the last event that the caller has of a stream.
    """

    id: str
    time_left_s: Seconds | None = None
    key: str | None = None
    prompt: Prompt | None = None
    last_event: bytes | None = None


@dataclass(frozen=True, slots=True)
class Sending:
    """What one attempt tells its upstream.

    Attributes
    ----------
    tier : int
        Rank from 0, served first.
    last_event : bytes or None
        The stream goes on after this event.
    """

    request: RequestFacts
    upstream: str
    time_left_s: Seconds
    tier: int
    organisation: str | None = None
    last_event: bytes | None = None


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What an upstream's headers say.

    Attributes
    ----------
    request : str or None
        Id of the request that is answered.
    not_run : bool
        Whether the upstream states that it did not run the request.
    misdirected : bool
        Whether it is not the upstream that the request was meant for.
    leaving : bool
        Whether the upstream says that it takes no new work from now on.
    closed_s : float or None
        For how long the upstream wants no work from this router, in seconds.
    limit_per_s : float or None
        Requests a second that the upstream takes from all routers together;
        infinite if it names no limit, None if what it names cannot be read.
    """

    request: str | None
    not_run: bool
    misdirected: bool = False
    leaving: bool = False
    closed_s: Seconds | None = None
    limit_per_s: float | None = math.inf


class Dialect(Protocol):
    """Reads and writes the headers of one deployment."""

    def read_request(self, headers: Mapping[bytes, bytes]) -> RequestFacts | None:
        """Return what a request says; None when it has no usable id."""

    def is_forwarded(self, name: bytes) -> bool:
        """Return whether a caller's header, in lower case, goes upstream as it is."""

    def write_request(self, sending: Sending) -> list[tuple[str, str]]:
        """Return the headers that the router sets itself."""

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerFacts:
        """Return what an upstream's answer says."""

    def write_retry_after(self, wait_s: Seconds) -> bytes:
        """Return the value of ``Retry-After``."""
