"""Test the member table, the gossip and the entry list."""

import datetime
import random
import socket
import time
import unittest

import freezegun

from baobabpond.gen.peer import ttypes
from baobabpond.members import entries
from baobabpond.members import gossip
from baobabpond.members import join
from baobabpond.members import table
from baobabpond import metrics
from test import helpers

State = ttypes.MemberState
WAIT_S = 10.0


def new_table(name='own'):
    """Return a table with only its own entry."""
    return table.MemberTable(helpers.member(name), metrics.Metrics())


class TableTest(unittest.TestCase):
    """Merge updates of members."""

    def setUp(self):
        self.table = new_table()

    def state_of(self, name):
        return self.table.get(name).state

    def test_higher_incarnation_overrides_and_order_does_not_matter(self):
        suspect = helpers.member('a', state=State.SUSPECT)
        refuted = helpers.member('a', incarnation=1)
        for updates in ((suspect, refuted), (refuted, suspect)):
            built = new_table()
            for update in updates:
                built.merge(update)
            self.assertEqual(State.ALIVE, built.get('a').state)

    def test_restarted_process_overrides_its_former_entry(self):
        self.table.merge(helpers.member('a', state=State.DEAD))
        self.table.merge(helpers.member('a'))
        self.table.merge(helpers.member('a', incarnation=9))
        self.table.merge(helpers.member('a', state=State.DEAD, incarnation=9))
        self.table.merge(helpers.member('a', started_us=2))
        self.assertEqual(State.ALIVE, self.state_of('a'))
        self.assertTrue(self.table.is_lost('a', 1))
        self.assertFalse(self.table.is_lost('a', 2))

    def test_own_suspicion_is_refuted_and_leaving_stays(self):
        self.table.update_own(state=State.LEAVING)
        accused = helpers.member('own', state=State.SUSPECT)
        self.assertTrue(self.table.merge(accused))
        self.assertEqual(1, self.table.own.incarnation)
        self.assertEqual(State.LEAVING, self.table.own.state)

    def test_suspect_is_declared_dead_and_removed(self):
        with freezegun.freeze_time() as clock:
            self.table.merge(helpers.member('a'))
            self.table.suspect('a')
            self.table.expire()
            self.assertEqual(State.SUSPECT, self.state_of('a'))
            clock.tick(datetime.timedelta(seconds=3))
            self.table.expire()
            self.assertEqual(State.DEAD, self.state_of('a'))
            self.assertTrue(self.table.is_lost('a', 1))
            clock.tick(datetime.timedelta(seconds=200))
            self.table.expire()
            self.assertIsNone(self.table.get('a'))
            dead = helpers.member('a', state=State.DEAD)
            self.assertFalse(self.table.merge(dead))


class RumourTest(unittest.TestCase):
    """Limit how often an update is sent."""

    def test_each_rumour_is_sent_a_bounded_number_of_times(self):
        queue = gossip.RumourQueue()
        queue.add(helpers.member('a'), cluster_size=7)
        sends = 0
        while queue.next_rumours():
            sends += 1
        self.assertEqual(9, sends)


class GossipTest(unittest.TestCase):
    """Run several failure detectors on the loopback interface."""

    def setUp(self):
        self.tables = {}
        self.detectors = {}
        for index in range(4):
            self.start(f'm{index}')
        seeds = [
            gossip.Address(t.own.address, t.own.peer_port)
            for t in self.tables.values()
        ]
        for detector in self.detectors.values():
            detector.set_seeds(seeds)
            detector.start()

    def start(self, name):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        counters = metrics.Metrics()
        built = table.MemberTable(
            helpers.member(name, peer_port=port), counters
        )
        self.tables[name] = built
        self.detectors[name] = gossip.Gossip(built, counters, random.Random(1))
        self.addCleanup(self.detectors[name].stop)

    def wait(self, condition):
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            time.sleep(0.02)

    def test_members_discover_each_other_and_detect_a_failure(self):
        self.wait(
            lambda: all(len(t.serving()) == 4 for t in self.tables.values())
        )
        self.detectors['m3'].stop()
        others = [t for n, t in self.tables.items() if n != 'm3']
        self.wait(lambda: all(t.is_lost('m3', 1) for t in others))
        self.assertTrue(all(len(t.serving()) == 3 for t in others))

    def test_malformed_datagrams_are_ignored(self):
        own = self.tables['m0'].own
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for data in (b'', b'\x00', b'x' * 2000):
                sender.sendto(data, (own.address, own.peer_port))
        self.wait(lambda: len(self.tables['m0'].serving()) == 4)


class ExchangeTest(unittest.TestCase):
    """The bandwidth of table exchanges stays constant."""

    def test_interval_grows_with_the_table(self):
        members = new_table()
        joiner = join.Joiner(
            members, None, None, None, metrics.Metrics(), random.Random(1)
        )
        self.assertEqual(
            join.EXCHANGE_INTERVAL_S, joiner.exchange_interval_s()
        )
        for number in range(159):
            members.merge(helpers.member(f'm{number}'))
        self.assertEqual(
            10 * join.EXCHANGE_INTERVAL_S, joiner.exchange_interval_s()
        )


class EntriesTest(unittest.TestCase):
    """List instances for callers."""

    def setUp(self):
        self.table = new_table('a')
        for name, data_centre, state in (
            ('b', 'kl-bengkel', State.ALIVE),
            ('c', 'pg-stor', State.ALIVE),
            ('d', 'pg-stor', State.LEAVING),
            ('e', 'pg-stor', State.SUSPECT),
        ):
            self.table.merge(
                helpers.member(name, data_centre=data_centre, state=state)
            )

    def names(self, caller, data_centre='pg-stor', leaving=()):
        listed = entries.entry_list(
            self.table, leaving, caller, data_centre, 5.0
        )
        return [member.instance for member in listed.entries]

    def test_nearest_first_without_leaving_or_suspect_members(self):
        self.assertEqual('c', self.names('x')[0])
        self.assertEqual({'a', 'b', 'c'}, set(self.names('x')))
        self.assertNotIn('c', self.names('x', leaving=['c']))

    def test_callers_are_spread_and_each_gets_a_stable_order(self):
        firsts = {
            self.names(f'caller-{n}', 'kl-bengkel')[0] for n in range(50)
        }
        self.assertEqual({'a', 'b'}, firsts)
        self.assertEqual(self.names('x'), self.names('x'))


if __name__ == '__main__':
    unittest.main()
