"""Simulate upstreams of uneven capacity, and compare with the first version.

The checks are what callers get: the share in time, items that wait while slots
are free, and the share of the runs that are cancelled.
"""

import collections
import statistics
import unittest
from unittest import mock

from standins.experiment import load as load_module
from standins.experiment import policies as policies_module
from standins.experiment import simulation

from baobabpond.pool import migration_policy
from baobabpond.pool import migrator
from baobabpond.pool import state

SEEDS = (1, 2, 3)
PRODUCT = policies_module.Policies()
FIRST_VERSION = PRODUCT._replace(
    capacity=policies_module.BASELINE,
    rescue='by_average',
    balancer=policies_module.BASELINE,
)
# Equal policies differ by this much with three seeds.
TOLERANCE = 0.05


def simulate(
    load: str, policies: policies_module.Policies
) -> list[simulation.Outcome]:
    """Return the outcomes of all seeds."""
    workload = load_module.workloads.get(load)
    return [simulation.simulate(workload, policies, seed) for seed in SEEDS]


class ItemsTest(unittest.TestCase):
    """Run the items of batches on samplers."""

    def check(self, load: str, max_cancelled: float) -> None:
        """Compare what trainers get with the first version."""
        outcomes = simulate(load, PRODUCT)
        first = simulate(load, FIRST_VERSION)
        self.assertGreater(
            statistics.mean(o.groups_in_time for o in outcomes),
            statistics.mean(o.groups_in_time for o in first) - TOLERANCE,
        )
        cancelled = statistics.mean(o.cancelled for o in outcomes)
        self.assertLess(cancelled, max_cancelled)
        self.assertLess(
            cancelled, statistics.mean(o.cancelled for o in first) / 2
        )
        self.assertEqual(0, sum(o.idle_waits for o in outcomes))

    def test_uneven(self) -> None:
        """Load uneven: one of four at 0.55, others at 1.2, with noise."""
        self.check('uneven', 0.03)

    def test_even(self) -> None:
        """Load even: noise alone is no reason to migrate."""
        self.check('even', 0.015)

    def test_false_reports(self) -> None:
        """Load false_reports: three of four claim to be fast and idle."""
        self.check('false_reports', 0.03)

    def test_knee(self) -> None:
        """Load knee: one of three slows down at half of its slots."""
        self.check('knee', 0.05)

    def test_speed_changes(self) -> None:
        """Load speed_changes: one of four is slow for eight seconds."""
        self.check('speed_changes', 0.06)

    def test_no_upstream_loses_all_of_its_runs_at_once(self) -> None:
        """Load speed_changes: at most half leave within a second."""
        departures: dict[str, list[float]] = collections.defaultdict(list)
        violations = []

        def record(
            self: migrator.Migrator,
            run: state.Run,
            reason: str,
            run_state: migration_policy.RunState,
        ) -> None:
            if reason == migration_policy.SLOW:
                departures[run.upstream.id].append(run_state.departed)
                runs = run_state.departed + run_state.running
                if run_state.departed + 1 > max(1, (runs + 1) // 2):
                    violations.append(run_state)
            migrate(self, run, reason, run_state)

        migrate = migrator.Migrator._migrate
        with mock.patch.object(migrator.Migrator, '_migrate', record):
            simulate('speed_changes', PRODUCT)
        self.assertTrue(departures)
        self.assertEqual([], violations)


class RequestsTest(unittest.TestCase):
    """Serve ordinary requests from instances that see few of them."""

    def check(self, load: str) -> None:
        """Compare the share within the target latency."""
        outcomes = simulate(load, PRODUCT)
        first = simulate(load, FIRST_VERSION)
        self.assertGreater(
            statistics.mean(o.lookups_in_aim for o in outcomes),
            statistics.mean(o.lookups_in_aim for o in first) - 0.02,
        )
        self.assertEqual(1.0, min(o.utility for o in outcomes))

    def test_few_requests(self) -> None:
        """Load edge: 86 instances with 6 requests a second in total."""
        self.check('edge')

    def test_many_requests(self) -> None:
        """Load edge_busy: near the capacity, with a slow upstream."""
        self.check('edge_busy')

    def test_equal_upstreams(self) -> None:
        """Load edge_even: nothing gets worse where all are alike."""
        self.check('edge_even')

    def test_false_reports(self) -> None:
        """Load edge_false: the slow one claims to be fast and idle."""
        self.check('edge_false')


if __name__ == '__main__':
    unittest.main()
