"""Whether a view of the operators' keys is recent enough to admit a request."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class FreshnessRule:
    """How old an authorisation view may be.

    Attributes
    ----------
    withdrawn_s : float
        A withdrawn key must be refused this long after its removal was stored.
    margin_s : float
        Kept for the travel of the request and the granularity of clocks.
    """

    withdrawn_s: Seconds = 5.0
    margin_s: Seconds = 0.3

    @property
    def limit_s(self) -> Seconds:
        """Age from which requests with a key are refused, in seconds."""
        return max(0.0, self.withdrawn_s - self.margin_s)


def may_authorise(rule: FreshnessRule, age_s: Seconds | None) -> bool:
    """Return whether a view of this age may admit a request with a key.

    The age counts from the start of the call that proved the view, by a clock
    that goes on while the host is suspended, so that a request sent after the
    bound is never admitted by a view from before it.

    Examples
    --------
    >>> rule = FreshnessRule(withdrawn_s=5.0, margin_s=0.5)
    >>> [may_authorise(rule, age_s) for age_s in (None, 4.4, 4.6)]
    [False, True, False]
    """
    return age_s is not None and age_s < rule.limit_s
