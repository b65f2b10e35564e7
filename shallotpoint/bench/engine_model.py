"""A virtual engine: continuous batching in steps, on a virtual clock."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field

from shallotpoint.standins.timing import EngineTiming, PrefixCache
from shallotpoint.types import Seconds


class EventQueue:
    """Virtual time: calls in the order of their times."""

    def __init__(self) -> None:
        self.now: Seconds = 0.0
        self._heap: list[tuple[Seconds, int, Callable[[], None]]] = []
        self._count = 0

    def at(self, at_s: Seconds, call: Callable[[], None]) -> None:
        """Call a function at a time."""
        self._count += 1
        heapq.heappush(self._heap, (max(at_s, self.now), self._count, call))

    def after(self, delay_s: Seconds, call: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.at(self.now + delay_s, call)

    def run(self, until_s: Seconds) -> None:
        """Run all calls up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now, _, call = heapq.heappop(self._heap)
            call()
        self.now = until_s


@dataclass(slots=True)
class Job:
    """One attempt of a request on an engine.

    Attributes
    ----------
    left : int
        Tokens still to come; only the engine knows.
    """

    ticket: str
    left: int
    prefix: int
    priority: int
    on_token: Callable[[], None]
    on_done: Callable[[], None]
    on_fail: Callable[[], None]
    ready_s: Seconds = 0.0
    cancelled: bool = False


@dataclass(slots=True)
class VirtualEngine:
    """Generates one token per running job and step.

    Attributes
    ----------
    slow_factor : float
        Multiplies all times; reports do not tell.
    """

    name: str
    timing: EngineTiming
    events: EventQueue
    slow_factor: float = 1.0
    refusing: bool = False
    generated: int = 0
    attempts: int = 0
    running: list[Job] = field(default_factory=list)
    _waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    _cache: PrefixCache = field(init=False)
    _stepping: bool = False
    _count: int = 0

    def __post_init__(self) -> None:
        self._cache = PrefixCache(self.timing.cache_size)

    def submit(self, job: Job) -> bool:
        """Take a job, or refuse it."""
        self.attempts += 1
        if self.refusing:
            return False
        if len(self.running) < self.timing.slots:
            self._start(job)
        else:
            self._count += 1
            heapq.heappush(self._waiting, (job.priority, self._count, job))
        return True

    def cancel(self, job: Job) -> None:
        """Drop a job and free its slot."""
        job.cancelled = True
        if job in self.running:
            self.running.remove(job)
            self._fill()

    def crash(self) -> None:
        """Fail all jobs."""
        jobs = [*self.running, *(job for *_, job in self._waiting)]
        self.running.clear()
        self._waiting.clear()
        for job in jobs:
            if not job.cancelled:
                job.cancelled = True
                job.on_fail()

    def _start(self, job: Job) -> None:
        cached = self._cache.touch(job.prefix)
        prefill_s = self.timing.prefill_s + (
            0 if cached else self.timing.uncached_extra_s
        )
        job.ready_s = self.events.now + prefill_s * self.slow_factor
        self.running.append(job)
        if not self._stepping:
            self._stepping = True
            self._next_step()

    def _next_step(self) -> None:
        batch = len(self.running)
        step_s = self.timing.token_time_s(batch, slow_factor=self.slow_factor)
        self.events.after(step_s, self._step)

    def _step(self) -> None:
        now = self.events.now
        for job in list(self.running):
            if job.cancelled or job.ready_s > now:
                continue
            self.generated += 1
            job.left -= 1
            job.on_token()
            if job.left <= 0 and not job.cancelled:
                self.running.remove(job)
                job.cancelled = True
                job.on_done()
        self._fill()
        if self.running:
            self._next_step()
        else:
            self._stepping = False

    def _fill(self) -> None:
        while self._waiting and len(self.running) < self.timing.slots:
            *_, job = heapq.heappop(self._waiting)
            if not job.cancelled:
                self._start(job)
