"""The operators' command line: one command or a prompt."""

from __future__ import annotations

import asyncio
import json
import ssl
import sys

import aiohttp

from shallotpoint.types import JSONObject

_TIMEOUT_S = 30.0
_GOOD_STATUSES = frozenset({"ok", "accepted", "order_pending"})


async def operate(
    url: str, token: str, command: str | None, *, as_json: bool, ca: str | None = None
) -> int:
    """Run one command, or a prompt without one; return the exit code."""
    context = ssl.create_default_context(cafile=ca) if ca else None
    connector = aiohttp.TCPConnector(ssl=context or True)
    async with aiohttp.ClientSession(connector=connector) as session:
        if command is not None:
            return await _one(session, url, token, command, as_json=as_json)
        while True:
            line = await asyncio.to_thread(_read_line)
            if line is None or line in ("quit", "exit"):
                return 0
            if line:
                await _one(session, url, token, line, as_json=as_json)


async def _one(session, url: str, token: str, command: str, *, as_json: bool) -> int:
    try:
        reply = await send_command(session, url, token, command)
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        print(f"no answer from {url}: {exc}", file=sys.stderr)
        return 1
    print(json.dumps(reply) if as_json else render(reply))
    return 0 if reply.get("status") in _GOOD_STATUSES else 1


async def send_command(
    session: aiohttp.ClientSession, url: str, token: str, command: str
) -> JSONObject:
    """Give one command to a router and return its reply."""
    async with session.post(
        f"{url.rstrip('/')}/operate",
        json={"command": command},
        headers={"authorization": f"Bearer {token}"},
        timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
    ) as resp:
        return await resp.json()


def _read_line() -> str | None:
    try:
        return input("shallotpoint> ").strip()
    except (EOFError, KeyboardInterrupt):
        return None


def render(reply: JSONObject) -> str:
    """Return a reply as a person reads it."""
    lines = []
    rows = reply.get("rows")
    if rows is not None:
        lines += _table(rows)
    head = f"{reply['status']} ({reply['result']})"
    if "version" in reply:
        head += f", version {reply['version']}"
    if reply.get("asked", 1) > 1:
        head += f", {reply['answered']} of {reply['asked']} routers answered"
    lines.append(head)
    if "message" in reply:
        lines.append(reply["message"])
    return "\n".join(lines)


def _table(rows: list[JSONObject]) -> list[str]:
    columns: dict[str, None] = {}
    for row in rows:
        columns.update(dict.fromkeys(row))
    cells = [[_cell(row.get(name)) for name in columns] for row in rows]
    widths = [
        max(len(name), *(len(row[i]) for row in cells)) if cells else len(name)
        for i, name in enumerate(columns)
    ]
    lines = ["  ".join(n.ljust(w) for n, w in zip(columns, widths, strict=True))]
    lines += [
        "  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip()
        for row in cells
    ]
    return lines if rows else ["no rows"]


def _cell(value) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, list | tuple):
        return ",".join(map(str, value)) or "-"
    if isinstance(value, dict):
        return " ".join(f"{k}={v}" for k, v in value.items()) or "-"
    return str(value)
