"""Order in which service classes are served, and the slots that each may take."""

from __future__ import annotations

from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.state import PoolState
from shallotpoint.types import Seconds


def classes_by_priority(state: PoolState) -> list[ServiceClass]:
    """Return the classes with waiting requests, in the order of service.

    Classes that are below their guaranteed share come first, then the others by tier;
    ties are broken by the due time of the first request.
    """
    ranked = []
    for name, queue in state.queues.items():
        if not len(queue):
            continue
        cls = state.classes[name]
        head = queue.peek()
        due_s = head.due_s if head else 0.0
        deficit = state.shares.deficit_slot_s(name)
        rank = (0, -deficit) if state.is_below_share(name) else (1, float(cls.tier))
        ranked.append((rank, due_s, name))
    return [state.classes[name] for _, _, name in sorted(ranked)]


def may_take_slot(
    state: PoolState,
    cls: ServiceClass,
    now: Seconds,
    *,
    free: int | None = None,
    preemptible: bool = False,
) -> bool:
    """Return whether a class may take one of the free slots.

    Parameters
    ----------
    free : int, optional
        Number of free slots; by default those of the whole pool.
    preemptible : bool
        Whether the request can be preempted.  As it gives up its slot when others need
        it, it may also use reserved and capped slots, except those for the momentary
        demand of higher tiers.
    """
    free = state.free_slots if free is None else free
    if free <= 0:
        return False
    if preemptible and state.tuning.fill_with_preemptible:
        return free > reserved_slots(state, cls, now, momentary=True)
    return free > reserved_slots(state, cls, now) and is_under_cap(state, cls, now)


def reserved_slots(
    state: PoolState, cls: ServiceClass, now: Seconds, *, momentary: bool = False
) -> int:
    """Return the number of slots reserved for the recent demand of higher tiers.

    Parameters
    ----------
    momentary : bool
        Whether to consider only the demand of the present moment.
    """
    if not state.tuning.reserve:
        return 0
    reserved = 0.0
    for name, other in state.classes.items():
        if other.tier < cls.tier:
            demand = state.demand[name]
            wanted = demand.slots_wanted(now, momentary=momentary)
            wanted -= state.running[name]
            reserved += max(0.0, wanted)
    return min(int(reserved), _max_reserved_slots(state, cls)) if reserved >= 1.0 else 0


def _max_reserved_slots(state: PoolState, cls: ServiceClass) -> int:
    """Return the most slots to reserve; this tier and lower ones keep their shares."""
    lower = sum(c.share for c in state.classes.values() if c.tier >= cls.tier)
    return int(state.total_slots * max(0.0, 1.0 - lower))


def is_under_cap(state: PoolState, cls: ServiceClass, now: Seconds) -> bool:
    """Return whether a class leaves active higher tiers their guaranteed shares."""
    if not state.tuning.caps:
        return True
    others = sum(
        other.share
        for name, other in state.classes.items()
        if other.tier < cls.tier and state.demand[name].is_active(now)
    )
    if not others:
        return True
    cap = max(1.0, state.total_slots * (1.0 - others))
    return state.running[cls.name] < cap
