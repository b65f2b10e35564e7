"""Crash reports as rows of the gossip board."""

from __future__ import annotations

from collections.abc import Callable, Sequence

import msgspec

from shallotpoint.coordination.gossip import Board
from shallotpoint.policy.poison import CrashReport
from shallotpoint.types import Seconds

CRASHES_TOPIC = "crashes"
KEPT_S = 600.0  # the poison book forgets a crash after the same time
KEPT = 200  # reports in a row, so that it stays within one message


class _WireCrash(msgspec.Struct, frozen=True, array_like=True):
    """A crash report on the wire; its age replaces the clock of the sender."""

    fingerprint: int
    upstream: str
    age_s: Seconds
    started_ms: int = 0


_decoder = msgspec.msgpack.Decoder(list[_WireCrash])


class CrashNews:
    """The crashes that this router has seen, published as one row.

    Parameters
    ----------
    is_current : Callable
        Returns whether a report still holds; others are no longer published.
    """

    def __init__(
        self,
        board: Board,
        *,
        is_current: Callable[[CrashReport], bool] = lambda report: True,
    ):
        self._board = board
        self._is_current = is_current
        self._reports: list[CrashReport] = []

    def add(self, reports: Sequence[CrashReport], *, now: Seconds) -> None:
        """Publish more crashes."""
        held = [r for r in self._reports if self._holds(r, now)]
        self._reports = [*held, *reports][-KEPT:]
        wire = [
            _WireCrash(r.fingerprint, r.upstream, now - r.at_s, r.started_ms)
            for r in self._reports
        ]
        self._board.publish(CRASHES_TOPIC, msgspec.msgpack.encode(wire), now=now)

    def _holds(self, report: CrashReport, now: Seconds) -> bool:
        return now - report.at_s < KEPT_S and self._is_current(report)


def read_crashes(payload: bytes, *, now: Seconds) -> list[CrashReport]:
    """Return the reports of a row, by the clock of this router."""
    return [
        CrashReport(
            crash.fingerprint, crash.upstream, now - crash.age_s, crash.started_ms
        )
        for crash in _decoder.decode(payload)
    ]
