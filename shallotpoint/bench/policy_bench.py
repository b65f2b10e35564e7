"""``bench policy``: workloads under policies and faults, on a virtual clock."""

from __future__ import annotations

import argparse
import json
from collections.abc import Callable, Mapping
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass

from shallotpoint.bench.cli import register
from shallotpoint.bench.report import BURSTING, figures
from shallotpoint.bench.run_model import Faults, Policy
from shallotpoint.bench.workloads import WORKLOADS, Workload
from shallotpoint.bench.world import World
from shallotpoint.policy.tuning import Tuning

CURRENT = "current"
POLICIES: Mapping[str, Policy] = {
    p.name: p
    for p in (
        Policy(CURRENT, Tuning()),
        Policy(
            "round-0",
            Tuning(
                preempt_after=0.2, count_preemptible=False, fill_with_preemptible=False
            ),
        ),
        Policy("fifo-round-robin", by_priority=False),
        Policy("priority-least-connections", least_connections=True),
    )
}


@dataclass(frozen=True, slots=True)
class Scenario:
    """A variation of a workload."""

    name: str
    faults: Faults = Faults()
    change: Callable[[Workload], Workload] = lambda workload: workload
    burst: tuple[str, float] | None = None


def _without_long(workload: Workload) -> Workload:
    short = [k.service_class.name for k in workload.kinds if k.service_class.tier == 1]
    names = [n for n in workload.classes if n not in short]
    return workload.without(*names)


SCENARIOS: Mapping[str, Scenario] = {
    s.name: s
    for s in (
        Scenario("base"),
        Scenario("no-long", change=_without_long),
        Scenario("slow", Faults(slow=(10.0, 50.0, 10.0))),
        Scenario("refusing", Faults(refusing=(10.0, 40.0))),
        Scenario("crash", Faults(crash_s=30.0)),
        Scenario("routers-lost", Faults(routers_lost_s=30.0)),
        Scenario("burst", burst=(BURSTING, 3.0)),
        Scenario("gossip-1s", Faults(gossip_s=1.0)),
        Scenario("gossip-10s", Faults(gossip_s=10.0)),
    )
}


@dataclass(frozen=True, slots=True)
class Case:
    """One run to make."""

    workload: str
    policy: str
    scenario: str
    seed: int


def run_case(case: Case) -> dict[str, float]:
    """Make one run; return its figures."""
    scenario = SCENARIOS[case.scenario]
    workload = scenario.change(WORKLOADS[case.workload])
    world = World(
        workload,
        POLICIES[case.policy],
        case.seed,
        faults=scenario.faults,
        burst=scenario.burst,
    )
    return figures(world.run())


def run_cases(cases: list[Case], *, processes: int = 6) -> list[dict[str, float]]:
    """Make runs side by side."""
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_case, cases))


def print_line(metric: str, value: float, *, unit: str = "", **fields) -> None:
    """Print one JSON line of the contract."""
    line = {
        "bench": "policy",
        "metric": metric,
        "value": value,
        "unit": unit,
        "seed": None,
        "baseline": None,
        "baseline_value": None,
        **fields,
    }
    print(json.dumps(line), flush=True)


@register("policy")
def bench_policy(args: argparse.Namespace) -> int:
    """Print the figures of one workload, seed and policy."""
    if args.plot:
        from shallotpoint.bench.plot import plot_run

        workload = WORKLOADS[args.workload]
        plot_run(World(workload, POLICIES[args.policy], args.seed).run(), args.plot)
    names = [args.policy] + [n for n in POLICIES if n != args.policy]
    cases = [Case(args.workload, name, "base", args.seed) for name in names]
    results = dict(zip(names, run_cases(cases), strict=True))
    own = results.pop(args.policy)
    for metric, value in sorted(own.items()):
        for baseline, theirs in results.items():
            print_line(
                f"{args.workload}.{metric}",
                value,
                seed=args.seed,
                baseline=baseline,
                baseline_value=theirs.get(metric),
            )
    return 0
