"""What the policy knows of one request, and the legs on which it runs."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotpoint.policy.limits import Permit
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.poison import Incarnation
from shallotpoint.policy.prompts import Prompt
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Ticket:
    """The facts of one request that decisions use.

    Attributes
    ----------
    fingerprint : int
        Hash of the content; equal for a request that is sent again.
    prefix : int
        Hash of the start of the prompt; zero when it has none worth caching.
    resumable : bool
        Whether a broken answer can be carried on from the text so far.
    limit_s : float or None
        The request's own time limit, as a point in time in seconds.
    max_attempts : int or None
        Upstreams that it may be sent to; None leaves it to the policy.
    prompt : Prompt or None
        Its prompt, where the caller describes it.
    """

    id: str
    service_class: ServiceClass
    organisation: str
    arrived_s: Seconds
    size_bytes: int = 0
    fingerprint: int = 0
    prefix: int = 0
    idempotent: bool = True
    resumable: bool = False
    weight: float = 1.0
    limit_s: Seconds | None = None
    max_attempts: int | None = None
    prompt: Prompt | None = None

    @property
    def due_s(self) -> Seconds:
        """Time by which the class promises the answer or its first token."""
        cls = self.service_class
        return self.arrived_s + (cls.deadline_s or cls.ttft_s or 0.0)

    @property
    def expires_s(self) -> Seconds | None:
        """Time after which the request no longer waits; None for never."""
        patience_s = self.service_class.patience_s
        until_s = None if patience_s is None else self.arrived_s + patience_s
        if until_s is None or self.limit_s is None:
            return until_s
        return min(until_s, self.limit_s)

    @property
    def preemptible(self) -> bool:
        """Whether a higher tier may take this request's slot."""
        return self.resumable and not self.service_class.protected


@dataclass(slots=True)
class Leg:
    """One attempt of a request on one upstream.

    Attributes
    ----------
    started_ms : int
        Start of the upstream as it was known when the request was sent.
    held_back : bool
        Whether the stream waits for its caller, not for its upstream.
    permit : Permit or None
        What let it pass to an upstream that names a limit.
    """

    upstream: str
    sent_s: Seconds
    started_ms: int = 0
    first_s: Seconds | None = None
    last_s: Seconds | None = None
    tokens: int = 0
    hedge: bool = False
    held_back: bool = False
    permit: Permit | None = None

    @property
    def incarnation(self) -> Incarnation:
        """The start of the upstream that the request was sent to."""
        return Incarnation(self.upstream, self.started_ms)

    @property
    def waiting(self) -> bool:
        """Whether the first token is still to come."""
        return self.first_s is None


@dataclass(slots=True)
class Course:
    """The progress of one admitted request in this router.

    Attributes
    ----------
    reached : int
        Upstreams that the request was sent to and that may have read it.
    held_s : float or None
        Since when it waits for a permit of the upstream that suits it best.
    """

    ticket: Ticket
    queued_s: Seconds
    legs: list[Leg] = field(default_factory=list)
    tried: list[str] = field(default_factory=list)
    tokens: int = 0
    prepaid: int = 0
    moves: int = 0
    preemptions: int = 0
    reached: int = 0
    suspect: bool = False
    held_s: Seconds | None = None

    def leg_on(self, upstream: str) -> Leg | None:
        """Return the leg on an upstream, or None."""
        for leg in self.legs:
            if leg.upstream == upstream:
                return leg
        return None
