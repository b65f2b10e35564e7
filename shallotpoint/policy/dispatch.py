"""Choice of the upstream with the shortest expected time to first token."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass

from shallotpoint.types import Seconds

DEFAULT_TTFT_S = 0.2  # assumed for upstreams without measurements
CACHED_PREFIX_SAVING = 0.5  # fraction of the time to first token that a hit saves
MAX_PREFIXES = 4_096


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with a free slot, and the figures to compare it by.

    Attributes
    ----------
    running : int
        Requests of this router on the upstream.
    peer_running : int
        Requests of other routers on the upstream, as they last reported.
    slots : int
        Requests that the upstream runs concurrently.
    ttft_s : float
        Average time to first token, in seconds; 0 if not measured.
    weight : float
        Fraction of the usual load that its health allows, 0 to 1.
    in_own_data_centre : bool
        Whether the upstream is in the router's own data centre.
    """

    name: str
    running: int
    peer_running: int
    slots: int
    ttft_s: Seconds
    weight: float = 1.0
    in_own_data_centre: bool = True


class PrefixMap:
    """Maps prompt prefixes to the upstream that last received them.

    Forgets the prefix unused for longest when it is full.
    """

    def __init__(self, *, size: int = MAX_PREFIXES):
        self._size = size
        self._upstream_by_prefix: OrderedDict[int, str] = OrderedDict()

    def upstream_for(self, prefix: int) -> str | None:
        """Return the upstream that likely has the prefix cached, or None."""
        return self._upstream_by_prefix.get(prefix) if prefix else None

    def record(self, prefix: int, upstream: str) -> None:
        """Record that the upstream received the prefix."""
        if not prefix:
            return
        self._upstream_by_prefix[prefix] = upstream
        self._upstream_by_prefix.move_to_end(prefix)
        if len(self._upstream_by_prefix) > self._size:
            self._upstream_by_prefix.popitem(last=False)


def expected_wait_s(candidate: Candidate, *, cached: bool) -> Seconds:
    """Return the expected time to first token on a candidate, in seconds.

    It grows with the candidate's load and with the inverse of its weight.
    """
    base_s = candidate.ttft_s or DEFAULT_TTFT_S
    load = (candidate.running + candidate.peer_running) / max(1, candidate.slots)
    wait_s = base_s * (1.0 + load)
    if cached:
        wait_s -= CACHED_PREFIX_SAVING * base_s
    if not candidate.in_own_data_centre:
        wait_s += 0.001  # round trip to another data centre
    return wait_s / max(candidate.weight, 0.05)


def choose(candidates: Iterable[Candidate], *, cached_on: str | None) -> str | None:
    """Return the candidate with the shortest expected wait, None without candidates."""
    best: tuple[Seconds, int, str] | None = None
    for cand in candidates:
        wait_s = expected_wait_s(cand, cached=cand.name == cached_on)
        key = (wait_s, cand.running, cand.name)
        if best is None or key < best:
            best = key
    return best[2] if best else None
