"""Results of admission, and the actions that a scheduler's owner carries out."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.policy.limits import PermitsNeeded
from shallotpoint.policy.ticket import Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request was queued; ``expected_wait_s`` is an estimate in seconds."""

    expected_wait_s: Seconds


@dataclass(frozen=True, slots=True)
class Refused:
    """The request was not queued and did not run; times are in seconds."""

    result: Result
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an upstream; ``hedge`` marks a second, parallel attempt."""

    ticket: Ticket
    upstream: str
    hedge: bool = False


@dataclass(frozen=True, slots=True)
class Expire:
    """End a queued request without another attempt; ``retry_after_s`` is in seconds."""

    ticket: Ticket
    result: Result
    retry_after_s: Seconds


@dataclass(frozen=True, slots=True)
class Withdraw:
    """Cancel one attempt on its upstream.

    Attributes
    ----------
    requeued : bool
        Whether the request was queued again, to continue on another attempt.
    """

    ticket: Ticket
    upstream: str
    reason: Result
    requeued: bool


Action = Send | Expire | Withdraw | PermitsNeeded
Admission = Admitted | Refused
