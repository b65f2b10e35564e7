"""Options of the scheduling policy."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Tuning:
    """Options of the scheduling policy; pools without routes use the defaults.

    Attributes
    ----------
    reserve : bool
        Keep slots free for recent demand of higher tiers.
    caps : bool
        Limit each class to the slots beyond the guaranteed shares of active higher
        tiers.
    preempt_after : float or None
        Wait after which a queued request of tier 1 preempts a lower tier, as a
        fraction of its target for the first token; None for no preemption.
    preempt_unstarted_after : float or None
        Wait after which a queued request takes the slot of a running one of a lower
        tier whose first token has not arrived, as a fraction of its own target for
        the first token; None for no such preemption.
    count_preemptible : bool
        Count preemptible requests as free slots when a wait is estimated.
    hedge_ratio : float or None
        Wait for a first token after which a second upstream is tried, as a multiple
        of the pool's median time to first token; None for no hedging.
    hedge_min_s : float
        Shortest wait before a second upstream is tried, in seconds.
    move_slow : bool
        Move streams to another upstream when theirs becomes slow.
    affinity : bool
        Prefer the upstream that last received a prompt's prefix.
    early_refusal : bool
        Refuse requests on arrival if their estimated wait is too long.
    refusal_margin : float
        Fraction of the longest wait in a queue that the estimate may reach.
    health : bool
        Eject upstreams that are slow or down.
    patient_probes : bool
        Probe ejected upstreams with requests that are not urgent first.
    fill_with_preemptible : bool
        Let preemptible requests use reserved and capped slots.
    move_silent : bool
        Move streams to another upstream when theirs sends no more tokens.
    """

    reserve: bool = True
    caps: bool = True
    preempt_after: float | None = 0.0
    preempt_unstarted_after: float | None = None
    count_preemptible: bool = True
    hedge_ratio: float | None = 3.0
    hedge_min_s: Seconds = 0.25
    move_slow: bool = True
    affinity: bool = True
    early_refusal: bool = True
    refusal_margin: float = 0.9
    health: bool = True
    patient_probes: bool = True
    fill_with_preemptible: bool = True
    move_silent: bool = True


ROUTE_TUNING = Tuning(
    reserve=False,
    caps=False,
    preempt_after=None,
    preempt_unstarted_after=0.25,
    hedge_ratio=None,
    move_slow=False,
    affinity=False,
    health=False,
)
"""Options for pools behind routes.

Their engines order requests by priority, and their placement tracks load and failures
of upstreams itself.
"""
