"""Hands out the permits of limited upstreams to all routers, under leases.

A router that is asked for permits which nobody hands out takes the lease of that
upstream and begins to.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import IntEnum
from typing import Annotated

import msgspec

from shallotpoint.coordination.kv import KeyValue, KeyValueError
from shallotpoint.coordination.lease import LeaseHolder
from shallotpoint.coordination.permits import LEAST_PER_S, Grant, PermitBook
from shallotpoint.policy.poison import Incarnation
from shallotpoint.tasks import Tasks
from shallotpoint.types import Clock, Seconds

LEASE_S = 5.0  # a keeper that is gone leaves an upstream idle for no longer
LEASE_MARGIN_S = 0.5
RENEW_S = 1.5  # three chances before the lease ends
LIFTED_S = 5.0  # a keeper tells so long that a limit has ended
RETRY_S = 0.25
LATER_S = 0.05  # a lease is had by then

Amount = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=0)]

_log = logging.getLogger("shallotpoint.router")


class Named(msgspec.Struct, frozen=True, array_like=True):
    """What an answer named; infinite for no limit.

    ``granted_s`` and ``lease`` are of the permit of the request, if it had one.
    """

    per_s: Amount
    granted_s: Seconds = -math.inf
    lease: int = 0


class Question(msgspec.Struct, frozen=True, array_like=True):
    """Asks for permits, tells what was heard, or both.

    Attributes
    ----------
    per_s : float
        The limit as the member knows it.
    counts : dict
        Requests that would go to the upstream now, by tier.
    unreached : str
        The router that holds the lease by the last entries but gave no answer.
    """

    member: str
    upstream: str
    started_ms: int
    per_s: Amount
    counts: dict[int, Count]
    named: Named | None = None
    unreached: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """The start of the upstream that is asked for."""
        return Incarnation(self.upstream, self.started_ms)


class Code(IntEnum):
    """What a reply says of its router."""

    GRANTED = 0  # it hands out the permits, now perhaps none
    LATER = 1  # it, or one that is gone, is about to or was until lately
    ELSEWHERE = 2  # another router does
    UNABLE = 3


class Reply(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a question; for the figures see :class:`Grant`.

    Attributes
    ----------
    router : str
        Who hands out the permits, if it is another one.
    lease : int
        Number of the lease under which they are handed out.
    """

    code: Code
    router: str = ""
    lease: int = 0
    permits: Count = 0
    granted_s: Seconds = 0.0
    again_s: Amount = RETRY_S
    queued: dict[int, Count] = msgspec.field(default_factory=dict)
    saved: float = 0.0
    rate_per_s: Amount = 0.0
    per_s: Amount = 0.0


UNABLE = Reply(Code.UNABLE)
LATER = Reply(Code.LATER, again_s=LATER_S)


@dataclass(slots=True)
class _Kept:
    """An upstream whose permits this router hands out while it holds the lease.

    Attributes
    ----------
    code : Code
        What questions are answered with.
    lifted_s : float or None
        Since when the upstream names no limit.
    """

    holder: LeaseHolder
    book: PermitBook
    code: Code = Code.LATER
    lifted_s: Seconds | None = None


class PermitKeeper:
    """Answers questions for permits.

    Parameters
    ----------
    prefix : str
        Where leases are.
    name, process : str
        This router, and a name that no other start of it has.
    clock : Callable
        Time in seconds that goes on while the host is suspended.
    holder_of : Callable
        Returns the router that holds an upstream's lease, as far as is known.
    is_listed : Callable
        Returns whether an upstream's start is the listed one.
    """

    def __init__(
        self,
        kv: KeyValue,
        *,
        prefix: str,
        name: str,
        process: str,
        clock: Clock,
        holder_of: Callable[[Incarnation], str | None],
        is_listed: Callable[[Incarnation], bool],
    ):
        self._kv = kv
        self._prefix = prefix
        self._name = name
        self._process = process
        self._clock = clock
        self._holder_of = holder_of
        self._is_listed = is_listed
        self._kept: dict[Incarnation, _Kept] = {}
        self._tasks = Tasks()
        self.stopping = False

    async def close(self) -> None:
        """End all that runs."""
        await self._tasks.stop()

    async def leave(self) -> None:
        """Hand out no more permits, so that another router may at once."""
        self.stopping = True
        kept, self._kept = self._kept, {}
        await asyncio.gather(*(each.holder.release() for each in kept.values()))

    def holds(self, now: Seconds) -> bool:
        """Return whether this router hands out permits of any upstream."""
        held = (kept.holder.held for kept in self._kept.values())
        return any(lease is not None and lease.allows(0.0, now) for lease in held)

    def reply(self, question: Question) -> Reply:
        """Answer one question."""
        if self.stopping:
            return UNABLE
        kept = self._kept.get(question.incarnation)
        if kept is None:
            router = self._holder_of(question.incarnation)
            # Entries may be late: whether a lease has lapsed, a try to take it shows.
            if router not in (None, self._name, question.unreached):
                return Reply(Code.ELSEWHERE, router)
            kept = self._keep(question)
        now = self._clock()
        if kept.code is not Code.GRANTED:
            kept.book = PermitBook(question.per_s, now)
            return UNABLE if kept.code is Code.UNABLE else LATER
        held = kept.holder.held
        if held is None or not held.allows(0.0, now):
            return UNABLE
        if question.named is not None:
            _take_named(kept.book, question.named, held.fence, now)
        if not math.isinf(kept.book.per_s):
            kept.lifted_s = None
        elif kept.lifted_s is None:
            kept.lifted_s = now
        grant = kept.book.ask(question.member, question.counts, now)
        return _granted(grant, held.fence)

    def _keep(self, question: Question) -> _Kept:
        """Begin to take the lease on an upstream's permits."""
        incarnation = question.incarnation
        holder = LeaseHolder(
            self._kv,
            f"{self._prefix}{incarnation.upstream}/{incarnation.started_ms}",
            self._process,
            clock=self._clock,
            ttl_s=LEASE_S,
            margin_s=LEASE_MARGIN_S,
        )
        book = PermitBook(question.per_s, self._clock())
        kept = self._kept[incarnation] = _Kept(holder, book)
        self._tasks.start(f"permits of {incarnation}", self._hold(incarnation, kept))
        return kept

    async def _hold(self, incarnation: Incarnation, kept: _Kept) -> None:
        try:
            if await self._acquired(incarnation.upstream, kept):
                await self._renewing(incarnation, kept)
            else:
                await asyncio.sleep(RETRY_S)
        finally:
            if self._kept.get(incarnation) is kept:
                del self._kept[incarnation]

    async def _acquired(self, upstream: str, kept: _Kept) -> bool:
        try:
            held = await kept.holder.acquire()
        except KeyValueError as exc:
            kept.code = Code.UNABLE
            _log.info(
                "permits not kept", extra={"upstream": upstream, "reason": str(exc)}
            )
            return False
        if held is None:
            return False
        kept.book = PermitBook(kept.book.per_s, self._clock())
        kept.code = Code.GRANTED
        _log.info("permits kept here", extra={"upstream": upstream})
        return True

    async def _renewing(self, incarnation: Incarnation, kept: _Kept) -> None:
        while not self._is_needless(incarnation, kept):
            await asyncio.sleep(RENEW_S)
            if await kept.holder.renew() is None:
                _log.warning("permits lost", extra={"upstream": incarnation.upstream})
                return
        await kept.holder.release()

    def _is_needless(self, incarnation: Incarnation, kept: _Kept) -> bool:
        if not self._is_listed(incarnation):
            return True
        lifted_s = kept.lifted_s
        return lifted_s is not None and self._clock() - lifted_s > LIFTED_S


def _take_named(book: PermitBook, named: Named, fence: int, now: Seconds) -> None:
    if not math.isinf(named.per_s):
        book.named(named.per_s, now)
    elif named.lease == fence:
        book.named_none(named.granted_s, now)


def _granted(grant: Grant, fence: int) -> Reply:
    return Reply(
        Code.GRANTED,
        lease=fence,
        permits=grant.permits,
        granted_s=grant.granted_s,
        again_s=grant.again_s,
        queued=dict(grant.queued),
        saved=grant.saved,
        rate_per_s=max(LEAST_PER_S, grant.per_s),
        per_s=grant.per_s,
    )
