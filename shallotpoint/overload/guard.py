"""What one router has learned about one pool, and the decisions on its requests."""

from __future__ import annotations

import logging
import math
from collections import defaultdict
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from shallotpoint.overload.ending import EnginePace, can_end, can_end_later
from shallotpoint.overload.lengths import AnswerLengths
from shallotpoint.overload.limits import lowest_tier_limit, tier_limit
from shallotpoint.overload.pace import EngineFactor, EventPace
from shallotpoint.policy.actions import Refused
from shallotpoint.policy.admission import estimate_wait_s, retry_after_s
from shallotpoint.policy.engine_load import IDLE_TTFT_S, EngineLoad
from shallotpoint.policy.prompts import Prompt
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.results import Result
from shallotpoint.types import Seconds

# Below this share of occupied slots a pool without queued requests refuses nothing.
CALM_SHARE = 0.5
# Share of the longest time between events at which long answers still end that is
# aimed at: load sums of other routers are up to a second old.
PACE_HEADROOM = 0.95
# Each of many routers may begin one request on a full engine, so sums above the slots
# are common; larger ones than this are faulty, and would keep an engine idle.
MAX_REPORTED_RATIO = 4.0
LOG_INTERVAL_S = 10.0  # between two lines about the same engine
LIMITS_MAX_AGE_S = 0.1  # the measured pace changes within seconds

_log = logging.getLogger("shallotpoint.router")


@dataclass(frozen=True, slots=True)
class _Limits:
    """How many requests the engines of a pool may run, as of a time.

    Attributes
    ----------
    tiers : frozenset of int
        Tiers in demand.
    gap_limit_s : float or None
        Longest time between events with which long answers end in time.
    sustainable : mapping
        Requests with which an engine keeps that limit, by engine.
    by_slots : dict
        Limits computed so far, by engine, slots and tier.
    """

    updated_s: Seconds
    tiers: frozenset[int]
    gap_limit_s: Seconds | None
    sustainable: Mapping[str, float]
    by_slots: dict[tuple[str, int, int], float] = field(default_factory=dict)

    @property
    def lowest_tier(self) -> int:
        """The lowest tier in demand, which has the largest number."""
        return max(self.tiers, default=0)

    def of(self, engine: str, slots: int, tier: int) -> float:
        """Return the requests that an engine may run when one of a tier is begun."""
        key = (engine, slots, tier)
        limit = self.by_slots.get(key)
        if limit is None:
            sustainable = self.sustainable.get(engine, math.inf)
            limit = tier_limit(slots, sustainable, tier, self.tiers)
            self.by_slots[key] = limit
        return limit


class OverloadGuard:
    """Decides which requests of a pool start, wait or are refused.

    Examples
    --------
    Without measurements each request may start on each engine.

    >>> OverloadGuard().sustainable_requests("e0", None, now=0.0)
    inf
    """

    def __init__(self) -> None:
        self._lengths = AnswerLengths()
        self._pace = EventPace()
        self._factors: dict[str, EngineFactor] = defaultdict(EngineFactor)
        self._limits: _Limits | None = None
        self._implausible_logged_s: dict[str, Seconds] = {}

    # Measurements

    def record_gap(
        self, engine: str, requests: int, gap_s: Seconds, now: Seconds
    ) -> None:
        """Record the time between two events of a stream.

        Parameters
        ----------
        requests : int
            Requests on the engine, of all routers.
        """
        if self._pace.is_known(now):
            expected_s = self._pace.gap_s(requests)
            if expected_s > 0.0:
                self._factors[engine].add(gap_s / expected_s, now)
        self._pace.add(requests, gap_s, now)

    def record_end(self, request: AdmittedRequest, *, cut: bool) -> None:
        """Record the length of an answer that ended or was cut."""
        ticket = request.ticket
        self._lengths.record_end(
            ticket.service_class.name, request.tokens, _expected_tokens(ticket), cut=cut
        )

    def record_start(self, ticket: Ticket) -> None:
        """Record the length hint of a request that is sent to an engine."""
        self._lengths.record_start(ticket.service_class.name, _expected_tokens(ticket))

    def retain(self, engines: Mapping[str, object]) -> None:
        """Drop the factors of engines that have left."""
        for name in self._factors.keys() - engines.keys():
            del self._factors[name]
        for name in self._implausible_logged_s.keys() - engines.keys():
            del self._implausible_logged_s[name]

    # Decisions

    def sustainable_requests(
        self, engine: str, gap_limit_s: Seconds | None, now: Seconds
    ) -> float:
        """Return with how many requests an engine keeps a limit of its pace.

        Parameters
        ----------
        gap_limit_s : float or None
            Longest time between events with which long answers end in time.
        """
        if gap_limit_s is None or not self._pace.is_known(now):
            return math.inf
        return self._pace.requests_within(
            gap_limit_s / self._factors[engine].current(now)
        )

    def startable(
        self,
        state: PoolState,
        request: AdmittedRequest,
        engines: Sequence[str],
        load_of: Callable[[str], EngineLoad],
        now: Seconds,
    ) -> Sequence[str]:
        """Return the engines on which a request may start now.

        Engines on which its answer can end are preferred.  A request of the lowest tier
        waits if there are none.
        """
        tier = request.ticket.service_class.tier
        limits = self._current_limits(state, now)
        within = []
        for name in engines:
            load = load_of(name)
            slots = state.upstreams[name].total
            if not self._is_plausible(name, load, slots, now) or (
                load.batch_size - load.count_unstarted_below(tier)
                < limits.of(name, slots, tier)
            ):
                within.append(name)
        events = self._expected_events(request.ticket, now)
        left_s = _left_s(request.ticket, now)
        if not within or events is None or left_s is None:
            return within
        ending = []
        for name in within:
            load = load_of(name)
            if can_end(
                events,
                _ttft_s(request.ticket, load, now),
                self._gap_s(name, state, load.batch_size + 1, now),
                left_s,
            ):
                ending.append(name)
        if ending or tier < limits.lowest_tier or _is_calm(state, load_of):
            return ending or within
        return ()

    def refusal(
        self,
        state: PoolState,
        request: AdmittedRequest,
        load_of: Callable[[str], EngineLoad],
        now: Seconds,
    ) -> Refused | None:
        """Return the refusal of a queued request that cannot end; None to keep it."""
        ticket = request.ticket
        cls = ticket.service_class
        if request.tokens or request.tried_upstreams or ticket.time_limit_at_s is None:
            return None
        if cls.tier < self._current_limits(state, now).lowest_tier:
            return None
        events = self._expected_events(ticket, now)
        if events is None or _is_calm(state, load_of):
            return None
        left_s = ticket.time_limit_at_s - now
        gap_limit_s = self._current_limits(state, now).gap_limit_s
        names = state.accepting_upstreams

        def paces() -> Iterator[EnginePace]:
            for name in names:
                load = load_of(name)
                yield self._engine_pace(name, state, ticket, load, gap_limit_s, now)

        if not names or can_end_later(events, paces(), left_s):
            return None
        engines = list(paces())
        # A repeated request has its whole time limit again, so it needs an engine that
        # is free enough for this only.
        limit_s = ticket.time_limit_at_s - ticket.arrived_s
        excess_s = min(e.ttft_s + events * e.gap_s for e in engines) - limit_s
        wait_s = estimate_wait_s(state, cls, ticket.organisation, now)
        refused = Refused(Result.CANNOT_END, retry_after_s(max(excess_s, wait_s)))
        _log.info(
            "answer cannot end in time",
            extra={
                "request": ticket.id,
                "class": cls.name,
                "expected_events": round(events),
                "left_s": round(left_s, 3),
                "event_gap_s": round(min(e.gap_s for e in engines), 4),
                "best_event_gap_s": round(min(e.best_gap_s for e in engines), 4),
                "retry_after_s": round(refused.retry_after_s, 3),
            },
        )
        return refused

    def _expected_events(self, ticket: Ticket, now: Seconds) -> float | None:
        """Return the expected events of an answer, None without a usable estimate."""
        if not self._pace.is_known(now):
            return None
        return self._lengths.expected_events(_expected_tokens(ticket))

    def _is_plausible(
        self, name: str, load: EngineLoad, slots: int, now: Seconds
    ) -> bool:
        """Return whether the load that others report may be true; log it if not."""
        if load.peer_load.running <= MAX_REPORTED_RATIO * slots:
            return True
        if now - self._implausible_logged_s.get(name, -math.inf) >= LOG_INTERVAL_S:
            self._implausible_logged_s[name] = now
            _log.warning(
                "implausible load of an engine ignored",
                extra={
                    "upstream": name,
                    "running": load.peer_load.running,
                    "slots": slots,
                },
            )
        return False

    def _current_limits(self, state: PoolState, now: Seconds) -> _Limits:
        """Return the limits of all engines, which are computed anew when outdated."""
        if self._limits is None or not (
            0.0 <= now - self._limits.updated_s < LIMITS_MAX_AGE_S
        ):
            gap_limit_s = self._gap_limit_s(state, now)
            sustainable = {
                name: self.sustainable_requests(name, gap_limit_s, now)
                for name in state.upstreams
            }
            tiers = frozenset(_tiers_in_demand(state, now))
            self._limits = _Limits(now, tiers, gap_limit_s, sustainable)
        return self._limits

    def _gap_limit_s(self, state: PoolState, now: Seconds) -> Seconds | None:
        """Return the longest time between events with which long answers end in time.

        An answer may have waited until its target for the first event.
        """
        gaps_s = [
            PACE_HEADROOM * (cls.deadline_s - (cls.ttft_s or 0.0)) / events
            for name, cls in state.classes.items()
            if cls.deadline_s is not None
            and cls.deadline_s > (cls.ttft_s or 0.0)
            and state.demand[name].is_active(now)
            and (events := self._lengths.long_answer_events(name))
        ]
        return min(gaps_s, default=None)

    def _gap_s(
        self, name: str, state: PoolState, requests: float, now: Seconds
    ) -> Seconds:
        """Return the expected time between events with a number of requests."""
        decoding = min(state.upstreams[name].total, requests)
        return self._pace.gap_s(decoding) * self._factors[name].current(now)

    def _engine_pace(
        self,
        name: str,
        state: PoolState,
        ticket: Ticket,
        load: EngineLoad,
        gap_limit_s: Seconds | None,
        now: Seconds,
    ) -> EnginePace:
        requests = load.batch_size + 1
        sustainable = self.sustainable_requests(name, gap_limit_s, now)
        limit = lowest_tier_limit(state.upstreams[name].total, sustainable)
        uncached = load.uncached_tokens(ticket.prompt or Prompt(), now)
        return EnginePace(
            ttft_s=_ttft_s(ticket, load, now),
            gap_s=self._gap_s(name, state, requests, now),
            best_ttft_s=IDLE_TTFT_S + uncached / load.prefill_rate.tokens_per_s,
            best_gap_s=self._gap_s(name, state, min(requests, limit), now),
        )


def _tiers_in_demand(state: PoolState, now: Seconds) -> set[int]:
    return {
        cls.tier
        for name, cls in state.classes.items()
        if state.demand[name].is_active(now)
    }


def _ttft_s(ticket: Ticket, load: EngineLoad, now: Seconds) -> Seconds:
    uncached = load.uncached_tokens(ticket.prompt or Prompt(), now)
    ttft_s = load.predict_ttft_s(uncached, ticket.service_class.tier, now)
    return ttft_s * load.current_slowdown(now)


def _expected_tokens(ticket: Ticket) -> int:
    return ticket.prompt.expected_output_tokens if ticket.prompt else 0


def _left_s(ticket: Ticket, now: Seconds) -> Seconds | None:
    return None if ticket.time_limit_at_s is None else ticket.time_limit_at_s - now


def _is_calm(state: PoolState, load_of: Callable[[str], EngineLoad]) -> bool:
    """Return whether few slots are occupied and at most one request is queued."""
    names = state.accepting_upstreams
    occupied = sum(load_of(name).batch_size for name in names)
    slots = sum(state.upstreams[name].total for name in names)
    return state.waiting_count <= 1 and occupied < CALM_SHARE * slots
