"""Test how instances learn of limits from each other."""

import json
import time
import unittest

import freezegun

from baobabpond.ports import log as log_port
from baobabpond.ratelimits import sharing as sharing_module
from test.store import fakes

from . import examples

INCARNATION = examples.entry().incarnation


class Node:
    """An instance with its sharing."""

    def __init__(self, name: str) -> None:
        self.instance = examples.Instance()
        self.present = {INCARNATION}
        self.sharing = sharing_module.LimitSharing(
            name,
            't',
            0,
            fakes.FakeLog(),
            self.instance.tracker,
            lambda: self.present,
            self.instance.metrics,
        )

    @property
    def limit(self) -> float | None:
        """Return the limit that the instance believes."""
        return self.instance.tracker.limit_of(INCARNATION)


class SharingTest(unittest.TestCase):
    """Pass records between two instances."""

    def setUp(self) -> None:
        """Create two instances in paused time."""
        frozen = freezegun.freeze_time(tick=False)
        self.frozen = frozen.start()
        self.addCleanup(frozen.stop)
        self.frozen.tick(100.0)
        self.first = Node('a')
        self.second = Node('b')

    @property
    def now(self) -> float:
        """Return the paused monotonic time."""
        return time.monotonic()

    def deliver(self, records: list[log_port.Record]) -> None:
        """Let both instances read records."""
        for node in (self.first, self.second):
            node.sharing.apply(records, False)

    def test_limit_and_its_end_reach_the_other_instance(self) -> None:
        """Nothing is left to append afterwards."""
        for limit in (2.0, 0.5, None):
            self.frozen.tick(1.0)
            self.first.instance.state_limit(limit, stated_at=self.now)
            self.deliver(self.first.sharing.pending())
            self.assertEqual(limit, self.second.limit)
            self.assertEqual([], self.first.sharing.pending())
            self.assertEqual([], self.second.sharing.pending())

    def test_old_record_does_not_replace_what_is_known(self) -> None:
        """The instance that knows better appends that instead."""
        self.first.instance.state_limit(9.0, stated_at=self.now)
        old = self.first.sharing.pending()
        self.frozen.tick(0.3)
        self.second.instance.state_limit(1.0, stated_at=self.now)
        self.deliver(old)
        self.assertEqual(1.0, self.second.limit)
        self.deliver(self.second.sharing.pending())
        self.assertEqual((1.0, 1.0), (self.first.limit, self.second.limit))

    def test_days_without_limits_cost_nothing(self) -> None:
        """No record is appended."""
        self.first.instance.state_limit(None)
        self.assertEqual([], self.first.sharing.pending())
        self.assertEqual([], self.first.sharing.expired())

    def test_records_are_removed_once_useless(self) -> None:
        """After the upstream has gone, not before."""
        self.first.instance.state_limit(1.0, stated_at=self.now)
        self.deliver(self.first.sharing.pending())
        lifetime_s = (
            sharing_module.EXPIRY_S * sharing_module.MAX_EXPIRY_FACTOR + 1.0
        )
        self.frozen.tick(lifetime_s)
        self.assertEqual([], self.first.sharing.expired())
        self.first.present = set()
        self.frozen.tick(lifetime_s)
        tombstones = self.first.sharing.expired()
        self.assertEqual([b''], [record.value for record in tombstones])
        self.deliver(tombstones)
        self.assertEqual([], self.first.sharing.expired())

    def test_snapshot_does_not_replace_own_knowledge(self) -> None:
        """Its records may be old."""
        self.first.instance.state_limit(5.0, stated_at=self.now)
        records = self.first.sharing.pending()
        self.second.instance.state_limit(1.0, stated_at=self.now)
        self.second.sharing.apply(records, True)
        self.assertEqual(1.0, self.second.limit)

    def test_malformed_records_are_ignored(self) -> None:
        """The others are applied."""
        key = sharing_module.encode_key(INCARNATION)
        values = [
            {'limit': -1, 'age_s': 0, 'instance': 'x'},
            {'limit': 'many', 'age_s': 0, 'instance': 'x'},
            {'limit': float('nan'), 'age_s': 0, 'instance': 'x'},
            {'limit': 1.0},
            [],
        ]
        records = [log_port.Record('limit/x', b'{}', 0)]
        records += [
            log_port.Record(key, json.dumps(value).encode(), 0)
            for value in values
        ]
        self.second.sharing.apply(records, False)
        self.assertIsNone(self.second.limit)
