"""The course of one request on a route."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import aiohttp
import multidict

from shallotpoint.callers.dialect import (
    CONNECTION_HEADERS,
    AnswerFacts,
    Dialect,
    RequestFacts,
    Sending,
)
from shallotpoint.callers.exchange import Exchange
from shallotpoint.callers.run import RequestRun
from shallotpoint.errors import RequestError
from shallotpoint.policy.limits import Permit
from shallotpoint.policy.routes import Route, RouteKind
from shallotpoint.results import Executed, Result
from shallotpoint.types import Seconds
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import (
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)
from shallotpoint.upstreams.event_ids import (
    continues_after,
    drop_sent_events,
    last_event_id,
)
from shallotpoint.upstreams.sse import EventSplitter

ENDS_EARLY_S = 0.02  # the final answer leaves this long before the time limit
ANSWER_BYTES = 4 << 20  # a plain answer, as much as callers may send
_PROMISE_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class RouteCall:
    """One request on a route, as it goes upstream.

    Attributes
    ----------
    target : str
        Path and query, as the caller sent them.
    headers : tuple
        The caller's headers that are passed on.
    """

    route: Route
    facts: RequestFacts
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tier: int
    organisation: str | None


@dataclass(frozen=True, slots=True)
class RouteEdges:
    """What requests on routes use to reach upstreams.

    Attributes
    ----------
    on_leaving : Callable
        Called with an upstream that says that it leaves, and with the start of its
        incarnation as it was known when the request was sent.
    on_limit : Callable
        Likewise, with the requests a second that it names, infinite for no limit, and
        the permit under which the request was sent.
    """

    client: PerUpstreamClient
    dialect: Dialect
    on_leaving: Callable[[str, int], None]
    on_limit: Callable[[str, int, float, Permit | None], None]


@dataclass(frozen=True, slots=True)
class _KeptAnswer:
    """An upstream's own failure, given to the caller if no other attempt helps."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class RouteRun(RequestRun):
    """Relays one request on a route."""

    def __init__(self, *args: Any, call: RouteCall, edges: RouteEdges):
        super().__init__(*args)
        self._call = call
        self._edges = edges
        self._last_event = call.facts.last_event
        self._kept: _KeptAnswer | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._upstream: str | None = None
        self._first_s: Seconds | None = None
        self._event_s: Seconds = 0.0
        self._pause_s: Seconds = 0.0

    async def run(self) -> None:
        """Serve the request to its end, within its time limit."""
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._left_s(), self._out_of_time)
        try:
            await super().run()
        finally:
            self._timer.cancel()

    async def leg(self, upstream: str, address: str) -> None:
        """Try the request on one upstream."""
        self._upstream = upstream
        left_s = self._left_s()
        if left_s <= 0.0:
            raise UpstreamFailure(Result.RETRY_CONNECT, "no time is left")
        started_ms = self.services.pools.started_ms(upstream)
        permit = self.pool.permit_of(self.ticket.id, upstream)
        async with self._edges.client.send(
            upstream,
            address,
            self._outgoing(upstream, left_s),
            repeatable=self._call.route.repeatable,
            timeout_s=left_s + ENDS_EARLY_S,
        ) as resp:
            facts = self._edges.dialect.read_answer(resp.status, resp.headers)
            if facts.leaving and not facts.misdirected:
                self._edges.on_leaving(upstream, started_ms)
            if facts.limit_per_s is not None and not facts.misdirected:
                self._edges.on_limit(upstream, started_ms, facts.limit_per_s, permit)
            if facts.closed_s is not None:
                self.pool.back_off(upstream, facts.closed_s)
            self._check(facts, resp)
            await self._take(upstream, resp)

    def may_retry(self) -> bool:
        """Return whether another attempt is allowed after one was sent."""
        return self._call.route.repeatable

    async def fail(self, exc: RequestError) -> None:
        """Give the caller the final answer of a request without success."""
        if self.exchange.started:
            await self.exchange.cut()
        elif self._kept is not None:
            await self._send_whole(self._kept)
        else:
            await fail_on_route(self.exchange, exc, self._edges.dialect)

    def end_facts(self) -> Mapping[str, Any]:
        """Return what the log says beside the result."""
        facts: dict[str, Any] = {"tier": self._call.tier, "upstream": self._upstream}
        if self._first_s is not None:
            facts["first_s"] = round(self._first_s, 4)
            facts["pause_s"] = round(self._pause_s, 4)
        if self.ticket.prompt is not None:
            facts["prompt_tokens"] = self.ticket.prompt.prompt_tokens
        return facts

    # Sending

    def _left_s(self) -> Seconds:
        """Return the time until the final answer has to leave, in seconds."""
        assert self.ticket.time_limit_at_s is not None
        return self.ticket.time_limit_at_s - time.monotonic() - ENDS_EARLY_S

    def _outgoing(self, upstream: str, left_s: Seconds) -> UpstreamRequest:
        call = self._call
        sending = Sending(
            call.facts, upstream, left_s, call.tier, call.organisation, self._last_event
        )
        headers = multidict.CIMultiDict(call.headers)
        for name, value in self._edges.dialect.write_request(sending):
            headers[name] = value
        return UpstreamRequest(call.method, call.target, headers, call.body)

    def _out_of_time(self) -> None:
        if self.sent or self._legs:
            self._settle(
                RequestError(Result.UPSTREAM_TIMEOUT, executed=Executed.UNKNOWN)
            )
        else:
            self._settle(RequestError(Result.WAIT_EXPIRED, retry_after_s=1.0))

    # Answers

    async def _take(self, upstream: str, resp: aiohttp.ClientResponse) -> None:
        call = self._call
        self.sent = True
        if resp.status < 400 and call.route.kind is RouteKind.STREAM:
            await self._relay_events(upstream, resp)
            return
        body = await read_response_body(resp, max_bytes=ANSWER_BYTES)
        answer = _KeptAnswer(resp.status, passed_on(resp.headers), body)
        if resp.status >= 500 and call.route.repeatable and not self.exchange.started:
            self._kept = answer
            raise UpstreamFailure(
                Result.RETRY_ERROR, f"{upstream} answered {resp.status}"
            )
        self.pool.progress(self.ticket.id, upstream, 1)
        await self._send_whole(answer)

    def _check(self, facts: AnswerFacts, resp: aiohttp.ClientResponse) -> None:
        """Raise UpstreamFailure unless this answers the request."""
        if facts.misdirected:
            raise UpstreamFailure(
                Result.RETRY_MISDIRECTED,
                "another upstream answers at the address",
                is_gone=True,
            )
        if facts.not_run:
            raise UpstreamFailure(
                Result.RETRY_REFUSED, f"refused with status {resp.status}"
            )
        if facts.request != self._call.facts.id:
            resp.close()
            raise UpstreamFailure(Result.RETRY_BROKE, "an answer to another request")
        if resp.status in _PROMISE_STATUSES or "content-encoding" in resp.headers:
            # Passed on, the status would promise that the request has not run.
            raise UpstreamFailure(
                Result.RETRY_BROKE, f"an answer of unclear meaning, {resp.status}"
            )

    async def _send_whole(self, answer: _KeptAnswer) -> None:
        if self.exchange.started:
            # A stream that was carried on ends in a failure.
            await self.exchange.cut()
            return
        length = (b"content-length", str(len(answer.body)).encode())
        await self.exchange.start(answer.status, [*answer.headers, length])
        await self.exchange.write(answer.body, more=False)

    async def _relay_events(self, upstream: str, resp: aiohttp.ClientResponse) -> None:
        splitter = EventSplitter()
        resumed_after = self._last_event if self.exchange.started else None
        if not self.exchange.started:
            await self.exchange.start(resp.status, passed_on(resp.headers))
        while data := await resp.content.readany():
            events = splitter.feed(data)
            if events and resumed_after is not None:
                events = drop_sent_events(events, resumed_after)
                if events and not continues_after(events, resumed_after):
                    resp.close()
                    raise UpstreamFailure(Result.RETRY_BROKE, "events are missing")
            if events:
                resumed_after = None
                await self._write_events(upstream, events)
        if not splitter.is_empty:
            raise UpstreamFailure(Result.RETRY_BROKE, "cut within an event")
        await self.exchange.write(b"", more=False)

    def _time_events(self) -> None:
        """Note the time to the first event and the longest pause."""
        now = time.monotonic()
        if self._first_s is None:
            self._first_s = now - self.ticket.arrived_s
        else:
            self._pause_s = max(self._pause_s, now - self._event_s)
        self._event_s = now

    async def _write_events(self, upstream: str, events: bytes) -> None:
        last = last_event_id(events)
        if last is not None:
            self._last_event = last
        self._time_events()
        count = events.count(b"\n\n")
        self.log.tokens += count
        self.pool.progress(self.ticket.id, upstream, count)
        if not self.exchange.is_slow():
            await self.exchange.write(events)
            return
        self.pool.set_backpressure(self.ticket.id, upstream, True)
        try:
            await self.exchange.write(events)
        finally:
            self.pool.set_backpressure(self.ticket.id, upstream, False)


async def fail_on_route(
    exchange: Exchange, exc: RequestError, dialect: Dialect
) -> None:
    """Give the caller an error of the router's own.

    A blocked request is proper by all that callers are told, so that no status of
    the caller's faults fits it.
    """
    status = 503 if exc.result is Result.POISON else None
    await exchange.fail(exc, write_retry_after=dialect.write_retry_after, status=status)


def passed_on(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Return an answer's headers without those of its connection and framing."""
    named = headers.get("Connection", "").lower().split(",")
    dropped = CONNECTION_HEADERS | {name.strip() for name in named}
    return [
        (name.lower().encode("latin-1"), value.encode("latin-1", "surrogateescape"))
        for name, value in headers.items()
        if name.lower() not in dropped
    ]
