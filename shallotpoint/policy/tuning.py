"""The parts of the policy that can be switched or set, for measurement."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class Tuning:
    """Switches of the policy; the defaults are what routers run.

    Attributes
    ----------
    reserve : bool
        Keep slots for recent demand of higher tiers.
    caps : bool
        Keep the guaranteed shares of active classes out of others' reach.
    preempt_after : float or None
        Part of the first-token target after which a waiting request of a
        higher tier takes the slot of a preemptible one; None for never.
    count_preemptible : bool
        Count slots that can be preempted when a wait is estimated.
    hedge_ratio : float or None
        Multiple of the pool's first-token time after which a second upstream
        is asked; None for never.
    move_slow : bool
        Carry streams on elsewhere when their upstream is judged slow.
    affinity : bool
        Prefer the upstream that has seen a prompt's prefix.
    early_refusal : bool
        Refuse on arrival when the estimated wait passes the target.
    refusal_margin : float
        Part of the longest wait that an estimate may take up.
    health : bool
        Eject upstreams that are slow or down.
    fill_with_preemptible : bool
        Let work that gives way take reserved and capped slots.
    move_silent : bool
        Carry streams on elsewhere when their upstream falls silent.
    patient_probes : bool
        Try ejected upstreams out with patient work first.
    """

    reserve: bool = True
    caps: bool = True
    preempt_after: float | None = 0.0
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


ROUTES = Tuning(
    reserve=False,
    caps=False,
    preempt_after=None,
    hedge_ratio=None,
    move_slow=False,
    affinity=False,
    health=False,
)
"""For pools behind routes: engines order by priority, the placement knows them."""
