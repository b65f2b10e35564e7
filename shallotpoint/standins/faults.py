"""The ``/faults`` endpoint that every stand-in has."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from shallotpoint.types import Seconds


class SimulatedCrash(ConnectionAbortedError):
    """Ends a connection without an answer, as a killed process does."""


@dataclass(slots=True)
class UpstreamFaults:
    """Faults of an engine or a plain service; times in seconds.

    ``crash_after_tokens`` cuts a plain service's connection once the call has run.
    """

    slow_factor: float = 1.0
    crash_after_tokens: int = 0
    refuse: bool = False
    hang: bool = False
    crash_on_word: str = ""
    restart_s: Seconds = 1.0
    report_lag_s: Seconds = 0.0


def set_faults(faults: Any, wanted: dict) -> None:
    """Put exactly the wanted faults in force; ValueError names a bad one."""
    known = {field.name: field for field in fields(faults)}
    unknown = wanted.keys() - known.keys()
    if unknown:
        allowed = ", ".join(sorted(known))
        raise ValueError(f"unknown fault {sorted(unknown)[0]!r}; use {allowed}")
    clean = type(faults)()
    for name in known:
        setattr(faults, name, wanted.get(name, getattr(clean, name)))


def faults_route(faults: Any) -> Route:
    """Return the route that reads a JSON object into a dataclass of faults."""

    async def post_faults(request: Request) -> JSONResponse:
        try:
            set_faults(faults, await request.json())
        except (ValueError, AttributeError) as exc:
            return JSONResponse({"error": str(exc)}, status_code=400)
        in_force = asdict(faults)
        clean = asdict(type(faults)())
        return JSONResponse({k: v for k, v in in_force.items() if v != clean[k]})

    return Route("/faults", post_faults, methods=["POST"])
