"""Tests of the scheduling policy; each runs a whole scheduler."""

import random
import zlib

from hypothesis import given, strategies as st
from testtools.matchers import LessThan

from shallotpoint.policy.actions import Admitted, Expire, Refused, Send, Withdraw
from shallotpoint.policy.model import ServiceClass
from shallotpoint.policy.placement import ExpectedWaitPlacement
from shallotpoint.policy.retries import SharedRetryBudget, WindowRetryBudget
from shallotpoint.policy.scheduler import Scheduler
from shallotpoint.policy.state import Slots
from shallotpoint.policy.ticket import Ticket
from shallotpoint.policy.tuning import ROUTE_TUNING
from shallotpoint.results import Result
from shallotpoint.testing.cases import TestCase

COUNTER = ServiceClass("counter", tier=1, ttft_s=1.0, share=0.2)
FITTING = ServiceClass("fitting", tier=2, ttft_s=30.0, protected=True, share=0.2)
OVERNIGHT = ServiceClass("overnight", tier=4, deadline_s=28_800.0, share=0.1)
CLASSES = {c.name: c for c in (COUNTER, FITTING, OVERNIGHT)}


def make_scheduler(upstreams=2, credits=2):
    scheduler = Scheduler()
    scheduler.set_classes(CLASSES)
    names = [f"e{i}" for i in range(upstreams)]
    scheduler.set_upstreams({n: Slots(credits, credits) for n in names})
    return scheduler


def make_ticket(name, cls, org="school", at=0.0, **kwargs):
    properties = {
        "fingerprint": zlib.crc32(name.encode()) | 1,
        "resumable": True,
        **kwargs,
    }
    return Ticket(name, cls, org, at, **properties)


def sent_upstreams(actions):
    return {a.ticket.id: a.upstream for a in actions if isinstance(a, Send)}


class FailingPlacement(ExpectedWaitPlacement):
    """A placement with a fault that only the request ``odd`` brings out."""

    def choose(self, state, request, free, now):
        if request.ticket.id == "odd":
            raise OverflowError("a number too large")
        return super().choose(state, request, free, now)


class IsolationTests(TestCase):
    def test_lost_requests_behind_one_that_cannot_be_placed(self):
        # Guards against one request that fails each poll, so that all requests behind
        # it wait until their time is over.
        scheduler = Scheduler(placement=FailingPlacement())
        scheduler.set_classes(CLASSES)
        scheduler.set_upstreams({"e0": Slots(2, 2)})
        for name in ("odd", "a", "b"):
            scheduler.offer(make_ticket(name, COUNTER), 0.0)
        actions = scheduler.poll(0.0)
        self.assertEqual({"a": "e0", "b": "e0"}, sent_upstreams(actions))
        [ended] = [a for a in actions if isinstance(a, Expire)]
        self.assertEqual(("odd", Result.INTERNAL), (ended.ticket.id, ended.result))
        self.assertEqual([], scheduler.poll(0.1))


class PreemptionTests(TestCase):
    def scheduler_full_of(self, cls, count=4):
        scheduler = make_scheduler()
        for index in range(count):
            scheduler.offer(make_ticket(f"w{index}", cls), 0.0)
        self.assertEqual(count, len(sent_upstreams(scheduler.poll(0.0))))
        return scheduler

    def test_tier_1_preempts_an_overnight_request_at_once(self):
        scheduler = self.scheduler_full_of(OVERNIGHT)
        scheduler.offer(make_ticket("c", COUNTER, at=1.0), 1.0)
        actions = scheduler.poll(1.0)
        [withdrawn] = [a for a in actions if isinstance(a, Withdraw)]
        self.assertTrue(withdrawn.requeued)
        self.assertIs(Result.RETRY_PREEMPTED, withdrawn.reason)
        self.assertIn("c", sent_upstreams(actions))

    def test_protected_requests_are_never_preempted(self):
        scheduler = self.scheduler_full_of(FITTING)
        scheduler.offer(make_ticket("c", COUNTER, at=1.0), 1.0)
        for step in range(50):
            actions = scheduler.poll(1.0 + step / 50)
            self.assertEqual([], [a for a in actions if isinstance(a, Withdraw)])

    def test_fewer_credits_preempt_the_request_beyond_them(self):
        scheduler = self.scheduler_full_of(OVERNIGHT)
        scheduler.set_credits("e0", 1)
        withdrawn = [a for a in scheduler.poll(1.0) if isinstance(a, Withdraw)]
        self.assertEqual(["e0"], [a.upstream for a in withdrawn])

    def test_overnight_request_starts_under_constant_tier_1_load(self):
        scheduler = make_scheduler()
        scheduler.offer(make_ticket("o", OVERNIGHT), 0.0)
        started = None
        now, number = 0.0, 0
        running = {}
        while now < 30.0 and started is None:
            number += 1
            scheduler.offer(make_ticket(f"c{number}", COUNTER, at=now), now)
            running |= sent_upstreams(scheduler.poll(now))
            if "o" in running:
                started = now
            for name, upstream in list(running.items()):
                if name.startswith("c") and number - int(name[1:]) >= 4:
                    scheduler.finished(name, upstream, now)
                    del running[name]
            now += 0.1
        self.assertIsNotNone(started)


class RefusalTests(TestCase):
    def test_queued_requests_expire_after_their_target(self):
        scheduler = make_scheduler(upstreams=1, credits=1)
        scheduler.offer(make_ticket("f", FITTING), 0.0)
        scheduler.poll(0.0)
        for index in range(6):
            scheduler.offer(
                make_ticket(f"c{index}", COUNTER, at=index / 10), index / 10
            )
        expired = [a for a in scheduler.poll(2.0) if isinstance(a, Expire)]
        self.assertEqual({Result.WAIT_EXPIRED}, {a.result for a in expired})

    def test_protected_requests_never_expire(self):
        scheduler = make_scheduler(upstreams=1, credits=1)
        for index in range(5):
            scheduler.offer(make_ticket(f"f{index}", FITTING), 0.0)
        scheduler.poll(0.0)
        actions = scheduler.poll(10_000.0)
        self.assertEqual([], [a for a in actions if isinstance(a, Expire)])

    def test_requests_are_refused_on_arrival_without_upstreams(self):
        scheduler = make_scheduler(upstreams=0)
        refused = scheduler.offer(make_ticket("c", COUNTER), 0.0)
        self.assertIs(Result.NO_UPSTREAM, refused.result)

    def test_requests_beyond_the_queue_limit_are_refused(self):
        tiny = ServiceClass("counter", tier=1, max_queued=2)
        scheduler = make_scheduler(credits=0)
        results = [scheduler.offer(make_ticket(f"c{i}", tiny), 0.0) for i in range(3)]
        self.assertIsInstance(results[1], Admitted)
        self.assertIs(Result.QUEUE_FULL, results[2].result)


class OverdueTests(TestCase):
    URGENT = ServiceClass("urgent", tier=1, ttft_s=0.5, max_wait_s=2.0)
    PATIENT = ServiceClass("patient", tier=2, ttft_s=5.0)

    def make_full_scheduler(self):
        scheduler = Scheduler(tuning=ROUTE_TUNING)
        scheduler.set_classes({c.name: c for c in (self.URGENT, self.PATIENT)})
        scheduler.set_upstreams({"e0": Slots(1, 1)})
        scheduler.offer(make_ticket("running", self.URGENT), 0.0)
        scheduler.poll(0.0)
        scheduler.progress("running", "e0", 1, 0.0)
        return scheduler

    def finish_next(self, scheduler, running, now):
        scheduler.finished(running, "e0", now)
        [sent] = sent_upstreams(scheduler.poll(now))
        return sent

    def test_overdue_request_waits_for_others_of_its_class_but_not_of_lower_tiers(self):
        scheduler = self.make_full_scheduler()
        for name, cls, at_s in (
            ("old", self.URGENT, 0.0),
            ("patient", self.PATIENT, 0.0),
            ("new", self.URGENT, 0.9),
        ):
            scheduler.offer(make_ticket(name, cls, at=at_s), at_s)
            scheduler.poll(at_s)
        order = ["running"]
        for _ in range(3):
            order.append(self.finish_next(scheduler, order[-1], 1.0))
        self.assertEqual(["new", "old", "patient"], order[1:])

    def test_overdue_request_expires_at_the_end_of_its_wait(self):
        scheduler = self.make_full_scheduler()
        scheduler.offer(make_ticket("old", self.URGENT), 0.0)
        self.assertEqual([], scheduler.poll(1.9))
        [expired] = scheduler.poll(2.1)
        self.assertEqual(Result.WAIT_EXPIRED, expired.result)
        self.assertEqual(0, scheduler.queue_length("urgent"))


class PoisonTests(TestCase):
    def test_second_crash_blocks_only_the_request_on_both_upstreams(self):
        scheduler = make_scheduler(upstreams=4, credits=2)
        for name in ("poison", "n1", "n2", "n3"):
            scheduler.offer(make_ticket(name, FITTING), 0.0)
        running = sent_upstreams(scheduler.poll(0.0))
        results = {}
        now = 0.0
        for _ in range(3):
            now += 5.0
            crashed = running.pop("poison", None)
            if crashed is None:
                break
            others = [n for n, u in running.items() if u == crashed]
            for name in ["poison", *others]:
                results[name] = scheduler.failed(name, crashed, Result.RETRY_BROKE, now)
                running.pop(name, None)
            now += 3.0
            running |= sent_upstreams(scheduler.poll(now))
        self.assertIs(Result.POISON, results["poison"])
        blamed = [n for n, v in results.items() if v is Result.POISON]
        self.assertEqual(["poison"], blamed)
        again = scheduler.offer(make_ticket("poison", FITTING, at=now), now)
        self.assertIsInstance(again, Refused)


class RetryTests(TestCase):
    def test_non_idempotent_call_is_not_sent_twice(self):
        scheduler = make_scheduler()
        scheduler.offer(make_ticket("d", FITTING, idempotent=False), 0.0)
        [(name, upstream)] = sent_upstreams(scheduler.poll(0.0)).items()
        result = scheduler.failed(name, upstream, Result.RETRY_BROKE, 0.1)
        self.assertIs(Result.UPSTREAM_BROKE, result)
        self.assertEqual({}, sent_upstreams(scheduler.poll(0.2)))

    def test_non_idempotent_call_is_retried_after_a_refusal(self):
        scheduler = make_scheduler()
        scheduler.offer(make_ticket("d", FITTING, idempotent=False), 0.0)
        [(name, first)] = sent_upstreams(scheduler.poll(0.0)).items()
        self.assertIsNone(scheduler.failed(name, first, Result.RETRY_REFUSED, 0.1))
        self.assertNotEqual(first, sent_upstreams(scheduler.poll(0.2))["d"])

    def test_budget_bounds_retries_when_each_attempt_fails(self):
        scheduler = make_scheduler(upstreams=2, credits=50)
        attempts = 0
        for index in range(200):
            now = index / 100
            scheduler.offer(make_ticket(f"c{index}", COUNTER, at=now), now)
            for name, upstream in sent_upstreams(scheduler.poll(now)).items():
                attempts += 1
                scheduler.failed(name, upstream, Result.RETRY_REFUSED, now)
        self.assertThat(attempts, LessThan(240))


class RepeatTests(TestCase):
    """All ways in which a request comes to another upstream obey the same limits."""

    def make_scheduler(self, *, slack=1_000.0, upstreams=4):
        budget = WindowRetryBudget(SharedRetryBudget(slack=slack, margin=1.0))
        scheduler = Scheduler(budget=budget)
        scheduler.set_classes(CLASSES)
        names = [f"e{i}" for i in range(upstreams)]
        scheduler.set_upstreams({n: Slots(100, 100) for n in names})
        return scheduler

    def fail(self, scheduler, name, upstream, now):
        scheduler.progress(name, upstream, 1, now)
        scheduler.failed(name, upstream, Result.RETRY_ERROR, now + 0.1)

    def stall(self, scheduler, name, upstream, now):
        scheduler.progress(name, upstream, 1, now)

    def slow_down(self, scheduler, name, upstream, now):
        scheduler.progress(name, upstream, 1, now)
        scheduler.health.eject_for_peer(upstream, now + 0.1)

    def withhold_first_token(self, scheduler, name, upstream, now):
        pass

    def play(self, scheduler, trouble, *names, steps=400):
        """Let each attempt meet a trouble; return the upstreams of each request."""
        upstreams = {name: [] for name in names}
        for step in range(steps):
            now = step / 10
            for name, upstream in sent_upstreams(scheduler.poll(now)).items():
                upstreams[name].append(upstream)
                trouble(scheduler, name, upstream, now)
        return upstreams

    def troubles(self):
        return self.fail, self.stall, self.slow_down, self.withhold_first_token

    def test_budget_of_attempts_holds_on_each_path(self):
        # Guards against review case 3: streams that stalled ran on more upstreams than
        # allowed.
        for trouble in self.troubles():
            for limit in (1, 2, 3):
                scheduler = self.make_scheduler()
                ticket = make_ticket("r", COUNTER, max_attempts=limit)
                scheduler.offer(ticket, 0.0)
                ran = self.play(scheduler, trouble, "r")["r"]
                self.assertLessEqual(len(ran), limit, trouble.__name__)
                if trouble != self.withhold_first_token:  # it is hedged once
                    self.assertEqual(limit, len(ran), trouble.__name__)

    def test_budget_of_retries_holds_on_each_path(self):
        # Guards against streams whose connections all fall silent at once.
        names = [f"r{number}" for number in range(50)]
        for trouble in self.troubles():
            scheduler = self.make_scheduler(slack=5.0)
            for name in names:
                scheduler.offer(make_ticket(name, COUNTER, max_attempts=3), 0.0)
            ran = self.play(scheduler, trouble, *names, steps=95)
            repeats = sum(len(upstreams) - 1 for upstreams in ran.values())
            self.assertLessEqual(repeats, 0.2 * len(names) + 5.0, trouble.__name__)
            self.assertGreater(repeats, 0, trouble.__name__)


class EjectedUpstreamTests(TestCase):
    """A stalled request must continue although the only other upstream is ejected."""

    def scheduler_with_one_of_two_ejected(self):
        scheduler = make_scheduler(upstreams=2, credits=1)
        scheduler.offer(make_ticket("r", COUNTER), 0.0)
        [(_, first)] = sent_upstreams(scheduler.poll(0.0)).items()
        other = "e1" if first == "e0" else "e0"
        scheduler.health.eject_for_peer(other, 0.1)
        return scheduler, first, other

    def test_stalled_stream_moves_to_the_ejected_upstream(self):
        scheduler, first, other = self.scheduler_with_one_of_two_ejected()
        scheduler.progress("r", first, 1, 0.2)
        moved = {}
        for step in range(40):
            moved |= sent_upstreams(scheduler.poll(0.3 + step / 10))
        self.assertEqual({"r": other}, moved)

    def test_overdue_first_token_is_hedged_on_the_ejected_upstream(self):
        scheduler, _, other = self.scheduler_with_one_of_two_ejected()
        hedged = {}
        for step in range(40):
            hedged |= sent_upstreams(scheduler.poll(0.3 + step / 10))
        self.assertEqual({"r": other}, hedged)


class FairnessTests(TestCase):
    def test_small_organisation_is_served_beside_a_large_backlog(self):
        scheduler = make_scheduler(upstreams=1, credits=1)
        for index in range(50):
            scheduler.offer(make_ticket(f"b{index}", FITTING, org="big"), 0.0)
        scheduler.offer(make_ticket("s", FITTING, org="small", at=0.1), 0.1)
        order = []
        now = 0.1
        while len(order) < 3:
            for name, upstream in sent_upstreams(scheduler.poll(now)).items():
                order.append(name)
                scheduler.progress(name, upstream, 50, now)
                scheduler.finished(name, upstream, now + 0.5)
            now += 1.0
        self.assertIn("s", order)


class RandomEventTests(TestCase):
    @given(st.integers(0, 10_000))
    def test_no_request_is_lost_and_no_slot_leaks(self, seed):
        rng = random.Random(seed)
        scheduler = make_scheduler(upstreams=3, credits=2)
        running, ended = {}, set()
        offered = 0
        now = 0.0
        for _ in range(120):
            now += rng.random() / 5
            if rng.random() < 0.6:
                cls = rng.choice([COUNTER, FITTING, OVERNIGHT])
                name = f"t{offered}"
                offered += 1
                if isinstance(
                    scheduler.offer(make_ticket(name, cls, at=now), now), Refused
                ):
                    ended.add(name)
            for action in scheduler.poll(now):
                name = action.ticket.id
                if isinstance(action, Send):
                    running.setdefault(name, set()).add(action.upstream)
                elif isinstance(action, Withdraw):
                    running[name].discard(action.upstream)
                else:
                    ended.add(name)
            self.apply_random_event(scheduler, rng, running, ended, now)
            for slots in scheduler.upstreams.values():
                assert len(slots.running) <= slots.total
        alive = {n for n in scheduler.requests}
        assert alive.isdisjoint(ended)
        assert len(alive) + len(ended) == offered

    def apply_random_event(self, scheduler, rng, running, ended, now):
        attempts = [(n, u) for n, us in running.items() for u in us]
        if not attempts or rng.random() < 0.3:
            return
        name, upstream = rng.choice(sorted(attempts))
        event = rng.choice(["token", "token", "finish", "fail", "gone"])
        if event == "token":
            for action in scheduler.progress(name, upstream, 3, now):
                running[name].discard(action.upstream)
        elif event == "finish":
            scheduler.finished(name, upstream, now)
            running.pop(name)
            ended.add(name)
        elif event == "fail":
            running[name].discard(upstream)
            reason = rng.choice([Result.RETRY_CONNECT, Result.RETRY_BROKE])
            if scheduler.failed(name, upstream, reason, now) is not None:
                running.pop(name)
                ended.add(name)
        else:
            scheduler.abandon(name, now)
            running.pop(name)
            ended.add(name)


class ClassChangeTests(TestCase):
    def test_dropping_an_unused_class_drops_its_queue(self):
        scheduler = make_scheduler()
        branch = ServiceClass("counter/branch", tier=1)
        scheduler.offer(make_ticket("a", branch), 0.0)
        scheduler.poll(0.0)
        scheduler.finished("a", "e0", 0.1)
        scheduler.finished("a", "e1", 0.1)
        scheduler.set_classes(CLASSES)
        admitted = scheduler.offer(make_ticket("b", COUNTER), 0.2)
        self.assertIsInstance(admitted, Admitted)
