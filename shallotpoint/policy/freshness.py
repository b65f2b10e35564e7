"""Age limit of the cached API keys that requests are authorised with."""

from __future__ import annotations

from dataclasses import dataclass

from shallotpoint.types import Seconds


@dataclass(frozen=True, slots=True)
class FreshnessRule:
    """Maximum age of the router's copy of the API keys.

    Attributes
    ----------
    revocation_s : float
        Time after which a revoked key must be refused, in seconds since its removal
        was stored.
    margin_s : float
        Allowance for the transfer of the request and the clock resolution, in seconds.
    """

    revocation_s: Seconds = 5.0
    margin_s: Seconds = 0.3

    @property
    def max_age_s(self) -> Seconds:
        """Age of the copy from which requests with a key are refused, in seconds."""
        return max(0.0, self.revocation_s - self.margin_s)


def may_authorise(rule: FreshnessRule, age_s: Seconds | None) -> bool:
    """Return whether a copy of the API keys is recent enough to admit a request.

    The age counts from the start of the call that confirmed the copy, by a clock that
    advances while the host is suspended.  A request that is sent after the time limit
    for a revocation is therefore never admitted by a copy from before the revocation.

    Parameters
    ----------
    age_s : float or None
        Age of the copy in seconds; None if there is no copy.

    Examples
    --------
    >>> rule = FreshnessRule(revocation_s=5.0, margin_s=0.5)
    >>> [may_authorise(rule, age_s) for age_s in (None, 4.4, 4.6)]
    [False, True, False]
    """
    return age_s is not None and age_s < rule.max_age_s
