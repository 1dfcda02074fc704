"""Test the scheduling decisions without a network."""

import collections
import unittest

from baobabpond.pool import load_planner
from baobabpond.pool import migration_policy
from baobabpond.pool import placement
from baobabpond.pool import priority
from baobabpond.pool import version_policy


class PriorityTest(unittest.TestCase):
    """Prioritise waiting items."""

    def test_least_slack_goes_first(self) -> None:
        """A long item goes before a short one of the same batch."""
        long = priority.WaitingItem(7.5, 5.0, 1)
        short = priority.WaitingItem(7.5, 0.5, 1)
        self.assertLess(priority.rank(long), priority.rank(short))

    def test_items_that_miss_the_due_time_go_last(self) -> None:
        """Items that cannot meet the due time wait for those that can."""
        late = priority.WaitingItem(1.0, 6.0, 1)
        on_time = priority.WaitingItem(7.0, 0.5, 8)
        self.assertLess(priority.rank(on_time), priority.rank(late))

    def test_nearly_complete_groups_break_ties(self) -> None:
        """Of two equal items, the one whose group lacks fewer goes first."""
        few = priority.WaitingItem(5.0, 1.0, 1)
        many = priority.WaitingItem(5.0, 1.0, 8)
        self.assertLess(priority.rank(few), priority.rank(many))


class ScarceRequestsTest(unittest.TestCase):
    """Share few requests among the groups of a batch."""

    GROUPS = 4
    SIZE = 8

    def complete_groups(self, requests: int, is_limited: bool) -> int:
        """Start items one by one; return how many groups are complete."""
        waiting = [
            (group, number)
            for group in range(self.GROUPS)
            for number in range(self.SIZE)
        ]

        def rank(item: tuple[int, int]) -> tuple[float, ...]:
            group, number = item
            return priority.rank(
                priority.WaitingItem(
                    7.5,
                    1.0 + number / self.SIZE,
                    self.SIZE,
                    sum(other == group for other, _ in waiting),
                    is_limited,
                )
            )

        for _ in range(requests):
            waiting.remove(min(waiting, key=rank))
        incomplete = {group for group, _ in waiting}
        return self.GROUPS - len(incomplete)

    def test_scarce_requests_complete_some_groups(self) -> None:
        """Half of the requests complete half of the groups."""
        self.assertEqual(2, self.complete_groups(16, True))
        self.assertEqual(0, self.complete_groups(16, False))


class PlacementTest(unittest.TestCase):
    """Choose upstreams."""

    def candidate(
        self, upstream: str, **changes: object
    ) -> placement.Candidate:
        """Return a candidate with some fields changed."""
        usual = placement.Candidate(upstream, 0.05, 0, 12, False)
        return usual._replace(**changes)

    def test_full_upstreams_are_not_chosen(self) -> None:
        """No upstream is chosen if none has a free slot."""
        self.assertIsNone(placement.choose([self.candidate('a', running=12)]))

    def test_upstreams_with_a_limit_of_requests_come_last(self) -> None:
        """They are used once all others are full."""
        limited = self.candidate('a', is_limited=True)
        slow = self.candidate('b', gap_s=0.2, running=11)
        self.assertEqual('b', placement.choose([limited, slow]))
        full = slow._replace(running=12)
        self.assertEqual('a', placement.choose([limited, full]))

    def test_memory_spreads_the_runs(self) -> None:
        """Runs that would preempt each other for memory go elsewhere.

        If there is no other upstream they run in turns: no item waits while
        slots are free.
        """
        tight = self.candidate('tight', running=3, memory_usage=1.7)
        roomy = self.candidate(
            'roomy', running=9, memory_usage=0.9, gap_s=0.06
        )
        tighter = self.candidate('tighter', running=3, memory_usage=1.9)
        self.assertEqual('roomy', placement.choose([tight, roomy]))
        self.assertEqual('tight', placement.choose([tighter, tight]))
        # An item that exceeds the memory of any upstream still runs, alone.
        alone = self.candidate('alone', memory_usage=1.9)
        self.assertEqual('alone', placement.choose([tight, alone]))

    def test_fast_upstream_beats_a_slow_one_with_more_free_slots(self) -> None:
        """Speed weighs more than a few free slots."""
        chosen = placement.choose(
            [
                self.candidate('slow', gap_s=0.15),
                self.candidate('fast', running=8),
            ]
        )
        self.assertEqual('fast', chosen)

    def test_runs_beyond_the_learnt_limit_go_elsewhere(self) -> None:
        """Slots beyond it are used rather than none."""
        at_limit = self.candidate('at limit', running=4, limit=4.0)
        slower = self.candidate('slower', running=4, gap_s=0.07)
        self.assertEqual('slower', placement.choose([at_limit, slower]))
        self.assertEqual('at limit', placement.choose([at_limit]))

    def test_reported_slowness_decides_between_equals_only(self) -> None:
        """A report, which may be false, does not outweigh learnt speed."""
        reported = self.candidate('reported slow', present_factor=3.0)
        equal = self.candidate('equal')
        slower = self.candidate('slower', gap_s=0.1)
        self.assertEqual('equal', placement.choose([reported, equal]))
        self.assertEqual('reported slow', placement.choose([reported, slower]))

    def test_cached_prefix_is_preferred_within_a_bound(self) -> None:
        """A cached prefix decides between equals, not against a faster one."""
        holder = self.candidate('holder', has_cached_prefix=True, running=2)
        self.assertEqual(
            'holder', placement.choose([self.candidate('other'), holder])
        )
        slow_holder = holder._replace(gap_s=0.1)
        self.assertEqual(
            'other', placement.choose([self.candidate('other'), slow_holder])
        )


class VersionPolicyTest(unittest.TestCase):
    """Decide on outputs whose software version is short."""

    def reason(self, **changes: object) -> str:
        """Return why an output that has just stopped is restarted."""
        usual = version_policy.WaitingOutput(0.0, True, True)
        return version_policy.restart_reason(usual._replace(**changes))

    def test_output_whose_version_is_gone_is_restarted_at_once(self) -> None:
        """A complete output is owed."""
        self.assertTrue(self.reason(is_version_in_service=False))

    def test_output_waits_a_moment_for_its_version(self) -> None:
        """Then it is restarted if another version has room."""
        self.assertEqual('', self.reason())
        self.assertTrue(self.reason(waited_s=1.0))
        self.assertEqual('', self.reason(waited_s=1.0, has_other_room=False))


class MigrationPolicyTest(unittest.TestCase):
    """Migrate runs."""

    USUAL = migration_policy.RunState(True, 0.02, 0.05, 2.5, 40.0, 0, 0.05)

    def test_silent_run_is_stalled(self) -> None:
        """Until the first event the longer limit from the start applies."""
        self.assertFalse(migration_policy.is_stalled(self.USUAL))
        self.assertTrue(
            migration_policy.is_stalled(self.USUAL._replace(silence_s=0.7))
        )
        waiting = self.USUAL._replace(has_begun=False, silence_s=0.7)
        self.assertFalse(migration_policy.is_stalled(waiting))
        self.assertTrue(
            migration_policy.is_stalled(waiting._replace(silence_s=1.1))
        )

    def test_slow_upstream_gets_a_longer_limit(self) -> None:
        """Events that are usually far apart do not count as a stall."""
        slow = self.USUAL._replace(gap_s=0.3, silence_s=0.9)
        self.assertFalse(migration_policy.is_stalled(slow))

    def test_slow_run_migrates_if_it_saves_time(self) -> None:
        """A run migrates to a faster upstream unless it is nearly done."""
        slow = self.USUAL._replace(gap_s=0.15)
        self.assertTrue(migration_policy.should_migrate(slow))
        self.assertFalse(
            migration_policy.should_migrate(
                slow._replace(remaining_events=2.0)
            )
        )
        self.assertFalse(
            migration_policy.should_migrate(slow._replace(best_gap_s=None))
        )
        self.assertFalse(
            migration_policy.should_migrate(slow._replace(migrations=3))
        )
        self.assertFalse(
            migration_policy.should_migrate(slow._replace(observed_s=0.6))
        )

    def test_noise_is_no_stall(self) -> None:
        """Events that are 2.5 times as far apart as usual are noise."""
        for gap_s in (0.02, 0.1, 0.3, 0.8):
            noisy = self.USUAL._replace(gap_s=gap_s, silence_s=2.5 * gap_s)
            self.assertFalse(migration_policy.is_stalled(noisy))
            silent = noisy._replace(silence_s=0.65 + 4 * gap_s)
            self.assertTrue(migration_policy.is_stalled(silent))

    def test_cost_counts_against_the_saving(self) -> None:
        """A long prompt, which is read again, keeps a run where it is."""
        slow = self.USUAL._replace(gap_s=0.1, remaining_events=12.0)
        self.assertEqual(migration_policy.SLOW, migration_policy.decide(slow))
        long_prompt = slow._replace(tokens=20_000)
        self.assertEqual('', migration_policy.decide(long_prompt))

    def test_waiting_items_get_the_free_slots(self) -> None:
        """A run that will be late where it is still leaves."""
        slow = self.USUAL._replace(
            gap_s=0.08, due_in_s=7.0, has_waiting_items=True
        )
        self.assertEqual('', migration_policy.decide(slow))
        for changed in (
            slow._replace(has_waiting_items=False),
            slow._replace(due_in_s=3.0),
        ):
            self.assertEqual(
                migration_policy.SLOW, migration_policy.decide(changed)
            )

    def test_upstream_keeps_half_of_its_runs(self) -> None:
        """A slow upstream must not lose all of its runs at once."""
        slow = self.USUAL._replace(gap_s=0.15, running=4)
        self.assertTrue(migration_policy.should_migrate(slow))
        half = slow._replace(running=2, departed=2)
        self.assertFalse(migration_policy.should_migrate(half))


class LoadPlannerTest(unittest.TestCase):
    """Plan loads."""

    def candidates(self, *versions: int) -> list[load_planner.LoadCandidate]:
        """Return upstreams that serve the given versions of one model."""
        return [
            load_planner.LoadCandidate(
                f'u{number}', {'m': version}, False, True, 0, 12
            )
            for number, version in enumerate(versions)
        ]

    def test_without_staleness_a_batch_waits_for_few_loads(self) -> None:
        """Each of three models loads only on upstreams that its batch fills.

        Seven upstreams of 12 slots, batches of 24 items.
        """
        candidates = [
            load_planner.LoadCandidate(
                f'u{number}', {'a': 1, 'b': 1, 'c': 1}, False, True, 0, 12
            )
            for number in range(7)
        ]
        targets = [load_planner.Target(name, 2, 0, 0, 24) for name in 'abc']
        planned = load_planner.plan(candidates, targets, 99)
        self.assertEqual(
            {'a': 2, 'b': 2, 'c': 2},
            collections.Counter(load.model for load in planned),
        )

    def test_without_staleness_a_large_batch_loads_everywhere(self) -> None:
        """One model whose batch fills all upstreams loads on all."""
        target = load_planner.Target('m', 2, 0, 0, 120)
        planned = load_planner.plan(self.candidates(*[1] * 6), [target], 99)
        self.assertEqual(6, len(planned))

    def test_oldest_load_first_and_few_at_once(self) -> None:
        """Upstreams too stale to serve load before those that still can."""
        target = load_planner.Target('m', 5, 1, 30)
        planned = load_planner.plan(
            self.candidates(4, 3, 4, 3, 4, 3), [target], max_loads=2
        )
        self.assertEqual(['u1', 'u3'], [load.upstream for load in planned])
        self.assertEqual({5}, {load.version for load in planned})

    def test_with_staleness_only_a_share_loads(self) -> None:
        """Three models and a staleness of one: half the upstreams load."""
        target = load_planner.Target('m', 5, 1, 30)
        others = [load_planner.Target(name, 1, 1, 0) for name in 'xy']
        candidates = [
            candidate._replace(versions={**candidate.versions, 'x': 1, 'y': 1})
            for candidate in self.candidates(4, 5, 4, 5, 4, 5)
        ]
        self.assertEqual(
            [], load_planner.plan(candidates, [target, *others], 2)
        )

    def test_without_staleness_all_load(self) -> None:
        """A trainer that needs the newest version gets it everywhere."""
        target = load_planner.Target('m', 5, 0, 30)
        planned = load_planner.plan(self.candidates(5, 5, 4), [target], 3)
        self.assertEqual(['u2'], [load.upstream for load in planned])

    def test_upstreams_with_a_limit_of_requests_load_last(self) -> None:
        """A load takes requests that runs need."""
        limited, other = self.candidates(1, 1)
        planned = load_planner.plan(
            [limited._replace(is_limited=True), other],
            [load_planner.Target('m', 2, 1, 1)],
            1,
        )
        self.assertEqual([other.upstream], [load.upstream for load in planned])

    def test_one_order_per_upstream(self) -> None:
        """An upstream that loads one model gets no order for another."""
        targets = [
            load_planner.Target('m', 2, 0, 9),
            load_planner.Target('x', 2, 0, 9),
        ]
        candidates = [
            load_planner.LoadCandidate(
                'u0', {'m': 1, 'x': 1}, False, True, 0, 12
            ),
            load_planner.LoadCandidate(
                'u1', {'m': 1, 'x': 1}, True, True, 0, 12
            ),
            load_planner.LoadCandidate(
                'u2', {'m': 1, 'x': 1}, False, False, 0, 12
            ),
        ]
        planned = load_planner.plan(candidates, targets, 3)
        self.assertEqual(['u0'], [load.upstream for load in planned])

    def test_model_most_short_of_slots_loads_first(self) -> None:
        """The model with the highest demand for its slots loads first."""
        candidates = [
            load_planner.LoadCandidate(
                'u0', {'m': 1, 'x': 1}, False, True, 0, 12
            )
        ]
        targets = [
            load_planner.Target('m', 2, 0, 1),
            load_planner.Target('x', 2, 0, 50),
        ]
        planned = load_planner.plan(candidates, targets, 1)
        self.assertEqual(['x'], [load.model for load in planned])
