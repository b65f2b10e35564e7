"""One router of the virtual-clock bench: real schedulers, real credits."""

from __future__ import annotations

from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING

from shallotpoint.bench.engine_model import Job
from shallotpoint.bench.run_model import Fate
from shallotpoint.controllers.pools import pool_slot_demand
from shallotpoint.controllers.sections import credit_key, pool_of
from shallotpoint.coordination.credit_rows import PeerCredits
from shallotpoint.coordination.credits import CreditLedger
from shallotpoint.policy.actions import Expire, Refused, Send, Withdraw
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds

if TYPE_CHECKING:
    from shallotpoint.bench.world import World

MIN_TICK_S = 0.03  # least time between two credit ticks of a router


@dataclass(slots=True)
class _Running:
    fate: Fate
    pool: str
    jobs: dict[str, Job] = field(default_factory=dict)


class VirtualRouter:
    """One router: real schedulers and a real credit ledger."""

    def __init__(self, world: World, index: int):
        self.world = world
        self.name = f"router-{index}"
        self.alive = True
        self.ledger = CreditLedger(self.name, 1, settle_s=0.0, group_of=pool_of)
        self.schedulers: dict[str, Scheduler] = {}
        self._running: dict[str, _Running] = {}
        self._ticked_s: Seconds = -1.0
        self._tick_due = False
        self._published: PeerCredits | None = None
        for plan in world.workload.pools:
            scheduler = world.policy.scheduler()
            scheduler.set_classes(world.workload.classes)
            scheduler.set_upstreams(
                {
                    f"{plan.name}-{i}": Slots(0, plan.timing.slots)
                    for i in range(plan.upstreams)
                }
            )
            self.schedulers[plan.name] = scheduler

    # Credits

    def credit_tick(self) -> None:
        """Rebalance credits and tell the others, late."""
        if not self.alive:
            return
        now = self.world.events.now
        self._ticked_s = now
        self._rebalance(now)
        if self.ledger.has_promised_units:
            # Work that gives way leaves first; then its slots can be lent.
            self.apply_credits()
            self._poll_pools()
            self._rebalance(now)
        row = PeerCredits(1, self.ledger.row(now=now))
        if row != self._published:
            self._published = row
            self._publish(row)
        self.apply_credits()
        self._poll_pools()

    def _publish(self, row: PeerCredits) -> None:
        delay_s = self.world.faults.gossip_s
        for other in self.world.routers:
            if other is not self:
                hear = partial(other.hear, self.name, row)
                self.world.events.after(delay_s, hear)

    def _rebalance(self, now: Seconds) -> None:
        for pool, scheduler in self.schedulers.items():
            for key, want in pool_slot_demand(pool, scheduler, now).items():
                urgent = want.urgent if self.world.policy.urgent_credits else 0
                self.ledger.set_usage(
                    key, wanted=want.wanted, running=want.running, urgent=urgent
                )
        self.ledger.rebalance(now=now)

    def _poll_pools(self) -> None:
        for pool in self.schedulers:
            self.poll(pool)

    def tell_at_once(self) -> None:
        """Give this router's row to all others without delay."""
        row = PeerCredits(1, self.ledger.row(now=self.world.events.now))
        for other in self.world.routers:
            other.ledger.receive_row(self.name, row, now=self.world.events.now)
        self.apply_credits()

    def forget_published(self) -> None:
        """Publish again, as peers' member lists have changed."""
        self._published = None

    def tick_soon(self) -> None:
        """Tick now, or as soon as the least time between two ticks is over."""
        if self.world.policy.tuning is None or not self.world.policy.urgent_credits:
            return
        wait_s = self._ticked_s + MIN_TICK_S - self.world.events.now
        if wait_s <= 0:
            self.credit_tick()
        elif not self._tick_due:
            self._tick_due = True
            self.world.events.after(wait_s, self._due_tick)

    def _due_tick(self) -> None:
        self._tick_due = False
        self.tick_soon()

    def hear(self, peer: str, row: PeerCredits) -> None:
        """Take in a peer's row."""
        if not self.alive:
            return
        self.ledger.receive_row(peer, row, now=self.world.events.now)
        self.apply_credits()
        if any(use.urgent > use.held for use in row.row.usage.values()):
            self.tick_soon()
        self._poll_pools()

    def apply_credits(self) -> None:
        """Give the schedulers what the ledger holds."""
        now = self.world.events.now
        for pool, scheduler in self.schedulers.items():
            for name, slots in scheduler.upstreams.items():
                key = credit_key(pool, name)
                scheduler.set_credits(name, self.ledger.allowed(key, now=now))
                slots.peer_running = self.ledger.running_elsewhere(key)

    # Requests

    def arrive(self, fate: Fate, number: int) -> None:
        """Offer a request to its scheduler."""
        arrival = fate.arrival
        kind = arrival.kind
        ticket = Ticket(
            f"t{number}",
            kind.service_class,
            arrival.organisation,
            self.world.events.now,
            fingerprint=number + 1,
            prefix=arrival.prefix if kind.median > 1 else 0,
            idempotent=kind.idempotent,
            resumable=kind.median > 1,
        )
        self._running[ticket.id] = _Running(fate, kind.pool)
        scheduler = self.schedulers[kind.pool]
        admission = scheduler.offer(ticket, self.world.events.now)
        if isinstance(admission, Refused):
            fate.refused = admission.result
            del self._running[ticket.id]
            return
        self.poll(kind.pool)
        if scheduler.count_urgent(self.world.events.now):
            self.tick_soon()

    def poll(self, pool: str) -> None:
        """Carry out what a scheduler wants."""
        if self.alive:
            scheduler = self.schedulers[pool]
            self._carry_out(pool, scheduler.poll(self.world.events.now))
            if scheduler.health.newly_slow:
                self._tell_slow(pool, scheduler.health.newly_slow)
                scheduler.health.newly_slow.clear()

    def _tell_slow(self, pool: str, names: list[str]) -> None:
        if not self.world.policy.share_verdicts:
            return
        for other in self.world.routers:
            if other is not self:
                hear = partial(other.hear_slow, pool, tuple(names))
                self.world.events.after(self.world.faults.gossip_s, hear)

    def hear_slow(self, pool: str, names: tuple[str, ...]) -> None:
        """Take over a peer's verdicts."""
        for name in names:
            self.schedulers[pool].health.eject_for_peer(name, self.world.events.now)

    def die(self) -> None:
        """Lose everything that waits or runs here."""
        self.alive = False
        for running in self._running.values():
            running.fate.lost = True
            for upstream, job in running.jobs.items():
                self.world.engines[upstream].cancel(job)
        self._running.clear()

    def _carry_out(self, pool: str, actions) -> None:
        for action in actions:
            running = self._running.get(action.ticket.id)
            if running is None:
                continue
            match action:
                case Send(upstream=upstream):
                    self._send(action.ticket, running, pool, upstream)
                case Expire(result=result):
                    running.fate.refused = result
                    del self._running[action.ticket.id]
                case Withdraw(upstream=upstream, reason=reason):
                    job = running.jobs.pop(upstream, None)
                    if job is not None:
                        self.world.engines[upstream].cancel(job)
                    if reason is Result.RETRY_PREEMPTED:
                        running.fate.preempted += 1

    def _send(self, ticket: Ticket, running: _Running, pool: str, upstream: str):
        fate = running.fate
        if fate.sent_s is None:
            fate.sent_s = self.world.events.now
        engine = self.world.engines[upstream]
        scheduler = self.schedulers[pool]

        def on_token() -> None:
            if upstream not in running.jobs:
                return
            actions = scheduler.progress(ticket.id, upstream, 1, self.world.events.now)
            self._note_token(fate)
            self._carry_out(pool, actions)

        def on_done() -> None:
            if running.jobs.pop(upstream, None) is None:
                return
            fate.done_s = self.world.events.now
            self._running.pop(ticket.id, None)
            actions = scheduler.finished(ticket.id, upstream, self.world.events.now)
            self._carry_out(pool, actions)
            self.poll(pool)

        def on_fail(reason: Result = Result.RETRY_BROKE) -> None:
            running.jobs.pop(upstream, None)
            verdict = scheduler.failed(
                ticket.id, upstream, reason, self.world.events.now
            )
            if verdict is not None:
                fate.refused = verdict
                self._running.pop(ticket.id, None)

        priority = ticket.service_class.tier if self.world.policy.by_priority else 0
        left = fate.arrival.tokens - fate.tokens
        job = Job(ticket.id, left, ticket.prefix, priority, on_token, on_done, on_fail)
        running.jobs[upstream] = job
        if not engine.submit(job):
            running.jobs.pop(upstream, None)
            self.world.events.after(0.002, lambda: on_fail(Result.RETRY_REFUSED))

    def _note_token(self, fate: Fate) -> None:
        now = self.world.events.now
        fate.tokens += 1
        if fate.first_s is None:
            fate.first_s = now
        elif fate.last_s is not None:
            limit_s = fate.arrival.kind.service_class.tbt_s
            if limit_s is not None:
                fate.gaps += 1
                fate.gaps_late += now - fate.last_s > limit_s + 1e-9
        fate.last_s = now
