"""Timing model of a simulated engine: batch size, prefix cache, answer lengths."""

from __future__ import annotations

import hashlib
import math
import random
from collections import OrderedDict
from dataclasses import dataclass

from shallotpoint.types import Seconds

MEDIAN_ANSWER_TOKENS = 40
ANSWER_LENGTH_SIGMA = 0.8  # standard deviation of the logarithm of the length in tokens
MAX_ANSWER_TOKENS = 2_000


@dataclass(frozen=True, slots=True)
class EngineTiming:
    """Processing times of an engine, in seconds, and the sizes of batch and cache.

    Attributes
    ----------
    slots : int
        Largest number of requests in a batch; others wait.
    prefill_s : float
        Time to process a prompt whose prefix is cached, before the first token.
    uncached_extra_s : float
        Additional time for a prompt whose prefix is not cached.
    token_s : float
        Time to generate one token for a request that is alone in the batch.
    batch_extra_s : float
        Additional time per token for each other request in the batch.
    cache_size : int
        Number of prompt prefixes that the cache holds.
    """

    slots: int = 8
    prefill_s: Seconds = 0.02
    uncached_extra_s: Seconds = 0.04
    token_s: Seconds = 0.010
    batch_extra_s: Seconds = 0.001
    cache_size: int = 64

    def token_time_s(self, batch: int, *, slow_factor: float = 1.0) -> Seconds:
        """Return the time to generate one token, for a batch of this size."""
        return (self.token_s + self.batch_extra_s * max(0, batch - 1)) * slow_factor

    def first_token_s(
        self, batch: int, *, cached: bool, slow_factor: float = 1.0
    ) -> Seconds:
        """Return the time from a request's entry into the batch to its first token."""
        base_s = self.prefill_s + (0.0 if cached else self.uncached_extra_s)
        return base_s * slow_factor + self.token_time_s(batch, slow_factor=slow_factor)


class PrefixCache:
    """The cached prompt prefixes, by hash; evicts the least recently used one.

    Parameters
    ----------
    size : int
        Largest number of prefixes.
    """

    def __init__(self, size: int):
        self._size = size
        self._prefixes: OrderedDict[int, None] = OrderedDict()

    def touch(self, prefix: int) -> bool:
        """Add a prefix as the most recently used; return whether it was cached.

        Prefix 0 stands for a prompt too short to be cached, and costs no extra time.
        """
        if not prefix:
            return True
        cached = prefix in self._prefixes
        self._prefixes[prefix] = None
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > self._size:
            self._prefixes.popitem(last=False)
        return cached


def draw_answer_length(content: bytes) -> int:
    """Return the answer length in tokens for a request without ``max_tokens``.

    The length is log-normally distributed; equal content gets an equal length.
    """
    seed = int.from_bytes(hashlib.blake2b(content, digest_size=8).digest(), "big")
    drawn = random.Random(seed).lognormvariate(
        math.log(MEDIAN_ANSWER_TOKENS), ANSWER_LENGTH_SIGMA
    )
    return max(1, min(MAX_ANSWER_TOKENS, round(drawn)))
