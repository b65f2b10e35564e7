"""The decision on numbers of servers, without clock or I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from shallotpoint.scaling.load import WINDOW_S
from shallotpoint.scaling.model import (
    DataCentre,
    ServerKind,
    ServerOrder,
    Servers,
    Snapshot,
)
from shallotpoint.types import Seconds

# Fraction of all slots that the peak load takes.  Fuller engines answer more slowly,
# and no slots are left for a burst.
TARGET_UTILISATION = 0.6
# The same just after a data centre lost its reclaimable servers.
EMERGENCY_UTILISATION = 0.8
MAX_SHARE = 1.3  # of one data centre, relative to an even spread
MAX_LOST_FRACTION = 0.5  # of all servers that the reserve replaces
INITIAL_FACTOR = 2.0  # of the standing servers, until the load is known
# On-demand servers kept in proportion to the need: a second data centre may lose its
# reclaimable servers before those of the first one are replaced.
MIN_ON_DEMAND_FRACTION = 0.25
KNOWN_SPAN_S = 0.9 * WINDOW_S
MAX_LOAD_AGE_S = 3.0  # routers exchange sums several times a second
SETTLED_S = 35.0  # two swings of the load
HOLD_S = 60.0  # from raising a number until it is lowered
STEP_INTERVAL_S = 12.0  # between two reductions in one data centre
STEP_FRACTION = 1 / 8  # of the servers of a kind that one reduction gives up
DEAD_BAND = 1.1  # surplus that is not worth the loss of the servers' caches
CALM_FACTOR = 1.1  # of the mean load; above, the load is at a crest of its swing
IMBALANCE = 1.25  # of a data centre's number, before it is raised for balance alone
# Smaller shortages come from rounding, not from missing servers.
SHORTAGE_TOLERANCE = 0.1


def decide(snapshot: Snapshot, now: Seconds) -> tuple[ServerOrder, ...]:
    """Return the numbers of servers that have to change.

    Examples
    --------
    >>> from shallotpoint.policy.model import ScalingRule
    >>> from shallotpoint.scaling.model import LoadSummary
    >>> rule = ScalingRule(1, 20, 4.0, 0.22, {"west": 1.0})
    >>> west = DataCentre("west", 1.0, on_demand=Servers(ready=6))
    >>> (order,) = decide(Snapshot("p", rule, 32, LoadSummary(), (west,)), now=0.0)
    >>> order.kind.value, order.count
    ('reclaimable', 6)
    """
    if not snapshot.data_centres:
        return ()
    raising = _raise_reclaimable(snapshot, now)
    raising += _raise_on_demand(
        snapshot, {o.data_centre: o.count for o in raising}, now
    )
    if raising:
        return tuple(raising)
    if not _may_lower(snapshot, now):
        return ()
    if _reducible_on_demand(snapshot, now):
        return tuple(_lower_on_demand(snapshot, now))
    return tuple(_lower_reclaimable(snapshot, now))


def servers_needed(snapshot: Snapshot, utilisation: float) -> int:
    """Return the number of servers that the expected load takes at a utilisation."""
    slots = max(1.0, snapshot.slots)
    return math.ceil(snapshot.load.ahead / (slots * utilisation))


def is_load_known(snapshot: Snapshot) -> bool:
    """Return whether the load was measured over more than one swing, and recently."""
    load = snapshot.load
    return load.span_s >= KNOWN_SPAN_S and load.age_s <= MAX_LOAD_AGE_S


def total_target(snapshot: Snapshot) -> int:
    """Return the servers of all data centres, with a reserve for a lost one."""
    lost = min(MAX_LOST_FRACTION, MAX_SHARE / len(snapshot.data_centres))
    return math.ceil(servers_needed(snapshot, TARGET_UTILISATION) / (1 - lost))


def least_on_demand(snapshot: Snapshot) -> int:
    """Return the number of on-demand servers that are not to be replaced."""
    if len(snapshot.data_centres) == 1:
        return servers_needed(snapshot, EMERGENCY_UTILISATION)
    need = servers_needed(snapshot, TARGET_UTILISATION)
    return math.ceil(MIN_ON_DEMAND_FRACTION * need)


def _on_demand(snapshot: Snapshot, now: Seconds) -> int:
    """Return the on-demand servers to count on."""
    boot_s = snapshot.rule.boot_s
    return sum(d.on_demand.expected(boot_s, now) for d in snapshot.data_centres)


def spread(snapshot: Snapshot, now: Seconds) -> dict[str, int]:
    """Return the wanted number of servers of both kinds by data centre.

    Numbers are proportional to demand and inversely proportional to the price, within
    a limit for each data centre.  What a data centre cannot supply goes to others.
    """
    rule = snapshot.rule
    limits = {d.name: _limit(snapshot, d, now) for d in snapshot.data_centres}
    counts = {name: min(rule.minimum, limits[name]) for name in limits}
    total = total_target(snapshot)
    # Reclaimable servers that replace on-demand ones are ordered before these go.
    replaceable = _on_demand(snapshot, now) - least_on_demand(snapshot)
    total += max(0, replaceable)
    if snapshot.load.span_s < KNOWN_SPAN_S:
        initial = {d.name: _initial(snapshot, d, now) for d in snapshot.data_centres}
        counts = {n: max(counts[n], min(limits[n], initial[n])) for n in limits}
        total = max(total_target(snapshot), sum(initial.values()))
    weights = _weights(snapshot.data_centres)
    even = math.ceil(total * MAX_SHARE / len(limits))
    total = _fill(counts, weights, {n: min(limits[n], even) for n in limits}, total)
    _fill(counts, weights, limits, total)
    return counts


def _fill(
    counts: dict[str, int],
    weights: Mapping[str, float],
    limits: Mapping[str, int],
    total: int,
) -> int:
    """Raise the counts to a total within limits; return the total that is asked for."""
    for _ in range(total - sum(counts.values())):
        open_names = [name for name in counts if counts[name] < limits[name]]
        if not open_names:
            break
        counts[min(open_names, key=lambda n: ((counts[n] + 0.5) / weights[n], n))] += 1
    return total


def _weights(data_centres: Iterable[DataCentre]) -> dict[str, float]:
    """Return the weight of each data centre by its demand and price.

    Half of the demand is taken as even: requests run where servers stand, so that
    the measured demand alone would confirm any spread.
    """
    data_centres = tuple(data_centres)
    total = sum(d.mean_load for d in data_centres)
    even = 1 / len(data_centres)
    return {
        d.name: (0.5 * even + 0.5 * (d.mean_load / total if total else even)) / d.price
        for d in data_centres
    }


def _limit(snapshot: Snapshot, centre: DataCentre, now: Seconds) -> int:
    """Return the most servers that a data centre can have soon."""
    rule = snapshot.rule
    if not _is_short(snapshot, centre.reclaimable, now):
        return rule.maximum
    on_demand = centre.on_demand.expected(rule.boot_s, now)
    return min(rule.maximum, on_demand + centre.reclaimable.ready)


def _is_short(snapshot: Snapshot, servers: Servers, now: Seconds) -> bool:
    """Return whether the platform supplies no more servers of this kind there."""
    return now < servers.unavailable_until_s or servers.is_late(
        snapshot.rule.boot_s, now
    )


def _initial(snapshot: Snapshot, centre: DataCentre, now: Seconds) -> int:
    """Return the number in a data centre while the load is not known."""
    boot_s = snapshot.rule.boot_s
    on_demand = centre.on_demand.expected(boot_s, now)
    standing = on_demand + centre.reclaimable.current
    wanted = max(math.ceil(INITIAL_FACTOR * on_demand), standing)
    return min(snapshot.rule.maximum, wanted)


def _expected(snapshot: Snapshot, centre: DataCentre, now: Seconds) -> int:
    """Return the servers of both kinds to count on in a data centre."""
    boot_s = snapshot.rule.boot_s
    reclaimable = centre.reclaimable
    return centre.on_demand.expected(boot_s, now) + (
        reclaimable.ready
        if _is_short(snapshot, reclaimable, now)
        else reclaimable.current
    )


def _raise_reclaimable(snapshot: Snapshot, now: Seconds) -> list[ServerOrder]:
    """Return the orders of more reclaimable servers."""
    rule = snapshot.rule
    targets = spread(snapshot, now)
    missing = sum(targets.values()) - sum(
        _expected(snapshot, d, now) for d in snapshot.data_centres
    )
    orders = []
    for centre in sorted(
        snapshot.data_centres,
        key=lambda d: (_expected(snapshot, d, now) - targets[d.name], d.name),
    ):
        servers = centre.reclaimable
        if now < servers.unavailable_until_s:
            continue
        on_demand = centre.on_demand.expected(rule.boot_s, now)
        room = rule.maximum - max(on_demand, centre.on_demand.current)
        count = min(targets[centre.name] - on_demand, room)
        # The spread follows the demand, which wavers; it is no reason for more servers.
        present = on_demand + servers.current
        is_balanced = targets[centre.name] <= IMBALANCE * present
        if is_balanced and present >= rule.minimum:
            count = min(count, servers.current + missing)
        if count <= servers.current:
            continue
        missing -= count - servers.current
        reason = "load" if is_load_known(snapshot) else "load not known yet"
        orders.append(_order(snapshot, centre, ServerKind.RECLAIMABLE, count, reason))
    return orders


def _raise_on_demand(
    snapshot: Snapshot, raised: Mapping[str, int], now: Seconds
) -> list[ServerOrder]:
    """Return the orders of on-demand servers that reclaimable ones cannot replace.

    Parameters
    ----------
    raised : mapping
        Reclaimable servers that are ordered at the same time, by data centre.
    """
    rule = snapshot.rule
    reclaimable = {}
    for centre in snapshot.data_centres:
        servers = centre.reclaimable
        is_short = _is_short(snapshot, servers, now)
        count = servers.ready if is_short else servers.current
        reclaimable[centre.name] = max(count, raised.get(centre.name, 0))
    on_demand = {
        d.name: d.on_demand.expected(rule.boot_s, now) for d in snapshot.data_centres
    }
    need = servers_needed(snapshot, EMERGENCY_UTILISATION)
    left = sum(reclaimable.values()) - max(reclaimable.values())
    missing = need - sum(on_demand.values()) - left
    if missing <= SHORTAGE_TOLERANCE * need:
        return []
    limits = {}
    for centre in snapshot.data_centres:
        name = centre.name
        room = rule.maximum - max(reclaimable[name], centre.reclaimable.current)
        is_short = _is_short(snapshot, centre.on_demand, now)
        limits[name] = on_demand[name] if is_short else max(on_demand[name], room)
    counts = dict(on_demand)
    weights = _weights(snapshot.data_centres)
    _fill(counts, weights, limits, sum(counts.values()) + missing)
    return [
        _order(
            snapshot,
            centre,
            ServerKind.ON_DEMAND,
            counts[centre.name],
            "not enough reclaimable servers",
        )
        for centre in snapshot.data_centres
        if counts[centre.name] > centre.on_demand.current
    ]


def _may_lower(snapshot: Snapshot, now: Seconds) -> bool:
    """Return whether the load is calm and all servers have served for a while."""
    load = snapshot.load
    if not is_load_known(snapshot) or load.latest > CALM_FACTOR * load.mean:
        return False
    kinds = [s for d in snapshot.data_centres for s in (d.on_demand, d.reclaimable)]
    return all(
        s.ready >= s.current and not s.failing and now - s.settled_since_s >= SETTLED_S
        for s in kinds
    )


def _step(servers: Servers) -> int:
    """Return how many servers one reduction gives up."""
    return max(1, math.ceil(servers.current * STEP_FRACTION))


def _reducible_on_demand(snapshot: Snapshot, now: Seconds) -> list[ServerOrder]:
    """Return the reductions of on-demand servers that the load allows, one by one.

    Each is allowed by itself; the dearest data centre comes first.
    """
    need = servers_needed(snapshot, TARGET_UTILISATION)
    emergency = servers_needed(snapshot, EMERGENCY_UTILISATION)
    on_demand = sum(d.on_demand.serving for d in snapshot.data_centres)
    reclaimable = [d.reclaimable.serving for d in snapshot.data_centres]
    total = total_target(snapshot)
    # Where the limits leave no room for the reserve, an on-demand server has to go
    # before a reclaimable one can come.
    limit = sum(_limit(snapshot, d, now) for d in snapshot.data_centres)
    floor = total if limit > total else need
    least = max(
        emergency - (sum(reclaimable) - max(reclaimable)),
        least_on_demand(snapshot),
        floor - sum(reclaimable),
    )
    orders = []
    for centre in sorted(snapshot.data_centres, key=lambda d: (-d.price, d.name)):
        servers = centre.on_demand
        minimum = max(0, snapshot.rule.minimum - centre.reclaimable.serving)
        step = min(_step(servers), on_demand - least, servers.current - minimum)
        if step > 0:
            count = servers.current - step
            reason = "reclaimable servers serve instead"
            orders.append(_order(snapshot, centre, ServerKind.ON_DEMAND, count, reason))
    return orders


def _lower_on_demand(snapshot: Snapshot, now: Seconds) -> list[ServerOrder]:
    """Return the next reduction of on-demand servers, in one data centre."""
    lowered = {d.name: d.on_demand.lowered_at_s for d in snapshot.data_centres}
    if now - max(lowered.values()) < STEP_INTERVAL_S / len(lowered):
        return []
    orders = _reducible_on_demand(snapshot, now)
    due = [o for o in orders if now - lowered[o.data_centre] >= STEP_INTERVAL_S]
    return sorted(due, key=lambda o: lowered[o.data_centre])[:1]


def _lower_reclaimable(snapshot: Snapshot, now: Seconds) -> list[ServerOrder]:
    """Return the reductions of reclaimable servers that are due."""
    targets = spread(snapshot, now)
    present = sum(
        d.on_demand.current + d.reclaimable.current for d in snapshot.data_centres
    )
    surplus = present - math.ceil(DEAD_BAND * sum(targets.values()))
    orders = []
    for centre in snapshot.data_centres:
        servers = centre.reclaimable
        raised_at_s = max(servers.raised_at_s, centre.on_demand.raised_at_s)
        if now - raised_at_s < HOLD_S or now - servers.lowered_at_s < STEP_INTERVAL_S:
            continue
        excess = centre.on_demand.current + servers.current - targets[centre.name]
        step = min(_step(servers), excess, surplus, servers.current)
        if step > 0:
            surplus -= step
            count = servers.current - step
            reason = "more than the load needs"
            orders.append(
                _order(snapshot, centre, ServerKind.RECLAIMABLE, count, reason)
            )
    return orders


def _order(
    snapshot: Snapshot, centre: DataCentre, kind: ServerKind, count: int, reason: str
) -> ServerOrder:
    return ServerOrder(snapshot.pool, centre.name, kind, count, reason)
