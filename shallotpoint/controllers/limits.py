"""Upstreams that named in an answer how many requests a second they take."""

from __future__ import annotations

import logging
import math

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.sections import LimitsSection, NamedLimit
from shallotpoint.types import Clock

_log = logging.getLogger("shallotpoint.router")


class LimitController:
    """Owns :class:`LimitsSection`."""

    def __init__(self, board: Blackboard, *, clock: Clock):
        self._board = board
        self._clock = clock
        self._write = board.claim(LimitsSection, "limits")

    def heard(self, upstream: str, started_ms: int, per_s: float) -> None:
        """Take an upstream's word, read from an answer that this router got.

        Parameters
        ----------
        per_s : float
            Requests a second; infinite if the answer named no limit.
        """
        known = self._board.get(LimitsSection).limits
        held = known.get(upstream)
        if math.isinf(per_s) and held is None:
            return
        if held is None or (held.per_s, held.started_ms) != (per_s, started_ms):
            _log.info(
                "upstream names no limit" if math.isinf(per_s) else "upstream limited",
                extra={
                    "upstream": upstream,
                    "started_ms": started_ms,
                    "per_s": None if math.isinf(per_s) else per_s,
                },
            )
        rest = {name: limit for name, limit in known.items() if name != upstream}
        if not math.isinf(per_s):
            rest[upstream] = NamedLimit(per_s, started_ms, self._clock())
        self._write(LimitsSection(rest))
