"""Test what an instance tells others about the upstreams it reaches."""

import socket
import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond.gen.peer import ttypes
from baobabpond import metrics
from baobabpond.ports import catalogue
from baobabpond.reachability import peers
from baobabpond.reachability import prober
from baobabpond.reachability import tracker as tracker_module
from baobabpond.upstreams import connections

ADDRESS = '127.0.0.1'
RELAY_PORT = 7


class ReachHandlerTest(unittest.TestCase):
    """Ask about an upstream to which a connection succeeded just now."""

    def setUp(self) -> None:
        """Create a listener and a handler that knows of it."""
        self.listener = socket.create_server((ADDRESS, 0))
        self.addCleanup(self.listener.close)
        port = self.listener.getsockname()[1]
        self.entry = catalogue.UpstreamEntry(
            'i-1', 'orders', ADDRESS, port, 'a', 6, False, 1, {}
        )
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.entries.return_value = [self.entry]
        self.tracker = tracker_module.PathTracker()
        self.pool = connections.ConnectionPool(metrics.Metrics())
        self.addCleanup(self.pool.close_idle, (ADDRESS, port))
        self.handler = peers.ReachHandler(
            directory,
            self.tracker,
            prober.Prober(self.pool, self.tracker, metrics.Metrics()),
            RELAY_PORT,
            metrics.Metrics(),
        )
        self.tracker.record_connected(self.entry)
        self.tracker.record_heard(self.entry)

    def ask(self, born: int = 1) -> ttypes.ReachedUpstreams:
        """Ask whether an incarnation is reached."""
        return self.handler.find_reached([ttypes.UpstreamKey('i-1', born)])

    def test_upstream_that_lives(self) -> None:
        """It is connected to, and the age of that is told."""
        answer = self.ask()
        self.assertEqual(['i-1'], answer.reached)
        self.assertLess(answer.ages_ms[0], peers.MS_PER_S)

    def test_upstream_that_ended_after_the_last_connection(self) -> None:
        """What was known before it ended does not count."""
        self.listener.close()
        self.assertEqual([], self.ask().reached)

    def test_another_incarnation(self) -> None:
        """Its registration differs from the one asked about."""
        self.assertEqual([], self.ask(born=2).reached)
