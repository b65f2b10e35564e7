"""How fast a stand-in engine works, as its batch and prompt cache change."""

from __future__ import annotations

import hashlib
import math
import random
from collections import OrderedDict
from dataclasses import dataclass

from shallotpoint.types import Seconds

LENGTH_MEDIAN_TOKENS = 40
LENGTH_SIGMA = 0.8  # spread of the logarithm of answer lengths
LONGEST_ANSWER_TOKENS = 2_000


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Times of one engine, in seconds, and its sizes.

    Attributes
    ----------
    slots : int
        Requests in one batch; more wait.
    prefill_s : float
        Time to first token of a cached prompt on an idle engine.
    uncached_s : float
        Added for a prompt that is not in the prefix cache.
    token_s : float
        Time between tokens on an idle engine.
    batch_s : float
        Added to the time between tokens for each other request in the batch.
    """

    slots: int = 8
    prefill_s: Seconds = 0.02
    uncached_s: Seconds = 0.04
    token_s: Seconds = 0.010
    batch_s: Seconds = 0.001
    prefixes: int = 64

    def token_time_s(self, batch: int, *, slow_factor: float = 1.0) -> Seconds:
        """Return the time between tokens for a batch of this size."""
        return (self.token_s + self.batch_s * max(0, batch - 1)) * slow_factor

    def first_token_s(
        self, batch: int, *, cached: bool, slow_factor: float = 1.0
    ) -> Seconds:
        """Return the time to first token once the request is in the batch."""
        base_s = self.prefill_s + (0.0 if cached else self.uncached_s)
        return base_s * slow_factor + self.token_time_s(batch, slow_factor=slow_factor)


class PrefixCache:
    """A least-recently-used set of prompt prefixes."""

    def __init__(self, size: int):
        self._size = size
        self._held: OrderedDict[int, None] = OrderedDict()

    def touch(self, prefix: int) -> bool:
        """Use a prefix; return whether it was cached before."""
        if not prefix:
            return True
        cached = prefix in self._held
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if len(self._held) > self._size:
            self._held.popitem(last=False)
        return cached


def drawn_length(content: bytes) -> int:
    """Return the answer length that a request without ``max_tokens`` gets."""
    seed = int.from_bytes(hashlib.blake2b(content, digest_size=8).digest(), "big")
    drawn = random.Random(seed).lognormvariate(
        math.log(LENGTH_MEDIAN_TOKENS), LENGTH_SIGMA
    )
    return max(1, min(LONGEST_ANSWER_TOKENS, round(drawn)))
