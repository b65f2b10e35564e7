"""The platform's list of live and leaving hosts, which lags."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import Protocol

import aiohttp
import msgspec

from shallotpoint.types import Seconds

CALL_TIMEOUT_S = 2.0


class HostState(StrEnum):
    """Whether a host takes work."""

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
        ``host:port`` at which the role is served; for routers, to peers.
    pool : str
        Pool that the host serves, where the list says so.
    slots : int
        Requests that it runs at once; 0 where the list does not say.
    started_ms : int
        Unix time of its start, in milliseconds; another value under the same
        name is a start that knows nothing of the one before.
    """

    name: str
    role: str
    address: str
    data_centre: str
    state: HostState = HostState.LIVE
    pool: str = ""
    slots: int = 0
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class _Answer:
    hosts: tuple[Host, ...]


class HostListError(Exception):
    """The host list could not be read."""


class HostList(Protocol):
    """Source of the list of hosts."""

    async def fetch(self) -> tuple[Host, ...]:
        """Return all listed hosts; HostListError when it cannot be read."""


class HttpHostList:
    """The host list over HTTP, ``GET /hosts``."""

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
        """Return all listed hosts."""
        try:
            async with self._session.get(self._url, timeout=self._timeout) as resp:
                raw = await resp.read()
                if resp.status != 200:
                    raise HostListError(f"answered {resp.status}")
            return msgspec.json.decode(raw, type=_Answer).hosts
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise HostListError(f"cannot be read: {exc!r}") from exc
        except msgspec.DecodeError as exc:
            raise HostListError(f"malformed: {exc}") from exc
