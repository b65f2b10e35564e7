"""Reports of usage, by the router that holds the duty.

The holder asks all routers for their counts, stores the counts of a window as settled,
and only then reports them.  A later holder reports what is settled exactly as it is, so
no window is reported with two different counts.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
from collections.abc import Awaitable, Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field

import msgspec

from shallotpoint.coordination.kv import Expect, KeyValue, KeyValueError, Put
from shallotpoint.coordination.transport import TransportError
from shallotpoint.decoding import DECODE_ERRORS
from shallotpoint.duties import CallOutcome, DutyCalls, DutyHolder, HeldDuty
from shallotpoint.duties.calls import CALLS_SHARE, LONGEST_CALL_S
from shallotpoint.duties.usage import (
    KEPT_S,
    BeginLog,
    RouterCounts,
    SettledWindow,
    UsageCollector,
    UsageQuery,
    UsageRecord,
    UsageReply,
    WindowAges,
    extend_record,
    may_settle,
    missed_windows,
    pending_windows,
    unsettled_windows,
    window_end_s,
)
from shallotpoint.metrics import Metrics
from shallotpoint.settings import DutySettings
from shallotpoint.types import Clock, Revision, Seconds

COLLECT_INTERVAL_S = 1.0
SEND_INTERVAL_S = 0.1
QUERY_TIMEOUT_S = 0.8  # a round with a router that does not reply takes this long
RETRY_S = 0.5  # two more calls before a window is due that was settled last
LATE_RETRY_S = 5.0
LINGER_S = 10.0  # a stopping router is not listed, but still begins requests
# The newest settled windows are repeated in queries; older ones are known by then.
ANNOUNCED_WINDOWS = 3
MAX_REMEMBERED_WINDOWS = 16
MAX_LOGGED_NAMES = 10

_log = logging.getLogger("shallotpoint.router")
_query_decoder = msgspec.msgpack.Decoder(UsageQuery)
_reply_decoder = msgspec.msgpack.Decoder(UsageReply)
_record_decoder = msgspec.msgpack.Decoder(UsageRecord)
_encode = msgspec.msgpack.encode

Ask = Callable[[str, str, bytes, Seconds], Awaitable[bytes | None]]


@dataclass(slots=True)
class _Tenure:
    """What this router has done since it acquired the duty.

    Attributes
    ----------
    record : UsageRecord or None
        The record as last known to be stored; None until it is read.
    revision : int
        Revision of the stored record.
    is_current : bool
        Whether no write of unknown outcome followed.
    accepted : set of int
        Windows that the platform has accepted.
    next_call_s : dict
        When to repeat a call, by window.
    """

    fence: Revision
    started_s: Seconds
    collector: UsageCollector = field(default_factory=UsageCollector)
    record: UsageRecord | None = None
    revision: Revision = 0
    is_current: bool = False
    accepted: set[int] = field(default_factory=set)
    next_call_s: dict[int, Seconds] = field(default_factory=dict)


class UsageController:
    """Counts this router's requests; while it holds the duty, reports those of all.

    Parameters
    ----------
    record_key : str
        Key of the settled windows, which no router follows.
    incarnation : int
        Differs at each start of the router.
    routers : Callable
        Returns the address of each listed router by its name.
    ask : Callable
        Sends a query to a router, given its name, address, the query and a timeout in
        seconds; returns None if it does not reply.
    organisations : Callable
        Returns the names of the configured organisations.
    clock : Callable
        Time in seconds that advances while the host is suspended.
    wall_clock : Callable
        Time in seconds since 1970, which may be wrong.
    """

    def __init__(
        self,
        holder: DutyHolder,
        kv: KeyValue,
        calls: DutyCalls,
        settings: DutySettings,
        *,
        record_key: str,
        router: str,
        incarnation: int,
        routers: Callable[[], Mapping[str, str]],
        ask: Ask,
        organisations: Callable[[], Collection[str]],
        metrics: Metrics,
        clock: Clock,
        wall_clock: Clock,
    ):
        self.settings = settings
        self._holder = holder
        self._kv = kv
        self._calls = calls
        self._record_key = record_key
        self._router = router
        self._incarnation = incarnation
        self._routers = routers
        self._ask = ask
        self._organisations = organisations
        self._metrics = metrics
        self._clock = clock
        self._wall_clock = wall_clock
        self._begun = BeginLog(started_s=clock(), kept_s=_kept_s(settings))
        self._tenure: _Tenure | None = None
        self._next_call_s: Seconds = 0.0
        self._last_listed: dict[str, tuple[str, Seconds]] = {}
        self._silent: set[str] = set()
        # Told by the last holder.
        self._remembered_counts: tuple[RouterCounts, ...] = ()
        self._remembered_windows: dict[int, SettledWindow] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether there are windows to report."""
        return self.settings.window_s > 0

    def take_settings(self, settings: DutySettings) -> None:
        """Put changed settings in force; windows that are settled stay as they are."""
        if settings == self.settings:
            return
        if not settings.window_s and self.is_enabled:
            _log.error(
                "usage window of 0 s ignored, the last length stays",
                extra={"window_s": self.settings.window_s},
            )
            settings = dataclasses.replace(settings, window_s=self.settings.window_s)
        if settings.window_s != self.settings.window_s:
            _log.warning(
                "usage window length changed",
                extra={
                    "window_s": settings.window_s,
                    "last_window_s": self.settings.window_s,
                },
            )
        self.settings = settings
        self._begun.kept_s = _kept_s(settings)

    def record_begin(self, organisation: str) -> None:
        """Record that an upstream began a request of an organisation."""
        self._begun.record(organisation, self._clock())

    def answer(self, body: bytes) -> bytes:
        """Return the encoded reply to a query of the holder.

        Raises
        ------
        TransportError
            The query could not be decoded.
        """
        try:
            query = _query_decoder.decode(body)
        except DECODE_ERRORS as exc:
            raise TransportError(f"malformed usage query: {exc}") from exc
        self._remembered_counts = query.known
        self._remember(query.settled)
        return _encode(self._reply_to(query))

    async def run(self) -> None:
        """Collect, settle and report while the duty is held, until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(_repeat(self.collect, COLLECT_INTERVAL_S))
            group.create_task(_repeat(self.send, SEND_INTERVAL_S))

    # Counting and settling

    async def collect(self) -> None:
        """Ask all routers for their counts and settle the windows that are final."""
        tenure = self._current_tenure()
        if tenure is None or not self.is_enabled:
            return
        if not tenure.is_current:
            await self._read_record(tenure)
        if tenure.record is None:
            return
        if self._true_s(tenure) is None:
            await self._run_round(tenure, range(0), self._wall_clock())
        true_s = self._true_s(tenure)
        if true_s is None:
            _log.warning("usage waits for the clocks of other routers")
            return
        unsettled = self._unsettled(tenure, true_s)
        await self._run_round(tenure, unsettled, true_s)
        true_s = self._true_s(tenure)
        if true_s is None or self._current_tenure() is not tenure:
            return
        if tenure.is_current:
            await self._settle(tenure, unsettled, true_s)

    def _current_tenure(self) -> _Tenure | None:
        """Return the state of this router as the holder, None if it is not."""
        held = self._holder.held(self._clock())
        if held is None:
            return None
        if self._tenure is None or self._tenure.fence != held.fence:
            self._tenure = _Tenure(held.fence, self._clock())
            for counts in self._remembered_counts:
                self._tenure.collector.merge(counts)
        return self._tenure

    async def _read_record(self, tenure: _Tenure) -> None:
        try:
            entry = await self._kv.get(self._record_key)
        except KeyValueError as exc:
            _log.warning("usage record not read", extra={"reason": str(exc)})
            return
        record = UsageRecord()
        if entry is not None:
            try:
                record = _record_decoder.decode(entry.value)
            except DECODE_ERRORS as exc:
                # Its windows may have been reported with counts that are not known now.
                # The own clock may be wrong by seconds.
                _log.error(
                    "usage record unreadable, reports begin anew",
                    extra={"reason": str(exc)},
                )
                record = UsageRecord(self._wall_clock() + self.settings.usage_late_s)
        lost = [
            w
            for w in self._remembered_windows.values()
            if w.end_s > record.settled_until_s
        ]
        if lost:
            _log.warning(
                "settled usage missing from the store",
                extra={"windows": [w.window for w in lost]},
            )
        tenure.record, _ = extend_record(record, lost, ())
        tenure.revision = entry.revision if entry is not None else 0
        tenure.is_current = True
        pending = pending_windows(tenure.record, tenure.accepted, due_after_s=0.0)
        _log.info(
            "usage record read",
            extra={
                "fence": tenure.fence,
                "settled_until_s": tenure.record.settled_until_s,
                "pending": [w.window for w in pending][:MAX_LOGGED_NAMES],
            },
        )

    def _true_s(self, tenure: _Tenure) -> Seconds | None:
        """Return true time now; None before enough routers told their wall clocks.

        If they do not reply for the time in which a window is due, the clocks that are
        known have to do.
        """
        now, listed = self._clock(), {*self._routers(), self._router}
        waits = now < tenure.started_s + self.settings.usage_late_s
        quorum = (len(listed) + 1) // 2 if waits else 1
        offset_s = tenure.collector.offset_s(listed, quorum=quorum)
        return None if offset_s is None else now + offset_s

    def _unsettled(self, tenure: _Tenure, true_s: Seconds) -> range:
        assert tenure.record is not None
        return unsettled_windows(
            tenure.record,
            window_s=self.settings.window_s,
            true_s=true_s,
            kept_s=self._begun.kept_s,
            recorded_s=tenure.collector.recorded_s(self._clock()),
        )

    async def _run_round(
        self, tenure: _Tenure, windows: range, true_s: Seconds
    ) -> None:
        """Ask all routers for the counts of windows."""
        now, window_s = self._clock(), self.settings.window_s
        ages = tuple(
            WindowAges(w, true_s - w * window_s, true_s - window_end_s(w, window_s))
            for w in windows
        )
        closed = [a.window for a in ages if a.end_age_s > 0]
        own = self._reply_to(UsageQuery(ages))
        tenure.collector.add_reply(
            self._router, own, closed=closed, sent_s=now, received_s=now
        )
        members = self._members(now)
        settled = tenure.record.windows if tenure.record is not None else ()
        query = UsageQuery(
            ages,
            tenure.collector.known(windows, members.keys() - self._silent),
            settled[-ANNOUNCED_WINDOWS:],
        )
        body = _encode(query)
        await asyncio.gather(
            *(
                self._query(tenure, name, address, body, closed)
                for name, address in members.items()
            )
        )

    async def _query(
        self,
        tenure: _Tenure,
        name: str,
        address: str,
        body: bytes,
        closed: Sequence[int],
    ) -> None:
        sent_s = self._clock()
        raw = await self._ask(name, address, body, QUERY_TIMEOUT_S)
        self._silent.add(name)
        if raw is None:
            return
        try:
            reply = _reply_decoder.decode(raw)
        except DECODE_ERRORS as exc:
            _log.warning(
                "unreadable usage of a peer", extra={"peer": name, "reason": str(exc)}
            )
            return
        self._silent.discard(name)
        tenure.collector.add_reply(
            name, reply, closed=closed, sent_s=sent_s, received_s=self._clock()
        )

    def _members(self, now: Seconds) -> dict[str, str]:
        """Return the addresses of the other routers, also of those that stop now."""
        for name, address in self._routers().items():
            self._last_listed[name] = (address, now)
        self._last_listed = {
            name: (address, at_s)
            for name, (address, at_s) in self._last_listed.items()
            if now - at_s <= LINGER_S
        }
        self._silent &= self._last_listed.keys()
        return {
            name: address
            for name, (address, _) in self._last_listed.items()
            if name != self._router
        }

    def _reply_to(self, query: UsageQuery) -> UsageReply:
        now = self._clock()
        return UsageReply(
            self._incarnation,
            self._wall_clock(),
            self._begun.recorded_s(now),
            {ages.window: self._begun.count(ages, now) for ages in query.windows},
        )

    async def _settle(self, tenure: _Tenure, unsettled: range, true_s: Seconds) -> None:
        """Store the counts of the windows that are final."""
        assert tenure.record is not None
        window_s = self.settings.window_s
        listed = {*self._routers(), self._router}
        settled = []
        for window in unsettled:
            end_s = window_end_s(window, window_s)
            replied = tenure.collector.replied(window)
            if not may_settle(
                end_s=end_s,
                true_s=true_s,
                late_s=self.settings.usage_late_s,
                listed=listed,
                replied=replied,
            ):
                break
            counts = tenure.collector.totals(window)
            settled.append(SettledWindow(window, end_s, counts, tenure.fence))
        if not settled:
            return
        record, dropped = extend_record(tenure.record, settled, tenure.accepted)
        missed = missed_windows(tenure.record, unsettled, window_s)
        if not await self._store(tenure, record):
            return
        for w in settled:
            self._log_settled(w, true_s, listed - {*tenure.collector.replied(w.window)})
        self._remember(settled)
        tenure.collector.keep_only(unsettled[len(settled) :])
        self._record_missed([*missed, *(w.window for w in dropped)])

    async def _store(self, tenure: _Tenure, record: UsageRecord) -> bool:
        """Write the record; return whether this router certainly wrote it."""
        lease_key = self._holder.key
        # No longer current until the outcome is known.
        tenure.is_current = False
        try:
            outcome = await self._kv.txn(
                [
                    Expect(lease_key, tenure.fence),
                    Expect(self._record_key, tenure.revision),
                ],
                [Put(self._record_key, _encode(record))],
            )
        except KeyValueError as exc:
            _log.warning(
                "usage not settled",
                extra={"fence": tenure.fence, "reason": str(exc)},
            )
            return False
        if outcome.succeeded:
            tenure.record, tenure.revision = record, outcome.revision
            tenure.is_current = True
            return True
        found = {entry.key: entry.revision for entry in outcome.found}
        holds = found.get(lease_key) == tenure.fence
        reason = "the record was changed" if holds else "the duty is not held any more"
        _log.warning(
            "usage not settled", extra={"fence": tenure.fence, "reason": reason}
        )
        if not holds:
            self._holder.report_refused(tenure.fence, self._clock())
        return False

    def _remember(self, windows: Sequence[SettledWindow]) -> None:
        for window in windows:
            self._remembered_windows[window.window] = window
        for old in sorted(self._remembered_windows)[:-MAX_REMEMBERED_WINDOWS]:
            del self._remembered_windows[old]

    # Reporting

    async def send(self) -> None:
        """Report one window that is settled, if a call is due."""
        now, tenure = self._clock(), self._tenure
        held = self._holder.held(now)
        if held is None or tenure is None or tenure.record is None:
            return
        if tenure.fence != held.fence or not held.allows(LONGEST_CALL_S, now):
            return
        true_s = self._true_s(tenure)
        if now < self._next_call_s:
            return
        if true_s is None:
            true_s = self._wall_clock()  # only orders the calls
        due_after_s = true_s - self.settings.usage_late_s
        for window in pending_windows(
            tenure.record, tenure.accepted, due_after_s=due_after_s
        ):
            if now >= tenure.next_call_s.get(window.window, now):
                self._next_call_s = now + 1 / (CALLS_SHARE * self.settings.calls_per_s)
                await self._report(tenure, held, window, true_s - now)
                return

    async def _report(
        self,
        tenure: _Tenure,
        held: HeldDuty,
        window: SettledWindow,
        offset_s: Seconds,
    ) -> None:
        outcome = await self._calls.report_usage(
            held.fence, window.window, window.counts
        )
        now = self._clock()
        age_s = now + offset_s - window.end_s
        is_late = age_s > self.settings.usage_late_s
        _log.info(
            "usage reported" if outcome is CallOutcome.DONE else "usage not reported",
            extra={
                "window": window.window,
                "fence": held.fence,
                "requests": sum(window.counts.values()),
                "age_s": round(age_s, 3),
                "outcome": outcome.value,
            },
        )
        match outcome:
            case CallOutcome.DONE:
                tenure.accepted.add(window.window)
                tenure.next_call_s.pop(window.window, None)
                self._metrics.usage_windows.inc(
                    {"outcome": "late" if is_late else "reported"}
                )
            case CallOutcome.FENCED:
                self._holder.report_refused(held.fence, now)
            case CallOutcome.THROTTLED:
                self._next_call_s = max(self._next_call_s, now + RETRY_S)
            case _:
                tenure.next_call_s[window.window] = now + (
                    LATE_RETRY_S if is_late else RETRY_S
                )

    def _log_settled(
        self, window: SettledWindow, true_s: Seconds, without: Collection[str]
    ) -> None:
        _log.info(
            "usage window settled",
            extra={
                "window": window.window,
                "fence": window.fence,
                "requests": sum(window.counts.values()),
                "organisations": len(window.counts),
                "age_s": round(true_s - window.end_s, 3),
                "without": sorted(without)[:MAX_LOGGED_NAMES],
            },
        )
        unknown = window.counts.keys() - set(self._organisations())
        if unknown:
            # A configuration may have removed them since; the requests did run.
            _log.warning(
                "usage of organisations that are not configured",
                extra={
                    "window": window.window,
                    "organisations": sorted(unknown)[:MAX_LOGGED_NAMES],
                },
            )

    def _record_missed(self, windows: Sequence[int]) -> None:
        if not windows:
            return
        self._metrics.usage_windows.add({"outcome": "missed"}, len(windows))
        _log.error(
            "usage windows missed",
            extra={
                "first": min(windows),
                "last": max(windows),
                "windows": len(windows),
            },
        )


def _kept_s(settings: DutySettings) -> Seconds:
    """Return how long the times of requests are kept, for a window's late report."""
    return max(KEPT_S, 2 * settings.window_s + settings.usage_late_s)


async def _repeat(step: Callable[[], Awaitable[None]], interval_s: Seconds) -> None:
    while True:
        await step()
        await asyncio.sleep(interval_s)
