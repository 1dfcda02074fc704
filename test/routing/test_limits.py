"""Test concurrency limits and admission control."""

import random
import time
import unittest

import freezegun

from baobabpond import metrics
from baobabpond.routing import admission
from baobabpond.routing import baseline
from baobabpond.routing import limits
from baobabpond.routing import router
from baobabpond import verdicts
from test import helpers
from test.routing import attempts

Verdict = verdicts.Verdict


class LimitTest(unittest.TestCase):
    """Test increase and decrease of the adaptive limit."""

    def setUp(self):
        self.limit = limits.AdaptiveLimit()
        self.settings = helpers.settings()

    def record(self, unit_s, in_flight=1000, times=1, clock=None):
        for _ in range(times):
            if clock is not None:
                clock.tick((unit_s or 0) + 0.01)
            completed = limits.CompletedRequest(
                unit_s or 0, unit_s, 0.1, in_flight
            )
            self.limit.record(self.settings, 2, completed)

    def value(self):
        return self.limit.value(self.settings, 2)

    def test_limit_doubles_and_then_grows_by_one_per_round_trip(self):
        start = self.value()
        self.record(0.1, times=int(start))
        self.assertEqual(2 * start, self.value())
        with freezegun.freeze_time() as clock:
            self.record(1.0, clock=clock)
            lowered = self.value()
            self.record(0.1, times=round(lowered))
            self.assertAlmostEqual(lowered + 1, self.value(), delta=0.2)

    def test_high_latency_halves_the_limit_once_and_lowers_it_to_one(self):
        self.record(0.1, times=100)
        raised = self.value()
        with freezegun.freeze_time() as clock:
            self.record(5.0, clock=clock)
            self.assertEqual(raised / 2, self.value())
            self.record(5.0, times=20, clock=clock)
            self.assertEqual(limits.MIN_LIMIT, self.value())

    def test_failed_request_lowers_the_limit_once_per_round_trip(self):
        with freezegun.freeze_time():
            start = self.value()
            self.record(None)
            self.record(0.3, times=5)
            self.assertLess(self.value(), start)

    def test_limit_does_not_rise_at_low_utilisation(self):
        self.record(0.1, in_flight=1, times=200)
        self.assertEqual(2 * self.settings['limit_initial'], self.value())


class BaselineTest(unittest.TestCase):
    """Test that a slower service is told apart from an overloaded one."""

    def record(self, seconds, unloaded):
        baseline_tracker = baseline.LatencyBaseline()
        baseline_tracker.record(0.1, False)
        with freezegun.freeze_time() as clock:
            for _ in range(50):
                clock.tick(1)
                baseline_tracker.record(seconds, unloaded)
        return baseline_tracker.value_s

    def test_sustained_overload_does_not_become_the_baseline(self):
        self.assertEqual(0.1, self.record(0.5, False))

    def test_higher_latency_without_load_becomes_the_baseline(self):
        self.assertEqual(0.5, self.record(0.5, True))


class AdmissionTest(unittest.TestCase):
    """Test how priorities and callers share a limit."""

    def setUp(self):
        self.admission = admission.AdmissionController()

    def admit(self, priority='ordinary', caller='c', limit=10, expected=0.0):
        return self.admission.admit(
            helpers.settings(priority=priority),
            caller,
            limit,
            expected,
            time.monotonic() + 1,
        )

    def fill(self, count, **arguments):
        return [self.admit(**arguments) for _ in range(count)]

    def test_high_priority_is_admitted_at_the_ordinary_limit(self):
        self.fill(8)
        refusal = self.admit()
        self.assertEqual('no_capacity', refusal.code)
        self.assertIs(Verdict.NOT_RUN, refusal.verdict)
        self.assertIsNotNone(refusal.retry_after_s)
        self.assertIsInstance(self.admit('high'), admission.Ticket)

    def test_ordinary_is_not_starved_by_high(self):
        self.fill(10, priority='high')
        self.assertIsInstance(self.admit(), verdicts.Refusal)
        self.admission.release(admission.Ticket('c', 'high'))
        self.assertIsInstance(self.admit('high'), verdicts.Refusal)
        self.assertIsInstance(self.admit(), admission.Ticket)

    def test_short_deadline_is_refused_immediately(self):
        self.assertEqual('deadline_too_short', self.admit(expected=2.0).code)

    def test_caller_is_held_to_its_share_while_others_compete(self):
        self.fill(6, caller='greedy')
        self.assertIsInstance(self.admit(caller='greedy'), admission.Ticket)
        self.admit(caller='other')
        self.assertEqual('no_capacity', self.admit(caller='greedy').code)
        self.admission.release(admission.Ticket('other', 'ordinary'))
        self.assertEqual('caller_share', self.admit(caller='greedy').code)


class ExpectedTimeTest(unittest.TestCase):
    """Test refusals by expected time, and their end after a slow period."""

    def setUp(self):
        self.router = router.ServiceRouter(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        upstream_list = [helpers.upstream_state('u0').upstream]
        self.router.upstream_set.replace(upstream_list, ())

    def context(self, timeout_s, units=1):
        return router.RequestContext(
            helpers.settings(), 'c', time.monotonic() + timeout_s, units=units
        )

    def run_for(self, clock, seconds):
        def attempt(_state, _deadline):
            clock.tick(seconds)
            return attempts.answer()

        self.router.send(self.context(1000), attempt)

    def test_refusals_after_a_slow_period_end(self):
        with freezegun.freeze_time() as clock:
            for _ in range(20):
                self.run_for(clock, 10.0)
            refused = self.router.admit(self.context(0.5))
            self.assertEqual('deadline_too_short', refused.code)
            clock.tick(20)
            ticket = self.router.admit(self.context(0.5))
            self.assertIsInstance(ticket, admission.Ticket)

    def test_expected_time_scales_with_units_of_work(self):
        with freezegun.freeze_time() as clock:
            for _ in range(20):
                self.run_for(clock, 0.1)
            short = self.router.admit(self.context(1.0, units=5))
            self.assertIsInstance(short, admission.Ticket)
            long = self.router.admit(self.context(1.0, units=50))
            self.assertEqual('deadline_too_short', long.code)


if __name__ == '__main__':
    unittest.main()
