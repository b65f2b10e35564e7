"""Routers end at each start once the platform's settings hold a fraction of a second.

The pages allow fractions for the figures of ``bounds``.  Here the grace time becomes
7.5 s while the routers run; they are then stopped and started in turn.
"""

import asyncio
import signal

import deployment

ROUTERS = ("edge-1", "edge-2", "edge-3")
GRACE_S = 7.5
STARTS = 3  # the process is started again after each end
END_WITHIN_S = 9.0
SERVE_WITHIN_S = 15.0

ROUTE = {
    "name": "orders",
    "host": deployment.HOST,
    "prefix": "/orders/",
    "route-kind": "non_idempotent",
    "timeout-ms": 600,
    "goal-ms": 100,
    "max-attempts": 1,
    "priority": 2,
    "service": "desk",
    "open": True,
}


async def play(world: deployment.Deployment) -> str | None:
    """Play the case; return how the rule broke."""

    async def run(arrival: deployment.Arrival) -> None:
        world.record.add("run", id=arrival.id, server=arrival.server.name)
        await arrival.answer("200 OK", b"done")

    await world.start_store()
    await world.configure([ROUTE], [{"name": "desk"}])
    for number in range(2):
        await world.add_server(deployment.Server(f"i-{number}", "desk", run, slots=6))
    for name in ROUTERS:
        await world.start_router(name)
    await world.wait_ready()
    if deployment.has_trouble():
        world.bounds["grace-s"] = GRACE_S
    for name in ROUTERS:
        world.write_settings(name)
        world.routers[name].signal(signal.SIGHUP)
    world.record.add("settings changed", bounds=world.bounds)
    await asyncio.sleep(2.0)

    own_ends: dict[str, list[int]] = {}
    for name in ROUTERS:
        world.routers[name].signal(signal.SIGTERM)
        world.record.add("SIGTERM", router=name)
        async with asyncio.timeout(END_WITHIN_S):
            await world.routers[name].proc.wait()
        for _ in range(STARTS):
            process = await world.start_router(name)
            world.record.add("started", router=name)
            try:
                async with asyncio.timeout(SERVE_WITHIN_S):
                    while process.is_alive and not await world.is_ready(name):
                        await asyncio.sleep(0.1)
            except TimeoutError:
                break
            if process.is_alive:
                break
            own_ends.setdefault(name, []).append(process.proc.returncode)
            world.record.add("ended", router=name, code=process.proc.returncode)
    answers = [await world.call(n, "/orders/x", deadline_s=0.6) for n in ROUTERS]
    served = sum(a is not None and a.status == 200 for a in answers)
    print(f"{served} of {len(ROUTERS)} routers serve; ends by themselves: {own_ends}")
    if len(own_ends) > 1:
        return f"Fault: processes end by themselves at each start: {own_ends}"
    return None


if __name__ == "__main__":
    deployment.main(__file__, play)
