"""The command that asks a router what it would do with a request."""

from __future__ import annotations

import argparse
import json
import sys
from collections.abc import Iterator

import aiohttp

from shallotpoint.callers.routes import EXPLAIN_PATH
from shallotpoint.types import JSONObject

_TIMEOUT_S = 10.0


def describe(args: argparse.Namespace) -> JSONObject:
    """Return the description of a request from the command's options.

    Raises
    ------
    ValueError
        An option is not usable; the message names it and the fix.
    """
    described = {
        "method": args.method,
        "host": args.host,
        "path": args.path,
        "id": args.id,
        "organisation": args.organisation,
        "key": args.key_file.read().strip() if args.key_file else None,
        "prompt_parts": [_part(text) for text in args.part],
        "prompt_tokens": args.prompt_tokens,
        "output_tokens": args.output_tokens,
        "size_bytes": args.size,
        "time_left_s": args.time_left,
    }
    return {name: value for name, value in described.items() if value is not None}


def _part(text: str) -> tuple[str, int]:
    name, separator, tokens = text.rpartition(":")
    if not separator or not name or not tokens.isdecimal():
        raise ValueError(
            f"--part: {text!r} is not usable; give ID:TOKENS, as base:4800"
        )
    return name, int(tokens)


async def ask(url: str, described: JSONObject, *, as_json: bool) -> int:
    """Ask a router about a request and print the answer; return the exit code."""
    try:
        async with (
            aiohttp.ClientSession() as session,
            session.post(
                f"{url.rstrip('/')}{EXPLAIN_PATH}",
                json=described,
                timeout=aiohttp.ClientTimeout(total=_TIMEOUT_S),
            ) as resp,
        ):
            answer = await resp.json()
            status = resp.status
    except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as exc:
        reason = str(exc) or type(exc).__name__
        print(
            f"--at: no answer from {url} ({reason}); "
            "give the metrics address of a running router",
            file=sys.stderr,
        )
        return 1
    if status != 200:
        print(_error_of(answer), file=sys.stderr)
        return 2
    print(json.dumps(answer) if as_json else "\n".join(render(answer)))
    return 0


def _error_of(answer: JSONObject) -> str:
    error = answer.get("error", answer)
    return str(error.get("message", error) if isinstance(error, dict) else error)


def render(answer: JSONObject) -> Iterator[str]:
    """Yield the lines that tell an answer to a person."""
    yield f"route          {answer['route'] or 'none'}"
    for name in ("organisation", "pool", "class", "tier"):
        if answer.get(name) is not None:
            yield f"{name:14} {answer[name]}"
    refusal = answer["refusal"]
    if refusal is not None:
        wait_s = refusal["retry_after_s"]
        later = "" if wait_s is None else f", Retry-After {wait_s:.3g} s"
        yield f"refused        {refusal['status']} {refusal['result']}{later}"
        yield f"               {refusal['meaning']}"
    elif "upstream" in answer:
        yield f"upstream       {answer['upstream'] or 'none yet: it waits'}"
        yield f"ahead          {answer['ahead']} requests"
        yield f"expected wait  {answer['expected_wait_s']:.3g} s"
    upstreams = answer.get("upstreams")
    if upstreams is None:
        return
    age_s = answer["load_age_s"]
    age = "no reports of other routers" if age_s is None else f"up to {age_s:.1f} s old"
    yield f"load reports   {age}"
    for found in upstreams:
        yield "  " + "  ".join(_facts(found))


def _facts(found: JSONObject) -> Iterator[str]:
    """Yield what is known of one upstream."""
    yield f"{found['upstream']}: {found['verdict']}"
    yield f"running {found['running']}+{found['peer_running']} of {found['slots']}"
    if found["cost_s"] is not None:
        yield f"cost {found['cost_s']:.3f} s"
    if found["cached_tokens"]:
        yield f"cached {found['cached_tokens']} tokens"
    if found["pace"] is not None:
        yield f"pace {found['pace']}, {found['pace_starts_per_s']:.2f} starts/s"
    if found["is_limited"]:
        yield "needs permits"
    if found["opens_in_s"]:
        yield f"opens in {found['opens_in_s']:.1f} s"
