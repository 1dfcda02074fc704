"""Test where a request may run after upstreams crashed under it."""

import unittest
from unittest import mock

import freezegun

from baobabpond.crashes import detector as detector_module
from baobabpond.crashes import guard as guard_module
from baobabpond.crashes import registry as registry_module
from baobabpond.crashes import sharing as sharing_module
from baobabpond.crashes import unresolved as unresolved_module
from baobabpond import metrics
from baobabpond.ports import catalogue
from baobabpond.upstreams import load_balancer

from . import examples

# Long enough for any wait.
REMAINING_S = 0.2
ENDED = detector_module.Finding(True, detector_module.Probe.REFUSED, False)
ALIVE = detector_module.Finding(False, detector_module.Probe.CONNECTED, False)


class GuardTest(unittest.TestCase):
    """Guard a service with three upstreams."""

    def setUp(self) -> None:
        """Create a guard to whom every cut upstream has ended."""
        self.entries = [examples.entry(f'i-{n}') for n in (1, 2, 3)]
        self.registry = registry_module.CrashRegistry()
        self.sharing = mock.create_autospec(
            sharing_module.CrashSharing, instance=True
        )
        self.detector = mock.create_autospec(
            detector_module.CrashDetector, instance=True
        )
        self.detector.examine.return_value = ENDED
        self.unresolved = unresolved_module.UnresolvedAttempts()
        self.guard = guard_module.CrashGuard(
            self.registry,
            self.sharing,
            self.detector,
            self.unresolved,
            load_balancer.LoadBalancer(),
            metrics.Metrics(),
        )

    def choose(
        self, digest: str, tried: frozenset[str] = frozenset()
    ) -> guard_module.Placement | None:
        """Choose an upstream for a request."""
        return self.guard.choose(
            digest, lambda: self.entries, set(tried), REMAINING_S
        )

    def crash(self, digest: str, *numbers: int) -> None:
        """Let upstreams crash under a request."""
        for number in numbers:
            entry = self.entries[number - 1]
            self.assertTrue(self.fail_attempt(digest, entry))

    def fail_attempt(
        self,
        digest: str,
        entry: catalogue.UpstreamEntry,
        ending: unresolved_module.Ending = unresolved_module.Ending.CUT,
    ) -> bool:
        """Let an attempt end without a response."""
        return self.guard.record_failure(digest, 'request-1', entry, ending)

    def test_clear_requests_share_upstreams(self) -> None:
        """Nothing is known against them."""
        for number in range(6):
            placement = self.choose(f'r{number}')
            self.assertFalse(placement.is_reserved)

    def test_ended_upstreams_are_left_out(self) -> None:
        """Their registrations last for some seconds, at all instances."""
        self.crash('poison', 1)
        self.registry.confirm(examples.crash('poison', 'i-2'))
        for number in range(3):
            self.assertEqual('i-3', self.choose(f'r{number}').entry.id)

    def test_retry_after_a_first_crash(self) -> None:
        """It goes to an upstream that lives, at once."""
        self.crash('innocent', 1)
        self.assertTrue(self.guard.may_retry('innocent', 1))
        placement = self.choose('innocent', frozenset({'i-1'}))
        self.assertIn(placement.entry.id, ('i-2', 'i-3'))

    def test_suspects_are_retried_apart(self) -> None:
        """A released upstream is free for the next one."""
        for digest in ('poison', 'innocent', 'other'):
            self.crash(digest, 1)
        first = self.choose('poison')
        second = self.choose('innocent')
        self.assertNotEqual(first.entry.id, second.entry.id)
        self.assertIsNone(self.choose('other'))
        self.guard.release(second)
        self.assertEqual(second.entry, self.choose('other').entry)

    def test_run_of_a_clear_request_frees_no_reservation(self) -> None:
        """It may end at an upstream that a suspect has reserved."""
        clear = [self.choose(f'r{n}') for n in range(3)]
        self.crash('poison', 1)
        self.assertIsNotNone(self.choose('poison'))
        for placement in clear:
            self.guard.release(placement)
        self.assertIsNone(self.choose('poison'))

    def test_series_ends_with_the_second_crash(self) -> None:
        """The request is not refused yet, but its caller must come again."""
        self.crash('poison', 1, 2)
        self.assertFalse(self.guard.may_retry('poison', 2))
        self.assertTrue(self.guard.may_retry('poison', 1))

    def test_third_crash_refuses_everywhere(self) -> None:
        """No further upstream, whichever instance saw the crashes."""
        self.crash('poison', 1)
        for number in (2, 3):
            self.registry.confirm(examples.crash('poison', f'i-{number}'))
        self.entries = [examples.entry('i-4'), examples.entry('i-5')]
        self.assertIsNone(self.choose('poison'))
        self.assertFalse(self.guard.may_retry('poison', 1))
        refusal = self.guard.refusal('poison')
        self.assertEqual(503, refusal.status)
        self.assertEqual('crashes_upstreams', refusal.code)
        self.assertIsNotNone(refusal.retry_after_s)

    def test_last_upstream_is_spared(self) -> None:
        """A request with two crashes waits until another one is back."""
        with freezegun.freeze_time() as clock:
            self.crash('poison', 1, 2)
            self.assertIsNone(self.choose('poison'))
            refusal = self.guard.refusal('poison')
            self.assertEqual('suspected_crash', refusal.code)
            self.entries[0] = examples.entry('i-4')
            placement = self.choose('poison')
            self.guard.release(placement)
            self.entries = self.entries[2:]
            self.assertIsNone(self.choose('poison'))
            clock.tick(guard_module.SPARE_REQUIRED_S + 1)
            self.assertEqual('i-3', self.choose('poison').entry.id)

    def test_one_crash_does_not_require_a_spare(self) -> None:
        """The last upstream serves an innocent request."""
        self.crash('innocent', 1)
        self.entries = self.entries[:2]
        self.assertEqual('i-2', self.choose('innocent').entry.id)

    def test_completed_run_clears(self) -> None:
        """The other instances are told, once."""
        self.crash('innocent', 1)
        self.guard.record_completion('innocent', 'request-1')
        self.guard.record_completion('innocent', 'request-2')
        self.sharing.withdraw.assert_called_with(
            [examples.crash('innocent', 'i-1')]
        )
        self.assertFalse(self.choose('innocent').is_reserved)
        self.assertIsNone(self.guard.refusal('innocent'))

    def test_cut_without_an_end_is_no_crash(self) -> None:
        """The answer got lost and the upstream lives on."""
        self.detector.examine.return_value = ALIVE
        self.assertFalse(self.fail_attempt('innocent', self.entries[0]))
        self.assertFalse(self.choose('innocent').is_reserved)
        self.sharing.publish.assert_not_called()

    def test_one_probe_for_each_ended_incarnation(self) -> None:
        """Many requests are cut at once."""
        for number in range(5):
            self.crash(f'r{number}', 1)
        self.detector.examine.assert_called_once()

    def test_silence_and_callers_that_left(self) -> None:
        """They count once the end shows; nobody probes for them."""
        for number, ending in enumerate(
            (
                unresolved_module.Ending.TIMED_OUT,
                unresolved_module.Ending.CALLER_LEFT,
            )
        ):
            entry = self.entries[number]
            self.assertFalse(self.fail_attempt('poison', entry, ending))
            self.detector.examine.assert_not_called()
            [attempt] = self.unresolved.by_incarnation()[entry.incarnation]
            self.guard.record_crash(attempt)
            self.assertTrue(self.fail_attempt('innocent', entry, ending))
        self.assertEqual(2, self.registry.crash_count('poison'))

    def test_completed_run_ends_the_doubt(self) -> None:
        """The attempt that failed elsewhere is forgotten."""
        ending = unresolved_module.Ending.TIMED_OUT
        self.fail_attempt('innocent', self.entries[0], ending)
        self.guard.record_completion('innocent', 'request-1')
        self.assertEqual({}, self.unresolved.by_incarnation())
