"""What a run is given, and what becomes of each of its requests."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.bench.baselines import PlainScheduler
from shallotpoint.bench.workloads import Arrival
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.tuning import Tuning
from shallotpoint.results import Result
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Policy:
    """A named policy: this project's with a tuning, or a baseline."""

    name: str
    tuning: Tuning | None = None
    least_connections: bool = False
    by_priority: bool = True
    urgent_credits: bool = True
    share_verdicts: bool = True

    def scheduler(self) -> Scheduler:
        """Return a new scheduler."""
        if self.tuning is not None:
            return Scheduler(tuning=self.tuning)
        return PlainScheduler(least_connections=self.least_connections)


@dataclass(frozen=True, slots=True)
class Faults:
    """What goes wrong in a run; spans are (start, end) in seconds."""

    slow: tuple[Seconds, Seconds, float] | None = None
    refusing: tuple[Seconds, Seconds] | None = None
    crash_s: Seconds | None = None
    routers_lost_s: Seconds | None = None
    gossip_s: Seconds = 0.05


@dataclass(slots=True)
class Fate:
    """What became of one request; times in seconds, None for never."""

    arrival: Arrival
    first_s: Seconds | None = None
    done_s: Seconds | None = None
    sent_s: Seconds | None = None
    refused: Result | None = None
    lost: bool = False
    tokens: int = 0
    gaps_late: int = 0
    gaps: int = 0
    last_s: Seconds | None = None
    preempted: int = 0

    @property
    def name(self) -> str:
        """The name of the request's class."""
        return self.arrival.kind.service_class.name

    @property
    def ttft_s(self) -> Seconds | None:
        """Time to first token."""
        return None if self.first_s is None else self.first_s - self.arrival.at_s

    @property
    def kept(self) -> bool:
        """Whether the whole answer came within its promise."""
        cls = self.arrival.kind.service_class
        if self.done_s is None or self.ttft_s is None:
            return False
        if cls.ttft_s is not None and self.ttft_s > cls.ttft_s:
            return False
        due_s = cls.deadline_s
        return due_s is None or self.done_s - self.arrival.at_s <= due_s
