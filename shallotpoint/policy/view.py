"""Read-only queries of a scheduler's state."""

from __future__ import annotations

from shallotpoint.pacing import PaceTracker
from shallotpoint.policy import admission, reassignment
from shallotpoint.policy.health import HealthTracker
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.state import PoolState, Slots
from shallotpoint.policy.ticket import AdmittedRequest
from shallotpoint.types import Seconds


class PoolView:
    """Read-only queries of the state of one pool.

    Parameters
    ----------
    state : PoolState
        State that the scheduler updates.
    """

    def __init__(self, state: PoolState):
        self._state = state

    @property
    def health(self) -> HealthTracker:
        """Health of the upstreams."""
        return self._state.health

    @property
    def pacing(self) -> PaceTracker | None:
        """Paces of new and recovered upstreams; None if they are not limited."""
        return self._state.pacing

    @property
    def requests(self) -> dict[str, AdmittedRequest]:
        """Admitted requests that are queued or running, by id."""
        return self._state.requests

    @property
    def upstreams(self) -> dict[str, Slots]:
        """Slots of each upstream, by name."""
        return self._state.upstreams

    @property
    def total_slots(self) -> int:
        """Credits on all healthy upstreams that are not draining."""
        return self._state.total_slots

    @property
    def waiting_count(self) -> int:
        """Number of queued requests of all classes."""
        return self._state.waiting_count

    def earliest_opening_s(self, now: Seconds) -> Seconds | None:
        """Return when the first upstream reopens; None if one is open or none exist."""
        return self._state.earliest_opening_s(now)

    def class_names(self) -> list[str]:
        """Return the names of the configured classes and of those still in use."""
        return list(self._state.classes)

    def queue_length(self, class_name: str) -> int:
        """Return the number of queued requests of a class."""
        queue = self._state.queues.get(class_name)
        return len(queue) if queue else 0

    def running_count(self, class_name: str) -> int:
        """Return the number of slots that a class uses."""
        return self._state.running[class_name]

    def slots_wanted(self, now: Seconds) -> float:
        """Return the slots that this router could use now.

        Routers exchange credits by this number.
        """
        running = sum(len(s.running) for s in self.upstreams.values())
        recent = sum(d.slots_wanted(now) for d in self._state.demand.values())
        return max(running + self.waiting_count, recent)

    def count_urgent(self, now: Seconds) -> int:
        """Return how many queued requests other routers should free slots for."""
        return reassignment.count_urgent(self._state, now)

    def count_not_preemptible(self, upstream: str) -> int:
        """Return the number of requests on an upstream that no other may preempt."""
        return reassignment.count_not_preemptible(self._state, upstream)

    def estimate_wait_s(
        self, cls: ServiceClass, organisation: str, now: Seconds
    ) -> Seconds:
        """Return the estimated wait of a new request, in seconds."""
        return admission.estimate_wait_s(self._state, cls, organisation, now)
