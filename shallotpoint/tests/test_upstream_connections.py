"""Upstreams' connections as sequences that Hypothesis draws: no answer of another.

Connections are kept from one request to the next.  Whatever an upstream writes on one,
and whenever, a caller's success is the whole answer to its own request.
"""

import asyncio
import contextlib
import os
from dataclasses import dataclass

import aiohttp
from hypothesis import HealthCheck, given, settings, strategies as st

from shallotpoint.policy.routes import RouteKind
from shallotpoint.testing.routing import route, routed
from shallotpoint.testing.scripted_upstream import Line, ScriptedUpstream
from shallotpoint.tests.test_route_run import RouteCase

EXAMPLES = int(os.environ.get("SHALLOTPOINT_EXAMPLES", "40"))
LATE_S = 0.02  # the router has read the answer by then
MODES = (
    "whole",
    "slow",
    "twice",
    "twice, late",
    "rest",
    "rest, late",
    "informed",
    "cut",
    "closed",
    "reset",
    "another's",
    "nobody's",
    "of two",
    "never",
)
FOREIGN = ("another's", "nobody's", "of two")


@dataclass(frozen=True)
class Turn:
    """One request and what the upstream does with it.

    Attributes
    ----------
    beside : bool
        Whether it is sent beside the one before it, not after.
    cut_at : int
        Bytes of the answer that are written, where it is cut.
    """

    mode: str
    beside: bool
    cut_at: int
    left_ms: int


turns = st.builds(
    Turn,
    mode=st.sampled_from(MODES),
    beside=st.booleans(),
    cut_at=st.integers(0, 140),
    left_ms=st.sampled_from((60, 300)),
)


def body_of(name: str) -> bytes:
    """Return the answer to a request."""
    return name.encode() * 7


def answer(names: list[str], body: bytes) -> bytes:
    """Return the bytes of an answer that names requests."""
    lines = [f"x-request-id: {name}" for name in names]
    head = ["HTTP/1.1 200 OK", f"content-length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def behave(line: Line) -> None:
    """Answer as the request asks for."""
    with contextlib.suppress(RuntimeError):  # uvloop's word for a closed connection
        await _behave(line)


async def _behave(line: Line) -> None:
    mode = line.request.headers["x-mode"]
    name = line.request.headers["x-request-id"]
    own = answer([name], body_of(name))
    if mode == "never":
        await line.closed_by_peer()
        return
    if mode == "reset":
        line.reset()
        return
    if mode == "slow":
        await asyncio.sleep(2 * LATE_S)
    if mode == "informed":
        await line.send(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")
    names = {"another's": ["q0-other"], "nobody's": [], "of two": [name, "q0-other"]}
    if mode in FOREIGN:
        await line.send(answer(names[mode], body_of("other")))
    elif mode == "cut":
        await line.send(own[: int(line.request.headers["x-cut"])])
        line.close()
    else:
        await line.send(own)
    if mode.endswith("late"):
        await asyncio.sleep(LATE_S)
    if mode.startswith("twice"):
        await line.send(own)
    elif mode.startswith("rest"):
        await line.send(own[40:])
    elif mode == "closed":
        line.close()


class UpstreamConnectionTests(RouteCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize="SHALLOTPOINT_EXAMPLES" not in os.environ,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(turns, min_size=2, max_size=8), st.booleans())
    def test_a_success_is_the_whole_answer_to_its_own_request(self, played, repeatable):
        found = self.run_async(self.converse(played, repeatable))
        for name, (status, body) in found.items():
            if status == 200:
                self.assertEqual(body_of(name), body)
        for number, turn in enumerate(played):
            if turn.mode in FOREIGN:
                self.assertNotEqual(200, found[f"q{number}"][0])
        # One that no other could disturb is served.
        if all(turn.mode in ("whole", "informed") for turn in played):
            self.assertEqual({200}, {status for status, _ in found.values()})

    async def converse(self, played, repeatable):
        kind = RouteKind.IDEMPOTENT if repeatable else RouteKind.NON_IDEMPOTENT
        desk = route(kind, timeout_s=1.0)
        found = {}
        async with routed(desk, ScriptedUpstream(behave)) as fleet:
            running = []
            for number, turn in enumerate(played):
                if running and not turn.beside:
                    await asyncio.gather(*running)
                    running = []
                running.append(self.ask_one(fleet, number, turn, found))
            await asyncio.gather(*running)
        return found

    async def ask_one(self, fleet, number, turn, found):
        name = f"q{number}"
        try:
            status, body, _ = await fleet.ask(
                x_request_id=name,
                x_mode=turn.mode,
                x_cut=str(turn.cut_at),
                x_time_left_ms=str(turn.left_ms),
            )
        except aiohttp.ClientError:
            status, body = 0, b""
        found[name] = status, body
