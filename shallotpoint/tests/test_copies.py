"""Copies that routers serve to one another: their age, and the choice of sources."""

import asyncio
import random
import time

from testtools.matchers import GreaterThan, LessThan

from shallotpoint.coordination.copies import (
    MAX_POLL_WAIT_S,
    ROUND_TRIP_S,
    CopyServer,
    PeerSource,
)
from shallotpoint.coordination.follow import (
    MAX_KEPT_CHANGES,
    MIN_OUTAGE_S,
    MIN_POLL_WAIT_S,
    SERVED_AGE_MARGIN_S,
    PrefixFollower,
)
from shallotpoint.coordination.kv import Delete, HistoryLost, Put, Unavailable
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.coordination.transport import TransportError
from shallotpoint.testing.cases import TestCase, eventually


class Clock:
    """A monotonic clock that can be moved ahead to make copies older."""

    ahead_s = 0.0

    def __call__(self):
        return time.monotonic() + self.ahead_s


class Group:
    """A service, a reader that polls it, and a follower that polls the reader first."""

    def __init__(self):
        self.clock = Clock()
        self.kv = MemoryKeyValue(clock=time.monotonic, rng=random.Random(1))
        self.own_kv = MemoryKeyValue(
            clock=time.monotonic, rng=random.Random(2), store=self.kv.store
        )
        self.silent = False
        self.reader = self.new_follower([self.kv], poll_wait_s=0.3)
        self.server = CopyServer([self.reader], clock=self.clock)
        self.source = PeerSource("reader", self.send)
        self.follower = self.new_follower(
            [self.source, self.own_kv], poll_wait_s=MAX_POLL_WAIT_S
        )

    def new_follower(self, sources, *, poll_wait_s):
        return PrefixFollower(
            lambda: sources,
            "p/",
            clock=self.clock,
            rng=random.Random(3),
            on_change=lambda entries: None,
            poll_wait_s=poll_wait_s,
            grace_s=1.0,
        )

    async def send(self, body, timeout_s):
        if self.silent:
            await asyncio.sleep(timeout_s)
            raise TransportError("silent")
        return await self.server.handle_request(body)

    def values(self):
        return {key: e.value for key, e in self.follower.copy.entries.items()}


class CopiesCase(TestCase):
    def run_scenario(self, scenario):
        async def main():
            group = Group()
            await group.kv.txn([], [Put("p/a", b"1")])
            tasks = [asyncio.create_task(group.reader.run())]
            try:
                await eventually(lambda: group.reader.copy.entries)
                tasks.append(asyncio.create_task(group.follower.run()))
                await eventually(lambda: group.values() == {"p/a": b"1"})
                return await scenario(group)
            finally:
                for task in tasks:
                    task.cancel()

        return self.run_async(main())


class ServingTests(CopiesCase):
    def test_changes_arrive_at_once_without_calls_to_the_service(self):
        async def scenario(group):
            started_s = time.monotonic()
            await group.kv.txn([], [Put("p/b", b"2")])
            await eventually(lambda: "p/b" in group.values())
            await group.kv.txn([], [Delete("p/a")])
            await eventually(lambda: group.values() == {"p/b": b"2"})
            return time.monotonic() - started_s, group.own_kv.counts.watches

        took_s, calls = self.run_scenario(scenario)
        self.assertThat(took_s, LessThan(0.5))
        self.assertEqual(0, calls)

    def test_confirmations_are_passed_on_without_delay(self):
        async def scenario(group):
            max_lag_s = 0.0
            for _ in range(30):
                await asyncio.sleep(0.05)
                lag_s = group.follower.age_s(group.clock())
                lag_s -= group.reader.age_s(group.clock())
                max_lag_s = max(max_lag_s, lag_s)
            return max_lag_s

        # Twenty times what a message takes within one process; a follower that did not
        # get each confirmation at once would lag by up to 1.2 s.
        self.assertThat(self.run_scenario(scenario), LessThan(0.15))

    def test_age_counts_from_the_answer_of_the_service(self):
        async def scenario(group):
            group.kv.faults.down = group.own_kv.faults.down = True
            await asyncio.sleep(0.6)
            reader_age_s = group.reader.age_s(group.clock())
            follower_age_s = group.follower.age_s(group.clock())
            return reader_age_s, follower_age_s

        reader_age_s, follower_age_s = self.run_scenario(scenario)
        self.assertThat(follower_age_s, GreaterThan(reader_age_s - 0.05))

    def test_copy_that_is_too_old_is_not_served(self):
        async def scenario(group):
            group.kv.faults.down = group.own_kv.faults.down = True
            await asyncio.sleep(0.4)
            group.clock.ahead_s = group.reader.poll_wait_s + SERVED_AGE_MARGIN_S
            try:
                await group.source.poll("p/", group.reader.copy.revision, 0.0)
            except Unavailable as exc:
                return str(exc)

        self.assertIn("out of date", self.run_scenario(scenario))

    def test_prefix_is_listed_again_when_changes_are_no_longer_kept(self):
        async def scenario(group):
            first = group.reader.copy.revision
            for number in range(MAX_KEPT_CHANGES + 1):
                group.kv.store.txn([], [Put("p/b", str(number).encode())])
            last = str(MAX_KEPT_CHANGES).encode()
            await eventually(lambda: group.values().get("p/b") == last)
            try:
                await group.source.poll("p/", first, 0.0)
            except HistoryLost as exc:
                return str(exc)

        self.assertIn(
            "reader lacks changes",
            self.run_scenario(scenario) or "no changes were missing",
        )

    def test_unknown_prefix_and_malformed_request_are_refused(self):
        async def scenario(group):
            try:
                await group.source.list_prefix("q/")
            except Unavailable as exc:
                refused = str(exc)
            try:
                await group.server.handle_request(b"\xc1")
            except TransportError as exc:
                return refused, str(exc)

        refused, malformed = self.run_scenario(scenario)
        self.assertIn("out of date", refused)
        self.assertIn("malformed", malformed)


class FallbackTests(CopiesCase):
    def test_silent_reader_is_replaced_by_the_service(self):
        async def scenario(group):
            group.silent = True
            started_s = time.monotonic()
            await group.kv.txn([], [Put("p/b", b"2")])
            # The poll that the reader already holds may still return this change.
            await eventually(lambda: "p/b" in group.values())
            await group.kv.txn([], [Put("p/c", b"3")])
            await eventually(lambda: "p/c" in group.values())
            return time.monotonic() - started_s

        self.assertThat(
            self.run_scenario(scenario), LessThan(MAX_POLL_WAIT_S + ROUND_TRIP_S + 0.3)
        )

    def test_reader_that_the_service_refuses_is_replaced(self):
        async def scenario(group):
            group.kv.faults.down = True
            await asyncio.sleep(0.5)
            await group.own_kv.txn([], [Put("p/b", b"2")])
            await eventually(lambda: "p/b" in group.values(), timeout_s=2.0)
            return group.follower.age_s(group.clock())

        self.assertThat(
            self.run_scenario(scenario), LessThan(MAX_POLL_WAIT_S + ROUND_TRIP_S)
        )

    def test_reader_that_the_service_does_not_answer_is_replaced(self):
        async def scenario(group):
            group.kv.faults.delay_s = 30.0
            await asyncio.sleep(group.reader.poll_wait_s)  # lets a poll in flight end
            started_s = time.monotonic()
            await group.own_kv.txn([], [Put("p/b", b"2")])
            await eventually(lambda: "p/b" in group.values(), timeout_s=4.0)
            return time.monotonic() - started_s, group.reader.poll_wait_s

        took_s, poll_wait_s = self.run_scenario(scenario)
        self.assertThat(took_s, LessThan(poll_wait_s + SERVED_AGE_MARGIN_S + 0.2))

    def test_silent_reader_is_replaced_before_its_copy_is_too_old(self):
        async def scenario(group):
            group.kv.faults.delay_s = 30.0
            await asyncio.sleep(0.5)
            group.silent = True
            await eventually(lambda: group.own_kv.counts.watches, timeout_s=4.0)
            return group.follower.age_s(group.clock()), group.follower.poll_wait_s

        age_s, poll_wait_s = self.run_scenario(scenario)
        self.assertThat(
            age_s, LessThan(poll_wait_s + MIN_POLL_WAIT_S + ROUND_TRIP_S + 0.1)
        )

    def test_key_that_expires_in_an_outage_is_kept_for_the_grace_time(self):
        async def scenario(group):
            group.kv.faults.down = group.own_kv.faults.down = True
            await asyncio.sleep(MIN_OUTAGE_S + 1.0)
            group.kv.store.txn([], [Delete("p/a")])
            group.kv.faults.down = group.own_kv.faults.down = False
            await eventually(lambda: group.follower.age_s(group.clock()) < 1.0)
            kept = "p/a" in group.values()
            await eventually(lambda: "p/a" not in group.values(), timeout_s=4.0)
            return kept

        self.assertTrue(self.run_scenario(scenario))
