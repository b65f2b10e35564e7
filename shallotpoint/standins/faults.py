"""Injected faults, and the ``/faults`` endpoint of the simulated services."""

from __future__ import annotations

from dataclasses import asdict, dataclass, fields
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route

from shallotpoint.types import Seconds


class SimulatedCrash(ConnectionAbortedError):
    """Closes the connection without a complete answer, as a killed process does."""


@dataclass(slots=True)
class UpstreamFaults:
    """Injected faults of an engine or a plain service.

    Attributes
    ----------
    slow_factor : float
        Multiplies all processing times.
    crash_after_tokens : int
        An engine closes the connection after this many tokens, a plain service after
        it has executed the call; 0 for never.
    refuse : bool
        Whether each request is answered with status 503.
    hang : bool
        Whether requests stop making progress until this is reset.
    crash_on_word : str
        A request that contains this word ends the process; empty for none.
    restart_s : float
        Time until the process runs again after ``crash_on_word``, in seconds.
    report_lag_s : float
        Age of an engine's load reports, in seconds.
    """

    slow_factor: float = 1.0
    crash_after_tokens: int = 0
    refuse: bool = False
    hang: bool = False
    crash_on_word: str = ""
    restart_s: Seconds = 1.0
    report_lag_s: Seconds = 0.0


def set_faults(faults: Any, wanted: dict) -> None:
    """Set the wanted faults and reset all others to their defaults.

    Raises
    ------
    ValueError
        If a wanted fault does not exist.
    """
    known = {field.name: field for field in fields(faults)}
    unknown = wanted.keys() - known.keys()
    if unknown:
        allowed = ", ".join(sorted(known))
        raise ValueError(f"unknown fault {sorted(unknown)[0]!r}; use {allowed}")
    defaults = type(faults)()
    for name in known:
        setattr(faults, name, wanted.get(name, getattr(defaults, name)))


def faults_route(faults: Any) -> Route:
    """Return the route that sets the fields of a dataclass from a JSON object."""

    async def post_faults(request: Request) -> JSONResponse:
        try:
            set_faults(faults, await request.json())
        except (ValueError, AttributeError) as exc:
            return JSONResponse({"error": str(exc)}, status_code=400)
        current = asdict(faults)
        defaults = asdict(type(faults)())
        return JSONResponse({k: v for k, v in current.items() if v != defaults[k]})

    return Route("/faults", post_faults, methods=["POST"])
