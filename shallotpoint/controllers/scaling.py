"""Orders servers while this router holds the duty to do so."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import (
    ConfigSection,
    CreditsSection,
    DeparturesSection,
    HostsSection,
    credit_key,
)
from shallotpoint.coordination.kv import KeyValueError
from shallotpoint.duties import CallOutcome, DutyCalls, DutyHolder, HeldDuty
from shallotpoint.duties.calls import CALLS_SHARE, LONGEST_CALL_S
from shallotpoint.metrics import Metrics
from shallotpoint.platform_api.hosts import Host, HostState
from shallotpoint.policy.model import Pool, ScalingRule
from shallotpoint.scaling.decision import (
    TARGET_UTILISATION,
    decide,
    servers_needed,
    total_target,
)
from shallotpoint.scaling.load import LoadWindow
from shallotpoint.scaling.model import (
    FOLLOW_MARGIN_S,
    DataCentre,
    ServerKind,
    ServerOrder,
    Servers,
    Snapshot,
)
from shallotpoint.types import Clock, Revision, Seconds

STEP_INTERVAL_S = 0.5
SEND_POLL_S = 0.1
RETRY_S = 1.0  # after a call that was certainly not carried out, or not answered
# A call without an answer may be carried out this much later, after newer ones.
REPEAT_FOR_S = 10.0
REPEAT_INTERVAL_S = 2.0
# A router whose requests wait may not stand for all others.
MAX_WAITING_RATIO = 1.0
MAX_DEPARTURES = 500
MAX_SETTLED_GROWTH = 1.5  # with more new servers the old ones are no proof
_KINDS = (ServerKind.ON_DEMAND, ServerKind.RECLAIMABLE)

_Key = tuple[str, str, ServerKind]
_log = logging.getLogger("shallotpoint.router")


@dataclass(slots=True)
class _Numbers:
    """Servers of one kind in one data centre, and the order for them.

    Attributes
    ----------
    accepted : int or None
        Number of the last order that may have been carried out.
    due_s : float
        Time of the next call, in seconds; infinity if there is none.
    repeat_until_s : float
        Time until which the order is repeated, as an old call may still be carried
        out, in seconds.
    """

    ready: int = 0
    failing: int = 0
    leaving: int = 0
    wanted: int | None = None
    accepted: int | None = None
    ordered_at_s: Seconds = -math.inf
    raised_at_s: Seconds = -math.inf
    lowered_at_s: Seconds = -math.inf
    settled_since_s: Seconds = -math.inf
    unavailable_until_s: Seconds = -math.inf
    due_s: Seconds = math.inf
    repeat_until_s: Seconds = -math.inf
    reason: str = ""

    def observe(self, ready: int, failing: int, leaving: int, now: Seconds) -> None:
        """Take over the listed servers."""
        kept = self.ready if self.wanted is None else min(self.ready, self.wanted)
        if ready < kept or ready > MAX_SETTLED_GROWTH * self.ready:
            self.settled_since_s = now
        self.ready, self.failing, self.leaving = ready, failing, leaving

    def set_wanted(self, order: ServerOrder, now: Seconds) -> None:
        """Take over a changed number."""
        before = self.ready if self.wanted is None else self.wanted
        if order.count > before:
            self.raised_at_s = now
        else:
            self.lowered_at_s = now
        self.wanted, self.reason = order.count, order.reason
        self.ordered_at_s = self.due_s = now

    @property
    def is_raise(self) -> bool:
        """Return whether more servers are wanted than are ready."""
        return self.wanted is not None and self.wanted > self.ready

    def snapshot(self) -> Servers:
        """Return the figures that the decision reads."""
        return Servers(
            self.ready,
            self.failing,
            self.leaving,
            self.wanted,
            self.ordered_at_s,
            self.raised_at_s,
            self.lowered_at_s,
            self.settled_since_s,
            self.unavailable_until_s,
        )


@dataclass(slots=True)
class _Listed:
    """Counts of listed servers of one kind in one data centre."""

    ready: int = 0
    failing: int = 0
    leaving: int = 0


@dataclass(slots=True)
class _Departures:
    """Times that reclaimed servers have left, by incarnation."""

    leaves_in_s: dict[tuple[str, int], Seconds] = field(default_factory=dict)

    def record(self, host: Host) -> None:
        """Log an announced departure, and one that is put off."""
        if host.leaves_in_s is None:
            return
        key = (host.name, host.started_ms)
        known_s = self.leaves_in_s.get(key, math.inf)
        if host.leaves_in_s == known_s:
            return
        if known_s == math.inf:
            message = "server leaves"
        elif host.leaves_in_s > known_s:
            message = "later departure of a server ignored"
        else:
            message = "server leaves earlier"
        _log.info(
            message,
            extra={"upstream": host.name, "leaves_in_s": host.leaves_in_s},
        )
        if host.leaves_in_s < known_s:
            while len(self.leaves_in_s) >= MAX_DEPARTURES:
                del self.leaves_in_s[next(iter(self.leaves_in_s))]
            self.leaves_in_s[key] = host.leaves_in_s


class ScalingController:
    """Orders servers of all pools with a scaling rule.

    The load is measured on each router, so that a new holder knows it at once.  Orders
    are decided and sent only while the duty is held.

    Parameters
    ----------
    calls_per_s : float
        Calls that the platform accepts from all routers together, per second.
    has_sums : Callable
        Returns whether other routers' loads were received lately.
    clock : Callable
        The clock of the holder.
    """

    def __init__(
        self,
        board: Blackboard,
        pools: PoolsController,
        holder: DutyHolder,
        calls: DutyCalls,
        *,
        calls_per_s: float,
        has_sums: Callable[[], bool],
        clock: Clock,
        metrics: Metrics,
    ):
        self._board = board
        self._pools = pools
        self._holder = holder
        self._calls = calls
        self._call_interval_s = 1 / (calls_per_s * CALLS_SHARE)
        self._has_sums = has_sums
        self._clock = clock
        self._metrics = metrics
        self._windows: dict[str, LoadWindow] = {}
        self._numbers: dict[_Key, _Numbers] = {}
        self._departures = _Departures()
        self._fence: Revision | None = None
        self._refused_fence: Revision | None = None
        self._doubted: tuple[Revision, _Key] | None = None
        self._next_call_s: Seconds = -math.inf
        self._seen_centres: set[str] = set()
        self._unknown_centres: frozenset[tuple[str, str]] = frozenset()

    async def run(self) -> None:
        """Decide and send orders, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self._run_decisions())
            group.create_task(self._run_calls())

    async def _run_decisions(self) -> None:
        while True:
            self.step(self._clock())
            await asyncio.sleep(STEP_INTERVAL_S)

    async def _run_calls(self) -> None:
        while True:
            await self.send_next(self._clock())
            await asyncio.sleep(SEND_POLL_S)

    # Decisions

    def step(self, now: Seconds) -> None:
        """Measure the load and, while the duty is held, decide the orders."""
        pools = [p for p in self._config_pools() if p.scaling is not None]
        self._drop_pools({p.name for p in pools})
        held = self._holder.held(now)
        if held is not None and held.fence != self._fence:
            # A new holder starts from the listed servers.
            self._fence = held.fence
            self._numbers.clear()
        for pool in pools:
            self._measure(pool, now)
            if held is not None and pool.scaling is not None:
                self._decide(pool, pool.scaling, now)

    def _config_pools(self) -> Iterable[Pool]:
        return self._board.get(ConfigSection).config.pools.values()

    def _drop_pools(self, kept: set[str]) -> None:
        """Forget pools whose number of servers is no longer decided here."""
        for name in self._windows.keys() - kept:
            del self._windows[name]
        for key in [k for k in self._numbers if k[0] not in kept]:
            del self._numbers[key]

    def _measure(self, pool: Pool, now: Seconds) -> None:
        """Record the load of a pool, unless other routers' loads are not known."""
        window = self._windows.setdefault(pool.name, LoadWindow())
        hosts = self._board.get(HostsSection)
        routers = max(1, len(hosts.routers()))
        runner = self._pools.runner(pool.name)
        if runner is None or (routers > 1 and not self._has_sums()):
            return
        elsewhere = self._board.get(CreditsSection).running_elsewhere
        running: dict[str, float] = {}
        for name, slots in runner.scheduler.upstreams.items():
            count = len(slots.running) + elsewhere.get(credit_key(pool.name, name), 0)
            host = hosts.find(name)
            centre = host.data_centre if host else ""
            running[centre] = running.get(centre, 0.0) + count
        total = sum(running.values())
        # Waiting requests of other routers are not exchanged.
        own_waiting = runner.scheduler.waiting_count
        waiting = min(
            own_waiting * routers, max(own_waiting, MAX_WAITING_RATIO * total)
        )
        window.record(total + waiting, running, now)

    def _decide(self, pool: Pool, rule: ScalingRule, now: Seconds) -> None:
        snapshot = self._make_snapshot(pool, rule, now)
        for centre in snapshot.data_centres:
            for kind in _KINDS:
                self._request_missing(
                    self._numbers[pool.name, centre.name, kind], rule, now
                )
        for order in decide(snapshot, now):
            numbers = self._numbers[order.pool, order.data_centre, order.kind]
            self._log_decision(order, numbers, snapshot, now)
            numbers.set_wanted(order, now)
        self._update_gauges(pool.name)

    def _request_missing(
        self, numbers: _Numbers, rule: ScalingRule, now: Seconds
    ) -> None:
        """Repeat an order that the listed servers do not follow in time."""
        if numbers.wanted is None or numbers.due_s < math.inf:
            return
        waits_until_s = max(
            numbers.ordered_at_s + rule.boot_s + FOLLOW_MARGIN_S,
            numbers.unavailable_until_s,
        )
        if numbers.ready != numbers.wanted and now > waits_until_s:
            numbers.due_s = now
            numbers.reason = "servers did not follow"

    def _make_snapshot(self, pool: Pool, rule: ScalingRule, now: Seconds) -> Snapshot:
        """Return what the decision reads; take over the listed servers."""
        hosts = self._board.get(HostsSection)
        listed = self._count_listed(pool, now)
        # A data centre stays known after all its hosts are gone.
        self._seen_centres |= {h.data_centre for h in hosts.hosts}
        centres = self._seen_centres & rule.prices.keys() | {c for c, _ in listed}
        self._log_unknown_centres(pool.name, rule.prices.keys() - centres)
        # A data centre without a price counts as the dearest.
        highest = max(rule.prices.values())
        made = []
        window = self._windows[pool.name]
        for name in sorted(centres):
            servers = {}
            for kind in _KINDS:
                count = listed.get((name, kind), _Listed())
                numbers = self._numbers.setdefault(
                    (pool.name, name, kind), _Numbers(settled_since_s=now)
                )
                numbers.observe(count.ready, count.failing, count.leaving, now)
                servers[kind] = numbers.snapshot()
            made.append(
                DataCentre(
                    name,
                    rule.prices.get(name, highest),
                    servers[ServerKind.ON_DEMAND],
                    servers[ServerKind.RECLAIMABLE],
                    window.mean_load(name),
                )
            )
        slots = [h.slots or pool.slots for h in hosts.hosts if h.pool == pool.name]
        return Snapshot(
            pool.name,
            rule,
            slots=sum(slots) / len(slots) if slots else pool.slots,
            load=window.summary(rule.boot_s, now),
            data_centres=tuple(made),
        )

    def _count_listed(
        self, pool: Pool, now: Seconds
    ) -> dict[tuple[str, ServerKind], _Listed]:
        """Return the numbers of listed servers by data centre and kind."""
        hosts = self._board.get(HostsSection)
        departures = self._board.get(DeparturesSection)
        runner = self._pools.runner(pool.name)
        counts: dict[tuple[str, ServerKind], _Listed] = {}
        for host in hosts.hosts:
            if host.pool != pool.name:
                continue
            kind = (
                ServerKind.RECLAIMABLE if host.is_reclaimable else ServerKind.ON_DEMAND
            )
            count = counts.setdefault((host.data_centre, kind), _Listed())
            self._departures.record(host)
            if (
                host.state is HostState.LEAVING
                or host.leaves_in_s is not None
                or departures.covers(host, hosts.revision)
            ):
                count.leaving += 1
                continue
            count.ready += 1
            if runner is not None and host.name in runner.scheduler.upstreams:
                count.failing += not runner.scheduler.health.is_healthy(host.name)
        return counts

    def _log_unknown_centres(self, pool: str, names: Iterable[str]) -> None:
        """Log prices for data centres that no listed host is in, once each."""
        unknown = frozenset((pool, name) for name in names)
        for _, name in sorted(unknown - self._unknown_centres):
            _log.warning(
                "price of an unknown data centre ignored",
                extra={"pool": pool, "data_centre": name},
            )
        others = {pair for pair in self._unknown_centres if pair[0] != pool}
        self._unknown_centres = unknown | others

    def _log_decision(
        self, order: ServerOrder, numbers: _Numbers, snapshot: Snapshot, now: Seconds
    ) -> None:
        load = snapshot.load
        _log.info(
            "servers wanted",
            extra={
                "pool": order.pool,
                "data_centre": order.data_centre,
                "kind": str(order.kind),
                "count": order.count,
                "before": numbers.wanted,
                "ready": numbers.ready,
                "leaving": numbers.leaving,
                "failing": numbers.failing,
                "reason": order.reason,
                "load": round(load.latest, 1),
                "load_peak": round(load.peak, 1),
                "load_ahead": round(load.ahead, 1),
                "load_span_s": round(load.span_s, 1),
                "load_age_s": round(load.age_s, 1) if load.age_s < math.inf else None,
                "needed": servers_needed(snapshot, TARGET_UTILISATION),
                "target": total_target(snapshot),
            },
        )

    def _update_gauges(self, pool: str) -> None:
        for (name, centre, kind), numbers in self._numbers.items():
            if name != pool:
                continue
            labels = {"pool": pool, "data_centre": centre, "kind": str(kind)}
            wanted = numbers.ready if numbers.wanted is None else numbers.wanted
            self._metrics.servers_wanted.set(labels, wanted)
            self._metrics.servers_running.set(labels, numbers.ready)

    # Calls

    async def send_next(self, now: Seconds) -> bool:
        """Send the next order that is due, and return whether there was one."""
        held = self._holder.held(now)
        if (
            held is None
            or held.fence != self._fence
            or not held.allows(LONGEST_CALL_S, now)
        ):
            return False
        if held.fence == self._refused_fence or now < self._next_call_s:
            return False
        if self._doubted is not None and self._doubted[0] == held.fence:
            await self._resolve_refusal(*self._doubted)
            return False
        due = [(key, n) for key, n in self._numbers.items() if n.due_s <= now]
        if not due:
            return False
        # More servers are more urgent than fewer.
        key, numbers = min(due, key=lambda d: (not d[1].is_raise, d[1].due_s))
        await self._send(held, key, numbers)
        return True

    async def _send(self, held: HeldDuty, key: _Key, numbers: _Numbers) -> None:
        pool, centre, kind = key
        count = numbers.wanted
        assert count is not None
        sent_at_s = self._clock()
        self._next_call_s = sent_at_s + self._call_interval_s
        numbers.due_s = math.inf
        outcome = await self._calls.order_servers(
            held.fence, pool, centre, count, reclaimable=kind is ServerKind.RECLAIMABLE
        )
        now = self._clock()
        self._log_outcome(key, numbers, count, outcome, now - sent_at_s)
        match outcome:
            case CallOutcome.FENCED:
                self._give_up(held.fence, now)
            case CallOutcome.UNAVAILABLE:
                await self._resolve_refusal(held.fence, key)
            case CallOutcome.UNKNOWN:
                numbers.accepted, numbers.ordered_at_s = count, now
                numbers.repeat_until_s = now + REPEAT_FOR_S
                numbers.due_s = min(numbers.due_s, now + RETRY_S)
            case CallOutcome.THROTTLED | CallOutcome.NOT_DONE:
                numbers.due_s = min(numbers.due_s, now + RETRY_S)
            case CallOutcome.DONE:
                numbers.accepted, numbers.ordered_at_s = count, now
                if now < numbers.repeat_until_s:
                    due_s = min(now + REPEAT_INTERVAL_S, numbers.repeat_until_s)
                    numbers.due_s = min(numbers.due_s, due_s)

    async def _resolve_refusal(self, fence: Revision, key: _Key) -> None:
        """Find out whether no servers are available or a higher fence was seen.

        No call with this fence is sent until the key-value service has answered.
        """
        self._doubted = fence, key
        try:
            is_confirmed = await self._holder.is_confirmed(fence)
        except KeyValueError as exc:
            self._next_call_s = self._clock() + RETRY_S
            _log.warning(
                "refused order not explained",
                extra={"fence": fence, "reason": str(exc)},
            )
            return
        self._doubted = None
        now = self._clock()
        if not is_confirmed:
            self._give_up(fence, now)
            return
        numbers = self._numbers.get(key)
        rule = self._rule(key[0])
        if numbers is None or rule is None:
            return
        numbers.unavailable_until_s = now + rule.boot_s
        # The decision orders again after the pause.
        if numbers.due_s == math.inf:
            numbers.wanted = numbers.accepted
        _log.warning(
            "no servers available",
            extra={
                "pool": key[0],
                "data_centre": key[1],
                "kind": str(key[2]),
                "pause_s": rule.boot_s,
            },
        )

    def _rule(self, pool: str) -> ScalingRule | None:
        found: Mapping[str, Pool] = self._board.get(ConfigSection).config.pools
        return found[pool].scaling if pool in found else None

    def _give_up(self, fence: Revision, now: Seconds) -> None:
        self._refused_fence = fence
        self._holder.report_refused(fence, now)

    def _log_outcome(
        self,
        key: _Key,
        numbers: _Numbers,
        count: int,
        outcome: CallOutcome,
        took_s: Seconds,
    ) -> None:
        pool, centre, kind = key
        self._metrics.server_orders.inc(
            {
                "pool": pool,
                "data_centre": centre,
                "kind": str(kind),
                "outcome": outcome.value,
            }
        )
        _log.info(
            "servers ordered",
            extra={
                "pool": pool,
                "data_centre": centre,
                "kind": str(kind),
                "count": count,
                "ready": numbers.ready,
                "reason": numbers.reason,
                "outcome": outcome.value,
                "took_s": round(took_s, 3),
            },
        )
