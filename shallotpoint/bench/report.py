"""Figures from a run, against the stated targets."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence

from shallotpoint.bench.run_model import Fate
from shallotpoint.bench.workloads import Workload
from shallotpoint.bench.world import RunResult
from shallotpoint.types import Seconds

BURSTING = "big-0"  # the organisation that bursts in the scenario of that name


def percentile(values: Iterable[float], part: float) -> float:
    """Return a percentile; NaN without values."""
    ordered = sorted(values)
    if not ordered:
        return float("nan")
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


def by_class(result: RunResult) -> dict[str, list[Fate]]:
    """Group the requests by class."""
    groups: dict[str, list[Fate]] = defaultdict(list)
    for fate in result.fates:
        groups[fate.name].append(fate)
    return groups


def ttft_attainment(
    fates: Sequence[Fate], only: Callable[[Fate], bool] = lambda fate: True
) -> float:
    """Return the part of requests whose first token came in time.

    A request that was refused or lost counts as one that did not.
    """
    chosen = [f for f in fates if only(f)]
    if not chosen:
        return float("nan")
    return sum(_first_in_time(f) for f in chosen) / len(chosen)


def _first_in_time(fate: Fate) -> bool:
    target_s = fate.arrival.kind.service_class.ttft_s
    if target_s is None:
        return fate.kept
    return fate.ttft_s is not None and fate.ttft_s <= target_s


def short_names(workload: Workload) -> list[str]:
    """Return the classes that count as short work."""
    return [c.name for c in workload.classes.values() if c.tier == 1]


def figures(result: RunResult) -> dict[str, float]:
    """Return all figures of one run by name."""
    groups = by_class(result)
    found: dict[str, float] = {}
    for name, fates in groups.items():
        found[f"attained.{name}"] = ttft_attainment(fates)
        found[f"crest.{name}"] = ttft_attainment(
            fates, lambda f: result.crest(f.arrival.at_s)
        )
        found[f"refused.{name}"] = sum(f.refused is not None for f in fates)
        waits = [f.sent_s - f.arrival.at_s for f in fates if f.sent_s is not None]
        found[f"wait_p99.{name}"] = percentile(waits, 0.99)
        ttfts = [f.ttft_s for f in fates if f.ttft_s is not None]
        found[f"ttft_p99.{name}"] = percentile(ttfts, 0.99)
        gaps = sum(f.gaps for f in fates)
        if gaps:
            late = sum(f.gaps_late for f in fates)
            found[f"tbt_in_time.{name}"] = 1 - late / gaps
    found |= _protected(result)
    found |= _goodput(result)
    found |= _starvation(result)
    found |= _fairness(result)
    requests = max(1, len(result.fates))
    found["attempts_per_request"] = result.attempts / requests
    preempted = sum(f.preempted for f in result.fates)
    found["attempts_but_preemption"] = (result.attempts - preempted) / requests
    found["overrun"] = result.overrun
    if result.fault_end_s is not None:
        for delay_s in (5.0, 10.0):
            start_s = result.fault_end_s + delay_s
            found[f"attained_after_{delay_s:.0f}s"] = attained_between(
                result, start_s, start_s + 15.0
            )
    return found


def _protected(result: RunResult) -> dict[str, float]:
    fates = [f for f in result.fates if f.arrival.kind.service_class.protected]
    due = [f for f in fates if _must_be_done(f, result.workload)]
    return {
        "protected.shed": sum(f.refused is not None for f in fates),
        "protected.preempted": sum(f.preempted for f in fates),
        "protected.lost": sum(f.lost for f in fates),
        "protected.lost_waiting": sum(f.lost and f.sent_s is None for f in fates),
        # Lost though its router lived, and finished nowhere.
        "protected.lost_elsewhere": sum(
            f.refused is not None and not f.lost for f in fates
        ),
        "protected.in_time": _part([f.kept for f in due]),
        "protected.unfinished": sum(
            f.done_s is None and f.refused is None and not f.lost for f in fates
        ),
    }


def attained_between(result: RunResult, from_s: Seconds, to_s: Seconds) -> float:
    """Return the attainment of the first short class over a span of arrivals."""
    name = short_names(result.workload)[0]
    fates = [
        f for f in result.fates if f.name == name and from_s <= f.arrival.at_s < to_s
    ]
    return ttft_attainment(fates)


def _must_be_done(fate: Fate, workload: Workload) -> bool:
    deadline_s = fate.arrival.kind.service_class.deadline_s
    if deadline_s is None:
        return fate.done_s is not None
    return fate.arrival.at_s + deadline_s <= workload.length_s + workload.drain_s


def _part(flags: Sequence[bool]) -> float:
    return sum(flags) / len(flags) if flags else 1.0


def _goodput(result: RunResult) -> dict[str, float]:
    good = sum(f.arrival.tokens for f in result.fates if f.kept)
    wasted = result.generated - sum(
        f.tokens
        for f in result.fates
        # Work that still runs at the end is neither good nor wasted.
        if f.kept or (f.done_s is None and f.refused is None and not f.lost)
    )
    running = sum(
        f.tokens
        for f in result.fates
        if f.done_s is None and f.refused is None and not f.lost
    )
    return {
        "goodput": (good + running) / max(1.0, clairvoyant_tokens(result)),
        "wasted": wasted / max(1, result.generated),
    }


def clairvoyant_tokens(result: RunResult) -> float:
    """Return a bound on the tokens that any policy could deliver.

    A fluid that serves each pool at its full-batch rate, impatient work first,
    and drops impatient work only once its target has passed.
    """
    total = 0.0
    for plan in result.workload.pools:
        total += _fluid(result, plan.name, plan.capacity())
    return total


def _fluid(result: RunResult, pool: str, capacity: float) -> float:
    step_s = 0.1
    end_s = result.workload.length_s + result.workload.drain_s
    fates = [f for f in result.fates if f.arrival.kind.pool == pool]
    fates.sort(key=lambda f: f.arrival.at_s)
    queue: list[list[float]] = []  # [expires, tokens left]
    served = 0.0
    index = 0
    for number in range(int(end_s / step_s)):
        now = number * step_s
        while index < len(fates) and fates[index].arrival.at_s <= now:
            cls = fates[index].arrival.kind.service_class
            wait_s = cls.ttft_s if cls.ttft_s is not None else 1e9
            queue.append([now + wait_s, float(fates[index].arrival.tokens)])
            index += 1
        queue = [item for item in queue if item[0] >= now]
        queue.sort()
        budget = capacity * step_s
        for item in queue:
            used = min(budget, item[1])
            item[1] -= used
            served += used
            budget -= used
            if used > 0:
                item[0] = math.inf  # what has begun no longer expires
            if budget <= 0:
                break
        queue = [item for item in queue if item[1] > 0]
    return served


def _starvation(result: RunResult) -> dict[str, float]:
    """Return the least part of its share that a waiting class got in 10 s."""
    found: dict[str, float] = {}
    window = 20
    slots = {p.name: p.upstreams * p.timing.slots for p in result.workload.pools}
    for kind in result.workload.kinds:
        cls = kind.service_class
        if cls.share <= 0:
            continue
        worst = float("inf")
        samples = result.samples
        for start in range(len(samples) - window):
            part = samples[start : start + window]
            if not all(s.waiting[cls.name] for s in part):
                continue
            held = sum(s.running[cls.name] for s in part) / window
            worst = min(worst, held / (cls.share * slots[kind.pool]))
        if worst < float("inf"):
            found[f"share_kept.{cls.name}"] = worst
    lowest = max(result.workload.classes.values(), key=lambda c: c.tier)
    waits = [
        (f.sent_s or _end_s(result)) - f.arrival.at_s
        for f in result.fates
        if f.name == lowest.name and f.refused is None and not f.lost
    ]
    found["longest_wait.lowest"] = max(waits, default=0.0)
    return found


def _end_s(result: RunResult) -> Seconds:
    return result.workload.length_s + result.workload.drain_s


def _fairness(result: RunResult) -> dict[str, float]:
    short = result.workload.kinds[0].service_class.name
    fates = [f for f in result.fates if f.name == short]
    small = [f for f in fates if f.arrival.organisation.startswith("small")]
    big = [f for f in fates if f.arrival.organisation.startswith("big")]
    quiet = [f for f in big if f.arrival.organisation != BURSTING]
    return {
        "attained.small": ttft_attainment(small),
        "attained.big_quiet": ttft_attainment(quiet),
        "attained.big": ttft_attainment(big),
    }
