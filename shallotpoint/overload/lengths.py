"""Number of events of answers, relative to their length hints and by class."""

from __future__ import annotations

import math
from collections import defaultdict
from dataclasses import dataclass

from shallotpoint.types import Tokens

MIN_SAMPLES = 4  # ended answers before an estimate is used
MIN_LONG_SAMPLES = 12  # of a class, as the quantile needs more than the median
LONG_QUANTILE = 0.9  # of the answers of a class; the last tenth may be outliers
MEDIAN = 0.5
# Step of an estimate at the first sample, as a difference of logarithms, and later.
FIRST_LOG_STEP = 0.5
LAST_LOG_STEP = 0.05


@dataclass(slots=True)
class QuantileEstimate:
    """Running estimate of a quantile of positive values.

    Each sample moves the logarithm of the estimate by a step, up or down in proportion
    to the quantile, so that a single outlier has no more effect than any other sample.

    Examples
    --------
    >>> estimate = QuantileEstimate(0.5)
    >>> for value in [3, 5, 4] * 100:
    ...     estimate.add(value)
    >>> 3.5 < estimate.value < 4.5
    True
    """

    quantile: float
    value: float = 0.0
    samples: int = 0

    def add(self, value: float) -> None:
        """Add the value of an answer that ended by itself."""
        self.samples += 1
        if self.samples == 1:
            self.value = value
            return
        step = max(LAST_LOG_STEP, FIRST_LOG_STEP / self.samples)
        up = self.quantile if value > self.value else self.quantile - 1.0
        self.value *= math.exp(up * step)

    def add_at_least(self, value: float) -> None:
        """Add an answer that was cut, and whose value would have been larger.

        It tells nothing if the estimate is already larger.
        """
        if self.samples and value > self.value:
            self.add(value)

    @property
    def is_known(self) -> bool:
        """Whether there were enough samples."""
        return self.samples >= MIN_SAMPLES


class AnswerLengths:
    """Lengths of the answers of one pool.

    An event holds about as many tokens in all classes of a pool, so they share the
    ratio, which is then known soon after a router has started.
    """

    def __init__(self) -> None:
        self._events_per_token = QuantileEstimate(MEDIAN)
        self._long_hints: dict[str, QuantileEstimate] = defaultdict(
            lambda: QuantileEstimate(LONG_QUANTILE)
        )
        self._long_answers: dict[str, QuantileEstimate] = defaultdict(
            lambda: QuantileEstimate(LONG_QUANTILE)
        )

    def record_start(self, class_name: str, expected_tokens: Tokens) -> None:
        """Record the length hint of a request that is sent to an engine."""
        if expected_tokens > 0:
            self._long_hints[class_name].add(expected_tokens)

    def record_end(
        self, class_name: str, events: int, expected_tokens: Tokens, *, cut: bool
    ) -> None:
        """Record the events of an answer that ended or was cut."""
        if events <= 0:
            return
        samples = [(self._long_answers[class_name], float(events))]
        if expected_tokens > 0:
            samples.append((self._events_per_token, events / expected_tokens))
        for estimate, value in samples:
            if cut:
                estimate.add_at_least(value)
            else:
                estimate.add(value)

    def expected_events(self, expected_tokens: Tokens) -> float | None:
        """Return the median number of events of an answer; None if it is not known."""
        if expected_tokens <= 0 or not self._events_per_token.is_known:
            return None
        return max(1.0, expected_tokens * self._events_per_token.value)

    def long_answer_events(self, class_name: str) -> float | None:
        """Return the events of a long answer of a class; None if it is not known.

        Hints are used until enough answers have ended: they are known earlier, but the
        largest of them are rather wrong than long.
        """
        answers = self._long_answers.get(class_name)
        if answers is not None and answers.samples >= MIN_LONG_SAMPLES:
            return answers.value
        hint = self._long_hints.get(class_name)
        if hint is None or not hint.is_known:
            return None
        return self.expected_events(hint.value)
