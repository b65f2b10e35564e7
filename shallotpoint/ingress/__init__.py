"""Bounds on what clients make a process hold, shared by all its listeners.

Clients are not trusted: what they may make a process keep is bounded in memory, in
connections and in time, and what exceeds a bound is refused before the process itself
is in danger.

- :mod:`~shallotpoint.ingress.memory`: one account for the heads and bodies of requests
  and for open connections.
- :mod:`~shallotpoint.ingress.connections`: which connection is closed as all places
  are taken.
- :mod:`~shallotpoint.ingress.bounds`: the sizes of all bounds, from those of the host.

The listeners themselves, with the limits of a single request, are in
:mod:`shallotpoint.httpd`.  ``docs/design/untrusted-clients.md`` gives the reasons.
"""

from shallotpoint.ingress.bounds import HostBounds, Ingress
from shallotpoint.ingress.connections import Waiting, choose_closed
from shallotpoint.ingress.memory import CallerMemory, Held, choose_dropped

__all__ = [
    "CallerMemory",
    "Held",
    "HostBounds",
    "Ingress",
    "Waiting",
    "choose_closed",
    "choose_dropped",
]
