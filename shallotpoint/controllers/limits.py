"""Upstreams that name in answers how many requests a second they take from all.

What one router hears, its peers learn by a row.  The permits of such an upstream come
from one router, its keeper, which holds a lease in the key-value service; the others
ask it.  Without a keeper that can be reached nothing is sent there.
"""

from __future__ import annotations

import logging
import math
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import msgspec

from shallotpoint.blackboard import Blackboard
from shallotpoint.controllers.permit_keeper import (
    LEASE_S,
    LIFTED_S,
    UNABLE,
    Amount,
    Code,
    Named,
    PermitKeeper,
    Question,
    Reply,
)
from shallotpoint.controllers.sections import (
    HostsSection,
    LimitsSection,
    NamedLimit,
)
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Entry, KeyValue
from shallotpoint.coordination.overlay import rank
from shallotpoint.coordination.permits import PERMIT_S
from shallotpoint.coordination.transport import TransportError
from shallotpoint.policy.limits import Ask, LimitBook, Outlook, Permit
from shallotpoint.policy.poison import Incarnation
from shallotpoint.tasks import Tasks
from shallotpoint.types import Clock, Seconds

LIMITS_TOPIC = "limits"
KEPT = 200  # limits in a row, so that it stays within one message
ASK_S = 0.4  # many times a question within a region, well below a permit's life
AVOID_S = 1.0  # a router that could not answer is not asked for this long
CANDIDATES = 3  # routers that may become the keeper, in the order that all share

_log = logging.getLogger("shallotpoint.router")


class _WireLimit(msgspec.Struct, frozen=True, array_like=True):
    """A limit on the wire; its age replaces the clock of the sender."""

    upstream: str
    started_ms: int
    per_s: Amount
    age_s: Amount


_limits = msgspec.msgpack.Decoder(list[_WireLimit])
_questions = msgspec.msgpack.Decoder(Question)
_replies = msgspec.msgpack.Decoder(Reply)
_encode = msgspec.msgpack.encode


class LimitController:
    """Owns :class:`LimitsSection`; gets permits for the schedulers, and keeps some.

    Parameters
    ----------
    book : LimitBook
        The limits and permits by which the schedulers go.
    prefix : str
        Where leases of keepers are.
    name, process : str
        This router, and a name that no other start of it has.
    clock : Callable
        The clock of the schedulers.
    lasting_clock : Callable
        Time in seconds that goes on while the host is suspended.
    ask : Callable
        Sends a question to a router; raises TransportError without an answer.
    silent : Callable
        Returns the routers that gave no answer lately.
    on_news : Callable
        Called when peers should learn of a limit.
    on_change : Callable
        Called when schedulers may go on.
    """

    def __init__(
        self,
        board: Blackboard,
        gossip: Board,
        book: LimitBook,
        kv: KeyValue,
        *,
        prefix: str,
        name: str,
        process: str,
        clock: Clock,
        lasting_clock: Clock,
        ask: Callable[[str, bytes, Seconds], Awaitable[bytes]],
        silent: Callable[[], set[str]] = set,
        on_news: Callable[[], None] = lambda: None,
        on_change: Callable[[], None] = lambda: None,
    ):
        self._board = board
        self._gossip = gossip
        self._book = book
        self._prefix = prefix
        self._name = name
        self._clock = clock
        self._lasting = lasting_clock
        self._ask_router = ask
        self._silent = silent
        self._on_news = on_news
        self._on_change = on_change
        self._write = board.claim(LimitsSection, "limits")
        self._named: dict[str, float] = {}
        self._ended: dict[Incarnation, Seconds] = {}
        self._entries: dict[Incarnation, str] = {}
        self._hints: dict[str, str] = {}
        self._avoided: dict[str, Seconds] = {}
        self._tasks = Tasks()
        self._keeper = PermitKeeper(
            kv,
            prefix=prefix,
            name=name,
            process=process,
            clock=lasting_clock,
            holder_of=self._holder_of,
            is_listed=self._is_listed,
        )
        board.on_change(HostsSection, self._forget_replaced)

    async def close(self) -> None:
        """End all that runs."""
        await self._tasks.stop()
        await self._keeper.close()

    async def leave(self) -> None:
        """Hand out no more permits, so that another router may at once."""
        await self._keeper.leave()

    async def answer(self, raw: bytes) -> bytes:
        """Answer a router's question; TransportError if it cannot be read."""
        try:
            question = _questions.decode(raw)
        except msgspec.DecodeError as exc:
            raise TransportError(f"malformed question: {exc}") from exc
        return _encode(self._keeper.reply(question))

    def expire(self) -> None:
        """Drop the permits that have lapsed, also while the host was suspended."""
        self._book.expire(self._lasting())

    # What is heard

    def heard(
        self, upstream: str, started_ms: int, per_s: float, permit: Permit | None = None
    ) -> None:
        """Take an upstream's word, read from an answer that this router got.

        Parameters
        ----------
        per_s : float
            Requests a second; infinite if the answer named no limit.
        permit : Permit, optional
            What the request was sent with.
        """
        if not self._may_be(Incarnation(upstream, started_ms)):
            return
        held = self._board.get(LimitsSection).limits.get(upstream)
        known = held is not None and held.started_ms == started_ms
        if math.isinf(per_s):
            # A request without a permit was sent before the limit was known.
            if known and permit is not None:
                self._tell(upstream, per_s, permit)
            return
        if known and held is not None and held.per_s == per_s:
            self._put(upstream, replace(held, heard_s=self._lasting()))
            return
        limit = NamedLimit(per_s, started_ms, self._lasting())
        if known and self._named.get(upstream) == per_s:
            self._put(upstream, limit)
        else:
            self._named[upstream] = per_s
            self._take(limit, upstream, self._name)
        if not known:
            self._publish()
            self._on_news()
        self._tell(upstream, per_s, permit)

    def take_row(self, origin: str, payload: bytes) -> None:
        """Take in what a peer was told; DecodeError if it cannot be read."""
        now = self._lasting()
        for wire in _limits.decode(payload):
            incarnation = Incarnation(wire.upstream, wire.started_ms)
            ended_s = self._ended.get(incarnation, -math.inf)
            if now - wire.age_s > ended_s and self._is_news(incarnation):
                limit = NamedLimit(wire.per_s, wire.started_ms, -math.inf)
                self._take(limit, wire.upstream, origin)

    def take_entries(self, entries: Mapping[str, Entry]) -> None:
        """Take in a copy of the service's entries; others than leases are ignored.

        A router that has just started learns from them which upstreams are limited.
        """
        before, self._entries = self._entries, {}
        for key, entry in entries.items():
            if not key.startswith(self._prefix):
                continue
            upstream, _, started = key.removeprefix(self._prefix).rpartition("/")
            if not started.isdigit():
                _log.warning("unreadable entry", extra={"entry": key, "reason": "key"})
                continue
            incarnation = Incarnation(upstream, int(started))
            self._entries[incarnation] = entry.value.decode(errors="replace")
            if incarnation not in before and self._is_news(incarnation):
                self._take(
                    NamedLimit(0.0, incarnation.started_ms, -math.inf), upstream, key
                )

    def _is_news(self, incarnation: Incarnation) -> bool:
        known = incarnation.upstream in self._board.get(LimitsSection).limits
        return not known and self._may_be(incarnation)

    def _may_be(self, incarnation: Incarnation) -> bool:
        """Return whether no other start of the upstream is listed."""
        host = self._board.get(HostsSection).find(incarnation.upstream)
        return host is None or host.started_ms == incarnation.started_ms

    def _take(self, limit: NamedLimit, upstream: str, source: str) -> None:
        _log.info(
            "upstream limited",
            extra={
                "upstream": upstream,
                "started_ms": limit.started_ms,
                "per_s": limit.per_s,
                "source": source,
            },
        )
        self._put(upstream, limit)

    def _put(self, upstream: str, limit: NamedLimit) -> None:
        limits = {**self._board.get(LimitsSection).limits, upstream: limit}
        if len(limits) > KEPT:
            hosts = self._board.get(HostsSection)
            gone = [n for n in limits if n != upstream and hosts.find(n) is None]
            for name in gone[: len(limits) - KEPT]:
                del limits[name]
                self._book.lift(name)
        self._write(LimitsSection(limits))
        self._book.limit(upstream)

    def _lift(self, upstream: str) -> None:
        limits = dict(self._board.get(LimitsSection).limits)
        limit = limits.pop(upstream, None)
        if limit is None:
            return
        self._named.pop(upstream, None)
        now = self._lasting()
        ended = {i: s for i, s in self._ended.items() if now - s < LEASE_S + LIFTED_S}
        ended[Incarnation(upstream, limit.started_ms)] = now
        self._ended = ended
        self._write(LimitsSection(limits))
        self._book.lift(upstream)
        self._publish()
        _log.info("upstream names no limit", extra={"upstream": upstream})
        self._on_change()

    def _forget_replaced(self, _: HostsSection) -> None:
        """Drop the limits of incarnations that another one has replaced."""
        limits = self._board.get(LimitsSection).limits
        for upstream, limit in limits.items():
            if not self._may_be(Incarnation(upstream, limit.started_ms)):
                self._lift(upstream)

    def _publish(self) -> None:
        """Tell peers of the limits that were first heard here."""
        now = self._lasting()
        wire = [
            _WireLimit(name, limit.started_ms, limit.per_s, now - limit.heard_s)
            for name, limit in self._board.get(LimitsSection).limits.items()
            if math.isfinite(limit.heard_s)
        ]
        self._gossip.publish(LIMITS_TOPIC, _encode(wire[-KEPT:]), now=self._clock())

    # Permits for this router

    def ask(self, ask: Ask) -> None:
        """Get permits for the schedulers."""
        self._tasks.start("ask for permits", self._get(ask))

    async def _get(self, ask: Ask) -> None:
        reply, asked_s = await self._question(ask.upstream, ask.counts)
        now = self._clock()
        permit = Permit(reply.granted_s, reply.lease, asked_s + PERMIT_S)
        self._book.answered(
            ask.upstream,
            [permit] * min(reply.permits, sum(ask.counts.values())),
            ask_s=now + reply.again_s,
            outlook=Outlook(
                now, reply.queued, saved=reply.saved, per_s=reply.rate_per_s
            ),
        )
        self._on_change()

    def _tell(self, upstream: str, per_s: float, permit: Permit | None) -> None:
        """Tell the keeper what an answer named."""
        named = Named(per_s)
        if permit is not None:
            named = Named(per_s, permit.granted_s, permit.lease)
        self._tasks.start("tell a limit", self._question(upstream, {}, named))

    async def _question(
        self, upstream: str, counts: Mapping[int, int], named: Named | None = None
    ) -> tuple[Reply, Seconds]:
        """Ask who hands out permits; return the reply and when that was asked."""
        asked_s = self._lasting()
        limit = self._board.get(LimitsSection).limits.get(upstream)
        if limit is None:
            return UNABLE, asked_s
        incarnation = Incarnation(upstream, limit.started_ms)
        question = Question(
            self._name, upstream, limit.started_ms, limit.per_s, dict(counts), named
        )
        reply = UNABLE
        for router in self._candidates(incarnation):
            holder = self._holder_of(incarnation)
            if holder is not None and self._is_unreached(holder):
                question = msgspec.structs.replace(question, unreached=holder)
            asked_s = self._lasting()
            reply = await self._send(router, question)
            if reply.code is Code.ELSEWHERE and not self._is_avoided(reply.router):
                router = self._hints[upstream] = reply.router
                asked_s = self._lasting()
                reply = await self._send(router, question)
            if reply.code in (Code.GRANTED, Code.LATER):
                break
            self._avoided[router] = self._lasting() + AVOID_S
            self._hints.pop(upstream, None)
        if reply.code is Code.GRANTED:
            self._take_reply(upstream, reply, asked_s)
        return reply, asked_s

    def _candidates(self, incarnation: Incarnation) -> list[str]:
        """Return the routers to ask, first the one that is known as the keeper."""
        names = {self._name, *self._board.get(HostsSection).routers()}
        names -= self._silent()
        if self._keeper.stopping:
            names.discard(self._name)
        order = rank(names, f"{incarnation.upstream}/{incarnation.started_ms}")
        hint = self._hints.get(incarnation.upstream)
        holder = self._holder_of(incarnation)
        known = [name for name in (hint, holder) if name in names]
        found = dict.fromkeys([*known, *order[:CANDIDATES]])
        return [name for name in found if not self._is_avoided(name)]

    def _holder_of(self, incarnation: Incarnation) -> str | None:
        """Return the router that holds an upstream's lease, by the last entries."""
        process = self._entries.get(incarnation)
        return None if process is None else process.partition("/")[0]

    def _is_listed(self, incarnation: Incarnation) -> bool:
        host = self._board.get(HostsSection).find(incarnation.upstream)
        return host is not None and host.started_ms == incarnation.started_ms

    def _is_unreached(self, router: str) -> bool:
        return self._is_avoided(router) or router in self._silent()

    def _is_avoided(self, router: str) -> bool:
        return self._avoided.get(router, -math.inf) > self._lasting()

    async def _send(self, router: str, question: Question) -> Reply:
        if router == self._name:
            return self._keeper.reply(question)
        try:
            raw = await self._ask_router(router, _encode(question), ASK_S)
            return _replies.decode(raw)
        except (TransportError, msgspec.DecodeError) as exc:
            _log.info(
                "no word on permits",
                extra={
                    "upstream": question.upstream,
                    "peer": router,
                    "reason": str(exc),
                },
            )
            return UNABLE

    def _take_reply(self, upstream: str, reply: Reply, asked_s: Seconds) -> None:
        limit = self._board.get(LimitsSection).limits.get(upstream)
        if limit is None:
            return
        if math.isinf(reply.per_s):
            if limit.heard_s < asked_s:
                self._lift(upstream)
        elif limit.per_s != reply.per_s:
            self._put(upstream, replace(limit, per_s=reply.per_s))
