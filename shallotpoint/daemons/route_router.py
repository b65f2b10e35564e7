"""The daemon of an entry host that serves routes.

The program that starts it brings the edges: a key-value client, readers of the
configuration and of upstreams' entries, and the dialect of the headers.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import secrets
import time
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from dataclasses import dataclass

from shallotpoint.blackboard import Blackboard
from shallotpoint.callers.dialect import Dialect
from shallotpoint.callers.explain import RouteExplainer
from shallotpoint.callers.ids import make_id_generator
from shallotpoint.callers.route_run import UpstreamAccess
from shallotpoint.callers.routes import BalancerApp, KeyView, RoutesApp
from shallotpoint.callers.run import Services
from shallotpoint.controllers.crashes import CrashController
from shallotpoint.controllers.departures import (
    DEPARTURES_TOPIC,
    DepartureController,
)
from shallotpoint.controllers.directory import (
    DirectoryController,
    RouterRegistration,
    get_or_create_secret,
)
from shallotpoint.controllers.journal import Journal
from shallotpoint.controllers.limits import LIMITS_TOPIC, LimitController
from shallotpoint.controllers.load_sharing import LoadController
from shallotpoint.controllers.part_blocks import PARTS_TOPIC, PartBlockController
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.route_config import RouteConfigController
from shallotpoint.controllers.scaling import ScalingController
from shallotpoint.controllers.sections import (
    ConfigSection,
    DeparturesSection,
    HostsSection,
    StopSection,
)
from shallotpoint.controllers.usage import UsageController
from shallotpoint.coordination.config import ConfigState
from shallotpoint.coordination.copies import CopyServer, PeerSource
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.coordination.kv import (
    Entry,
    KeyValueError,
    PolledKeyValue,
    Source,
)
from shallotpoint.coordination.overlay import FULL_MESH_MAX_MEMBERS
from shallotpoint.coordination.peers import ConfigPort, LoadPort, Peers
from shallotpoint.coordination.transport import (
    MessageAuthenticator,
    NngTransport,
    TransportError,
)
from shallotpoint.coordination.tree import Position, position
from shallotpoint.duties import Duty, DutyCalls, DutyHolder
from shallotpoint.httpd import HEADER_BYTES, HttpServer
from shallotpoint.ingress import HostBounds, Ingress
from shallotpoint.metrics import Metrics
from shallotpoint.overload import OverloadGuard
from shallotpoint.pacing import PaceTracker
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.closures import UpstreamClosures
from shallotpoint.policy.configuration import Config
from shallotpoint.policy.exposures import AttemptTracker
from shallotpoint.policy.freshness import FreshnessRule
from shallotpoint.policy.limits import UpstreamLimits
from shallotpoint.policy.model import Pool, PoolKind
from shallotpoint.policy.part_blame import PartTracker
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.retries import SharedRetryBudget, WindowRetryBudget
from shallotpoint.policy.route_placement import EnginePlacement, ServicePlacement
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.tuning import ROUTE_TUNING
from shallotpoint.settings import BoundSettings, DutySettings, RouteSettings
from shallotpoint.tasks import Tasks
from shallotpoint.types import Seconds
from shallotpoint.upstreams.body_memory import BodyMemory
from shallotpoint.upstreams.bound import PerUpstreamClient

GOSSIP_S = 0.3  # a sum ages by half of this at each of two to five steps
ANSWERS_AT_ONCE = 64  # two waiting questions of 16 followers, and gossip beside
STOP_MARGIN_S = 0.9  # the stop ends this long before the platform would kill
SERVERS_END_S = 0.3  # a third of that margin
LEAVE_S = 3.2  # the balancer asks each second and leaves after two refusals
STOP_POLL_S = 0.05
ENDS_TO_BLOCK = 3  # a sound request is seldom on as many in a row without an answer
SECRET_RETRY_S = 0.5
MEASURE_S = 1.0
PERMITS_MARK = b"permits:"  # begins no question for a copy
USAGE_MARK = b"usage:"
CONFIG_QUERY = b"config"  # asks for the configuration that is in force at a peer
MAX_PEERS_ASKED = 8

_log = logging.getLogger("shallotpoint.router")


@dataclass(frozen=True, slots=True)
class Edges:
    """What a deployment brings.

    Attributes
    ----------
    config_key, upstream_prefix : str
        Places in the key-value service that others write.
    shared_prefix : str
        What routers keep there themselves.
    duties : frozenset of Duty
        Duties that the deployment asks for.
    duty_calls : DutyCalls, optional
        The calls of these duties.
    """

    kv: PolledKeyValue
    read_config: Callable[[bytes], Config]
    read_upstream: Callable[[str, bytes], Host]
    dialect: Dialect
    config_key: str
    upstream_prefix: str
    shared_prefix: str
    duties: frozenset[Duty] = frozenset()
    duty_calls: DutyCalls | None = None

    @property
    def router_prefix(self) -> str:
        """Where routers are listed."""
        return f"{self.shared_prefix}routers/"

    @property
    def crash_prefix(self) -> str:
        """Where crash reports are kept."""
        return f"{self.shared_prefix}crashes/"

    @property
    def block_prefix(self) -> str:
        """Where blocked prompt parts are kept."""
        return f"{self.shared_prefix}blocked/"

    @property
    def limit_prefix(self) -> str:
        """Where it is told who hands out the permits of limited upstreams."""
        return f"{self.shared_prefix}limits/"

    @property
    def duty_prefix(self) -> str:
        """Where it is told who holds the duties."""
        return f"{self.shared_prefix}duties/"

    @property
    def duty_record_prefix(self) -> str:
        """Where holders of duties keep what no other router follows."""
        return f"{self.shared_prefix.rstrip('/')}-duties/"

    @property
    def secret_key(self) -> str:
        """Where the secret of the peers is kept."""
        return f"{self.shared_prefix}secret"


def boot_clock() -> Seconds:
    """Return a monotonic time that goes on while the host is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class RouteRouter:
    """One router in this event loop.

    Parameters
    ----------
    settings : RouteSettings
        Checked settings.
    edges : Edges
        What the deployment brings.
    """

    def __init__(
        self, settings: RouteSettings, edges: Edges, *, seed: int | None = None
    ):
        self.settings = settings
        self.edges = edges
        self.name = settings.router.name
        self.bounds = settings.bounds
        self.board = Blackboard()
        self.metrics = Metrics()
        self.journal = Journal()
        self._rng = random.Random(seed)
        self._clock = time.monotonic
        self._started_s = self._clock()
        self._incarnation = time.time_ns() // 1_000_000
        self._stopping = self.board.claim(StopSection, "router")
        self._budgets: list[WindowRetryBudget] = []
        self._tasks = Tasks()
        self._servers: list[HttpServer] = []
        bounds = HostBounds.for_host(
            memory_mb=settings.host.memory_mb, descriptors=settings.host.descriptors
        )
        self.ingress = Ingress(bounds, self.metrics.refused_by_listener)
        self.gossip = Board(self.name, self._incarnation)
        self.client = PerUpstreamClient()
        self.parts = PartTracker(may_try=lambda parts: self.part_blocks.may_try(parts))
        self.poison = PoisonTracker(block_after=ENDS_TO_BLOCK, parts=self.parts)
        self.exposures = AttemptTracker()
        self.closures = UpstreamClosures(self._rng)
        self.limit_book = UpstreamLimits()
        self.config = RouteConfigController(
            self.board,
            self._sources,
            key=edges.config_key,
            read=edges.read_config,
            clock=boot_clock,
            rng=self._rng,
            ask_peers=self._ask_for_config,
        )
        self.pools = PoolsController(
            self.board,
            data_centre=settings.router.data_centre,
            clock=self._clock,
            on_crash=lambda report: self.crashes.report_crash(report),
            on_permits_needed=lambda ask: self.limits.request_permits(ask),
            before_poll=lambda: self.limits.expire(),
            make_scheduler=self._make_scheduler,
            poison=self.poison,
        )
        self.directory = DirectoryController(
            self.board,
            sources=self._sources,
            upstream_prefix=edges.upstream_prefix,
            router_prefix=edges.router_prefix,
            shared_prefix=edges.shared_prefix,
            read_upstream=edges.read_upstream,
            clock=boot_clock,
            rng=self._rng,
            on_restart=self._upstream_restarted,
            on_end=self._upstream_ended,
            on_shared=self._take_shared,
            on_departures=lambda departed, revision: self.departures.record_listed(
                departed, revision
            ),
        )
        self.copies = CopyServer(
            [self.config.follower, self.directory.upstreams, self.directory.routers],
            clock=boot_clock,
        )
        self.crashes = CrashController(
            self.gossip,
            self.poison,
            self.exposures,
            kv=edges.kv,
            prefix=edges.crash_prefix,
            clock=self._clock,
            rng=self._rng,
            notify_peers=self._poke,
        )
        self.part_blocks = PartBlockController(
            self.gossip,
            self.parts,
            kv=edges.kv,
            prefix=edges.block_prefix,
            routers=lambda: self.board.get(HostsSection).routers().keys(),
            clock=self._clock,
            rng=self._rng,
            notify_peers=self._poke,
        )
        self.loads = LoadController(
            self.board,
            self.pools,
            clock=self._clock,
            parent=lambda: self._position().parent,
            data_centre=settings.router.data_centre,
        )
        self.departures = DepartureController(
            self.board, self.gossip, clock=self._clock, notify_peers=self._poke
        )
        self.limits = LimitController(
            self.board,
            self.gossip,
            self.limit_book,
            edges.kv,
            prefix=edges.limit_prefix,
            name=self.name,
            process_name=f"{self.name}/{self._incarnation}",
            clock=self._clock,
            boot_clock=boot_clock,
            send_request=self._ask_for_permits,
            unresponsive_routers=lambda: (
                self.peers.unresponsive() if self.peers else set()
            ),
            notify_peers=self._poke,
            on_change=lambda: self.pools.poll(),
        )
        self.registration = RouterRegistration(
            edges.kv,
            f"{edges.router_prefix}{self.name}",
            address=settings.listen.peers,
            data_centre=settings.router.data_centre,
            rng=self._rng,
        )
        self.keys = KeyView(
            rule=lambda: FreshnessRule(self.bounds.withdrawn_ms / 1000),
            age_s=self.config.follower.age_s,
            clock=boot_clock,
        )
        self.duty_holders = self._make_duty_holders()
        self.usage = self._make_usage()
        self.scaling = self._make_scaling()
        self.peers: Peers | None = None
        self._peer_secret: bytes | None = None
        self._is_secret_listed = False
        self._is_usage_started = False
        self._placed: tuple[dict[str, Host], frozenset[str], Position] = (
            {},
            frozenset(),
            Position(None, None, (), ()),
        )
        self.board.on_change(HostsSection, self._hosts_changed)

    @contextlib.asynccontextmanager
    async def running(self) -> AsyncIterator[RouteRouter]:
        """Run the router for the length of a ``with`` block."""
        async with contextlib.AsyncExitStack() as stack:
            stack.push_async_callback(self.edges.kv.close)
            stack.push_async_callback(self.client.close)
            if self.edges.duty_calls is not None:
                stack.push_async_callback(self.edges.duty_calls.close)
            stack.push_async_callback(self._tasks.stop)
            stack.push_async_callback(self.limits.close)
            self._tasks.start_lasting("config", self.config.run)
            self._tasks.start_lasting("directory", self.directory.run)
            await self._start_servers(stack)
            self._tasks.start_lasting("pools", self.pools.run)
            self._tasks.start_lasting("loads", self.loads.run)
            self._tasks.start_lasting("crashes", self.crashes.run)
            self._tasks.start_lasting("blocked parts", self.part_blocks.run)
            self._tasks.start_lasting("peers", self._talk)
            self._tasks.start_lasting("gauges", self._measure)
            for duty, holder in self.duty_holders.items():
                if duty is not Duty.USAGE:
                    self._tasks.start_lasting(f"duty {duty}", holder.run)
            self._start_usage()
            if self.scaling is not None:
                self._tasks.start_lasting("scaling", self.scaling.run)
            yield self

    def ready(self) -> bool:
        """Return whether the balancer may send work."""
        if self.board.get(StopSection).stopping:
            return False
        config = self.board.get(ConfigSection).config
        if not config.version or not self._is_informed():
            return False
        if not self.directory.upstreams.has_applied:
            return False
        return not config.routing.needs_keys or self.keys.is_current()

    async def stop(self) -> None:
        """Stop gracefully, well within the grace time.

        Not ready at once; the listeners stay open while the balancer still sends
        work; what is in flight ends by itself or just before the grace time does.
        """
        started_s = self._clock()
        until_s = started_s + self.bounds.grace_s - STOP_MARGIN_S
        self._stopping(StopSection(stopping=True, stops_at_s=until_s))
        _log.info("stopping", extra={"in_flight": self.pools.in_flight})
        leave_s = min(started_s + LEAVE_S, until_s)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(1.0):
                await asyncio.gather(
                    self.registration.deregister(),
                    self.limits.release_leases(),
                    *(holder.release() for holder in self.duty_holders.values()),
                )
        while self._clock() < until_s:
            if self._clock() >= leave_s and not self.pools.in_flight:
                break
            await asyncio.sleep(STOP_POLL_S)
        _log.info("stopped", extra={"in_flight": self.pools.in_flight})

    def stop_left_s(self) -> Seconds | None:
        """Return the time until a planned stop ends, None while none has begun."""
        stops_at_s = self.board.get(StopSection).stops_at_s
        return None if stops_at_s is None else stops_at_s - self._clock()

    def take_bounds(self, bounds: BoundSettings) -> None:
        """Put changed bounds in force."""
        if bounds == self.bounds:
            return
        self.bounds = bounds
        self._apply_drain_bound()
        for budget in self._budgets:
            budget.shared = _shared_budget(bounds)
        _log.info("bounds changed", extra={"withdrawn_ms": bounds.withdrawn_ms})

    def take_duties(self, duties: DutySettings | None) -> None:
        """Put changed settings of duties in force, except their address."""
        if self.usage is not None and duties is not None:
            self.usage.take_settings(duties)
            self._start_usage()

    def _is_informed(self) -> bool:
        """Return whether what routers keep in the service was applied once."""
        return self.directory.routers.has_applied

    # Construction

    def _make_scheduler(self, pool: Pool, poison: PoisonTracker) -> Scheduler:
        budget = WindowRetryBudget(
            _shared_budget(self.bounds),
            routers=self._routers(),
            started_s=self._started_s,
        )
        self._budgets.append(budget)
        placement: Placement = ServicePlacement()
        if pool.kind is PoolKind.ENGINE:
            guard = OverloadGuard() if self.settings.overload.enabled else None
            placement = EnginePlacement(
                transfer_s_per_token=pool.transfer_s_per_token, overload=guard
            )
        return Scheduler(
            tuning=ROUTE_TUNING,
            poison=poison,
            placement=placement,
            budget=budget,
            closures=self.closures,
            exposures=self.exposures,
            limits=self.limit_book,
            pacing=PaceTracker(routers=self._routers, rng=self._rng)
            if self.settings.pace.enabled
            else None,
        )

    def _make_duty_holders(self) -> dict[Duty, DutyHolder]:
        """Return the holder of each duty that the deployment asks for."""
        settings, edges = self.settings.duties, self.edges
        if settings is None or edges.duty_calls is None:
            return {}
        return {
            duty: DutyHolder(
                duty,
                edges.kv,
                key=f"{edges.duty_prefix}{duty}",
                router=self.name,
                process_name=f"{self.name}/{self._incarnation}",
                routers=lambda: self.board.get(HostsSection).routers().keys(),
                is_informed=self._is_informed,
                lease_s=settings.lease_ms / 1000,
                clock=boot_clock,
                rng=self._rng,
            )
            for duty in sorted(edges.duties)
        }

    def _make_usage(self) -> UsageController | None:
        holder = self.duty_holders.get(Duty.USAGE)
        if holder is None:
            return None
        assert self.settings.duties is not None
        assert self.edges.duty_calls is not None
        return UsageController(
            holder,
            self.edges.kv,
            self.edges.duty_calls,
            self.settings.duties,
            record_key=f"{self.edges.duty_record_prefix}{Duty.USAGE}",
            router=self.name,
            incarnation=self._incarnation,
            routers=lambda: {
                name: host.address
                for name, host in self.board.get(HostsSection).routers().items()
            },
            ask=self._ask_for_usage,
            organisations=lambda: self.board.get(
                ConfigSection
            ).config.organisations.keys(),
            metrics=self.metrics,
            clock=boot_clock,
            wall_clock=time.time,
        )

    def _make_scaling(self) -> ScalingController | None:
        holder = self.duty_holders.get(Duty.SCALING)
        settings, calls = self.settings.duties, self.edges.duty_calls
        if holder is None or settings is None or calls is None:
            return None
        return ScalingController(
            self.board,
            self.pools,
            holder,
            calls,
            calls_per_s=settings.calls_per_s,
            has_sums=self.loads.is_current,
            clock=boot_clock,
            metrics=self.metrics,
        )

    def _start_usage(self) -> None:
        """Start reports of usage, unless they run or their windows have no length."""
        if self.usage is None or self._is_usage_started:
            return
        if not self.usage.is_enabled:
            _log.warning("no usage is reported, as the window length is 0")
            return
        self._is_usage_started = True
        self._tasks.start_lasting("duty usage", self.duty_holders[Duty.USAGE].run)
        self._tasks.start_lasting("usage", self.usage.run)

    def _take_shared(self, entries: Mapping[str, Entry]) -> None:
        self.crashes.update_entries(entries)
        self.part_blocks.update_entries(entries)
        self.limits.update_lease_entries(entries)
        for holder in self.duty_holders.values():
            holder.update_entries(entries)
        was_listed, self._is_secret_listed = (
            self._is_secret_listed,
            self.edges.secret_key in entries,
        )
        if was_listed and not self._is_secret_listed and self._peer_secret is not None:
            self._tasks.start("secret", self._store_lost_secret(self._peer_secret))

    def _upstream_restarted(self, name: str) -> None:
        """Forget what an upstream held before it started anew."""
        self.client.renew_connections(name)
        for runner in self.pools.runners():
            placement = runner.scheduler.placement
            if isinstance(placement, EnginePlacement):
                placement.load_of(name).clear_cached_parts()

    def _upstream_ended(self, host: Host) -> None:
        """Count an end that the upstream had not announced."""
        if not self.board.get(DeparturesSection).is_announced(host):
            self.crashes.record_host_termination(host)

    def _apply_drain_bound(self) -> None:
        self.directory.set_drain_bound(
            self.bounds.drain_ms / 1000, has_single_reader=not self._is_mesh()
        )

    def _routers(self) -> int:
        return max(1, len(self.board.get(HostsSection).routers()))

    def _hosts_changed(self, hosts: HostsSection) -> None:
        self._apply_drain_bound()
        for budget in self._budgets:
            budget.set_routers(self._routers(), self._clock())
        self.client.close_except(h.name for h in hosts.hosts)

    async def _start_servers(self, stack: contextlib.AsyncExitStack) -> None:
        services = Services(self.pools, self.metrics, self.journal)
        app = RoutesApp(
            board=self.board,
            services=services,
            upstream_access=UpstreamAccess(
                self.client,
                self.edges.dialect,
                self.departures.record_departure,
                self.limits.record_limit,
                body_memory=BodyMemory(total_bytes=self.ingress.bounds.answer_bytes),
                on_begin=self._record_begin,
            ),
            keys=self.keys,
            stop_left_s=self.stop_left_s,
            make_request_id=make_id_generator(),
            has_read_kv=self._is_informed,
        )
        explainer = RouteExplainer(
            self.board, self.pools, self.keys, self._clock, self.loads.oldest_age_s
        )
        stack.push_async_callback(self._stop_servers)
        balancer = BalancerApp(self.ready, services)
        listen, bounds = self.settings.listen, self.ingress.bounds
        await self._serve(balancer, listen.balancer, bounds.service_connections)
        operators = BalancerApp(self.ready, services, explainer.explain)
        await self._serve(operators, listen.metrics, bounds.service_connections)
        server = await self._serve(app, listen.callers, bounds.connections)
        _limit_connections(server, self.board.get(ConfigSection).config)
        self.board.on_change(
            ConfigSection, lambda section: _limit_connections(server, section.config)
        )

    async def _serve(self, app, address: str, max_connections: int) -> HttpServer:
        server = HttpServer.at(
            address, app, ingress=self.ingress, max_connections=max_connections
        )
        await server.start()
        self._servers.append(server)
        return server

    async def _stop_servers(self) -> None:
        # A request may cross the end of a stop that is over before its time.
        grace_s = max(SERVERS_END_S, self.stop_left_s() or 0.0)
        # A little later, the servers cut what still runs.
        ending = asyncio.get_running_loop().call_later(grace_s, self.pools.end_all)
        try:
            await asyncio.gather(*(s.stop(grace_s=grace_s) for s in self._servers))
        finally:
            ending.cancel()

    # Peers

    async def _talk(self) -> None:
        """Register, then exchange loads and crash reports with peers."""
        secret = self._peer_secret = await self._secret(secrets.token_bytes(32))
        transport = NngTransport(MessageAuthenticator(secret))
        try:
            await self._exchange_with_peers(transport)
        finally:
            transport.close()

    async def _exchange_with_peers(self, transport: NngTransport) -> None:
        self.peers = Peers(
            self.gossip,
            transport,
            config=ConfigPort(ConfigState, lambda sections: None),
            answer_query=self._answer,
            clock=self._clock,
            rng=self._rng,
            on_rows=self._take_rows,
            loads=LoadPort(
                self.loads.make_request,
                self.loads.handle_request,
                self.loads.handle_response,
            ),
            is_mutual=lambda name: name != self._position().parent,
            forwards_rows=lambda: not self._is_mesh(),
        )
        listening = transport.listening(
            self.settings.listen.peers, self.peers.handle, contexts=ANSWERS_AT_ONCE
        )
        async with listening:
            async with asyncio.TaskGroup() as group:
                group.create_task(self.registration.run())
                group.create_task(
                    self.peers.run(
                        lambda: self._neighbours(transport), interval_s=GOSSIP_S
                    )
                )

    async def _store_lost_secret(self, secret: bytes) -> None:
        """Write the secret of the peers again, as a restored service may lose it."""
        if await self._secret(secret) != secret:
            _log.error("peers have another secret; this router must be restarted")

    async def _secret(self, new_secret: bytes) -> bytes:
        """Return the secret that the service has, or store a new one."""
        while True:
            try:
                return await get_or_create_secret(
                    self.edges.kv, self.edges.secret_key, new_secret
                )
            except KeyValueError as exc:
                _log.info("no secret for peers yet", extra={"reason": str(exc)})
                await asyncio.sleep(SECRET_RETRY_S * self._rng.uniform(0.8, 1.2))

    def _sources(self) -> Sequence[Source]:
        """Return where copies of the store come from, the preferred one first."""
        store: Source = self.edges.kv
        if self.peers is None:
            return [store]
        routers = self.board.get(HostsSection).routers()
        place = self._position()
        before = [place.copy_source] if place.copy_source else []
        after = [name for name in place.fallbacks if name not in before]
        return [
            *(self._source(routers[name]) for name in before),
            store,
            *(self._source(routers[name]) for name in after),
        ]

    def _position(self) -> Position:
        """Return where this router stands among the listed ones."""
        routers = self.board.get(HostsSection).routers()
        silent = frozenset(self.peers.unresponsive()) if self.peers else frozenset()
        if (routers, silent) != self._placed[:2]:
            places = {name: host.data_centre for name, host in routers.items()}
            data_centre = self.settings.router.data_centre
            found = position(self.name, places, data_centre, unresponsive=silent)
            self._placed = routers, silent, found
        return self._placed[2]

    def _is_mesh(self) -> bool:
        return self._routers() <= FULL_MESH_MAX_MEMBERS

    async def _answer(self, body: bytes) -> bytes:
        """Answer a peer's query for configuration, permits, usage or a copy."""
        if body == CONFIG_QUERY:
            return self.config.value_in_force or b""
        if body.startswith(PERMITS_MARK):
            return await self.limits.handle_request(body.removeprefix(PERMITS_MARK))
        if body.startswith(USAGE_MARK):
            if self.usage is None:
                raise TransportError("usage is not counted here")
            return self.usage.answer(body.removeprefix(USAGE_MARK))
        return await self.copies.handle_request(body)

    async def _ask_for_config(self) -> list[bytes]:
        """Return the configurations that are in force at some peers."""
        routers = self.board.get(HostsSection).routers()
        others = sorted(routers.keys() - {self.name})
        if self.peers is None or not others:
            return []
        asked = self._rng.sample(others, min(MAX_PEERS_ASKED, len(others)))
        answers = await self.peers.query_all(
            {name: routers[name].address for name in asked}, CONFIG_QUERY
        )
        return [value for value in answers.values() if value]

    def _record_begin(self, organisation: str) -> None:
        if self.usage is not None:
            self.usage.record_begin(organisation)

    async def _ask_for_usage(
        self, router: str, address: str, body: bytes, timeout_s: Seconds
    ) -> bytes | None:
        if self.peers is None:
            return None
        # One query for each router, so that the time of each answer is known.
        answers = await self.peers.query_all(
            {router: address}, USAGE_MARK + body, timeout_s=timeout_s
        )
        return answers.get(router)

    async def _ask_for_permits(
        self, router: str, body: bytes, timeout_s: Seconds
    ) -> bytes:
        host = self.board.get(HostsSection).routers().get(router)
        if self.peers is None or host is None:
            raise TransportError(f"{router} is not known as a peer")
        return await self.peers.query(
            router, host.address, PERMITS_MARK + body, timeout_s
        )

    def _source(self, router: Host) -> PeerSource:
        async def ask(body: bytes, timeout_s: Seconds) -> bytes:
            assert self.peers is not None
            return await self.peers.query(router.name, router.address, body, timeout_s)

        return PeerSource(router.name, ask)

    def _neighbours(self, transport: NngTransport) -> dict[str, str]:
        routers = self.board.get(HostsSection).routers()
        transport.close_except({h.address for h in routers.values()})
        self.gossip.expire_members(now=self._clock(), keep=routers)
        place = self._position()
        chosen = [place.parent] if place.parent else place.other_roots
        return {name: routers[name].address for name in chosen}

    def _take_rows(self, rows: Sequence[Row]) -> None:
        self.crashes.merge_rows(rows)
        for row in rows:
            if row.topic == DEPARTURES_TOPIC:
                self.departures.merge_row(row.origin, row.payload)
            elif row.topic == PARTS_TOPIC:
                self.part_blocks.merge_row(row.payload)
            elif row.topic == LIMITS_TOPIC:
                self.limits.merge_row(row.origin, row.payload)

    def _poke(self) -> None:
        if self.peers is not None:
            self.peers.request_round()

    # Background

    async def _measure(self) -> None:
        """Bring the gauges up to date."""
        while True:
            await asyncio.sleep(MEASURE_S)
            self.metrics.config_version.set(
                {}, self.board.get(ConfigSection).config.version
            )
            self.pools.update_gauges(self.metrics)
            self.metrics.held_bytes.set({}, self.ingress.memory.used_bytes)
            for server in self._servers:
                self.metrics.connections.set(
                    {"address": server.address}, server.connections
                )


def _limit_connections(server: HttpServer, config: Config) -> None:
    limits = config.routing.limits
    server.limits.head_s, server.limits.idle_s = (
        limits.header_timeout_s,
        limits.idle_timeout_s,
    )
    server.limits.header_bytes = max(HEADER_BYTES, limits.max_header_bytes)


def _shared_budget(bounds: BoundSettings) -> SharedRetryBudget:
    return SharedRetryBudget(
        ratio=bounds.retry_ratio,
        slack=bounds.retry_slack,
        window_s=bounds.retry_window_s,
    )
