"""Properties of a request, its progress, and its attempts on upstreams."""

from __future__ import annotations

from dataclasses import dataclass, field

from shallotpoint.policy.crash_reports import Incarnation
from shallotpoint.policy.limits import Permit
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.prompts import Prompt
from shallotpoint.types import Seconds

EARLY_CRASH_S = 1.0  # a fatal request crashes its upstream as it begins to run


@dataclass(frozen=True, slots=True)
class Ticket:
    """Properties of one request that the scheduling policy uses.

    Attributes
    ----------
    fingerprint : int
        Hash of the content; the same when a caller repeats a request.
    prefix : int
        Hash of the start of the prompt; 0 if it has none worth caching.
    idempotent : bool
        Whether the request may be sent again after it may have run.
    resumable : bool
        Whether another upstream can continue an interrupted answer.
    weight : float
        Share of its organisation in the queue, relative to the others.
    time_limit_at_s : float or None
        Time at which the request's own time limit ends, in seconds.
    max_attempts : int or None
        Upstreams that may receive the request; None if only the policy limits them.
    prompt : Prompt or None
        Lengths and shared parts of the prompt, if the caller describes them.
    parts : frozenset of str
        Ids of the parts of its prompt that other requests may share.
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
    time_limit_at_s: Seconds | None = None
    max_attempts: int | None = None
    prompt: Prompt | None = None
    parts: frozenset[str] = frozenset()

    @property
    def due_s(self) -> Seconds:
        """Time at which the answer, or else its first token, is due.

        It equals the arrival time for classes with neither target.
        """
        cls = self.service_class
        return self.arrived_s + (cls.deadline_s or cls.ttft_s or 0.0)

    @property
    def expires_s(self) -> Seconds | None:
        """Time after which a queued request expires; None for never."""
        timeout_s = self.service_class.queue_timeout_s
        expiry_s = None if timeout_s is None else self.arrived_s + timeout_s
        if expiry_s is None or self.time_limit_at_s is None:
            return expiry_s
        return min(expiry_s, self.time_limit_at_s)

    @property
    def overdue_s(self) -> Seconds | None:
        """Time from which a queued request misses its target for the first token.

        None if it has no such target, or if it expires at the latest by then.
        """
        if self.service_class.ttft_s is None or self.expires_s is None:
            return None
        overdue_s = self.arrived_s + self.service_class.ttft_s
        return overdue_s if overdue_s < self.expires_s else None

    @property
    def preemptible(self) -> bool:
        """Whether the request may be interrupted to give its slot to a higher tier."""
        return self.resumable and not self.service_class.protected


@dataclass(slots=True)
class Attempt:
    """One attempt of a request on one upstream.

    Attributes
    ----------
    started_ms : int
        Start time of the upstream's process, as known when the request was sent.
    first_token_at_s, last_token_at_s : float or None
        Times of the first and of the latest token.
    tokens : int
        Tokens received from this attempt.
    hedge : bool
        Whether the attempt runs beside an earlier one whose first token is overdue.
    is_backpressured : bool
        Whether the stream waits for its caller rather than its upstream.
    permit : Permit or None
        Permit that the attempt used; None if the upstream has no rate limit.
    cleared_parts : bool
        Whether the answer has cleared the request's prompt parts of crashes.
    """

    upstream: str
    sent_s: Seconds
    started_ms: int = 0
    first_token_at_s: Seconds | None = None
    last_token_at_s: Seconds | None = None
    tokens: int = 0
    hedge: bool = False
    is_backpressured: bool = False
    permit: Permit | None = None
    cleared_parts: bool = False

    @property
    def incarnation(self) -> Incarnation:
        """The upstream process that the request was sent to."""
        return Incarnation(self.upstream, self.started_ms)

    @property
    def outlasts_early_crash(self) -> bool:
        """Whether the upstream ran the request longer than a fatal one would run."""
        first_s, last_s = self.first_token_at_s, self.last_token_at_s
        if first_s is None or last_s is None:
            return False
        return last_s - first_s > EARLY_CRASH_S

    @property
    def awaits_first_token(self) -> bool:
        """Whether no token has arrived yet."""
        return self.first_token_at_s is None


@dataclass(slots=True)
class AdmittedRequest:
    """An admitted request and its progress in this router.

    Attributes
    ----------
    queued_s : float
        Time at which the request was last queued.
    attempts : list
        Attempts that are running; empty while the request is queued.
    tried_upstreams : list of str
        Upstreams of all attempts so far.
    tokens : int
        Tokens received from all attempts.
    prepaid_tokens : int
        Tokens charged to the organisation in advance and not yet produced.
    reroutes : int
        Times that the request was retried or moved after a failed, slow or silent
        attempt.
    preemptions : int
        Times that the request lost its slot to a higher tier.
    received_attempts : int
        Ended attempts of which the upstream may have received the request, without
        cancelled hedges.
    is_suspect : bool
        Whether an upstream may have crashed because of the request.
    permit_wait_since_s : float or None
        Time since which it waits for a permit of its best upstream; None if it
        does not.
    """

    ticket: Ticket
    queued_s: Seconds
    attempts: list[Attempt] = field(default_factory=list)
    tried_upstreams: list[str] = field(default_factory=list)
    tokens: int = 0
    prepaid_tokens: int = 0
    reroutes: int = 0
    preemptions: int = 0
    received_attempts: int = 0
    is_suspect: bool = False
    permit_wait_since_s: Seconds | None = None

    def attempt_on(self, upstream: str) -> Attempt | None:
        """Return the running attempt on an upstream, or None."""
        for attempt in self.attempts:
            if attempt.upstream == upstream:
                return attempt
        return None
