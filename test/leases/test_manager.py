"""Test leases under process suspension and late records."""

import datetime
import unittest

import freezegun

from baobabpond.leases import fold
from baobabpond.leases import manager
from baobabpond.log import state
from baobabpond import metrics
from test import helpers

LEASE_S = 6.0


def lease_item(holder, previous, released=False):
    """Return a lease record."""
    return {
        'type': 'lease',
        'name': 'w',
        'holder': holder,
        'previous_offset': previous,
        'released': released,
    }


class FoldTest(unittest.TestCase):
    """Test compare-and-set of lease records."""

    def setUp(self):
        self.state = state.State()
        self.fold = self.state.fold(fold.LeaseFold)
        self.seqs = {}

    def apply(self, item):
        sender = item['holder']
        self.seqs[sender] = self.seqs.get(sender, 0) + 1
        helpers.apply(
            self.state, [helpers.envelope(sender, self.seqs[sender], item)]
        )

    def test_first_of_two_takeovers_wins(self):
        self.apply(lease_item('a', -1))
        self.apply(lease_item('b', 0))
        self.apply(lease_item('c', 0))
        entry = self.fold.get('w')
        self.assertEqual(('b', 1), (entry.holder, entry.fence))

    def test_renewal_retains_the_fence_and_prevents_a_takeover(self):
        self.apply(lease_item('a', -1))
        self.apply(lease_item('a', 0))
        self.apply(lease_item('b', 0))
        entry = self.fold.get('w')
        self.assertEqual(('a', 0, 1), entry[:3])

    def test_only_the_holder_can_release(self):
        self.apply(lease_item('a', -1))
        self.apply(lease_item('b', 0, released=True))
        self.assertFalse(self.fold.get('w').released)
        self.apply(lease_item('a', 0, released=True))
        self.assertTrue(self.fold.get('w').released)

    def test_acquisition_after_a_release_has_a_higher_fence(self):
        self.apply(lease_item('a', -1))
        self.apply(lease_item('a', 0, released=True))
        self.apply(lease_item('a', 1))
        self.assertEqual(2, self.fold.get('w').fence)


class LeaseManagerTest(unittest.TestCase):
    """Test a lease that two instances compete for."""

    def setUp(self):
        self.log = helpers.FakeLog()
        self.managers = {}
        self.nodes = {}
        for name in ('a', 'b'):
            node = helpers.start_shared_log(self.log, name)
            self.addCleanup(helpers.stop_shared_log, node)
            self.nodes[name] = node
            self.managers[name] = manager.LeaseManager(
                'w',
                name,
                node,
                metrics.Metrics(),
            )

    def catch_up(self, name):
        self.nodes[name].follower.catch_up()

    def test_lease_of_suspended_holder_expires_before_takeover(self):
        start = datetime.datetime(2026, 1, 1)
        with freezegun.freeze_time(start) as clock:
            self.catch_up('a')
            first = self.managers['a'].acquire_or_renew(LEASE_S)
            self.catch_up('b')
            self.assertIsNone(self.managers['b'].acquire_or_renew(LEASE_S))
            clock.tick(LEASE_S - 0.1)
            self.assertIsNotNone(self.managers['a'].held_lease)
            clock.tick(0.2)
            self.assertIsNone(self.managers['a'].held_lease)
            self.catch_up('b')
            self.assertIsNone(self.managers['b'].acquire_or_renew(LEASE_S))
            clock.tick(LEASE_S)
            self.catch_up('b')
            second = self.managers['b'].acquire_or_renew(LEASE_S)
            self.assertGreater(second.fence, first.fence)
            self.catch_up('a')
            self.assertIsNone(self.managers['a'].acquire_or_renew(LEASE_S))

    def test_released_lease_is_available_immediately(self):
        first = self.managers['a'].acquire_or_renew(LEASE_S)
        self.managers['a'].release()
        self.assertIsNone(self.managers['a'].held_lease)
        self.nodes['a'].writer.flush(10**9)
        self.catch_up('b')
        second = self.managers['b'].acquire_or_renew(LEASE_S)
        self.assertGreater(second.fence, first.fence)

    def test_holder_without_a_log_loses_the_lease_at_expiry(self):
        with freezegun.freeze_time() as clock:
            self.catch_up('a')
            self.assertIsNotNone(self.managers['a'].acquire_or_renew(LEASE_S))
            self.log.down = True
            clock.tick(LEASE_S - 1)
            self.assertIsNotNone(self.managers['a'].acquire_or_renew(LEASE_S))
            clock.tick(2)
            self.assertIsNone(self.managers['a'].acquire_or_renew(LEASE_S))


if __name__ == '__main__':
    unittest.main()
