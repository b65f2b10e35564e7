"""A server that stops in the middle of its answer's head, at each byte and in each way.

What came of such a head must never reach a caller as an answer, whatever framing it
already named.
"""

import asyncio
import itertools
from collections import Counter

from shallotpoint.policy.retries import SharedRetryBudget
from shallotpoint.policy.routes import RouteKind
from shallotpoint.testing.routing import route, running_router
from shallotpoint.testing.scripted_upstream import ScriptedConnection, ScriptedUpstream
from shallotpoint.tests.test_route_run import RouteCase

AT_ONCE = 24  # more requests than the upstream has slots, so that some queue
PAUSE_S = 0.002
FRAMINGS = ("content-length: 0", "content-length: 5", "transfer-encoding: chunked", "")
WHOLE = b"id: 1\ndata: whole\n\n"  # also a complete stream
NOT_RUN_STATUSES = (408, 421, 429, 503)


def encode_head(request: str, framing: str) -> bytes:
    lines = ["HTTP/1.1 200 OK", f"x-request-id: {request}", framing, "x-n: 1"]
    return "\r\n".join(line for line in lines if line).encode() + b"\r\n\r\n"


async def close(line, head):
    await line.send(head)
    line.close()


async def close_in_two_parts(line, head):
    await line.send(head[: len(head) // 2])
    await asyncio.sleep(PAUSE_S)
    await close(line, head[len(head) // 2 :])


async def reset(line, head):
    await line.send(head)
    line.reset()


async def half_close(line, head):
    await line.send(head)
    line.writer.write_eof()
    await line.closed_by_peer()


ENDS = (close, close_in_two_parts, reset, half_close)


async def respond(line: ScriptedConnection) -> None:
    """Send the part of a head that the request names, or else a whole answer."""
    headers = line.request.headers
    if "x-cut" not in headers:
        await asyncio.sleep(10 * PAUSE_S)
        await line.answer(200, WHOLE)
        return
    head = encode_head(headers["x-request-id"], headers["x-framing"].strip("-"))
    await ENDS[int(headers["x-end"])](line, head[: int(headers["x-cut"])])


class CutHeadTests(RouteCase):
    def check(self, kind):
        """Cut heads at all bytes, beside requests with slow answers and a queue."""
        cases = [
            (framing, end, cut)
            for framing in FRAMINGS
            for end in range(len(ENDS))
            for cut in range(0, len(encode_head("r0000", framing)))
        ]

        async def ask_cut(fleet, request, framing, end, cut):
            status, body, _ = await fleet.ask(
                x_request_id=request,
                x_cut=str(cut),
                x_end=str(end),
                x_framing=framing or "-",
            )
            return request, (framing, ENDS[end].__name__, cut), status, body

        async def ask_whole(fleet, request):
            status, body, _ = await fleet.ask(x_request_id=request)
            return request, "whole", status, body

        async def main():
            upstreams = ScriptedUpstream(respond), ScriptedUpstream(respond)
            budget = SharedRetryBudget(slack=10_000.0)
            numbers = itertools.count()
            results = []
            async with running_router(
                route(kind, timeout_s=8.0), *upstreams, budget=budget
            ) as fleet:
                for start in range(0, len(cases), AT_ONCE):
                    asks = []
                    for case in cases[start : start + AT_ONCE]:
                        asks.append(ask_cut(fleet, f"r{next(numbers):04}", *case))
                        if len(asks) % 4 == 0:
                            asks.append(ask_whole(fleet, f"w{next(numbers):04}"))
                    results += await asyncio.gather(*asks)
            received = Counter(
                r.headers["x-request-id"] for u in upstreams for r in u.received
            )
            return results, received

        results, received = self.run_async(main())
        for request, case, status, body in results:
            if case != "whole":
                self.assertNotEqual(2, status // 100, (case, body))
            elif status == 200:
                self.assertEqual(WHOLE, body)
            if status in NOT_RUN_STATUSES:
                self.assertEqual(0, received[request], (case, status))
            if kind is RouteKind.NON_IDEMPOTENT:
                self.assertLessEqual(received[request], 1, case)
        served = sum(status == 200 for _, _, status, _ in results)
        self.assertGreater(served, len(cases) // 8)

    def test_calls_that_may_run_once(self):
        self.check(RouteKind.NON_IDEMPOTENT)

    def test_calls_that_may_be_repeated(self):
        self.check(RouteKind.IDEMPOTENT)

    def test_streams(self):
        self.check(RouteKind.STREAM)
