from testtools.matchers import Equals

from shallotpoint.policy.health import MIN_EJECTION_S, HealthTracker, Verdict
from shallotpoint.testing.cases import TestCase

NAMES = ("a", "b", "c", "d", "e")


def measured_tracker(now=0.0):
    tracker = HealthTracker()
    tracker.set_upstreams(NAMES)
    for step in range(5):
        for name in NAMES:
            tracker.record_first_token(name, 0.1, now + step / 10)
    return tracker


class SlowUpstreamTests(TestCase):
    def test_overdue_first_token_ejects_before_it_arrives(self):
        tracker = measured_tracker()
        tracker.set_longest_wait("a", 0.5)
        self.assertEqual(["a"], tracker.eject_slow(now=1.0))
        self.assertThat(tracker.newly_slow, Equals(["a"]))

    def test_no_more_than_two_of_five_are_ejected(self):
        tracker = measured_tracker()
        for name in NAMES[:4]:
            tracker.set_longest_wait(name, 5.0)
        tracker.eject_slow(now=1.0)
        ejected = [n for n in NAMES if tracker[n].verdict is Verdict.SLOW]
        self.assertEqual(2, len(ejected))

    def test_fast_probe_restores_the_upstream_with_a_small_weight(self):
        tracker = measured_tracker()
        tracker.set_longest_wait("a", 0.5)
        tracker.eject_slow(now=1.0)
        self.assertFalse(tracker.is_probe_due("a", 1.5))
        later = 1.0 + MIN_EJECTION_S
        self.assertTrue(tracker.is_probe_due("a", later))
        tracker.start_probe("a")
        self.assertFalse(tracker.is_probe_due("a", later))
        tracker.record_first_token("a", 0.1, later + 0.1)
        self.assertIs(Verdict.GOOD, tracker["a"].verdict)
        self.assertThat(round(tracker["a"].weight(later + 0.1), 2), Equals(0.2))

    def test_slow_probe_that_lost_against_a_hedge_delays_the_next(self):
        """Otherwise the next request probes an upstream that is known to be slow."""
        tracker = measured_tracker()
        tracker.set_longest_wait("a", 0.5)
        tracker.eject_slow(now=1.0)
        tracker.start_probe("a")
        tracker.record_unanswered("a", waited_s=0.6, now=2.7)
        self.assertFalse(tracker.is_probe_due("a", 2.8))
        self.assertTrue(tracker.is_probe_due("a", 2.7 + 2 * MIN_EJECTION_S))

    def test_probe_cancelled_early_is_due_again(self):
        tracker = measured_tracker()
        tracker.record_failure("a", now=1.0)
        tracker.start_probe("a")
        tracker.record_unanswered("a", waited_s=0.01, now=2.0)
        self.assertTrue(tracker.is_probe_due("a", 2.0))

    def test_verdicts_of_peers_eject_within_the_bound(self):
        tracker = measured_tracker()
        for name in NAMES[:3]:
            tracker.eject_for_peer(name, now=1.0)
        ejected = [n for n in NAMES if tracker[n].verdict is Verdict.SLOW]
        self.assertEqual(["a", "b"], ejected)
