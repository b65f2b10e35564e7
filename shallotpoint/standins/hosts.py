"""Simulated host list with live and leaving hosts, whose answers can be outdated."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from shallotpoint.standins.faults import faults_route
from shallotpoint.types import JSONObject, Seconds

_HISTORY_S = 120.0  # longest useful ``lag_s``; older states are dropped


@dataclass(slots=True)
class HostFaults:
    """Injected faults of the host list.

    Attributes
    ----------
    lag_s : float
        Age of the state that is answered, in seconds.
    leaving : list of str
        Addresses of the hosts that are listed as leaving.
    """

    lag_s: Seconds = 0.0
    leaving: list[str] = field(default_factory=list)


class HostListStandin:
    """Answers ``GET /hosts`` with the list as it was ``lag_s`` seconds ago."""

    def __init__(self) -> None:
        self.faults = HostFaults()
        self._hosts: dict[str, JSONObject] = {}
        self._history: deque[tuple[Seconds, list[JSONObject]]] = deque()
        self.app = Starlette(
            routes=[
                Route("/hosts", self._get_hosts, methods=["GET"]),
                Route("/hosts", self._post_host, methods=["POST"]),
                faults_route(self.faults),
            ]
        )

    def add(self, name: str, *, role: str, address: str, data_centre: str) -> None:
        """Add a host, or replace the one of that name."""
        self._hosts[name] = {
            "name": name,
            "role": role,
            "address": address,
            "data_centre": data_centre,
            "state": "live",
        }
        self._record_state()

    def remove(self, name: str) -> None:
        """Remove a host from the list, if it is there."""
        self._hosts.pop(name, None)
        self._record_state()

    def _current_hosts(self) -> list[JSONObject]:
        listed = []
        for host in self._hosts.values():
            leaving = host["address"] in self.faults.leaving
            listed.append({**host, "state": "leaving" if leaving else "live"})
        return listed

    def _record_state(self) -> None:
        now = time.monotonic()
        self._history.append((now, self._current_hosts()))
        while len(self._history) > 1 and self._history[1][0] < now - _HISTORY_S:
            self._history.popleft()

    def _hosts_at(self, at_s: Seconds) -> list[JSONObject]:
        known: list[JSONObject] = self._history[0][1] if self._history else []
        for recorded_at_s, hosts in self._history:
            if recorded_at_s > at_s:
                break
            known = hosts
        return known

    async def _get_hosts(self, request: Request) -> JSONResponse:
        self._record_state()
        hosts = self._hosts_at(time.monotonic() - self.faults.lag_s)
        return JSONResponse({"hosts": hosts})

    async def _post_host(self, request: Request) -> JSONResponse:
        body = await request.json()
        if body.get("remove"):
            self.remove(body["name"])
        else:
            self.add(
                body["name"],
                role=body["role"],
                address=body["address"],
                data_centre=body["data_centre"],
            )
        return JSONResponse({"hosts": self._current_hosts()})
