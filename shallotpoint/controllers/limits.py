"""Rate limits that upstreams advertise in responses, for all routers together.

A router publishes the limits that it learns in a gossip row.  The permits of a limited
upstream are issued by one router, which holds a lease in the key-value service; the
others request permits from it.  Without a reachable issuer, nothing is sent to the
upstream.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.permit_issuer import (
    LEASE_TTL_S,
    NOT_ISSUING_REPLY,
    REMOVED_LIMIT_REPORT_S,
    LimitReport,
    NonNegativeFloat,
    PermitIssuer,
    PermitReply,
    PermitRequest,
    ReplyCode,
)
from shallotpoint.controllers.sections import (
    AdvertisedLimit,
    HostsSection,
    LimitsSection,
)
from shallotpoint.coordination.entries import skipping_unreadable
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Entry, KeyValue
from shallotpoint.coordination.overlay import rank
from shallotpoint.coordination.permits import PERMIT_LIFETIME_S
from shallotpoint.coordination.transport import TransportError
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.policy.crash_reports import Incarnation, read_incarnation
from shallotpoint.policy.limits import (
    Permit,
    PermitOutlook,
    PermitsNeeded,
    UpstreamLimits,
)
from shallotpoint.tasks import Tasks
from shallotpoint.types import Clock, Seconds

LIMITS_TOPIC = "limits"
MAX_LIMITS = 200  # keeps the gossip row within one message
REQUEST_TIMEOUT_S = 0.4  # many round trips in a region; well below a permit's lifetime
AVOID_ROUTER_S = 1.0  # pause before a router that did not issue permits is asked again
# Number of routers that may become the issuer: the first ones in an order that is the
# same in all routers.
MAX_CANDIDATES = 3

_log = logging.getLogger("shallotpoint.router")


class _WireLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit in a gossip row.

    The row carries its age, as the clocks of two routers cannot be compared.
    """

    upstream: str
    started_ms: int
    requests_per_s: NonNegativeFloat
    age_s: NonNegativeFloat


_limits_decoder = msgspec.msgpack.Decoder(list[_WireLimit])
_request_decoder = msgspec.msgpack.Decoder(PermitRequest)
_reply_decoder = msgspec.msgpack.Decoder(PermitReply)
_encode = msgspec.msgpack.encode


class LimitController:
    """Owns :class:`LimitsSection`; obtains permits for the schedulers.

    It also issues the permits of those upstreams whose lease this router holds.

    Parameters
    ----------
    upstream_limits : UpstreamLimits
        The limits and permits that the schedulers of this router apply.
    prefix : str
        Key prefix of the issuers' leases in the key-value service.
    name : str
        Name of this router.
    process_name : str
        Name of this process, different at each start of the router.
    clock : Callable
        The clock of the schedulers.
    boot_clock : Callable
        Time in seconds, also counting the time while the host is suspended.
    send_request : Callable
        Sends a message to a router and returns the response, given a timeout in
        seconds; raises TransportError if there is none.
    unresponsive_routers : Callable
        Returns the routers that did not respond lately.
    notify_peers : Callable
        Called when there is a new limit that peers should learn of soon.
    on_change : Callable
        Called when requests may have got permits, or need none any more.
    """

    def __init__(
        self,
        board: Blackboard,
        gossip: Board,
        upstream_limits: UpstreamLimits,
        kv: KeyValue,
        *,
        prefix: str,
        name: str,
        process_name: str,
        clock: Clock,
        boot_clock: Clock,
        send_request: Callable[[str, bytes, Seconds], Awaitable[bytes]],
        unresponsive_routers: Callable[[], set[str]] = set,
        notify_peers: Callable[[], None] = lambda: None,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._board = board
        self._gossip = gossip
        self._upstream_limits = upstream_limits
        self._prefix = prefix
        self._name = name
        self._clock = clock
        self._boot_clock = boot_clock
        self._send_request = send_request
        self._unresponsive_routers = unresponsive_routers
        self._notify_peers = notify_peers
        self._on_change = on_change
        self._write = board.claim(LimitsSection, "limits")
        self._last_advertised_per_s: dict[str, float] = {}
        self._removed_s: dict[Incarnation, Seconds] = {}
        self._lease_holders: dict[Incarnation, str] = {}
        self._issuer_hints: dict[str, str] = {}
        self._avoided_until_s: dict[str, Seconds] = {}
        self._tasks = Tasks()
        self._issuer = PermitIssuer(
            kv,
            prefix=prefix,
            name=name,
            process_name=process_name,
            clock=boot_clock,
            find_holder=self._find_holder,
            is_listed=self._is_listed,
        )
        board.on_change(HostsSection, self._remove_replaced)

    async def close(self) -> None:
        """Cancel all background tasks."""
        await self._tasks.stop()
        await self._issuer.close()

    async def release_leases(self) -> None:
        """Stop issuing permits and release all leases.

        Another router can then acquire them without waiting for their expiry.
        """
        await self._issuer.release_leases()

    async def handle_request(self, raw: bytes) -> bytes:
        """Return the encoded reply to a peer's request for permits.

        Raises
        ------
        TransportError
            The request is malformed.
        """
        try:
            request = _request_decoder.decode(raw)
        except DECODE_ERRORS as exc:
            raise TransportError(f"malformed permit request: {exc}") from exc
        return _encode(self._issuer.handle(request))

    def expire(self) -> None:
        """Drop expired permits, including those that expired during a suspend."""
        self._upstream_limits.drop_expired(self._boot_clock())

    # Learning and publishing limits

    def record_limit(
        self, upstream: str, started_ms: int, per_s: float, permit: Permit | None = None
    ) -> None:
        """Record the limit that an upstream advertised in a response to this router.

        Parameters
        ----------
        started_ms : int
            Start of the incarnation that sent the response.
        per_s : float
            Requests per second; infinite if the response advertised no limit.
        permit : Permit, optional
            The permit that the request was sent with.
        """
        if not self._may_be_current(Incarnation(upstream, started_ms)):
            return
        current = self._board.get(LimitsSection).limits.get(upstream)
        known = current is not None and current.started_ms == started_ms
        if math.isinf(per_s):
            # A response without a limit proves nothing if its request had no permit:
            # that request was sent before the limit was known.
            if known and permit is not None:
                self._report_limit(upstream, per_s, permit)
            return
        if known and current is not None and current.requests_per_s == per_s:
            self._store_limit(
                upstream, replace(current, received_at_s=self._boot_clock())
            )
            return
        limit = AdvertisedLimit(per_s, started_ms, self._boot_clock())
        if known and self._last_advertised_per_s.get(upstream) == per_s:
            self._store_limit(upstream, limit)
        else:
            self._last_advertised_per_s[upstream] = per_s
            self._add_limit(limit, upstream, self._name)
        if not known:
            self._publish()
            self._notify_peers()
        self._report_limit(upstream, per_s, permit)

    def merge_row(self, origin: str, payload: bytes) -> None:
        """Add the limits that a peer has published in a gossip row.

        Raises
        ------
        msgspec.DecodeError
            The row is malformed.
        """
        now = self._boot_clock()
        for wire in _limits_decoder.decode(payload):
            incarnation = Incarnation(wire.upstream, wire.started_ms)
            removed_s = self._removed_s.get(incarnation, -math.inf)
            if now - wire.age_s > removed_s and self._is_new(incarnation):
                limit = AdvertisedLimit(wire.requests_per_s, wire.started_ms, -math.inf)
                self._add_limit(limit, wire.upstream, origin)

    def update_lease_entries(self, entries: Mapping[str, Entry]) -> None:
        """Update the known lease holders from entries of the key-value service.

        Entries outside the prefix of the leases are ignored.  A router that has just
        started learns from the leases which upstreams are limited.
        """
        previous, self._lease_holders = self._lease_holders, {}
        for key, entry in entries.items():
            if not key.startswith(self._prefix):
                continue
            with skipping_unreadable(key):
                incarnation = read_incarnation(key.removeprefix(self._prefix))
                self._lease_holders[incarnation] = entry.value.decode(errors="replace")
                if incarnation not in previous and self._is_new(incarnation):
                    self._add_limit(
                        AdvertisedLimit(0.0, incarnation.started_ms, -math.inf),
                        incarnation.upstream,
                        key,
                    )

    def _is_new(self, incarnation: Incarnation) -> bool:
        """Return whether a limit of this incarnation is valid and not known yet."""
        known = incarnation.upstream in self._board.get(LimitsSection).limits
        return not known and self._may_be_current(incarnation)

    def _may_be_current(self, incarnation: Incarnation) -> bool:
        """Return whether the list of hosts shows no other start of the upstream."""
        host = self._board.get(HostsSection).find(incarnation.upstream)
        return host is None or host.started_ms == incarnation.started_ms

    def _add_limit(self, limit: AdvertisedLimit, upstream: str, source: str) -> None:
        """Log and store a limit that was just learned."""
        _log.info(
            "upstream limited",
            extra={
                "upstream": upstream,
                "started_ms": limit.started_ms,
                "per_s": limit.requests_per_s,
                "source": source,
            },
        )
        self._store_limit(upstream, limit)

    def _store_limit(self, upstream: str, limit: AdvertisedLimit) -> None:
        """Store a limit; drop those of unlisted upstreams if there are too many."""
        limits = {**self._board.get(LimitsSection).limits, upstream: limit}
        if len(limits) > MAX_LIMITS:
            hosts = self._board.get(HostsSection)
            unlisted = [n for n in limits if n != upstream and hosts.find(n) is None]
            for name in unlisted[: len(limits) - MAX_LIMITS]:
                del limits[name]
                self._upstream_limits.remove_limit(name)
        self._write(LimitsSection(limits))
        self._upstream_limits.require_permits(upstream)

    def _remove_limit(self, upstream: str) -> None:
        """Remove a limit and remember when, so that older rows do not restore it."""
        limits = dict(self._board.get(LimitsSection).limits)
        limit = limits.pop(upstream, None)
        if limit is None:
            return
        self._last_advertised_per_s.pop(upstream, None)
        now = self._boot_clock()
        removed_s = {
            i: s
            for i, s in self._removed_s.items()
            if now - s < LEASE_TTL_S + REMOVED_LIMIT_REPORT_S
        }
        removed_s[Incarnation(upstream, limit.started_ms)] = now
        self._removed_s = removed_s
        self._write(LimitsSection(limits))
        self._upstream_limits.remove_limit(upstream)
        self._publish()
        _log.info("upstream names no limit", extra={"upstream": upstream})
        self._on_change()

    def _remove_replaced(self, _: HostsSection) -> None:
        """Remove the limits of upstreams that have been restarted."""
        limits = self._board.get(LimitsSection).limits
        for upstream, limit in limits.items():
            if not self._may_be_current(Incarnation(upstream, limit.started_ms)):
                self._remove_limit(upstream)

    def _publish(self) -> None:
        """Publish the limits that responses to this router advertised."""
        now = self._boot_clock()
        wire = [
            _WireLimit(
                name, limit.started_ms, limit.requests_per_s, now - limit.received_at_s
            )
            for name, limit in self._board.get(LimitsSection).limits.items()
            if math.isfinite(limit.received_at_s)
        ]
        self._gossip.publish(
            LIMITS_TOPIC, _encode(wire[-MAX_LIMITS:]), now=self._clock()
        )

    # Obtaining permits

    def request_permits(self, needed: PermitsNeeded) -> None:
        """Request permits for the schedulers in the background."""
        self._tasks.start("request permits", self._obtain_permits(needed))

    async def _obtain_permits(self, needed: PermitsNeeded) -> None:
        """Request permits and pass the reply to the upstream limits."""
        reply, sent_s = await self._request_from_issuer(needed.upstream, needed.counts)
        now = self._clock()
        permit = Permit(reply.granted_at_s, reply.fence, sent_s + PERMIT_LIFETIME_S)
        self._upstream_limits.add_reply(
            needed.upstream,
            [permit] * min(reply.permits, sum(needed.counts.values())),
            next_request_s=now + reply.next_request_in_s,
            outlook=PermitOutlook(
                now, reply.queued, available=reply.available, per_s=reply.issued_per_s
            ),
        )
        self._on_change()

    def _report_limit(self, upstream: str, per_s: float, permit: Permit | None) -> None:
        """Report to the issuer the limit that a response advertised."""
        report = LimitReport(per_s)
        if permit is not None:
            report = LimitReport(per_s, permit.granted_at_s, permit.fence)
        self._tasks.start(
            "report limit", self._request_from_issuer(upstream, {}, report)
        )

    async def _request_from_issuer(
        self,
        upstream: str,
        counts_by_tier: Mapping[int, int],
        report: LimitReport | None = None,
    ) -> tuple[PermitReply, Seconds]:
        """Send a message to the issuer of an upstream's permits.

        The candidates are tried in turn until one issues permits or acquires the
        lease.

        Returns
        -------
        PermitReply
            The last reply; ``NOT_ISSUING`` if no candidate could be reached.
        float
            When the message with that reply was sent.
        """
        sent_s = self._boot_clock()
        limit = self._board.get(LimitsSection).limits.get(upstream)
        if limit is None:
            return NOT_ISSUING_REPLY, sent_s
        incarnation = Incarnation(upstream, limit.started_ms)
        request = PermitRequest(
            self._name,
            upstream,
            limit.started_ms,
            limit.requests_per_s,
            dict(counts_by_tier),
            report,
        )
        reply = NOT_ISSUING_REPLY
        for router in self._issuer_candidates(incarnation):
            holder = self._find_holder(incarnation)
            if holder is not None and self._is_unreachable(holder):
                request = msgspec.structs.replace(request, unreachable_holder=holder)
            sent_s = self._boot_clock()
            reply = await self._send(router, request)
            if reply.code is ReplyCode.OTHER_ROUTER and not self._is_avoided(
                reply.router
            ):
                router = self._issuer_hints[upstream] = reply.router
                sent_s = self._boot_clock()
                reply = await self._send(router, request)
            if reply.code in (ReplyCode.GRANTED, ReplyCode.RETRY_LATER):
                break
            self._avoided_until_s[router] = self._boot_clock() + AVOID_ROUTER_S
            self._issuer_hints.pop(upstream, None)
        if reply.code is ReplyCode.GRANTED:
            self._apply_reply(upstream, reply, sent_s)
        return reply, sent_s

    def _issuer_candidates(self, incarnation: Incarnation) -> list[str]:
        """Return the routers to ask for permits, the known issuer first."""
        names = {self._name, *self._board.get(HostsSection).routers()}
        names -= self._unresponsive_routers()
        if self._issuer.stopping:
            names.discard(self._name)
        ranked = rank(names, f"{incarnation.upstream}/{incarnation.started_ms}")
        hint = self._issuer_hints.get(incarnation.upstream)
        holder = self._find_holder(incarnation)
        known = [name for name in (hint, holder) if name in names]
        candidates = dict.fromkeys([*known, *ranked[:MAX_CANDIDATES]])
        return [name for name in candidates if not self._is_avoided(name)]

    def _find_holder(self, incarnation: Incarnation) -> str | None:
        """Return an upstream's lease holder by the last known entries, or None."""
        process_name = self._lease_holders.get(incarnation)
        return None if process_name is None else process_name.partition("/")[0]

    def _is_listed(self, incarnation: Incarnation) -> bool:
        """Return whether the list of hosts shows this incarnation."""
        host = self._board.get(HostsSection).find(incarnation.upstream)
        return host is not None and host.started_ms == incarnation.started_ms

    def _is_unreachable(self, router: str) -> bool:
        return self._is_avoided(router) or router in self._unresponsive_routers()

    def _is_avoided(self, router: str) -> bool:
        """Return whether a router did not issue permits a short time ago."""
        return self._avoided_until_s.get(router, -math.inf) > self._boot_clock()

    async def _send(self, router: str, request: PermitRequest) -> PermitReply:
        """Send a message to one router; an unreachable one counts as not issuing."""
        if router == self._name:
            return self._issuer.handle(request)
        try:
            raw = await self._send_request(router, _encode(request), REQUEST_TIMEOUT_S)
            return _reply_decoder.decode(raw)
        except (TransportError, *DECODE_ERRORS) as exc:
            _log.info(
                "no word on permits",
                extra={
                    "upstream": request.upstream,
                    "peer": router,
                    "reason": str(exc),
                },
            )
            return NOT_ISSUING_REPLY

    def _apply_reply(self, upstream: str, reply: PermitReply, sent_s: Seconds) -> None:
        """Apply the limit in an issuer's reply, or its removal."""
        limit = self._board.get(LimitsSection).limits.get(upstream)
        if limit is None:
            return
        if math.isinf(reply.limit_per_s):
            if limit.received_at_s < sent_s:
                self._remove_limit(upstream)
        elif limit.requests_per_s != reply.limit_per_s:
            self._store_limit(
                upstream, replace(limit, requests_per_s=reply.limit_per_s)
            )
