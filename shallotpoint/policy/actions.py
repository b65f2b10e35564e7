"""What a scheduler tells its owner to do next."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.policy.limits import Ask
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was queued; ``expected_wait_s`` is an estimate in seconds."""

    expected_wait_s: Seconds


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not queued, and was not run."""

    result: Result
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream; ``hedge`` marks a second leg."""

    ticket: Ticket
    upstream: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class Expire:
    """End a queued request that was not run."""

    ticket: Ticket
    result: Result
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Cancel one leg upstream.

    ``requeued`` says that the request waits again and is carried on later.
    """

    ticket: Ticket
    upstream: str
    reason: Result
    requeued: bool


Action = Send | Expire | Withdraw | Ask
Admission = Admitted | Refused
