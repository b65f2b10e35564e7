"""Reports of upstreams that crashed, and of the requests that they were running."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple

from shallotpoint.coordination.entries import UnreadableEntry
from shallotpoint.decoding import parse_whole_number
from shallotpoint.types import Seconds

EXPIRY_S = 600.0  # many times the usual interval between a caller's repeats


class Incarnation(NamedTuple):
    """One start of an upstream.

    Attributes
    ----------
    upstream : str
        Name of the upstream.
    started_ms : int
        Start time in milliseconds; 0 if starts are not distinguished.
    """

    upstream: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Report that an upstream crashed while it ran a request; sent to all routers.

    Attributes
    ----------
    fingerprint : int
        Hash of the request's content; 0 for a request that is not tracked.
    upstream : str
        Name of the upstream.
    at_s : float
        Time of the crash, in seconds.
    started_ms : int
        Start time of the upstream, in milliseconds; 0 if starts are not distinguished.
    parts : frozenset of str
        Ids of the prompt parts that other requests may share.
    """

    fingerprint: int
    upstream: str
    at_s: Seconds
    started_ms: int = 0
    parts: frozenset[str] = frozenset()

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the upstream that crashed."""
        return Incarnation(self.upstream, self.started_ms)


def read_incarnation(name: str) -> Incarnation:
    """Return the incarnation that the end of a key names, as ``NAME/START``.

    Raises
    ------
    UnreadableEntry
        The start is not a number of milliseconds.
    """
    upstream, _, started = name.rpartition("/")
    started_ms = parse_whole_number(started)
    if started_ms is None:
        raise UnreadableEntry(f"expected a start time in ms, got {started[:40]!r}")
    return Incarnation(upstream, started_ms)
