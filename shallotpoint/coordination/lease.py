"""Leases with fencing numbers, safe for holders that are paused.

The holder counts its lease from before it asked for it and by its own
monotonic clock, so it believes in the lease for a shorter time than the
service does.  An order that the upstream does not fence is only started if it
will have ended inside the lease.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from shallotpoint.coordination.kv import (
    Expect,
    KeyValue,
    KeyValueError,
    OutcomeUnknown,
    Put,
    Unavailable,
)
from shallotpoint.types import Clock, Revision, Seconds

TTL_S = 10.0
MARGIN_S = 1.0  # kept free at the end of a lease for clock drift and pauses


class LeaseLost(Exception):
    """The lease does not last long enough for the intended act."""


@dataclass(frozen=True, slots=True)
class Held:
    """A lease that this process holds.

    Attributes
    ----------
    fence : int
        Number that is higher than that of each earlier holder.
    until_s : float
        Time on the holder's clock after which it must not act.
    """

    lease: int
    fence: Revision
    until_s: Seconds

    def allows(self, takes_s: Seconds, now: Seconds) -> bool:
        """Return whether an act of this length ends inside the lease."""
        return now + takes_s <= self.until_s


class LeaseHolder:
    """Tries to hold the lease on one key.

    Parameters
    ----------
    kv : KeyValue
        The service that arbitrates.
    key : str
        What is leased.
    name : str
        Who asks; must be unique to this process and its start.
    clock : Callable
        Monotonic time in seconds.
    ttl_s, margin_s : float
        Length of the lease and the part of it that is left unused, in seconds.

    Examples
    --------
    >>> import asyncio, random
    >>> from shallotpoint.coordination.memory_kv import MemoryKeyValue
    >>> kv = MemoryKeyValue(clock=lambda: 0.0, rng=random.Random(1))
    >>> one, two = (
    ...     LeaseHolder(kv, "orders", name, clock=lambda: 0.0) for name in "ab"
    ... )
    >>> asyncio.run(one.acquire()) is not None, asyncio.run(two.acquire()) is None
    (True, True)
    """

    def __init__(
        self,
        kv: KeyValue,
        key: str,
        name: str,
        *,
        clock: Clock,
        ttl_s: Seconds = TTL_S,
        margin_s: Seconds = MARGIN_S,
    ):
        self._kv = kv
        self._key = key
        self._name = name
        self._clock = clock
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self.held: Held | None = None

    async def acquire(self) -> Held | None:
        """Take the lease if it is free; return what is held, else None.

        Raises
        ------
        Unavailable
            The service cannot be reached; nothing is held.
        """
        asked_s = self._clock()
        self.held = None
        try:
            lease = await self._kv.grant(self._ttl_s)
            fence = await self._claim(lease)
        except OutcomeUnknown as exc:
            raise Unavailable(f"the claim of {self._key} got no answer") from exc
        if fence is None:
            return None
        self.held = Held(lease, fence, asked_s + self._ttl_s - self._margin_s)
        return self.held

    async def renew(self) -> Held | None:
        """Extend the lease; return None if it has lapsed.

        A renewal without an answer keeps the old end.
        """
        if self.held is None:
            return None
        asked_s = self._clock()
        try:
            ttl_s = await self._kv.keep_alive(self.held.lease)
        except KeyValueError:
            return self.held if asked_s < self.held.until_s else None
        if ttl_s <= 0:
            self.held = None
            return None
        until_s = asked_s + min(ttl_s, self._ttl_s) - self._margin_s
        self.held = Held(self.held.lease, self.held.fence, until_s)
        return self.held

    async def release(self) -> None:
        """Give the lease up; errors leave it to lapse."""
        held, self.held = self.held, None
        if held is None:
            return
        try:
            await self._kv.revoke(held.lease)
        except KeyValueError:
            return

    @contextmanager
    def acting(self, *, takes_s: Seconds) -> Iterator[Revision]:
        """Yield the fence for an act that ends within ``takes_s`` seconds.

        Raises
        ------
        LeaseLost
            The lease has lapsed or would lapse during the act.
        """
        now = self._clock()
        if self.held is None or not self.held.allows(takes_s, now):
            raise LeaseLost(f"{self._key} is not held for {takes_s:g} s more")
        yield self.held.fence

    async def _claim(self, lease: int) -> Revision | None:
        claim = Put(self._key, self._name.encode(), lease)
        try:
            outcome = await self._kv.txn([Expect(self._key, 0)], [claim])
        except OutcomeUnknown:
            return await self._claimed(lease)
        return outcome.revision if outcome.succeeded else None

    async def _claimed(self, lease: int) -> Revision | None:
        """Read back whether a claim without an answer took effect."""
        entry = await self._kv.get(self._key)
        if entry is not None and entry.lease == lease:
            return entry.revision
        return None
