"""Test limits and admission."""

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
    """Move the adaptive limit."""

    def setUp(self):
        self.limit = limits.AdaptiveLimit()
        self.settings = helpers.settings()

    def record(self, unit_s, in_flight=1000, times=1, clock=None):
        for _ in range(times):
            if clock is not None:
                clock.tick((unit_s or 0) + 0.01)
            finished = limits.Finished(unit_s or 0, unit_s, 0.1, in_flight)
            self.limit.record(self.settings, 2, finished)

    def value(self):
        return self.limit.value(self.settings, 2)

    def test_doubles_at_first_and_then_grows_by_one_a_round_trip(self):
        start = self.value()
        self.record(0.1, times=int(start))
        self.assertEqual(2 * start, self.value())
        with freezegun.freeze_time() as clock:
            self.record(1.0, clock=clock)
            lowered = self.value()
            self.record(0.1, times=round(lowered))
            self.assertAlmostEqual(lowered + 1, self.value(), delta=0.2)

    def test_far_too_slow_halves_at_once_and_falls_to_one(self):
        self.record(0.1, times=100)
        raised = self.value()
        with freezegun.freeze_time() as clock:
            self.record(5.0, clock=clock)
            self.assertEqual(raised / 2, self.value())
            self.record(5.0, times=20, clock=clock)
            self.assertEqual(limits.LOWEST_LIMIT, self.value())

    def test_failure_for_overload_lowers_once_a_round_trip(self):
        with freezegun.freeze_time():
            start = self.value()
            self.record(None)
            self.record(0.3, times=5)
            self.assertLess(self.value(), start)

    def test_does_not_rise_when_it_is_not_used(self):
        self.record(0.1, in_flight=1, times=200)
        self.assertEqual(2 * self.settings['limit_initial'], self.value())


class BaselineTest(unittest.TestCase):
    """Tell a slower service from an overloaded one."""

    def record(self, seconds, unloaded):
        lowest = baseline.LatencyBaseline()
        lowest.record(0.1, False)
        with freezegun.freeze_time() as clock:
            for _ in range(50):
                clock.tick(1)
                lowest.record(seconds, unloaded)
        return lowest.value_s

    def test_lasting_overload_does_not_become_the_baseline(self):
        self.assertEqual(0.1, self.record(0.5, False))

    def test_slower_service_is_learnt_without_load(self):
        self.assertEqual(0.5, self.record(0.5, True))


class AdmissionTest(unittest.TestCase):
    """Share a limit among priorities and callers."""

    def setUp(self):
        self.admission = admission.Admission()

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

    def test_high_priority_has_room_when_ordinary_is_full(self):
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

    def test_short_deadline_is_refused_at_once(self):
        self.assertEqual('deadline_too_short', self.admit(expected=2.0).code)

    def test_one_caller_does_not_take_all_while_others_ask(self):
        self.fill(6, caller='greedy')
        self.assertIsInstance(self.admit(caller='greedy'), admission.Ticket)
        self.admit(caller='other')
        self.assertEqual('no_capacity', self.admit(caller='greedy').code)
        self.admission.release(admission.Ticket('other', 'ordinary'))
        self.assertEqual('caller_share', self.admit(caller='greedy').code)


class ExpectedTimeTest(unittest.TestCase):
    """Refuse by the expected time, but not for ever."""

    def setUp(self):
        self.router = router.ServiceRouter(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        found = [helpers.upstream_state('u0').upstream]
        self.router.upstream_set.replace(found, ())

    def context(self, timeout_s, units=1):
        return router.RequestContext(
            helpers.settings(), 'c', time.monotonic() + timeout_s, units=units
        )

    def run_for(self, clock, seconds):
        def attempt(_state, _deadline):
            clock.tick(seconds)
            return attempts.answer()

        self.router.send(self.context(1000), attempt)

    def test_slow_spell_does_not_shut_a_service_for_ever(self):
        with freezegun.freeze_time() as clock:
            for _ in range(20):
                self.run_for(clock, 10.0)
            refused = self.router.admit(self.context(0.5))
            self.assertEqual('deadline_too_short', refused.code)
            clock.tick(20)
            ticket = self.router.admit(self.context(0.5))
            self.assertIsInstance(ticket, admission.Ticket)

    def test_short_work_is_not_judged_by_long_work(self):
        with freezegun.freeze_time() as clock:
            for _ in range(20):
                self.run_for(clock, 0.1)
            short = self.router.admit(self.context(1.0, units=5))
            self.assertIsInstance(short, admission.Ticket)
            long = self.router.admit(self.context(1.0, units=50))
            self.assertEqual('deadline_too_short', long.code)


if __name__ == '__main__':
    unittest.main()
