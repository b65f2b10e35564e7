"""The platform's list of live and leaving hosts.

The list is updated with a delay.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Annotated, Protocol

import aiohttp
import msgspec

from shallotpoint.coordination.entries import skipping_unreadable
from shallotpoint.decoding import DECODE_ERRORS, MAX_EXACT_INT
from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import read_bounded

CALL_TIMEOUT_S = 2.0
MAX_LIST_BYTES = 8 << 20  # several times the list of the largest fleet


class HostState(StrEnum):
    """Whether a host accepts new work."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclass(frozen=True, slots=True)
class Host:
    """One listed host.

    Attributes
    ----------
    role : str
        ``router``, ``engine`` or ``service``.
    address : str
        ``host:port`` on which the host serves its role; for a router, the address
        for its peers.
    pool : str
        Pool that the host belongs to; empty if the list does not name one.
    slots : int
        Number of requests that it runs at once; 0 if the list does not say.
    started_ms : int
        Unix time of its start, in milliseconds.  A different value under the same
        name means that the host restarted and lost its state.
    is_reclaimable : bool
        Whether the platform may take the host away at short notice.
    leaves_in_s : float or None
        Time until it is taken away, as of its entry, in seconds; None if not known.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: HostState = HostState.LIVE
    pool: str = ""
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)] = 0
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_EXACT_INT)] = 0
    is_reclaimable: bool = False
    leaves_in_s: Annotated[Seconds, msgspec.Meta(ge=0, le=MAX_EXACT_INT)] | None = None


@dataclass(frozen=True, slots=True)
class _HostsResponse:
    hosts: tuple[msgspec.Raw, ...]


class HostListError(Exception):
    """The host list could not be read."""


class HostList(Protocol):
    """A source of the list of hosts."""

    async def fetch(self) -> tuple[Host, ...]:
        """Return all listed hosts but those whose entry cannot be read.

        Raises
        ------
        HostListError
            The list could not be fetched or decoded.
        """


class HttpHostList:
    """Fetches the host list over HTTP, from ``GET /hosts``.

    Parameters
    ----------
    url : str
        Base URL of the platform's service.
    session : aiohttp.ClientSession
        Session for all calls; the caller closes it.
    timeout_s : float
        Time limit of one call, in seconds.
    """

    def __init__(
        self,
        url: str,
        session: aiohttp.ClientSession,
        *,
        timeout_s: Seconds = CALL_TIMEOUT_S,
    ):
        self._url = url.rstrip("/") + "/hosts"
        self._session = session
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def fetch(self) -> tuple[Host, ...]:
        """Return all listed hosts, as :meth:`HostList.fetch` does."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as resp:
                raw = await read_bounded(resp, max_bytes=MAX_LIST_BYTES)
                if resp.status != 200:
                    raise HostListError(f"request returned status {resp.status}")
            entries = msgspec.json.decode(raw, type=_HostsResponse).hosts
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise HostListError(f"request failed: {exc!r}") from exc
        except DECODE_ERRORS as exc:
            raise HostListError(f"malformed: {exc}") from exc
        hosts = []
        for number, entry in enumerate(entries):
            with skipping_unreadable(f"hosts/{number}"):
                hosts.append(msgspec.json.decode(entry, type=Host))
        return tuple(hosts)
