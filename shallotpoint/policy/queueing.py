"""Fair queue of one service class: organisations share it by tokens served."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from shallotpoint.policy.ticket import Ticket
from shallotpoint.types import Seconds, Tokens


@dataclass(slots=True)
class _Account:
    """The queued requests of one organisation and the tokens that it was served.

    Attributes
    ----------
    weighted_tokens : float
        Tokens served, divided by the weight.
    queued : int
        Number of queued requests.
    in_account_heap : bool
        Whether the queue's heap of organisations has an entry for this one.
    request_heap : list
        Due time, sequence number and id of each request; removed ones stay in it
        until they reach its head.
    """

    weight: float = 1.0
    weighted_tokens: Tokens = 0.0
    queued: int = 0
    in_account_heap: bool = False
    request_heap: list[tuple[Seconds, int, str]] = field(default_factory=list)


class FairQueue:
    """Serves the organisation with the fewest weighted tokens first.

    The requests of one organisation are served by due time, and deferred requests after
    all others.  The count of an organisation that was idle is raised to that of the
    last one served, so that idle time earns no priority.  Each operation takes time
    logarithmic in the number of organisations or in the length of one organisation's
    queue.

    Examples
    --------
    >>> from shallotpoint.policy.model import ServiceClass
    >>> queue = FairQueue()
    >>> counter = ServiceClass("counter")
    >>> for name, org in (("a1", "a"), ("a2", "a"), ("b1", "b")):
    ...     queue.push(Ticket(name, counter, org, arrived_s=0.0))
    >>> first = queue.pop().id
    >>> queue.charge("a", 100)
    >>> first, queue.pop().id, queue.pop().id
    ('a1', 'b1', 'a2')
    """

    def __init__(self) -> None:
        self._accounts: dict[str, _Account] = {}
        self._account_heap: list[tuple[Tokens, int, str]] = []
        self._tickets: dict[str, Ticket] = {}
        self._last_served_tokens: Tokens = 0.0
        self._waiting_organisations = 0
        self._sequence = 0
        self._size_bytes = 0
        self._deferred: dict[str, Ticket] = {}

    def __len__(self) -> int:
        return len(self._tickets) + len(self._deferred)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._tickets or ticket_id in self._deferred

    def __iter__(self) -> Iterator[Ticket]:
        yield from self._tickets.values()
        yield from self._deferred.values()

    @property
    def size_bytes(self) -> int:
        """Total size of the queued request bodies, in bytes."""
        return self._size_bytes

    def min_requests_ahead(self, organisation: str) -> int:
        """Return the least number of requests that are served before a new one.

        Deferred requests are not among them.
        Organisations are assumed to take turns: each queued request of the same
        organisation counts together with one of every other organisation that has
        requests queued.  If the organisation has been served more than the others,
        they go first by one request each.
        """
        account = self._accounts.get(organisation)
        backlog = account.queued if account else 0
        others = self._waiting_organisations - (1 if backlog else 0)
        # An organisation that was not served more than the last one is next.
        served_more = (
            account is not None and account.weighted_tokens > self._last_served_tokens
        )
        other_turns = others if served_more else 0
        return min(len(self._tickets), backlog * (others + 1) + other_turns)

    def push(self, ticket: Ticket) -> None:
        """Add a request to the queue."""
        account = self._accounts.setdefault(ticket.organisation, _Account())
        account.weight = ticket.weight
        if not account.queued:
            account.weighted_tokens = max(
                account.weighted_tokens, self._last_served_tokens
            )
        self._sequence += 1
        heapq.heappush(account.request_heap, (ticket.due_s, self._sequence, ticket.id))
        self._waiting_organisations += account.queued == 0
        account.queued += 1
        self._push_account(ticket.organisation, account)
        self._tickets[ticket.id] = ticket
        self._size_bytes += ticket.size_bytes

    def pop(self) -> Ticket:
        """Remove and return the request that is served next.

        Raises
        ------
        IndexError
            If the queue is empty.
        """
        if not self._tickets and self._deferred:
            ticket = self._deferred.pop(next(iter(self._deferred)))
            self._size_bytes -= ticket.size_bytes
            return ticket
        organisation, account = self._head_account()
        _, _, ticket_id = heapq.heappop(account.request_heap)
        ticket = self._remove_ticket(ticket_id)
        self._last_served_tokens = max(
            self._last_served_tokens, account.weighted_tokens
        )
        if not account.queued:
            heapq.heappop(self._account_heap)
            account.in_account_heap = False
        return ticket

    def peek(self) -> Ticket | None:
        """Return the request that is served next, None if the queue is empty."""
        if not self._tickets:
            return next(iter(self._deferred.values()), None)
        _, account = self._head_account()
        return self._tickets[account.request_heap[0][2]]

    def remove(self, ticket_id: str) -> Ticket | None:
        """Remove and return a request by id; None if it is not queued."""
        deferred = self._deferred.pop(ticket_id, None)
        if deferred is not None:
            self._size_bytes -= deferred.size_bytes
            return deferred
        if ticket_id not in self._tickets:
            return None
        return self._remove_ticket(ticket_id)

    def defer(self, ticket_id: str) -> None:
        """Serve a queued request only when all others have been served.

        Deferred requests are served in the order in which they were deferred.
        """
        if ticket_id in self._tickets:
            ticket = self._remove_ticket(ticket_id)
            self._deferred[ticket_id] = ticket
            self._size_bytes += ticket.size_bytes

    def charge(self, organisation: str, tokens: Tokens) -> None:
        """Add tokens to what an organisation was served; negative ones are refunded."""
        account = self._accounts.setdefault(organisation, _Account())
        account.weighted_tokens += tokens / account.weight

    def _push_account(self, organisation: str, account: _Account) -> None:
        if account.in_account_heap:
            return
        self._sequence += 1
        heapq.heappush(
            self._account_heap, (account.weighted_tokens, self._sequence, organisation)
        )
        account.in_account_heap = True

    def _remove_ticket(self, ticket_id: str) -> Ticket:
        ticket = self._tickets.pop(ticket_id)
        account = self._accounts[ticket.organisation]
        account.queued -= 1
        self._waiting_organisations -= account.queued == 0
        self._size_bytes -= ticket.size_bytes
        return ticket

    def _head_account(self) -> tuple[str, _Account]:
        """Return the organisation that is served next, with its account.

        Drops heap entries of removed requests and updates outdated token counts.
        """
        while True:
            listed_tokens, sequence, organisation = self._account_heap[0]
            account = self._accounts[organisation]
            if not account.queued:
                heapq.heappop(self._account_heap)
                account.in_account_heap = False
                account.request_heap.clear()
                continue
            if account.weighted_tokens > listed_tokens:
                heapq.heapreplace(
                    self._account_heap,
                    (account.weighted_tokens, sequence, organisation),
                )
                continue
            while account.request_heap[0][2] not in self._tickets:
                heapq.heappop(account.request_heap)
            return organisation, account
