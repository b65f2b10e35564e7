"""Usage of a window: begun requests, counted by each router and summed by one.

A router keeps the times at which requests began on its own monotonic clock.  The router
that holds the duty asks for counts of windows, whose bounds it gives as ages, so that
no host's wall clock decides to which window a request belongs.
"""

from __future__ import annotations

import math
import statistics
from array import array
from bisect import bisect_left
from collections.abc import Collection, Iterable, Mapping, Sequence

import msgspec

from shallotpoint.types import Revision, Seconds

KEPT_S = 40.0  # a window is due long before; a late holder can still count it
KEPT_MARGIN_S = 1.0  # a query takes part of the time that requests are kept
EXPIRE_INTERVAL_S = 5.0
SETTLE_S = 2.0  # after the end of a window, for replies of all routers
SETTLE_MARGIN_S = 4.0  # before a window is due, for the write and two calls
MAX_OPEN_WINDOWS = 100  # in one query
MAX_SETTLED_WINDOWS = 200  # half of the service's 1 MB with 200 organisations
ACCEPTED_WINDOWS = 12  # accepted ones that the record keeps, for readers of the store
# Of the length of a window, so that a bound belongs to one side despite rounding.
ROUNDING = 1e-4

Counts = Mapping[str, int]
"""Requests by name of the organisation."""


class WindowAges(msgspec.Struct, frozen=True, array_like=True):
    """A window in a query; its bounds are ages at the time of the query, in seconds."""

    window: int
    begin_age_s: Seconds
    end_age_s: Seconds


class RouterCounts(msgspec.Struct, frozen=True, array_like=True):
    """Counts by window of one incarnation of a router."""

    router: str
    incarnation: int
    counts: dict[int, dict[str, int]]


class SettledWindow(msgspec.Struct, frozen=True, array_like=True):
    """A window whose counts no longer change.

    Attributes
    ----------
    end_s : float
        End of the window in true time, in seconds.
    fence : int
        Fencing token of the holder that settled it.
    accepted : bool
        Whether the platform has accepted the report.
    """

    window: int
    end_s: Seconds
    counts: dict[str, int]
    fence: Revision
    accepted: bool = False


class UsageRecord(msgspec.Struct, frozen=True, array_like=True):
    """What the key-value service has of the last windows.

    Attributes
    ----------
    settled_until_s : float
        End of the last settled window in true time, in seconds; 0 if there is none.
    """

    settled_until_s: Seconds = 0.0
    windows: tuple[SettledWindow, ...] = ()


class UsageQuery(msgspec.Struct, frozen=True, array_like=True):
    """A request of the duty's holder for the counts of windows.

    Attributes
    ----------
    known : tuple of RouterCounts
        Counts of the holder itself and of routers that no longer reply, for the next
        holder.
    settled : tuple of SettledWindow
        Windows settled lately, as a store that comes back from a backup may lose them.
    """

    windows: tuple[WindowAges, ...]
    known: tuple[RouterCounts, ...] = ()
    settled: tuple[SettledWindow, ...] = ()


class UsageReply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a :class:`UsageQuery`.

    Attributes
    ----------
    wall_s : float
        Wall clock of the router, in seconds since 1970.
    recorded_s : float
        For how long the router has recorded requests, in seconds.
    """

    incarnation: int
    wall_s: Seconds
    recorded_s: Seconds
    counts: dict[int, dict[str, int]]


class BeginLog:
    """Times at which requests of this router began, by organisation.

    Attributes
    ----------
    kept_s : float
        How long a time is kept, in seconds.
    """

    def __init__(self, *, started_s: Seconds, kept_s: Seconds = KEPT_S):
        self.kept_s = kept_s
        self._started_s = started_s
        self._expired_s = started_s
        self._times_s: dict[str, array] = {}

    def record(self, organisation: str, now: Seconds) -> None:
        """Record that a request began now."""
        times_s = self._times_s.get(organisation)
        if times_s is None:
            times_s = self._times_s[organisation] = array("d")
        times_s.append(now)
        if now - self._expired_s > EXPIRE_INTERVAL_S:
            self._expire(now)

    def recorded_s(self, now: Seconds) -> Seconds:
        """Return for how long requests have been recorded, in seconds."""
        return now - self._started_s

    def count(self, ages: WindowAges, now: Seconds) -> dict[str, int]:
        """Return the requests of each organisation that began in a window."""
        begin_s, end_s = now - ages.begin_age_s, now - ages.end_age_s
        counts = {
            name: bisect_left(times_s, end_s) - bisect_left(times_s, begin_s)
            for name, times_s in self._times_s.items()
        }
        return {name: number for name, number in counts.items() if number > 0}

    def _expire(self, now: Seconds) -> None:
        self._expired_s = now
        for name, times_s in list(self._times_s.items()):
            del times_s[: bisect_left(times_s, now - self.kept_s)]
            if not times_s:
                del self._times_s[name]


class UsageCollector:
    """Largest replies of each router's incarnations, and the true time by them.

    A reply of a closed window can only lack requests, never have too many.  The largest
    one is kept, also of a router that crashes later.
    """

    def __init__(self) -> None:
        self._largest: dict[tuple[str, int], dict[int, Counts]] = {}
        self._replied: dict[int, set[str]] = {}
        self._offsets_s: dict[str, Seconds] = {}
        self._recorded_since_s: Seconds = math.inf

    def merge(self, counts: RouterCounts) -> None:
        """Keep the counts of an incarnation where they are larger than before."""
        largest = self._largest.setdefault((counts.router, counts.incarnation), {})
        for window, found in counts.counts.items():
            if sum(found.values()) >= sum(largest.get(window, {}).values()):
                largest[window] = found

    def add_reply(
        self,
        router: str,
        reply: UsageReply,
        *,
        closed: Iterable[int],
        sent_s: Seconds,
        received_s: Seconds,
    ) -> None:
        """Take over a router's reply.

        Parameters
        ----------
        closed : iterable of int
            Windows that had ended when the query was sent.
        sent_s, received_s : float
            Times of the query and of the reply, by this router's clock.
        """
        self.merge(RouterCounts(router, reply.incarnation, reply.counts))
        self._offsets_s[router] = reply.wall_s - (sent_s + received_s) / 2
        self._recorded_since_s = min(
            self._recorded_since_s, (sent_s + received_s) / 2 - reply.recorded_s
        )
        for window in closed:
            self._replied.setdefault(window, set()).add(router)

    def offset_s(self, routers: Collection[str], *, quorum: int) -> Seconds | None:
        """Return true time less this router's clock; None with too few replies.

        It is the median over routers, as the wall clocks of some hosts are wrong.

        Parameters
        ----------
        quorum : int
            Smallest number of routers whose clocks are needed.
        """
        offsets = [o for name, o in self._offsets_s.items() if name in routers]
        return statistics.median(offsets) if len(offsets) >= quorum else None

    def recorded_s(self, now: Seconds) -> Seconds:
        """Return for how long the oldest router has recorded requests, in seconds."""
        return max(0.0, now - self._recorded_since_s)

    def replied(self, window: int) -> Collection[str]:
        """Return the routers that replied for a window after its end."""
        return self._replied.get(window, ())

    def totals(self, window: int) -> dict[str, int]:
        """Return the sum over all incarnations for a window."""
        sums: dict[str, int] = {}
        for largest in self._largest.values():
            for name, number in largest.get(window, {}).items():
                sums[name] = sums.get(name, 0) + number
        return sums

    def known(self, windows: Collection[int], without: Collection[str]) -> tuple:
        """Return the counts of windows, except those of some routers."""
        found = (
            RouterCounts(
                name, incarnation, {w: dict(c) for w, c in by.items() if w in windows}
            )
            for (name, incarnation), by in self._largest.items()
            if name not in without
        )
        return tuple(counts for counts in found if any(counts.counts.values()))

    def keep_only(self, windows: Collection[int]) -> None:
        """Forget all other windows."""
        self._replied = {w: names for w, names in self._replied.items() if w in windows}
        kept = {
            key: {w: counts for w, counts in found.items() if w in windows}
            for key, found in self._largest.items()
        }
        self._largest = {key: found for key, found in kept.items() if found}


def window_end_s(window: int, window_s: Seconds) -> Seconds:
    """Return the true time at which a window ends, in seconds since 1970."""
    return (window + 1) * window_s


def next_window(settled_until_s: Seconds, window_s: Seconds) -> int:
    """Return the first window that ends after a time."""
    return math.floor(settled_until_s / window_s + ROUNDING)


def unsettled_windows(
    record: UsageRecord,
    *,
    window_s: Seconds,
    true_s: Seconds,
    kept_s: Seconds,
    recorded_s: Seconds,
) -> range:
    """Return the windows that have begun, are not settled and can still be counted.

    Parameters
    ----------
    true_s : float
        True time now, in seconds since 1970.
    kept_s : float
        How long routers keep the times of requests.
    recorded_s : float
        For how long the oldest router has recorded them; it tells the first window of
        a deployment that has no record yet.
    """
    first = math.ceil((true_s - kept_s + KEPT_MARGIN_S) / window_s)
    if record.settled_until_s:
        first = max(first, next_window(record.settled_until_s, window_s))
    else:
        first = max(first, math.floor((true_s - recorded_s) / window_s))
    return range(first, math.floor(true_s / window_s) + 1)[:MAX_OPEN_WINDOWS]


def missed_windows(
    record: UsageRecord, unsettled: range, window_s: Seconds
) -> Sequence[int]:
    """Return the windows since the last settled one that nobody can count any more."""
    if not record.settled_until_s:
        return ()
    return range(next_window(record.settled_until_s, window_s), unsettled.start)


def may_settle(
    *,
    end_s: Seconds,
    true_s: Seconds,
    late_s: Seconds,
    listed: Collection[str],
    replied: Collection[str],
) -> bool:
    """Return whether the counts of a window are final.

    Parameters
    ----------
    late_s : float
        The report is due this long after the window's end.
    listed, replied : collection of str
        All routers, and those that replied after the end of the window.
    """
    if not replied or true_s < end_s + SETTLE_S:
        return False
    return set(listed) <= set(replied) or true_s >= end_s + late_s - SETTLE_MARGIN_S


def extend_record(
    record: UsageRecord, settled: Sequence[SettledWindow], accepted: Collection[int]
) -> tuple[UsageRecord, Sequence[SettledWindow]]:
    """Return the record with more windows, and windows that it has no room for.

    Parameters
    ----------
    accepted : collection of int
        Windows that the platform has accepted since the record was written.
    """
    windows = [
        msgspec.structs.replace(w, accepted=w.accepted or w.window in accepted)
        for w in (*record.windows, *settled)
    ]
    done = [w.window for w in windows if w.accepted][:-ACCEPTED_WINDOWS]
    kept = [w for w in windows if w.window not in done]
    dropped = kept[:-MAX_SETTLED_WINDOWS]
    until_s = max([record.settled_until_s, *(w.end_s for w in settled)])
    return UsageRecord(until_s, tuple(kept[-MAX_SETTLED_WINDOWS:])), dropped


def pending_windows(
    record: UsageRecord, accepted: Collection[int], *, due_after_s: Seconds
) -> list[SettledWindow]:
    """Return the windows to report, those that can still be in time first.

    Parameters
    ----------
    due_after_s : float
        Windows that ended before this true time are late already.
    """
    pending = [w for w in record.windows if not w.accepted and w.window not in accepted]
    return sorted(pending, key=lambda w: (w.end_s < due_after_s, w.end_s))
