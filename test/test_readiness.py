"""Test when a starting instance is ready for callers."""

import time
import unittest
from unittest import mock

import freezegun

from baobabpond.catalogue import current as current_module
from baobabpond import readiness
from baobabpond.store import follower as follower_module


class ReadinessTest(unittest.TestCase):
    """Observe an instance that has read everything but the batches."""

    def setUp(self) -> None:
        """Create the observed parts and freeze the clock."""
        freezer = freezegun.freeze_time()
        self.clock = freezer.start()
        self.addCleanup(freezer.stop)
        self.catalogue = mock.create_autospec(
            follower_module.Follower, instance=True, has_caught_up=True
        )
        self.shard = mock.create_autospec(
            follower_module.Follower, instance=True, has_caught_up=False
        )
        self.readiness = readiness.Readiness(
            mock.create_autospec(
                current_module.CurrentConfiguration, instance=True
            ),
            [self.catalogue],
            self.shard,
        )

    def test_batches_delay_readiness_for_a_moment_only(self) -> None:
        """Ordinary requests do not need the batches."""
        self.assertFalse(self.readiness.is_ready)
        self.clock.tick(readiness.SHARD_LOAD_TIMEOUT_S + 0.01)
        self.assertTrue(self.readiness.is_ready)

    def test_instance_is_ready_once_the_batches_are_loaded(self) -> None:
        """No time passes if everything is read."""
        self.shard.has_caught_up = True
        self.assertTrue(self.readiness.is_ready)

    def test_catalogue_is_required_however_long_it_takes(self) -> None:
        """Without upstreams and members no caller can be served."""
        self.catalogue.has_caught_up = False
        started = time.monotonic()
        self.clock.tick(60)
        self.assertGreater(time.monotonic(), started)
        self.assertFalse(self.readiness.is_ready)
