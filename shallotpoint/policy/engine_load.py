"""Model of the load of one inference engine: prefill queue, prefix cache, slowdown.

An engine prefills prompts one after the other, in chunks between the decode steps of
its streams.  The model counts the prompt tokens that are still to be prefilled and
predicts the time to first token (TTFT) of another request.  Speeds differ between
engines and change over time, so each engine has a slowdown factor, the ratio of
measured to predicted TTFT.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from dataclasses import dataclass, field

from shallotpoint.policy.decay import decay_factor
from shallotpoint.policy.prompts import Prompt
from shallotpoint.types import Seconds

# Initial value; the slowdown factor corrects it within a few answers.
INITIAL_PREFILL_TOKENS_PER_S = 80_000.0
IDLE_TTFT_S = 0.07  # TTFT of an empty prompt on an idle engine
STEP_S_PER_REQUEST = 0.0006  # added to a decode step by each request in the batch
MAX_CACHED_PARTS = 2_000  # cached prompt parts remembered for each engine
PART_EVICTION_S = 60.0  # an unused part is likely evicted after this time
EVENT_GAP_EWMA_GAIN = 0.1  # weight of the newest sample
EVENT_GAP_MAX_AGE_S = 1.0  # older samples say nothing about the present load
MIN_RATE_SAMPLE_TOKENS = 3_000  # prompts long enough to measure the prefill rate
PREFILL_RATE_EWMA_GAIN = 0.1  # weight of the newest sample
SLOWDOWN_EWMA_GAIN = 0.15  # weight of the newest sample
SLOWDOWN_RANGE = (0.4, 8.0)  # so that one outlier cannot exclude an engine
SLOWDOWN_HALF_LIFE_S = 10.0  # of the excess over 1 on an unused engine


@dataclass(frozen=True, slots=True)
class PendingPrefill:
    """A request whose prompt has not been prefilled yet.

    Attributes
    ----------
    uncached_tokens : float
        Prompt tokens that were not in the engine's cache when the request was sent.
    tier : int
        Priority of the request; lower numbers are prefilled first.
    sent_s : float
        Time at which the request was sent, in seconds.
    expected_ttft_s : float
        Predicted time to first token, in seconds, at a slowdown of 1.
    """

    uncached_tokens: float
    tier: int
    sent_s: Seconds
    expected_ttft_s: Seconds


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that routers have on one upstream, as exchanged between routers.

    Attributes
    ----------
    pending_prefill_tokens : int
        Prompt tokens that are still to be prefilled.
    running : int
        Requests sent and not ended.
    strict_streams : int
        Running streams with a strict TBT target.
    unstarted_by_tier : tuple of int
        Requests without a first token; the index is the tier.
    """

    pending_prefill_tokens: int = 0
    running: int = 0
    strict_streams: int = 0
    unstarted_by_tier: tuple[int, ...] = ()


class PrefillRate:
    """Prefill rate of one engine, measured on prompts that were prefilled alone."""

    def __init__(self) -> None:
        self._seconds_per_token: Seconds = 1.0 / INITIAL_PREFILL_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that the engine prefills per second."""
        return 1.0 / self._seconds_per_token

    def record_ttft(self, tokens: float, ttft_s: Seconds) -> None:
        """Update the rate with the TTFT of a prompt that was prefilled alone."""
        seconds_per_token = max(0.0, ttft_s - IDLE_TTFT_S) / tokens
        slowest_s, fastest_s = (
            4.0 / INITIAL_PREFILL_TOKENS_PER_S,
            0.25 / INITIAL_PREFILL_TOKENS_PER_S,
        )
        seconds_per_token = min(slowest_s, max(fastest_s, seconds_per_token))
        self._seconds_per_token += PREFILL_RATE_EWMA_GAIN * (
            seconds_per_token - self._seconds_per_token
        )


@dataclass(slots=True)
class EngineLoad:
    """One router's model of the load of one engine.

    Attributes
    ----------
    pending_prefills : dict
        Prompts of this router that are still to be prefilled, by request id.
    running : set of str
        Ids of this router's requests on the engine.
    strict_streams : set of str
        Ids of those with a strict TBT target.
    cached_parts : OrderedDict
        Times at which cached prompt parts were last used, by part id.
    slowdown : float
        Moving average of measured over predicted TTFT, as of ``slowdown_updated_s``.
    peer_load : UpstreamLoad
        Load of the other routers.
    event_gap_s : float
        Moving average of the time between events, in seconds, as of
        ``event_gap_updated_s``.
    """

    prefill_rate: PrefillRate = field(default_factory=PrefillRate)
    pending_prefills: dict[str, PendingPrefill] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)
    strict_streams: set[str] = field(default_factory=set)
    cached_parts: OrderedDict[str, Seconds] = field(default_factory=OrderedDict)
    slowdown: float = 1.0
    slowdown_updated_s: Seconds = 0.0
    peer_load: UpstreamLoad = UpstreamLoad()
    event_gap_s: Seconds = 0.0
    event_gap_updated_s: Seconds = 0.0

    def record_event_gap(self, gap_s: Seconds, now: Seconds) -> None:
        """Update the average time between two events of a stream."""
        if now - self.event_gap_updated_s > EVENT_GAP_MAX_AGE_S:
            self.event_gap_s = gap_s
        self.event_gap_s += EVENT_GAP_EWMA_GAIN * (gap_s - self.event_gap_s)
        self.event_gap_updated_s = now

    def recent_event_gap_s(self, now: Seconds) -> Seconds:
        """Return the average time between events; 0 without a recent sample."""
        return (
            self.event_gap_s
            if now - self.event_gap_updated_s <= EVENT_GAP_MAX_AGE_S
            else 0.0
        )

    def uncached_tokens(self, prompt: Prompt, now: Seconds) -> float:
        """Return the prompt tokens that are not in the engine's cache."""
        cached_tokens = 0
        for part in prompt.shared:
            used_s = self.cached_parts.get(part.id)
            if used_s is None or now - used_s > PART_EVICTION_S:
                break
            cached_tokens += part.tokens
        return max(0.0, prompt.prompt_tokens - cached_tokens)

    def backlog_tokens(self, tier: int, now: Seconds) -> float:
        """Return the tokens to prefill before a new prompt of a tier.

        Prompts of a higher tier number wait behind the new one, except for the one
        whose prefill has begun.  All pending prompts of other routers are counted, as
        their tiers are not known.
        """
        ahead, behind = 0.0, 0.0
        for item in self.pending_prefills.values():
            remaining = self._remaining_tokens(item, now)
            if item.tier <= tier:
                ahead += remaining
            else:
                behind = max(behind, remaining)
        return ahead + behind + self.peer_load.pending_prefill_tokens

    def local_load(self, now: Seconds) -> UpstreamLoad:
        """Return this router's load on the engine, as sent to other routers."""
        counts = Counter(item.tier for item in self.pending_prefills.values())
        return UpstreamLoad(
            self.local_pending_tokens(now),
            len(self.running),
            len(self.strict_streams),
            tuple(counts[tier] for tier in range(max(counts, default=-1) + 1)),
        )

    def count_unstarted_below(self, tier: int) -> int:
        """Return the requests of lower tiers, of all routers, without a first token."""
        own = sum(item.tier > tier for item in self.pending_prefills.values())
        return own + sum(self.peer_load.unstarted_by_tier[tier + 1 :])

    def local_pending_tokens(self, now: Seconds) -> int:
        """Return the tokens of this router's prompts that are still to be prefilled."""
        return int(
            sum(
                self._remaining_tokens(item, now)
                for item in self.pending_prefills.values()
            )
        )

    def _remaining_tokens(self, item: PendingPrefill, now: Seconds) -> float:
        """Return the tokens of a prompt that are likely still to be prefilled."""
        prefilled = (
            max(0.0, now - item.sent_s - IDLE_TTFT_S) * self.prefill_rate.tokens_per_s
        )
        return max(
            0.0, item.uncached_tokens - prefilled / max(1, len(self.pending_prefills))
        )

    def current_slowdown(self, now: Seconds) -> float:
        """Return the slowdown; an excess over 1 decays while nothing is measured."""
        if self.slowdown <= 1.0:
            return self.slowdown
        return 1.0 + (self.slowdown - 1.0) * decay_factor(
            now - self.slowdown_updated_s, SLOWDOWN_HALF_LIFE_S
        )

    @property
    def batch_size(self) -> int:
        """Number of requests on the engine, of this router and of others."""
        return len(self.running) + self.peer_load.running

    def predict_ttft_s(
        self, uncached_tokens: float, tier: int, now: Seconds
    ) -> Seconds:
        """Return the predicted TTFT at a slowdown of 1, in seconds."""
        tokens = uncached_tokens + self.backlog_tokens(tier, now)
        prefill_s = tokens / self.prefill_rate.tokens_per_s
        return IDLE_TTFT_S + prefill_s + self.batch_size * STEP_S_PER_REQUEST

    def add_request(
        self,
        request_id: str,
        prompt: Prompt,
        tier: int,
        now: Seconds,
        *,
        strict: bool = False,
    ) -> None:
        """Add a request that was sent to the engine.

        Parameters
        ----------
        strict : bool
            Whether the request's TBT target is strict.
        """
        uncached = self.uncached_tokens(prompt, now)
        expected_s = self.predict_ttft_s(uncached, tier, now)
        self.pending_prefills[request_id] = PendingPrefill(
            uncached, tier, now, expected_s
        )
        self.running.add(request_id)
        if strict:
            self.strict_streams.add(request_id)
        for part in prompt.shared:
            self.cached_parts[part.id] = now
            self.cached_parts.move_to_end(part.id)
        while len(self.cached_parts) > MAX_CACHED_PARTS:
            self.cached_parts.popitem(last=False)

    def record_first_token(self, request_id: str, now: Seconds) -> None:
        """Update the prefill rate and the slowdown at a request's first token."""
        item = self.pending_prefills.pop(request_id, None)
        if item is None:
            return
        ttft_s = now - item.sent_s
        alone = not self.pending_prefills and not self.peer_load.pending_prefill_tokens
        if alone and item.uncached_tokens >= MIN_RATE_SAMPLE_TOKENS:
            self.prefill_rate.record_ttft(item.uncached_tokens, ttft_s)
        ratio = ttft_s / item.expected_ttft_s
        previous = self.current_slowdown(now)
        low, high = SLOWDOWN_RANGE
        self.slowdown = min(
            high, max(low, previous + SLOWDOWN_EWMA_GAIN * (ratio - previous))
        )
        self.slowdown_updated_s = now

    def remove_request(self, request_id: str) -> None:
        """Remove a request that is no longer on the engine."""
        self.pending_prefills.pop(request_id, None)
        self.running.discard(request_id)
        self.strict_streams.discard(request_id)

    def clear_cached_parts(self) -> None:
        """Clear the cached parts, as the engine may have been restarted."""
        self.cached_parts.clear()
