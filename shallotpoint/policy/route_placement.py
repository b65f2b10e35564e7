"""Which upstream takes a request on a route: engines by their model, others by load.

Answers the load patterns of bursts of long prompts beside short ones.  An engine
reads a long prompt in chunks between the tokens of its streams, so that each of
them pauses.  All routers therefore agree, from the list of engines alone, on a part
of the engines that streams with the tightest pauses use first and long prompts
last.  Where an engine's streams crawl, the least urgent work waits first, as its long
answers would keep the engine full.  A prompt that shares its start with others goes
where that start was read, unless the wait there is longer than reading it again.
"""

from __future__ import annotations

import itertools
from collections.abc import Sequence
from dataclasses import dataclass, field

from shallotpoint.coordination.overlay import rank, rendezvous_score
from shallotpoint.hashing import hash64
from shallotpoint.policy.decay import half_life
from shallotpoint.policy.engine_load import (
    EngineLoad,
    PeerLoad,
)
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.placement import Placement
from shallotpoint.policy.prompts import Prompt
from shallotpoint.policy.state import PoolState
from shallotpoint.policy.ticket import Course
from shallotpoint.results import NOT_REACHED, Result
from shallotpoint.types import Seconds

CHOICES = 3  # engines compared for one request
HOMES = 2  # of them, where a shared start is kept and where it may spread to
QUIET_HOMES = 1  # and of the quiet part, for prompts short enough to go unnoticed
HOMES_KEPT = 8_192  # ranked shared starts that are remembered
FAR_S = 0.001  # two ways between data centres of one region
HOME_SHARE = 0.8  # part of a shared start expected at the engine that all agree on
REREAD_WEIGHT = 8.0  # a start read again delays others and drives others from memory
STALL_WEIGHT = 0.25  # a delay of running streams against one of the new request
LEAST_QUIET = 0.28  # part of few engines that tight streams use first: 1 of 5, 3 of 9
LEAST_BASE = 3.0  # of many engines a smaller part, as chance evens out: 11 of 70
LEAST_EACH = 0.12
MOST_QUIET = 0.4  # part of the engines that they use first when very many run
QUIET_FILL = 0.8  # part of their slots that running tight streams may take up
QUIET_FALL_S = 3.0  # the part shrinks by half in this time, but grows at once
TIGHT_RATIO = 1.25  # pauses up to this multiple of the tightest count as tight
READ_UNNOTICED = 0.03  # part of the tightest pause that reading may take at once
TIGHT_SLACK = 1.0  # a tight stream leaves its part if it gains its whole target
OTHER_SLACK = 1.5  # other work is refused before it would come among tight streams
MOST_GAP_S = 0.18  # 64 events, a usual long answer, then take 12 of 15 s
URGENT_GAP_RATIO = 1.5  # the room between is for work that is not the least urgent
NO_TARGET_S = 1.0  # used for work without a target
FIRST_AVOID_S = 0.5  # an upstream that cannot be reached is left alone this long
LONGEST_AVOID_S = 4.0  # a dead one is tried once in this time
FAILURE_GAIN = 0.15  # weight of the newest outcome in the failure share
FAILURE_WEIGHT_S = 2.0  # what a certain failure costs, in seconds of waiting
ANSWER_HALF_S = 2.0  # an answer time counts half as much this much later
FAILURE_HALF_S = 3.0  # so does a failure, which one call in some seconds may risk
_DEAD = NOT_REACHED | {Result.UPSTREAM_TIMEOUT}


@dataclass(slots=True)
class _Record:
    """How an upstream has done lately."""

    failing: float = 0.0
    avoid_s: Seconds = 0.0
    until_s: Seconds = 0.0
    answer_s: Seconds = 0.0
    answered_s: Seconds = 0.0
    failed_s: Seconds = 0.0

    def answered(self, seen_s: Seconds, now: Seconds) -> None:
        """Take in an answer time; it counts for more the older the others are."""
        gain = max(FAILURE_GAIN, 1.0 - half_life(now - self.answered_s, ANSWER_HALF_S))
        self.answer_s += gain * (seen_s - self.answer_s)
        self.answered_s = now

    def cost_s(self, now: Seconds) -> tuple[Seconds, Seconds]:
        """Return the answer time to expect, and what failures are expected to cost.

        Both fall with age, as an upstream that is left alone shows nothing new.
        """
        answer_s = self.answer_s * half_life(now - self.answered_s, ANSWER_HALF_S)
        failing = self.failing * half_life(now - self.failed_s, FAILURE_HALF_S)
        return answer_s, failing * FAILURE_WEIGHT_S


@dataclass(slots=True)
class _Book:
    """Failures of the upstreams of one pool."""

    records: dict[str, _Record] = field(default_factory=dict)

    def __getitem__(self, upstream: str) -> _Record:
        return self.records.setdefault(upstream, _Record())

    def keep(self, upstreams: set[str]) -> None:
        for name in self.records.keys() - upstreams:
            del self.records[name]

    def succeed(self, upstream: str) -> None:
        record = self[upstream]
        record.failing -= FAILURE_GAIN * record.failing
        record.avoid_s = record.until_s = 0.0

    def fail(self, upstream: str, reason: Result, now: Seconds) -> None:
        record = self[upstream]
        record.failing += FAILURE_GAIN * (1.0 - record.failing)
        record.failed_s = now
        if reason not in _DEAD:
            return
        term_s = record.avoid_s * 2 or FIRST_AVOID_S
        record.avoid_s = min(LONGEST_AVOID_S, term_s)
        record.until_s = now + record.avoid_s

    def candidates(
        self, course: Course, free: Sequence[str], now: Seconds
    ) -> Sequence[str]:
        """Leave out what was tried or is avoided, while there is another."""
        untried = [name for name in free if name not in course.tried]
        pool = untried or free
        open_now = [name for name in pool if self[name].until_s <= now]
        return open_now or pool


class _Layout:
    """What follows from the list of engines alone, and so is the same in all routers.

    Attributes
    ----------
    listed : sequence of str
        The engines, in the order in which they were given.
    quiet : frozenset
        The engines that streams with tight pauses use first.
    """

    def __init__(self, names: Sequence[str], quiet: int):
        self.listed = names
        names = sorted(names)
        self.quiet = frozenset(rank(names, "quiet")[:quiet])
        by_part = {
            tight: [name for name in names if (name in self.quiet) == tight]
            for tight in (True, False)
        }
        self._parts = {tight: part or names for tight, part in by_part.items()}
        self._homes: dict[tuple[str, bool], list[str]] = {}

    def homes(self, family: str, tight: bool) -> list[str]:
        """Return the engines that all routers try first for a shared start."""
        if not family:
            return []
        key = (family, tight)
        if key not in self._homes:
            if len(self._homes) >= HOMES_KEPT:
                self._homes.clear()
            homes = rank(self._parts[tight], family)[:HOMES]
            if not tight:
                homes += rank(self.quiet - set(homes), family)[:QUIET_HOMES]
            self._homes[key] = homes
        return self._homes[key]

    def shortlist(
        self, candidates: Sequence[str], homes: Sequence[str], request: str, tight: bool
    ) -> Sequence[str]:
        """Return the engines that are compared for one request.

        Routers that all went by the same old news would meet at the engine that was
        idle then; each request therefore compares a few engines of its own.
        """
        if len(candidates) <= CHOICES:
            return candidates
        part = self._parts[tight]
        start = hash64(request) % len(part)
        allowed = set(candidates)
        found = dict.fromkeys(name for name in homes if name in allowed)
        for name in itertools.chain(part[start:], part[:start]):
            if len(found) >= CHOICES:
                break
            if name in allowed:
                found[name] = None
        return list(found) or candidates


class EnginePlacement(Placement):
    """Places prompts on engines by predicted delay, to it and to others."""

    def __init__(self) -> None:
        self.loads: dict[str, EngineLoad] = {}
        self._book = _Book()
        self._layout = _Layout([], 0)
        self._wanted = _Falling(QUIET_FALL_S)
        self._pause_s: Seconds | None = None

    def choose(
        self, state: PoolState, course: Course, free: Sequence[str], now: Seconds
    ) -> str | None:
        """Return the engine with the least cost, or None."""
        self._forget_gone(state)
        prompt = course.ticket.prompt or Prompt()
        tier = course.ticket.service_class.tier
        layout = self._layout_of(state, now)
        pause_s = self._pause_s = tightest_pause_s(state)
        tight = _is_tight(course.ticket.service_class, pause_s)
        homes = layout.homes(prompt.family, tight)
        candidates = self._book.candidates(course, free, now)
        best: tuple[float, str] | None = None
        for name in layout.shortlist(candidates, homes, course.ticket.id, tight):
            unread = self._unread(name, prompt, homes, now)
            cost_s = self._cost_s(name, prompt, unread, tier, now)
            if (name in layout.quiet) != tight:
                cost_s += self._part_cost_s(course, name, tight, unread, pause_s, now)
            if not state.upstreams[name].near:
                cost_s += FAR_S
            if best is None or (cost_s, name) < best:
                best = (cost_s, name)
        if best is None or (not tight and self._is_busy(best[1], state, tier, now)):
            return None
        return best[1]

    def sent(self, course: Course, upstream: str, now: Seconds) -> None:
        """Note that a request was sent."""
        ticket = course.ticket
        prompt = ticket.prompt or Prompt()
        tight = _is_tight(ticket.service_class, self._pause_s)
        tier = ticket.service_class.tier
        self.load(upstream).send(ticket.id, prompt, tier, now, tight=tight)

    def answered(self, course: Course, upstream: str, now: Seconds) -> None:
        """Note the first token."""
        self.load(upstream).answer(course.ticket.id, now)
        self._book.succeed(upstream)

    def progressed(self, upstream: str, gap_s: Seconds, now: Seconds) -> None:
        """Note the time between two events of a stream."""
        self.load(upstream).see_gap(gap_s, now)

    def failed(
        self, course: Course, upstream: str, reason: Result, now: Seconds
    ) -> None:
        """Note a failed attempt."""
        self._book.fail(upstream, reason, now)
        if reason in NOT_REACHED:
            self.load(upstream).clear()

    def ended(self, course: Course, upstream: str, now: Seconds) -> None:
        """Note that the request is no longer there."""
        self.load(upstream).end(course.ticket.id)

    def load(self, upstream: str) -> EngineLoad:
        """Return the load of one engine."""
        return self.loads.setdefault(upstream, EngineLoad())

    def hear(self, loads: dict[str, PeerLoad]) -> None:
        """Take over what peers have on each of the engines."""
        for name, peers in loads.items():
            self.load(name).peers = peers

    def _is_busy(self, name: str, state: PoolState, tier: int, now: Seconds) -> bool:
        """Return whether one more prompt would keep streams from going on.

        An engine writes no faster than one token a chunk while it reads, and slower
        the more it answers.
        """
        gap_s = self.load(name).current_gap_s(now)
        if gap_s <= MOST_GAP_S or gap_s > MOST_GAP_S * URGENT_GAP_RATIO:
            return gap_s > MOST_GAP_S
        tiers = (
            cls.tier
            for cls in state.classes.values()
            if not _is_tight(cls, self._pause_s)
        )
        return tier >= max(tiers, default=tier)

    def _unread(
        self, name: str, prompt: Prompt, homes: Sequence[str], now: Seconds
    ) -> float:
        """Return the tokens that the engine would likely have to read."""
        unread = self.load(name).unread_tokens(prompt, now)
        if name not in homes[:1]:
            return unread
        return unread - HOME_SHARE * max(0.0, unread - prompt.own_tokens)

    def _cost_s(
        self, name: str, prompt: Prompt, unread: float, tier: int, now: Seconds
    ) -> Seconds:
        load = self.load(name)
        own_s = load.first_token_s(unread, tier, now) * load.current_pace(now)
        rate = load.rate.tokens_per_s
        stalled_s = unread / rate * load.batch * STALL_WEIGHT
        reread_s = max(0.0, unread - prompt.own_tokens) / rate * REREAD_WEIGHT
        failing_s = self._book[name].failing * FAILURE_WEIGHT_S
        return own_s + stalled_s + reread_s + failing_s

    def _part_cost_s(
        self,
        course: Course,
        name: str,
        tight: bool,
        unread: float,
        pause_s: Seconds | None,
        now: Seconds,
    ) -> Seconds:
        """Return the time that a request would rather wait than leave its part."""
        if not tight and pause_s is not None:
            load = self.load(name)
            tier = course.ticket.service_class.tier
            tokens = unread + load.backlog_tokens(tier, now)
            if tokens / load.rate.tokens_per_s <= READ_UNNOTICED * pause_s:
                return 0.0
        target_s = course.ticket.service_class.ttft_s or NO_TARGET_S
        return target_s * (TIGHT_SLACK if tight else OTHER_SLACK)

    def _layout_of(self, state: PoolState, now: Seconds) -> _Layout:
        names = state.taking
        tight = sum(
            len(load.tight) + load.peers.tight
            for load in map(self.loads.get, names)
            if load is not None
        )
        slots = sum(state.upstreams[name].total for name in names)
        wanted = self._wanted.update(tight / QUIET_FILL / max(1, slots), now)
        quiet = quiet_count(len(names), wanted)
        if names != self._layout.listed or quiet != len(self._layout.quiet):
            self._layout = _Layout(names, quiet)
        return self._layout

    def _forget_gone(self, state: PoolState) -> None:
        if len(self.loads) <= len(state.upstreams):
            return
        self._book.keep(set(state.upstreams))
        for name in self.loads.keys() - state.upstreams.keys():
            del self.loads[name]


class _Falling:
    """A figure that follows rises at once and falls by half in a given time."""

    def __init__(self, half_s: Seconds):
        self._half_s = half_s
        self._value = 0.0
        self._at_s: Seconds = 0.0

    def update(self, value: float, now: Seconds) -> float:
        """Take in the present value; return the figure."""
        fallen = self._value * half_life(now - self._at_s, self._half_s)
        self._value, self._at_s = max(value, fallen), now
        return self._value


def quiet_count(engines: int, wanted: float) -> int:
    """Return how many engines tight streams use first.

    Which ones follows from the list alone; how many from sums that all routers share,
    so that they differ by an engine at the most for a moment.

    Parameters
    ----------
    wanted : float
        Part of the engines' slots that tight streams need.

    Examples
    --------
    >>> [quiet_count(56, wanted) for wanted in (0.0, 0.25, 0.9)]
    [10, 14, 22]
    >>> quiet_count(1, 0.5), quiet_count(5, 0.0)
    (0, 1)
    """
    if engines < 2:
        return 0
    least = min(LEAST_QUIET * engines, LEAST_BASE + LEAST_EACH * engines)
    return max(1, round(max(least, min(MOST_QUIET, wanted) * engines)))


def tightest_pause_s(state: PoolState) -> Seconds | None:
    """Return the shortest pause that any class of the pool allows, None for none."""
    known = [cls.tbt_s for cls in state.classes.values() if cls.tbt_s is not None]
    return min(known, default=None)


def _is_tight(cls: ServiceClass, tightest_s: Seconds | None) -> bool:
    """Return whether a class's pauses are among the tightest of the pool."""
    if cls.tbt_s is None or tightest_s is None:
        return False
    return cls.tbt_s <= tightest_s * TIGHT_RATIO


class ServicePlacement(Placement):
    """Places calls on plain services by load, distance and recent failures."""

    def __init__(self) -> None:
        self._book = _Book()

    def choose(
        self, state: PoolState, course: Course, free: Sequence[str], now: Seconds
    ) -> str | None:
        """Return the upstream with the least cost, or None."""
        self._book.keep(set(state.upstreams))

        def order(name: str) -> tuple[Seconds, int]:
            # Equal costs are spread over the upstreams.
            cost_s = self._cost_s(state, name, now)
            return cost_s, rendezvous_score(name, course.ticket.id)

        return min(self._book.candidates(course, free, now), key=order, default=None)

    def answered(self, course: Course, upstream: str, now: Seconds) -> None:
        """Note the time of an answer."""
        record = self._book[upstream]
        leg = course.leg_on(upstream)
        if leg is not None:
            record.answered(now - leg.sent_s, now)
        self._book.succeed(upstream)

    def failed(
        self, course: Course, upstream: str, reason: Result, now: Seconds
    ) -> None:
        """Note a failed attempt."""
        self._book.fail(upstream, reason, now)

    def _cost_s(self, state: PoolState, name: str, now: Seconds) -> Seconds:
        slots = state.upstreams[name]
        answer_s, failures_s = self._book[name].cost_s(now)
        load = (len(slots.running) + slots.elsewhere) / max(1, slots.total)
        cost_s = (answer_s + FAR_S) * (1.0 + load) + failures_s
        return cost_s if slots.near else cost_s + FAR_S
