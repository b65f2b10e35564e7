"""Decides whether a request is retried after a failed attempt."""

from __future__ import annotations

from shallotpoint.policy.reassignment import MAX_REROUTES
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds


def retry_refusal(
    state: PoolState,
    request: AdmittedRequest,
    upstream: str,
    reason: Result,
    *,
    may_retry: bool,
    now: Seconds,
) -> Result | None:
    """Return why a request is not retried after its last attempt failed.

    A retry spends from the retry budget, except for protected classes, and except
    after a failed connection if the number of attempts is limited.

    Parameters
    ----------
    reason : Result
        Why the attempt failed.
    may_retry : bool
        Whether another attempt is allowed although the request may have run.

    Returns
    -------
    Result or None
        The result to report to the caller, or None to retry.
    """
    ticket = request.ticket
    may_have_run = reason not in NOT_RUN
    failure = Result.STREAM_CUT if request.tokens else Result.UPSTREAM_BROKE
    if state.is_blocked(ticket, now):
        return Result.POISON
    if may_have_run and not (may_retry and ticket.idempotent):
        return failure
    if request.tokens and not ticket.resumable:
        return Result.STREAM_CUT
    if may_have_run and request.reroutes >= MAX_REROUTES:
        return failure
    if (
        ticket.max_attempts is not None
        and request.received_attempts >= ticket.max_attempts
    ):
        return failure if may_have_run else Result.UPSTREAM_REFUSED
    request.reroutes += 1
    if reason is Result.RETRY_CONNECT and ticket.max_attempts is not None:
        return None if request.reroutes <= MAX_REROUTES else Result.UPSTREAM_REFUSED
    if ticket.service_class.protected:
        return None
    if not state.budget(ticket, upstream).try_spend(now):
        return failure if may_have_run else Result.RETRY_BUDGET_EMPTY
    return None
