"""Test what is known of upstreams, ejection and choice."""

import itertools
import random
import unittest

import freezegun

from baobabpond import metrics
from baobabpond.routing import balancing
from baobabpond.routing import upstreams
from baobabpond import verdicts
from test import helpers

Verdict = verdicts.Verdict


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


class BalancingTest(unittest.TestCase):
    """Choose among candidates."""

    def setUp(self):
        self.states = [helpers.upstream_state(f'u{n}') for n in range(4)]

    def pick(self, name, key='', **overrides):
        context = balancing.BalancingContext(
            helpers.settings(**overrides),
            key,
            random.Random(1),
            itertools.count(),
        )
        return balancing.policies.get(name)(self.states, context)

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
            balancing.policies.names,
        )


if __name__ == '__main__':
    unittest.main()
