"""The calls that belong to a duty, as the deployment's adapter carries them out."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum, StrEnum
from typing import Protocol

from shallotpoint.types import Revision, Seconds

# Part of the accepted calls that the holder of one duty makes.  The holder of the other
# duty may be another router, which does not tell of its calls.
CALLS_SHARE = 0.5
LONGEST_CALL_S: Seconds = 1.0  # a duty must be held until a call has ended


class Duty(StrEnum):
    """What one router at a time does for all routers."""

    USAGE = "usage"
    SCALING = "scaling"


@dataclass(frozen=True, slots=True)
class HeldDuty:
    """A duty that this router holds.

    Attributes
    ----------
    fence : int
        Fencing token, higher than that of each earlier holder.
    valid_until_s : float
        Time on the holder's boot-time clock after which it must not act, in seconds.
    """

    duty: Duty
    fence: Revision
    valid_until_s: Seconds

    def allows(self, duration_s: Seconds, now: Seconds) -> bool:
        """Return whether an operation of this duration ends while the duty is held."""
        return now + duration_s <= self.valid_until_s


class CallOutcome(Enum):
    """What is known of a call after its response, or without one."""

    DONE = "done"
    FENCED = "fenced"  # a higher fencing token was seen
    UNAVAILABLE = "unavailable"  # no such servers at the moment
    THROTTLED = "throttled"
    NOT_DONE = "not done"
    UNKNOWN = "unknown"  # it may still be carried out seconds later


class DutyCalls(Protocol):
    """The platform's side of the duties."""

    async def report_usage(
        self, fence: Revision, window: int, counts: Mapping[str, int]
    ) -> CallOutcome:
        """Report the requests of each organisation that began in a window."""

    async def order_servers(
        self,
        fence: Revision,
        pool: str,
        data_centre: str,
        count: int,
        *,
        reclaimable: bool,
    ) -> CallOutcome:
        """Order a number of servers of one kind for a pool in a data centre."""

    async def close(self) -> None:
        """Close all connections."""
