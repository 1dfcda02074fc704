"""Test what becomes of failed attempts once their upstream's fate shows."""

import unittest
from unittest import mock

import freezegun

from baobabpond.catalogue import directory as directory_module
from baobabpond.crashes import detector as detector_module
from baobabpond.crashes import registry as registry_module
from baobabpond.crashes import resolver as resolver_module
from baobabpond.crashes import unresolved as unresolved_module
from baobabpond import metrics

from . import examples

HEARTBEAT_S = 1.0
Presence = directory_module.Presence


class ResolverTest(unittest.TestCase):
    """Resolve attempts at one upstream."""

    def setUp(self) -> None:
        """Create a resolver, and stop the clock."""
        clock = freezegun.freeze_time()
        self.clock = clock.start()
        self.addCleanup(clock.stop)
        self.entry = examples.entry('i-1')
        self.unresolved = unresolved_module.UnresolvedAttempts()
        self.registry = registry_module.CrashRegistry()
        self.directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        self.directory.presence.return_value = Presence.PRESENT
        self.detector = mock.create_autospec(
            detector_module.CrashDetector, instance=True
        )
        self.crashed: list[str] = []
        self.resolver = resolver_module.CrashResolver(
            self.unresolved,
            self.registry,
            self.directory,
            self.detector,
            lambda attempt: self.crashed.append(attempt.digest),
            HEARTBEAT_S,
            metrics.Metrics(),
        )
        for digest in ('poison', 'innocent'):
            self.unresolved.add(examples.attempt(digest, self.entry))

    def check(self, crashed: list[str], kept: int) -> None:
        """Check what a pass counts and keeps."""
        self.resolver.resolve_all()
        self.assertEqual(crashed, self.crashed)
        groups = self.unresolved.by_incarnation()
        self.assertEqual(kept, sum(map(len, groups.values())))

    def test_registered_upstream(self) -> None:
        """It may have ended; its registration has not lapsed yet."""
        self.check([], 2)

    def test_replaced_upstream(self) -> None:
        """It was back before anybody probed."""
        self.directory.presence.return_value = Presence.REPLACED
        self.check(['poison', 'innocent'], 0)

    def test_leaving_upstream(self) -> None:
        """A planned end is no crash."""
        self.directory.presence.return_value = Presence.LEAVING
        self.check([], 0)

    def test_removed_upstream_that_is_silent(self) -> None:
        """Its registration lapsed, and it does not answer."""
        self.directory.presence.return_value = Presence.GONE
        self.detector.lives.return_value = False
        self.check(['poison', 'innocent'], 0)

    def test_removed_upstream_that_answers(self) -> None:
        """It leaves without a word, or has lost the store."""
        self.directory.presence.return_value = Presence.GONE
        self.detector.lives.return_value = True
        self.check([], 0)

    def test_removed_upstream_out_of_reach(self) -> None:
        """Nothing is known while this instance is cut off."""
        self.directory.presence.return_value = Presence.GONE
        self.detector.lives.return_value = None
        self.check([], 2)

    def test_end_seen_by_another_instance(self) -> None:
        """Its record tells that the incarnation has ended."""
        self.registry.confirm(examples.crash('other', 'i-1'))
        self.check(['poison', 'innocent'], 0)

    def test_upstream_that_stays(self) -> None:
        """It would have lapsed by now."""
        self.clock.tick(3 * HEARTBEAT_S)
        self.check([], 2)
        self.clock.tick(resolver_module.LAPSE_MARGIN_S + 0.1)
        self.check([], 0)
        self.directory.presence.return_value = Presence.REPLACED
        self.check([], 0)

    def test_completed_request(self) -> None:
        """A run elsewhere shows that it is harmless."""
        self.unresolved.forget_request('innocent')
        self.directory.presence.return_value = Presence.REPLACED
        self.check(['poison'], 0)


class UnresolvedTest(unittest.TestCase):
    """Keep attempts."""

    def test_number_is_bounded(self) -> None:
        """The oldest one is given up."""
        attempts = unresolved_module.UnresolvedAttempts()
        entry = examples.entry('i-1')
        given_up = [
            attempts.add(examples.attempt(f'r{number}', entry))
            for number in range(unresolved_module.MAX_ATTEMPTS + 1)
        ]
        self.assertEqual({None}, set(given_up[:-1]))
        self.assertEqual('r0', given_up[-1].digest)

    def test_attempt_that_failed_again(self) -> None:
        """Settling the former one does not forget the new one."""
        attempts = unresolved_module.UnresolvedAttempts()
        entry = examples.entry('i-1')
        former = examples.attempt('r', entry)
        attempts.add(former)
        attempts.add(examples.attempt('r', entry)._replace(ended_at=7.0))
        attempts.remove([former])
        self.assertIn(entry.incarnation, attempts.by_incarnation())
