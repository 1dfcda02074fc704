"""Test which way requests take to an upstream."""

import time
import unittest
from unittest import mock

from baobabpond import metrics
from baobabpond.reachability import monitor as monitor_module
from baobabpond.reachability import peers
from baobabpond.reachability import tracker as tracker_module
from baobabpond.relaying import paths as paths_module
from baobabpond.upstreams import connections
from test.ratelimits import examples

NEAR = peers.ReachReport('near', 'dc', ('near', 1), frozenset({'u'}))
FAR = peers.ReachReport('far', 'other', ('far', 1), frozenset({'u'}))


class PathsTest(unittest.TestCase):
    """An instance that may be cut off from the service of an upstream."""

    def setUp(self) -> None:
        """Create the paths of an instance that is cut off."""
        self.entry = examples.entry()
        self.tracker = tracker_module.PathTracker()
        self.monitor = mock.create_autospec(
            monitor_module.ReachMonitor, instance=True
        )
        self.cut_off_with(NEAR, FAR)
        self.paths = paths_module.Paths(
            connections.ConnectionPool(metrics.Metrics()),
            self.monitor,
            self.tracker,
            'dc',
            metrics.Metrics(),
        )

    def cut_off_with(self, *reports: peers.ReachReport) -> None:
        """Let some instances reach the service."""
        now = time.monotonic()
        self.monitor.cut_from.side_effect = lambda service: monitor_module.Cut(
            now, now, now, reports
        )

    def acquire(self) -> connections.Connection:
        """Return a connection for a request."""
        return self.paths.acquire(self.entry, 'r')

    def test_instance_that_is_not_cut_off_connects_directly(self) -> None:
        """A single upstream that fails is ejected, not relayed to."""
        self.monitor.cut_from.side_effect = lambda service: None
        self.tracker.record_unreachable(self.entry)
        self.assertTrue(self.acquire().is_direct)

    def test_cut_instance_sends_through_others(self) -> None:
        """They share the requests."""
        used = [self.acquire().address for _ in range(10)]
        self.assertEqual(5, used.count(NEAR.relay_address))
        self.assertEqual(5, used.count(FAR.relay_address))

    def test_upstream_that_is_reached_again_is_used_directly(self) -> None:
        """The service as a whole may still be out of reach."""
        self.tracker.record_connected(self.entry)
        self.assertTrue(self.acquire().is_direct)

    def test_request_without_any_path_fails_at_once(self) -> None:
        """Nothing is sent, and no time-out passes."""
        self.cut_off_with()
        started_at = time.monotonic()
        with self.assertRaises(connections.ConnectionFailed):
            self.acquire().connect()
        self.assertLess(time.monotonic() - started_at, 0.1)

    def test_instance_that_failed_is_avoided(self) -> None:
        """Requests go through the other one for a while."""
        self.cut_off_with(NEAR)
        connection = self.acquire()
        with (
            mock.patch.object(
                connections.Connection,
                'connect',
                autospec=True,
                side_effect=connections.ConnectionFailed('silent'),
            ),
            self.assertRaises(connections.ConnectionFailed),
        ):
            connection.connect()
        self.cut_off_with(NEAR, FAR)
        used = {self.acquire().address for _ in range(10)}
        self.assertEqual({FAR.relay_address}, used)
