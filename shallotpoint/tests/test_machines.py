"""Stateful property tests of compare-and-swap cells and leases, with faults."""

import asyncio
import random

from hypothesis import Phase, settings, strategies as st
from hypothesis.stateful import (
    Bundle,
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from shallotpoint.coordination.cas import (
    CasCell,
    ChangeOutcomeUnknown,
    Contention,
    decode_versioned,
)
from shallotpoint.coordination.kv import KeyValueError, Unavailable
from shallotpoint.coordination.lease import LeaseHolder, LeaseLost
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.testing.cases import FakeClock

MEMBERS = 3
members = st.integers(0, MEMBERS - 1)
rarely_true = st.sampled_from([False, False, False, True])


class CasMachine(RuleBasedStateMachine):
    """Writers append marks to a value; none is lost or stored twice.

    A mark whose write raised ChangeOutcomeUnknown may or may not be stored.
    """

    read_values = Bundle("read_values")

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed):
        self.kv = MemoryKeyValue(clock=FakeClock(), rng=random.Random(seed))
        self.cells = [
            CasCell(self.kv, "cell", rng=random.Random(seed * 10 + index))
            for index in range(MEMBERS)
        ]
        self.marks = 0
        self.stored, self.unknown, self.refused = set(), set(), set()
        self.revision = 0

    def new_mark(self):
        self.marks += 1
        return b"%d," % self.marks

    def record_result(self, mark, write):
        try:
            done = asyncio.run(write)
        except ChangeOutcomeUnknown:
            self.unknown.add(mark)
        except (Unavailable, Contention):
            self.refused.add(mark)
        else:
            (self.refused if done is None else self.stored).add(mark)

    @rule(down=rarely_true, lost=st.sampled_from([0.0, 0.5, 1.0]))
    def set_faults(self, down, lost):
        self.kv.faults.down = down
        self.kv.faults.lose_answers = lost

    @rule(member=members)
    def append_mark(self, member):
        mark = self.new_mark()
        self.record_result(mark, self.cells[member].update(lambda body: body + mark))

    def read_cell(self, member):
        try:
            return asyncio.run(self.cells[member].read())
        except Unavailable:
            return None

    def swap(self, member, base):
        if base is None:
            return
        mark, cell = self.new_mark(), self.cells[member]
        write = cell.swap(base, base.body + mark, cell.new_change_id())
        self.record_result(mark, write)

    @rule(target=read_values, member=members)
    def read_for_a_later_swap(self, member):
        return self.read_cell(member)

    @rule(member=members, base=read_values)
    def swap_from_an_old_read(self, member, base):
        self.swap(member, base)

    @rule(member=members)
    def swap_from_a_fresh_read(self, member):
        self.swap(member, self.read_cell(member))

    @invariant()
    def marks_are_stored_once_and_revisions_grow(self):
        entry = self.kv.store.get("cell")
        held = decode_versioned(entry).body.split(b",")[:-1]
        found = {mark + b"," for mark in held}
        assert len(held) == len(found), "a mark is stored twice"
        assert self.stored <= found, "a stored mark is missing"
        assert not found & self.refused, "a refused mark is stored"
        revision = entry.revision if entry else 0
        assert revision >= self.revision, "the revision decreased"
        self.revision = revision


class LeaseMachine(RuleBasedStateMachine):
    """At most one holder may act, and fencing tokens grow with each new holder."""

    @initialize(seed=st.integers(0, 1_000))
    def start(self, seed):
        self.clock = FakeClock()
        self.kv = MemoryKeyValue(clock=self.clock, rng=random.Random(seed))
        self.holders = [
            LeaseHolder(self.kv, "orders", f"r{index}", clock=self.clock)
            for index in range(MEMBERS)
        ]
        self.fences = {}

    @rule(down=rarely_true, lost=st.sampled_from([0.0, 0.5, 1.0]))
    def set_faults(self, down, lost):
        self.kv.faults.down = down
        self.kv.faults.lose_answers = lost

    @rule(seconds=st.sampled_from([0.5, 3.0, 8.9, 9.1, 10.5]))
    def wait(self, seconds):
        self.clock.advance(seconds)

    def run_call(self, call):
        try:
            asyncio.run(call())
        except KeyValueError:
            return

    @rule(member=members)
    def acquire(self, member):
        self.run_call(self.holders[member].acquire)

    @rule(member=members, method=st.sampled_from(["acquire", "renew", "release"]))
    def change_lease(self, member, method):
        self.run_call(getattr(self.holders[member], method))

    @invariant()
    def at_most_one_holder_acts_and_fences_grow(self):
        acting = {}
        for index, holder in enumerate(self.holders):
            try:
                with holder.while_held(duration_s=0.0) as fence:
                    acting[index] = fence
            except LeaseLost:
                continue
        assert len(acting) <= 1, f"several holders act at the same time: {acting}"
        for index, fence in acting.items():
            if self.fences.get(fence, index) != index:
                raise AssertionError(f"fence {fence} had two holders")
            newest = max(self.fences, default=0)
            assert fence >= newest, f"fence {fence} comes after {newest}"
            self.fences[fence] = index


# Without shrinking, a failure is reported within seconds, if not in its shortest form.
_settings = settings(
    max_examples=200,
    stateful_step_count=40,
    phases=(Phase.explicit, Phase.generate),
)
CasMachineTests = CasMachine.TestCase
CasMachineTests.settings = _settings
LeaseMachineTests = LeaseMachine.TestCase
LeaseMachineTests.settings = _settings
