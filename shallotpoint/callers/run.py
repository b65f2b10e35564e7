"""Runs one admitted request: attempts at upstreams, retries and the final answer."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import time
from collections.abc import Iterator, Mapping
from dataclasses import dataclass
from types import MappingProxyType
from typing import Any

from shallotpoint.callers.access import Caller
from shallotpoint.callers.exchange import CallerGone, Exchange
from shallotpoint.controllers.journal import Journal, RefusalLog, RequestLog
from shallotpoint.controllers.pools import PoolRunner, PoolsController
from shallotpoint.errors import RequestError
from shallotpoint.hashing import content_name
from shallotpoint.metrics import Metrics
from shallotpoint.policy.actions import Refused
from shallotpoint.policy.prompts import logged_ids
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import RESULTS, Executed, Kind, Result, status_name
from shallotpoint.types import Seconds
from shallotpoint.upstreams.client import UpstreamClient, UpstreamFailure

_log = logging.getLogger("shallotpoint.requests")
# Results for the caller in place of the retry codes, which callers never see.
_FINAL_RESULTS = {
    Result.RETRY_CONNECT: Result.UPSTREAM_REFUSED,
    Result.RETRY_REFUSED: Result.UPSTREAM_REFUSED,
    Result.RETRY_MISDIRECTED: Result.UPSTREAM_REFUSED,
    Result.RETRY_BROKE: Result.UPSTREAM_BROKE,
    Result.RETRY_ERROR: Result.UPSTREAM_BROKE,
}


@dataclass(frozen=True, slots=True)
class Services:
    """Services that all requests of a router share."""

    pools: PoolsController
    metrics: Metrics
    journal: Journal


@dataclass(frozen=True, slots=True)
class ChatServices(Services):
    """Services that chat requests and calls to plain services share."""

    client: UpstreamClient


class RequestRun:
    """Runs one request; subclasses implement a single attempt.

    An attempt is one try to run the request at one upstream, in a task of its own.
    Only one attempt may write the answer's content: the first that reports progress to
    its pool, as the scheduler then cancels the others.

    Attributes
    ----------
    cancels_with_caller : bool
        Whether the request ends when the caller disconnects.
    may_have_run : bool
        Whether the request may have run at an upstream.
    attempts : int
        Number of attempts started.
    """

    cancels_with_caller = True

    def __init__(
        self,
        exchange: Exchange,
        caller: Caller,
        ticket: Ticket,
        pool: PoolRunner,
        services: Services,
    ):
        self.exchange = exchange
        self.caller = caller
        self.ticket = ticket
        self.pool = pool
        self.services = services
        self.log = services.journal.add_request(
            RequestLog(
                ticket.id,
                caller.organisation.name,
                caller.service_class.name,
                caller.branch,
                pool.pool.name,
                caller.exception,
                time.time(),
            )
        )
        self.may_have_run = False
        self.attempts = 0
        self._finish_task: asyncio.Task | None = None
        self._attempt_tasks: dict[str, asyncio.Task] = {}
        self._outcome: asyncio.Future = asyncio.get_running_loop().create_future()
        self._queued_at_s: Seconds = time.monotonic()

    async def run(self) -> None:
        """Run the request to its end; every connected caller gets one final answer."""
        try:
            await self._submit_and_wait()
            self._record_end(Result.OK)
        except CallerGone:
            self._record_end(Result.CALLER_GONE)
        except RequestError as exc:
            self._record_end(exc.result)
            with contextlib.suppress(OSError):
                await self.fail(exc)
        finally:
            self._log_abandoned_attempts()
            self.pool.abandon(self.ticket.id)
            for task in [*self._attempt_tasks.values(), self._finish_task]:
                if task is not None:
                    task.cancel()

    async def try_upstream(self, upstream: str, address: str) -> None:
        """Send the request to one upstream and write its answer to the caller.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        address : str
            Its host and port.

        Raises
        ------
        UpstreamFailure
            The attempt failed.
        """
        raise NotImplementedError

    async def fail(self, exc: RequestError) -> None:
        """Send the caller the final answer of a failed request."""
        await self.exchange.send_error(exc)

    def end_log_fields(self) -> Mapping[str, Any]:
        """Return additional fields for the log record of the request's end."""
        return {}

    def is_content_complete(self) -> bool:
        """Return whether all content of the answer was received from upstreams."""
        return False

    async def finish_answer(self) -> None:
        """Finish writing an answer whose content is complete."""
        raise NotImplementedError

    # Callbacks for the scheduler's actions (RequestHandler)

    def send(self, upstream: str, *, hedge: bool) -> None:
        """Start an attempt at an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        hedge : bool
            Whether the attempt runs in parallel with an earlier one.
        """
        if not self._attempt_tasks and not self.may_have_run:
            waited_s = time.monotonic() - self._queued_at_s
            labels = {"class": self.ticket.service_class.name}
            self.services.metrics.wait.observe(labels, waited_s)
        if hedge:
            self._record_retry(Result.RETRY_HEDGE, upstream)
        self.attempts += 1
        self.log.add_step(time.time(), "hedge" if hedge else "send", upstream)
        slots = self.pool.scheduler.upstreams[upstream]
        _log.info(
            "request sent",
            extra={
                "request": self.ticket.id,
                "content": content_name(self.ticket.fingerprint),
                "parts": logged_ids(self.ticket.parts),
                "connection": self.exchange.connection_label,
                "pool": self.pool.pool.name,
                "upstream": upstream,
                "attempt": self.attempts,
                "waited_s": round(time.monotonic() - self._queued_at_s, 4),
                "running": len(slots.running),
                "elsewhere": slots.peer_running,
                "limit_per_s": self.services.pools.limit_per_s(upstream),
            },
        )
        address = self.services.pools.address_of(upstream)
        task = asyncio.create_task(self._run_attempt(upstream, address))
        self._attempt_tasks[upstream] = task

    def expire(self, result: Result, retry_after_s: Seconds) -> None:
        """End a request that waited for too long, or that the router's stop would cut.

        Parameters
        ----------
        result : Result
            Result code for the caller.
        retry_after_s : float
            Time after which the caller may retry, in seconds.
        """
        may_have_run = self.may_have_run or self._attempt_tasks
        executed = Executed.UNKNOWN if may_have_run else None
        self._settle(
            RequestError(result, executed=executed, retry_after_s=retry_after_s)
        )

    def withdraw(self, upstream: str, reason: Result, *, requeued: bool) -> None:
        """Cancel the attempt at an upstream.

        Parameters
        ----------
        upstream : str
            Name of the upstream.
        reason : Result
            Why the attempt is cancelled.
        requeued : bool
            Whether the request is queued again.
        """
        self.log.add_step(time.time(), "withdraw", f"{upstream}: {status_name(reason)}")
        if requeued:
            self._record_retry(reason, upstream)
        task = self._attempt_tasks.pop(upstream, None)
        if task is not None:
            self.may_have_run = True
            task.cancel()

    # Attempts and their outcomes

    async def _submit_and_wait(self) -> None:
        admission = self.pool.submit(self.ticket, self)
        if isinstance(admission, Refused):
            raise RequestError(admission.result, retry_after_s=admission.retry_after_s)
        disconnect_task = asyncio.create_task(self.exchange.wait_disconnect())
        disconnect_task.add_done_callback(self._handle_disconnect)
        try:
            await self._outcome
        finally:
            disconnect_task.cancel()

    def _handle_disconnect(self, task: asyncio.Task) -> None:
        if not task.cancelled() and self.cancels_with_caller:
            self._settle(CallerGone())

    async def _run_attempt(self, upstream: str, address: str) -> None:
        if self.is_content_complete():
            await self._finish_and_settle()
            return
        try:
            await self.try_upstream(upstream, address)
        except UpstreamFailure as exc:
            self._attempt_tasks.pop(upstream, None)
            self._handle_failure(upstream, exc)
            if self.is_content_complete():
                await self._finish_and_settle()
        except asyncio.CancelledError:
            raise
        except (CallerGone, RequestError) as exc:
            self._settle(exc)
        except Exception as exc:
            _log.exception("request failed", extra={"request": self.ticket.id})
            self._settle(RequestError(Result.INTERNAL, f"{type(exc).__name__}"))
        else:
            self._attempt_tasks.pop(upstream, None)
            self.log.add_step(time.time(), "answered", upstream)
            self.pool.finished(self.ticket.id, upstream)
            self._settle(None)

    def _handle_failure(self, upstream: str, exc: UpstreamFailure) -> None:
        self.log.add_step(time.time(), "failed", f"{status_name(exc.reason)}: {exc}")
        _log.info(
            "attempt failed",
            extra={
                "request": self.ticket.id,
                "pool": self.pool.pool.name,
                "upstream": upstream,
                "reason": status_name(exc.reason),
                "detail": str(exc)[:200],
            },
        )
        if not exc.not_run:
            self.may_have_run = True
        final_result = self.pool.failed(
            self.ticket.id,
            upstream,
            exc.reason,
            may_retry=self.may_retry(),
            is_gone=exc.is_gone,
        )
        if self.is_content_complete():
            return
        if final_result is None:
            reason = exc.reason
            if not exc.not_run:
                started = self.exchange.started
                reason = Result.RETRY_CARRY_ON if started else Result.RETRY_BROKE
            self._record_retry(reason, upstream)
            return
        self._settle(self.final_error(final_result, exc))

    def _log_abandoned_attempts(self) -> None:
        """Log the attempts that are unfinished when the request ends."""
        for upstream in self._attempt_tasks:
            _log.info(
                "attempt given up",
                extra={
                    "request": self.ticket.id,
                    "content": content_name(self.ticket.fingerprint),
                    "pool": self.pool.pool.name,
                    "upstream": upstream,
                    "events": self.log.tokens,
                },
            )

    async def _finish_and_settle(self) -> None:
        try:
            await self.finish_answer_once()
        except CallerGone as exc:
            self._settle(exc)
        else:
            self._settle(None)

    async def finish_answer_once(self) -> None:
        """Finish writing the answer, once for all attempts, and wait for that.

        If the waiting attempt is cancelled, the write continues, as a slow caller may
        still be reading the answer.
        """
        if self._finish_task is None:
            self._finish_task = asyncio.create_task(self.finish_answer())
        await asyncio.shield(self._finish_task)

    def may_retry(self) -> bool:
        """Return whether a request that may have run already may be retried."""
        return self.ticket.idempotent

    def final_error(self, final_result: Result, exc: UpstreamFailure) -> RequestError:
        """Return the error that the caller gets when the request is not retried.

        Parameters
        ----------
        final_result : Result
            Result code to end the request with.
        exc : UpstreamFailure
            Failure of the last attempt.
        """
        result = _FINAL_RESULTS.get(final_result, final_result)
        if exc.reason is Result.UPSTREAM_TIMEOUT:
            result = Result.UPSTREAM_TIMEOUT
        if self.exchange.started:
            result = Result.STREAM_CUT
        executed = None
        if self.may_have_run and result is not Result.STREAM_CUT:
            executed = Executed.UNKNOWN
        wait_s = self.pool.opens_in_s()
        return RequestError(result, executed=executed, retry_after_s=wait_s)

    def _record_retry(self, reason: Result, upstream: str) -> None:
        if RESULTS[reason].kind is Kind.RETRY:
            self.services.metrics.retried(self.pool.pool.name, reason)
        self.log.add_step(time.time(), "retry", f"{upstream}: {status_name(reason)}")

    def _settle(self, exc: BaseException | None) -> None:
        if self._outcome.done():
            return
        if exc is None:
            self._outcome.set_result(None)
        else:
            self._outcome.set_exception(exc)

    def _record_end(self, result: Result) -> None:
        self.log.result = result
        if result is not Result.OK and self.log.tokens:
            labels = {"pool": self.pool.pool.name}
            self.services.metrics.wasted.add(labels, self.log.tokens)
        now = time.monotonic()
        log_fields = {
            "total_s": round(now - self.ticket.arrived_s, 4),
            "connection": self.exchange.connection_label,
            "answer_begun": self.exchange.started,
            "attempts": self.attempts,
            "events": self.log.tokens,
            **self.end_log_fields(),
        }
        if result is Result.POISON:
            log_fields["content"] = content_name(self.ticket.fingerprint)
            log_fields["parts"] = logged_ids(self.ticket.parts)
        record_request_end(
            self.services,
            self.caller,
            self.ticket.id,
            result,
            self.pool.pool.name,
            log_fields,
        )


def record_request_end(
    services: Services,
    caller: Caller | None,
    request_id: str,
    result: Result,
    pool: str = "",
    log_fields: Mapping[str, Any] = MappingProxyType({}),
) -> None:
    """Record the end of a request in the metrics and the log.

    Refusals are added to the journal too.

    Parameters
    ----------
    caller : Caller, optional
        None if the request ended before its caller was known.
    pool : str
        Name of the pool; empty if none was chosen.
    log_fields : Mapping
        Additional fields of the log record.
    """
    class_name = caller.service_class.name if caller else ""
    organisation = caller.organisation.name if caller else ""
    services.metrics.ended(class_name, result)
    if RESULTS[result].kind is Kind.REFUSAL:
        services.journal.add_refusal(
            RefusalLog(
                time.time(),
                request_id,
                organisation,
                class_name,
                caller.branch if caller else None,
                result,
            )
        )
    _log.info(
        "request ended",
        extra={
            "request": request_id,
            "organisation": organisation,
            "class": class_name,
            "pool": pool,
            "result": status_name(result),
            **log_fields,
        },
    )


@contextlib.contextmanager
def recording_refusals(
    services: Services, request_id: str, caller: Caller | None = None
) -> Iterator[None]:
    """Record the end of a request that is refused before it is submitted to a pool."""
    try:
        yield
    except RequestError as exc:
        record_request_end(services, caller, request_id, exc.result)
        raise
