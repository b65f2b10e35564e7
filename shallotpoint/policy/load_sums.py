"""Aggregation of the load of all routers on each upstream, over a tree of routers.

With many routers before few upstreams, each router only needs the total load of all
other routers on an upstream, not the load of each router.
"""

from __future__ import annotations

import itertools
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import StrEnum

from shallotpoint.policy.engine_load import UpstreamLoad
from shallotpoint.types import Seconds

MAX_AGE_S = 1.8  # tolerates a few lost messages

Loads = Mapping[tuple[str, str], UpstreamLoad]
"""Load by pool and upstream."""


class SenderPosition(StrEnum):
    """Position of the sender of a sum in the tree, relative to the receiver."""

    CHILD = "child"
    PARENT = "parent"
    ROOT = "root"


@dataclass(frozen=True, slots=True)
class _ReceivedSum:
    """The latest sum of one sender, and when it was received, in seconds."""

    received_s: Seconds
    position: SenderPosition
    loads: Loads


class LoadSums:
    """The load sums that one router has received from others.

    Examples
    --------
    >>> sums = LoadSums()
    >>> child = SenderPosition.CHILD
    >>> sums.record_sum("r2", child, {("p", "u1"): UpstreamLoad(50, 1)}, now=0.0)
    >>> sums.record_sum("r3", child, {("p", "u1"): UpstreamLoad(0, 2)}, now=0.0)
    >>> sums.load_elsewhere(now=0.1)["p", "u1"].running
    3
    >>> sums.load_elsewhere(now=0.1, excluded_sender="r3")["p", "u1"].running
    1
    """

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedSum] = {}

    def record_sum(
        self, sender: str, position: SenderPosition, loads: Loads, now: Seconds
    ) -> None:
        """Record a router's sum, which replaces its previous one from any position."""
        self._received[sender] = _ReceivedSum(now, position, loads)

    def subtree_load(self, own: Loads, now: Seconds) -> Loads:
        """Return the load of this router and of its subtree."""
        below = (
            h.loads for h in self._fresh(now) if h.position is SenderPosition.CHILD
        )
        return sum_loads([own, *below])

    def load_elsewhere(
        self, now: Seconds, *, excluded_sender: str | None = None
    ) -> Loads:
        """Return the load of all other routers.

        Parameters
        ----------
        excluded_sender : str, optional
            A sender whose sum is left out.
        """
        skipped = (
            self._received.get(excluded_sender) if excluded_sender is not None else None
        )
        return sum_loads(h.loads for h in self._fresh(now) if h is not skipped)

    def oldest_age_s(self, now: Seconds) -> Seconds | None:
        """Return the age of the oldest sum in use, in seconds; None without any."""
        return max((now - h.received_s for h in self._fresh(now)), default=None)

    def _fresh(self, now: Seconds) -> list[_ReceivedSum]:
        stale = [n for n, h in self._received.items() if now - h.received_s > MAX_AGE_S]
        for name in stale:
            del self._received[name]
        return list(self._received.values())


def sum_loads(several: Iterable[Loads]) -> Loads:
    """Return the sum of several loads, by pool and upstream."""
    total: dict[tuple[str, str], UpstreamLoad] = {}
    for loads in several:
        for key, load in loads.items():
            present = total.get(key)
            if present is not None:
                load = UpstreamLoad(
                    present.pending_prefill_tokens + load.pending_prefill_tokens,
                    present.running + load.running,
                    present.strict_streams + load.strict_streams,
                    _sum_by_tier(present.unstarted_by_tier, load.unstarted_by_tier),
                )
            total[key] = load
    return total


def _sum_by_tier(first: tuple[int, ...], second: tuple[int, ...]) -> tuple[int, ...]:
    return tuple(map(sum, itertools.zip_longest(first, second, fillvalue=0)))
