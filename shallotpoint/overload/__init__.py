"""Overload decisions: which long answers can still end within their time limit.

Scope: streams on inference engines.  Load: a burst of the class with the longest
answers on engines that are nearly full.  Without these decisions each answer begins at
once, the decode steps of all engines become longer, and many answers are cut at their
time limit after most of the work on them was done.

- :mod:`~shallotpoint.overload.lengths` learns how many events an expected output token
  becomes, and how many events a long answer of each class has.
- :mod:`~shallotpoint.overload.pace` learns how long an engine takes from event to event
  as a function of the requests on it.
- :mod:`~shallotpoint.overload.ending` decides from these and from the time left
  whether an answer can end on an engine, and what follows: start, wait or refuse.
- :mod:`~shallotpoint.overload.limits` decides how many requests an engine may run
  before requests of a tier wait at the router.
- :class:`OverloadGuard` keeps what one router has learned about one pool, and applies
  the decisions for :class:`~shallotpoint.policy.route_placement.EnginePlacement`.

Requests wait or are refused for their length only in the lowest tier that was recently
in demand.  More urgent ones are sent to an engine where they can end if there is one,
and anywhere else otherwise, so that none of them is served less often than a less
urgent one because of these decisions.
"""

from shallotpoint.overload.ending import EnginePace, can_end, can_end_later
from shallotpoint.overload.guard import OverloadGuard

__all__ = ["EnginePace", "OverloadGuard", "can_end", "can_end_later"]
