"""Guaranteed shares: which classes have had less than they were promised."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from shallotpoint.policy.model import ServiceClass
from shallotpoint.types import Seconds

WINDOW_S = 10.0  # the share of a waiting class is kept over this span


class ShareLedger:
    """Counts the slot-seconds that each waiting class is owed.

    A class that waits earns its share of all slots and pays for the slots that
    it holds.  The balance is bounded both ways by the earnings of one window.
    """

    def __init__(self) -> None:
        self._owed: dict[str, float] = {}
        self._updated_s: Seconds | None = None

    def update(
        self,
        classes: Iterable[ServiceClass],
        running: Mapping[str, int],
        waiting: Mapping[str, int],
        slots: int,
        now: Seconds,
    ) -> None:
        """Bring all balances up to ``now``; slots and counts held since then."""
        last_s = now if self._updated_s is None else self._updated_s
        elapsed_s = now - last_s
        self._updated_s = now
        if elapsed_s <= 0:
            return
        for cls in classes:
            if cls.share > 0:
                self._update_class(cls, running, waiting, slots, elapsed_s)

    def owed(self, name: str) -> float:
        """Return the slot-seconds that a class is owed; at most zero if none."""
        return self._owed.get(name, 0.0)

    def _update_class(self, cls, running, waiting, slots, elapsed_s) -> None:
        earned = cls.share * slots * elapsed_s
        held = running.get(cls.name, 0) * elapsed_s
        balance = self._owed.get(cls.name, 0.0)
        if waiting.get(cls.name):
            balance += earned - held
        else:
            balance = min(balance, 0.0) + min(earned, -min(balance, 0.0))
        bound = cls.share * slots * WINDOW_S
        self._owed[cls.name] = max(-bound, min(bound, balance))
