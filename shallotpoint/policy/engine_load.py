"""What a router expects of each engine: its queue, its cache and its pace.

An engine reads prompts one after the other, in chunks between the tokens of what
it already answers.  The model counts the prompt tokens that are still to be read
and predicts the first token of one more request.  Rates differ between engines
and change, so a pace per engine scales the prediction by what was seen.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

from shallotpoint.policy.decay import half_life
from shallotpoint.policy.prompts import Prompt
from shallotpoint.types import Seconds

READ_TOKENS_PER_S = 80_000.0  # first guess; the pace corrects it within some answers
FIRST_TOKEN_S = 0.07  # an idle engine's time to first token for an empty prompt
SLOT_STEP_S = 0.0006  # rise of the time between events for each request in the batch
PARTS_KEPT = 2_000  # shared parts remembered for each engine
PART_KEPT_S = 60.0  # an unused part is likely evicted after this long
GAP_GAIN = 0.1  # weight of the newest event in the usual time between events
GAP_FRESH_S = 1.0  # a gap that was seen longer ago says nothing of the present
CLEAN_TOKENS = 3_000  # prompts that are long enough to measure the reading rate
RATE_GAIN = 0.1  # weight of the newest prompt in the measured rate
PACE_GAIN = 0.15  # weight of the newest answer in the pace
PACE_RANGE = (0.4, 8.0)  # bounds of the pace, so that one outlier cannot eject
PACE_FORGET_S = 10.0  # an unused engine's bad pace halves in this time


@dataclass(frozen=True, slots=True)
class Reading:
    """A request whose prompt is still being read.

    Attributes
    ----------
    tokens : float
        Prompt tokens that the engine had to read when it was sent.
    expected_s : float
        Predicted time to first token, in seconds, for a pace of 1.
    """

    tokens: float
    tier: int
    sent_s: Seconds
    expected_s: Seconds


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Requests of other routers on one engine, by their last word.

    Attributes
    ----------
    reading_tokens : int
        Prompt tokens that are still to be read.
    running : int
        Requests sent and not ended.
    tight : int
        Of these, streams whose pauses must be short.
    """

    reading_tokens: int = 0
    running: int = 0
    tight: int = 0


class ReadingRate:
    """How fast one engine reads prompts, from prompts that it read alone."""

    def __init__(self) -> None:
        self._token_s: Seconds = 1.0 / READ_TOKENS_PER_S

    @property
    def tokens_per_s(self) -> float:
        """Prompt tokens that one engine reads a second."""
        return 1.0 / self._token_s

    def observe(self, tokens: float, first_token_s: Seconds) -> None:
        """Take in the time to first token of a prompt that was read alone."""
        seen_s = max(0.0, first_token_s - FIRST_TOKEN_S) / tokens
        slowest_s, fastest_s = 4.0 / READ_TOKENS_PER_S, 0.25 / READ_TOKENS_PER_S
        seen_s = min(slowest_s, max(fastest_s, seen_s))
        self._token_s += RATE_GAIN * (seen_s - self._token_s)


@dataclass(slots=True)
class EngineLoad:
    """One engine as one router sees it."""

    rate: ReadingRate = field(default_factory=ReadingRate)
    reading: dict[str, Reading] = field(default_factory=dict)
    running: set[str] = field(default_factory=set)
    tight: set[str] = field(default_factory=set)
    parts: OrderedDict[str, Seconds] = field(default_factory=OrderedDict)
    pace: float = 1.0
    paced_s: Seconds = 0.0
    peers: PeerLoad = PeerLoad()
    gap_s: Seconds = 0.0
    gap_seen_s: Seconds = 0.0

    def see_gap(self, gap_s: Seconds, now: Seconds) -> None:
        """Take in the time between two events of a stream."""
        if now - self.gap_seen_s > GAP_FRESH_S:
            self.gap_s = gap_s
        self.gap_s += GAP_GAIN * (gap_s - self.gap_s)
        self.gap_seen_s = now

    def current_gap_s(self, now: Seconds) -> Seconds:
        """Return the usual time between events, 0 if none was seen lately."""
        return self.gap_s if now - self.gap_seen_s <= GAP_FRESH_S else 0.0

    def unread_tokens(self, prompt: Prompt, now: Seconds) -> float:
        """Return the tokens that the engine would have to read."""
        known = 0
        for part in prompt.shared:
            used_s = self.parts.get(part.id)
            if used_s is None or now - used_s > PART_KEPT_S:
                break
            known += part.tokens
        return max(0.0, prompt.tokens_in - known)

    def backlog_tokens(self, tier: int, now: Seconds) -> float:
        """Return the prompt tokens read before a new request of a tier.

        Less urgent prompts wait behind it, but for the one that is being read.
        """
        ahead, behind = 0.0, 0.0
        for item in self.reading.values():
            left = self._left(item, now)
            if item.tier <= tier:
                ahead += left
            else:
                behind = max(behind, left)
        return ahead + behind + self.peers.reading_tokens

    def own(self, now: Seconds) -> PeerLoad:
        """Return what this router has on the engine, as others hear it."""
        reading = self.own_reading_tokens(now)
        return PeerLoad(reading, len(self.running), len(self.tight))

    def own_reading_tokens(self, now: Seconds) -> int:
        """Return the prompt tokens sent by this router and still to be read."""
        return int(sum(self._left(item, now) for item in self.reading.values()))

    def _left(self, item: Reading, now: Seconds) -> float:
        """Return the tokens of a prompt that are likely still to be read."""
        read = max(0.0, now - item.sent_s - FIRST_TOKEN_S) * self.rate.tokens_per_s
        return max(0.0, item.tokens - read / max(1, len(self.reading)))

    def current_pace(self, now: Seconds) -> float:
        """Return the pace; a bad one is forgotten while nothing is sent."""
        if self.pace <= 1.0:
            return self.pace
        return 1.0 + (self.pace - 1.0) * half_life(now - self.paced_s, PACE_FORGET_S)

    @property
    def batch(self) -> int:
        """Requests on the engine, of this router and of others."""
        return len(self.running) + self.peers.running

    def first_token_s(self, unread: float, tier: int, now: Seconds) -> Seconds:
        """Predict the time to first token at a pace of 1, in seconds."""
        tokens = unread + self.backlog_tokens(tier, now)
        read_s = tokens / self.rate.tokens_per_s
        return FIRST_TOKEN_S + read_s + self.batch * SLOT_STEP_S

    def send(
        self,
        request: str,
        prompt: Prompt,
        tier: int,
        now: Seconds,
        *,
        tight: bool = False,
    ) -> None:
        """Note that a request was sent; ``tight`` if its pauses must be short."""
        unread = self.unread_tokens(prompt, now)
        expected_s = self.first_token_s(unread, tier, now)
        self.reading[request] = Reading(unread, tier, now, expected_s)
        self.running.add(request)
        if tight:
            self.tight.add(request)
        for part in prompt.shared:
            self.parts[part.id] = now
            self.parts.move_to_end(part.id)
        while len(self.parts) > PARTS_KEPT:
            self.parts.popitem(last=False)

    def answer(self, request: str, now: Seconds) -> None:
        """Note the first token of a request."""
        item = self.reading.pop(request, None)
        if item is None:
            return
        took_s = now - item.sent_s
        alone = not self.reading and not self.peers.reading_tokens
        if alone and item.tokens >= CLEAN_TOKENS:
            self.rate.observe(item.tokens, took_s)
        seen = took_s / item.expected_s
        pace = self.current_pace(now)
        low, high = PACE_RANGE
        self.pace = min(high, max(low, pace + PACE_GAIN * (seen - pace)))
        self.paced_s = now

    def end(self, request: str) -> None:
        """Note that a request is no longer on the engine."""
        self.reading.pop(request, None)
        self.running.discard(request)
        self.tight.discard(request)

    def clear(self) -> None:
        """Forget what the engine kept, as it started anew."""
        self.parts.clear()
