"""Issues the permits of rate-limited upstreams to all routers, under leases.

Each upstream's permits are issued by one router, which holds a lease on the upstream.
A router that is asked for permits which no router issues tries to acquire that lease
and becomes the issuer.
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
from shallotpoint.coordination.permits import MIN_RATE_PER_S, PermitBucket, PermitGrant
from shallotpoint.policy.crash_reports import Incarnation
from shallotpoint.tasks import Tasks
from shallotpoint.types import Clock, Seconds

LEASE_TTL_S = 5.0  # upper bound on the time an upstream idles after its issuer is lost
LEASE_MARGIN_S = 0.5
RENEW_INTERVAL_S = 1.5  # three attempts within one lease
REMOVED_LIMIT_REPORT_S = 5.0  # an issuer reports the removal of a limit for this time
RETRY_INTERVAL_S = 0.25
# A requester pauses for this time while the lease is acquired, which takes less time.
ACQUIRE_WAIT_S = 0.05

NonNegativeFloat = Annotated[float, msgspec.Meta(ge=0)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]

_log = logging.getLogger("shallotpoint.router")


class LimitReport(msgspec.Struct, frozen=True, array_like=True):
    """The rate limit that an upstream advertised in one response.

    Attributes
    ----------
    limit_per_s : float
        Requests per second; infinite if the response advertised no limit.
    granted_at_s : float
        When the permit that the request was sent with was granted, by the issuer's
        clock; minus infinity without a permit.
    fence : int
        Fencing token of the lease under which that permit was issued.
    """

    limit_per_s: NonNegativeFloat
    granted_at_s: Seconds = -math.inf
    fence: int = 0


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Requests permits, reports an advertised limit, or both.

    Attributes
    ----------
    requester : str
        The router that sends this message.
    limit_per_s : float
        The limit known to that router, in requests per second.
    counts_by_tier : dict
        Number of requests that it would send to the upstream now.
    report : LimitReport, optional
        A limit that the upstream advertised to it.
    unreachable_holder : str
        The lease holder according to the last known lease entries, if it did not
        respond.
    """

    requester: str
    upstream: str
    started_ms: int
    limit_per_s: NonNegativeFloat
    counts_by_tier: dict[int, NonNegativeInt]
    report: LimitReport | None = None
    unreachable_holder: str = ""

    @property
    def incarnation(self) -> Incarnation:
        """The incarnation of the upstream that the message concerns."""
        return Incarnation(self.upstream, self.started_ms)


class ReplyCode(IntEnum):
    """Whether the replying router issues an upstream's permits."""

    GRANTED = 0  # it issues them, though none may be available now
    # It is acquiring the lease, or the lease of a lost issuer has not expired yet.
    RETRY_LATER = 1
    OTHER_ROUTER = 2  # another router issues them
    # It cannot issue them, as it is stopping or does not hold the lease.
    NOT_ISSUING = 3


class PermitReply(msgspec.Struct, frozen=True, array_like=True):
    """The reply to a :class:`PermitRequest`.

    Attributes
    ----------
    router : str
        The issuer, if it is another router.
    fence : int
        Fencing token of the lease under which the permits were issued.
    permits : int
        Number of requests that the receiver may send.
    granted_at_s : float
        When the permits were granted, by the issuer's clock.
    next_request_in_s : float
        Time to wait before the next request for permits, in seconds.
    queued : dict
        Requests of all routers that wait for a permit, by tier.
    available : float
        Permits that are available but not yet granted.
    issued_per_s : float
        Permits issued per second.
    limit_per_s : float
        The upstream's limit in requests per second; infinite if it was removed.
    """

    code: ReplyCode
    router: str = ""
    fence: int = 0
    permits: NonNegativeInt = 0
    granted_at_s: Seconds = 0.0
    next_request_in_s: NonNegativeFloat = RETRY_INTERVAL_S
    queued: dict[int, NonNegativeInt] = msgspec.field(default_factory=dict)
    available: float = 0.0
    issued_per_s: NonNegativeFloat = 0.0
    limit_per_s: NonNegativeFloat = 0.0


NOT_ISSUING_REPLY = PermitReply(ReplyCode.NOT_ISSUING)
RETRY_LATER_REPLY = PermitReply(ReplyCode.RETRY_LATER, next_request_in_s=ACQUIRE_WAIT_S)


@dataclass(slots=True)
class _Issuance:
    """State of one upstream whose permits this router issues, or prepares to issue.

    Attributes
    ----------
    holder : LeaseHolder
        Acquires and renews the lease on the upstream.
    bucket : PermitBucket
        Accounts for the permits.
    code : ReplyCode
        ``GRANTED`` once the lease has been acquired; until then, the code with which
        requests for permits are answered.
    limit_removed_at_s : float or None
        When the upstream's limit was removed, None while it has one.
    """

    holder: LeaseHolder
    bucket: PermitBucket
    code: ReplyCode = ReplyCode.RETRY_LATER
    limit_removed_at_s: Seconds | None = None


class PermitIssuer:
    """Answers requests for permits, from this router and from its peers.

    Parameters
    ----------
    prefix : str
        Key prefix of the leases in the key-value service.
    name : str
        Name of this router.
    process_name : str
        Name of this process, different at each start of the router.
    clock : Callable
        Time in seconds, also counting the time while the host is suspended.
    find_holder : Callable
        Returns the router that holds an upstream's lease, None if unknown.
    is_listed : Callable
        Returns whether an upstream's incarnation is the one in the list of hosts.
    """

    def __init__(
        self,
        kv: KeyValue,
        *,
        prefix: str,
        name: str,
        process_name: str,
        clock: Clock,
        find_holder: Callable[[Incarnation], str | None],
        is_listed: Callable[[Incarnation], bool],
    ):
        self._kv = kv
        self._prefix = prefix
        self._name = name
        self._process_name = process_name
        self._clock = clock
        self._find_holder = find_holder
        self._is_listed = is_listed
        self._issuances: dict[Incarnation, _Issuance] = {}
        self._tasks = Tasks()
        self.stopping = False

    async def close(self) -> None:
        """Cancel all background tasks."""
        await self._tasks.stop()

    async def release_leases(self) -> None:
        """Stop issuing permits and release all leases.

        Another router can then acquire them without waiting for their expiry.
        """
        self.stopping = True
        issuances, self._issuances = self._issuances, {}
        await asyncio.gather(
            *(issuance.holder.release() for issuance in issuances.values())
        )

    def is_issuing(self, now: Seconds) -> bool:
        """Return whether this router issues the permits of any upstream."""
        leases = (issuance.holder.held for issuance in self._issuances.values())
        return any(lease is not None and lease.allows(0.0, now) for lease in leases)

    def handle(self, request: PermitRequest) -> PermitReply:
        """Return the reply to a message, granting permits if this is the issuer.

        Without a known issuer, this router starts to acquire the lease.
        """
        if self.stopping:
            return NOT_ISSUING_REPLY
        issuance = self._issuances.get(request.incarnation)
        if issuance is None:
            holder = self._find_holder(request.incarnation)
            # Lease entries may be outdated; only an attempt to acquire the lease
            # shows whether it has expired.
            if holder not in (None, self._name, request.unreachable_holder):
                return PermitReply(ReplyCode.OTHER_ROUTER, holder)
            issuance = self._start_issuing(request)
        now = self._clock()
        if issuance.code is not ReplyCode.GRANTED:
            issuance.bucket = PermitBucket(request.limit_per_s, now)
            return (
                NOT_ISSUING_REPLY
                if issuance.code is ReplyCode.NOT_ISSUING
                else RETRY_LATER_REPLY
            )
        lease = issuance.holder.held
        if lease is None or not lease.allows(0.0, now):
            return NOT_ISSUING_REPLY
        if request.report is not None:
            _apply_report(issuance.bucket, request.report, lease.fence, now)
        if not math.isinf(issuance.bucket.per_s):
            issuance.limit_removed_at_s = None
        elif issuance.limit_removed_at_s is None:
            issuance.limit_removed_at_s = now
        grant = issuance.bucket.grant_permits(
            request.requester, request.counts_by_tier, now
        )
        return _granted_reply(grant, lease.fence)

    def _start_issuing(self, request: PermitRequest) -> _Issuance:
        """Start a task that acquires an upstream's lease and issues its permits."""
        incarnation = request.incarnation
        holder = LeaseHolder(
            self._kv,
            f"{self._prefix}{incarnation.upstream}/{incarnation.started_ms}",
            self._process_name,
            clock=self._clock,
            ttl_s=LEASE_TTL_S,
            margin_s=LEASE_MARGIN_S,
        )
        bucket = PermitBucket(request.limit_per_s, self._clock())
        issuance = self._issuances[incarnation] = _Issuance(holder, bucket)
        self._tasks.start(
            f"permits of {incarnation}", self._issue(incarnation, issuance)
        )
        return issuance

    async def _issue(self, incarnation: Incarnation, issuance: _Issuance) -> None:
        """Hold the lease while it is needed; drop the state when it has ended."""
        try:
            if await self._acquire_lease(incarnation.upstream, issuance):
                await self._renew_lease(incarnation, issuance)
            else:
                await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            if self._issuances.get(incarnation) is issuance:
                del self._issuances[incarnation]

    async def _acquire_lease(self, upstream: str, issuance: _Issuance) -> bool:
        """Acquire the lease and empty the bucket; return whether it was acquired."""
        try:
            lease = await issuance.holder.acquire()
        except KeyValueError as exc:
            issuance.code = ReplyCode.NOT_ISSUING
            _log.info(
                "permits not kept", extra={"upstream": upstream, "reason": str(exc)}
            )
            return False
        if lease is None:
            return False
        issuance.bucket = PermitBucket(issuance.bucket.per_s, self._clock())
        issuance.code = ReplyCode.GRANTED
        _log.info("permits kept here", extra={"upstream": upstream})
        return True

    async def _renew_lease(self, incarnation: Incarnation, issuance: _Issuance) -> None:
        """Renew the lease until it is lost or not needed any more."""
        while not self._is_unneeded(incarnation, issuance):
            await asyncio.sleep(RENEW_INTERVAL_S)
            if await issuance.holder.renew() is None:
                _log.warning("permits lost", extra={"upstream": incarnation.upstream})
                return
        await issuance.holder.release()

    def _is_unneeded(self, incarnation: Incarnation, issuance: _Issuance) -> bool:
        """Return whether the upstream is unlisted or has had no limit for a while."""
        if not self._is_listed(incarnation):
            return True
        limit_removed_s = issuance.limit_removed_at_s
        return (
            limit_removed_s is not None
            and self._clock() - limit_removed_s > REMOVED_LIMIT_REPORT_S
        )


def _apply_report(
    bucket: PermitBucket, report: LimitReport, fence: int, now: Seconds
) -> None:
    """Apply an advertised limit; no limit counts only for permits of this lease."""
    if not math.isinf(report.limit_per_s):
        bucket.apply_limit(report.limit_per_s, now)
    elif report.fence == fence:
        bucket.apply_no_limit(report.granted_at_s, now)


def _granted_reply(grant: PermitGrant, fence: int) -> PermitReply:
    """Return a reply with the figures of a grant."""
    return PermitReply(
        ReplyCode.GRANTED,
        fence=fence,
        permits=grant.permits,
        granted_at_s=grant.granted_at_s,
        next_request_in_s=grant.retry_after_s,
        queued=dict(grant.queued),
        available=grant.available,
        issued_per_s=max(MIN_RATE_PER_S, grant.per_s),
        limit_per_s=grant.per_s,
    )
