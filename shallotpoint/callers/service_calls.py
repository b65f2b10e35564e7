"""Calls to plain services, each executed at most once where that matters."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from typing import Any

from shallotpoint.callers.exchange import CallerGone, Exchange
from shallotpoint.callers.run import ChatServices, RequestRun
from shallotpoint.coordination.kv import Unavailable
from shallotpoint.coordination.ledger import (
    Answer,
    CallRecord,
    CallState,
    LedgerUnavailable,
    OnceLedger,
    RecordedIntent,
)
from shallotpoint.errors import RequestError
from shallotpoint.results import Executed, Result
from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import (
    UpstreamFailure,
    UpstreamRequest,
    read_response_body,
)

LEDGER_TIMEOUT_S = 0.9  # with the key-value service out, refuse within a second
PENDING_WAIT_S = 2.0  # a repeat waits this long for the first call's outcome
PENDING_POLL_S = 0.1


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service."""

    method: str
    path: str
    content_type: str | None
    key: str | None
    body: bytes

    def headers(self, request_id: str) -> dict[str, str]:
        """Return the headers to send upstream."""
        headers = {"x-request-id": request_id}
        if self.content_type:
            headers["content-type"] = self.content_type
        if self.key:
            headers["idempotency-key"] = self.key
        return headers


class ServiceRun(RequestRun):
    """Relays one call to a plain service."""

    services: ChatServices

    def __init__(self, *args: Any, call: ServiceCall):
        super().__init__(*args)
        self._call = call
        self.answer: Answer | None = None

    async def leg(self, upstream: str, address: str) -> None:
        """Try the call on one upstream."""
        call = self._call
        outgoing = UpstreamRequest(
            call.method, call.path, call.headers(self.ticket.id), call.body
        )
        client = self.services.client
        async with client.send(
            address, outgoing, repeatable=self.ticket.idempotent
        ) as resp:
            self.sent = True
            body = await read_response_body(resp)
            self.pool.progress(self.ticket.id, upstream, 1)
            content_type = resp.headers.get("content-type", "application/json")
            self.answer = Answer(resp.status, content_type, body)
            await self.deliver(self.answer)

    async def deliver(self, answer: Answer) -> None:
        """Give the caller the service's answer."""
        await send_answer(self.exchange, answer)

    def final_error(self, verdict: Result, exc: UpstreamFailure) -> RequestError:
        """Return what the caller is told when the last leg failed."""
        if not self.ticket.idempotent and not exc.not_run:
            return RequestError(Result.OUTCOME_UNKNOWN)
        return super().final_error(verdict, exc)


class OnceRun(ServiceRun):
    """Relays a call that is executed at most once, under its ledger entry.

    The call goes on when its caller leaves, so that its outcome is stored.
    """

    cancels_with_caller = False

    def __init__(
        self, *args: Any, call: ServiceCall, ledger: OnceLedger, begun: RecordedIntent
    ):
        super().__init__(*args, call=call)
        self._ledger = ledger
        self._begun = begun
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Serve the call; what is known of it is stored either way."""
        try:
            await super().run()
        finally:
            if self.answer is None and not self.sent and not self._legs:
                await asyncio.shield(self._ledger.record_not_run(self._begun))

    async def deliver(self, answer: Answer) -> None:
        """Store the outcome, then give it to the caller."""
        await asyncio.shield(self._ledger.record_answer(self._begun, answer))
        await super().deliver(answer)


async def send_answer(exchange: Exchange, answer: Answer) -> None:
    """Send a stored or fresh answer of a service."""
    if answer.body is None:
        raise RequestError(Result.ANSWER_NOT_STORED)
    try:
        await exchange.answer(
            answer.status, answer.body, content_type=answer.content_type.encode()
        )
    except OSError:
        raise CallerGone from None


async def begin_once(
    ledger: OnceLedger, name: str, content: str, attempt: str
) -> RecordedIntent | CallRecord:
    """Record the intent of a call, or return what is known of it.

    Raises
    ------
    RequestError
        The call may not be sent: the service is out, or the key was used for
        another call.
    """
    beginning = asyncio.create_task(
        ledger.record_intent(name, content, attempt, now=time.time())
    )
    await asyncio.wait({beginning}, timeout=LEDGER_TIMEOUT_S)
    if not beginning.done():
        _release_when_begun(ledger, beginning)
        raise RequestError(Result.LEDGER_UNAVAILABLE, retry_after_s=2.0)
    try:
        outcome = beginning.result()
    except LedgerUnavailable:
        raise RequestError(Result.LEDGER_UNAVAILABLE, retry_after_s=2.0) from None
    if isinstance(outcome, RecordedIntent):
        return outcome
    if outcome.record.content_digest != content:
        raise RequestError(Result.KEY_REUSED)
    return outcome.record


_releases: set[asyncio.Task] = set()


def _release_when_begun(ledger: OnceLedger, beginning: asyncio.Task) -> None:
    """Free the key of a call that was given up before its intent was stored."""

    async def release() -> None:
        try:
            outcome = await beginning
        except LedgerUnavailable:
            return
        if isinstance(outcome, RecordedIntent):
            await ledger.record_not_run(outcome)

    task = asyncio.create_task(release())
    _releases.add(task)
    task.add_done_callback(_releases.discard)


async def answer_repeat(
    exchange: Exchange, ledger: OnceLedger, name: str, record: CallRecord
) -> None:
    """Answer a repeated call from the ledger, waiting briefly for its outcome."""
    until_s: Seconds = time.monotonic() + PENDING_WAIT_S
    while record.state is CallState.INTENT and time.monotonic() < until_s:
        await asyncio.sleep(PENDING_POLL_S)
        try:
            found = await ledger.look_up(name, now=time.time())
        except Unavailable:
            continue
        if found is None:
            break
        record = found
    if record.state is CallState.NOT_RUN:
        raise RequestError(Result.UPSTREAM_REFUSED, executed=Executed.NO)
    if record.state is CallState.INTENT or record.answer is None:
        raise RequestError(Result.OUTCOME_UNKNOWN)
    await send_answer(exchange, record.answer)
