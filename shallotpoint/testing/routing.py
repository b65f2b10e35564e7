"""A router for HTTP routes that runs in the test process with scripted upstreams."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

import aiohttp

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.dialect import AnswerInfo, AttemptInfo, Dialect, RequestInfo
from shallotpoint.callers.ids import make_id_generator
from shallotpoint.callers.route_run import UpstreamAccess
from shallotpoint.callers.routes import KeyView, RoutesApp
from shallotpoint.callers.run import Services
from shallotpoint.controllers.departures import DepartureController
from shallotpoint.controllers.journal import Journal
from shallotpoint.controllers.limits import LimitController
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import ConfigSection, HostsSection
from shallotpoint.coordination.config import ConfigState
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.coordination.transport import TransportError
from shallotpoint.hashing import hash_key
from shallotpoint.httpd import serving
from shallotpoint.metrics import Metrics
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.freshness import FreshnessRule
from shallotpoint.policy.limits import UpstreamLimits
from shallotpoint.policy.model import Organisation, Pool, PoolKind
from shallotpoint.policy.retries import SharedRetryBudget, WindowRetryBudget
from shallotpoint.policy.route_placement import EnginePlacement, ServicePlacement
from shallotpoint.policy.routes import (
    Route,
    RouteKind,
    RouteTable,
    Routing,
    WeightedPool,
    service_class_of,
)
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.tuning import ROUTE_TUNING
from shallotpoint.testing.scripted_upstream import ScriptedUpstream
from shallotpoint.types import Seconds
from shallotpoint.upstreams.bound import PerUpstreamClient

KEY = "key-of-the-school"
HOST = "shop.example"


class PlainDialect:
    """A dialect for tests, with one simple header for each fact."""

    def read_request(self, headers: Mapping[bytes, bytes]) -> RequestInfo | None:
        """Decode the headers of a caller's request; return None if it has no id."""
        request = headers.get(b"x-request-id", b"").decode()
        if not request:
            return None
        time_left_ms = headers.get(b"x-time-left-ms")
        key = headers.get(b"x-key")
        return RequestInfo(
            request,
            int(time_left_ms) / 1000 if time_left_ms else None,
            key.decode() if key else None,
            None,
            headers.get(b"last-event-id"),
        )

    def is_forwarded(self, name: bytes) -> bool:
        """Return whether a caller's header is sent to the upstream unchanged."""
        return name not in (b"x-key", b"x-time-left-ms", b"last-event-id")

    def write_request(self, attempt: AttemptInfo) -> list[tuple[str, str]]:
        """Return the headers that the router adds to a request."""
        headers = [
            ("x-time-left-ms", str(int(attempt.time_left_s * 1000))),
            ("x-upstream", attempt.upstream),
            ("x-tier", str(attempt.tier)),
        ]
        if attempt.organisation is not None:
            headers.append(("x-organisation", attempt.organisation))
        if attempt.last_event_id is not None:
            headers.append(("last-event-id", attempt.last_event_id.decode()))
        return headers

    def read_answer(self, status: int, headers: Mapping[str, str]) -> AnswerInfo:
        """Decode the headers of an upstream's answer."""
        misdirected = "x-misdirected" in headers
        not_run = misdirected or "x-not-run" in headers
        closed_s = headers.get("x-closed-s")
        named_ids = [v for name, v in headers.items() if name.lower() == "x-request-id"]
        return AnswerInfo(
            ", ".join(named_ids),
            not_run,
            misdirected,
            leaving="x-leaving" in headers,
            closed_for_s=float(closed_s) if closed_s else None,
            limit_per_s=float(headers.get("x-limit", "inf")),
        )

    def write_retry_after(self, wait_s: Seconds) -> bytes:
        """Return the value of ``Retry-After`` for a wait in seconds."""
        return f"{wait_s:.2f}".encode()


def route(kind: RouteKind, **changes) -> Route:
    """Return a route at the path ``/desk/`` to the pool ``desk``.

    ``changes`` replace fields of the route.
    """
    default = Route(
        "desk", HOST, "/desk/", kind, (WeightedPool("desk"),), 5.0, 0.5, max_attempts=2
    )
    return replace(default, **changes)


@dataclass(slots=True)
class RunningRouter:
    """A running router and the hosts of its upstreams.

    Attributes
    ----------
    age_s : float or None
        Age of the API keys that the router knows, in seconds; None if it knows none.
    stop_left_s : float or None
        Time until a planned stop ends, in seconds; None while no stop has begun.
    informed : bool
        Whether the router has read from the key-value service which requests are
        blocked.
    begun : list of str
        Organisation of each request that an upstream began.
    """

    board: Blackboard
    pools: PoolsController
    session: aiohttp.ClientSession
    write_hosts: Callable[[HostsSection], None]
    write_config: Callable[[ConfigSection], None]
    url: str = ""
    age_s: Seconds | None = 0.0
    stop_left_s: Seconds | None = None
    informed: bool = True
    hosts: dict[str, Host] = field(default_factory=dict)
    begun: list[str] = field(default_factory=list)

    async def ask(
        self, method: str = "POST", path: str = "/desk/1", **headers: str
    ) -> tuple[int, bytes, Mapping[str, str]]:
        """Send a request; return the status, body and headers of the answer."""
        async with self.send(method, path, **headers) as resp:
            return resp.status, await resp.read(), resp.headers

    def send(self, method: str = "POST", path: str = "/desk/1", **headers: str):
        """Send a request to the router; the result is a context manager.

        It yields the answer as soon as its headers are there. ``headers`` replace or
        extend those of the request; underscores in names become hyphens.
        """
        sent = {
            "host": HOST,
            "x-request-id": "r1",
            "x-key": KEY,
            "x-time-left-ms": "3000",
        }
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        body = b"content" if method == "POST" else None
        return self.session.request(method, self.url + path, headers=sent, data=body)


@contextlib.asynccontextmanager
async def running_router(
    the_route: Route,
    *upstreams: ScriptedUpstream,
    kind: PoolKind = PoolKind.SERVICE,
    budget: SharedRetryBudget | None = None,
    more_routes: Sequence[Route] = (),
    dialect: Dialect | None = None,
) -> AsyncIterator[RunningRouter]:
    """Run a router with one pool of upstreams named ``u1``, ``u2`` and so on.

    Parameters
    ----------
    kind : PoolKind
        Kind of the pool.
    budget : optional
        Retry budget of the pool; by default one with a slack of 100 retries.
    more_routes : sequence of Route
        Further routes to the same pool.
    dialect : Dialect, optional
        Dialect of the headers; by default that of :class:`RunningRouter`.
    """
    async with contextlib.AsyncExitStack() as stack:
        board = Blackboard()
        write_config = board.claim(ConfigSection, "test")
        write_hosts = board.claim(HostsSection, "test")

        exposures = AttemptTracker()
        limit_book = UpstreamLimits()

        def make_scheduler(pool, poison) -> Scheduler:
            engine = pool.kind is PoolKind.ENGINE
            return Scheduler(
                tuning=ROUTE_TUNING,
                poison=poison,
                placement=EnginePlacement() if engine else ServicePlacement(),
                budget=WindowRetryBudget(budget or SharedRetryBudget(slack=100.0)),
                exposures=exposures,
                limits=limit_book,
            )

        pools = PoolsController(
            board,
            data_centre="here",
            clock=time.monotonic,
            make_scheduler=make_scheduler,
            on_permits_needed=lambda ask: limits.request_permits(ask),
            before_poll=lambda: limits.expire(),
        )
        departures = DepartureController(
            board, Board("test", 1), clock=time.monotonic, notify_peers=lambda: None
        )
        limits = LimitController(
            board,
            Board("test", 1),
            limit_book,
            MemoryKeyValue(clock=time.monotonic, rng=random.Random(1)),
            prefix="limits/",
            name="test",
            process_name="test/1",
            clock=time.monotonic,
            boot_clock=time.monotonic,
            send_request=unreachable_router,
            on_change=pools.poll,
        )
        stack.push_async_callback(limits.close)
        hosts = []
        for number, upstream in enumerate(upstreams, 1):
            address = await stack.enter_async_context(upstream.serving())
            name = f"u{number}"
            hosts.append(Host(name, "upstream", address, "here", pool="desk", slots=4))
        write_hosts(HostsSection(tuple(hosts)))
        write_config(
            ConfigSection(
                ConfigState(), config_of(the_route, kind, more_routes=more_routes)
            )
        )
        client = PerUpstreamClient()
        stack.push_async_callback(client.close)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        fleet = RunningRouter(board, pools, session, write_hosts, write_config)
        fleet.hosts = {host.name: host for host in hosts}
        app = RoutesApp(
            board=board,
            services=Services(pools, Metrics(), Journal()),
            upstream_access=UpstreamAccess(
                client,
                dialect or PlainDialect(),
                departures.record_departure,
                limits.record_limit,
                on_begin=fleet.begun.append,
            ),
            keys=KeyView(FreshnessRule, lambda now: fleet.age_s, time.monotonic),
            stop_left_s=lambda: fleet.stop_left_s,
            make_request_id=make_id_generator(),
            has_read_kv=lambda: fleet.informed,
        )
        polling = asyncio.create_task(pools.run())
        stack.callback(polling.cancel)
        server = await stack.enter_async_context(serving(app))
        fleet.url = server.url
        yield fleet


async def unreachable_router(name: str, question: bytes, timeout_s: Seconds) -> bytes:
    """Fail as if the other router could not be reached."""
    raise TransportError(f"router {name} is unreachable")


def config_of(
    the_route: Route,
    kind: PoolKind = PoolKind.SERVICE,
    *,
    version: int = 1,
    more_routes: Sequence[Route] = (),
) -> Config:
    """Return a configuration with these routes, the pool ``desk`` and one organisation.

    Parameters
    ----------
    kind : PoolKind
        Kind of the pool.
    more_routes : sequence of Route
        Further routes.
    """
    return Config(
        version=version,
        classes={r.name: service_class_of(r, None) for r in (the_route, *more_routes)},
        pools={"desk": Pool("desk", kind, slots=4, discovered=True)},
        organisations={"school": Organisation("school", hash_key(KEY))},
        routing=Routing(
            RouteTable([the_route, *more_routes]),
            {hash_key(KEY): "school"},
            needs_keys=True,
        ),
    )
