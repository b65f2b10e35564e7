"""Which class is served next, and which slots it may take."""

from __future__ import annotations

from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.state import PoolState
from shallotpoint.types import Seconds


def class_order(state: PoolState) -> list[ServiceClass]:
    """Return waiting classes: those owed a slot first, then by tier and due time."""
    ranked = []
    for name, queue in state.queues.items():
        if not len(queue):
            continue
        cls = state.classes[name]
        head = queue.peek()
        due_s = head.due_s if head else 0.0
        owed = state.shares.owed(name)
        rank = (0, -owed) if state.is_owed(name) else (1, float(cls.tier))
        ranked.append((rank, due_s, name))
    return [state.classes[name] for _, _, name in sorted(ranked)]


def has_room(
    state: PoolState,
    cls: ServiceClass,
    now: Seconds,
    *,
    free: int | None = None,
    gives_way: bool = False,
) -> bool:
    """Return whether a class may take one of the free slots.

    Work that gives way leaves again when others need the slot, so that only
    the demand of this moment is kept free of it.
    """
    free = state.free_slots if free is None else free
    if free <= 0:
        return False
    if gives_way and state.tuning.fill_with_preemptible:
        return free > reserved_against(state, cls, now, momentary=True)
    return free > reserved_against(state, cls, now) and under_cap(state, cls, now)


def reserved_against(
    state: PoolState, cls: ServiceClass, now: Seconds, *, momentary: bool = False
) -> int:
    """Return the slots kept for recent demand of higher tiers."""
    if not state.tuning.reserve:
        return 0
    kept = 0.0
    for name, other in state.classes.items():
        if other.tier < cls.tier:
            demand = state.demand[name]
            wanted = demand.slots_wanted(now, momentary=momentary)
            wanted -= state.running[name]
            kept += max(0.0, wanted)
    return min(int(kept), _most_reserved(state, cls)) if kept >= 1.0 else 0


def _most_reserved(state: PoolState, cls: ServiceClass) -> int:
    """Return the bound of the reserve: it leaves lower tiers their share."""
    lower = sum(c.share for c in state.classes.values() if c.tier >= cls.tier)
    return int(state.total_slots * max(0.0, 1.0 - lower))


def under_cap(state: PoolState, cls: ServiceClass, now: Seconds) -> bool:
    """Return whether the class leaves active higher tiers their guaranteed part."""
    if not state.tuning.caps:
        return True
    others = sum(
        other.share
        for name, other in state.classes.items()
        if other.tier < cls.tier and state.demand[name].active(now)
    )
    if not others:
        return True
    cap = max(1.0, state.total_slots * (1.0 - others))
    return state.running[cls.name] < cap
