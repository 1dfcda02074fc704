"""Test that instances load their first snapshot from one another."""

import contextlib
import threading
import time
import unittest
from unittest import mock

import freezegun

from baobabpond.gen.peer import LogRelay
from baobabpond.gen.peer import ttypes
from baobabpond import metrics
from baobabpond.peers import pool as pool_module
from baobabpond.peers import thrift_server
from baobabpond.ports import log as log_port
from baobabpond.store import first_load
from baobabpond.store import follower as follower_module
from baobabpond.store import handler
from baobabpond.store import relay
from baobabpond.store import snapshots
from standins.emulator import serving

from . import clusters
from . import fakes

KEYS = ('a', 'b', 'c', 'd', 'e')
PAGE_KEYS = ('', 'b', 'd')
# Long enough for all loads of a test, which take some milliseconds.
TIMEOUT_S = 5.0


class FirstLoadTest(unittest.TestCase):
    """Start instances on a log whose snapshot has three pages."""

    def setUp(self) -> None:
        """Fill the log, and create seven instances."""
        self.log = fakes.FakeLog()
        for key in KEYS:
            self.log.add(key)
        self.log.page_size = 2
        self.cluster = clusters.Cluster(self.log, 7)
        self.order = self.cluster.order

    def load(self, *ranks: int) -> None:
        """Load at the same time at instances given by their rank."""
        threads = [
            threading.Thread(
                target=self.cluster.followers[self.order[rank]].catch_up
            )
            for rank in ranks
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(TIMEOUT_S)

    def check_copies(self, instances: int) -> None:
        """Check that as many instances have all records, in their order."""
        self.assertEqual(
            [list(KEYS)] * instances,
            [
                [record.key for record in records]
                for records in self.cluster.received
            ],
        )

    def test_only_the_root_reads_the_log(self) -> None:
        """All others read the pages through the tree."""
        self.load(*range(7))
        self.check_copies(7)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_small_instances_pass_no_pages_on(self) -> None:
        """The others would wait for their slow links, then read the log.

        After all of 86 instances had ended, a small root made most of them
        read 15 MB from the log, which slowed down all reads for 10 s.
        """
        self.cluster = clusters.Cluster(self.log, 0)
        large = [f'large-{number}' for number in range(4)]
        small = [f'small-{number}' for number in range(3)]
        for name in small:
            self.cluster.add(name, cores=0.4)
        for name in large:
            self.cluster.add(name, cores=2.0)
        self.order = self.cluster.order
        self.assertEqual(set(large), set(self.order[:4]))
        self.load(*range(7))
        self.check_copies(7)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))
        called = {name for name, _ in self.cluster.network.addresses_called}
        self.assertLessEqual(called, set(large))

    def test_snapshot_enters_each_data_centre_once(self) -> None:
        """All but one instance of each read from one of the same."""
        self.cluster = clusters.Cluster(self.log, 12, ('a', 'b', 'c'))
        self.order = self.cluster.order
        for rank in range(12):
            self.load(rank)
        self.check_copies(12)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))
        calls = self.cluster.network.calls
        self.assertEqual(11 * len(PAGE_KEYS), len(calls))
        entering = [call for call in calls if call[0] != call[1]]
        self.assertEqual(2 * len(PAGE_KEYS), len(entering))

    def test_dead_root_of_a_data_centre_is_replaced(self) -> None:
        """Its children read from another data centre."""
        self.cluster = clusters.Cluster(self.log, 12, ('a', 'b', 'c'))
        self.order = self.cluster.order
        centres = self.cluster.network.data_centres
        root_centre = centres[self.order[0], clusters.PEER_PORT]
        dead = next(
            rank
            for rank, name in enumerate(self.order)
            if centres[name, clusters.PEER_PORT] != root_centre
        )
        self.cluster.disconnect(self.order[dead])
        self.load(*(rank for rank in range(12) if rank != dead))
        self.check_copies(11)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_dead_root_is_replaced_by_one_instance(self) -> None:
        """The next instance in the order reads the log; the others do not."""
        self.cluster.disconnect(self.order[0])
        with mock.patch.object(first_load, 'START_SPREAD_S', 0.05):
            self.load(*range(1, 7))
        self.check_copies(6)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_root_that_starts_late_is_waited_for(self) -> None:
        """An instance that refuses calls may still be about to start."""
        root = self.order[0]
        self.cluster.disconnect(root)

        def start_late() -> None:
            time.sleep(first_load.START_SPREAD_S / 2)
            self.cluster.reconnect(root)
            self.cluster.followers[root].catch_up()

        thread = threading.Thread(target=start_late)
        thread.start()
        self.load(*range(1, 7))
        thread.join(TIMEOUT_S)
        self.check_copies(7)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_load_from_a_peer_that_dies_goes_on_where_it_stopped(self) -> None:
        """Pages that were read are not read again, by any of the others."""
        self.load(0)
        self.log.loads.clear()
        self.cluster.disconnect(self.order[0], after_calls=1)
        with mock.patch.object(first_load, 'START_SPREAD_S', 0.05):
            self.load(1)
            self.load(*range(2, 7))
        self.check_copies(7)
        self.assertEqual(['b', 'd'], self.log.loads)

    def test_root_that_dies_while_it_loads_is_replaced(self) -> None:
        """One of the others reads the rest of the log for all."""
        pages = iter((None, log_port.LogError('killed')))

        def kill_at_second() -> None:
            if (error := next(pages, None)) is not None:
                self.cluster.disconnect(self.order[0], after_calls=1)
                raise error

        self.log.before_page = kill_at_second
        with contextlib.suppress(log_port.LogError):
            self.cluster.followers[self.order[0]].catch_up()
        self.assertEqual(['', 'b'], self.log.loads)
        with mock.patch.object(first_load, 'START_SPREAD_S', 0.05):
            self.load(1)
            self.load(*range(2, 7))
        self.check_copies(6)
        self.assertEqual(['', 'b', 'b', 'd'], self.log.loads)

    def test_root_that_cannot_load_is_given_up(self) -> None:
        """Without a page the children read the log, the others from them."""
        with (
            mock.patch.object(first_load, 'PAGE_WAIT_MS', 20),
            mock.patch.object(first_load, 'MAX_WAIT_S', 0.1),
            mock.patch.object(first_load, 'LEVEL_WAIT_S', 0.3),
        ):
            self.load(*range(1, 7))
        self.check_copies(6)
        self.assertLessEqual(
            len(self.log.loads), first_load.FAN_OUT * len(PAGE_KEYS)
        )

    def test_late_instance_does_not_wait(self) -> None:
        """Once no peer keeps a snapshot, the log is read at once."""
        self.load(*range(7))
        for load in self.cluster.loads.values():
            load.shared.drop()
        self.log.loads.clear()
        late = self.cluster.add('late')
        with mock.patch.object(time, 'sleep', autospec=True) as sleep:
            late.catch_up()
        sleep.assert_not_called()
        self.check_copies(8)
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_late_instance_ignores_dead_peers(self) -> None:
        """A running peer shows that not all start; dead ones cost nothing."""
        self.load(*range(7))
        for name, load in self.cluster.loads.items():
            load.shared.drop()
            if name != self.order[1]:
                self.cluster.disconnect(name)
        # The new instance is the last one in the order.
        late = next(
            name
            for name in (f'late-{number}' for number in range(1000))
            if clusters.rank(name) > clusters.rank(self.order[-1])
        )
        follower = self.cluster.add(late)
        with mock.patch.object(time, 'sleep', autospec=True) as sleep:
            follower.catch_up()
        sleep.assert_not_called()
        self.check_copies(8)

    def test_older_pages_do_not_continue_a_load(self) -> None:
        """They may lack records before the position that is read on from."""
        self.load(0)
        load = snapshots.SnapshotLoad()
        load.add(
            log_port.NewestPage(
                self.log.end + 1, [log_port.Record('b', b'x', 1)], True
            )
        )
        with mock.patch.object(first_load, 'MAX_OTHERS', 0):
            self.assertFalse(self.cluster.loads[self.order[1]].run(load))
        self.assertEqual(['b'], [record.key for record in load.snapshot()])

    def test_reload_asks_no_peer(self) -> None:
        """A follower whose offset expired reads the log, without waiting."""
        self.load(*range(7))
        calls = len(self.cluster.network.calls)
        self.log.loads.clear()
        follower = self.cluster.followers[self.order[-1]]
        with mock.patch.object(self.log, 'read', autospec=True) as read:
            read.side_effect = [
                log_port.OffsetExpired('gone'),
                log_port.Page(self.log.end, []),
            ]
            follower.catch_up()
        self.assertEqual(calls, len(self.cluster.network.calls))
        self.assertEqual(PAGE_KEYS, tuple(self.log.loads))

    def test_expired_snapshot_is_not_shared(self) -> None:
        """Who would load it could not read on from its offset either."""
        self.load(0)
        root = self.order[0]
        with mock.patch.object(self.log, 'read', autospec=True) as read:
            read.side_effect = [
                log_port.OffsetExpired('gone'),
                log_port.Page(self.log.end, []),
            ]
            self.cluster.followers[root].catch_up()
        with self.assertRaises(snapshots.SnapshotDropped):
            self.cluster.loads[root].shared.wait_page('', 0.0)

    def test_copy_from_a_peer_is_not_complete_by_itself(self) -> None:
        """Only a read that reached the end of the log confirms it."""
        self.load(0)
        follower = self.cluster.followers[self.order[1]]
        with (
            mock.patch.object(
                self.log,
                'read',
                autospec=True,
                side_effect=log_port.LogError('down'),
            ),
            self.assertRaises(log_port.LogError),
        ):
            follower.catch_up()
        self.assertEqual(2, len(self.cluster.received))
        self.assertFalse(follower.has_caught_up)
        self.assertFalse(follower.wait_complete(0.0, 0.0))
        self.assertEqual(follower_module.MAX_STALENESS_S, follower.staleness_s)

    def test_records_appended_meanwhile_follow(self) -> None:
        """They are read from the offset of the peer's snapshot on."""
        self.load(0)
        self.log.add('a', b'newer')
        self.load(1)
        self.assertEqual(list(KEYS), [r.key for r in self.cluster.received[1]])
        self.assertEqual(
            [('a', b'newer', len(KEYS))],
            [tuple(record) for record in self.cluster.received[2]],
        )


class SnapshotsTest(unittest.TestCase):
    """Collect and keep pages."""

    def setUp(self) -> None:
        """Create a page."""
        self.record = log_port.Record('a', b'x', 3)
        self.page = log_port.NewestPage(4, [self.record], False)

    def test_page_of_an_earlier_offset_is_not_accepted(self) -> None:
        """It may lack records between its offset and the load's position."""
        load = snapshots.SnapshotLoad()
        load.add(self.page)
        self.assertTrue(load.accepts(self.page))
        self.assertTrue(load.accepts(self.page._replace(end=5)))
        self.assertFalse(load.accepts(self.page._replace(end=3)))

    def test_complete_snapshot_is_kept_for_a_limited_time(self) -> None:
        """Pages take memory and become old."""
        shared = snapshots.SharedSnapshot()
        with freezegun.freeze_time() as clock:
            shared.add('', self.page)
            clock.tick(snapshots.KEEP_S - 0.1)
            shared.drop_expired()
            self.assertEqual(self.page, shared.wait_page('', 0.0))
            clock.tick(0.2)
            shared.drop_expired()
        with self.assertRaises(snapshots.SnapshotDropped):
            shared.wait_page('', 0.0)

    def test_dropped_snapshot_is_not_collected_again(self) -> None:
        """Pages of a later load belong to another offset."""
        shared = snapshots.SharedSnapshot()
        shared.drop()
        shared.add('', self.page)
        with self.assertRaises(snapshots.SnapshotDropped):
            shared.wait_page('', 0.0)


class ThriftTest(unittest.TestCase):
    """Read a peer's pages over a connection."""

    def setUp(self) -> None:
        """Serve the pages of an instance that has not read any yet."""
        self.load = first_load.FirstLoad(
            clusters.TOPIC, 0, 'peer', 'dc', list, metrics.Metrics()
        )
        log = fakes.FakeLog()
        self.address = (serving.ADDRESS, serving.free_port())
        thrift_server.serve(
            *self.address,
            LogRelay.Processor(
                handler.RelayHandler(
                    log,
                    relay.FailoverLog(log, metrics.Metrics()),
                    metrics.Metrics(),
                    [self.load],
                )
            ),
        )
        self.pool = pool_module.ClientPool(LogRelay.Client)
        self.addCleanup(self.pool.close_idle, self.address)

    def fetch(self, topic: str = clusters.TOPIC) -> ttypes.LogPage:
        """Ask for the first page."""
        return self.pool.call(
            self.address,
            1000,
            lambda client: client.snapshot(topic, 0, '', 10),
            (ttypes.LogUnavailable, ttypes.LogExpired),
        )

    def test_page_that_is_not_read_yet_is_unavailable(self) -> None:
        """The caller asks again."""
        with self.assertRaises(ttypes.LogUnavailable):
            self.fetch()

    def test_page_is_served(self) -> None:
        """It has the records and the offset of the peer's own page."""
        record = log_port.Record('a', b'x', 3)
        self.load.add('', log_port.NewestPage(4, [record], False))
        page = self.fetch()
        self.assertEqual((4, False), (page.end, page.has_more))
        self.assertEqual([ttypes.LogRecord('a', b'x', 3)], page.records)

    def test_page_that_is_not_kept_has_expired(self) -> None:
        """The caller reads the log instead."""
        self.load.shared.drop()
        with self.assertRaises(ttypes.LogExpired):
            self.fetch()

    def test_other_topics_are_not_shared(self) -> None:
        """Their snapshots are small."""
        with self.assertRaises(ttypes.LogExpired):
            self.fetch('keyed.other')


if __name__ == '__main__':
    unittest.main()
