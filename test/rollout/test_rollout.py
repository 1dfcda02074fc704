"""Test steps, cursors, staleness and second attempts."""

import threading
import time
import unittest

from baobabpond import metrics
from baobabpond.rollout import session
from baobabpond.rollout import specs
from baobabpond.rollout import step
from test import helpers

WAIT_S = 10.0


def make_spec(number=1, groups=4, samples=2, max_tokens=10):
    """Return a step's specification."""
    return specs.parse_step(
        number,
        {
            'groups': [
                {
                    'name': f'g{index}',
                    'prompt': 'p',
                    'samples': samples,
                    'max_tokens': max_tokens,
                }
                for index in range(groups)
            ]
        },
    ).unwrap()


def sample(*versions):
    """Return a complete sample."""
    return step.Sample('t', 10, versions or (1,), time.monotonic())


class SpecTest(unittest.TestCase):
    """Parse specifications of steps, and cursors."""

    def test_invalid_steps_are_refused_with_the_path_of_the_field(self):
        group = {'name': 'g', 'prompt': 'p', 'samples': 1, 'max_tokens': 1}
        for groups, path in (
            ([], 'groups'),
            ([{**group, 'samples': 0}], 'groups/0'),
            ([group, {**group, 'prompt': 3}], 'groups/1'),
            ([group, group], 'groups'),
        ):
            refusal = specs.parse_step(1, {'groups': groups}).failure()
            self.assertTrue(refusal.message.startswith(path))

    def test_cursor_round_trips_through_text(self):
        spec = make_spec()
        cursor = specs.Cursor(spec.digest, 0).with_group(3).with_group(0)
        parsed = specs.parse_cursor(str(cursor), spec).unwrap()
        self.assertEqual(cursor, parsed)
        self.assertTrue(parsed.includes(3) and not parsed.includes(1))

    def test_malformed_cursors_and_those_of_another_step_are_refused(self):
        spec = make_spec()
        other = str(specs.Cursor(make_spec(number=2).digest, 1))
        malformed = ('x', f'{spec.digest}.zz', f'{spec.digest}.ffff', 3, other)
        for text in malformed:
            refusal = specs.parse_cursor(text, spec).failure()
            self.assertEqual('bad_step', refusal.code)


class SessionTest(unittest.TestCase):
    """Run a session with a fake generator."""

    def setUp(self):
        self.versions = (1,)
        self.settings = helpers.settings(step_concurrency=4)
        self.started = []
        self.metrics = metrics.Metrics()
        self.may_finish = threading.Event()
        self.may_finish.set()
        self.first_attempt_hangs = False
        self.ejected = False
        self.fails_at_first = False
        self.session = session.Session(
            lambda: self.settings,
            self.generate,
            lambda _upstream: self.ejected,
            self.metrics,
        )
        self.addCleanup(self.session.stop)
        self.addCleanup(self.may_finish.set)

    def generate(self, attempt, _minimum_version):
        self.started.append(attempt)
        if self.fails_at_first and len(self.started) <= 6:
            raise RuntimeError('broken')
        attempt.upstream = 'u'
        key = (attempt.slot.group, attempt.slot.index)
        is_first_attempt = len(attempt.slot.attempts) == 1
        if self.first_attempt_hangs and key == (0, 0) and is_first_attempt:
            while not attempt.cancelled:
                time.sleep(0.01)
            return None
        time.sleep(0.002)
        self.may_finish.wait()
        return sample(*self.versions)

    def pull(self, cursor='', version=1, number=1, groups=64, wait_s=WAIT_S):
        return self.session.pull(
            number, cursor, version, groups, time.monotonic() + wait_s
        )

    def pull_all(self, version=1, cursor=''):
        names = []
        while True:
            batch = self.pull(cursor, version, groups=1).unwrap()
            names += [group.name for group in batch.groups]
            cursor = str(batch.cursor)
            if batch.done:
                return names

    def test_each_group_is_delivered_once(self):
        self.session.open(make_spec(), 1)
        self.session.open(make_spec(), 1)
        self.assertEqual(['g0', 'g1', 'g2', 'g3'], sorted(self.pull_all()))

    def test_attempt_that_raises_is_retried(self):
        self.fails_at_first = True
        self.session.open(make_spec(), 1)
        self.assertEqual(4, len(self.pull_all()))
        self.assertEqual(6, self.metrics.counter('rollout.internal_errors'))

    def test_pull_with_the_same_cursor_returns_the_same_groups(self):
        self.session.open(make_spec(), 1)
        first = self.pull(groups=1).unwrap()
        repeated = self.pull(groups=1).unwrap()
        self.assertEqual(first, repeated)

    def test_pull_from_an_unknown_step_is_refused(self):
        self.assertEqual('step_not_open', self.pull().failure().code)

    def test_new_owner_continues_from_the_cursor(self):
        self.session.open(make_spec(), 1)
        batch = self.pull(groups=2).unwrap()
        while len(batch.groups) < 2:
            batch = self.pull(groups=2).unwrap()
        other = session.Session(
            lambda: self.settings,
            self.generate,
            lambda _upstream: self.ejected,
            self.metrics,
        )
        self.addCleanup(other.stop)
        other.open(make_spec(), 1)
        self.session = other
        remaining_names = self.pull_all(cursor=str(batch.cursor))
        names = [group.name for group in batch.groups] + remaining_names
        self.assertEqual(['g0', 'g1', 'g2', 'g3'], sorted(names))

    def test_stale_samples_are_regenerated(self):
        self.settings['staleness_bound'] = 1
        self.session.open(make_spec(), 1)
        self.pull(version=1)
        self.versions = (4, 5)
        batch = self.pull(version=5).unwrap()
        for group in batch.groups:
            self.assertTrue(all(s.lag(5) <= 1 for s in group.samples))
        self.assertGreater(self.metrics.counter('rollout.stale_dropped'), 0)

    def test_sample_that_is_stale_when_generated_is_dropped(self):
        self.settings['staleness_bound'] = 0
        self.session.open(make_spec(groups=1), 3)
        batch = self.pull(version=3, wait_s=0.3).unwrap()
        self.assertEqual([], batch.groups)
        self.versions = (3,)
        self.assertEqual(1, len(self.pull(version=3).unwrap().groups))

    def test_later_steps_start_only_within_the_staleness_bound(self):
        self.settings.update(staleness_bound=0, run_ahead_steps=1)
        self.session.open(make_spec(number=1, groups=1), 1)
        self.session.open(make_spec(number=2, groups=1), 1)
        self.pull_all()
        time.sleep(0.2)
        numbers = {a.slot.step.spec.number for a in self.started}
        self.assertEqual({1}, numbers)
        self.settings['staleness_bound'] = 1
        deadline = time.monotonic() + WAIT_S
        while 2 not in numbers and time.monotonic() < deadline:
            time.sleep(0.02)
            numbers = {a.slot.step.spec.number for a in self.started}
        self.assertIn(2, numbers)

    def test_next_step_starts_once_its_version_is_announced(self):
        self.settings.update(staleness_bound=0, run_ahead_steps=0)
        self.session.open(make_spec(number=1, groups=1), 1)
        self.session.open(make_spec(number=2, groups=1), 1)
        self.wait_started({1})
        self.versions = (2,)
        self.session.announce(2)
        self.wait_started({1, 2})

    def wait_started(self, numbers):
        deadline = time.monotonic() + WAIT_S
        started_numbers = set()
        while started_numbers != numbers and time.monotonic() < deadline:
            time.sleep(0.02)
            started_numbers = {a.slot.step.spec.number for a in self.started}
        self.assertEqual(numbers, started_numbers)

    def test_straggler_gets_a_second_attempt_and_the_loser_is_cancelled(self):
        self.settings['straggler_budget'] = 0.1
        self.first_attempt_hangs = True
        self.session.open(make_spec(groups=10, samples=4), 1)
        self.assertEqual(10, len(self.pull_all()))
        self.assertEqual(1, self.metrics.counter('rollout.second_attempts'))

    def test_attempt_at_an_ejected_upstream_is_repeated_at_once(self):
        self.settings['straggler_factor'] = 100
        self.first_attempt_hangs = True
        self.ejected = True
        self.session.open(make_spec(groups=10, samples=4), 1)
        self.assertEqual(10, len(self.pull_all()))

    def test_second_attempts_stay_within_the_straggler_budget(self):
        self.settings['straggler_budget'] = 0.0
        self.first_attempt_hangs = True
        self.session.open(make_spec(groups=10, samples=4), 1)
        time.sleep(0.5)
        self.assertEqual(0, self.metrics.counter('rollout.second_attempts'))


if __name__ == '__main__':
    unittest.main()
