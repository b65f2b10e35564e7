"""A local copy of all keys under a prefix, with the age of its last proof.

The copy stays in use while the service is away.  After such a gap, keys that are
found missing are kept for a grace time, as their owners may not have been able to
renew them and put them back; removals that are heard in normal operation apply at
once.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from shallotpoint.coordination.kv import (
    Change,
    Entry,
    HistoryLost,
    KeyValueError,
    Source,
)
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Revision, Seconds

RETRY_S = 0.1  # first pause after a failed call
LONGEST_RETRY_S = 0.8  # well below the age at which a view is no longer trusted
RECENT_CHANGES = 512  # more than fall into the time that a peer is behind
PREFER_AGAIN_S = 3.0  # a source that failed is tried again after this time
OLDER_S = 0.3  # a copy is passed on up to this long past its next confirmation
TRIAL_WAIT_S = 0.2  # wait of the first poll after a failure, for a proof soon
ANSWER_S = 0.4  # kept of a copy's longest age for an answer that does not come
GAP_S = 2.0  # no answer for this long is an outage, in which leases may end

_log = logging.getLogger(__name__)


class FollowedCopy:
    """The state of a copy, free of I/O; the time is an argument.

    Parameters
    ----------
    grace_s : float
        Time for which a key that was lost in a gap is kept, in seconds.

    Attributes
    ----------
    confirmed_s : float or None
        When the copy was last surely current, in seconds.
    """

    def __init__(self, grace_s: Seconds = 0.0):
        self.entries: dict[str, Entry] = {}
        self.revision: Revision = 0
        self.confirmed_s: Seconds | None = None
        self._grace_s = grace_s
        self._lost_s: Seconds | None = None
        self._returned_s: Seconds | None = None
        self._doubtful: dict[str, Seconds] = {}
        self._recent: deque[Change] = deque()
        self._known_from: Revision = 0

    def hear(self, proved_s: Seconds, now: Seconds) -> None:
        """Note an answer.

        Parameters
        ----------
        proved_s : float
            When the service surely knew nothing newer than the answer.
        """
        if self._lost_s is not None and now - self._lost_s >= GAP_S:
            self._returned_s = now
        self._lost_s = None
        self.confirmed_s = max(self.confirmed_s or proved_s, proved_s)

    def lose(self, now: Seconds) -> None:
        """Note a call without an answer."""
        if self._lost_s is None:
            self._lost_s = now

    def replace_all(
        self, entries: Iterable[Entry], revision: Revision, now: Seconds
    ) -> None:
        """Take over a full listing."""
        listed = {entry.key: entry for entry in entries}
        for key in self.entries.keys() - listed.keys():
            self._remove(key, now)
        self.entries.update(listed)
        for key in listed:
            self._doubtful.pop(key, None)
        self.revision = revision
        self._recent.clear()
        self._known_from = revision

    def apply(
        self, changes: Iterable[Change], revision: Revision, now: Seconds
    ) -> None:
        """Take over changes."""
        for change in changes:
            if change.entry is None:
                self._remove(change.key, now)
            else:
                self.entries[change.key] = change.entry
                self._doubtful.pop(change.key, None)
            self._recent.append(change)
        while len(self._recent) > RECENT_CHANGES:
            self._known_from = self._recent.popleft().revision
        self.revision = max(self.revision, revision)

    def changes_since(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision, None if some are forgotten."""
        if revision < self._known_from:
            return None
        return tuple(c for c in self._recent if c.revision > revision)

    def expire(self, now: Seconds) -> bool:
        """Drop doubtful keys whose grace is over; return whether any was."""
        over = [key for key, until_s in self._doubtful.items() if until_s <= now]
        for key in over:
            del self._doubtful[key]
            self.entries.pop(key, None)
        return bool(over)

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since the copy was last proved current, in seconds."""
        return None if self.confirmed_s is None else now - self.confirmed_s

    @property
    def is_lost(self) -> bool:
        """Whether the last call had no answer."""
        return self._lost_s is not None

    @property
    def doubtful(self) -> bool:
        """Whether any key is kept only for its grace time."""
        return bool(self._doubtful)

    def _remove(self, key: str, now: Seconds) -> None:
        returned_s = self._returned_s
        if returned_s is not None and now < returned_s + self._grace_s:
            if key in self.entries:
                self._doubtful.setdefault(key, returned_s + self._grace_s)
            return
        self.entries.pop(key, None)
        self._doubtful.pop(key, None)


class _SourceChoice:
    """Which source is asked next: the preferred one, or one after those that failed."""

    def __init__(self) -> None:
        self._failures = 0
        self._failed_s: Seconds = 0.0

    def pick(self, sources: Sequence[Source], now: Seconds) -> tuple[Source, bool]:
        """Return a source, and whether it failed before and is tried again."""
        in_doubt = False
        if self._failures and now - self._failed_s >= PREFER_AGAIN_S:
            self._failures, in_doubt = 0, len(sources) > 1
        return sources[self._failures % len(sources)], in_doubt

    def fail(self, now: Seconds) -> None:
        """Go on to the next source."""
        self._failures += 1
        self._failed_s = now

    def all_failed(self, sources: Sequence[Source]) -> bool:
        """Return whether each source failed since the last one that answered."""
        return self._failures % len(sources) == 0


class PrefixFollower:
    """Keeps a :class:`FollowedCopy` up to date.

    Parameters
    ----------
    sources : Callable
        Returns where the copy comes from, the preferred source first; never empty.
    wait_s : float
        Longest time that one poll waits at a source, in seconds.
    clock : Callable
        Time in seconds that goes on while the host is suspended.
    settle_s : float
        Pause after a change, so that a burst of changes takes few calls.
    on_change : Callable
        Called with the copy after each change.
    """

    def __init__(
        self,
        sources: Callable[[], Sequence[Source]],
        prefix: str,
        *,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[Mapping[str, Entry]], None],
        wait_s: Seconds,
        settle_s: Seconds = 0.0,
        grace_s: Seconds = 0.0,
    ):
        self.copy = FollowedCopy(grace_s)
        self.prefix = prefix
        self._sources = sources
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self.wait_s = wait_s
        self._settle_s = settle_s
        self._reachable: bool | None = None
        self._choice = _SourceChoice()
        self._failing: set[str] = set()
        self._proof = asyncio.Event()

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since the copy was last proved current, in seconds."""
        return self.copy.age_s(now)

    @property
    def oldest_s(self) -> Seconds:
        """Age up to which the copy is passed on, in seconds."""
        return self.wait_s + OLDER_S

    async def wait_for_proof(self, timeout_s: Seconds) -> None:
        """Return after the next answer of a source, or when the time is over."""
        await wait_set(self._proof, timeout_s)

    async def run(self) -> None:
        """Follow the prefix, until cancelled."""
        pause_s = RETRY_S
        listed = False
        while True:
            sources = self._sources()
            source, in_doubt = self._choice.pick(sources, self._clock())
            try:
                if not listed:
                    await self._list(source)
                    listed = True
                changed = await self._poll(source, in_doubt)
            except HistoryLost as exc:
                _log.info(
                    "history lost, listing again",
                    extra={"prefix": self.prefix, "reason": str(exc)},
                )
                listed = False
            except KeyValueError as exc:
                self._note_failure(source, str(exc))
                self._expire()
                if self._choice.all_failed(sources):
                    self._note_reachable(False, str(exc))
                    await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                    pause_s = min(LONGEST_RETRY_S, pause_s * 2)
            else:
                self._note_reachable(True, f"answered by {source.name}")
                self._failing.discard(source.name)
                pause_s = RETRY_S
                if changed:
                    await asyncio.sleep(self._settle_s)

    async def _list(self, source: Source) -> None:
        started_s = self._clock()
        listing = await source.list_prefix(self.prefix)
        now = self._clock()
        self.copy.hear(started_s - listing.age_s, now)
        self.copy.replace_all(listing.entries, listing.revision, now)
        self._tell()
        self._note_proof()

    async def _poll(self, source: Source, in_doubt: bool) -> bool:
        """Ask for changes once; return whether there were any."""
        started_s = self._clock()
        wait_s = min(self.wait_s, source.longest_wait_s)
        if in_doubt or self.copy.doubtful or self.copy.is_lost:
            wait_s = min(wait_s, TRIAL_WAIT_S)
        left_s = self.oldest_s - (self.age_s(started_s) or 0.0)
        wait_s = min(wait_s, max(TRIAL_WAIT_S, left_s - ANSWER_S))
        poll = await source.poll(self.prefix, self.copy.revision, wait_s)
        now = self._clock()
        held_s = poll.held_s
        if held_s is None:
            # An empty answer is given when the wait is over, and not before.
            waited = not poll.changes and now - started_s >= wait_s
            held_s = wait_s if waited else 0.0
        self.copy.hear(min(now, started_s + held_s) - poll.age_s, now)
        self.copy.apply(poll.changes, poll.revision, now)
        dropped = self.copy.expire(now)
        if poll.changes or dropped:
            self._tell()
        self._note_proof()
        return bool(poll.changes)

    def _expire(self) -> None:
        if self.copy.expire(self._clock()):
            self._tell()

    def _tell(self) -> None:
        self._on_change(self.copy.entries)

    def _note_proof(self) -> None:
        proof, self._proof = self._proof, asyncio.Event()
        proof.set()

    def _note_failure(self, source: Source, reason: str) -> None:
        now = self._clock()
        self.copy.lose(now)
        self._choice.fail(now)
        if source.name in self._failing:
            return
        self._failing.add(source.name)
        _log.warning(
            "source failed",
            extra={"prefix": self.prefix, "source": source.name, "reason": reason},
        )

    def _note_reachable(self, reachable: bool, reason: str = "") -> None:
        if reachable is self._reachable:
            return
        self._reachable = reachable
        event = "store regained" if reachable else "store lost"
        age_s = self.copy.age_s(self._clock())
        _log.warning(
            event,
            extra={
                "prefix": self.prefix,
                "age_s": None if age_s is None else round(age_s, 3),
                "reason": reason,
            },
        )
