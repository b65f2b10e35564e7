"""Simulated plain service that executes every call it receives."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

import msgspec
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from shallotpoint.httpd import CrashToCut
from shallotpoint.standins.faults import (
    SimulatedCrash,
    UpstreamFaults,
    faults_route,
)
from shallotpoint.types import JSONObject, Seconds

_POLL_INTERVAL_S = 0.02  # for the end of a hang


class ServiceStandin:
    """Records each call as executed and answers with its body.

    Parameters
    ----------
    call_duration_s : float
        Duration of one call, in seconds.
    crash : Callable, optional
        Ends the process for the fault ``crash_on_word``; called with the time until the
        restart, in seconds.

    Attributes
    ----------
    executions : list of dict
        Idempotency key, path and Unix time of each call, recorded when it arrives.
    """

    def __init__(
        self,
        *,
        call_duration_s: Seconds = 0.005,
        crash: Callable[[Seconds], None] | None = None,
    ):
        self.faults = UpstreamFaults()
        self.executions: list[JSONObject] = []
        self.crash = crash
        self._call_duration_s = call_duration_s
        self.app = CrashToCut(
            Starlette(
                routes=[
                    Route("/executions", self._get_executions),
                    Route("/load", self._get_load),
                    faults_route(self.faults),
                    Route(
                        "/{path:path}",
                        self._execute,
                        methods=["GET", "POST", "PUT", "PATCH", "DELETE"],
                    ),
                ]
            ),
            SimulatedCrash,
        )

    async def _execute(self, request: Request) -> Response:
        if self.faults.refuse:
            return JSONResponse({"error": "refused"}, status_code=503)
        body = (await request.body()).decode(errors="replace")
        execution = {
            "key": request.headers.get("idempotency-key"),
            "path": request.path_params["path"],
            "at": time.time(),
        }
        self.executions.append(execution)
        count = len(self.executions)
        self._crash_on_word(body)
        while self.faults.hang:
            await asyncio.sleep(_POLL_INTERVAL_S)
        await asyncio.sleep(self._call_duration_s * self.faults.slow_factor)
        if self.faults.crash_after_tokens:
            raise SimulatedCrash("crashed after the call was executed")
        answer = msgspec.json.encode({"count": count, "echo": body})
        return Response(answer, media_type="application/json")

    def _crash_on_word(self, body: str) -> None:
        word = self.faults.crash_on_word
        if word and word in body:
            if self.crash is not None:
                self.crash(self.faults.restart_s)
            raise SimulatedCrash("request contains the word set as crash_on_word")

    async def _get_executions(self, request: Request) -> JSONResponse:
        return JSONResponse(self.executions)

    async def _get_load(self, request: Request) -> JSONResponse:
        return JSONResponse({"executed": len(self.executions)})
