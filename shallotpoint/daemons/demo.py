"""Routers and stand-ins in one process on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp

from shallotpoint.daemons.router import Router, wait_ready
from shallotpoint.hashing import hash_key
from shallotpoint.httpd import HttpServer
from shallotpoint.operators.desk import Operator
from shallotpoint.settings import (
    ListenSettings,
    OperatorToken,
    PeerSettings,
    PlatformSettings,
    RouterSettings,
    Settings,
    StopSettings,
)
from shallotpoint.standins.engine import EngineStandin
from shallotpoint.standins.hosts import HostListStandin
from shallotpoint.standins.kv import KeyValueStandin
from shallotpoint.standins.service import ServiceStandin
from shallotpoint.standins.timing import EngineTiming
from shallotpoint.types import JSONObject, Seconds

DATA_CENTRES = ("vestjylland-1", "vestjylland-2", "vestjylland-3")
ORGANISATIONS = ("school", "street", "counter", "overnight")
MODEL = "standin"

_COMMANDS = (
    "set class counter tier=1 ttft=1s tbt=46ms share=20%",
    "set class lookup tier=1 ttft=500ms share=10%",
    "set class fitting tier=2 ttft=30s protected=yes share=20%",
    "set class entry tier=2 ttft=5s protected=yes share=10%",
    "set class summary tier=3 deadline=8h protected=yes share=15%",
    "set class overnight tier=4 deadline=8h share=10%",
)


@dataclass(slots=True)
class Fleet:
    """Everything that a demo runs."""

    routers: list[Router] = field(default_factory=list)
    engines: list[EngineStandin] = field(default_factory=list)
    engine_servers: list[HttpServer] = field(default_factory=list)
    services: list[ServiceStandin] = field(default_factory=list)
    service_servers: list[HttpServer] = field(default_factory=list)
    kv: KeyValueStandin = field(default_factory=KeyValueStandin)
    kv_server: HttpServer | None = None
    hosts: HostListStandin = field(default_factory=HostListStandin)
    hosts_server: HttpServer | None = None
    operator_token: str = ""
    organisations: dict[str, str] = field(default_factory=dict)

    def describe(self) -> JSONObject:
        """Return the line that the contract promises."""
        assert self.kv_server is not None
        assert self.hosts_server is not None
        return {
            "callers": [r.callers.url for r in self.routers],
            "operators": [r.operators.url for r in self.routers],
            "operator_token": self.operator_token,
            "organisations": self.organisations,
            "engines": [s.url for s in self.engine_servers],
            "services": [s.url for s in self.service_servers],
            "kv": self.kv_server.url,
            "hosts": self.hosts_server.url,
        }


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """Sizes and speeds of a fleet.

    Attributes
    ----------
    base_port : int
        First of consecutive ports; 0 lets the kernel choose them.
    settle_s : float
        Time before slots gained by a change of routers are used.
    """

    routers: int = 3
    engines: int = 3
    services: int = 1
    seed: int = 7
    base_port: int = 0
    timing: EngineTiming = EngineTiming()
    settle_s: Seconds = 0.5
    gossip_s: Seconds = 0.1
    balancer_delay_s: Seconds = 0.2
    service_slots: int = 8
    engine_slots: int = 8


class _Ports:
    def __init__(self, base: int):
        self._next = base

    def take(self) -> int:
        if not self._next:
            return 0
        self._next += 1
        return self._next - 1


@contextlib.asynccontextmanager
async def fleet(plan: FleetPlan) -> AsyncIterator[Fleet]:
    """Run routers and stand-ins for the length of a ``with`` block."""
    made = Fleet(kv=KeyValueStandin(seed=plan.seed))
    made.operator_token = secrets.token_urlsafe(24)
    made.organisations = {n: f"key-{secrets.token_hex(12)}" for n in ORGANISATIONS}
    ports = _Ports(plan.base_port)
    async with contextlib.AsyncExitStack() as stack:
        await _start_platform(made, stack, ports)
        await _start_upstreams(made, plan, stack, ports)
        for index in range(plan.routers):
            await start_router(made, plan, stack, index, ports)
        await _configure(made, plan)
        for router in made.routers:
            await wait_ready(router)
        await _wait_for_credits(made)
        yield made


async def start_router(
    made: Fleet,
    plan: FleetPlan,
    stack: contextlib.AsyncExitStack,
    index: int,
    ports: _Ports | None = None,
) -> Router:
    """Start one more router and list it."""
    settings = router_settings(made, plan, index, ports or _Ports(0))
    router = Router(settings, seed=plan.seed * 1_000 + index)
    await stack.enter_async_context(router.running())
    made.hosts.add(
        router.name,
        role="router",
        address=router.peer_address,
        data_centre=settings.router.data_centre,
    )
    await router.hosts.read()
    made.routers.append(router)
    return router


def router_settings(
    made: Fleet, plan: FleetPlan, index: int, ports: _Ports
) -> Settings:
    """Return the settings of one router of a fleet."""
    assert made.kv_server is not None
    assert made.hosts_server is not None
    return Settings(
        router=RouterSettings(
            f"router-{index + 1}", DATA_CENTRES[index % len(DATA_CENTRES)]
        ),
        listen=ListenSettings(
            callers=f"127.0.0.1:{ports.take()}",
            operators=f"127.0.0.1:{ports.take()}",
            peers=f"127.0.0.1:{ports.take()}",
        ),
        platform=PlatformSettings(
            kv=made.kv_server.url,
            hosts=made.hosts_server.url,
            host_poll_s=0.25,
            host_lag_s=plan.settle_s,
        ),
        peers=PeerSettings("demo-shared-key-0123456789", gossip_s=plan.gossip_s),
        operators=(
            OperatorToken("demo", hash_key(made.operator_token), role="change"),
        ),
        stop=StopSettings(balancer_delay_s=plan.balancer_delay_s, finish_s=60.0),
    )


async def _start_platform(made: Fleet, stack, ports: _Ports) -> None:
    made.kv_server = await _serve(made.kv.app, stack, ports)
    made.hosts_server = await _serve(made.hosts.app, stack, ports)


async def _start_upstreams(made: Fleet, plan: FleetPlan, stack, ports) -> None:
    for index in range(plan.engines):
        engine = EngineStandin(models=(MODEL,), timing=plan.timing)
        server = await _serve(engine.app, stack, ports)
        engine.crash = crasher(server)
        made.engines.append(engine)
        made.engine_servers.append(server)
        _list_host(made, f"engine-{index + 1}", "engine", server, index)
    for index in range(plan.services):
        service = ServiceStandin()
        server = await _serve(service.app, stack, ports)
        service.crash = crasher(server)
        made.services.append(service)
        made.service_servers.append(server)
        _list_host(made, f"desk-{index + 1}", "service", server, index)


def _list_host(made: Fleet, name: str, role: str, server: HttpServer, index: int):
    centre = DATA_CENTRES[index % len(DATA_CENTRES)]
    made.hosts.add(name, role=role, address=server.address, data_centre=centre)


async def _serve(app, stack, ports: _Ports) -> HttpServer:
    server = HttpServer(app, host="127.0.0.1", port=ports.take())
    await server.start()
    stack.push_async_callback(server.stop, grace_s=0.5)
    return server


_restarts: set[asyncio.Task] = set()


def crasher(server: HttpServer):
    """Return a function that kills a stand-in and restarts it later."""

    def crash(restart_s: Seconds) -> None:
        async def restart() -> None:
            await asyncio.sleep(restart_s)
            await server.restart()

        server.crash()
        task = asyncio.create_task(restart())
        _restarts.add(task)
        task.add_done_callback(_restarts.discard)

    return crash


async def _configure(made: Fleet, plan: FleetPlan) -> None:
    """Create the classes, pools and organisations as an operator would."""
    engines = ",".join(f"engine-{i + 1}" for i in range(plan.engines))
    desks = ",".join(f"desk-{i + 1}" for i in range(plan.services))
    classes = ",".join(c.split()[2] for c in _COMMANDS)
    commands = [
        *_COMMANDS,
        f"set pool assistant models={MODEL} upstreams={engines} "
        f"slots={plan.engine_slots}",
    ]
    if desks:
        commands.append(
            f"set pool orders kind=service upstreams={desks} idempotent=no "
            f"slots={plan.service_slots}"
        )
    commands += [
        f"set organisation {name} key={key} classes={classes} default=counter"
        for name, key in made.organisations.items()
    ]
    desk = made.routers[0].desk
    for command in commands:
        reply = await desk.run(command, Operator("demo", may_change=True))
        if reply.version is None:
            raise RuntimeError(f"{command}: {reply.message}")


async def _wait_for_credits(made: Fleet, *, timeout_s: Seconds = 10.0) -> None:
    """Return once every router may send to some upstream of each pool."""
    async with asyncio.timeout(timeout_s):
        while not all(_has_credits(router) for router in made.routers):
            await asyncio.sleep(0.02)


def _has_credits(router: Router) -> bool:
    runners = router.pools.runners()
    return bool(runners) and any(r.scheduler.total_slots > 0 for r in runners)


async def run_load(made: Fleet, *, requests: int, seed: int) -> JSONObject:
    """Send a short mixed load and return what came of it."""
    from shallotpoint.bench.load import MixedLoad

    async with aiohttp.ClientSession() as session:
        load = MixedLoad(session, made.describe(), seed=seed)
        return await load.run(requests)
