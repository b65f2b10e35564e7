"""The ledger of calls: none is executed twice, whatever fails.

Randomised runs compare what the callers were told with the calls that a fake service
executed.  A seed determines every delay, fault, crash of a router and repeated call.
"""

import asyncio
import random

from hypothesis import given, settings, strategies as st

from shallotpoint.coordination.kv import OutcomeUnknown, Unavailable
from shallotpoint.coordination.ledger import (
    DAY_S,
    Answer,
    CallState,
    KnownCall,
    LedgerUnavailable,
    OnceLedger,
    RecordedIntent,
)
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.testing.cases import TestCase

SCHEDULES = 1_000


class FaultyKeyValue(MemoryKeyValue):
    """Loses answers, fails before or after a write took effect, and reorders calls."""

    async def txn(self, expects, changes):
        for _ in range(self.rng.randrange(4)):
            await asyncio.sleep(0)
        if self.rng.random() < 0.15:
            raise Unavailable("down")
        if self.rng.random() < 0.10:
            # The write is still in flight when its sender gives up.
            task = asyncio.ensure_future(self.apply_late(expects, changes))
            self.late_writes.append(task)
            raise OutcomeUnknown("timeout")
        outcome = self.store.txn(expects, changes)
        if self.rng.random() < 0.25:
            raise OutcomeUnknown("lost")
        return outcome

    late_writes: list

    async def apply_late(self, expects, changes):
        for _ in range(self.rng.randrange(12)):
            await asyncio.sleep(0)
        self.store.txn(expects, changes)

    async def get(self, key):
        await asyncio.sleep(0)
        if self.rng.random() < 0.2:
            raise Unavailable("down")
        return self.store.get(key)


class RouterCrash(Exception):
    pass


class SimulatedRun:
    """Repeats calls through routers that may crash between any two steps."""

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.kv = FaultyKeyValue(clock=lambda: 0.0, rng=self.rng)
        self.kv.late_writes = []
        self.executions = []
        self.caller_results = []

    def maybe_crash(self):
        if self.rng.random() < 0.08:
            raise RouterCrash

    async def execute_call(self, key, attempt):
        """Execute a call and answer it or lose the answer, or refuse to execute it."""
        kind = self.rng.choice(["ok", "ok", "ok", "refused", "unreachable", "cut"])
        if kind in ("refused", "unreachable"):
            return kind, None
        self.executions.append((key, attempt))
        await asyncio.sleep(0)
        if kind == "cut":
            return "cut", None
        return "ok", f"answer-{key}-{len(self.executions)}".encode()

    async def make_call(self, router, key, attempt, now):
        """Make one attempt through one router and record the result for the caller."""
        try:
            result = await self.handle_call(router, key, attempt, now)
        except RouterCrash:
            result = ("cut off", None)
        self.caller_results.append((key, attempt, *result))

    async def handle_call(self, router, key, attempt, now):
        self.maybe_crash()
        try:
            outcome = await router.record_intent(key, "c", attempt, now=now)
        except LedgerUnavailable:
            return "not run", None
        self.maybe_crash()
        if isinstance(outcome, KnownCall):
            record = outcome.record
            if record.state is CallState.DONE:
                return "answered", record.answer.body
            return ("not run" if record.state is CallState.NOT_RUN else "unknown"), None
        kind, body = await self.execute_call(key, attempt)
        self.maybe_crash()
        if kind == "ok":
            await router.record_answer(outcome, Answer(200, "text/plain", body))
            return "answered", body
        if kind == "cut":
            return "unknown", None
        await router.record_not_run(outcome)
        return "not run", None

    async def run(self):
        keys = [f"k{i}" for i in range(3)]
        calls = []
        for number in range(9):
            router = OnceLedger(self.kv, "/once/")
            key = self.rng.choice(keys)
            # The routers' clocks disagree on the day around midnight.
            now = DAY_S + self.rng.choice([-5.0, 0.0, 5.0])
            calls.append(self.make_call(router, key, f"a{number}", now))
        await asyncio.gather(*calls)
        await asyncio.gather(*self.kv.late_writes, return_exceptions=True)

    def check(self):
        ran = [key for key, _ in self.executions]
        sent = {attempt for _, attempt in self.executions}
        assert len(ran) == len(set(ran)), f"ran twice: {sorted(ran)}"
        answers = {}
        for key, attempt, result, body in self.caller_results:
            if result == "not run":
                assert attempt not in sent, f"{attempt} reported as not run, but ran"
            if result == "answered":
                assert key in ran, f"{key} was answered but did not run"
                assert answers.setdefault(key, body) == body, f"{key}: two answers"


class SimulatedRunTests(TestCase):
    def test_no_call_is_executed_twice_in_a_thousand_schedules(self):
        counts = {}
        for seed in range(SCHEDULES):
            simulation = SimulatedRun(seed)
            self.run_async(simulation.run())
            simulation.check()
            for _, _, result, _ in simulation.caller_results:
                counts[result] = counts.get(result, 0) + 1
        # The schedules must produce every possible outcome.
        self.assertEqual({"answered", "not run", "unknown", "cut off"}, set(counts))


class LedgerTests(TestCase):
    def new_ledger(self, **faults):
        kv = MemoryKeyValue(clock=lambda: 0.0, rng=random.Random(1))
        for name, value in faults.items():
            setattr(kv.faults, name, value)
        return OnceLedger(kv, "/once/"), kv

    def test_intent_is_recorded_or_refused_under_each_fault(self):
        cases = [
            ("no fault", {}, "begun"),
            ("down", {"down": True}, "refused"),
            ("answer lost", {"lose_answers": 1.0}, "begun"),
        ]
        for name, faults, wanted in cases:

            async def main(faults=faults):
                ledger, _ = self.new_ledger(**faults)
                try:
                    outcome = await ledger.record_intent("k", "c", "a", now=0.0)
                except LedgerUnavailable:
                    return "refused"
                return "begun" if isinstance(outcome, RecordedIntent) else "known"

            self.assertEqual(wanted, self.run_async(main()), name)

    def test_call_that_was_not_run_is_sent_again_only_once(self):
        async def main():
            ledger, _ = self.new_ledger()
            first = await ledger.record_intent("k", "c", "a1", now=0.0)
            await ledger.record_not_run(first)
            found = await asyncio.gather(
                *(ledger.record_intent("k", "c", f"b{i}", now=0.0) for i in range(5))
            )
            return sum(isinstance(f, RecordedIntent) for f in found)

        self.assertEqual(1, self.run_async(main()))

    def test_concurrent_intents_share_writes(self):
        async def main(count):
            ledger, kv = self.new_ledger()
            await asyncio.gather(
                *(
                    ledger.record_intent(f"k{i}", "c", f"a{i}", now=0.0)
                    for i in range(count)
                )
            )
            return kv.counts.writes

        self.assertEqual([1, 1, 3], [self.run_async(main(n)) for n in (1, 10, 100)])

    def test_only_entries_past_retention_are_deleted(self):
        async def main():
            ledger, _ = self.new_ledger()
            for day in (0, 4, 5):
                await ledger.record_intent(f"k{day}", "c", "a", now=day * DAY_S)
            await ledger.delete_expired(now=5 * DAY_S + 1.0)
            found = [await ledger.look_up(f"k{d}", now=d * DAY_S) for d in (0, 4, 5)]
            return [record is not None for record in found]

        self.assertEqual([False, True, True], self.run_async(main()))

    @settings(max_examples=50)
    @given(st.integers(0, 10**6))
    def test_lost_answers_never_let_two_attempts_send(self, seed):
        async def main():
            kv = FaultyKeyValue(clock=lambda: 0.0, rng=random.Random(seed))
            kv.late_writes = []
            ledgers = [OnceLedger(kv, "/once/") for _ in range(6)]
            found = await asyncio.gather(
                *(
                    ledger.record_intent("k", "c", f"a{i}", now=0.0)
                    for i, ledger in enumerate(ledgers)
                ),
                return_exceptions=True,
            )
            errors = [f for f in found if isinstance(f, Exception)]
            assert all(isinstance(e, LedgerUnavailable) for e in errors), errors
            return sum(isinstance(f, RecordedIntent) for f in found)

        assert self.run_async(main()) <= 1
