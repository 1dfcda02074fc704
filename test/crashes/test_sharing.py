"""Test how crashes reach other instances."""

import unittest

import freezegun

from baobabpond.crashes import registry as registry_module
from baobabpond.crashes import sharing as sharing_module
from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module
from test.store import fakes

from . import examples

TOPIC = 'keyed.crashes'
Outcome = log_port.AppendOutcome


class Instance:
    """The crashes that one instance knows, and its copy of the log."""

    def __init__(self, name: str, log: fakes.FakeLog) -> None:
        self.registry = registry_module.CrashRegistry()
        self.sharing = sharing_module.CrashSharing(
            name, TOPIC, 0, log, self.registry, metrics.Metrics()
        )
        self.follower = follower_module.Follower(
            log, TOPIC, 0, self.sharing.apply, metrics.Metrics()
        )

    def see(self, crash: registry_module.Crash) -> None:
        """See a crash and append it."""
        self.sharing.withdraw(self.registry.add(crash))
        self.sharing.publish(crash, 'request-1')
        self.sharing.append_pending()


class SharingTest(unittest.TestCase):
    """Let two instances follow one log."""

    def setUp(self) -> None:
        """Create the log and the instances."""
        clock = freezegun.freeze_time()
        self.clock = clock.start()
        self.addCleanup(clock.stop)
        self.log = fakes.FakeLog()
        self.first = Instance('entry-1', self.log)
        self.second = Instance('entry-2', self.log)

    def count_at(self, instance: Instance) -> int:
        """Return how many crashes an instance knows after reading on."""
        instance.follower.catch_up()
        return instance.registry.crash_count('poison')

    def test_crashes_of_all_instances_count(self) -> None:
        """An instance that starts later knows them as well."""
        self.first.see(examples.crash('poison', 'i-1'))
        self.second.see(examples.crash('poison', 'i-2'))
        self.second.see(examples.crash('poison', 'i-3'))
        for instance in (
            self.first,
            self.second,
            Instance('entry-3', self.log),
        ):
            self.assertEqual(3, self.count_at(instance))
            self.assertIs(
                registry_module.Standing.REFUSED,
                instance.registry.standing('poison'),
            )

    def test_one_record_for_each_incarnation(self) -> None:
        """Instances that see the same crash write the same key."""
        self.first.see(examples.crash('poison', 'i-1'))
        self.second.see(examples.crash('poison', 'i-1'))
        self.assertEqual(1, len({record.key for record in self.log.records}))

    def test_crashes_of_one_moment_are_one_append(self) -> None:
        """An upstream ends under many requests at once."""
        for number in range(10):
            crash = examples.crash(f'r{number}', 'i-1')
            self.first.sharing.publish(crash, 'request-1')
        self.first.sharing.append_pending()
        self.assertEqual(1, len(self.log.appends))

    def test_log_away(self) -> None:
        """The record is kept until the log takes it."""
        self.log.outcomes += [Outcome.REFUSED, Outcome.UNKNOWN]
        self.first.see(examples.crash('poison', 'i-1'))
        self.assertEqual([], self.log.records)
        self.assertFalse(self.first.sharing.append_pending())
        self.assertTrue(self.first.sharing.append_pending())
        self.assertEqual(1, self.count_at(self.second))

    def test_records_that_wait_are_bounded(self) -> None:
        """The oldest are given up."""
        limit = sharing_module.MAX_PENDING
        for number in range(limit + 5):
            crash = examples.crash(f'r{number}', 'i-1')
            self.first.sharing.publish(crash, 'request-1')
        self.first.sharing.append_pending()
        self.assertEqual(limit, len(self.log.records))
        self.assertIn('r5/', self.log.records[0].key)

    def test_cleared_request_is_cleared_everywhere(self) -> None:
        """A completed run at one instance withdraws the records."""
        self.first.see(examples.crash('poison', 'i-1'))
        self.assertEqual(1, self.count_at(self.second))
        cleared = self.second.registry.clear('poison')
        self.second.sharing.withdraw(cleared)
        self.second.sharing.append_pending()
        self.assertEqual(0, self.count_at(self.first))
        self.assertEqual(0, self.count_at(Instance('entry-3', self.log)))

    def test_expired_records_leave_the_log(self) -> None:
        """The instance that removes them first spares the others."""
        self.first.see(examples.crash('poison', 'i-1'))
        self.count_at(self.second)
        self.clock.tick(
            registry_module.MEMORY_S * sharing_module.MAX_EXPIRY_FACTOR + 1
        )
        self.first.sharing.remove_expired()
        self.first.sharing.append_pending()
        self.assertEqual(0, self.count_at(self.second))
        self.second.sharing.remove_expired()
        self.second.sharing.append_pending()
        self.assertEqual(2, len(self.log.appends))

    def test_reloaded_snapshot_keeps_the_count(self) -> None:
        """Records that expired from the log's history are still present."""
        self.first.see(examples.crash('poison', 'i-1'))
        self.first.see(examples.crash('poison', 'i-2'))
        self.assertEqual(2, self.count_at(self.second))
        self.log.add('crash/x/1/i-9')
        self.log.first = self.log.end
        self.assertEqual(2, self.count_at(self.second))

    def test_malformed_record_is_ignored(self) -> None:
        """The records beside it are applied."""
        self.log.add('crash/nonsense')
        self.first.see(examples.crash('poison', 'i-1'))
        self.assertEqual(1, self.count_at(self.second))
