"""Callers' connections as sequences that Hypothesis draws: order and identity hold.

Each answer on a connection belongs to the first request that has none, is whole or
ends with the connection, and there is never an answer that no request waits for.
"""

import asyncio
import contextlib
import os
from dataclasses import dataclass

import httptools
from hypothesis import HealthCheck, given, settings, strategies as st

from shallotpoint.policy.routes import RouteKind
from shallotpoint.testing.cases import eventually
from shallotpoint.testing.routing import HOST, KEY, route, running_router
from shallotpoint.testing.scripted_upstream import (
    ScriptedConnection,
    ScriptedUpstream,
    event,
)
from shallotpoint.tests.test_route_run import RouteCase, hang

EXAMPLES = int(os.environ.get("SHALLOTPOINT_EXAMPLES", "40"))
QUIET_S = 0.35  # beyond the longest time of a request, so that nothing is under way
MODES = (
    "whole",
    "slow",
    "late",
    "reset",
    "fails",
    "refuses",
    "twice",
    "other",
    "early",
)


@dataclass(frozen=True)
class Sent:
    """One request of a caller.

    Attributes
    ----------
    mode : str
        What the upstream does with it.
    waits : bool
        Whether the caller waits for the answer before it sends the next.
    parts : int
        Pieces in which the request is written.
    left_ms : int
        The caller's time.
    """

    mode: str
    stream: bool
    waits: bool
    parts: int
    chunked: bool
    body: int
    left_ms: int


requests = st.builds(
    Sent,
    mode=st.sampled_from(MODES),
    stream=st.booleans(),
    waits=st.booleans(),
    parts=st.integers(1, 4),
    chunked=st.booleans(),
    body=st.sampled_from((0, 1, 300, 70_000)),
    left_ms=st.sampled_from((60, 250)),
)


async def behave(line: ScriptedConnection) -> None:
    """Answer as the request asks for."""
    with contextlib.suppress(RuntimeError):  # uvloop's word for a closed connection
        await _behave(line)


async def _behave(line: ScriptedConnection) -> None:
    mode = line.request.headers["x-mode"]
    name = line.request.headers["x-request-id"]
    if mode == "reset":
        line.reset()
        return
    if mode in ("slow", "late"):
        await asyncio.sleep(0.03 if mode == "slow" else 0.15)
    if mode == "refuses":
        await line.answer(503, b"", headers=["x-not-run: 1"])
    elif mode == "fails":
        await line.answer(500, name.encode())
    elif mode == "other":
        await line.answer(200, b"another's", request="another")
    elif line.request.target.startswith("/stream/"):
        await line.start_stream()
        for number in range(1, 4):
            await line.chunk(event(number).replace(b"piece", name.encode()))
            await asyncio.sleep(0.005)
        await line.chunk(b"")
    else:
        await line.answer(200, name.encode() * 3)
    if mode == "twice":
        await line.answer(200, name.encode() * 3)


def written(number: int, request: Sent) -> bytes:
    """Return the bytes of a request."""
    path = "stream" if request.stream else "desk"
    head = [
        f"POST /{path}/{number} HTTP/1.1",
        f"host: {HOST}",
        f"x-key: {KEY}",
        f"x-request-id: q{number}",
        f"x-time-left-ms: {request.left_ms}",
        f"x-mode: {request.mode}",
    ]
    body = b"b" * request.body
    if request.chunked:
        head.append("transfer-encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    else:
        head.append(f"content-length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class Answers:
    """Reads the answers of one connection."""

    def __init__(self):
        self.whole: list[tuple[int, str, bytes]] = []
        self._parser = httptools.HttpResponseParser(self)
        self._name, self._body = "", b""

    def on_message_begin(self):
        self._name, self._body = "", b""

    def on_header(self, name, value):
        if name.lower() == b"x-shallotpoint-request":
            self._name = value.decode()

    def on_body(self, body):
        self._body += body

    def on_message_complete(self):
        status = self._parser.get_status_code()
        self.whole.append((status, self._name, self._body))

    def feed(self, data):
        self._parser.feed_data(data)


class CallerConnectionTests(RouteCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize="SHALLOTPOINT_EXAMPLES" not in os.environ,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(requests, min_size=1, max_size=5), st.integers(0, 100_000))
    def test_each_answer_belongs_to_the_first_request_without_one(self, sent, cut_at):
        whole, bodies = self.run_async(self.converse(sent, cut_at))
        names = [name for _, name, _ in whole]
        self.assertEqual([f"q{n}" for n in range(len(names))], names)
        for status, name, body in whole:
            if status == 200:
                self.assertEqual(bodies[name], body)

    async def converse(self, sent, cut_at):
        desk = route(RouteKind.IDEMPOTENT, timeout_s=0.3)
        stream = route(
            RouteKind.STREAM, name="stream", prefix="/stream/", resumable=True
        )
        answers = Answers()
        behind = [ScriptedUpstream(behave), ScriptedUpstream(behave)]
        async with running_router(desk, *behind, more_routes=(stream,)) as fleet:
            host, _, port = fleet.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            reading = asyncio.create_task(self.read(reader, answers))
            left = cut_at if cut_at % 3 == 0 else 1 << 30
            for number, request in enumerate(sent):
                raw = written(number, request)[:left]
                left -= len(raw)
                step = -(-len(raw) // request.parts) or 1
                for start in range(0, len(raw), step):
                    if not writer.transport.is_closing():
                        writer.write(raw[start : start + step])
                    await asyncio.sleep(0.001)
                if left <= 0 or writer.transport.is_closing():
                    break
                if request.waits:
                    await self.answered(answers, number + 1, reading)
            if left <= 0:
                writer.close()
            await asyncio.sleep(QUIET_S)
            writer.close()
            reading.cancel()
        bodies = {
            f"q{n}": b"".join(
                event(i).replace(b"piece", f"q{n}".encode()) for i in range(1, 4)
            )
            if request.stream
            else f"q{n}".encode() * 3
            for n, request in enumerate(sent)
        }
        return answers.whole, bodies

    def test_gone_caller_with_two_requests_on_its_connection(self):
        # GONE: only the last request was told that its caller had closed.
        async def scenario():
            hanging = ScriptedUpstream(hang)
            async with running_router(route(RouteKind.IDEMPOTENT), hanging) as fleet:
                host, _, port = fleet.url.removeprefix("http://").rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                first = Sent("whole", False, False, 1, False, 10, 3_000)
                writer.write(written(0, first) + written(1, first))
                await eventually(lambda: hanging.received)
                writer.close()
                await eventually(lambda: not fleet.pools.in_flight, timeout_s=0.5)
            return len(hanging.received)

        self.assertEqual(1, self.run_async(scenario()))

    async def read(self, reader, answers):
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(65_536):
                answers.feed(data)

    async def answered(self, answers, count, reading):
        until_s = asyncio.get_running_loop().time() + QUIET_S
        while len(answers.whole) < count and not reading.done():
            if asyncio.get_running_loop().time() > until_s:
                break
            await asyncio.sleep(0.002)
