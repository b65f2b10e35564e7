"""Whether a request whose attempt failed may be tried again."""

from __future__ import annotations

from shallotpoint.policy.rescue import MAX_MOVES
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import Course
from shallotpoint.results import NOT_RUN, Result
from shallotpoint.types import Seconds


def verdict_on_retry(
    state: PoolState,
    course: Course,
    upstream: str,
    reason: Result,
    *,
    may_retry: bool,
    now: Seconds,
) -> Result | None:
    """Decide on a request whose last leg failed; spends from its retry budget.

    Returns
    -------
    Result or None
        The code to give up with, or None to try again.
    """
    ticket = course.ticket
    sent = reason not in NOT_RUN
    broke = Result.STREAM_CUT if course.tokens else Result.UPSTREAM_BROKE
    if state.is_blocked(ticket.fingerprint, now):
        return Result.POISON
    if sent and not (may_retry and ticket.idempotent):
        return broke
    if course.tokens and not ticket.resumable:
        return Result.STREAM_CUT
    if sent and course.moves >= MAX_MOVES:
        return broke
    if ticket.max_attempts is not None and course.reached >= ticket.max_attempts:
        return broke if sent else Result.UPSTREAM_REFUSED
    course.moves += 1
    if reason is Result.RETRY_CONNECT and ticket.max_attempts is not None:
        return None if course.moves <= MAX_MOVES else Result.UPSTREAM_REFUSED
    if ticket.service_class.protected:
        return None
    if not state.budget(ticket, upstream).spend(now):
        return broke if sent else Result.RETRY_BUDGET_EMPTY
    return None
