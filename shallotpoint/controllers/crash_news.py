"""Crash reports as rows of the gossip board."""

from __future__ import annotations

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


_decoder = msgspec.msgpack.Decoder(list[_WireCrash])


class CrashNews:
    """The crashes that this router has seen, published as one row."""

    def __init__(self, board: Board):
        self._board = board
        self._reports: list[CrashReport] = []

    def add(self, report: CrashReport, *, now: Seconds) -> None:
        """Publish one more crash."""
        kept = [r for r in self._reports if now - r.at_s < KEPT_S][-KEPT:]
        self._reports = [*kept, report]
        wire = [
            _WireCrash(r.fingerprint, r.upstream, now - r.at_s) for r in self._reports
        ]
        self._board.publish(CRASHES_TOPIC, msgspec.msgpack.encode(wire), now=now)


def read_crashes(payload: bytes, *, now: Seconds) -> list[CrashReport]:
    """Return the reports of a row, by the clock of this router."""
    return [
        CrashReport(crash.fingerprint, crash.upstream, now - crash.age_s)
        for crash in _decoder.decode(payload)
    ]
