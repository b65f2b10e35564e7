"""Upstream selection for routes, on inference engines and on plain services.

Engine placement handles bursts of long prompts mixed with short ones.  An engine
prefills a long prompt in chunks between the decode steps of its streams, which delays
the next token of each stream.  All routers therefore derive the same set of reserved
engines from the list of engines.  Streams with strict time-between-tokens (TBT) targets
use the reserved engines first, and long prompts use them last.  When the streams of an
engine slow down, requests of the lowest priority are held back first, because their
long answers would keep the engine full.  A prompt with a shared prefix goes to an
engine that has the prefix cached, unless the wait there exceeds the cost of
prefilling the prefix again.

Service placement compares response time, load, distance and recent failures.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotpoint.coordination.overlay import rank, rendezvous_score
from shallotpoint.hashing import hash64
from shallotpoint.overload import OverloadGuard
from shallotpoint.policy.actions import Refused
from shallotpoint.policy.decay import decay_factor
from shallotpoint.policy.engine_load import (
    EngineLoad,
    UpstreamLoad,
)
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.prompts import Prompt
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import AdmittedRequest, Ticket
from shallotpoint.results import NOT_REACHED, Result
from shallotpoint.types import Seconds

SHORTLIST_SIZE = 3  # engines compared for one request
# Engines that cache a shared prefix: its first one and one that it may spread to.
PREFIX_ENGINES = 2
# Reserved engines in addition, for prompts too short to delay streams.
RESERVED_PREFIX_ENGINES = 1
# Shorter prefixes are prefilled about as soon as a transfer has been set up.
MIN_TRANSFER_TOKENS = 1_000
MAX_CACHED_PREFIXES = 8_192  # shared prefixes whose engines are memoised
INTER_DATA_CENTRE_RTT_S = 0.001  # round trip between data centres of one region
# Fraction of a prefix that is expected in the cache of its first engine.
FIRST_ENGINE_CACHE_SHARE = 0.8
RECOMPUTE_WEIGHT = 8.0  # prefilling again delays others and evicts other prefixes
DECODE_DELAY_WEIGHT = 0.25  # delay of a running stream, relative to the new request
# At least this fraction of the engines is reserved: 1 of 5, 3 of 9.  With many engines
# a smaller fraction is enough, as random variation averages out: 11 of 70.
MIN_RESERVED_SHARE = 0.28
MIN_RESERVED_BASE = 3.0
MIN_RESERVED_PER_ENGINE = 0.12
MAX_RESERVED_SHARE = 0.4  # upper bound of the fraction that grows with demand
RESERVED_UTILISATION = 0.8  # target fraction of reserved slots with strict streams
RESERVED_HALF_LIFE_S = 3.0  # demand halves in this time at most; it rises at once
STRICT_TBT_RATIO = 1.25  # TBT targets up to this multiple of the shortest are strict
# A prefill up to this fraction of the shortest TBT target does not delay streams
# noticeably.
SHORT_PREFILL_RATIO = 0.03
# Cost of using the other group of engines, as a multiple of the TTFT target.  A strict
# stream leaves the reserved engines only if that saves its whole target.  Other
# requests are refused for their long wait before they would gain as much by joining
# strict streams.
STRICT_CROSSING_COST = 1.0
OTHER_CROSSING_COST = 1.5
# A usual long answer has 64 events, which then take 12 s of its time limit of 15 s.
MAX_EVENT_GAP_S = 0.18
URGENT_EVENT_GAP_RATIO = 1.5  # multiple of that bound, for all but the lowest tier
# Requests that their own engines have no room for use reserved engines up to this share
# of the slots.
MAX_CROSSING_SHARE = 0.5
DEFAULT_TTFT_S = 1.0  # for classes without a TTFT target
FIRST_BACKOFF_S = 0.5  # pause after the first failure to reach an upstream
MAX_BACKOFF_S = 4.0  # an unreachable upstream is tried once in this time
EWMA_GAIN = 0.15  # weight of the newest sample in moving averages
FAILURE_COST_S = 2.0  # cost of a failure rate of 1, in seconds of waiting
RESPONSE_TIME_HALF_LIFE_S = 2.0
FAILURE_HALF_LIFE_S = 3.0  # so that a failing upstream gets a call every few seconds
_BACKOFF_RESULTS = NOT_REACHED | {Result.UPSTREAM_TIMEOUT}


@dataclass(slots=True)
class _UpstreamHistory:
    """Recent response times and failures of one upstream.

    Attributes
    ----------
    failure_rate : float
        Moving average of the failure rate, 0 to 1.
    backoff_s : float
        Length of the present back-off, in seconds; 0 for none.
    backoff_until_s : float
        Time at which the back-off ends, in seconds.
    response_time_s : float
        Moving average of the response time, in seconds.
    last_response_s, last_failure_s : float
        Times of the latest response and of the latest failure, in seconds.
    """

    failure_rate: float = 0.0
    backoff_s: Seconds = 0.0
    backoff_until_s: Seconds = 0.0
    response_time_s: Seconds = 0.0
    last_response_s: Seconds = 0.0
    last_failure_s: Seconds = 0.0

    def add_response_time(self, response_time_s: Seconds, now: Seconds) -> None:
        """Add a response time; its weight grows with the age of the average."""
        gain = max(
            EWMA_GAIN,
            1.0 - decay_factor(now - self.last_response_s, RESPONSE_TIME_HALF_LIFE_S),
        )
        self.response_time_s += gain * (response_time_s - self.response_time_s)
        self.last_response_s = now

    def expected_costs_s(self, now: Seconds) -> tuple[Seconds, Seconds]:
        """Return the expected response time and cost of a failure, in seconds.

        Both decay with the age of the latest sample, because an upstream that gets no
        requests provides no new samples.
        """
        response_time_s = self.response_time_s * decay_factor(
            now - self.last_response_s, RESPONSE_TIME_HALF_LIFE_S
        )
        failure_rate = self.failure_rate * decay_factor(
            now - self.last_failure_s, FAILURE_HALF_LIFE_S
        )
        return response_time_s, failure_rate * FAILURE_COST_S


@dataclass(slots=True)
class _UpstreamHistories:
    """Response times and failures of the upstreams of one pool."""

    records: dict[str, _UpstreamHistory] = field(default_factory=dict)

    def __getitem__(self, upstream: str) -> _UpstreamHistory:
        return self.records.setdefault(upstream, _UpstreamHistory())

    def retain(self, upstreams: set[str]) -> None:
        for name in self.records.keys() - upstreams:
            del self.records[name]

    def record_success(self, upstream: str) -> None:
        record = self[upstream]
        record.failure_rate -= EWMA_GAIN * record.failure_rate
        record.backoff_s = record.backoff_until_s = 0.0

    def record_failure(self, upstream: str, reason: Result, now: Seconds) -> None:
        record = self[upstream]
        record.failure_rate += EWMA_GAIN * (1.0 - record.failure_rate)
        record.last_failure_s = now
        if reason not in _BACKOFF_RESULTS:
            return
        next_backoff_s = record.backoff_s * 2 or FIRST_BACKOFF_S
        record.backoff_s = min(MAX_BACKOFF_S, next_backoff_s)
        record.backoff_until_s = now + record.backoff_s

    def candidates(
        self, request: AdmittedRequest, free: Sequence[str], now: Seconds
    ) -> Sequence[str]:
        """Return the free upstreams, preferably untried ones without a back-off."""
        untried = [name for name in free if name not in request.tried_upstreams]
        preferred = untried or free
        available = [name for name in preferred if self[name].backoff_until_s <= now]
        return available or preferred


class _EnginePartition:
    """Split of the engines into reserved and other engines.

    The split follows from the list of engines and the number of reserved ones, so all
    routers compute the same one.

    Attributes
    ----------
    engines : sequence of str
        Names of all engines, in the given order.
    reserved : frozenset
        Names of the engines that streams with strict TBT targets use first.
    """

    def __init__(self, names: Sequence[str], reserved_count: int):
        self.engines = names
        names = sorted(names)
        # The string only seeds the hash; it has to be the same in all routers.
        self.reserved = frozenset(rank(names, "quiet")[:reserved_count])
        groups = {
            strict: [name for name in names if (name in self.reserved) == strict]
            for strict in (True, False)
        }
        self._by_strictness = {
            strict: group or names for strict, group in groups.items()
        }
        self._prefix_engines: dict[tuple[str, bool], list[str]] = {}

    def prefix_engines(self, prefix_id: str, strict: bool) -> list[str]:
        """Return the engines that all routers prefer for a shared prefix."""
        if not prefix_id:
            return []
        key = (prefix_id, strict)
        if key not in self._prefix_engines:
            if len(self._prefix_engines) >= MAX_CACHED_PREFIXES:
                self._prefix_engines.clear()
            engines = rank(self._by_strictness[strict], prefix_id)[:PREFIX_ENGINES]
            if not strict:
                engines += rank(self.reserved - set(engines), prefix_id)[
                    :RESERVED_PREFIX_ENGINES
                ]
            self._prefix_engines[key] = engines
        return self._prefix_engines[key]

    def shortlist(
        self,
        candidates: Sequence[str],
        prefix_engines: Sequence[str],
        request_id: str,
        strict: bool,
    ) -> Sequence[str]:
        """Return the engines that are compared for one request.

        If all routers compared all engines, stale load reports would send them to the
        same idle engine.  Each request therefore compares a few engines that follow
        from the hash of its id.
        """
        if len(candidates) <= SHORTLIST_SIZE:
            return candidates
        group = self._by_strictness[strict]
        start = hash64(request_id) % len(group)
        allowed = set(candidates)
        found = dict.fromkeys(name for name in prefix_engines if name in allowed)
        for name in itertools.chain(group[start:], group[:start]):
            if len(found) >= SHORTLIST_SIZE:
                break
            if name in allowed:
                found[name] = None
        return list(found) or candidates


class EnginePlacement(Placement):
    """Places prompts on engines by the predicted delay of the prompt and of others.

    Parameters
    ----------
    transfer_s_per_token : float or None
        Time in which an engine copies the cached state of one prompt token from
        another one, in seconds; None if they can't.
    overload : OverloadGuard, optional
        Decides which requests wait or are refused because their answers cannot end.
    """

    def __init__(
        self,
        *,
        transfer_s_per_token: Seconds | None = None,
        overload: OverloadGuard | None = None,
    ) -> None:
        self._transfer_s_per_token = transfer_s_per_token
        self._overload = overload
        self.loads: dict[str, EngineLoad] = {}
        self._histories = _UpstreamHistories()
        self._partition = _EnginePartition([], 0)
        self._strict_demand = _DecayingPeak(RESERVED_HALF_LIFE_S)
        self._strictest_tbt_s: Seconds | None = None

    def choose(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> str | None:
        """Return the free engine with the least cost, or None to keep waiting."""
        costs_s = self.costs_s(state, request, free, now)
        best = min(costs_s, key=lambda name: (costs_s[name], name), default=None)
        cls = request.ticket.service_class
        if best is None or (
            not _has_strict_tbt(cls, self._strictest_tbt_s)
            and self._is_overloaded(best, state, cls.tier, now)
        ):
            return None
        return best

    def costs_s(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> dict[str, Seconds]:
        """Return the costs of the free engines that are compared for a request."""
        self._drop_removed_upstreams(state)
        prompt = request.ticket.prompt or Prompt()
        tier = request.ticket.service_class.tier
        partition = self._current_partition(state, now)
        strictest_s = self._strictest_tbt_s = strictest_tbt_s(state)
        strict = _has_strict_tbt(request.ticket.service_class, strictest_s)
        prefix_engines = partition.prefix_engines(prompt.shared_prefix_id, strict)
        own_engines_full = False
        if self._overload is not None:
            full = set(free)
            free = self._overload.startable(state, request, free, self.load_of, now)
            full.difference_update(free)
            own_engines_full = not strict and not full <= partition.reserved
        candidates = self._histories.candidates(request, free, now)
        costs_s = {}
        for name in partition.shortlist(
            candidates, prefix_engines, request.ticket.id, strict
        ):
            uncached = self._uncached_tokens(name, prompt, prefix_engines, now)
            cost_s = self._cost_s(name, prompt, uncached, tier, now)
            if (name in partition.reserved) != strict:
                crossing_s = self._crossing_cost_s(
                    request, name, strict, uncached, strictest_s, now
                )
                slots = state.upstreams[name].total
                occupied = self.load_of(name).batch_size
                if (
                    crossing_s
                    and own_engines_full
                    and occupied >= MAX_CROSSING_SHARE * slots
                ):
                    # It would delay many strict streams only because its own engines
                    # have reached their limits, so it waits for one of these.
                    continue
                cost_s += crossing_s
            if not state.upstreams[name].in_own_data_centre:
                cost_s += INTER_DATA_CENTRE_RTT_S
            costs_s[name] = cost_s
        return costs_s

    def cached_tokens(self, ticket: Ticket, upstream: str, now: Seconds) -> int:
        """Return the tokens of a prompt that are likely in the engine's cache."""
        prompt = ticket.prompt or Prompt()
        uncached = self.load_of(upstream).uncached_tokens(prompt, now)
        return int(prompt.prompt_tokens - uncached)

    def cache_source(
        self, state: PoolState, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> str | None:
        """Return the engine to copy the shared prefix of a prompt from, None if none.

        This is the engine that all routers prefer for the prefix.  It answers a load of
        hot prefixes: a request that is placed elsewhere would prefill again what that
        engine has cached.  What the chosen engine has itself is not copied.
        """
        prompt = request.ticket.prompt
        if self._transfer_s_per_token is None or prompt is None:
            return None
        tokens = sum(part.tokens for part in prompt.shared)
        rate = self.load_of(upstream).prefill_rate.tokens_per_s
        if tokens < MIN_TRANSFER_TOKENS or self._transfer_s_per_token * rate >= 1.0:
            return None
        strict = _has_strict_tbt(request.ticket.service_class, self._strictest_tbt_s)
        homes = self._partition.prefix_engines(prompt.shared_prefix_id, strict)
        for name in homes[:PREFIX_ENGINES]:
            if name != upstream and self._may_copy_from(state, name, now):
                return name
        return None

    def _may_copy_from(self, state: PoolState, name: str, now: Seconds) -> bool:
        slots = state.upstreams.get(name)
        return (
            slots is not None
            and not (slots.draining or slots.closed)
            and state.is_usable(name)
            and self._histories[name].backoff_until_s <= now
        )

    def refusal(
        self, state: PoolState, request: AdmittedRequest, now: Seconds
    ) -> Refused | None:
        """Return the refusal of a request whose answer cannot end in time, or None."""
        if self._overload is None:
            return None
        return self._overload.refusal(state, request, self.load_of, now)

    def on_finished(self, request: AdmittedRequest) -> None:
        """Record the length of an answer."""
        if self._overload is not None:
            self._overload.record_end(request, cut=False)

    def on_abandoned(self, request: AdmittedRequest) -> None:
        """Record the length of an answer that was cut."""
        if self._overload is not None:
            self._overload.record_end(request, cut=True)

    def on_sent(self, request: AdmittedRequest, upstream: str, now: Seconds) -> None:
        """Add a sent request to the load of its engine."""
        ticket = request.ticket
        prompt = ticket.prompt or Prompt()
        strict = _has_strict_tbt(ticket.service_class, self._strictest_tbt_s)
        tier = ticket.service_class.tier
        self.load_of(upstream).add_request(ticket.id, prompt, tier, now, strict=strict)
        if self._overload is not None:
            self._overload.record_start(ticket)

    def on_first_event(
        self, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> None:
        """Update the model of the engine with the first token of a request."""
        self.load_of(upstream).record_first_token(request.ticket.id, now)
        self._histories.record_success(upstream)

    def on_next_event(self, upstream: str, gap_s: Seconds, now: Seconds) -> None:
        """Update the model of the engine with the time between two events."""
        load = self.load_of(upstream)
        load.record_event_gap(gap_s, now)
        if self._overload is not None:
            self._overload.record_gap(upstream, load.batch_size, gap_s, now)

    def on_failure(
        self, request: AdmittedRequest, upstream: str, reason: Result, now: Seconds
    ) -> None:
        """Record a failed attempt; an unreachable engine may have lost its cache."""
        self._histories.record_failure(upstream, reason, now)
        if reason in NOT_REACHED:
            self.load_of(upstream).clear_cached_parts()

    def on_end(self, request: AdmittedRequest, upstream: str, now: Seconds) -> None:
        """Remove a request from the load of its engine."""
        self.load_of(upstream).remove_request(request.ticket.id)

    def count_unstarted_below(self, upstream: str, tier: int) -> int:
        """Return the requests of lower tiers on an engine without a first token."""
        return self.load_of(upstream).count_unstarted_below(tier)

    def count_peer_started(self, upstream: str) -> int:
        """Return the requests of other routers on an engine with a first token."""
        peers = self.load_of(upstream).peer_load
        return max(0, peers.running - sum(peers.unstarted_by_tier))

    def prefers(self, cls: ServiceClass, upstream: str) -> bool:
        """Return whether an engine is of the group that a class uses first."""
        strict = _has_strict_tbt(cls, self._strictest_tbt_s)
        return (upstream in self._partition.reserved) == strict

    def expected_ttft_s(
        self, request: AdmittedRequest, upstream: str
    ) -> Seconds | None:
        """Return the time that was predicted for a request without a first token."""
        item = self.load_of(upstream).pending_prefills.get(request.ticket.id)
        return None if item is None else item.expected_ttft_s

    def load_of(self, upstream: str) -> EngineLoad:
        """Return the modelled load of one engine, which is created if missing."""
        return self.loads.setdefault(upstream, EngineLoad())

    def set_peer_loads(self, loads: dict[str, UpstreamLoad]) -> None:
        """Set the load that other routers have on each of the engines."""
        for name, peers in loads.items():
            self.load_of(name).peer_load = peers

    def _is_overloaded(
        self, name: str, state: PoolState, tier: int, now: Seconds
    ) -> bool:
        """Return whether the streams of an engine are too slow for another prompt.

        During a prefill each stream gets one token per chunk, and each further stream
        lengthens the decode step.
        """
        gap_s = self.load_of(name).recent_event_gap_s(now)
        if gap_s <= MAX_EVENT_GAP_S or gap_s > MAX_EVENT_GAP_S * URGENT_EVENT_GAP_RATIO:
            return gap_s > MAX_EVENT_GAP_S
        tiers = (
            cls.tier
            for cls in state.classes.values()
            if not _has_strict_tbt(cls, self._strictest_tbt_s)
        )
        return tier >= max(tiers, default=tier)

    def _uncached_tokens(
        self, name: str, prompt: Prompt, prefix_engines: Sequence[str], now: Seconds
    ) -> float:
        """Return the prompt tokens that the engine would likely have to prefill."""
        uncached = self.load_of(name).uncached_tokens(prompt, now)
        if name not in prefix_engines[:1]:
            return uncached
        return uncached - FIRST_ENGINE_CACHE_SHARE * max(
            0.0, uncached - prompt.unshared_tokens
        )

    def _cost_s(
        self, name: str, prompt: Prompt, uncached: float, tier: int, now: Seconds
    ) -> Seconds:
        load = self.load_of(name)
        ttft_s = load.predict_ttft_s(uncached, tier, now) * load.current_slowdown(now)
        rate = load.prefill_rate.tokens_per_s
        decode_delay_s = uncached / rate * load.batch_size * DECODE_DELAY_WEIGHT
        recompute_s = (
            max(0.0, uncached - prompt.unshared_tokens) / rate * RECOMPUTE_WEIGHT
        )
        failure_cost_s = self._histories[name].failure_rate * FAILURE_COST_S
        return ttft_s + decode_delay_s + recompute_s + failure_cost_s

    def _crossing_cost_s(
        self,
        request: AdmittedRequest,
        name: str,
        strict: bool,
        uncached: float,
        strictest_s: Seconds | None,
        now: Seconds,
    ) -> Seconds:
        """Return the cost, in seconds, of using the other group of engines.

        Strict streams pay it outside the reserved engines, other requests on them
        unless their prefill is too short to delay a stream noticeably.
        """
        if not strict and strictest_s is not None:
            load = self.load_of(name)
            tier = request.ticket.service_class.tier
            tokens = uncached + load.backlog_tokens(tier, now)
            if (
                tokens / load.prefill_rate.tokens_per_s
                <= SHORT_PREFILL_RATIO * strictest_s
            ):
                return 0.0
        target_s = request.ticket.service_class.ttft_s or DEFAULT_TTFT_S
        return target_s * (STRICT_CROSSING_COST if strict else OTHER_CROSSING_COST)

    def _current_partition(self, state: PoolState, now: Seconds) -> _EnginePartition:
        names = state.accepting_upstreams
        strict_streams = sum(
            len(load.strict_streams) + load.peer_load.strict_streams
            for load in map(self.loads.get, names)
            if load is not None
        )
        slots = sum(state.upstreams[name].total for name in names)
        demand = self._strict_demand.update(
            strict_streams / RESERVED_UTILISATION / max(1, slots), now
        )
        reserved = count_reserved(len(names), demand)
        if names != self._partition.engines or reserved != len(
            self._partition.reserved
        ):
            self._partition = _EnginePartition(names, reserved)
        return self._partition

    def _drop_removed_upstreams(self, state: PoolState) -> None:
        if len(self.loads) <= len(state.upstreams):
            return
        self._histories.retain(set(state.upstreams))
        if self._overload is not None:
            self._overload.retain(state.upstreams)
        for name in self.loads.keys() - state.upstreams.keys():
            del self.loads[name]


class _DecayingPeak:
    """A value that rises at once and decays exponentially."""

    def __init__(self, half_life_s: Seconds):
        self._half_life_s = half_life_s
        self._value = 0.0
        self._updated_s: Seconds = 0.0

    def update(self, value: float, now: Seconds) -> float:
        """Return the larger of the present value and the decayed previous one."""
        decayed = self._value * decay_factor(now - self._updated_s, self._half_life_s)
        self._value, self._updated_s = max(value, decayed), now
        return self._value


def count_reserved(engines: int, demand: float) -> int:
    """Return the number of engines reserved for streams with strict TBT targets.

    The number depends on load sums that routers exchange, so routers may briefly
    differ, by one engine at most.

    Parameters
    ----------
    engines : int
        Number of engines of the pool.
    demand : float
        Fraction of all slots that streams with strict TBT targets need; may exceed 1.

    Examples
    --------
    >>> [count_reserved(56, demand) for demand in (0.0, 0.25, 0.9)]
    [10, 14, 22]
    >>> count_reserved(1, 0.5), count_reserved(5, 0.0)
    (0, 1)
    """
    if engines < 2:
        return 0
    minimum = min(
        MIN_RESERVED_SHARE * engines,
        MIN_RESERVED_BASE + MIN_RESERVED_PER_ENGINE * engines,
    )
    return max(1, round(max(minimum, min(MAX_RESERVED_SHARE, demand) * engines)))


def strictest_tbt_s(state: PoolState) -> Seconds | None:
    """Return the shortest TBT target of the pool's classes; None if none has one."""
    known = [cls.tbt_s for cls in state.classes.values() if cls.tbt_s is not None]
    return min(known, default=None)


def _has_strict_tbt(cls: ServiceClass, strictest_s: Seconds | None) -> bool:
    """Return whether the TBT target of a class is among the shortest of the pool."""
    if cls.tbt_s is None or strictest_s is None:
        return False
    return cls.tbt_s <= strictest_s * STRICT_TBT_RATIO


class ServicePlacement(Placement):
    """Places calls on plain services by response time, load, distance and failures."""

    def __init__(self) -> None:
        self._histories = _UpstreamHistories()

    def choose(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> str | None:
        """Return the free upstream with the least cost, or None to keep waiting."""
        costs_s = self.costs_s(state, request, free, now)

        def cost_and_hash(name: str) -> tuple[Seconds, int]:
            # Upstreams of equal cost are ordered by a hash, to spread the calls.
            return costs_s[name], rendezvous_score(name, request.ticket.id)

        return min(costs_s, key=cost_and_hash, default=None)

    def costs_s(
        self,
        state: PoolState,
        request: AdmittedRequest,
        free: Sequence[str],
        now: Seconds,
    ) -> dict[str, Seconds]:
        """Return the costs of the free upstreams that are compared for a request."""
        self._histories.retain(set(state.upstreams))
        candidates = self._histories.candidates(request, free, now)
        return {name: self._cost_s(state, name, now) for name in candidates}

    def on_first_event(
        self, request: AdmittedRequest, upstream: str, now: Seconds
    ) -> None:
        """Record a successful response and its time."""
        record = self._histories[upstream]
        attempt = request.attempt_on(upstream)
        if attempt is not None:
            record.add_response_time(now - attempt.sent_s, now)
        self._histories.record_success(upstream)

    def on_failure(
        self, request: AdmittedRequest, upstream: str, reason: Result, now: Seconds
    ) -> None:
        """Record a failed attempt."""
        self._histories.record_failure(upstream, reason, now)

    def _cost_s(self, state: PoolState, name: str, now: Seconds) -> Seconds:
        slots = state.upstreams[name]
        response_time_s, failure_cost_s = self._histories[name].expected_costs_s(now)
        load = (len(slots.running) + slots.peer_running) / max(1, slots.total)
        cost_s = (response_time_s + INTER_DATA_CENTRE_RTT_S) * (
            1.0 + load
        ) + failure_cost_s
        return cost_s if slots.in_own_data_centre else cost_s + INTER_DATA_CENTRE_RTT_S
