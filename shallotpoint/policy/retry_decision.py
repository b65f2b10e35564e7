"""Decides whether a request may be sent to another upstream."""

from __future__ import annotations

from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds

MAX_REROUTES = 4  # per request, after failed, slow or silent attempts


def may_run_elsewhere(
    state: PoolState,
    request: AdmittedRequest,
    upstream: str,
    now: Seconds,
    *,
    unspent_share: float = 0.0,
) -> bool:
    """Return whether a request that runs at an upstream may be sent to another one.

    If so, it has spent from the retry budget, as a retry after a failure does.

    Parameters
    ----------
    unspent_share : float
        Fraction of the retry budget that must remain for others.
    """
    return (
        request.reroutes < MAX_REROUTES
        and not _is_out_of_attempts(request, request.received_attempts + 1)
        and not state.is_blocked(request.ticket, now)
        and _spend_retry(state, request, upstream, now, unspent_share)
    )


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
    if _is_out_of_attempts(request, request.received_attempts):
        return failure if may_have_run else Result.UPSTREAM_REFUSED
    request.reroutes += 1
    if reason is Result.RETRY_CONNECT and ticket.max_attempts is not None:
        return None if request.reroutes <= MAX_REROUTES else Result.UPSTREAM_REFUSED
    if not _spend_retry(state, request, upstream, now):
        return failure if may_have_run else Result.RETRY_BUDGET_EMPTY
    return None


def _is_out_of_attempts(request: AdmittedRequest, received: int) -> bool:
    """Return whether no more attempts are left once upstreams received this many."""
    limit = request.ticket.max_attempts
    return limit is not None and received >= limit


def _spend_retry(
    state: PoolState,
    request: AdmittedRequest,
    upstream: str,
    now: Seconds,
    unspent_share: float = 0.0,
) -> bool:
    """Spend from the retry budget; return False if it is used up."""
    ticket = request.ticket
    return ticket.service_class.protected or state.budget(ticket, upstream).try_spend(
        now, unspent_share=unspent_share
    )
