"""Test the follower of a compacted topic."""

import time
import unittest
from unittest import mock

import freezegun

from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module

from . import fakes


class FollowerTest(unittest.TestCase):
    """Follow an in-memory log."""

    def setUp(self) -> None:
        """Create a log and a follower whose records are collected."""
        self.log = fakes.FakeLog()
        self.received: list[tuple[str, bytes]] = []
        self.snapshots = 0
        self.failing_key = ''
        self.follower = follower_module.Follower(
            self.log, 'keyed.t', 0, self.receive, metrics.Metrics()
        )

    def receive(self, records: list[log_port.Record], snapshot: bool) -> None:
        """Collect records, or fail at one."""
        if any(record.key == self.failing_key for record in records):
            raise RuntimeError('listener fails on purpose')
        self.snapshots += snapshot
        self.received += [(record.key, record.value) for record in records]

    def test_catch_up_fails_once_records_were_missed(self) -> None:
        """What is lacking would be taken for not there."""
        self.follower.catch_up()
        self.failing_key = 'a'
        self.log.add('a')
        with self.assertRaises(RuntimeError):
            self.follower.catch_up_fully()
        with self.assertRaises(log_port.LogError):
            self.follower.catch_up_fully()

    def test_old_proof_is_renewed_without_waiting(self) -> None:
        """A resumed process need not wait for a long poll to end.

        Records that the listener failed on are never known to be complete;
        then the log must not be asked without a pause.
        """
        follower = follower_module.Follower(
            self.log,
            'keyed.t',
            0,
            self.receive,
            metrics.Metrics(),
            read_wait_s=0.05,
            renew_after_s=0.2,
        )
        self.log.before_read = lambda: time.sleep(self.log.waits[-1])
        follower.start()
        self.addCleanup(follower.stop)
        time.sleep(0.3)
        self.assertEqual({0.05}, set(self.log.waits[1:]))
        self.log.read_error = log_port.LogError('out of reach')
        time.sleep(0.5)
        self.assertEqual(0.0, self.log.waits[-1])
        self.log.read_error = None
        time.sleep(0.5)
        self.assertEqual(0.05, self.log.waits[-1])
        self.failing_key = 'a'
        self.log.add('a')
        time.sleep(0.6)
        self.assertGreater(follower.staleness_s, 0.2)
        self.assertEqual(0.05, self.log.waits[-1])

    def test_snapshot_comes_first_then_appended_records(self) -> None:
        """Each key's newest record comes once, appended records in order."""
        self.log.add('a', b'1')
        self.log.add('b', b'1')
        self.log.add('a', b'2')
        self.follower.catch_up()
        self.assertEqual([('b', b'1'), ('a', b'2')], self.received)
        self.log.add('c')
        self.follower.catch_up()
        self.assertEqual(('c', b'x'), self.received[-1])
        self.assertEqual(3, len(self.received))

    def test_failed_load_continues_where_it_stopped(self) -> None:
        """Pages that were read are not read again."""
        for key in ('a', 'b', 'c', 'd', 'e'):
            self.log.add(key)
        self.log.page_size = 2
        pages = iter([None, log_port.LogError('slow')])

        def fail_second() -> None:
            error = next(pages, None)
            if error is not None:
                raise error

        self.log.before_page = fail_second
        with self.assertRaises(log_port.LogError):
            self.follower.catch_up()
        self.log.add('b', b'newer')
        self.follower.catch_up()
        self.assertEqual(['', 'b', 'b', 'd'], self.log.loads)
        self.assertEqual(
            ['a', 'b', 'c', 'd', 'e', 'b'], [key for key, _ in self.received]
        )
        self.assertEqual(1, self.snapshots)

    def test_records_appended_between_pages_keep_their_order(self) -> None:
        """Records appended while a snapshot is read come in offset order."""
        for key in ('a', 'b', 'z'):
            self.log.add(key)
        self.log.page_size = 2
        added = iter([('c', b'late'), ('zz', b'later')])

        def add() -> None:
            for key, value in added:
                self.log.add(key, value)

        self.log.before_page = add
        self.follower.catch_up()
        self.assertEqual(
            ['a', 'b', 'z', 'c', 'zz'], [key for key, _ in self.received]
        )

    def test_records_removed_during_a_load_are_left_out(self) -> None:
        """Pages read before a removal do not bring back a part of it."""
        for key in ('a', 'b', 'z'):
            self.log.add(key)
        self.log.page_size = 1
        tombstones = iter(['a', 'b'])

        def remove() -> None:
            for key in tombstones:
                self.log.add(key, b'')

        self.log.before_page = remove
        self.follower.catch_up()
        self.assertEqual([('z', b'x'), ('a', b''), ('b', b'')], self.received)

    def test_expired_offset_reloads_the_snapshot(self) -> None:
        """Expired records are replaced by the newest record of each key."""
        self.log.add('a')
        self.follower.catch_up()
        self.log.add('b')
        self.log.add('c')
        self.log.first = 3
        self.follower.catch_up()
        self.assertEqual(2, self.snapshots)
        self.assertEqual({'a', 'b', 'c'}, {key for key, _ in self.received})

    def test_loaded_snapshot_is_not_the_end_yet(self) -> None:
        """A copy has caught up once a read has reached the end after it."""
        self.log.add('a')
        seen: list[bool] = []
        self.log.before_read = lambda: seen.append(self.follower.has_caught_up)
        self.follower.catch_up()
        self.assertEqual([False], seen)
        self.assertTrue(self.follower.has_caught_up)

    def test_truncated_log_is_reloaded_before_catch_up_returns(
        self,
    ) -> None:
        """Catching up never ends with records that the log has lost."""
        self.log.add('a')
        self.log.add('b')
        self.follower.catch_up()
        self.log.records.pop()
        self.assertEqual(1, self.follower.catch_up())
        self.assertEqual(2, self.snapshots)

    def test_silence_is_measured_up_to_the_last_read(self) -> None:
        """A hanging read adds nothing to the known silence."""
        self.log.add('a')
        with freezegun.freeze_time() as clock:
            since = time.monotonic()
            self.assertEqual(0.0, self.follower.silence_s(since))
            self.follower.catch_up()
            clock.tick(0.5)
            self.follower.catch_up()
            clock.tick(5.0)
            self.assertAlmostEqual(0.5, self.follower.silence_s(since), 3)
            self.assertEqual(0.0, self.follower.contact_duration_s)
            # The log was unreachable meanwhile.
            self.follower.catch_up()
            self.assertEqual(0.0, self.follower.silence_s(since))
            clock.tick(0.5)
            self.assertAlmostEqual(0.5, self.follower.contact_duration_s, 3)

    def test_compacted_end_is_the_end(self) -> None:
        """Catching up ends although the last offsets hold no records."""
        self.log.add('a')
        self.follower.catch_up()
        self.log.hidden_end = 2
        self.assertEqual(3, self.follower.catch_up())

    def test_failing_listener_does_not_end_the_thread(self) -> None:
        """Records after one that the listener fails on are delivered."""
        self.log.add('a')
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.wait_for('a')
        self.failing_key = 'bad'
        self.log.add('bad')
        self.log.add('c')
        time.sleep(0.3)
        self.log.add('d')
        self.wait_for('d')

    def wait_for(self, key: str) -> None:
        """Wait until a record has reached the listener."""
        ends_at = time.monotonic() + 5
        while key not in [seen for seen, _ in self.received]:
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.01)

    def test_failed_read_raises(self) -> None:
        """An unreachable log raises LogError; no catch-up is reported."""
        self.log.read_error = log_port.LogError('down')
        with self.assertRaises(log_port.LogError):
            self.follower.catch_up()
        self.assertFalse(self.follower.has_caught_up)

    def test_staleness_includes_the_time_of_the_read(self) -> None:
        """The log may have gained records since the read was sent.

        A process that is suspended meanwhile gets the response much later.
        """
        self.follower.catch_up()
        self.log.before_read = lambda: time.sleep(0.1)
        self.follower.catch_up()
        self.assertGreaterEqual(self.follower.staleness_s, 0.1)

    def test_staleness_includes_time_spent_suspended(self) -> None:
        """The steady clock stands still while the machine is suspended."""
        self.follower.catch_up()
        clock_gettime = time.clock_gettime
        with mock.patch(
            'time.clock_gettime',
            autospec=True,
            side_effect=lambda clock: clock_gettime(clock) + 30.0,
        ):
            self.assertGreaterEqual(self.follower.staleness_s, 30.0)
