"""Which router holds a duty: a lease in the key-value service, claimed in turn."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Collection, Mapping

from shallotpoint.coordination.kv import Entry, KeyValue, KeyValueError
from shallotpoint.coordination.lease import LeaseHolder
from shallotpoint.coordination.overlay import rank
from shallotpoint.duties.calls import Duty, HeldDuty
from shallotpoint.types import Clock, Revision, Seconds

LEASE_TTL_S = 5.0  # a lost holder is replaced within half of the time for a report
LEASE_MARGIN_S = 0.5
RENEW_INTERVAL_S = 1.5  # three attempts within one lease
STEP_INTERVAL_S = 0.5
CLAIM_STAGGER_S = 0.5  # between the claims of two candidates, so that few collide

_log = logging.getLogger("shallotpoint.router")


class DutyHolder:
    """Acquires and renews one duty for this router.

    All routers follow the keys of the duties, so a key that is missing is seen without
    a call.  The candidates then claim it one after the other.  A router that lost the
    duty does not claim it again for a time, so that no holder acts before and after
    another one within the deployment's bound.

    Parameters
    ----------
    key : str
        Key of the duty, under the prefix that all routers follow.
    router : str
        Name of this router.
    process_name : str
        Unique to this process; the value of the key.
    routers : Callable
        Returns the names of the listed routers.
    is_informed : Callable
        Returns whether the followed keys were read at least once.
    lease_s : float
        A router that lost the duty acts again no earlier than this, in seconds.
    clock : Callable
        Time in seconds that advances while the host is suspended.
    """

    def __init__(
        self,
        duty: Duty,
        kv: KeyValue,
        *,
        key: str,
        router: str,
        process_name: str,
        routers: Callable[[], Collection[str]],
        is_informed: Callable[[], bool],
        lease_s: Seconds,
        clock: Clock,
        rng: random.Random,
    ):
        self.duty = duty
        self.key = key
        self._kv = kv
        self._router = router
        self._process_name = process_name
        self._routers = routers
        self._is_informed = is_informed
        self._lease_s = lease_s
        self._clock = clock
        self._rng = rng
        self._lease = LeaseHolder(
            kv,
            key,
            process_name,
            clock=clock,
            ttl_s=LEASE_TTL_S,
            margin_s=LEASE_MARGIN_S,
        )
        self._listed_process: str | None = None
        self._missing_since_s: Seconds | None = None
        self._barred_until_s: Seconds = 0.0
        self._renewed_s: Seconds = 0.0
        self._is_released = False

    def held(self, now: Seconds) -> HeldDuty | None:
        """Return the duty if this router certainly holds it now, else None."""
        held = self._lease.held
        if held is None or now >= held.valid_until_s:
            return None
        return HeldDuty(self.duty, held.fence, held.valid_until_s)

    def update_entries(self, entries: Mapping[str, Entry]) -> None:
        """Take over the followed keys after a change."""
        entry = entries.get(self.key)
        self._listed_process = None
        if entry is None:
            return
        self._listed_process = entry.value.decode(errors="replace")
        held = self._lease.held
        if held is not None and entry.revision > held.fence:
            self._lease.held = None
            self._lost(f"{self._listed_process} holds it", self._clock())

    def report_refused(self, fence: Revision, now: Seconds) -> None:
        """Give up the duty as a call was refused because of a higher fencing token."""
        held = self._lease.held
        if held is None or held.fence != fence:
            return
        self._lease.held = None
        self._lost("a higher fencing token was seen", now)

    async def is_confirmed(self, fence: Revision) -> bool:
        """Return whether the service says that this router still holds the duty.

        Raises
        ------
        KeyValueError
            The service gave no answer.
        """
        entry = await self._kv.get(self.key)
        return entry is not None and entry.revision == fence

    async def run(self) -> None:
        """Claim the duty when nobody holds it and renew it, until cancelled."""
        while True:
            await self.step(self._clock())
            await asyncio.sleep(STEP_INTERVAL_S * self._rng.uniform(0.8, 1.0))

    async def step(self, now: Seconds) -> None:
        """Renew the duty or claim it, if either is due."""
        if self._is_released:
            return
        if self._lease.held is not None:
            self._missing_since_s = None
            if now - self._renewed_s >= RENEW_INTERVAL_S:
                await self._renew(now)
        elif self._may_claim(now):
            await self._claim(now)

    async def release(self) -> None:
        """Give up the duty at a planned stop; this router does not claim it again."""
        self._is_released = True
        if self._lease.held is not None:
            _log.info("duty released", extra={"duty": str(self.duty)})
        await self._lease.release()

    def _may_claim(self, now: Seconds) -> bool:
        """Return whether the duty has been missing until this router's turn."""
        if not self._is_informed() or self._listed_process is not None:
            self._missing_since_s = None
            return False
        if self._missing_since_s is None:
            self._missing_since_s = now
        order = rank({*self._routers(), self._router}, self.key)
        turn_s = self._missing_since_s + order.index(self._router) * CLAIM_STAGGER_S
        return now >= max(turn_s, self._barred_until_s)

    async def _claim(self, now: Seconds) -> None:
        self._missing_since_s = None
        try:
            held = await self._lease.acquire()
        except KeyValueError as exc:
            _log.info(
                "duty not claimed",
                extra={"duty": str(self.duty), "reason": str(exc)},
            )
            return
        if self._is_released:
            await self._lease.release()
        elif held is not None:
            self._renewed_s = now
            _log.info(
                "duty acquired", extra={"duty": str(self.duty), "fence": held.fence}
            )

    async def _renew(self, now: Seconds) -> None:
        self._renewed_s = now
        await self._lease.renew()
        if self._lease.held is None:
            self._lost("the lease has expired", self._clock())

    def _lost(self, reason: str, now: Seconds) -> None:
        self._barred_until_s = now + LEASE_TTL_S + self._lease_s
        _log.warning("duty lost", extra={"duty": str(self.duty), "reason": reason})
