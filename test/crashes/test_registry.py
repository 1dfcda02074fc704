"""Test how many crashes make a request a suspect, or refused."""

import unittest

import freezegun

from baobabpond.crashes import registry as registry_module

from . import examples

Standing = registry_module.Standing
# The registration of an upstream that has ended lapses within this time.
LAPSE_S = 5.2


class StandingTest(unittest.TestCase):
    """Add crashes under one request."""

    def setUp(self) -> None:
        """Stop the clock and create an empty registry."""
        clock = freezegun.freeze_time()
        self.clock = clock.start()
        self.addCleanup(clock.stop)
        self.registry = registry_module.CrashRegistry()

    def add(self, count: int, digest: str = 'poison') -> None:
        """Add crashes of different upstreams."""
        for number in range(count):
            self.registry.add(examples.crash(digest, f'i-{number}'))

    def assert_standing(
        self, expected: Standing, digest: str = 'poison'
    ) -> None:
        """Check how a request may be run."""
        self.assertIs(expected, self.registry.standing(digest))

    def test_third_crash_refuses_a_request(self) -> None:
        """Fewer make it a suspect; others are not affected."""
        self.assert_standing(Standing.CLEAR)
        self.add(2)
        self.assert_standing(Standing.SUSPECT)
        self.add(3)
        self.assert_standing(Standing.REFUSED)
        self.assert_standing(Standing.CLEAR, 'innocent')

    def test_crash_reported_twice_counts_once(self) -> None:
        """Several instances, or runs, see the end of one incarnation."""
        for _ in range(4):
            self.registry.add(examples.crash('poison', 'i-1'))
            self.registry.confirm(examples.crash('poison', 'i-1'))
        self.assertEqual(1, self.registry.crash_count('poison'))

    def test_replaced_upstream_counts_anew(self) -> None:
        """Incarnations that follow one another are different ones."""
        for born in (1, 2, 3):
            self.registry.add(examples.crash('poison', 'i-1', born))
        self.assert_standing(Standing.REFUSED)
        self.assertTrue(self.registry.has_ended(('i-1', 3)))
        self.assertFalse(self.registry.has_ended(('i-1', 4)))

    def test_upstream_taken_for_ended_is_tried_again(self) -> None:
        """A partition that refuses connections looks like an end."""
        self.registry.add(examples.crash('poison', 'i-1'))
        self.assertTrue(self.registry.has_ended(('i-1', 1)))
        self.clock.tick(LAPSE_S)
        self.assertTrue(self.registry.has_ended(('i-1', 1)))
        self.clock.tick(LAPSE_S)
        self.assertFalse(self.registry.has_ended(('i-1', 1)))
        self.assert_standing(Standing.SUSPECT)

    def test_completed_run_clears_a_request(self) -> None:
        """Its crashes are returned, so that others forget them too."""
        self.add(2)
        self.assertEqual(2, len(self.registry.clear('poison')))
        self.assert_standing(Standing.CLEAR)
        self.assertEqual([], self.registry.clear('poison'))

    def test_trial_after_the_refusal(self) -> None:
        """A request is a suspect again once its last crash is long ago."""
        self.add(3)
        self.clock.tick(registry_module.REFUSAL_S - 1)
        self.assert_standing(Standing.REFUSED)
        self.clock.tick(2)
        self.assert_standing(Standing.SUSPECT)
        self.registry.add(examples.crash('poison', 'i-trial'))
        self.assert_standing(Standing.REFUSED)

    def test_crashes_are_forgotten_with_age(self) -> None:
        """All of a request, counted from the last one."""
        self.add(2)
        self.clock.tick(registry_module.MEMORY_S - 1)
        self.registry.add(examples.crash('poison', 'i-late'))
        self.clock.tick(2)
        self.assertEqual([], self.registry.take_expired())
        self.clock.tick(registry_module.MEMORY_S)
        self.assertEqual(3, len(self.registry.take_expired()))
        self.assert_standing(Standing.CLEAR)

    def test_oldest_request_makes_room(self) -> None:
        """The number of requests is bounded, and what goes is returned."""
        for number in range(registry_module.MAX_REQUESTS):
            self.add(1, f'r{number}')
        self.registry.add(examples.crash('r0', 'i-again'))
        displaced = self.registry.add(examples.crash('new', 'i-0'))
        self.assertEqual([examples.crash('r1', 'i-0')], displaced)
        self.assert_standing(Standing.CLEAR, 'r1')
        self.assert_standing(Standing.SUSPECT, 'r0')
        self.assert_standing(Standing.SUSPECT, 'new')

    def test_request_with_more_crashes_stays(self) -> None:
        """Many that share an end with it do not push it out."""
        self.add(2)
        for number in range(2 * registry_module.MAX_REQUESTS):
            self.add(1, f'r{number}')
        self.assertEqual(2, self.registry.crash_count('poison'))

    def test_snapshot_keeps_what_the_log_does_not_have_yet(self) -> None:
        """Confirmed crashes that are gone from the log are forgotten."""
        self.registry.confirm(examples.crash('poison', 'i-old'))
        self.registry.confirm(examples.crash('poison', 'i-kept'))
        self.registry.add(examples.crash('poison', 'i-own'))
        self.registry.retain({examples.crash('poison', 'i-kept')})
        self.assertEqual(2, self.registry.crash_count('poison'))
