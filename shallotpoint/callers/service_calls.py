"""Relays calls to plain services; a call with a key is executed at most once."""

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

# Calls are refused within a second while the key-value service is unavailable.
LEDGER_TIMEOUT_S = 0.9
OUTCOME_WAIT_S = 2.0  # how long a repeated call waits for the outcome of the first
OUTCOME_POLL_INTERVAL_S = 0.1


@dataclass(frozen=True, slots=True)
class ServiceCall:
    """One call to a plain service.

    Attributes
    ----------
    key : str, optional
        Idempotency key that the caller sent.
    """

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

    async def try_upstream(self, upstream: str, address: str) -> None:
        """Send the call to one upstream and relay its answer."""
        call = self._call
        request = UpstreamRequest(
            call.method, call.path, call.headers(self.ticket.id), call.body
        )
        client = self.services.client
        async with client.send(
            address, request, repeatable=self.ticket.idempotent
        ) as resp:
            self.may_have_run = True
            body = await read_response_body(resp)
            self.pool.progress(self.ticket.id, upstream, 1)
            content_type = resp.headers.get("content-type", "application/json")
            self.answer = Answer(resp.status, content_type, body)
            await self.deliver_answer(self.answer)

    async def deliver_answer(self, answer: Answer) -> None:
        """Send the service's answer to the caller."""
        await send_answer(self.exchange, answer)

    def final_error(self, final_result: Result, exc: UpstreamFailure) -> RequestError:
        """Return the error that the caller gets when the request is not retried."""
        if not self.ticket.idempotent and not exc.not_run:
            return RequestError(Result.OUTCOME_UNKNOWN)
        return super().final_error(final_result, exc)


class AtMostOnceRun(ServiceRun):
    """Relays a call that is executed at most once and recorded in the ledger.

    The call continues after its caller disconnects, so that its outcome is stored.
    """

    cancels_with_caller = False

    def __init__(
        self, *args: Any, call: ServiceCall, ledger: OnceLedger, intent: RecordedIntent
    ):
        super().__init__(*args, call=call)
        self._ledger = ledger
        self._intent = intent
        self._tasks: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Run the call; if it certainly did not run, record that in the ledger."""
        try:
            await super().run()
        finally:
            if (
                self.answer is None
                and not self.may_have_run
                and not self._attempt_tasks
            ):
                await asyncio.shield(self._ledger.record_not_run(self._intent))

    async def deliver_answer(self, answer: Answer) -> None:
        """Store the answer in the ledger, then send it to the caller."""
        await asyncio.shield(self._ledger.record_answer(self._intent, answer))
        await super().deliver_answer(answer)


async def send_answer(exchange: Exchange, answer: Answer) -> None:
    """Send a service's answer, new or read from the ledger, to the caller.

    Raises
    ------
    RequestError
        The ledger holds the answer without its body.
    CallerGone
        The caller closed the connection.
    """
    if answer.body is None:
        raise RequestError(Result.ANSWER_NOT_STORED)
    try:
        await exchange.send_answer(
            answer.status, answer.body, content_type=answer.content_type.encode()
        )
    except OSError:
        raise CallerGone from None


async def record_call_intent(
    ledger: OnceLedger, call_key: str, digest: str, attempt: str
) -> RecordedIntent | CallRecord:
    """Record in the ledger that a call will be sent.

    Parameters
    ----------
    call_key : str
        Key of the call's ledger entry.
    digest : str
        Digest of the call's content.
    attempt : str
        Id of the attempt.

    Returns
    -------
    RecordedIntent or CallRecord
        The new intent, or the record of an earlier call with the same content.

    Raises
    ------
    RequestError
        The call may not be sent: the ledger is unavailable, or the key was used for
        another call.
    """
    recording = asyncio.create_task(
        ledger.record_intent(call_key, digest, attempt, now=time.time())
    )
    await asyncio.wait({recording}, timeout=LEDGER_TIMEOUT_S)
    if not recording.done():
        _release_key_when_recorded(ledger, recording)
        raise RequestError(Result.LEDGER_UNAVAILABLE, retry_after_s=2.0)
    try:
        outcome = recording.result()
    except LedgerUnavailable:
        raise RequestError(Result.LEDGER_UNAVAILABLE, retry_after_s=2.0) from None
    if isinstance(outcome, RecordedIntent):
        return outcome
    if outcome.record.content_digest != digest:
        raise RequestError(Result.KEY_REUSED)
    return outcome.record


_key_release_tasks: set[asyncio.Task] = set()


def _release_key_when_recorded(ledger: OnceLedger, recording: asyncio.Task) -> None:
    """Record a call that was refused on a timeout as not run.

    Its intent may still be recorded later, and a repeated call would then wait for an
    outcome that never comes.
    """

    async def release() -> None:
        try:
            outcome = await recording
        except LedgerUnavailable:
            return
        if isinstance(outcome, RecordedIntent):
            await ledger.record_not_run(outcome)

    task = asyncio.create_task(release())
    _key_release_tasks.add(task)
    task.add_done_callback(_key_release_tasks.discard)


async def answer_repeated_call(
    exchange: Exchange, ledger: OnceLedger, call_key: str, record: CallRecord
) -> None:
    """Answer a repeated call from the ledger, after a short wait for its outcome.

    Raises
    ------
    RequestError
        The first call did not run, or its outcome is not known.
    """
    deadline_s: Seconds = time.monotonic() + OUTCOME_WAIT_S
    while record.state is CallState.INTENT and time.monotonic() < deadline_s:
        await asyncio.sleep(OUTCOME_POLL_INTERVAL_S)
        try:
            found = await ledger.look_up(call_key, now=time.time())
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
