"""What happened to recent requests, for ``show`` and ``explain``."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass, field

from shallotpoint.results import Result, status_name
from shallotpoint.types import JSONObject, Seconds

COURSES_KEPT = 2_000
REFUSALS_KEPT = 5_000


@dataclass(slots=True)
class CourseLog:
    """The course of one request; times are wall-clock seconds."""

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

    def note(self, at_s: Seconds, what: str, detail: str = "") -> None:
        """Add one step."""
        self.steps.append((at_s, what, detail))


@dataclass(frozen=True, slots=True)
class RefusalLog:
    """One refused request."""

    at_s: Seconds
    request: str
    organisation: str
    service_class: str
    branch: str | None
    result: Result


class Journal:
    """Keeps the last courses and refusals of one router in bounded memory."""

    def __init__(self) -> None:
        self._courses: OrderedDict[str, CourseLog] = OrderedDict()
        self._refusals: deque[RefusalLog] = deque(maxlen=REFUSALS_KEPT)

    def open(self, log: CourseLog) -> CourseLog:
        """Start the course of a request."""
        self._courses[log.request] = log
        if len(self._courses) > COURSES_KEPT:
            self._courses.popitem(last=False)
        return log

    def refuse(self, refusal: RefusalLog) -> None:
        """Note a refusal."""
        self._refusals.append(refusal)

    def explain(self, request: str) -> list[JSONObject]:
        """Return the steps of a request, oldest first."""
        log = self._courses.get(request)
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

    def refused(self, *, since_s: Seconds) -> list[JSONObject]:
        """Return refusals since a wall-clock time, oldest first."""
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
