"""Upstream selection by health probes, crash suspects, prompt caches and load."""

from __future__ import annotations

from collections.abc import Sequence

from shallotpoint.policy.actions import Refused
from shallotpoint.policy.dispatch import PrefixMap, choose
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds

PATIENT_TTFT_S = 5.0  # probes first use classes with at least this target
PROBE_OVERDUE_S = 5.0  # a probe overdue by this may use any unprotected class


class Placement:
    """Chooses upstreams for requests and receives the events of the attempts.

    Subclasses implement :meth:`choose` and override the handlers of the events that
    they use; the other handlers do nothing.
    """

    def choose(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> str | None:
        """Return one of the upstreams with a free slot, or None to wait."""
        raise NotImplementedError

    def costs_s(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> dict[str, Seconds]:
        """Return the costs of the upstreams that are compared for a request."""
        return {}

    def cached_tokens(self, ticket: Ticket, upstream: str, now: Seconds) -> int:
        """Return the tokens of a prompt that are likely cached at an upstream."""
        return 0

    def refusal(
        self, state: PoolState, request: AdmittedRequest, now: Seconds
    ) -> Refused | None:
        """Return the refusal of a queued request that has not run, or None."""
        return None

    def count_unstarted_below(self, upstream: str, tier: int) -> int:
        """Return the requests of lower tiers that wait in an upstream's own queue."""
        return 0

    def cache_source(
        self, state: PoolState, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> str | None:
        """Return another upstream that likely has the prompt cached, None if none."""
        return None

    def count_peer_started(self, upstream: str) -> int:
        """Return the requests of other routers there that have a first token."""
        return 0

    def prefers(self, cls: ServiceClass, upstream: str) -> bool:
        """Return whether a class uses an upstream before others."""
        return True

    def expected_ttft_s(
        self, request: AdmittedRequest, upstream: str
    ) -> Seconds | None:
        """Return the time to first token predicted at sending; None if unknown."""
        return None

    def on_sent(self, request: AdmittedRequest, upstream: str, now: Seconds) -> None:
        """Called after a request was sent to an upstream."""

    def on_first_event(
        self, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> None:
        """Called at the first event of an answer."""

    def on_next_event(self, upstream: str, gap_s: Seconds, now: Seconds) -> None:
        """Called at each further event, ``gap_s`` seconds after the one before it."""

    def on_finished(self, request: AdmittedRequest) -> None:
        """Called when the whole answer was delivered."""

    def on_abandoned(self, request: AdmittedRequest) -> None:
        """Called when the caller or the time limit has ended a request."""

    def on_failure(
        self, request: AdmittedRequest, upstream: str, reason: Result, now: Seconds
    ) -> None:
        """Called after an attempt on an upstream failed."""

    def on_end(self, request: AdmittedRequest, upstream: str, now: Seconds) -> None:
        """Called at the end of an attempt, whatever its outcome."""


class ExpectedWaitPlacement(Placement):
    """Chooses by expected wait, upstream health and cached prompt prefixes."""

    def __init__(self) -> None:
        self._prefixes = PrefixMap()

    def choose(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> str | None:
        """Return the upstream with the least expected wait, or None to keep waiting."""
        cached = None
        if state.tuning.affinity:
            cached = self._prefixes.upstream_for(request.ticket.prefix)
        return choose_upstream(state, request, free, now, cached_on=cached)

    def on_sent(self, request: AdmittedRequest, upstream: str, now: Seconds) -> None:
        """Remember which upstream has the prompt's prefix cached."""
        self._prefixes.record(request.ticket.prefix, upstream)


def choose_upstream(
    state: PoolState,
    request: AdmittedRequest,
    free: Sequence[str],
    now: Seconds,
    *,
    cached_on: str | None,
) -> str | None:
    """Return the upstream for a request among those with a free slot, or None.

    If the request serves as a health probe, the probe is recorded as started.

    Parameters
    ----------
    cached_on : str or None
        Upstream that has the prompt's prefix cached.
    """
    probe = _probe_target(state, request, free, now)
    if probe is not None:
        state.health.start_probe(probe)
        return probe
    allowed = [
        name
        for name in free
        if state.is_usable(name) and _may_run_suspect(state, request, name)
    ]
    untried = [name for name in allowed if name not in request.tried_upstreams]
    return choose(
        (state.candidate(name, now) for name in untried or allowed), cached_on=cached_on
    )


def _probe_target(
    state: PoolState, request: AdmittedRequest, free: Sequence[str], now: Seconds
) -> str | None:
    """Return an ejected upstream that this request may probe, or None."""
    ticket = request.ticket
    if not state.tuning.health or not ticket.idempotent:
        return None
    due = [name for name in free if state.health.is_probe_due(name, now)]
    if not due:
        return None
    untried = [name for name in due if name not in request.tried_upstreams]
    usable = [name for name in state.upstreams if state.is_usable(name)]
    if untried and all(name in request.tried_upstreams for name in usable):
        # All usable upstreams failed this request, so an ejected one is preferred.
        return untried[0]
    if usable and not _may_probe(state, ticket, due[0], now):
        return None
    return due[0]


def _may_probe(state: PoolState, ticket: Ticket, upstream: str, now: Seconds) -> bool:
    """Return whether a request may probe; latency-sensitive classes are spared."""
    cls = ticket.service_class
    if cls.protected:
        return False
    if not state.tuning.patient_probes:
        return True
    if cls.ttft_s is None or cls.ttft_s >= PATIENT_TTFT_S:
        return True
    return now >= state.health[upstream].probe_from_s + PROBE_OVERDUE_S


def _may_run_suspect(state: PoolState, request: AdmittedRequest, name: str) -> bool:
    """Return whether a request may go to an upstream, given the crash suspects.

    An upstream runs one suspect at a time, so that its crash identifies the suspect.
    """
    if not request.is_suspect:
        return True
    holder = state.upstreams[name].suspect_id
    return holder is None or holder == request.ticket.id
