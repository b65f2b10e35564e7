"""The course of one request, put together from the log lines of several routers."""

from __future__ import annotations

import datetime
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec

from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.results import RESULTS, Kind, Result

_TIME = "%Y-%m-%d %H:%M:%S,%f"
_FRAME = frozenset({"time", "level", "logger", "message", "router", "request"})
_ENDED = "request ended"
_LOST, _REGAINED = "store lost", "store regained"
_CONFIG = "configuration in force"
_UPSTREAM = frozenset({"upstream listed", "upstream gone"})


@dataclass(frozen=True, slots=True)
class Line:
    """One log line.

    Attributes
    ----------
    at_s : float
        Time by the wall clock of the router's host, in seconds.
    """

    at_s: float
    router: str
    message: str
    fields: Mapping[str, Any]


@dataclass(slots=True)
class _Beliefs:
    """What a router had last logged of the world before a line."""

    config: Line | None = None
    stores: dict[str, Line] = field(default_factory=dict)
    upstreams: dict[str, Line] = field(default_factory=dict)

    def take(self, line: Line) -> None:
        if line.message == _CONFIG:
            self.config = line
        elif line.message in (_LOST, _REGAINED):
            self.stores[line.fields.get("prefix", "")] = line
        elif line.message in _UPSTREAM:
            self.upstreams[line.fields.get("upstream", "")] = line

    def tell(self, line: Line) -> list[str]:
        """Return what was believed when a line was written, and how old it was."""
        known = []
        if self.config is not None:
            version = self.config.fields.get("version")
            known.append(f"configuration {version}{_age(self.config, line)}")
        for prefix, state in sorted(self.stores.items()):
            if state.message == _LOST:
                reason = state.fields.get("reason", "")
                known.append(f"store lost for {prefix}{_age(state, line)}: {reason}")
        upstream = self.upstreams.get(line.fields.get("upstream") or "")
        if upstream is not None:
            state_name = upstream.fields.get("state", "")
            text = f"{upstream.message} {state_name}".strip()
            known.append(f"{text}{_age(upstream, line)}")
        return known


def read_lines(raw_lines: Iterable[str]) -> list[Line]:
    """Return the log lines of a text, in its order.

    What stands before a line's JSON, such as a bench's own time, is passed over;
    lines without one are left out.
    """
    lines = []
    for raw in raw_lines:
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:].strip())
            at_s = datetime.datetime.strptime(fields["time"], _TIME).timestamp()
        except (*DECODE_ERRORS, KeyError, TypeError, ValueError):
            continue
        lines.append(
            Line(at_s, fields.get("router", ""), fields.get("message", ""), fields)
        )
    return lines


def explain(lines: Sequence[Line], request: str) -> list[str]:
    """Return the course of a request, a line a step, and what its end means."""
    ordered = sorted(lines, key=lambda line: line.at_s)
    beliefs: dict[str, _Beliefs] = {}
    told: list[str] = []
    first_s: float | None = None
    result = None
    for line in ordered:
        held = beliefs.setdefault(line.router, _Beliefs())
        held.take(line)
        if line.fields.get("request") != request:
            continue
        first_s = line.at_s if first_s is None else first_s
        told.append(f"{line.at_s - first_s:+9.3f} s  {line.router}  {_step(line)}")
        told += [f"{'':13}believed: {text}" for text in held.tell(line)]
        if line.message == _ENDED:
            result = line.fields.get("result")
    if result is not None:
        told.append(_meaning(result))
    return told


def _step(line: Line) -> str:
    facts = [
        f"{name}={value}" for name, value in line.fields.items() if name not in _FRAME
    ]
    return " ".join([line.message, *facts])


def _meaning(name: str) -> str:
    code = Result.__members__.get(name.upper())
    if code is None:
        return f"result {name}"
    info = RESULTS[code]
    run = "; not run" if info.kind is Kind.REFUSAL else ""
    return f"result {int(code)} {name}: {info.meaning}{run}; {info.operator}"


def _age(belief: Line, line: Line) -> str:
    return f", for {line.at_s - belief.at_s:.3f} s"
