"""Rendezvous hashing, and the graph of connections between members.

Members compute both from the same list of members, so that they agree without messages.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Sequence
from typing import TypeVar

from shallotpoint.hashing import hash64

FULL_MESH_MAX_MEMBERS = (
    9  # members; in larger groups each has about 2 log2 N neighbours
)
GROUP_SIZE = 11  # members that share one part of the upstreams

T = TypeVar("T")


def rendezvous_score(member: str, key: str) -> int:
    """Return the score of a member for a key; the member with the highest owns it."""
    return hash64(f"{member}\0{key}")


def rank(members: Iterable[str], key: str) -> list[str]:
    """Return members by their rendezvous score for a key, highest first.

    Examples
    --------
    >>> order = rank(["a", "b", "c"], "upstream-1")
    >>> rank(["a", "b"], "upstream-1") == [m for m in order if m != "c"]
    True
    """
    return sorted(members, key=lambda m: rendezvous_score(m, key), reverse=True)


def ring_order(members: Iterable[str]) -> list[str]:
    """Return distinct members by the hash of their names, the same order for all."""
    return sorted(set(members), key=lambda m: hash64(m))


def neighbours(me: str, members: Iterable[str]) -> list[str]:
    """Return the members to which this one opens connections.

    Up to ``FULL_MESH_MAX_MEMBERS`` members form a full mesh.  In a larger group each
    one dials the members at distances 1, 2, 4, ... on a ring of all, so that a row
    reaches everyone within log2 N hops and each member has about 2 log2 N connections,
    dialled or accepted.
    """
    order = ring_order([*members, me])
    count = len(order)
    if count <= FULL_MESH_MAX_MEMBERS:
        return [m for m in order if m != me]
    position = order.index(me)
    steps = [2**k for k in range(int(math.log2(count - 1)) + 1)]
    return [order[(position + step) % count] for step in steps]


def groups(members: Iterable[str], *, size: int = GROUP_SIZE) -> list[list[str]]:
    """Split members into groups of nearly equal size, assigned in ring order."""
    order = ring_order(members)
    count = max(1, math.ceil(len(order) / size))
    return [order[i::count] for i in range(count)]


def group_of(me: str, members: Iterable[str], *, size: int = GROUP_SIZE) -> list[str]:
    """Return the group from :func:`groups` that contains this member."""
    for group in groups([*members, me], size=size):
        if me in group:
            return group
    raise AssertionError("every member is in a group")


def subset(me: str, items: Sequence[T], *, count: int, key=str) -> list[T]:
    """Return the ``count`` items with this member's highest scores, or all if fewer.

    The choice changes little as items are added or removed.  ``key`` returns an
    item's name.
    """
    if len(items) <= count:
        return list(items)
    scored = sorted(items, key=lambda t: rendezvous_score(me, key(t)), reverse=True)
    return scored[:count]
