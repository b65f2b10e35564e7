"""A queue of one service class, fair among organisations by tokens served."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from dataclasses import dataclass, field

from shallotpoint.policy.ticket import Ticket
from shallotpoint.types import Seconds, Tokens


@dataclass(slots=True)
class _Account:
    """The queued requests of one organisation and what it was served."""

    weight: float = 1.0
    served: Tokens = 0.0
    waiting: int = 0
    listed: bool = False
    heap: list[tuple[Seconds, int, str]] = field(default_factory=list)


class FairQueue:
    """Serves the organisation with the least tokens so far, by due time within.

    An organisation that was idle starts at the level of the others, so that it
    cannot save up a claim.  Every operation costs the logarithm of the number
    of organisations or of one organisation's queue.

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
        self._order: list[tuple[Tokens, int, str]] = []
        self._tickets: dict[str, Ticket] = {}
        self._level: Tokens = 0.0
        self._active = 0
        self._count = 0
        self._size_bytes = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def __contains__(self, ticket_id: str) -> bool:
        return ticket_id in self._tickets

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._tickets.values())

    @property
    def size_bytes(self) -> int:
        """Bytes of all queued bodies."""
        return self._size_bytes

    def ahead_of(self, organisation: str) -> int:
        """Return how many requests are served before a new one, at the least.

        Those of the same organisation, each with one of every other that waits,
        and one of each other if its own organisation has been served more.
        """
        account = self._accounts.get(organisation)
        backlog = account.waiting if account else 0
        others = self._active - (1 if backlog else 0)
        # One that is not ahead of the common level is served next.
        ahead = account is not None and account.served > self._level
        less = others if ahead else 0
        return min(len(self._tickets), backlog * (others + 1) + less)

    def push(self, ticket: Ticket) -> None:
        """Queue a request."""
        account = self._accounts.setdefault(ticket.organisation, _Account())
        account.weight = ticket.weight
        if not account.waiting:
            account.served = max(account.served, self._level)
        self._count += 1
        heapq.heappush(account.heap, (ticket.due_s, self._count, ticket.id))
        self._active += account.waiting == 0
        account.waiting += 1
        self._list_account(ticket.organisation, account)
        self._tickets[ticket.id] = ticket
        self._size_bytes += ticket.size_bytes

    def pop(self) -> Ticket:
        """Take the request that is served next; IndexError when empty."""
        organisation, account = self._head_account()
        _, _, ticket_id = heapq.heappop(account.heap)
        ticket = self._forget(ticket_id)
        self._level = max(self._level, account.served)
        if not account.waiting:
            heapq.heappop(self._order)
            account.listed = False
        return ticket

    def peek(self) -> Ticket | None:
        """Return the request that is served next, or None."""
        if not self._tickets:
            return None
        _, account = self._head_account()
        return self._tickets[account.heap[0][2]]

    def remove(self, ticket_id: str) -> Ticket | None:
        """Take one request out, wherever it stands; None when absent."""
        if ticket_id not in self._tickets:
            return None
        return self._forget(ticket_id)

    def charge(self, organisation: str, tokens: Tokens) -> None:
        """Count tokens that an organisation was served (negative refunds)."""
        account = self._accounts.setdefault(organisation, _Account())
        account.served += tokens / account.weight

    def _list_account(self, organisation: str, account: _Account) -> None:
        if account.listed:
            return
        self._count += 1
        heapq.heappush(self._order, (account.served, self._count, organisation))
        account.listed = True

    def _forget(self, ticket_id: str) -> Ticket:
        ticket = self._tickets.pop(ticket_id)
        account = self._accounts[ticket.organisation]
        account.waiting -= 1
        self._active -= account.waiting == 0
        self._size_bytes -= ticket.size_bytes
        return ticket

    def _head_account(self) -> tuple[str, _Account]:
        """Return the next organisation after tidying stale heap entries."""
        while True:
            level, count, organisation = self._order[0]
            account = self._accounts[organisation]
            if not account.waiting:
                heapq.heappop(self._order)
                account.listed = False
                account.heap.clear()
                continue
            if account.served > level:
                heapq.heapreplace(self._order, (account.served, count, organisation))
                continue
            while account.heap[0][2] not in self._tickets:
                heapq.heappop(account.heap)
            return organisation, account
