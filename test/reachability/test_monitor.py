"""Test when an instance believes that it is cut off, and until when."""

import threading
import time
import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond import metrics
from baobabpond.reachability import monitor as monitor_module
from baobabpond.reachability import peers
from baobabpond.reachability import prober as prober_module
from baobabpond.reachability import sharing
from baobabpond.reachability import tracker as tracker_module
from test.ratelimits import examples

REPORT = peers.ReachReport('other', 'dc', ('h', 1), frozenset({'a', 'b', 'c'}))
SERVICE = 'orders'
WAIT_S = 5.0
PUBLISHING_S = 0.2


class MonitorTest(unittest.TestCase):
    """Three upstreams of one service; what can be reached is given."""

    def setUp(self) -> None:
        """Create a monitor of an instance that reaches nothing."""
        self.entries = [examples.entry(name) for name in 'abc']
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.usable.side_effect = lambda service: [
            entry for entry in self.entries if entry.service == service
        ]
        directory.entries.side_effect = lambda: self.entries
        self.reachable: set[str] = set()
        prober = mock.create_autospec(prober_module.Prober, instance=True)
        prober.probe.side_effect = self.probe
        self.tracker = tracker_module.PathTracker()
        self.peer_query = mock.create_autospec(peers.PeerQuery, instance=True)
        self.peer_query.ask.return_value = [REPORT]
        self.records = mock.create_autospec(sharing.CutRecords, instance=True)
        self.monitor = monitor_module.ReachMonitor(
            directory,
            self.tracker,
            prober,
            self.peer_query,
            self.records,
            metrics.Metrics(),
        )

    def probe(self, entries: list) -> prober_module.ProbeResult:
        """Return which of the upstreams are set to be reachable."""
        return prober_module.ProbeResult(
            [entry for entry in entries if entry.id in self.reachable],
            [entry for entry in entries if entry.id not in self.reachable],
        )

    def suspicion(self, is_silence: bool = False) -> tracker_module.Suspicion:
        """Return a failure that has just happened."""
        return tracker_module.Suspicion(
            self.entries[0], time.monotonic(), is_silence
        )

    def test_cut_is_entered_and_left(self) -> None:
        """Others reach what this instance does not, until it does."""
        self.assertTrue(self.monitor.check(self.suspicion()))
        self.assertEqual({SERVICE}, self.monitor.cut_off_services)
        self.records.set_own.assert_called_with(frozenset({SERVICE}))
        self.assertTrue(self.monitor.recheck(SERVICE))
        self.reachable = {'a', 'b', 'c'}
        self.assertFalse(self.monitor.recheck(SERVICE))
        self.assertEqual(frozenset(), self.monitor.cut_off_services)
        self.records.set_own.assert_called_with(frozenset())

    def test_service_that_is_down_for_all_is_no_cut(self) -> None:
        """No other instance reaches it."""
        self.peer_query.ask.return_value = [
            REPORT._replace(reached=frozenset())
        ]
        self.assertFalse(self.monitor.check(self.suspicion()))

    def test_one_upstream_that_is_down_is_no_cut(self) -> None:
        """Nobody is asked, as another one is reached."""
        self.reachable = {'b', 'c'}
        self.assertFalse(self.monitor.check(self.suspicion()))
        self.peer_query.ask.assert_not_called()

    def test_slow_upstream_is_no_cut(self) -> None:
        """It can be connected to, though its response takes too long."""
        self.reachable = {'a'}
        self.assertFalse(self.monitor.check(self.suspicion(True)))

    def test_last_published_cuts_are_those_of_two_services(self) -> None:
        """Both are entered at the same time."""
        others = [entry._replace(service='drafts') for entry in self.entries]
        second = threading.Thread(
            target=self.monitor.check,
            args=(self.suspicion()._replace(entry=others[0]),),
        )
        published: list[frozenset[str]] = []

        def set_own(services: frozenset[str]) -> None:
            if SERVICE in services and not second.ident:
                second.start()
                second.join(PUBLISHING_S)
            published.append(services)

        self.records.set_own.side_effect = set_own
        self.monitor.check(self.suspicion())
        second.join()
        self.assertEqual({SERVICE, 'drafts'}, published[-1])

    def test_only_upstream_of_a_service_is_tried_again(self) -> None:
        """One failed connection to it is no cut."""
        self.entries = self.entries[:1]
        self.reachable = {'a'}
        self.assertFalse(self.monitor.check(self.suspicion()))
        self.reachable = set()
        self.assertTrue(self.monitor.check(self.suspicion()))

    def test_cut_ends_with_the_last_upstream_of_the_service(self) -> None:
        """The operator has removed it."""
        self.monitor.check(self.suspicion())
        self.entries = []
        self.assertFalse(self.monitor.recheck(SERVICE))

    def test_service_that_nobody_reaches_any_more_is_no_cut(self) -> None:
        """It has gone down for all while this instance was cut off."""
        self.monitor.check(self.suspicion())
        self.peer_query.ask.return_value = []
        with mock.patch.object(monitor_module, 'REPORT_TTL_S', 0.0):
            self.assertTrue(self.monitor.recheck(SERVICE))
            cut = self.monitor.cut_from(SERVICE)
            assert cut is not None
            # Those that reported last are asked for help until then.
            self.assertEqual((REPORT,), cut.reports)
            with mock.patch.object(monitor_module, 'MAX_REPORT_AGE_S', 0.0):
                self.assertFalse(self.monitor.recheck(SERVICE))

    def test_failure_is_checked_in_the_background(self) -> None:
        """The thread goes on until the service is reached again."""
        with mock.patch.object(monitor_module, 'RECHECK_INTERVAL_S', 0.01):
            self.tracker.record_failed(self.entries[0], time.monotonic())
            self.wait_for_services(frozenset({SERVICE}))
            self.reachable = {'a', 'b', 'c'}
            self.wait_for_services(frozenset())

    def test_other_services_are_checked_with_the_first(self) -> None:
        """No request to them has to fail first."""
        self.entries += [
            entry._replace(service='drafts') for entry in self.entries
        ]
        self.monitor.check(self.suspicion())
        self.wait_for_services(frozenset({SERVICE, 'drafts'}))

    def wait_for_services(self, expected: frozenset[str]) -> None:
        """Wait until the instance is cut off from some services."""
        ends_at = time.monotonic() + WAIT_S
        while self.monitor.cut_off_services != expected:
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.01)
