"""Requests that crash the upstreams which run them.

Answers the load of one caller that repeats such a request at any router: it has to
stop after a few ends, and no request that was beside it may be stopped with it.
"""

from __future__ import annotations

import math
from collections.abc import Set
from dataclasses import dataclass, field
from typing import NamedTuple

from shallotpoint.types import Seconds

BLOCK_AFTER = 2  # distinct upstreams that one request crashed
EXPIRY_S = 600.0  # many times the pause between two repeats of a caller
EXPIRE_EVERY_S = 1.0  # looking at all records costs time in a large fleet
SICK_AFTER = 3  # distinct requests after which an upstream is itself to blame


class Incarnation(NamedTuple):
    """One start of an upstream; ``started_ms`` is 0 where starts are not told apart."""

    upstream: str
    started_ms: int = 0


@dataclass(frozen=True, slots=True)
class CrashReport:
    """One upstream crashed while it ran one request; shared among routers."""

    fingerprint: int
    upstream: str
    at_s: Seconds
    started_ms: int = 0

    @property
    def incarnation(self) -> Incarnation:
        """The start of the upstream that ended."""
        return Incarnation(self.upstream, self.started_ms)


@dataclass(slots=True)
class _Record:
    """The ends of upstreams that one request was on, and when it last came."""

    ends: dict[Incarnation, Seconds] = field(default_factory=dict)
    seen_s: Seconds = -math.inf


class PoisonBook:
    """Counts the ends of upstreams by the requests that were on them.

    An end is put down to the request among those on it that was on most ends, so
    that others which were beside it by chance are not blocked with it.

    Parameters
    ----------
    block_after : int
        Ends after which a request may not run anywhere.
    sick_after : int, optional
        More requests than these on one end show that the upstream is to blame; for
        reports of broken connections, which do not prove an end.
    expiry_s : float
        Time for which a request is remembered after it last came, in seconds.

    Examples
    --------
    >>> book = PoisonBook(block_after=2)
    >>> for upstream in ("u1", "u2"):
    ...     for content in (7, 8) if upstream == "u1" else (7,):
    ...         _ = book.crashed(CrashReport(content, upstream, at_s=1.0))
    >>> book.blocked(7, now=2.0), book.blocked(8, now=2.0), book.count(8, now=2.0)
    (True, False, 0)
    """

    def __init__(
        self,
        *,
        block_after: int = BLOCK_AFTER,
        sick_after: int | None = None,
        expiry_s: Seconds = EXPIRY_S,
    ):
        self.block_after = block_after
        self._sick_after = sick_after
        self._expiry_s = expiry_s
        self._records: dict[int, _Record] = {}
        self._on: dict[Incarnation, set[int]] = {}
        self._alive_s: dict[Incarnation, Seconds] = {}
        self._cleared_s: dict[int, Seconds] = {}
        self._expired_s: Seconds = -math.inf

    def crashed(self, report: CrashReport) -> bool:
        """Record a crash, seen here or heard from a peer; return whether it is new."""
        fingerprint, end = report.fingerprint, report.incarnation
        if not fingerprint or report.at_s < self._alive_s.get(end, -math.inf):
            return False
        if report.at_s < self._cleared_s.get(fingerprint, -math.inf):
            return False
        record = self._records.setdefault(fingerprint, _Record())
        is_new = end not in record.ends
        record.ends[end] = min(report.at_s, record.ends.get(end, math.inf))
        record.seen_s = max(record.seen_s, report.at_s)
        self._on.setdefault(end, set()).add(fingerprint)
        return is_new

    def answered(
        self, fingerprint: int, incarnation: Incarnation, sent_s: Seconds
    ) -> None:
        """Take a whole answer: neither its upstream nor its request ended there.

        Parameters
        ----------
        sent_s : float
            When the attempt was sent; what was recorded later stays.
        """
        self.alive(incarnation, sent_s)
        record = self._records.get(fingerprint)
        if record is None:
            return
        self._cleared_s[fingerprint] = sent_s
        for end in [end for end, at_s in record.ends.items() if at_s < sent_s]:
            self._drop(fingerprint, end)

    def alive(self, incarnation: Incarnation, sent_s: Seconds) -> None:
        """Take a sign of life, the answer to an attempt sent at some time.

        It says nothing where a successor cannot be told from the one that ended.
        """
        if not incarnation.started_ms:
            return
        self._alive_s[incarnation] = max(
            sent_s, self._alive_s.get(incarnation, -math.inf)
        )
        for fingerprint in list(self._on.get(incarnation, ())):
            if self._records[fingerprint].ends[incarnation] < sent_s:
                self._drop(fingerprint, incarnation)

    def asked(self, fingerprint: int, now: Seconds) -> None:
        """Note that a request came; one that keeps coming is not forgotten."""
        record = self._records.get(fingerprint)
        if record is not None:
            record.seen_s = now

    def suspected(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether the request was on an upstream as that crashed."""
        return self.count(fingerprint, now) > 0

    def blocked(self, fingerprint: int, now: Seconds) -> bool:
        """Return whether the request may not run anywhere."""
        return self.count(fingerprint, now) >= self.ends_to_block(fingerprint)

    def ends_to_block(self, fingerprint: int) -> int:
        """Return the ends after which a request is blocked.

        One more is needed while another request was on all of the same ends, as one
        of the two may be sound.
        """
        record = self._records.get(fingerprint)
        if record is None:
            return self.block_after
        alike = set.intersection(*(self._on[end] for end in record.ends))
        return self.block_after + (len(alike) > 1)

    def ends(self, fingerprint: int) -> Set[Incarnation]:
        """Return the ends that a request was on."""
        record = self._records.get(fingerprint)
        return record.ends.keys() if record is not None else frozenset()

    def count(self, fingerprint: int, now: Seconds) -> int:
        """Return the ends that are put down to a request."""
        record = self._records.get(fingerprint)
        if record is None or record.seen_s <= now - self._expiry_s:
            return 0
        total = len(record.ends)
        return sum(1 for end in record.ends if self._is_most_on(end, total))

    def is_repeated(self, fingerprint: int) -> bool:
        """Return whether a request was on more than one end."""
        return len(self.ends(fingerprint)) > 1

    def holds(self, report: CrashReport) -> bool:
        """Return whether a report is still recorded."""
        return report.incarnation in self.ends(report.fingerprint)

    def expire(self, now: Seconds) -> None:
        """Forget all that is older than the expiry time; call as often as is handy."""
        if now - self._expired_s < EXPIRE_EVERY_S:
            return
        self._expired_s = now
        oldest_s = now - self._expiry_s
        for fingerprint, record in list(self._records.items()):
            if record.seen_s <= oldest_s:
                for end in list(record.ends):
                    self._drop(fingerprint, end)
        _drop_older(self._alive_s, oldest_s)
        _drop_older(self._cleared_s, oldest_s)

    def _is_most_on(self, end: Incarnation, total: int) -> bool:
        """Return whether no request on an end was on more than ``total`` ends."""
        on = self._on[end]
        if self._sick_after is not None and len(on) > self._sick_after:
            return False
        return all(len(self._records[other].ends) <= total for other in on)

    def _drop(self, fingerprint: int, end: Incarnation) -> None:
        record = self._records[fingerprint]
        del record.ends[end]
        if not record.ends:
            del self._records[fingerprint]
        on = self._on[end]
        on.discard(fingerprint)
        if not on:
            del self._on[end]


def _drop_older(times: dict, oldest_s: Seconds) -> None:
    for key in [key for key, at_s in times.items() if at_s <= oldest_s]:
        del times[key]
