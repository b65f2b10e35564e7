"""The tree along which routers exchange messages.

All routers compute it from the list of routers.  A small group is a full mesh.  In a
large one the routers of each data centre form a tree of a root, hubs and members, and
the roots of all data centres exchange messages with one another.  A message of one
router thus reaches all others and is sent once between each pair of data centres,
and each router sends a few messages however large the group is.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass

from shallotpoint.coordination.overlay import FULL_MESH_MAX_MEMBERS, rank

# Upper bound of the average number of routers per hub, counting the hub; answering so
# many takes a few percent of the hub's time.
ROUTERS_PER_HUB = 16
FALLBACK_COUNT = 2  # routers to ask if the parent and the key-value service fail


@dataclass(frozen=True, slots=True)
class Position:
    """One router's position in the tree.

    Attributes
    ----------
    parent : str or None
        The router to which this one sends the sum of the loads below it; None for a
        root.
    copy_source : str or None
        The router to ask for copies of stored keys before the key-value service.
        This is the parent or, for a root, the one root that reads the service for
        all; None for that root and in small groups.
    other_roots : tuple of str
        Other routers with which a root exchanges sums of loads.  In a small group
        every router is a root.
    fallbacks : tuple of str
        Routers to ask for copies if neither ``copy_source`` nor the service answers.
    """

    parent: str | None
    copy_source: str | None
    other_roots: tuple[str, ...]
    fallbacks: tuple[str, ...]


def position(
    me: str,
    routers: Mapping[str, str],
    data_centre: str,
    *,
    unresponsive: Collection[str] = (),
) -> Position:
    """Return a router's position in the tree.

    A parent always precedes its children in an order that all routers share.  So there
    is no cycle, even if routers differ in which others they find unresponsive.

    Parameters
    ----------
    routers : mapping
        Data centre of each listed router by its name; ``me`` need not be listed.
    data_centre : str
        Data centre of ``me``.
    unresponsive : collection of str
        Routers that did not answer this one recently; they are left out.

    Examples
    --------
    >>> group = {f"r{n}": "east" for n in range(9)}
    >>> position("r0", group, "east").parent is None
    True
    >>> group = {f"r{n}": "east" for n in range(40)}
    >>> positions = [position(name, group, "east") for name in group]
    >>> [p.parent for p in positions].count(None), len({p.parent for p in positions})
    (1, 4)
    """
    active = {
        name: place for name, place in routers.items() if name not in unresponsive
    }
    active[me] = data_centre
    spares = tuple(name for name in rank(active, me) if name != me)[:FALLBACK_COUNT]
    if len({*routers, me}) <= FULL_MESH_MAX_MEMBERS:
        return Position(None, None, tuple(n for n in active if n != me), spares)
    order = _rank_in_data_centre(active, data_centre)
    place = order.index(me)
    if place > 0:
        hubs = order[: math.ceil(len(order) / ROUTERS_PER_HUB)]
        parent = order[0] if place < len(hubs) else rank(hubs, me)[0]
        return Position(parent, parent, (), spares)
    other_centres = sorted({*active.values()} - {data_centre})
    roots = tuple(_rank_in_data_centre(active, place)[0] for place in other_centres)
    reader = rank([me, *roots], "reader")[0]
    return Position(None, None if reader == me else reader, roots, spares)


def _rank_in_data_centre(routers: Mapping[str, str], data_centre: str) -> list[str]:
    local = [name for name, place in routers.items() if place == data_centre]
    return rank(local, "hub")
