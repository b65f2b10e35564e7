"""Relays one request on a route: its attempts, time limit and answer."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from typing import Any

import aiohttp
import multidict

from shallotpoint.callers.dialect import (
    CONNECTION_HEADERS,
    AnswerInfo,
    AttemptInfo,
    Dialect,
    RequestInfo,
)
from shallotpoint.callers.exchange import Exchange
from shallotpoint.callers.run import RequestRun
from shallotpoint.errors import RequestError
from shallotpoint.policy.limits import Permit
from shallotpoint.policy.routes import Route, RouteKind
from shallotpoint.results import Executed, Result
from shallotpoint.types import Seconds
from shallotpoint.upstreams.body_memory import BodyMemory, BodyReservation
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import (
    UpstreamFailure,
    UpstreamRequest,
    check_status,
    read_response_body,
)
from shallotpoint.upstreams.event_ids import (
    continues_after,
    drop_sent_events,
    last_event_id,
)
from shallotpoint.upstreams.sse import EventSplitter

STREAM_STATUS = 200  # of an answer that continues a stream
RESPONSE_MARGIN_S = 0.02  # the final answer is sent this long before the time limit
# Limit of an answer that is not streamed, as for the bodies of callers.
MAX_ANSWER_BYTES = 4 << 20
# Largest piece of an answer that is buffered for a caller that does not read.
RELAY_BYTES = 64 << 10
# Callers may take these statuses as a promise that the request did not run.
_NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@dataclass(frozen=True, slots=True)
class RouteCall:
    """One request on a route, as it is sent to upstreams.

    Attributes
    ----------
    facts : RequestInfo
        Contents of the request's headers.
    target : str
        Path and query, as the caller sent them.
    headers : tuple
        Name and value of the caller's headers that are forwarded.
    tier : int
        Priority of the service class; 0 is the highest.
    organisation : str, optional
        Name of the caller's organisation; None on a public route.
    """

    route: Route
    facts: RequestInfo
    method: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tier: int
    organisation: str | None


@dataclass(frozen=True, slots=True)
class UpstreamAccess:
    """HTTP client, header dialect and callbacks that all requests on routes share.

    Attributes
    ----------
    on_leaving : Callable
        Called when an answer announces that its upstream is shutting down, or shows
        that another one has its address, with the upstream's name and the start time
        of its incarnation in milliseconds, as known when the request was sent.
    on_limit : Callable
        Called when an answer advertises a rate limit, with the same two arguments,
        the limit in requests per second (infinite for none) and the permit that the
        request used.
    on_begin : Callable
        Called once for each request that an upstream begins, with the name of its
        organisation, unless the route is public.
    body_memory : BodyMemory
        Memory for the bodies of all answers that are not streamed.
    """

    client: PerUpstreamClient
    dialect: Dialect
    on_leaving: Callable[[str, int], None]
    on_limit: Callable[[str, int, float, Permit | None], None]
    on_begin: Callable[[str], None] = lambda organisation: None
    body_memory: BodyMemory = field(default_factory=BodyMemory)


@dataclass(frozen=True, slots=True)
class _BufferedAnswer:
    """An answer that was read to its end before it is sent to the caller.

    An upstream's error is kept and sent if no later attempt succeeds.
    """

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


class RouteRun(RequestRun):
    """Relays one request on a route."""

    def __init__(self, *args: Any, call: RouteCall, upstream_access: UpstreamAccess):
        super().__init__(*args)
        self._call = call
        self._upstream_access = upstream_access
        self._last_event_id = call.facts.last_event_id
        self._error_answer: _BufferedAnswer | None = None
        self._deadline_timer: asyncio.TimerHandle | None = None
        self._body_reservation: BodyReservation | None = None
        self._last_upstream: str | None = None
        self._first_event_s: Seconds | None = None
        self._last_event_at_s: Seconds = 0.0
        self._longest_gap_s: Seconds = 0.0
        self._is_begin_recorded = False

    async def run(self) -> None:
        """Run the request to its end, within its time limit."""
        loop = asyncio.get_running_loop()
        self._deadline_timer = loop.call_later(
            self._remaining_s(), self._handle_timeout
        )
        try:
            with self._upstream_access.body_memory.reservation() as reservation:
                self._body_reservation = reservation
                await super().run()
        finally:
            self._deadline_timer.cancel()

    async def try_upstream(self, upstream: str, address: str) -> None:
        """Send the request to one upstream and relay its answer."""
        self._last_upstream = upstream
        left_s = self._remaining_s()
        if left_s <= 0.0:
            raise UpstreamFailure(
                Result.RETRY_CONNECT, "the time limit of the request is reached"
            )
        started_ms = self.services.pools.started_ms(upstream)
        permit = self.pool.permit_of(self.ticket.id, upstream)
        async with self._upstream_access.client.send(
            upstream,
            address,
            self._build_request(upstream, left_s),
            repeatable=self._call.route.repeatable,
            timeout_s=left_s + RESPONSE_MARGIN_S,
        ) as resp:
            facts = self._upstream_access.dialect.read_answer(resp.status, resp.headers)
            self._check_identity(facts, resp)
            # If the request was misdirected, another upstream has the address.
            if facts.misdirected and facts.request_id or facts.leaving:
                self._upstream_access.on_leaving(upstream, started_ms)
            if facts.limit_per_s is not None and not facts.misdirected:
                self._upstream_access.on_limit(
                    upstream, started_ms, facts.limit_per_s, permit
                )
            if facts.closed_for_s is not None:
                self.pool.back_off(upstream, facts.closed_for_s)
            self._check_answer(facts, resp)
            await self._relay_answer(upstream, resp)

    def may_retry(self) -> bool:
        """Return whether a request that may have run already may be retried."""
        return self._call.route.repeatable

    async def fail(self, exc: RequestError) -> None:
        """Send the caller the final answer of a failed request."""
        if self.exchange.started:
            await self.exchange.abort()
        elif self._error_answer is not None:
            await self._send_answer(self._error_answer)
        else:
            await fail_on_route(self.exchange, exc, self._upstream_access.dialect)

    def end_log_fields(self) -> Mapping[str, Any]:
        """Return additional fields for the log record of the request's end."""
        log_fields: dict[str, Any] = {
            "tier": self._call.tier,
            "upstream": self._last_upstream,
        }
        if self._first_event_s is not None:
            log_fields["first_s"] = round(self._first_event_s, 4)
            log_fields["pause_s"] = round(self._longest_gap_s, 4)
        if self.ticket.prompt is not None:
            log_fields["prompt_tokens"] = self.ticket.prompt.prompt_tokens
        return log_fields

    # Sending requests

    def _remaining_s(self) -> Seconds:
        """Return the time until the final answer has to be sent, in seconds."""
        assert self.ticket.time_limit_at_s is not None
        return self.ticket.time_limit_at_s - time.monotonic() - RESPONSE_MARGIN_S

    def _build_request(self, upstream: str, left_s: Seconds) -> UpstreamRequest:
        call = self._call
        sending = AttemptInfo(
            call.facts,
            upstream,
            left_s,
            call.tier,
            call.organisation,
            self._last_event_id,
            self._cache_source(upstream),
        )
        headers = multidict.CIMultiDict(call.headers)
        for name, value in self._upstream_access.dialect.write_request(sending):
            headers[name] = value
        return UpstreamRequest(call.method, call.target, headers, call.body)

    def _cache_source(self, upstream: str) -> str | None:
        """Return the address to copy the prompt's cached state from, None if none."""
        source = self.pool.cache_source(self.ticket.id, upstream)
        if source is None:
            return None
        self.services.metrics.prefix_copies.inc({"pool": self.pool.pool.name})
        return self.services.pools.address_of(source)

    def _handle_timeout(self) -> None:
        if self.may_have_run or self._attempt_tasks:
            self._settle(
                RequestError(Result.UPSTREAM_TIMEOUT, executed=Executed.UNKNOWN)
            )
        else:
            self._settle(RequestError(Result.WAIT_EXPIRED, retry_after_s=1.0))

    # Answers

    async def _relay_answer(self, upstream: str, resp: aiohttp.ClientResponse) -> None:
        call = self._call
        self.may_have_run = True
        if self.exchange.started and resp.status != STREAM_STATUS:
            raise UpstreamFailure(
                Result.RETRY_ERROR,
                f"{upstream} answered {resp.status} to a stream that had begun",
            )
        if resp.status < 400 and call.route.kind is RouteKind.STREAM:
            await self._relay_events(upstream, resp)
            return
        body = await read_response_body(
            resp, max_bytes=MAX_ANSWER_BYTES, reservation=self._body_reservation
        )
        answer = _BufferedAnswer(resp.status, forwardable_headers(resp.headers), body)
        if resp.status >= 500 and call.route.repeatable:
            self._error_answer = answer
            raise UpstreamFailure(
                Result.RETRY_ERROR, f"{upstream} answered {resp.status}"
            )
        # An error does not show that the upstream survives the request.
        self.pool.progress(self.ticket.id, upstream, int(resp.status < 400))
        await self._send_answer(answer)

    def _check_identity(self, facts: AnswerInfo, resp: aiohttp.ClientResponse) -> None:
        """Raise UpstreamFailure for an answer to another request.

        Its refusal doesn't promise that this request has not run.
        """
        if facts.request_id and facts.request_id != self._call.facts.id:
            resp.close()
            raise UpstreamFailure(
                Result.RETRY_BROKE, "the answer has the id of another request"
            )

    def _check_answer(self, facts: AnswerInfo, resp: aiohttp.ClientResponse) -> None:
        """Raise UpstreamFailure unless the answer may be relayed to the caller."""
        if facts.misdirected:
            raise UpstreamFailure(
                Result.RETRY_MISDIRECTED,
                "the address belongs to another upstream",
                is_gone=True,
            )
        if facts.not_run:
            raise UpstreamFailure(
                Result.RETRY_REFUSED, f"request was refused with status {resp.status}"
            )
        if not facts.request_id:
            resp.close()
            raise UpstreamFailure(Result.RETRY_BROKE, "the answer has no request id")
        check_status(resp)
        if self._call.route.kind is not RouteKind.STREAM:
            self._record_begin()
        if resp.status in _NOT_RUN_STATUSES or "content-encoding" in resp.headers:
            # If forwarded, one of these statuses would promise that the request did
            # not run.
            raise UpstreamFailure(
                Result.RETRY_BROKE,
                f"answer with status {resp.status} can't be forwarded",
            )

    async def _send_answer(self, answer: _BufferedAnswer) -> None:
        length = (b"content-length", str(len(answer.body)).encode())
        await self.exchange.send_headers(answer.status, [*answer.headers, length])
        # In pieces, so that the memory of a body counts until its caller has read it.
        body = memoryview(answer.body)
        while len(body) > RELAY_BYTES:
            await self.exchange.write(bytes(body[:RELAY_BYTES]))
            body = body[RELAY_BYTES:]
        await self.exchange.write(bytes(body), more=False)

    async def _relay_events(self, upstream: str, resp: aiohttp.ClientResponse) -> None:
        splitter = EventSplitter()
        resumed_after = self._last_event_id if self.exchange.started else None
        if not self.exchange.started:
            await self.exchange.send_headers(
                resp.status, forwardable_headers(resp.headers)
            )
        while data := await resp.content.read(RELAY_BYTES):
            events = splitter.feed(data)
            if events and resumed_after is not None:
                events = drop_sent_events(events, resumed_after)
                if events and not continues_after(events, resumed_after):
                    resp.close()
                    raise UpstreamFailure(
                        Result.RETRY_BROKE, "the resumed stream skips events"
                    )
            if events:
                resumed_after = None
                await self._write_events(upstream, events)
        if not splitter.is_empty:
            raise UpstreamFailure(
                Result.RETRY_BROKE, "the stream ended within an event"
            )
        await self.exchange.write(b"", more=False)

    def _record_begin(self) -> None:
        """Report, once, that an upstream has begun the request."""
        organisation = self._call.organisation
        if not self._is_begin_recorded and organisation is not None:
            self._is_begin_recorded = True
            self._upstream_access.on_begin(organisation)

    def _update_event_times(self) -> None:
        """Update the time to the first event and the longest gap between events."""
        now = time.monotonic()
        if self._first_event_s is None:
            self._first_event_s = now - self.ticket.arrived_s
        else:
            self._longest_gap_s = max(self._longest_gap_s, now - self._last_event_at_s)
        self._last_event_at_s = now

    async def _write_events(self, upstream: str, events: bytes) -> None:
        last = last_event_id(events)
        if last is not None:
            self._last_event_id = last
        self._update_event_times()
        self._record_begin()
        count = events.count(b"\n\n")
        self.log.tokens += count
        self.pool.progress(self.ticket.id, upstream, count)
        if not self.exchange.is_write_paused():
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
    """Send the caller an error that comes from the router.

    A blocked request gets status 503, as it is valid by the rules that callers know:
    no 4xx status fits it.
    """
    status = 503 if exc.result is Result.POISON else None
    await exchange.send_error(
        exc, write_retry_after=dialect.write_retry_after, status=status
    )


def forwardable_headers(headers: Mapping[str, str]) -> list[tuple[bytes, bytes]]:
    """Return an answer's headers without those about its connection and framing."""
    connection_options = headers.get("Connection", "").lower().split(",")
    dropped = CONNECTION_HEADERS | {name.strip() for name in connection_options}
    return [
        # aiohttp decoded them in this way, so these are the upstream's bytes.
        (name.lower().encode(), value.encode("utf-8", "surrogateescape"))
        for name, value in headers.items()
        if name.lower() not in dropped
    ]
