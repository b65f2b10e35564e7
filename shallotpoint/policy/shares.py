"""Guaranteed shares: how far each class is below its share of the slots."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from shallotpoint.policy.model import ServiceClass
from shallotpoint.types import Seconds

WINDOW_S = 10.0  # period over which a waiting class gets its share


class ShareLedger:
    """Counts by how many slot-seconds each class is below its guaranteed share.

    The deficit of a class with queued requests grows by its share of all slots and
    falls by the slots that it uses.  Without queued requests a deficit is dropped and
    a surplus shrinks to zero.  Both are bounded by the share over one window.
    """

    def __init__(self) -> None:
        self._deficits: dict[str, float] = {}
        self._updated_s: Seconds | None = None

    def update(
        self,
        classes: Iterable[ServiceClass],
        running: Mapping[str, int],
        waiting: Mapping[str, int],
        slots: int,
        now: Seconds,
    ) -> None:
        """Bring all deficits up to ``now``.

        Parameters
        ----------
        running, waiting : mapping
            Requests by class; taken as constant since the previous update.
        slots : int
            Slots of the pool, likewise.
        """
        last_s = now if self._updated_s is None else self._updated_s
        elapsed_s = now - last_s
        self._updated_s = now
        if elapsed_s <= 0:
            return
        for cls in classes:
            if cls.share > 0:
                self._update_class(cls, running, waiting, slots, elapsed_s)

    def deficit_slot_s(self, name: str) -> float:
        """Return the deficit of a class in slot-seconds; negative for a surplus."""
        return self._deficits.get(name, 0.0)

    def _update_class(self, cls, running, waiting, slots, elapsed_s) -> None:
        share_slot_s = cls.share * slots * elapsed_s
        used_slot_s = running.get(cls.name, 0) * elapsed_s
        deficit = self._deficits.get(cls.name, 0.0)
        if waiting.get(cls.name):
            deficit += share_slot_s - used_slot_s
        else:
            deficit = min(deficit, 0.0) + min(share_slot_s, -min(deficit, 0.0))
        bound = cls.share * slots * WINDOW_S
        self._deficits[cls.name] = max(-bound, min(bound, deficit))
