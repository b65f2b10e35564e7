"""Numbered result codes: what each outcome means for callers and operators.

The table in ``docs/result-codes.md`` is generated from this module.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum


class Executed(StrEnum):
    """Whether the request ran upstream; ``NO`` is a promise."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class Kind(StrEnum):
    """The family of a code, which decides the counter that it increments."""

    SUCCESS = "success"
    REFUSAL = "refusal"
    RETRY = "retry"
    FAILURE = "failure"
    OPERATOR = "operator"


class Result(IntEnum):
    """The result codes of requests, retries and operator commands."""

    OK = 0

    MISSING_KEY = 100
    WRONG_KEY = 101
    BAD_REQUEST = 102
    BODY_TOO_LARGE = 103
    BODY_TOO_SLOW = 104
    UNKNOWN_MODEL = 105
    UNKNOWN_POOL = 106
    UNKNOWN_CLASS = 107
    CLASS_NOT_ALLOWED = 108
    KEY_REQUIRED = 109
    BAD_HEADER = 110
    KEY_REUSED = 111
    NO_SUCH_PATH = 112

    QUEUE_FULL = 200
    WAIT_TOO_LONG = 201
    WAIT_EXPIRED = 202
    NO_UPSTREAM = 203
    NOT_CONFIGURED = 204
    POISON = 205
    LEDGER_UNAVAILABLE = 206
    STOPPING = 207
    UPSTREAM_REFUSED = 208
    RETRY_BUDGET_EMPTY = 209
    REJECTED = 211
    STALE_VIEW = 212
    NO_ROUTE = 213
    UPSTREAMS_CLOSED = 214
    UPSTREAMS_LIMITED = 215
    CANNOT_END = 216

    UPSTREAM_BROKE = 300
    OUTCOME_UNKNOWN = 301
    UPSTREAM_TIMEOUT = 302
    STREAM_CUT = 303
    CALLER_GONE = 304
    ANSWER_NOT_STORED = 305
    INTERNAL = 306

    RETRY_CONNECT = 400
    RETRY_REFUSED = 401
    RETRY_BROKE = 402
    RETRY_CARRY_ON = 403
    RETRY_HEDGE = 404
    RETRY_PREEMPTED = 405
    RETRY_ERROR = 406
    RETRY_MISDIRECTED = 407

    ACCEPTED = 500
    CONFLICT = 501
    PARSE_ERROR = 502
    INVALID_CHANGE = 503
    NOT_PERMITTED = 504
    NOT_FOUND = 505
    STORE_UNAVAILABLE = 506
    CHANGE_UNKNOWN = 507
    ORDER_PENDING = 508


@dataclass(frozen=True, slots=True)
class ResultInfo:
    """What one result code means and what to do about it.

    Attributes
    ----------
    http_status : int
        Status of the HTTP answer that carries the code.
    executed : Executed
        Whether the request ran; the strongest statement that always holds.
    retryable : bool
        Whether the same request may succeed later; adds ``Retry-After``.
    """

    kind: Kind
    http_status: int
    executed: Executed
    retryable: bool
    meaning: str
    caller: str
    operator: str


def _refusal(status, meaning, caller, operator="nothing", *, retryable=False):
    return ResultInfo(
        Kind.REFUSAL, status, Executed.NO, retryable, meaning, caller, operator
    )


def _failure(status, executed, meaning, caller, operator, *, retryable=False):
    return ResultInfo(
        Kind.FAILURE, status, executed, retryable, meaning, caller, operator
    )


def _retry(meaning, operator):
    return ResultInfo(
        Kind.RETRY, 0, Executed.UNKNOWN, False, meaning, "never sees it", operator
    )


def _operator(status, meaning, operator):
    return ResultInfo(
        Kind.OPERATOR, status, Executed.NO, False, meaning, "never sees it", operator
    )


_LATER = "wait for Retry-After, then send again"
_FIX = "correct the request"

RESULTS: dict[Result, ResultInfo] = {
    Result.OK: ResultInfo(
        Kind.SUCCESS,
        200,
        Executed.YES,
        False,
        "the whole answer was delivered",
        "nothing",
        "nothing",
    ),
    Result.MISSING_KEY: _refusal(401, "no API key was sent", "send the key"),
    Result.WRONG_KEY: _refusal(401, "the API key is not known", "check the key"),
    Result.BAD_REQUEST: _refusal(400, "the request cannot be read", _FIX),
    Result.BODY_TOO_LARGE: _refusal(413, "the body is over the limit", _FIX),
    Result.BODY_TOO_SLOW: _refusal(
        408, "the body did not arrive in time", "send again", retryable=True
    ),
    Result.UNKNOWN_MODEL: _refusal(
        404, "no pool serves the model", _FIX, "check `show pools`"
    ),
    Result.UNKNOWN_POOL: _refusal(
        404, "no service pool has the name", _FIX, "check `show pools`"
    ),
    Result.UNKNOWN_CLASS: _refusal(
        400, "no service class has the name", _FIX, "check `show classes`"
    ),
    Result.CLASS_NOT_ALLOWED: _refusal(
        403,
        "the organisation may not use the class",
        "use an allowed class",
        "allow the class for the organisation",
    ),
    Result.KEY_REQUIRED: _refusal(
        400, "the pool needs an Idempotency-Key", "send an Idempotency-Key"
    ),
    Result.BAD_HEADER: _refusal(400, "a header value is malformed", _FIX),
    Result.KEY_REUSED: _refusal(
        422,
        "the Idempotency-Key was used with another body",
        "use a new key for a new call",
    ),
    Result.NO_SUCH_PATH: _refusal(404, "nothing is served at the path", _FIX),
    Result.QUEUE_FULL: _refusal(
        429, "the queue of the class is full", _LATER, "add upstreams", retryable=True
    ),
    Result.WAIT_TOO_LONG: _refusal(
        429,
        "the estimated wait passes the target of the class",
        _LATER,
        "add upstreams or raise the share of the class",
        retryable=True,
    ),
    Result.WAIT_EXPIRED: _refusal(
        503,
        "the request waited as long as its class allows",
        _LATER,
        "look for slow upstreams",
        retryable=True,
    ),
    Result.NO_UPSTREAM: _refusal(
        503,
        "no upstream of the pool can take work",
        _LATER,
        "check `show upstreams`",
        retryable=True,
    ),
    Result.NOT_CONFIGURED: _refusal(
        503,
        "the router has no configuration yet",
        _LATER,
        "check the key-value service and peers",
        retryable=True,
    ),
    Result.POISON: _refusal(
        422,
        "upstreams crashed under the request, and it is blocked",
        "do not send it again",
        "read the engine logs; the block ends by itself",
    ),
    Result.LEDGER_UNAVAILABLE: _refusal(
        503,
        "the key-value service cannot record the call",
        _LATER,
        "check the key-value service",
        retryable=True,
    ),
    Result.STOPPING: _refusal(503, "the router is stopping", _LATER, retryable=True),
    Result.UPSTREAM_REFUSED: _refusal(
        503,
        "each upstream that was tried refused the request",
        _LATER,
        "check `show upstreams`",
        retryable=True,
    ),
    Result.RETRY_BUDGET_EMPTY: _refusal(
        503,
        "upstreams refused it and the retry budget is used up",
        _LATER,
        "find what makes the upstreams fail",
        retryable=True,
    ),
    Result.REJECTED: _refusal(
        400,
        "the upstream rejected the request as malformed",
        _FIX,
        "check that the upstream serves what the pool promises",
    ),
    Result.STALE_VIEW: _refusal(
        503,
        "the router has not heard for too long which keys are valid",
        _LATER,
        "check the way from the router to the key-value service",
        retryable=True,
    ),
    Result.NO_ROUTE: _refusal(404, "no route leads from the host and path", _FIX),
    Result.UPSTREAMS_CLOSED: _refusal(
        503,
        "each upstream named a time for which it takes no work",
        _LATER,
        "add upstreams or find what overruns them",
        retryable=True,
    ),
    Result.UPSTREAMS_LIMITED: _refusal(
        503,
        "each upstream named how much it takes, and the turn would come too late",
        _LATER,
        "look for `upstream limited` in the logs; add upstreams",
        retryable=True,
    ),
    Result.CANNOT_END: _refusal(
        503,
        "no upstream is fast enough to end the answer within its time limit",
        _LATER,
        "look for `answer cannot end in time` in the logs; add upstreams",
        retryable=True,
    ),
    Result.UPSTREAM_BROKE: _failure(
        502,
        Executed.UNKNOWN,
        "the upstream failed after it had been sent the request",
        "send again unless the call must not run twice",
        "check `show upstreams`",
        retryable=True,
    ),
    Result.OUTCOME_UNKNOWN: _failure(
        409,
        Executed.UNKNOWN,
        "the call was sent once and its outcome is not known",
        "check at the service; the key will not run again",
        "compare the service's own records",
    ),
    Result.UPSTREAM_TIMEOUT: _failure(
        504,
        Executed.UNKNOWN,
        "the upstream did not answer before the deadline",
        "send again unless the call must not run twice",
        "look for hanging upstreams",
        retryable=True,
    ),
    Result.STREAM_CUT: _failure(
        502,
        Executed.YES,
        "the stream broke and could not be carried on",
        "discard the partial answer and send again",
        "check `show upstreams`",
        retryable=True,
    ),
    Result.CALLER_GONE: _failure(
        499,
        Executed.UNKNOWN,
        "the caller closed the connection",
        "nothing",
        "nothing",
    ),
    Result.ANSWER_NOT_STORED: _failure(
        409,
        Executed.YES,
        "the call ran, but its answer was too large to store",
        "read the result at the service",
        "nothing",
    ),
    Result.INTERNAL: _failure(
        500,
        Executed.UNKNOWN,
        "the router met an error of its own",
        "report it with the request id",
        "read the log lines of the request id",
    ),
    Result.RETRY_CONNECT: _retry(
        "the upstream could not be reached; another was tried", "check the upstream"
    ),
    Result.RETRY_REFUSED: _retry(
        "the upstream refused; another was tried", "check the upstream's limits"
    ),
    Result.RETRY_BROKE: _retry(
        "the upstream failed before the first token; another was tried",
        "check the upstream",
    ),
    Result.RETRY_CARRY_ON: _retry(
        "a broken stream was carried on elsewhere", "check the upstream"
    ),
    Result.RETRY_HEDGE: _retry(
        "a second upstream was asked as the first was overdue",
        "look for a straggler",
    ),
    Result.RETRY_PREEMPTED: _retry(
        "the request gave up its slot to a higher tier and was queued again",
        "add capacity if this is frequent",
    ),
    Result.RETRY_ERROR: _retry(
        "the upstream answered with an error of its own; another was tried",
        "read the upstream's logs",
    ),
    Result.RETRY_MISDIRECTED: _retry(
        "another upstream answered at the upstream's address; another was tried",
        "look for an upstream that ended and is still listed",
    ),
    Result.ACCEPTED: _operator(200, "the change is stored", "nothing"),
    Result.CONFLICT: _operator(
        409,
        "another change to the same thing was stored first",
        "read the newer version, then decide again",
    ),
    Result.PARSE_ERROR: _operator(
        400, "the command cannot be read", "correct it at the place shown"
    ),
    Result.INVALID_CHANGE: _operator(
        422, "the change would break a rule", "read the message"
    ),
    Result.NOT_PERMITTED: _operator(
        403, "the token is unknown or its role too low", "use another token"
    ),
    Result.NOT_FOUND: _operator(404, "nothing has that name", "check the name"),
    Result.STORE_UNAVAILABLE: _operator(
        503,
        "the key-value service cannot be reached; nothing changed",
        "try again when it is back",
    ),
    Result.CHANGE_UNKNOWN: _operator(
        504,
        "the write was sent but its outcome could not be read back",
        "read the state before you try again",
    ),
    Result.ORDER_PENDING: _operator(
        202, "the order is stored and will be carried out", "check `show orders`"
    ),
}


def status_name(result: Result) -> str:
    """Return the lower-case name of a code, as answers and counters show it."""
    return result.name.lower()


def render_table() -> str:
    """Return the Markdown table of all codes, as kept in the docs."""
    lines = [
        "| code | name | kind | HTTP | executed | meaning | caller | operator |",
        "| --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    for result, info in RESULTS.items():
        cells = (
            str(int(result)),
            f"`{status_name(result)}`",
            str(info.kind),
            str(info.http_status or "-"),
            str(info.executed),
            info.meaning,
            info.caller,
            info.operator,
        )
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


NOT_RUN = frozenset(
    {Result.RETRY_CONNECT, Result.RETRY_REFUSED, Result.RETRY_MISDIRECTED}
)
"""Reasons of failed attempts after which the request surely has not run."""

NOT_REACHED = frozenset({Result.RETRY_CONNECT, Result.RETRY_MISDIRECTED})
"""Those after which the upstream that was meant has seen nothing of it."""
