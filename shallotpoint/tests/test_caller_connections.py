"""Property tests for several requests on one connection of a caller.

Hypothesis generates the requests and how the upstream behaves.  Each answer must
belong to the first request that has none yet, must be complete unless the connection
ends within it, and there must never be an answer without a waiting request.
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
# Longer than any request may take, so that none is in progress after it.
MAX_REQUEST_S = 0.35
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
class CallerRequest:
    """One request of a caller.

    Attributes
    ----------
    mode : str
        How the upstream behaves, one of ``MODES``.
    stream : bool
        Whether the request goes to the route with streamed answers.
    awaits_answer : bool
        Whether the caller waits for the answer before it sends the next request.
    write_count : int
        Number of writes in which the request is sent.
    chunked : bool
        Whether the body is sent with chunked transfer encoding.
    body_bytes : int
        Length of the body in bytes.
    time_left_ms : int
        How long the caller will wait for the answer, in milliseconds.
    """

    mode: str
    stream: bool
    awaits_answer: bool
    write_count: int
    chunked: bool
    body_bytes: int
    time_left_ms: int


request_strategy = st.builds(
    CallerRequest,
    mode=st.sampled_from(MODES),
    stream=st.booleans(),
    awaits_answer=st.booleans(),
    write_count=st.integers(1, 4),
    chunked=st.booleans(),
    body_bytes=st.sampled_from((0, 1, 300, 70_000)),
    time_left_ms=st.sampled_from((60, 250)),
)


async def answer_by_mode(line: ScriptedConnection) -> None:
    """Answer in the way that the request's ``x-mode`` header names."""
    with contextlib.suppress(RuntimeError):  # raised by uvloop on a closed connection
        await _answer_by_mode(line)


async def _answer_by_mode(line: ScriptedConnection) -> None:
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


def encode_request(number: int, request: CallerRequest) -> bytes:
    """Return the bytes of the request with this number on its connection."""
    path = "stream" if request.stream else "desk"
    head = [
        f"POST /{path}/{number} HTTP/1.1",
        f"host: {HOST}",
        f"x-key: {KEY}",
        f"x-request-id: q{number}",
        f"x-time-left-ms: {request.time_left_ms}",
        f"x-mode: {request.mode}",
    ]
    body = b"b" * request.body_bytes
    if request.chunked:
        head.append("transfer-encoding: chunked")
        chunk = b"%x\r\n%s\r\n" % (len(body), body) if body else b""
        body = chunk + b"0\r\n\r\n"
    else:
        head.append(f"content-length: {len(body)}")
    return "\r\n".join(head).encode() + b"\r\n\r\n" + body


class AnswerParser:
    """Parses the answers on one connection and collects the complete ones."""

    def __init__(self):
        self.complete: list[tuple[int, str, bytes]] = []
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
        self.complete.append((status, self._name, self._body))

    def feed(self, data):
        self._parser.feed_data(data)


class CallerConnectionTests(RouteCase):
    @settings(
        max_examples=EXAMPLES,
        deadline=None,
        derandomize="SHALLOTPOINT_EXAMPLES" not in os.environ,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.lists(request_strategy, min_size=1, max_size=5), st.integers(0, 100_000))
    def test_each_answer_belongs_to_the_first_request_without_one(
        self, caller_requests, close_after_bytes
    ):
        answers, bodies = self.run_async(
            self.send_on_one_connection(caller_requests, close_after_bytes)
        )
        names = [name for _, name, _ in answers]
        self.assertEqual([f"q{n}" for n in range(len(names))], names)
        for status, name, body in answers:
            if status == 200:
                self.assertEqual(bodies[name], body)

    async def send_on_one_connection(self, caller_requests, close_after_bytes):
        desk = route(RouteKind.IDEMPOTENT, timeout_s=0.3)
        stream = route(
            RouteKind.STREAM, name="stream", prefix="/stream/", resumable=True
        )
        answers = AnswerParser()
        upstreams = [ScriptedUpstream(answer_by_mode), ScriptedUpstream(answer_by_mode)]
        async with running_router(desk, *upstreams, more_routes=(stream,)) as fleet:
            host, _, port = fleet.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            reading = asyncio.create_task(self.feed_parser(reader, answers))
            bytes_left = close_after_bytes if close_after_bytes % 3 == 0 else 1 << 30
            for number, request in enumerate(caller_requests):
                raw = encode_request(number, request)[:bytes_left]
                bytes_left -= len(raw)
                step = -(-len(raw) // request.write_count) or 1
                for start in range(0, len(raw), step):
                    if not writer.transport.is_closing():
                        writer.write(raw[start : start + step])
                    await asyncio.sleep(0.001)
                if bytes_left <= 0 or writer.transport.is_closing():
                    break
                if request.awaits_answer:
                    await self.wait_for_answers(answers, number + 1, reading)
            if bytes_left <= 0:
                writer.close()
            await asyncio.sleep(MAX_REQUEST_S)
            writer.close()
            reading.cancel()
        bodies = {
            f"q{n}": b"".join(
                event(i).replace(b"piece", f"q{n}".encode()) for i in range(1, 4)
            )
            if request.stream
            else f"q{n}".encode() * 3
            for n, request in enumerate(caller_requests)
        }
        return answers.complete, bodies

    def test_closed_connection_ends_all_requests_on_it(self):
        # Guards against an earlier fault: when a caller closed its connection, only the
        # last of the requests on it was notified, so an earlier one went on running.
        async def scenario():
            hanging = ScriptedUpstream(hang)
            async with running_router(route(RouteKind.IDEMPOTENT), hanging) as fleet:
                host, _, port = fleet.url.removeprefix("http://").rpartition(":")
                _, writer = await asyncio.open_connection(host, int(port))
                first = CallerRequest("whole", False, False, 1, False, 10, 3_000)
                writer.write(encode_request(0, first) + encode_request(1, first))
                await eventually(lambda: hanging.received)
                writer.close()
                await eventually(lambda: not fleet.pools.in_flight, timeout_s=0.5)
            return len(hanging.received)

        self.assertEqual(1, self.run_async(scenario()))

    async def feed_parser(self, reader, answers):
        with contextlib.suppress(ConnectionResetError):
            while data := await reader.read(65_536):
                answers.feed(data)

    async def wait_for_answers(self, answers, count, reading):
        deadline_at_s = asyncio.get_running_loop().time() + MAX_REQUEST_S
        while len(answers.complete) < count and not reading.done():
            if asyncio.get_running_loop().time() > deadline_at_s:
                break
            await asyncio.sleep(0.002)
