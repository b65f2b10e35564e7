"""Crash reports in rows of the gossip board."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from shallotpoint.coordination.gossip import Board
from shallotpoint.policy.crash_reports import EXPIRY_S, CrashReport
from shallotpoint.types import Seconds

CRASHES_TOPIC = "crashes"
SPREAD_TIME_S = 10.0  # a row reaches all peers in this time, even if one is unreachable
MAX_REPORTS = 200  # keeps the gossip row within one message


class _WireCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash report in a gossip row.

    The row carries its age, as the clocks of two routers cannot be compared.
    """

    fingerprint: int
    upstream: str
    age_s: Seconds
    started_ms: int = 0
    parts: tuple[str, ...] = ()


_decoder = msgspec.msgpack.Decoder(list[_WireCrash])


class CrashPublisher:
    """Publishes the crashes that this router has detected as one gossip row.

    Parameters
    ----------
    stays_published : Callable
        Returns whether a report stays in the row after it has reached all peers.
    """

    def __init__(
        self,
        board: Board,
        *,
        stays_published: Callable[[CrashReport], bool] = lambda report: True,
    ):
        self._board = board
        self._stays_published = stays_published
        self._reports: list[tuple[Seconds, CrashReport]] = []

    def add(self, reports: Sequence[CrashReport], *, now: Seconds) -> None:
        """Add crash reports to the row and publish it."""
        current = [(s, r) for s, r in self._reports if self._stays(s, r, now)]
        self._reports = [*current, *((now, r) for r in reports)][-MAX_REPORTS:]
        wire = [
            _WireCrash(
                r.fingerprint, r.upstream, now - r.at_s, r.started_ms, tuple(r.parts)
            )
            for _, r in self._reports
        ]
        self._board.publish(CRASHES_TOPIC, msgspec.msgpack.encode(wire), now=now)

    def _stays(self, published_s: Seconds, report: CrashReport, now: Seconds) -> bool:
        """Return whether a report stays in the row."""
        if now - report.at_s >= EXPIRY_S:
            return False
        return now - published_s < SPREAD_TIME_S or self._stays_published(report)


def read_crashes(payload: bytes, *, now: Seconds) -> list[CrashReport]:
    """Return the crash reports in a row, with times by this router's clock.

    Raises
    ------
    msgspec.DecodeError
        The row is malformed.
    """
    return [
        CrashReport(
            crash.fingerprint,
            crash.upstream,
            now - crash.age_s,
            crash.started_ms,
            frozenset(crash.parts),
        )
        for crash in _decoder.decode(payload)
    ]
