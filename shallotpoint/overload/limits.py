"""How many requests an engine runs before those of a tier wait at the router."""

from __future__ import annotations

from collections.abc import Iterable

# At least this share of the slots is used, so that nothing waits, and is refused for
# its wait, while half of a pool is free.
MIN_USED_SHARE = 0.65
# An engine's own queue may hold this share of its slots in requests of the most urgent
# tier.  A router hears of a slot that another one frees only half a second later, so
# without such requests the slot would be idle.
OWN_QUEUE_SHARE = 0.125


def lowest_tier_limit(slots: int, sustainable: float) -> float:
    """Return the requests that an engine may run when one of the lowest tier is begun.

    Parameters
    ----------
    sustainable : float
        Requests with which the longest answers still end within their time limits.

    Examples
    --------
    >>> [lowest_tier_limit(32, sustainable) for sustainable in (4.0, 24.5, 90.0)]
    [20.8, 24.5, 32.0]
    """
    return min(float(slots), max(MIN_USED_SHARE * slots, sustainable))


def tier_limit(
    slots: int, sustainable: float, tier: int, tiers: Iterable[int]
) -> float:
    """Return the requests that an engine may run when one of a tier is begun.

    The limit rises from the lowest tier to the most urgent one, so that no tier is held
    back while a lower one is begun.

    Parameters
    ----------
    tiers : iterable of int
        Tiers in demand; smaller numbers are more urgent.

    Examples
    --------
    >>> [tier_limit(32, 24.0, tier, (1, 2, 3)) for tier in (1, 2, 3)]
    [36.0, 30.0, 24.0]
    """
    lowest_limit = lowest_tier_limit(slots, sustainable)
    ranked = sorted({*tiers, tier}, reverse=True)
    if len(ranked) == 1:
        return lowest_limit
    highest_limit = (1.0 + OWN_QUEUE_SHARE) * slots
    share = ranked.index(tier) / (len(ranked) - 1)
    return lowest_limit + share * (highest_limit - lowest_limit)
