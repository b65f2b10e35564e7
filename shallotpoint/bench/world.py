"""Routers and engines on a virtual clock, driving the real decisions."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from shallotpoint.bench.engine_model import EventQueue, VirtualEngine
from shallotpoint.bench.run_model import Fate, Faults, Policy
from shallotpoint.bench.virtual_router import VirtualRouter
from shallotpoint.bench.workloads import Workload, draw_arrivals
from shallotpoint.controllers.sections import credit_key
from shallotpoint.types import Seconds

TICK_S = 0.02
CREDIT_TICK_S = 0.1
SAMPLE_S = 0.5


@dataclass(frozen=True, slots=True)
class Sample:
    """Queue lengths and running slots at one time, by class."""

    at_s: Seconds
    waiting: dict[str, int]
    running: dict[str, int]


@dataclass(slots=True)
class RunResult:
    """Everything that a run leaves for the report."""

    workload: Workload
    fates: list[Fate]
    samples: list[Sample]
    generated: int
    attempts: int
    crest: Callable[[Seconds], bool]
    levels: tuple[float, ...]
    overrun: int
    fault_end_s: Seconds | None = None


class World:
    """One run of one workload under one policy."""

    def __init__(
        self,
        workload: Workload,
        policy: Policy,
        seed: int,
        *,
        faults: Faults | None = None,
        burst: tuple[str, float] | None = None,
    ):
        self.workload = workload
        self.policy = policy
        self.faults = faults or Faults()
        self.events = EventQueue()
        self.rng = random.Random(f"{seed}/world")
        self.engines = {
            f"{plan.name}-{i}": VirtualEngine(
                f"{plan.name}-{i}", plan.timing, self.events
            )
            for plan in workload.pools
            for i in range(plan.upstreams)
        }
        self.routers = [VirtualRouter(self, i) for i in range(workload.routers)]
        self.arrivals = draw_arrivals(workload, seed, burst=burst)
        self.samples: list[Sample] = []
        self.overrun = 0

    def run(self) -> RunResult:
        """Run to the end of the drain."""
        fates = [Fate(arrival) for arrival in self.arrivals.requests]
        self._configure_credits()
        self._settle()
        for number, fate in enumerate(fates):
            self.events.at(fate.arrival.at_s, partial(self._arrive, fate, number))
        end_s = self.workload.length_s + self.workload.drain_s
        self._schedule_ticks(end_s)
        self._schedule_faults()
        self.events.run(end_s)
        return RunResult(
            self.workload,
            fates,
            self.samples,
            sum(e.generated for e in self.engines.values()),
            sum(e.attempts for e in self.engines.values()),
            self.arrivals.swing.is_crest,
            self.arrivals.swing.levels,
            self.overrun,
            self._fault_end_s(),
        )

    def _fault_end_s(self) -> Seconds | None:
        if self.faults.refusing is not None:
            return self.faults.refusing[1]
        return self.faults.routers_lost_s

    def _configure_credits(self) -> None:
        capacities = {
            credit_key(plan.name, f"{plan.name}-{i}"): plan.timing.slots
            for plan in self.workload.pools
            for i in range(plan.upstreams)
        }
        names = [r.name for r in self.routers if r.alive]
        for router in self.routers:
            if router.alive:
                router.ledger.configure(capacities, names, now=self.events.now)
                router.apply_credits()
                router.forget_published()

    def _settle(self) -> None:
        """Let the routers agree before the run, however late gossip is."""
        for _ in range(2):
            for router in self.routers:
                router.tell_at_once()

    def _arrive(self, fate: Fate, number: int) -> None:
        router = self.routers[fate.arrival.router]
        if not router.alive:
            # The balancer has noticed and picks another router.
            alive = [r for r in self.routers if r.alive]
            router = alive[number % len(alive)]
        router.arrive(fate, number)

    def _schedule_ticks(self, end_s: Seconds) -> None:
        for index, router in enumerate(self.routers):
            self._repeat(TICK_S, index / 997, end_s, partial(self._poll_all, router))
            if self.policy.tuning is not None:
                self._repeat(
                    CREDIT_TICK_S,
                    index / 83,
                    end_s,
                    router.credit_tick,
                )
        self._repeat(SAMPLE_S, SAMPLE_S, end_s, self._sample)

    def _repeat(self, every_s, first_s, end_s, call) -> None:
        def again() -> None:
            call()
            if self.events.now + every_s < end_s:
                self.events.after(every_s, again)

        self.events.at(first_s, again)

    def _poll_all(self, router: VirtualRouter) -> None:
        for pool in router.schedulers:
            router.poll(pool)

    def _sample(self) -> None:
        names = self.workload.classes
        alive = [s for r in self.routers if r.alive for s in r.schedulers.values()]
        self.samples.append(
            Sample(
                self.events.now,
                {n: sum(s.queue_length(n) for s in alive) for n in names},
                {n: sum(s.running_count(n) for s in alive) for n in names},
            )
        )
        for engine in self.engines.values():
            held = len(engine.running) + len(engine._waiting)
            self.overrun = max(self.overrun, held - engine.timing.slots)

    def _schedule_faults(self) -> None:
        faults = self.faults
        first = self.engines[f"{self.workload.pools[0].name}-0"]
        if faults.slow is not None:
            start_s, end_s, factor = faults.slow
            self.events.at(start_s, lambda: setattr(first, "slow_factor", factor))
            self.events.at(end_s, lambda: setattr(first, "slow_factor", 1.0))
        if faults.crash_s is not None:
            self.events.at(faults.crash_s, first.crash)
        if faults.refusing is not None:
            start_s, end_s = faults.refusing
            self.events.at(start_s, lambda: self._refuse(True))
            self.events.at(end_s, lambda: self._refuse(False))
        if faults.routers_lost_s is not None:
            self.events.at(faults.routers_lost_s, self._lose_routers)

    def _refuse(self, refusing: bool) -> None:
        plan = self.workload.pools[0]
        for index in range((plan.upstreams + 1) // 2):
            self.engines[f"{plan.name}-{index}"].refusing = refusing

    def _lose_routers(self) -> None:
        for router in self.routers[: len(self.routers) // 2]:
            router.die()
        # The host list drops them after its lag.
        self.events.after(3.0, self._configure_credits)
