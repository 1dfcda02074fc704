"""Test choices, limits, retries, ejection and admission."""

import itertools
import random
import time
import unittest

import freezegun
from returns import result

from baobabpond import answers
from baobabpond import metrics
from baobabpond.routing import admission
from baobabpond.routing import baseline
from baobabpond.routing import budget
from baobabpond.routing import choice
from baobabpond.routing import limits
from baobabpond.routing import service
from baobabpond.routing import upstreams
from baobabpond import verdicts
from test import helpers

Verdict = verdicts.Verdict


def refuse(verdict, code='upstream_error'):
    """Return a failed attempt."""
    return result.Failure(verdicts.Refusal(verdict, 503, code, ''))


def answer():
    """Return a whole answer."""
    return result.Success(answers.Answer(200, '', b''))


class UpstreamTest(unittest.TestCase):
    """Correct late load reports."""

    def test_load_counts_what_was_sent_since_the_report(self):
        state = helpers.upstream_state('u')
        state.begin()
        state.report(upstreams.LoadReport(5, 2))
        state.begin()
        state.begin()
        self.assertEqual(9, state.load())
        state.end(False)
        self.assertEqual(8, state.load())

    def test_others_are_taken_to_have_done_the_same_since_the_report(self):
        state = helpers.upstream_state('u')
        state.sharers = 8
        state.report(upstreams.LoadReport(0, 0))
        state.begin()
        self.assertEqual(8, state.load())
        state.report(upstreams.LoadReport(4, 0))
        self.assertEqual(4, state.load())

    def test_old_report_counts_for_nothing(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            state.report(upstreams.LoadReport(50, 0))
            clock.tick(11)
            self.assertEqual(0, state.load())

    def test_returned_upstream_starts_slowly(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            state.eject(3)
            self.assertTrue(state.ejected)
            clock.tick(3.5)
            self.assertFalse(state.ejected)
            early = state.score(5)
            clock.tick(10)
            self.assertGreater(early, 5 * state.score(5))

    def test_ejections_lengthen_until_they_are_lived_down(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            for seconds in (3, 6):
                state.eject(3)
                clock.tick(seconds - 0.1)
                self.assertTrue(state.ejected)
                clock.tick(0.2)
                self.assertFalse(state.ejected)
            clock.tick(61)
            state.begin()
            state.end(False)
            state.eject(3)
            clock.tick(3.1)
            self.assertFalse(state.ejected)


class EjectionTest(unittest.TestCase):
    """Eject outliers, but not too many."""

    def setUp(self):
        self.set = upstreams.UpstreamSet(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        found = [helpers.upstream_state(f'u{n}').upstream for n in range(4)]
        self.set.replace(found, ())
        self.settings = helpers.settings()

    def fail(self, name, times=3):
        state = self.set.get(name)
        for _ in range(times):
            state.begin()
            self.set.finish(state, True, self.settings)

    def test_failures_in_a_row_eject(self):
        self.fail('u0', 2)
        self.assertEqual(4, len(self.set.usable()))
        self.fail('u0', 1)
        self.assertEqual(3, len(self.set.usable()))

    def test_share_of_ejected_upstreams_is_capped(self):
        for name in ('u0', 'u1', 'u2', 'u3'):
            self.fail(name)
        self.assertEqual(2, len(self.set.usable()))

    def test_slow_upstream_is_ejected(self):
        for _ in range(20):
            for index in range(4):
                state = self.set.get(f'u{index}')
                latency_s = 1.0 if index == 0 else 0.1
                self.set.observe(state, latency_s, self.settings)
        self.assertNotIn(self.set.get('u0'), self.set.usable())

    def test_slower_upstream_takes_less_work(self):
        for _ in range(20):
            for index in range(4):
                state = self.set.get(f'u{index}')
                latency_s = 0.3 if index == 0 else 0.1
                self.set.observe(state, latency_s, self.settings)
        slow, usual = self.set.get('u0'), self.set.get('u1')
        self.assertFalse(slow.ejected)
        self.assertGreater(slow.score(0), 2 * usual.score(0))

    def test_leaving_upstream_is_never_used(self):
        found = [state.upstream for state in self.set.states()]
        self.set.replace(found, {f'u{n}' for n in range(4)})
        self.assertEqual([], self.set.usable())


class ChoiceTest(unittest.TestCase):
    """Choose among candidates."""

    def setUp(self):
        self.states = [helpers.upstream_state(f'u{n}') for n in range(4)]

    def pick(self, name, key='', **overrides):
        context = choice.ChoiceContext(
            helpers.settings(**overrides),
            key,
            random.Random(1),
            itertools.count(),
        )
        return choice.choices.get(name)(self.states, context)

    def test_two_choices_avoid_the_most_loaded(self):
        for _ in range(5):
            self.states[0].begin()
        picked = {self.pick('two_choices') for _ in range(50)}
        self.assertNotIn(self.states[0], picked)

    def test_affinity_is_kept_until_the_load_bound(self):
        first = self.pick('prefix_affinity', 'prompt')
        self.assertIs(first, self.pick('prefix_affinity', 'prompt'))
        for _ in range(10):
            first.begin()
        self.assertIsNot(first, self.pick('prefix_affinity', 'prompt'))

    def test_every_named_choice_is_registered(self):
        self.assertEqual(
            ['prefix_affinity', 'round_robin', 'two_choices'],
            choice.choices.names,
        )


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
        self.router = service.ServiceRouter(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        found = [helpers.upstream_state('u0').upstream]
        self.router.pool.replace(found, ())

    def context(self, timeout_s, units=1):
        return service.RequestContext(
            helpers.settings(), 'c', time.monotonic() + timeout_s, units=units
        )

    def run_for(self, clock, seconds):
        def attempt(_state, _deadline):
            clock.tick(seconds)
            return answer()

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


class RetryTest(unittest.TestCase):
    """Retry within the rules of the verdict and the budget."""

    def setUp(self):
        self.router = service.ServiceRouter(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        found = [helpers.upstream_state(f'u{n}').upstream for n in range(3)]
        self.router.pool.replace(found, ())
        self.tried = []

    def send(self, outcomes, timeout_s=5.0, **overrides):
        outcomes = iter(outcomes)

        def attempt(state, _deadline):
            self.tried.append(state.upstream.instance)
            return next(outcomes)

        context = service.RequestContext(
            helpers.settings(backoff_initial_s=0.001, **overrides),
            'c',
            time.monotonic() + timeout_s,
        )
        return self.router.send(context, attempt)

    def test_idempotent_request_is_retried_elsewhere(self):
        outcome = self.send(
            [refuse(Verdict.MAY_HAVE_RUN), answer()], idempotent=True
        )
        self.assertIsInstance(outcome, result.Success)
        self.assertEqual(2, len(set(self.tried)))

    def test_non_idempotent_request_is_retried_only_if_not_run(self):
        outcome = self.send(
            [refuse(Verdict.NOT_RUN), refuse(Verdict.MAY_HAVE_RUN), answer()]
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.failure().verdict)
        self.assertEqual(2, len(self.tried))

    def test_earlier_attempt_that_may_have_run_is_not_forgotten(self):
        outcome = self.send(
            [refuse(Verdict.MAY_HAVE_RUN)] + [refuse(Verdict.NOT_RUN)] * 2,
            idempotent=True,
        )
        self.assertIs(Verdict.MAY_HAVE_RUN, outcome.failure().verdict)

    def test_budget_ends_retries(self):
        for _ in range(30):
            self.send(
                [refuse(Verdict.NOT_RUN, 'upstream_refused')] * 3,
                idempotent=True,
            )
        retries = len(self.tried) - 30
        self.assertLessEqual(retries, 30 * 0.2 + 5)

    def test_no_upstream_is_not_run(self):
        self.router.pool.replace([], ())
        refusal = self.send([]).failure()
        self.assertEqual(
            (Verdict.NOT_RUN, 'no_upstream'), (refusal.verdict, refusal.code)
        )

    def test_budget_refills_with_first_attempts(self):
        saved = budget.RetryBudget()
        while saved.withdraw():
            pass
        for _ in range(5):
            saved.deposit(0.2)
        self.assertTrue(saved.withdraw())
        self.assertFalse(saved.withdraw())


if __name__ == '__main__':
    unittest.main()
