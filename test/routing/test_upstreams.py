"""Test load estimates, outlier ejection and load balancing."""

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
    """Test load estimates, slow start and ejection periods."""

    def test_load_includes_requests_sent_since_the_report(self):
        state = helpers.upstream_state('u')
        state.record_sent()
        state.record_load(upstreams.LoadReport(5, 2))
        state.record_sent()
        state.record_sent()
        self.assertEqual(9, state.load())
        state.record_finished(False)
        self.assertEqual(8, state.load())

    def test_change_since_the_report_is_scaled_by_sharing_instances(self):
        state = helpers.upstream_state('u')
        state.sharing_instances = 8
        state.record_load(upstreams.LoadReport(0, 0))
        state.record_sent()
        self.assertEqual(8, state.load())
        state.record_load(upstreams.LoadReport(4, 0))
        self.assertEqual(4, state.load())

    def test_expired_report_is_ignored(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            state.record_load(upstreams.LoadReport(50, 0))
            clock.tick(11)
            self.assertEqual(0, state.load())

    def test_score_is_raised_during_slow_start_after_an_ejection(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            state.eject(3)
            self.assertTrue(state.ejected)
            clock.tick(3.5)
            self.assertFalse(state.ejected)
            early = state.score(5)
            clock.tick(10)
            self.assertGreater(early, 5 * state.score(5))

    def test_ejection_period_doubles_until_it_is_reset(self):
        with freezegun.freeze_time() as clock:
            state = helpers.upstream_state('u')
            for seconds in (3, 6):
                state.eject(3)
                clock.tick(seconds - 0.1)
                self.assertTrue(state.ejected)
                clock.tick(0.2)
                self.assertFalse(state.ejected)
            clock.tick(61)
            state.record_sent()
            state.record_finished(False)
            state.eject(3)
            clock.tick(3.1)
            self.assertFalse(state.ejected)


class EjectionTest(unittest.TestCase):
    """Test outlier ejection and its cap."""

    def setUp(self):
        self.upstream_set = upstreams.UpstreamSet(
            'd/s', metrics.Metrics(), random.Random(1)
        )
        upstream_list = [
            helpers.upstream_state(f'u{n}').upstream for n in range(4)
        ]
        self.upstream_set.replace(upstream_list, ())
        self.settings = helpers.settings()

    def fail(self, name, times=3):
        state = self.upstream_set.get(name)
        for _ in range(times):
            state.record_sent()
            self.upstream_set.record_finished(state, True, self.settings)

    def test_consecutive_failures_eject(self):
        self.fail('u0', 2)
        self.assertEqual(4, len(self.upstream_set.usable()))
        self.fail('u0', 1)
        self.assertEqual(3, len(self.upstream_set.usable()))

    def test_share_of_ejected_upstreams_is_capped(self):
        for name in ('u0', 'u1', 'u2', 'u3'):
            self.fail(name)
        self.assertEqual(2, len(self.upstream_set.usable()))

    def test_slow_upstream_is_ejected(self):
        for _ in range(20):
            for index in range(4):
                state = self.upstream_set.get(f'u{index}')
                latency_s = 1.0 if index == 0 else 0.1
                self.upstream_set.record_latency(
                    state, latency_s, self.settings
                )
        self.assertNotIn(
            self.upstream_set.get('u0'), self.upstream_set.usable()
        )

    def test_slower_upstream_has_a_higher_score(self):
        for _ in range(20):
            for index in range(4):
                state = self.upstream_set.get(f'u{index}')
                latency_s = 0.3 if index == 0 else 0.1
                self.upstream_set.record_latency(
                    state, latency_s, self.settings
                )
        slow, usual = self.upstream_set.get('u0'), self.upstream_set.get('u1')
        self.assertFalse(slow.ejected)
        self.assertGreater(slow.score(0), 2 * usual.score(0))

    def test_leaving_upstream_is_never_used(self):
        upstream_list = [
            state.upstream for state in self.upstream_set.states()
        ]
        self.upstream_set.replace(upstream_list, {f'u{n}' for n in range(4)})
        self.assertEqual([], self.upstream_set.usable())


class BalancingTest(unittest.TestCase):
    """Test the load-balancing policies."""

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
            self.states[0].record_sent()
        picked = {self.pick('two_choices') for _ in range(50)}
        self.assertNotIn(self.states[0], picked)

    def test_affinity_applies_up_to_the_load_bound(self):
        first = self.pick('prefix_affinity', 'prompt')
        self.assertIs(first, self.pick('prefix_affinity', 'prompt'))
        for _ in range(10):
            first.record_sent()
        self.assertIsNot(first, self.pick('prefix_affinity', 'prompt'))

    def test_all_policies_are_registered(self):
        self.assertEqual(
            ['prefix_affinity', 'round_robin', 'two_choices'],
            balancing.policies.names,
        )


if __name__ == '__main__':
    unittest.main()
