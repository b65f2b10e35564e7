"""Property tests: no caller receives the response to another request.

Connections to upstreams are reused, so surplus or late bytes of one response could be
parsed as the response to the next request.  Whatever an upstream writes, and whenever,
a success must be the whole response to the caller's own request.
"""

import asyncio
import contextlib
import os
from dataclasses import dataclass

import aiohttp
from hypothesis import HealthCheck, given, settings, strategies as st

from shallotpoint.policy.routes import RouteKind
from shallotpoint.testing.routing import route, running_router
from shallotpoint.testing.scripted_upstream import ScriptedConnection, ScriptedUpstream
from shallotpoint.tests.test_route_run import RouteCase

EXAMPLES = int(os.environ.get("SHALLOTPOINT_EXAMPLES", "40"))
LATE_DELAY_S = 0.02  # by then, the router has read the response
# How the upstream responds to a request.  "duplicate" sends the response twice and
# "tail" sends its end a second time; with "late", after a pause.  "closed" closes the
# connection after the response.  The modes of ``WRONG_ID_MODES`` send a response with
# the id of another request, with no id or with two ids.
MODES = (
    "whole",
    "slow",
    "duplicate",
    "duplicate, late",
    "tail",
    "tail, late",
    "early hints",
    "cut",
    "closed",
    "reset",
    "other id",
    "no id",
    "two ids",
    "no response",
)
WRONG_ID_MODES = ("other id", "no id", "two ids")


@dataclass(frozen=True)
class ScriptedRequest:
    """One request and how the upstream responds to it.

    Attributes
    ----------
    mode : str
        One of ``MODES``.
    concurrent : bool
        Whether the request is sent without waiting for those before it.
    cut_at_bytes : int
        Number of bytes of the response that are sent in mode "cut".
    time_limit_ms : int
        Time limit that the caller sends, in milliseconds.
    """

    mode: str
    concurrent: bool
    cut_at_bytes: int
    time_limit_ms: int


scripted_requests = st.builds(
    ScriptedRequest,
    mode=st.sampled_from(MODES),
    concurrent=st.booleans(),
    cut_at_bytes=st.integers(0, 140),
    time_limit_ms=st.sampled_from((60, 300)),
)


def response_body(name: str) -> bytes:
    """Return the body of the response to a request."""
    return name.encode() * 7


def encode_response(names: list[str], body: bytes) -> bytes:
    """Return a whole response that carries the given request ids."""
    lines = [f"x-request-id: {name}" for name in names]
    head = ["HTTP/1.1 200 OK", f"content-length: {len(body)}", *lines]
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


async def respond(connection: ScriptedConnection) -> None:
    """Respond in the mode that the request's ``x-mode`` header names."""
    with contextlib.suppress(RuntimeError):  # uvloop raises it if closed
        await _respond(connection)


async def _respond(connection: ScriptedConnection) -> None:
    mode = connection.request.headers["x-mode"]
    name = connection.request.headers["x-request-id"]
    own_response = encode_response([name], response_body(name))
    if mode == "no response":
        await connection.closed_by_peer()
        return
    if mode == "reset":
        connection.reset()
        return
    if mode == "slow":
        await asyncio.sleep(2 * LATE_DELAY_S)
    if mode == "early hints":
        await connection.send(b"HTTP/1.1 103 Early Hints\r\nlink: </a>\r\n\r\n")
    names = {"other id": ["q0-other"], "no id": [], "two ids": [name, "q0-other"]}
    if mode in WRONG_ID_MODES:
        await connection.send(encode_response(names[mode], response_body("other")))
    elif mode == "cut":
        await connection.send(own_response[: int(connection.request.headers["x-cut"])])
        connection.close()
    else:
        await connection.send(own_response)
    if mode.endswith("late"):
        await asyncio.sleep(LATE_DELAY_S)
    if mode.startswith("duplicate"):
        await connection.send(own_response)
    elif mode.startswith("tail"):
        await connection.send(own_response[40:])
    elif mode == "closed":
        connection.close()


class UpstreamConnectionTests(RouteCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize="SHALLOTPOINT_EXAMPLES" not in os.environ,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(scripted_requests, min_size=2, max_size=8), st.booleans())
    def test_success_is_the_whole_response_to_its_own_request(
        self, sequence, repeatable
    ):
        results = self.run_async(self.run_requests(sequence, repeatable))
        for name, (status, body) in results.items():
            if status == 200:
                self.assertEqual(response_body(name), body)
        for index, request in enumerate(sequence):
            if request.mode in WRONG_ID_MODES:
                self.assertNotEqual(200, results[f"q{index}"][0])
        # All requests succeed if no response was wrong, delayed or cut off.
        if all(request.mode in ("whole", "early hints") for request in sequence):
            self.assertEqual({200}, {status for status, _ in results.values()})

    async def run_requests(self, sequence, repeatable):
        kind = RouteKind.IDEMPOTENT if repeatable else RouteKind.NON_IDEMPOTENT
        the_route = route(kind, timeout_s=1.0)
        results = {}
        async with running_router(the_route, ScriptedUpstream(respond)) as fleet:
            running = []
            for index, request in enumerate(sequence):
                if running and not request.concurrent:
                    await asyncio.gather(*running)
                    running = []
                running.append(self.send_request(fleet, index, request, results))
            await asyncio.gather(*running)
        return results

    async def send_request(self, fleet, index, request, results):
        name = f"q{index}"
        try:
            status, body, _ = await fleet.ask(
                x_request_id=name,
                x_mode=request.mode,
                x_cut=str(request.cut_at_bytes),
                x_time_left_ms=str(request.time_limit_ms),
            )
        except aiohttp.ClientError:
            status, body = 0, b""
        results[name] = status, body
