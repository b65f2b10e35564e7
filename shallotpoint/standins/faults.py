"""The ``/faults`` endpoint that every stand-in has."""

from __future__ import annotations

from dataclasses import asdict, fields
from typing import Any

from starlette.requests import Request
from starlette.responses import JSONResponse
from starlette.routing import Route


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
