"""Test which upstreams count as ended after a cut connection."""

import contextlib
import pathlib
import socket
import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond.crashes import detector as detector_module
from baobabpond.crashes import registry as registry_module
from baobabpond import metrics
from baobabpond.ports import catalogue
from baobabpond.ports import platforms
from baobabpond.ratelimits import issuer
from baobabpond.ratelimits import permits as permits_module
from baobabpond.ratelimits import tracker as limit_tracker
from baobabpond.reachability import peers
from baobabpond.upstreams import connections as connections_module
from baobabpond.upstreams import gateway as gateway_module
from standins.emulator import recorder
from standins.emulator import store as store_module
from standins.emulator import upstream as upstream_module

from . import examples

ADDRESS = '127.0.0.1'
ROOT = pathlib.Path(__file__).resolve().parent.parent.parent


class DetectorTestCase(unittest.TestCase):
    """Create a detector and a listener."""

    def setUp(self) -> None:
        """Create a listener and a directory that knows the upstream."""
        self.listener = socket.create_server((ADDRESS, 0))
        self.addCleanup(self.listener.close)
        self.entry = examples.entry('i-1')._replace(
            host=ADDRESS, port=self.listener.getsockname()[1]
        )
        self.directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        self.directory.is_replaced.return_value = False
        self.registry = registry_module.CrashRegistry()
        other = socket.create_server((ADDRESS, 0))
        self.addCleanup(other.close)
        self.sibling = examples.entry('i-2')._replace(
            host=ADDRESS, port=other.getsockname()[1]
        )
        self.directory.usable.return_value = [self.entry, self.sibling]
        self.connections = connections_module.ConnectionPool(metrics.Metrics())
        platforms.load('users_platform', ROOT / 'platform')
        platform = platforms.platforms.get('users_platform')('127.0.0.1:1')
        limits = limit_tracker.LimitTracker(metrics.Metrics())
        permits = permits_module.Permits(
            limits,
            issuer.PermitIssuer(limits),
            mock.create_autospec(permits_module.RemoteIssuer, instance=True),
            metrics.Metrics(),
        )
        self.gateway = gateway_module.Gateway(
            platform.upstreams, self.directory, limits, permits
        )
        self.detector = detector_module.CrashDetector(
            self.directory,
            self.registry,
            self.connections,
            self.gateway,
            metrics.Metrics(),
        )


class DetectorTest(DetectorTestCase):
    """Probe an address."""

    def test_upstream_that_lives_on(self) -> None:
        """Its answer got lost; the probe's connection is put to use."""
        self.assertFalse(self.detector.examine(self.entry).has_ended)
        pooled = self.connections.acquire((self.entry.host, self.entry.port))
        self.addCleanup(pooled.close)
        self.assertFalse(pooled.is_new)

    def test_upstream_that_ended(self) -> None:
        """Nothing listens at its address, though it is still registered."""
        self.listener.close()
        self.assertTrue(self.detector.examine(self.entry).has_ended)

    def test_upstream_that_others_reach_has_not_ended(self) -> None:
        """It is this instance that is refused."""
        self.assertFalse(self.is_ended_by('i-1'))
        self.assertFalse(self.is_ended_by('i-1', 'i-2'))

    def test_others_reach_only_its_siblings(self) -> None:
        """Neither is it this instance that is cut off, nor they are."""
        self.directory.usable.return_value[1] = self.unreachable()
        self.assertTrue(self.is_ended_by('i-2'))

    def test_nobody_reaches_the_service(self) -> None:
        """This instance is cut off, and so are those that answer, if any."""
        self.directory.usable.return_value[1] = self.unreachable()
        self.assertFalse(self.is_ended_by())
        self.assertFalse(self.detector.examine(self.entry).has_ended)

    def test_last_upstream_of_a_service(self) -> None:
        """The directory will show whether it has ended."""
        self.registry.record_end(self.sibling.incarnation)
        self.assertFalse(self.is_ended_by())

    def is_ended_by(self, *reached: str) -> bool:
        """Return the finding if another instance reaches some upstreams."""
        self.listener.close()
        report = peers.ReachReport('b', 'a', ('h', 1), frozenset(reached))
        detector = detector_module.CrashDetector(
            self.directory,
            self.registry,
            self.connections,
            self.gateway,
            metrics.Metrics(),
            lambda entries: [report],
        )
        return detector.examine(self.entry).has_ended

    def unreachable(self) -> catalogue.UpstreamEntry:
        """Return a sibling at which nothing listens."""
        with socket.create_server((ADDRESS, 0)) as server:
            return self.sibling._replace(port=server.getsockname()[1])

    def test_successor_listens_at_the_address(self) -> None:
        """The directory shows another incarnation there."""
        self.directory.is_replaced.return_value = True
        self.assertTrue(self.detector.examine(self.entry).has_ended)
        with contextlib.closing(
            self.connections.acquire((self.entry.host, self.entry.port))
        ):
            pass

    def test_no_answer_to_the_probe(self) -> None:
        """Neither silence nor a lapsed registration shows an end."""
        with mock.patch.object(
            connections_module.Connection,
            'connect',
            autospec=True,
            side_effect=connections_module.ConnectionFailed('timed out'),
        ):
            self.assertFalse(self.detector.examine(self.entry).has_ended)
            self.directory.is_replaced.return_value = True
            self.assertTrue(self.detector.examine(self.entry).has_ended)


class RemovedUpstreamTest(DetectorTestCase):
    """Ask an upstream whose registration is gone."""

    def setUp(self) -> None:
        """Start an upstream."""
        super().setUp()
        store = store_module.Store()
        self.addCleanup(store.stop)
        self.upstream = upstream_module.Upstream(
            store, recorder.Recorder(), 'orders'
        )
        self.addCleanup(self.upstream.stop)
        self.removed = examples.entry(
            self.upstream.id, self.upstream.started_at_ms
        )._replace(host=ADDRESS, port=self.upstream.port)

    def test_it_lives(self) -> None:
        """It reports the start that it had registered."""
        self.assertTrue(self.detector.lives(self.removed))

    def test_successor_answers(self) -> None:
        """It reports another start."""
        former = self.removed._replace(born=self.removed.born - 1)
        self.assertFalse(self.detector.lives(former))

    def test_it_answers_nobody(self) -> None:
        """Its connections are accepted, and nothing comes."""
        self.upstream.fault = 'silent'
        self.assertFalse(self.detector.lives(self.removed))

    def test_nothing_listens(self) -> None:
        """It has ended, unless this instance is cut off."""
        self.listener.close()
        self.assertFalse(self.detector.lives(self.entry))
        cut_off = detector_module.CrashDetector(
            self.directory,
            self.registry,
            self.connections,
            self.gateway,
            metrics.Metrics(),
            is_cut_off=lambda service: service == self.entry.service,
        )
        self.assertIsNone(cut_off.lives(self.entry))
