"""History of recent requests, for the operators' ``show`` and ``explain``."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from shallotpoint.results import Result, status_name
from shallotpoint.types import JSONObject, Seconds

MAX_REQUESTS = 2_000
MAX_REFUSALS = 5_000


@dataclass(slots=True)
class RequestLog:
    """History of one request.

    Attributes
    ----------
    branch : str or None
        Branch of the organisation that sent the request.
    exception : str or None
        Name of the branch exception that applied to the request.
    arrived_s : float
        Time of arrival, in Unix seconds.
    steps : list of tuple
        Unix time, name and detail of each step.
    result : Result or None
        Final result, None while the request is running.
    tokens : int
        Tokens streamed so far; in :mod:`shallotpoint.daemons.route_router`, events.
    """

    request: str
    organisation: str
    service_class: str
    branch: str | None
    pool: str
    exception: str | None
    arrived_s: Seconds
    steps: list[tuple[Seconds, str, str]] = field(default_factory=list)
    result: Result | None = None
    tokens: int = 0

    def add_step(self, at_s: Seconds, step: str, detail: str = "") -> None:
        """Append a step to the history.

        Parameters
        ----------
        at_s : float
            Unix time in seconds.
        """
        self.steps.append((at_s, step, detail))


@dataclass(frozen=True, slots=True)
class RefusalLog:
    """One refused request; ``at_s`` is in Unix seconds."""

    at_s: Seconds
    request: str
    organisation: str
    service_class: str
    branch: str | None
    result: Result


class Journal:
    """Keeps the latest request histories and refusals of one router in memory."""

    def __init__(self) -> None:
        self._request_logs: OrderedDict[str, RequestLog] = OrderedDict()
        self._refusals: deque[RefusalLog] = deque(maxlen=MAX_REFUSALS)

    def add_request(self, log: RequestLog) -> RequestLog:
        """Add the history of a new request and return it."""
        self._request_logs[log.request] = log
        if len(self._request_logs) > MAX_REQUESTS:
            self._request_logs.popitem(last=False)
        return log

    def add_refusal(self, refusal: RefusalLog) -> None:
        """Add a refused request."""
        self._refusals.append(refusal)

    def explain(self, request: str) -> list[JSONObject]:
        """Return a summary of a request, then its steps from the oldest on.

        Empty if the request is not known here.
        """
        log = self._request_logs.get(request)
        if log is None:
            return []
        head: JSONObject = {
            "request": log.request,
            "organisation": log.organisation,
            "class": log.service_class,
            "branch": log.branch,
            "exception": log.exception,
            "pool": log.pool,
            "result": status_name(log.result) if log.result is not None else "running",
            "tokens": log.tokens,
        }
        steps: list[JSONObject] = [
            {"after_s": round(at_s - log.arrived_s, 4), "step": what, "detail": detail}
            for at_s, what, detail in log.steps
        ]
        return [head, *steps]

    def refusals(self, *, since_s: Seconds) -> list[JSONObject]:
        """Return the refusals since a Unix time in seconds, oldest first."""
        return [
            {
                "at": round(r.at_s, 3),
                "request": r.request,
                "organisation": r.organisation,
                "class": r.service_class,
                "branch": r.branch,
                "result": status_name(r.result),
                "code": int(r.result),
            }
            for r in self._refusals
            if r.at_s >= since_s
        ]
