"""A local copy of all keys under a prefix, whose age is known.

The copy stays in use while the key-value service is unreachable.  Keys that are
missing after such an outage are kept for a grace time, because their owners may not
have been able to renew their leases and need time to create the keys again.  Removals
in normal operation take effect at once.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence

from shallotpoint.coordination.eras import split_era
from shallotpoint.coordination.kv import (
    Change,
    Entry,
    HistoryLost,
    KeyValueError,
    Source,
)
from shallotpoint.tasks import wait_set
from shallotpoint.types import Clock, Revision, Seconds

FIRST_RETRY_PAUSE_S = 0.1  # pause after the first failed call
MAX_RETRY_PAUSE_S = 0.8  # well below the age at which a copy is no longer trusted
MAX_KEPT_CHANGES = 512  # more changes than occur while a peer's copy lags behind
PREFERRED_RETRY_S = 3.0  # the preferred source is tried again this long after a failure
SERVED_AGE_MARGIN_S = 0.3  # copies are served this long after a confirmation is due
MIN_POLL_WAIT_S = 0.2  # wait of a poll after a failure, short to confirm the copy soon
# The wait of a poll ends this long before the copy is too old to be served, to
# leave time to detect that no answer comes; it is never below ``MIN_POLL_WAIT_S``.
NO_ANSWER_MARGIN_S = 0.4
MIN_OUTAGE_S = 2.0  # failures of this length are outages, in which leases may expire

_log = logging.getLogger(__name__)


class PrefixCopy:
    """A copy of the keys under a prefix, without I/O; the time is an argument.

    Parameters
    ----------
    grace_s : float
        Time after an outage for which missing keys are kept, in seconds.

    Attributes
    ----------
    entries : dict of str to Entry
        The copied entries by key.
    revision : int
        Revision of the service that the copy reflects.
    confirmed_at_s : float or None
        Time at which the copy was last certainly current, in seconds; None if never.
    """

    def __init__(self, grace_s: Seconds = 0.0):
        self.entries: dict[str, Entry] = {}
        self.revision: Revision = 0
        self.confirmed_at_s: Seconds | None = None
        self._grace_s = grace_s
        self._failing_since_s: Seconds | None = None
        self._outage_end_s: Seconds | None = None
        self._missing_until_s: dict[str, Seconds] = {}
        self._kept_changes: deque[Change] = deque()
        self._kept_after: Revision = 0

    def record_answer(self, confirmed_at_s: Seconds, now: Seconds) -> None:
        """Record that a call was answered; its data is applied separately.

        Parameters
        ----------
        confirmed_at_s : float
            Time at which the answer's data was certainly current, in seconds.
        now : float
            Current time, in seconds.
        """
        if (
            self._failing_since_s is not None
            and now - self._failing_since_s >= MIN_OUTAGE_S
        ):
            self._outage_end_s = now
        self._failing_since_s = None
        self.confirmed_at_s = max(self.confirmed_at_s or confirmed_at_s, confirmed_at_s)

    def record_failure(self, now: Seconds) -> None:
        """Record that a call got no answer."""
        if self._failing_since_s is None:
            self._failing_since_s = now

    def replace_all(
        self, entries: Iterable[Entry], revision: Revision, now: Seconds
    ) -> None:
        """Replace the copy by a full listing; keys lost in an outage may be kept.

        A service that came back from a backup may also have lost keys that their
        owners write again.
        """
        if split_era(revision).era > split_era(self.revision).era and self.revision:
            self._outage_end_s = now
        listed = {entry.key: entry for entry in entries}
        for key in self.entries.keys() - listed.keys():
            self._remove(key, now)
        self.entries.update(listed)
        for key in listed:
            self._missing_until_s.pop(key, None)
        self.revision = revision
        self._kept_changes.clear()
        self._kept_after = revision

    def apply(
        self, changes: Iterable[Change], revision: Revision, now: Seconds
    ) -> None:
        """Apply changes to the copy."""
        for change in changes:
            if change.entry is None:
                self._remove(change.key, now)
            else:
                self.entries[change.key] = change.entry
                self._missing_until_s.pop(change.key, None)
            self._kept_changes.append(change)
        while len(self._kept_changes) > MAX_KEPT_CHANGES:
            self._kept_after = self._kept_changes.popleft().revision
        self.revision = max(self.revision, revision)

    def changes_since(self, revision: Revision) -> tuple[Change, ...] | None:
        """Return the changes after a revision, None if some are no longer kept."""
        if revision < self._kept_after:
            return None
        return tuple(c for c in self._kept_changes if c.revision > revision)

    def remove_expired(self, now: Seconds) -> bool:
        """Remove keys whose grace time is over; return whether there were any."""
        expired = [key for key, end_s in self._missing_until_s.items() if end_s <= now]
        for key in expired:
            del self._missing_until_s[key]
            self.entries.pop(key, None)
        return bool(expired)

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since the copy was last certainly current, in seconds."""
        return None if self.confirmed_at_s is None else now - self.confirmed_at_s

    @property
    def is_failing(self) -> bool:
        """Whether the last call got no answer."""
        return self._failing_since_s is not None

    @property
    def keeps_missing_keys(self) -> bool:
        """Whether any missing key is kept for its grace time."""
        return bool(self._missing_until_s)

    def _remove(self, key: str, now: Seconds) -> None:
        """Remove a key, or keep it for the grace time if it was lost in an outage."""
        outage_end_s = self._outage_end_s
        if outage_end_s is not None and now < outage_end_s + self._grace_s:
            if key in self.entries:
                self._missing_until_s.setdefault(key, outage_end_s + self._grace_s)
            return
        self.entries.pop(key, None)
        self._missing_until_s.pop(key, None)


class _SourceSelector:
    """Selects the source to poll: the preferred one, or the next after failures."""

    def __init__(self) -> None:
        self._failures = 0
        self._last_failure_s: Seconds = 0.0

    def select(self, sources: Sequence[Source], now: Seconds) -> tuple[Source, bool]:
        """Return the source to poll, and whether it is a retry of one that failed."""
        is_retry = False
        if self._failures and now - self._last_failure_s >= PREFERRED_RETRY_S:
            self._failures, is_retry = 0, len(sources) > 1
        return sources[self._failures % len(sources)], is_retry

    def record_failure(self, now: Seconds) -> None:
        """Record that the selected source failed; the next one follows."""
        self._failures += 1
        self._last_failure_s = now

    def all_failed(self, sources: Sequence[Source]) -> bool:
        """Return whether all sources have failed in turn."""
        return self._failures % len(sources) == 0


class PrefixFollower:
    """Keeps a copy of all keys under a prefix up to date by long polling.

    Parameters
    ----------
    sources : Callable
        Returns the sources to read from, the preferred one first; never empty.
    prefix : str
        Prefix of the keys.
    clock : Callable
        Returns a time in seconds that advances while the host is suspended.
    rng : random.Random
        Jitters the pauses after failures.
    on_change : Callable
        Called with all entries by key after each change.
    poll_wait_s : float
        Longest time that a source may hold one poll, in seconds.
    settle_s : float
        Pause after a change, in seconds, so that a burst of changes takes few calls.
    grace_s : float
        Time after an outage for which missing keys are kept, in seconds.

    Attributes
    ----------
    has_applied : bool
        Whether ``on_change`` has taken over the copy at least once.
    """

    def __init__(
        self,
        sources: Callable[[], Sequence[Source]],
        prefix: str,
        *,
        clock: Clock,
        rng: random.Random,
        on_change: Callable[[Mapping[str, Entry]], None],
        poll_wait_s: Seconds,
        settle_s: Seconds = 0.0,
        grace_s: Seconds = 0.0,
    ):
        self.copy = PrefixCopy(grace_s)
        self.prefix = prefix
        self._sources = sources
        self._clock = clock
        self._rng = rng
        self._on_change = on_change
        self.poll_wait_s = poll_wait_s
        self.has_applied = False
        self._settle_s = settle_s
        self._reachable: bool | None = None
        self._selector = _SourceSelector()
        self._failing_sources: set[str] = set()
        self._confirmed = asyncio.Event()

    def age_s(self, now: Seconds) -> Seconds | None:
        """Return the time since the copy was last certainly current, in seconds."""
        return self.copy.age_s(now)

    @property
    def max_served_age_s(self) -> Seconds:
        """Age up to which the copy is served to peers, in seconds."""
        return self.poll_wait_s + SERVED_AGE_MARGIN_S

    async def wait_for_confirmation(self, timeout_s: Seconds) -> None:
        """Wait until a source confirms the copy, for ``timeout_s`` seconds at most."""
        await wait_set(self._confirmed, timeout_s)

    async def run(self) -> None:
        """Keep the copy up to date, until cancelled."""
        pause_s = FIRST_RETRY_PAUSE_S
        listed = False
        while True:
            sources = self._sources()
            source, is_retry = self._selector.select(sources, self._clock())
            try:
                if not listed:
                    await self._load_listing(source)
                    listed = True
                changed = await self._poll(source, is_retry)
            except HistoryLost as exc:
                _log.info(
                    "history lost, listing again",
                    extra={"prefix": self.prefix, "reason": str(exc)},
                )
                listed = False
            except KeyValueError as exc:
                self._record_failure(source, str(exc))
                self._remove_expired()
                if self._selector.all_failed(sources):
                    self._set_reachable(False, str(exc))
                    await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))
                    pause_s = min(MAX_RETRY_PAUSE_S, pause_s * 2)
            else:
                self._set_reachable(True, f"answered by {source.name}")
                self._failing_sources.discard(source.name)
                pause_s = FIRST_RETRY_PAUSE_S
                if changed:
                    await asyncio.sleep(self._settle_s)

    async def _load_listing(self, source: Source) -> None:
        started_s = self._clock()
        listing = await source.list_prefix(self.prefix)
        now = self._clock()
        self.copy.record_answer(started_s - listing.age_s, now)
        self.copy.replace_all(listing.entries, listing.revision, now)
        self._notify()
        self._signal_confirmation()

    async def _poll(self, source: Source, is_retry: bool) -> bool:
        """Poll a source for changes once; return whether there were any."""
        started_s = self._clock()
        wait_s = min(self.poll_wait_s, source.longest_wait_s)
        if is_retry or self.copy.keeps_missing_keys or self.copy.is_failing:
            wait_s = min(wait_s, MIN_POLL_WAIT_S)
        remaining_s = self.max_served_age_s - (self.age_s(started_s) or 0.0)
        wait_s = min(wait_s, max(MIN_POLL_WAIT_S, remaining_s - NO_ANSWER_MARGIN_S))
        poll = await source.poll(self.prefix, self.copy.revision, wait_s)
        now = self._clock()
        held_s = poll.held_s
        if held_s is None:
            # A source answers without changes only after the full wait, so the copy was
            # current at its end.  Otherwise only the start of the call is certain.
            waited = not poll.changes and now - started_s >= wait_s
            held_s = wait_s if waited else 0.0
        self.copy.record_answer(min(now, started_s + held_s) - poll.age_s, now)
        self.copy.apply(poll.changes, poll.revision, now)
        removed = self.copy.remove_expired(now)
        if poll.changes or removed:
            self._notify()
        self._signal_confirmation()
        return bool(poll.changes)

    def _remove_expired(self) -> None:
        if self.copy.remove_expired(self._clock()):
            self._notify()

    def _notify(self) -> None:
        self._on_change(self.copy.entries)
        self.has_applied = True

    def _signal_confirmation(self) -> None:
        event, self._confirmed = self._confirmed, asyncio.Event()
        event.set()

    def _record_failure(self, source: Source, reason: str) -> None:
        now = self._clock()
        self.copy.record_failure(now)
        self._selector.record_failure(now)
        if source.name in self._failing_sources:
            return
        self._failing_sources.add(source.name)
        _log.warning(
            "source failed",
            extra={"prefix": self.prefix, "source": source.name, "reason": reason},
        )

    def _set_reachable(self, reachable: bool, reason: str = "") -> None:
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
