"""``bench targets``: each stated target of the policy, over seeds."""

from __future__ import annotations

import argparse
import math
import statistics
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from shallotpoint.bench.cli import register
from shallotpoint.bench.policy_bench import (
    SCENARIOS,
    Case,
    print_line,
    run_cases,
)
from shallotpoint.bench.report import short_names
from shallotpoint.bench.workloads import WORKLOADS

TUNING_SEEDS = range(1, 11)
FINAL_SEEDS = range(101, 111)

Runs = Mapping[str, Sequence[Mapping[str, float]]]  # by scenario, one per seed


@dataclass(frozen=True, slots=True)
class Target:
    """One stated bound.

    Attributes
    ----------
    at_least : bool
        Whether the figure must reach the bound, else stay within it.
    values : Callable
        Returns the figure for each seed.
    """

    name: str
    bound: float
    at_least: bool
    values: Callable[[Runs], list[float]]

    def met(self, value: float) -> bool:
        """Return whether a value keeps the bound."""
        if math.isnan(value):
            return True
        return value >= self.bound if self.at_least else value <= self.bound

    def worst(self, values: Sequence[float]) -> float:
        """Return the worst of several values."""
        return min(values) if self.at_least else max(values)


def _plain(scenario: str, figure: str) -> Callable[[Runs], list[float]]:
    return lambda runs: [run[figure] for run in runs[scenario] if figure in run]


def _ratio(scenario: str, base: str, figure: str) -> Callable[[Runs], list[float]]:
    def values(runs: Runs) -> list[float]:
        pairs = zip(runs[scenario], runs[base], strict=True)
        # Waits below one poll of the scheduler are equal for a caller.
        return [one[figure] / max(0.02, two[figure]) for one, two in pairs]

    return values


def _difference(scenario: str, one: str, two: str) -> Callable[[Runs], list[float]]:
    return lambda runs: [abs(run[one] - run[two]) for run in runs[scenario]]


def targets(workload: str) -> list[Target]:
    """Return all targets of a workload."""
    plan = WORKLOADS[workload]
    found: list[Target] = []
    for name in short_names(plan):
        found += [
            Target(f"attained.{name}", 0.95, True, _plain("base", f"attained.{name}")),
            Target(f"crest.{name}", 0.90, True, _plain("base", f"crest.{name}")),
            Target(
                f"head_of_line.{name}",
                1.5,
                False,
                _ratio("base", "no-long", f"wait_p99.{name}"),
            ),
            Target(
                f"slowed_ttft.{name}",
                1.5,
                False,
                _ratio("slow", "base", f"ttft_p99.{name}"),
            ),
        ]
    first = plan.kinds[0].service_class.name
    tbt = f"tbt_in_time.{first}"
    found += [
        Target(tbt, 0.95, True, _plain("base", tbt)),
        Target("protected.shed", 0, False, _plain("base", "protected.shed")),
        Target("protected.preempted", 0, False, _plain("base", "protected.preempted")),
        Target("protected.in_time", 1.0, True, _plain("base", "protected.in_time")),
        Target("goodput", 0.95, True, _plain("base", "goodput")),
        Target("wasted", 0.02, False, _plain("base", "wasted")),
        Target(
            "fairness",
            0.02,
            False,
            _difference("burst", "attained.small", "attained.big_quiet"),
        ),
        Target(
            "refusing.attempts", 1.2, False, _plain("refusing", "attempts_per_request")
        ),
        Target(
            "refusing.attained_after_5s",
            0.95,
            True,
            _plain("refusing", "attained_after_5s"),
        ),
        Target(
            "routers_lost.protected_waiting",
            0,
            False,
            _plain("routers-lost", "protected.lost_elsewhere"),
        ),
        Target(
            "routers_lost.attained_after_10s",
            0.95,
            True,
            _plain("routers-lost", "attained_after_10s"),
        ),
    ]
    found += [
        Target(
            f"share_kept.{c.name}", 1.0, True, _plain("base", f"share_kept.{c.name}")
        )
        for c in plan.classes.values()
        if c.share
    ]
    return found


def collect(workload: str, policy: str, seeds: Sequence[int]) -> Runs:
    """Make all runs that the targets need."""
    cases = [Case(workload, policy, s, seed) for s in SCENARIOS for seed in seeds]
    results = run_cases(cases)
    runs: dict[str, list] = {name: [] for name in SCENARIOS}
    for case, result in zip(cases, results, strict=True):
        runs[case.scenario].append(result)
    return runs


@register("targets")
def bench_targets(args: argparse.Namespace) -> int:
    """Print each target with its median and worst seed."""
    seeds = FINAL_SEEDS if args.final else TUNING_SEEDS
    for workload in WORKLOADS if args.workload == "all" else [args.workload]:
        runs = collect(workload, args.policy, seeds)
        for target in targets(workload):
            values = target.values(runs)
            if not values:
                continue
            median = statistics.median(values)
            worst = target.worst(values)
            print_line(
                f"{workload}.{target.name}",
                round(median, 4),
                seed=f"{seeds[0]}-{seeds[-1]}",
                worst=round(worst, 4),
                bound=target.bound,
                met=target.met(median),
            )
    return 0
