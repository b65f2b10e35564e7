"""Tracking of requests that run when an upstream crashes, and blocking of repeats."""

import asyncio
import random

from shallotpoint.controllers.crash_archive import MIN_WRITE_PAUSE_S
from shallotpoint.controllers.crash_publisher import CRASHES_TOPIC, read_crashes
from shallotpoint.controllers.crashes import CrashController
from shallotpoint.coordination.gossip import Board
from shallotpoint.coordination.kv import Entry
from shallotpoint.coordination.memory_kv import MemoryKeyValue
from shallotpoint.hashing import hash64
from shallotpoint.platform_api.hosts import Host
from shallotpoint.policy.actions import Expire, Refused
from shallotpoint.policy.admission import MAX_RETRY_AFTER_S
from shallotpoint.policy.crash_reports import CrashReport, Incarnation
from shallotpoint.policy.exposures import (
    CONNECT_WINDOW_S,
    RETENTION_S,
    SUSPICIOUS_SILENCE_S,
    AttemptTracker,
)
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.poison import PoisonTracker
from shallotpoint.policy.route_placement import ServicePlacement
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import EARLY_CRASH_S, Attempt, Ticket
from shallotpoint.policy.tuning import ROUTE_TUNING
from shallotpoint.results import Result
from shallotpoint.testing.cases import FakeClock, TestCase, eventually
from shallotpoint.testing.ports import free_address
from shallotpoint.testing.scripted_upstream import ScriptedUpstream
from shallotpoint.tests.test_route_run import IDEMPOTENT, RouteCase, hang
from shallotpoint.upstreams.bound import PerUpstreamClient
from shallotpoint.upstreams.client import UpstreamFailure, UpstreamRequest

FATAL = 77
U1 = Incarnation("u1", 5)


class AttemptTrackerTests(TestCase):
    def setUp(self):
        super().setUp()
        self.tracker = AttemptTracker()

    def send(self, ticket="r1", content=FATAL, upstream="u1", at_s=0.0):
        attempt = Attempt(upstream, sent_s=at_s, started_ms=5)
        self.tracker.track(ticket, content, attempt)
        return attempt

    def reported_at_end(self, now, incarnation=U1):
        return [
            r.fingerprint for r in self.tracker.record_termination(incarnation, now)
        ]

    def test_open_and_closed_attempts_are_reported_once(self):
        self.send("r1", 1)
        self.tracker.record_closed("r2", self.send("r2", 2), now=1.0)
        self.assertEqual([1, 2], sorted(self.reported_at_end(3.0)))
        self.assertEqual([], self.reported_at_end(3.1))

    def test_crash_of_another_incarnation_is_not_reported(self):
        self.send()
        self.assertEqual([], self.reported_at_end(3.0, Incarnation("u1", 6)))

    def test_answered_attempt_is_not_reported(self):
        self.tracker.untrack("r1", self.send())
        self.assertEqual([], self.reported_at_end(3.0))

    def test_long_running_stream_is_not_reported(self):
        attempt = self.send()
        attempt.first_token_at_s, attempt.last_token_at_s = 0.1, 0.2 + EARLY_CRASH_S
        self.assertEqual([], self.reported_at_end(3.0))

    def test_later_answer_clears_closed_attempts(self):
        attempt = self.send()
        self.tracker.record_closed("r1", attempt, now=1.0)
        self.tracker.record_alive(U1, sent_s=0.5)
        self.assertEqual({U1}, self.tracker.possibly_crashed(FATAL, 1.1))
        self.tracker.record_alive(U1, sent_s=1.2)
        self.assertEqual([], self.reported_at_end(3.0))

    def test_attempts_that_closed_long_ago_are_dropped(self):
        self.tracker.record_closed("r1", self.send(), now=1.0)
        self.tracker.collect_late_reports(1.5 + RETENTION_S)
        self.assertEqual(set(), self.tracker.possibly_crashed(FATAL, 1.5 + RETENTION_S))

    def test_connecting_attempt_is_reported_after_its_outcome(self):
        first, second = self.send("r1", 1, at_s=2.9), self.send("r2", 2, at_s=2.9)
        self.assertEqual([], self.reported_at_end(3.0))
        self.tracker.untrack("r1", first)
        report = self.tracker.record_closed("r2", second, now=3.1)
        self.assertEqual(
            (2, "u1", 3.1), (report.fingerprint, report.upstream, report.at_s)
        )
        self.send("r3", 3, at_s=3.2)
        self.assertEqual([], self.tracker.collect_late_reports(3.3))
        [report] = self.tracker.collect_late_reports(3.3 + CONNECT_WINDOW_S)
        self.assertEqual(3, report.fingerprint)

    def test_silent_attempt_makes_its_upstream_suspect(self):
        self.send()
        self.assertEqual(
            set(), self.tracker.possibly_crashed(FATAL, SUSPICIOUS_SILENCE_S - 0.1)
        )
        self.assertEqual(
            {U1}, self.tracker.possibly_crashed(FATAL, SUSPICIOUS_SILENCE_S + 0.1)
        )


class RepeatedRequestTests(TestCase):
    """The scheduler of one router, with upstreams that crash."""

    def setUp(self):
        super().setUp()
        self.exposures = AttemptTracker()
        self.poison = PoisonTracker(block_after=3)
        self.scheduler = Scheduler(
            tuning=ROUTE_TUNING,
            poison=self.poison,
            placement=ServicePlacement(),
            exposures=self.exposures,
        )
        self.scheduler.set_upstreams(
            {f"u{n}": Slots(4, 4, started_ms=5) for n in range(8)}
        )
        self.count = 0

    def offer(self, now, content=FATAL):
        """Offer a request; return its id and upstream, or the refusal."""
        self.count += 1
        cls = ServiceClass("desk", 1)
        ticket = Ticket(f"r{self.count}", cls, "school", now, fingerprint=content)
        admission = self.scheduler.offer(ticket, now)
        if isinstance(admission, Refused):
            return admission
        [send] = self.scheduler.poll(now)
        return ticket.id, send.upstream

    def crash(self, upstream, now):
        for report in self.exposures.record_termination(Incarnation(upstream, 5), now):
            self.poison.record_crash(report)

    def test_request_is_blocked_before_its_crashes_are_known(self):
        # The attempts time out without an answer, and only the list of hosts shows
        # later that their upstreams have crashed.
        sent = []
        for number in range(3):
            ticket, upstream = self.offer(number * 0.5)
            self.scheduler.abandon(ticket, number * 0.5 + 1.5)
            self.scheduler.set_upstreams(
                {n: s for n, s in self.scheduler.upstreams.items() if n != upstream}
            )
            sent.append(upstream)
        self.crash(sent[0], 3.6)
        refused = self.offer(3.7)
        self.assertIs(Result.POISON, refused.result)
        for upstream in sent[1:]:
            self.crash(upstream, 4.6)
        self.assertTrue(self.poison.is_blocked(FATAL, 4.7))

    def test_request_that_is_blocked_while_queued_is_not_sent(self):
        # Guards against sending a repeat that was queued before it was blocked.
        self.scheduler.set_upstreams({"u0": Slots(1, 1, started_ms=5)})
        first, _ = self.offer(0.0, content=8)
        cls = ServiceClass("desk", 1)
        ticket = Ticket("waits", cls, "school", 0.1, fingerprint=FATAL)
        self.scheduler.offer(ticket, 0.1)
        self.assertEqual([], self.scheduler.poll(0.1))
        for upstream in ("u1", "u2", "u3"):
            self.poison.record_crash(CrashReport(FATAL, upstream, 0.2, 5))
        self.scheduler.finished(first, "u0", 0.3)
        [action] = self.scheduler.poll(0.4)
        self.assertIsInstance(action, Expire)
        self.assertEqual((Result.POISON, {}), (action.result, self.scheduler.requests))

    def test_refusal_by_a_restarted_upstream_keeps_the_report(self):
        self.scheduler.set_upstreams({"u0": Slots(4, 4, started_ms=5)})
        ticket, upstream = self.offer(0.0)
        self.scheduler.failed(
            ticket, upstream, Result.RETRY_BROKE, 0.1, may_retry=False
        )
        other, _ = self.offer(2.6, content=8)
        self.scheduler.failed(other, upstream, Result.RETRY_REFUSED, 2.7)
        self.scheduler.abandon(other, 2.7)
        self.crash(upstream, 3.6)
        self.assertEqual(1, self.poison.count_crashes(FATAL, 3.7))

    def test_timeouts_on_live_upstreams_do_not_block(self):
        for number in range(6):
            ticket, _ = self.offer(number * 0.5)
            self.scheduler.abandon(ticket, number * 0.5 + 1.5)
        self.assertNotIsInstance(self.offer(4.7), Refused)

    def test_connect_timeout_does_not_prove_a_crash(self):
        for number in range(6):
            now = number * 0.5
            ticket, upstream = self.offer(now)
            self.scheduler.failed(
                ticket, upstream, Result.RETRY_BROKE, now, may_retry=False
            )
            ticket, upstream = self.offer(now + 0.1, content=100 + number)
            self.scheduler.failed(ticket, upstream, Result.RETRY_CONNECT, now + 0.2)
            self.scheduler.abandon(ticket, now + 0.2)
        self.assertEqual(0, self.poison.count_crashes(FATAL, 4.0))

    def test_refused_connection_proves_a_crash(self):
        upstreams = dict(self.scheduler.upstreams)
        self.scheduler.set_upstreams({"u0": upstreams["u0"]})
        ticket, upstream = self.offer(0.0)
        self.scheduler.failed(
            ticket, upstream, Result.RETRY_BROKE, 0.1, may_retry=False
        )
        self.assertEqual(0, self.poison.count_crashes(FATAL, 0.2))
        ticket, upstream = self.offer(0.3, content=8)
        self.scheduler.failed(ticket, upstream, Result.RETRY_CONNECT, 0.4, is_gone=True)
        self.assertEqual(1, self.poison.count_crashes(FATAL, 0.5))
        self.assertFalse(self.poison.is_suspected(8, 0.5))


class ConnectionTests(RouteCase):
    def connect(self, address):
        async def main():
            client = PerUpstreamClient()
            outgoing = UpstreamRequest("GET", "/", {}, b"")
            try:
                async with client.send(
                    "u1", address, outgoing, repeatable=True, timeout_s=1.0
                ):
                    return None
            except UpstreamFailure as exc:
                return exc.reason, exc.is_gone
            finally:
                await client.close()

        return self.run_async(main())

    def test_refused_connection_proves_that_the_upstream_is_gone(self):
        found = self.connect(free_address())
        self.assertEqual((Result.RETRY_CONNECT, True), found)

    def test_silent_upstream_alone_counts_as_no_crash(self):
        async def scenario(fleet):
            for number in range(3):
                await fleet.ask(x_request_id=f"r{number}", x_time_left_ms="100")
            return fleet.pools.poison.count_crashes(
                hash64(b"/desk/1\0school\0content"), 1e9
            )

        scripted = ScriptedUpstream(hang)
        self.assertEqual(0, self.run_scenario(IDEMPOTENT, scripted, scenario=scenario))


class RouterStartTests(RouteCase):
    def test_new_router_refuses_until_it_knows_blocked_requests(self):
        # Guards against a new router that serves a repeat before it has read which
        # requests are blocked.
        async def scenario(fleet):
            fleet.informed = False
            refused = await fleet.ask()
            fleet.informed = True
            return refused, await fleet.ask(x_request_id="r2")

        scripted = ScriptedUpstream()
        (status, _, headers), (served, _, _) = self.run_scenario(
            IDEMPOTENT, scripted, scenario=scenario
        )
        self.assertEqual((503, 200, 1), (status, served, len(scripted.received)))
        self.assertIn("retry-after", headers)


class BlockedRequestTests(RouteCase):
    def test_refusal_of_blocked_request_has_retry_after(self):
        async def scenario(fleet):
            content = hash64(b"/desk/1\0school\0content")
            for upstream in ("u8", "u9"):
                fleet.pools.poison.record_crash(CrashReport(content, upstream, 1e9))
            return await fleet.ask()

        scripted = ScriptedUpstream()
        status, _, headers = self.run_scenario(IDEMPOTENT, scripted, scenario=scenario)
        self.assertEqual((503, []), (status, scripted.received))
        self.assertEqual(MAX_RETRY_AFTER_S, float(headers["retry-after"]))


class CrashControllerTests(TestCase):
    def setUp(self):
        super().setUp()
        self.clock = FakeClock()
        self.kv = MemoryKeyValue(clock=self.clock, rng=random.Random(1))
        self.notifications = []

    def controller(self, name):
        poison, exposures = PoisonTracker(block_after=3), AttemptTracker()
        created = CrashController(
            Board(name, 1),
            poison,
            exposures,
            kv=self.kv,
            prefix="crashes/",
            clock=self.clock,
            rng=random.Random(1),
            notify_peers=lambda: self.notifications.append(name),
        )
        return created, poison, exposures

    def test_peer_counts_its_own_attempts_at_a_reported_crash(self):
        one, one_poison, one_exposures = self.controller("one")
        two, two_poison, two_exposures = self.controller("two")
        self.clock.now = 3.0
        one_exposures.track("r1", FATAL, Attempt("u1", 0.0, 5))
        two_exposures.track("r2", FATAL + 1, Attempt("u1", 0.0, 5))
        one.record_host_termination(
            Host("u1", "upstream", "10.0.0.1:1", "here", started_ms=5)
        )
        row = one._publisher._board.get("one", CRASHES_TOPIC)
        two.merge_rows([row])
        self.assertEqual(1, two_poison.count_crashes(FATAL, self.clock.now))
        self.assertEqual(1, two_poison.count_crashes(FATAL + 1, self.clock.now))
        self.assertEqual(["one", "two"], self.notifications)
        self.assertEqual(1, one_poison.count_crashes(FATAL, self.clock.now))

    def test_counts_survive_a_restart_of_all_routers(self):
        # Guards against losing the crash counts, which were kept only in memory.
        one, _, exposures = self.controller("one")
        self.clock.now = 3.0
        for number, content in enumerate((FATAL, FATAL, FATAL)):
            exposures.track(f"r{number}", content, Attempt(f"u{number}", 0.0, 5))
            one.record_host_termination(
                Host(f"u{number}", "upstream", "", "here", started_ms=5)
            )
        self.clock.now += MIN_WRITE_PAUSE_S
        self.run_async(one._archive._write(one._archive._due_entries(self.clock.now)))
        two, poison, _ = self.controller("one")
        two.update_entries({e.key: e for e in self.stored_entries()})
        self.assertTrue(poison.is_blocked(FATAL, self.clock.now))

    def test_answered_request_is_not_stored(self):
        one = self.controller_after_crashes("u1", "u2")
        sent_s = self.clock.now
        one._poison.record_answer(FATAL, Incarnation("u3", 5), sent_s)
        self.assertEqual({}, one._archive._due_entries(self.clock.now))

    def test_lost_entry_is_written_again(self):
        one = self.controller_after_crashes("u1", "u2")
        archive = one._archive
        self.run_async(archive._write(archive._due_entries(self.clock.now)))
        one.update_entries({e.key: e for e in self.stored_entries()})
        self.clock.now += 10.0
        self.assertEqual({}, archive._due_entries(self.clock.now))
        one.update_entries({})
        self.assertEqual(
            [Incarnation("u1", 5), Incarnation("u2", 5)],
            list(archive._due_entries(self.clock.now)),
        )

    def test_failed_write_is_retried(self):
        one = self.controller_after_crashes("u1", "u2")
        self.kv.faults.down = True
        self.run_async(one._archive._write(one._archive._due_entries(self.clock.now)))
        self.assertEqual({}, one._archive._due_entries(self.clock.now))
        self.clock.now += 10.0
        self.assertEqual(2, len(one._archive._due_entries(self.clock.now)))

    def test_second_crash_is_stored_within_200_ms(self):
        async def main():
            one = self.controller_after_crashes("u1")
            task = asyncio.create_task(one.run())
            await asyncio.sleep(0.0)
            self.crash(one, "u2")
            try:
                await eventually(lambda: len(self.stored_entries()) == 2, timeout_s=0.2)
            finally:
                task.cancel()

        self.run_async(main())

    def test_burst_of_crashes_needs_two_writes_under_one_lease(self):
        async def main():
            one = self.controller_after_crashes("u1", "u2")
            task = asyncio.create_task(one.run())
            await eventually(lambda: len(self.stored_entries()) == 2)
            for number in range(3, 9):
                self.crash(one, f"u{number}")
                await asyncio.sleep(0.02)
            await eventually(lambda: len(self.stored_entries()) == 8)
            task.cancel()

        self.run_async(main())
        revisions = {entry.revision for entry in self.stored_entries()}
        self.assertEqual(2, len(revisions))
        self.assertEqual(1, len({entry.lease for entry in self.stored_entries()}))

    def test_single_crash_is_not_stored_and_leaves_the_gossip_row(self):
        # Guards against storing each request that was on a crashed upstream: that cost
        # 613 entries for 23 crashes in a day of 62 routers, and gossip rows of 9 kB.
        one = self.controller_after_crashes("u1")
        self.assertEqual({}, one._archive._due_entries(self.clock.now))
        self.clock.now += 60.0
        one.report_crash(CrashReport(FATAL + 9, "u9", self.clock.now, 5))
        row = one._publisher._board.get("one", CRASHES_TOPIC)
        published = [
            r.fingerprint for r in read_crashes(row.payload, now=self.clock.now)
        ]
        self.assertEqual([FATAL + 9], published)

    def test_own_crash_is_stored_after_a_peer_reports_another(self):
        one = self.controller_after_crashes("u1")
        self.clock.now += 60.0
        two = self.controller_after_crashes("u2", name="two")
        one.merge_rows([two._publisher._board.get("two", CRASHES_TOPIC)])
        self.assertEqual(
            {Incarnation("u1", 5): [FATAL]}, one._archive._due_entries(self.clock.now)
        )

    def controller_after_crashes(self, *upstreams, name="one"):
        controller, _, _ = self.controller(name)
        self.clock.now += 3.0
        for upstream in upstreams:
            self.crash(controller, upstream)
        self.clock.now += MIN_WRITE_PAUSE_S
        return controller

    def crash(self, controller, upstream):
        attempt = Attempt(upstream, self.clock.now - 3.0, 5)
        controller._attempts.track(upstream, FATAL, attempt)
        controller.record_host_termination(
            Host(upstream, "upstream", "", "here", started_ms=5)
        )

    def test_unreadable_entries_are_ignored(self):
        two, poison, _ = self.controller("two")
        two.update_entries(
            {
                key: Entry(key, raw, 1)
                for key, raw in (
                    ("crashes/u1/5/one", b"\xff"),
                    ("crashes/u1/x/one", b"[77]"),
                    ("crashes/u1/\u00b2/one", b"[77]"),
                    (f"crashes/u1/{'9' * 5_000}/one", b"[77]"),
                    ("routers/one", b"{}"),
                    ("crashes/u2/5/one", b"[77]"),
                )
            }
        )
        self.assertEqual(1, poison.count_crashes(FATAL, self.clock.now))

    def stored_entries(self):
        return self.kv.store.list_prefix("crashes/").entries
