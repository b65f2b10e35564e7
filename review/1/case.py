"""Routers abort as clients leave while their request is being sent to a server.

Some clients close their connection within half of the latency objective, as they do in
the site's days.  Other clients keep their connections and wait for their answers.
"""

import asyncio
import collections
import contextlib
import random

import deployment

ROUTERS = ("edge-1", "edge-2", "edge-3")
ALLOWED_LOST = 3  # "closes that connection without an answer, more than three times"
TRAFFIC_S = 80.0
LEAVING_PER_S = 30.0  # a share of 0.3 of the requests in the burst of 2.3
LEAVING_TOGETHER = 4
LEAVE_WITHIN_S = 0.004
WAITING_CLIENTS = 8  # for each router
PAUSE_S = 0.15
FIRST_EVENT_S = 0.2
EVENTS = 5
TIMEOUT_S = 5.0
RESTART_S = 0.5
SIGNATURE = "x-shallotpoint-server-signature"

COMMON = {
    "host": deployment.HOST,
    "timeout-ms": TIMEOUT_S * 1000,
    "goal-ms": 600,
    "max-attempts": 1,
    "priority": 1,
    "open": True,
}
ROUTES = [
    {
        **COMMON,
        "name": "deposits",
        "prefix": "/deposits/",
        "route-kind": "non_idempotent",
        "service": "desk",
    },
    {
        **COMMON,
        "name": "questions",
        "prefix": "/questions/",
        "route-kind": "streaming",
        "gap-goal-ms": 200,
        "service": "engines",
    },
]
SERVICES = [{"name": "desk"}, {"name": "engines", "backend": {"slots": 64}}]


def encode(attempt: str, path: str) -> bytes:
    """Return a request with a short body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {deployment.HOST}\r\n"
        f"X-Shallotpoint-Attempt-Id: {attempt}\r\n"
        f"X-Shallotpoint-Deadline-Ms: {int(TIMEOUT_S * 1000)}\r\n"
        "Content-Length: 4\r\n\r\nbody"
    ).encode()


async def play(world: deployment.Deployment) -> str | None:
    """Play the case; return how the rule broke."""
    rng = random.Random(1)
    ran: set[str] = set()
    lost: list[str] = []
    foreign: list[str] = []
    statuses: collections.Counter[int | None] = collections.Counter()
    ends: dict[str, list[int]] = collections.defaultdict(list)

    async def run(arrival: deployment.Arrival) -> None:
        ran.add(arrival.id)
        world.record.add("run", id=arrival.id, server=arrival.server.name)
        if arrival.server.service == "desk":
            await asyncio.sleep(0.0225)
            await arrival.answer("200 OK", b"done")
            return
        await asyncio.sleep(FIRST_EVENT_S)
        head = "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        await arrival.send(arrival.head("200 OK", head))
        for number in range(1, EVENTS + 1):
            await arrival.send_chunk(b"id: %d\ndata: piece\n\n" % number)
            await asyncio.sleep(0.02)
        await arrival.send(b"0\r\n\r\n")

    async def leave(router: str) -> None:
        """Send a request on a new connection and leave soon."""
        attempt = world.next_id()
        host, _, port = world.callers[router].rpartition(":")
        with contextlib.suppress(OSError):
            _, writer = await asyncio.open_connection(host, int(port))
            world.record.add("sent", id=attempt, to=router, leaves=True)
            writer.write(encode(attempt, "/deposits/new"))
            await asyncio.sleep(rng.uniform(0.0, LEAVE_WITHIN_S))
            writer.close()

    async def wait_for_answers(router: str) -> None:
        """Send requests on a kept connection, and wait for each answer."""
        host, _, port = world.callers[router].rpartition(":")
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    while await ask(reader, writer, router):
                        await asyncio.sleep(rng.uniform(0.0, 2 * PAUSE_S))
                finally:
                    writer.close()
            await asyncio.sleep(PAUSE_S)

    async def ask(reader, writer, router: str) -> bool:
        """Send one request; return whether a whole answer came."""
        attempt = world.next_id()
        world.record.add("sent", id=attempt, to=router, leaves=False)
        writer.write(encode(attempt, "/questions/new"))
        answer = await deployment.read_head(reader)
        if answer is not None:
            await deployment.read_body(reader, answer, None)
        status = answer.status if answer else None
        statuses[status] += 1
        signature = answer.headers.get(SIGNATURE, "") if answer else ""
        what = "answered" if answer else "closed"
        world.record.add(what, id=attempt, status=status, signature=signature)
        if status == 200 and not signature.endswith(f".{attempt}"):
            foreign.append(attempt)
        if answer is None and attempt in ran:
            lost.append(attempt)
        return answer is not None and answer.complete

    async def keep_running(name: str) -> None:
        """Start a router again after each end, as the platform does."""
        while True:
            code = await world.routers[name].proc.wait()
            ends[name].append(code)
            world.record.add("ended by itself", router=name, code=code)
            await asyncio.sleep(RESTART_S)
            await world.start_router(name)

    await world.start_store()
    await world.configure(ROUTES, SERVICES)
    for number in range(3):
        await world.add_server(deployment.Server(f"d-{number}", "desk", run, slots=6))
        await world.add_server(deployment.Server(f"e-{number}", "engines", run))
    for name in ROUTERS:
        await world.start_router(name)
    await world.wait_ready()
    await asyncio.sleep(4.0)
    for name in ROUTERS:
        world.start_task(keep_running(name))
        for _ in range(WAITING_CLIENTS):
            world.start_task(wait_for_answers(name))
    until_s = world.record.now() + TRAFFIC_S
    while world.record.now() < until_s:
        await asyncio.sleep(LEAVING_TOGETHER / LEAVING_PER_S)
        router = rng.choice(ROUTERS)
        for _ in range(LEAVING_TOGETHER * deployment.has_trouble()):
            world.start_task(leave(router))
    # The routers end with the case from here on.
    count = sum(map(len, ends.values()))
    print(
        f"answers {dict(statuses)}; {len(lost)} requests that ran were lost with their "
        f"kept connection, {len(foreign)} got another's answer; "
        f"{count} ends of routers by themselves: {dict(ends)}"
    )
    if len(lost) > ALLOWED_LOST:
        return f"LOST: {len(lost)} kept connections closed without an answer"
    return None


if __name__ == "__main__":
    deployment.main(__file__, play)
