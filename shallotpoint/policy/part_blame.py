"""Detection of prompt parts that crash the upstreams which answer them.

Requests that differ as a whole may have a part of their prompts in common that is the
cause of crashes.  A part is blamed from the crashes that its requests were on, unless
another part explains them better, and cleared by an answer to a request that has it.
"""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import math
from collections import Counter, OrderedDict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

from shallotpoint.policy.crash_reports import EXPIRY_S, CrashReport, Incarnation
from shallotpoint.types import Seconds

MIN_CRASHES = 3  # of requests with a part that was never answered
MIN_CRASHES_AFTER_ANSWER = 5  # since the last answer to a request with the part
MIN_CRASHES_BY_OTHERS = 2  # beyond those of any one request, which may be to blame
# Crashes within this time count as one, as many upstreams may lose power at once.
SAME_MOMENT_S = 0.1
# Share of a part's requests that have another part, which may be the cause instead.
ACCOMPANYING_SHARE = 0.8
FIRST_TRIAL_S = 60.0  # a blocked part is tried once after this time, then less often
TRIAL_BACKOFF = 2.0
MAX_ANSWERED_PARTS = 20_000
MAX_REPORTS = 2_000

Parts = frozenset[str]


class BlockEvent(enum.StrEnum):
    """What happened to a block."""

    BLOCKED = "blocked"
    ADOPTED = "adopted from a peer"
    ANSWERED = "answered"
    EXPLAINED = "explained by other parts"
    EXPIRED = "expired"


@dataclass(slots=True)
class PartBlock:
    """Parts of which all together are blocked, and the evidence.

    Attributes
    ----------
    parts : frozenset of str
        A request is blocked if it has all of these.
    since_s : float
        Time of the last crash that supports the block, in seconds.
    crashes : frozenset of Incarnation
        Upstreams that crashed under requests with the parts; empty if a peer found
        the block.
    contents : int
        Number of different requests at these crashes.
    next_trial_s, trial_interval_s : float
        Time of the next trial, and the pause after it, in seconds.
    last_seen_s : float
        Time of the last request with the parts, in seconds.
    """

    parts: Parts
    since_s: Seconds
    crashes: frozenset[Incarnation] = frozenset()
    contents: int = 0
    next_trial_s: Seconds = math.inf
    trial_interval_s: Seconds = FIRST_TRIAL_S
    last_seen_s: Seconds = -math.inf


class BlockChange(NamedTuple):
    """A change of a block, to be logged and published."""

    event: BlockEvent
    block: PartBlock


class _Presence(NamedTuple):
    """A request that an upstream had not answered as it crashed."""

    fingerprint: int
    parts: Parts
    at_s: Seconds


@dataclass(slots=True, eq=False)
class _Candidate:
    """A part, and the crashes since its last answer that nothing else explains."""

    part: str
    is_answered: bool
    carriers: list[tuple[Incarnation, _Presence]] = field(default_factory=list)

    @property
    def crashes(self) -> set[Incarnation]:
        return {incarnation for incarnation, _ in self.carriers}

    @property
    def contents(self) -> set[int]:
        return {presence.fingerprint for _, presence in self.carriers}

    @property
    def rank(self) -> tuple[bool, int, int]:
        """Sorts the most probable cause first."""
        return self.is_answered, -len(self.crashes), len(self.carriers)

    def has_enough(self, extra: int = 0) -> bool:
        """Return whether the crashes suffice to blame the part."""
        least = MIN_CRASHES_AFTER_ANSWER if self.is_answered else MIN_CRASHES
        by_content = Counter(presence.fingerprint for _, presence in self.carriers)
        count = self._count_moments()
        most_by_one = max(by_content.values(), default=0)
        return (
            count >= least + extra
            and len(self.crashes) - most_by_one >= MIN_CRASHES_BY_OTHERS
        )

    def _count_moments(self) -> int:
        count, last_s = 0, -math.inf
        first_times_s: dict[Incarnation, Seconds] = {}
        for incarnation, presence in self.carriers:
            first_s = first_times_s.get(incarnation, math.inf)
            first_times_s[incarnation] = min(first_s, presence.at_s)
        for at_s in sorted(first_times_s.values()):
            if at_s - last_s >= SAME_MOMENT_S:
                count, last_s = count + 1, at_s
        return count


class PartTracker:
    """Finds and blocks prompt parts that crash upstreams.

    Reports are assessed when the next request or the owner asks, as many of them may
    come together.

    Parameters
    ----------
    may_try : Callable
        Returns whether this router is the one that tries blocked parts now and then.

    Examples
    --------
    >>> tracker = PartTracker()
    >>> for number in range(3):
    ...     upstream, at_s = f"u{number}", float(number)
    ...     report = CrashReport(number + 1, upstream, at_s, parts=frozenset({"p"}))
    ...     tracker.record_crash(report)
    >>> tracker.is_blocked(frozenset({"p", "q"}), now=3.0)
    True
    >>> tracker.record_answer(frozenset({"p"}), 3.5)
    >>> tracker.is_blocked(frozenset({"p", "q"}), now=4.0)
    False
    """

    def __init__(self, *, may_try: Callable[[Parts], bool] = lambda parts: True):
        self._changes: list[BlockChange] = []
        self._unassessed_s: Seconds | None = None
        self._may_try = may_try
        self._reports: dict[Incarnation, dict[int, _Presence]] = {}
        self._answered_s: OrderedDict[str, Seconds] = OrderedDict()
        self._published_s: OrderedDict[str, Seconds] = OrderedDict()
        self._blocks: dict[Parts, PartBlock] = {}

    @property
    def blocks(self) -> list[PartBlock]:
        """The blocks that are in force."""
        self._assess_news()
        return list(self._blocks.values())

    def take_changes(self) -> list[BlockChange]:
        """Return the changes of blocks since the last call."""
        self._assess_news()
        changes, self._changes = self._changes, []
        return changes

    def record_crash(self, report: CrashReport) -> None:
        """Record a crash under a request, seen here or reported by a peer."""
        if not report.parts:
            return
        presences = self._reports.setdefault(report.incarnation, {})
        if report.fingerprint in presences:
            return
        presences[report.fingerprint] = _Presence(
            report.fingerprint, report.parts, report.at_s
        )
        if len(self._reports) > MAX_REPORTS:
            del self._reports[next(iter(self._reports))]
        self._request_assessment(report.at_s)

    def record_alive(self, incarnation: Incarnation, sent_s: Seconds) -> None:
        """Record that an upstream answered an attempt that was sent at ``sent_s``.

        Earlier reports of its crash were wrong and are dropped.
        """
        presences = self._reports.get(incarnation)
        if presences is None:
            return
        for fingerprint in [f for f, p in presences.items() if p.at_s < sent_s]:
            del presences[fingerprint]
        if not presences:
            del self._reports[incarnation]

    def record_answer(self, parts: Parts, begun_s: Seconds) -> None:
        """Record that an upstream began an answer and did not crash.

        Parameters
        ----------
        begun_s : float
            Time at which the answer began, in seconds.
        """
        for part in parts:
            _remember(self._answered_s, part, begun_s)
        if any(parts & block.parts for block in self._blocks.values()):
            self._request_assessment(begun_s)

    def is_blocked(self, parts: Parts, now: Seconds) -> bool:
        """Return whether a request may not run anywhere, nor as a trial."""
        self._assess_news()
        for block in self._matching(parts):
            block.last_seen_s = max(block.last_seen_s, now)
            if now < block.next_trial_s or not self._may_try(block.parts):
                return True
        return False

    @contextlib.contextmanager
    def unobserved(self) -> Iterator[None]:
        """Keep the times at which blocked parts were last seen for a ``with`` block.

        A request that is only asked about must not keep a block in force.
        """
        seen = [(block, block.last_seen_s) for block in self.blocks]
        try:
            yield
        finally:
            for block, last_seen_s in seen:
                block.last_seen_s = last_seen_s

    def record_sent(self, parts: Parts, now: Seconds) -> None:
        """Record that a request was sent, which ends the trials of its parts."""
        for block in self._matching(parts):
            block.trial_interval_s *= TRIAL_BACKOFF
            block.next_trial_s = now + block.trial_interval_s

    def adopt(self, parts: Parts, since_s: Seconds, now: Seconds) -> None:
        """Put a block that a peer found in force, less the parts answered since."""
        self._assess_news()
        rest = frozenset(p for p in parts if self._answered(p) < since_s)
        if not rest or any(known <= rest for known in self._blocks):
            return
        block = PartBlock(rest, since_s, next_trial_s=now + FIRST_TRIAL_S)
        block.last_seen_s = now
        self._blocks[rest] = block
        self._changes.append(BlockChange(BlockEvent.ADOPTED, block))

    def answers_to_publish(
        self, *, min_age_s: Seconds = 1.0
    ) -> Iterator[tuple[str, Seconds]]:
        """Iterate over suspected parts and the last answer to each.

        An answer is given if it is newer than the last one published, here or by a
        peer, by at least ``min_age_s``.
        """
        for part in self._suspected_parts():
            begun_s = self._answered(part)
            if begun_s > self._published_s.get(part, -math.inf) + min_age_s:
                _remember(self._published_s, part, begun_s)
                yield part, begun_s

    def record_published(self, part: str, begun_s: Seconds) -> None:
        """Record an answer that a peer published."""
        _remember(self._published_s, part, begun_s)
        self.record_answer(frozenset({part}), begun_s)

    def expire(self, now: Seconds) -> None:
        """Drop old reports and answers, and blocks that no request has met lately."""
        oldest_s = now - EXPIRY_S
        for incarnation, presences in list(self._reports.items()):
            for presence in list(presences.values()):
                if presence.at_s <= oldest_s or self._is_answered(presence):
                    del presences[presence.fingerprint]
            if not presences:
                del self._reports[incarnation]
        for times in (self._answered_s, self._published_s):
            _drop_older(times, oldest_s)
        for block in self.blocks:
            if max(block.last_seen_s, block.since_s) <= oldest_s:
                self._remove(block, BlockEvent.EXPIRED)

    # Blame

    def _request_assessment(self, at_s: Seconds) -> None:
        self._unassessed_s = max(at_s, self._unassessed_s or at_s)

    def _assess_news(self) -> None:
        if self._unassessed_s is not None:
            at_s, self._unassessed_s = self._unassessed_s, None
            self._assess(at_s)

    def _assess(self, now: Seconds) -> None:
        """Update the blocks from all reports and answers."""
        found = list(self._find_causes())
        for parts, candidate in found:
            self._update_block(parts, candidate, now)
        for block in list(self._blocks.values()):
            self._review(block, [parts for parts, _ in found])

    def _find_causes(self) -> Iterator[tuple[Parts, _Candidate]]:
        """Iterate over the parts to blame, the most probable cause first."""
        candidates = self._candidates()
        while True:
            candidates.sort(key=lambda candidate: candidate.rank)
            cause = next((c for c in candidates if self._is_cause(c, candidates)), None)
            if cause is None:
                return
            yield self._group(cause), cause
            explained = cause.crashes
            candidates.remove(cause)
            for other in candidates:
                other.carriers = [c for c in other.carriers if c[0] not in explained]

    def _is_cause(self, candidate: _Candidate, others: list[_Candidate]) -> bool:
        """Return whether to blame a part.

        It takes one more crash while a part of other requests was at all the same
        crashes.
        """
        if not candidate.has_enough():
            return False
        if candidate.has_enough(extra=1):
            return True
        group = self._group(candidate)
        return not any(
            other.part not in group
            and other.is_answered == candidate.is_answered
            and other.crashes >= candidate.crashes
            for other in others
        )

    def _candidates(self) -> list[_Candidate]:
        """Return all parts with a crash since their last answer."""
        candidates: dict[str, _Candidate] = {}
        for incarnation, presences in self._reports.items():
            for presence in presences.values():
                for part in presence.parts:
                    if presence.at_s <= self._answered(part):
                        continue
                    candidate = candidates.get(part)
                    if candidate is None:
                        is_answered = part in self._answered_s
                        candidate = candidates[part] = _Candidate(part, is_answered)
                    candidate.carriers.append((incarnation, presence))
        return [c for c in candidates.values() if len(c.crashes) >= MIN_CRASHES]

    def _group(self, candidate: _Candidate) -> Parts:
        """Return the parts that may be the cause together with a part.

        These stand beside it in most of its requests, and were never answered.
        """
        counts = Counter(
            part for _, presence in candidate.carriers for part in presence.parts
        )
        least = ACCOMPANYING_SHARE * len(candidate.carriers)
        return frozenset(
            part
            for part, count in counts.items()
            if part == candidate.part
            or (count >= least and part not in self._answered_s)
        )

    def _update_block(self, parts: Parts, candidate: _Candidate, now: Seconds) -> None:
        since_s = max(presence.at_s for _, presence in candidate.carriers)
        block = self._blocks.get(parts)
        is_new = block is None
        if block is None:
            block = PartBlock(parts, since_s, next_trial_s=now + FIRST_TRIAL_S)
            block.last_seen_s = now
            self._blocks[parts] = block
        block.since_s = max(block.since_s, since_s)
        block.crashes = frozenset(candidate.crashes)
        block.contents = len(candidate.contents)
        if is_new:
            self._changes.append(BlockChange(BlockEvent.BLOCKED, block))

    def _review(self, block: PartBlock, found: list[Parts]) -> None:
        """Narrow or remove a block that answers or other causes contradict."""
        if block.parts in found:
            return
        rest = frozenset(p for p in block.parts if self._answered(p) < block.since_s)
        if not rest:
            self._remove(block, BlockEvent.ANSWERED)
        elif rest != block.parts:
            self._remove(block, BlockEvent.ANSWERED)
            if rest not in self._blocks:
                block = dataclasses.replace(block, parts=rest)
                self._blocks[rest] = block
                self._changes.append(BlockChange(BlockEvent.BLOCKED, block))
        elif block.crashes and self._is_explained(block, found):
            self._remove(block, BlockEvent.EXPLAINED)

    def _is_explained(self, block: PartBlock, found: list[Parts]) -> bool:
        """Return whether other blocks explain nearly all crashes of a block."""
        others: set[Incarnation] = set()
        for parts in found:
            others |= self._blocks[parts].crashes
        return len(block.crashes - others) < MIN_CRASHES

    def _remove(self, block: PartBlock, event: BlockEvent) -> None:
        del self._blocks[block.parts]
        self._changes.append(BlockChange(event, block))

    def _answered(self, part: str) -> Seconds:
        """Return when the last answer to a part began, in seconds."""
        return self._answered_s.get(part, -math.inf)

    def _is_answered(self, presence: _Presence) -> bool:
        """Return whether all parts of a request were answered after the crash."""
        return all(self._answered(part) >= presence.at_s for part in presence.parts)

    def _matching(self, parts: Parts) -> Iterator[PartBlock]:
        if not self._blocks or not parts:
            return
        for block in self._blocks.values():
            if block.parts <= parts:
                yield block

    def _suspected_parts(self) -> set[str]:
        """Return the parts that are blocked or had a crash since their last answer."""
        suspected = {part for parts in self._blocks for part in parts}
        for presences in self._reports.values():
            for presence in presences.values():
                suspected.update(
                    part
                    for part in presence.parts
                    if presence.at_s > self._published_s.get(part, -math.inf)
                )
        return suspected


def _remember(times: OrderedDict[str, Seconds], part: str, at_s: Seconds) -> None:
    """Keep the latest time of a part, and forget the part unused for longest."""
    times[part] = max(at_s, times.get(part, -math.inf))
    times.move_to_end(part)
    if len(times) > MAX_ANSWERED_PARTS:
        times.popitem(last=False)


def _drop_older(times: OrderedDict[str, Seconds], oldest_s: Seconds) -> None:
    while times and next(iter(times.values())) <= oldest_s:
        times.popitem(last=False)
