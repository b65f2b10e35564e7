"""Leases with fencing tokens, safe for holders whose process is paused.

The holder measures its lease on its own monotonic clock, from before it sent the
request, so it stops relying on the lease before the service lets it expire.  An
operation on an upstream that does not check fencing tokens is only started if it will
have ended before the lease does.
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

LEASE_TTL_S = 10.0
EXPIRY_MARGIN_S = 1.0  # unused end of a lease, for clock drift and process pauses


class LeaseLost(Exception):
    """The lease is not held for long enough for the intended operation."""


@dataclass(frozen=True, slots=True)
class HeldLease:
    """A lease that this process holds.

    Attributes
    ----------
    lease_id : int
        Id of the lease in the key-value service.
    fence : int
        Fencing token, higher than that of each earlier holder; it is the revision at
        which the key was created.
    valid_until_s : float
        Time on the holder's clock, in seconds, after which it must not rely on the
        lease.
    """

    lease_id: int
    fence: Revision
    valid_until_s: Seconds

    def allows(self, duration_s: Seconds, now: Seconds) -> bool:
        """Return whether an operation of this duration ends within the lease."""
        return now + duration_s <= self.valid_until_s


class LeaseHolder:
    """Acquires, renews and releases the lease on one key.

    Parameters
    ----------
    kv : KeyValue
        The service that grants the lease.
    key : str
        The leased key, which the holder creates and binds to its lease.
    name : str
        Name of the holder; must be unique to this process and its start.
    clock : Callable
        Monotonic time in seconds.
    ttl_s : float
        Duration of the lease, in seconds.
    margin_s : float
        Time at the end of the lease that is left unused, in seconds.

    Attributes
    ----------
    held : HeldLease or None
        The lease as of the last call; it may have expired since.

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
        ttl_s: Seconds = LEASE_TTL_S,
        margin_s: Seconds = EXPIRY_MARGIN_S,
    ):
        self._kv = kv
        self._key = key
        self._name = name
        self._clock = clock
        self._ttl_s = ttl_s
        self._margin_s = margin_s
        self.held: HeldLease | None = None

    async def acquire(self) -> HeldLease | None:
        """Acquire the lease if nobody holds it.

        Returns
        -------
        HeldLease or None
            The lease, or None if another process holds it.

        Raises
        ------
        Unavailable
            The service gave no answer; this process must not rely on the lease.
        """
        requested_s = self._clock()
        self.held = None
        try:
            lease_id = await self._kv.grant(self._ttl_s)
            fence = await self._claim(lease_id)
        except OutcomeUnknown as exc:
            raise Unavailable(f"no answer to the claim of lease {self._key}") from exc
        if fence is None:
            return None
        self.held = HeldLease(
            lease_id, fence, requested_s + self._ttl_s - self._margin_s
        )
        return self.held

    async def renew(self) -> HeldLease | None:
        """Renew the lease; return None if it has expired or is not held.

        If the service gives no answer, the lease ends when it would have before.
        """
        held = self.held
        if held is None:
            return None
        requested_s = self._clock()
        try:
            ttl_s = await self._kv.keep_alive(held.lease_id)
        except KeyValueError:
            return self.held if requested_s < held.valid_until_s else None
        if self.held is not held:  # given up during the call
            return self.held
        if ttl_s <= 0:
            self.held = None
            return None
        valid_until_s = requested_s + min(ttl_s, self._ttl_s) - self._margin_s
        self.held = HeldLease(held.lease_id, held.fence, valid_until_s)
        return self.held

    async def release(self) -> None:
        """Revoke the lease; if the service fails, it expires by itself."""
        held, self.held = self.held, None
        if held is None:
            return
        try:
            await self._kv.revoke(held.lease_id)
        except KeyValueError:
            return

    @contextmanager
    def while_held(self, *, duration_s: Seconds) -> Iterator[Revision]:
        """Yield the fencing token for an operation that ends within a time in seconds.

        Raises
        ------
        LeaseLost
            The lease has expired or would expire during the operation.
        """
        now = self._clock()
        if self.held is None or not self.held.allows(duration_s, now):
            raise LeaseLost(
                f"lease {self._key} is not held for another {duration_s:g} s"
            )
        yield self.held.fence

    async def _claim(self, lease_id: int) -> Revision | None:
        claim = Put(self._key, self._name.encode(), lease_id)
        try:
            outcome = await self._kv.txn([Expect(self._key, 0)], [claim])
        except OutcomeUnknown:
            return await self._read_back_claim(lease_id)
        return outcome.revision if outcome.succeeded else None

    async def _read_back_claim(self, lease_id: int) -> Revision | None:
        """Return the fencing token of a claim of unknown outcome, None if it failed."""
        entry = await self._kv.get(self._key)
        if entry is not None and entry.lease == lease_id:
            return entry.revision
        return None
