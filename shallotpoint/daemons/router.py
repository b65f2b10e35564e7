"""The router daemon: puts the parts together and runs them."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import time
from collections.abc import AsyncIterator, Sequence

import aiohttp

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.access import KeyIndex
from shallotpoint.callers.app import CallersApp
from shallotpoint.callers.ids import make_id_generator
from shallotpoint.callers.run import ChatServices
from shallotpoint.controllers.config import ConfigController, is_ready
from shallotpoint.controllers.credits import CreditController
from shallotpoint.controllers.hosts import HostsController
from shallotpoint.controllers.journal import Journal
from shallotpoint.controllers.orders import OrdersController
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import HostsSection, StopSection, pool_of
from shallotpoint.coordination.config import ConfigStore
from shallotpoint.coordination.credits import CreditLedger
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.coordination.lease import LeaseHolder
from shallotpoint.coordination.ledger import OnceLedger
from shallotpoint.coordination.overlay import neighbours
from shallotpoint.coordination.peers import ConfigPort, Peers
from shallotpoint.coordination.transport import MessageAuthenticator, NngTransport
from shallotpoint.httpd import HttpServer
from shallotpoint.metrics import Metrics
from shallotpoint.operators.app import operators_app
from shallotpoint.operators.desk import Desk
from shallotpoint.operators.tables import LocalTables
from shallotpoint.platform_api.etcd import EtcdKeyValue
from shallotpoint.platform_api.hosts import HttpHostList
from shallotpoint.settings import Settings
from shallotpoint.tasks import Tasks
from shallotpoint.tls import client_context, reload_certificates, server_context
from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import Timeouts, UpstreamClient

ALONE_S = 6.0  # without the service or a peer for this long, not ready
STOP_POLL_S = 0.05
SWEEP_S = 3_600.0

_log = logging.getLogger("shallotpoint.router")


class Router:
    """One router in this event loop.

    Parameters
    ----------
    settings : Settings
        Checked settings.
    seed : int, optional
        Seed of all random choices; a random one by default.
    """

    def __init__(self, settings: Settings, *, seed: int | None = None):
        self.settings = settings
        self.name = settings.router.name
        self.board = Blackboard()
        self.metrics = Metrics()
        self.journal = Journal()
        self._rng = random.Random(seed)
        self._clock = time.monotonic
        self._incarnation = time.time_ns() // 1_000_000
        self._stopping = self.board.claim(StopSection, "router")
        self.callers: HttpServer
        self.operators: HttpServer
        self.peers: Peers
        self.pools: PoolsController
        self.sharing: CreditController
        self.peer_address = settings.listen.peers

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[Router]:
        """Run the router for the length of a ``with`` block."""
        async with contextlib.AsyncExitStack() as stack:
            await self._build(stack)
            tasks = Tasks()
            stack.push_async_callback(tasks.stop)
            await self._start(stack, tasks)
            yield self

    def ready(self) -> bool:
        """Return whether the balancer may send work."""
        if self.board.get(StopSection).stopping:
            return False
        return is_ready(self.board, self._clock(), max_contact_age_s=ALONE_S)

    async def stop(self) -> None:
        """Stop gracefully: not ready, finish everything, then return."""
        stop = self.settings.stop
        self._stopping(StopSection(stopping=True))
        _log.info("stopping")
        await asyncio.sleep(stop.balancer_delay_s)
        until_s = self._clock() + stop.finish_s
        while self.pools.in_flight and self._clock() < until_s:
            await asyncio.sleep(STOP_POLL_S)
        self._closed = True
        if self.pools.in_flight:
            _log.error("stopped with work", extra={"in_flight": self.pools.in_flight})

    # Construction

    async def _build(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        self._closed = False
        session = await stack.enter_async_context(aiohttp.ClientSession())
        kv = EtcdKeyValue(settings.platform.kv, session)
        prefix = settings.platform.prefix
        store = ConfigStore(kv, f"{prefix}config/", rng=self._rng)
        self.gossip = Board(self.name, self._incarnation)
        self.kv = kv
        self.config = ConfigController(
            self.board,
            kv,
            store,
            name=self.name,
            clock=self._clock,
            rng=self._rng,
            notify_peers=lambda: self.peers.request_round(),
        )
        self.pools = PoolsController(
            self.board,
            data_centre=settings.router.data_centre,
            clock=self._clock,
            on_crash=lambda report: self.sharing.publish_crash(report),
            on_urgent=lambda: self.sharing.tick_soon(),
            on_slow=lambda pool, name: self.sharing.publish_slow_upstream(pool, name),
        )
        self.sharing = self._build_sharing()
        hosts = HttpHostList(settings.platform.hosts, session)
        self.hosts = HostsController(
            self.board, hosts, interval_s=settings.platform.host_poll_s
        )
        self._once = OnceLedger(kv, f"{prefix}once/")
        self._client = UpstreamClient(
            timeouts=Timeouts(
                settings.limits.connect_s,
                settings.limits.silence_s,
                settings.limits.answer_s,
            ),
            tls=client_context(settings.tls.upstreams),
        )
        stack.push_async_callback(self._client.close)
        self.orders = OrdersController(
            self.board,
            self.pools,
            self._client,
            LeaseHolder(
                kv,
                f"{prefix}lease/orders",
                f"{self.name}#{self._incarnation}",
                clock=self._clock,
            ),
            clock=self._clock,
        )
        self._build_desk(store)

    def _build_sharing(self) -> CreditController:
        ledger = CreditLedger(
            self.name,
            self._incarnation,
            settle_s=self.settings.platform.host_lag_s,
            group_of=pool_of,
        )
        return CreditController(
            self.board,
            self.gossip,
            self.pools,
            ledger,
            name=self.name,
            clock=self._clock,
            notify_peers=lambda: self.peers.request_round(),
        )

    def _build_desk(self, store: ConfigStore) -> None:
        tables = LocalTables(
            self.board,
            self.pools,
            self.journal,
            name=self.name,
            data_centre=self.settings.router.data_centre,
            ready=self.ready,
            orders=self.orders.rows,
        )
        self.desk = Desk(
            self.board,
            store,
            self.config,
            tables,
            lambda: self.peers,
            name=self.name,
        )

    # Start

    async def _start(self, stack: contextlib.AsyncExitStack, tasks: Tasks) -> None:
        await self._start_peers(stack)
        await self._start_servers(stack)
        await self.hosts.read()
        tasks.start_lasting("hosts", self.hosts.run)
        tasks.start_lasting("config", self.config.run)
        tasks.start_lasting("sharing", self.sharing.run)
        tasks.start_lasting("pools", self.pools.run)
        tasks.start_lasting("orders", self.orders.run)
        gossip_s = self.settings.peers.gossip_s
        tasks.start_lasting(
            "peers", lambda: self.peers.run(self._neighbours, interval_s=gossip_s)
        )
        tasks.start_lasting("gauges", self._measure)
        tasks.start_lasting("sweep", self._sweep)

    async def _start_peers(self, stack: contextlib.AsyncExitStack) -> None:
        transport = NngTransport(MessageAuthenticator(self.settings.peers.key.encode()))
        stack.callback(transport.close)
        self.peers = Peers(
            self.gossip,
            transport,
            config=ConfigPort(lambda: self.config.state, self.config.merge_sections),
            answer_query=self.desk.answer_peer,
            clock=self._clock,
            rng=self._rng,
            on_rows=self._take_rows,
        )
        self.transport = transport
        self.peer_address = await stack.enter_async_context(
            transport.listening(self.settings.listen.peers, self.peers.handle)
        )

    async def _start_servers(self, stack: contextlib.AsyncExitStack) -> None:
        settings = self.settings
        app = CallersApp(
            board=self.board,
            services=ChatServices(self.pools, self.metrics, self.journal, self._client),
            ledger=self._once,
            limits=settings.limits,
            is_ready=self.ready,
            is_accepting=lambda: not self._closed,
            key_index=KeyIndex(),
            next_request_id=make_id_generator(),
        )
        self.operators = await self._serve(
            stack,
            operators_app(self.desk, settings.operators),
            settings.listen.operators,
            settings.tls.operators,
        )
        # Last, so that a router that answers callers answers operators too.
        self.callers = await self._serve(
            stack, app, settings.listen.callers, settings.tls.callers
        )

    async def _serve(self, stack, app, address: str, tls) -> HttpServer:
        context = server_context(tls)
        server = HttpServer.at(address, app, tls=context)
        await server.start()
        stack.push_async_callback(server.stop, grace_s=2.0)
        if context is not None:
            task = asyncio.create_task(reload_certificates(context, tls))
            stack.callback(task.cancel)
        return server

    # Background

    def _neighbours(self) -> dict[str, str]:
        routers = self.board.get(HostsSection).routers()
        chosen = neighbours(self.name, routers)
        self.transport.close_except({h.address for h in routers.values()})
        self.gossip.expire_members(now=self._clock(), keep=routers)
        self.sharing.drop_departed_peers()
        return {name: routers[name].address for name in chosen if name in routers}

    def _take_rows(self, rows: Sequence[Row]) -> None:
        self.config.record_peer_contact()
        self.sharing.merge_rows(rows)

    async def _measure(self) -> None:
        """Bring the gauges up to date once a second."""
        while True:
            await asyncio.sleep(1.0)
            self.measure()

    def measure(self) -> None:
        """Bring the gauges up to date."""
        metrics = self.metrics
        self.pools.update_gauges(metrics)
        for runner in self.pools.runners():
            pool = runner.pool.name
            for name, slots in runner.scheduler.upstreams.items():
                metrics.credits.set({"pool": pool, "upstream": name}, slots.credits)
        metrics.config_version.set({}, self.config.state.version)
        metrics.kv_calls.set({}, self.kv.calls)
        stats = self.peers.stats
        for kind in ("sent", "received", "malformed", "failed"):
            metrics.peer_messages.set({"kind": kind}, getattr(stats, kind))
        metrics.peer_bytes.set({"kind": "sent"}, stats.sent_bytes)
        metrics.peer_bytes.set({"kind": "received"}, stats.received_bytes)

    async def _sweep(self) -> None:
        """Remove old entries of the ledger, from one router at a time."""
        while True:
            await asyncio.sleep(SWEEP_S * self._rng.uniform(0.5, 1.5))
            if self.config.is_watcher():
                with contextlib.suppress(Exception):
                    await self._once.delete_expired(now=time.time())


async def wait_ready(router: Router, *, timeout_s: Seconds = 10.0) -> None:
    """Return once a router is ready; TimeoutError when it does not become so."""
    async with asyncio.timeout(timeout_s):
        while not router.ready():
            await asyncio.sleep(0.01)
