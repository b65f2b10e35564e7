"""Shares the upstreams' slots among routers through gossip rows."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Mapping, Sequence

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.crash_publisher import (
    CRASHES_TOPIC,
    CrashPublisher,
    read_crashes,
)
from shallotpoint.controllers.pools import PoolsController
from shallotpoint.controllers.sections import (
    ConfigSection,
    CreditsSection,
    HostsSection,
    credit_key,
)
from shallotpoint.coordination.credit_parts import (
    PartReader,
    PartWriter,
    is_credit_topic,
)
from shallotpoint.coordination.credit_rows import CreditRow
from shallotpoint.coordination.credits import CreditLedger
from shallotpoint.coordination.gossip import Board, Row
from shallotpoint.policy.crash_reports import CrashReport
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Seconds

SLOW_TOPIC = "slow"
TICK_INTERVAL_S = 0.1
MIN_TICK_INTERVAL_S = 0.03


class _WireSlowUpstream(msgspec.Struct, frozen=True, array_like=True):
    """Reports in a gossip row that an upstream was just found to be slow."""

    pool: str
    upstream: str


_slow_decoder = msgspec.msgpack.Decoder(_WireSlowUpstream)


class CreditController:
    """Owns :class:`CreditsSection`; exchanges credits and crash reports with peers.

    Used by :mod:`shallotpoint.daemons.router`.

    Parameters
    ----------
    ledger : CreditLedger
        The slots of all upstreams that this router holds.
    notify_peers : Callable
        Called when a row was published that peers should get soon.
    """

    def __init__(
        self,
        board: Blackboard,
        gossip: Board,
        pools: PoolsController,
        ledger: CreditLedger,
        *,
        name: str,
        clock: Clock,
        notify_peers: Callable[[], None],
    ):
        self._board = board
        self._gossip = gossip
        self._pools = pools
        self._ledger = ledger
        self._name = name
        self._clock = clock
        self._notify_peers = notify_peers
        self._write = board.claim(CreditsSection, "sharing")
        self._published_row: CreditRow | None = None
        self._part_reader = PartReader(name)
        self._part_writer = PartWriter()
        self._last_tick_s: Seconds = 0.0
        self._tick_due = asyncio.Event()
        self._crash_publisher = CrashPublisher(gossip)
        board.on_change(ConfigSection, lambda _: self._configure_ledger())
        board.on_change(HostsSection, lambda _: self._configure_ledger())

    def merge_rows(self, rows: Sequence[Row]) -> None:
        """Apply gossip rows of peers: credits, crash reports and slow upstreams.

        Raises
        ------
        msgspec.DecodeError
            A row is malformed.
        """
        now = self._clock()
        changed: set[str] = set()
        for row in rows:
            if is_credit_topic(row.topic):
                self._part_reader.add_part(
                    row.origin, row.incarnation, row.topic, row.payload
                )
                changed.add(row.origin)
            elif row.topic == CRASHES_TOPIC:
                for report in read_crashes(row.payload, now=now):
                    self._pools.poison.record_crash(report)
            elif row.topic == SLOW_TOPIC:
                slow = _slow_decoder.decode(row.payload)
                self._pools.mark_slow(slow.pool, slow.upstream)
        if self._apply_credits(changed, now):
            self.tick_soon()

    def _apply_credits(self, origins: Iterable[str], now: Seconds) -> bool:
        """Pass peers' credit rows to the ledger; return whether any lacks slots."""
        lacking = False
        for origin in origins:
            credits = self._part_reader.row(origin)
            if credits is not None:
                self._ledger.receive_row(origin, credits, now=now)
                lacking |= bool(_upstreams_lacking_slots(credits.row))
        return lacking

    def drop_departed_peers(self) -> None:
        """Drop the credit rows of peers that have left the gossip board."""
        self._part_reader.drop_except(self._gossip.members())

    def publish_crash(self, report: CrashReport) -> None:
        """Publish a crash that this router has detected."""
        self._crash_publisher.add([report], now=self._clock())
        self._notify_peers()

    def publish_slow_upstream(self, pool: str, upstream: str) -> None:
        """Publish that this router has found an upstream to be slow."""
        payload = msgspec.msgpack.encode(_WireSlowUpstream(pool, upstream))
        self._gossip.publish(SLOW_TOPIC, payload, now=self._clock())
        self._notify_peers()

    async def run(self) -> None:
        """Rebalance and publish credits periodically, until cancelled."""
        while True:
            self.tick()
            if await wait_set(self._tick_due, TICK_INTERVAL_S):
                await asyncio.sleep(
                    self._last_tick_s + MIN_TICK_INTERVAL_S - self._clock()
                )

    def tick_soon(self) -> None:
        """Run :meth:`tick` now, or as soon as the minimum interval has passed.

        For urgent requests, which should not wait for the next regular tick.
        """
        if self._clock() - self._last_tick_s >= MIN_TICK_INTERVAL_S:
            self.tick()
        else:
            self._tick_due.set()

    def tick(self) -> None:
        """Rebalance credits once and publish what has changed."""
        now = self._last_tick_s = self._clock()
        self._tick_due.clear()
        moved = self._rebalance(now)
        if self._ledger.has_promised_units:
            # The schedulers first lose the slots that are promised to urgent requests
            # of peers and preempt requests on them; the freed slots can then be lent.
            self._update_section(self._ledger.row(now=now), now)
            moved |= self._rebalance(now)
        row = self._ledger.row(now=now)
        if row != self._published_row:
            urgent = moved or _upstreams_lacking_slots(row) != _upstreams_lacking_slots(
                self._published_row
            )
            self._published_row = row
            for topic, payload in self._part_writer.encode_changed(row).items():
                self._gossip.publish(topic, payload, now=now)
            if urgent:
                self._notify_peers()
        self._update_section(row, now)

    def _rebalance(self, now: Seconds) -> bool:
        """Pass the demand for slots to the ledger; return whether any slots moved."""
        for key, demand in self._pools.slot_demand(now).items():
            self._ledger.set_usage(
                key, wanted=demand.wanted, running=demand.running, urgent=demand.urgent
            )
        return self._ledger.rebalance(now=now)

    def _update_section(self, row: CreditRow, now: Seconds) -> None:
        """Write the slots and the load of other routers to the blackboard."""
        held = {key: self._ledger.allowed(key, now=now) for key in row.usage}
        elsewhere = {key: self._ledger.running_elsewhere(key) for key in row.usage}
        self._write(CreditsSection(held, elsewhere))

    def _configure_ledger(self) -> None:
        """Pass capacities and the listed routers to the ledger."""
        config = self._board.get(ConfigSection).config
        capacities: Mapping[str, int] = {
            credit_key(pool.name, upstream): pool.slots
            for pool in config.pools.values()
            for upstream in pool.upstreams
        }
        routers = {*self._board.get(HostsSection).routers(), self._name}
        self._ledger.configure(capacities, routers, now=self._clock())
        # The ledger ignores rows of routers that are not listed yet, so rows that
        # came earlier are applied now.
        self._apply_credits(routers, self._clock())
        self.tick()


def _upstreams_lacking_slots(row: CreditRow | None) -> set[str]:
    """Return the upstreams of which a router needs more slots than it holds."""
    if row is None:
        return set()
    return {
        key for key, use in row.usage.items() if max(use.wanted, use.urgent) > use.held
    }
