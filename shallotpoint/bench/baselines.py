"""Plain policies to compare with; they send at once and queue upstream."""

from __future__ import annotations

import itertools
from collections import Counter
from collections.abc import Mapping

from shallotpoint.policy.actions import Action, Admission, Admitted, Send
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import AdmittedRequest, Attempt, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds


class PlainScheduler(Scheduler):
    """Sends each request at once.

    Parameters
    ----------
    least_connections : bool
        Choose the upstream with the fewest own requests, else take turns.
    """

    def __init__(self, *, least_connections: bool):
        super().__init__()
        self._least = least_connections
        self._turns = itertools.count()
        self._sends: list[Action] = []
        self._connections: Counter[str] = Counter()

    def offer(self, ticket: Ticket, now: Seconds) -> Admission:
        """Queue the request to be sent by the next poll."""
        request = AdmittedRequest(ticket, queued_s=now)
        self.requests[ticket.id] = request
        self._send_plain(request, now)
        return Admitted(0.0)

    def poll(self, now: Seconds) -> list[Action]:
        """Return what is to be sent."""
        sends, self._sends = self._sends, []
        return sends

    def progress(self, ticket_id, upstream, tokens, now) -> list[Action]:
        """Count tokens."""
        request = self.requests.get(ticket_id)
        if request is not None:
            request.tokens += tokens
        return []

    def finished(self, ticket_id, upstream, now) -> list[Action]:
        """Forget the request."""
        self.requests.pop(ticket_id, None)
        self._connections[upstream] -= 1
        return []

    def failed(
        self, ticket_id, upstream, reason, now, *, may_retry=True, is_gone=False
    ):
        """Send it again elsewhere, at most three times."""
        request = self.requests[ticket_id]
        self._connections[upstream] -= 1
        request.reroutes += 1
        if request.reroutes > 3 or request.tokens:
            del self.requests[ticket_id]
            return Result.UPSTREAM_BROKE
        self._send_plain(request, now)
        return None

    def abandon(self, ticket_id: str, now: Seconds) -> None:
        """Forget the request."""
        self.requests.pop(ticket_id, None)

    def set_credits(self, upstream: str, credits: int) -> None:
        """Ignore credits."""

    def set_upstreams(self, slots: Mapping[str, Slots]) -> None:
        """Take over the upstreams."""
        self._state.upstreams = dict(slots)

    def slots_wanted(self, now: Seconds) -> float:
        """Want nothing, as nothing is shared."""
        return 0.0

    def _send_plain(self, request: AdmittedRequest, now: Seconds) -> None:
        names = sorted(self.upstreams)
        if self._least:
            turn = next(self._turns)
            upstream = min(
                names,
                key=lambda n: (
                    self._connections[n],
                    (names.index(n) + turn) % 7,
                ),
            )
        else:
            upstream = names[next(self._turns) % len(names)]
        self._connections[upstream] += 1
        request.attempts = [Attempt(upstream, sent_s=now)]
        self._sends.append(Send(request.ticket, upstream))
