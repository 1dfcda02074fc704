"""Test the follower of a keyed topic."""

import time
import unittest

import freezegun

from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module

from . import fakes


class FollowerTest(unittest.TestCase):
    """Follow a fake log."""

    def setUp(self) -> None:
        """Make a log and a follower that notes what it hears."""
        self.log = fakes.FakeLog()
        self.heard: list[tuple[str, bytes]] = []
        self.snapshots = 0
        self.fails_at = ''
        self.follower = follower_module.Follower(
            self.log, 'keyed.t', 0, self.hear, metrics.Metrics()
        )

    def hear(self, records: list[log_port.Record], snapshot: bool) -> None:
        """Note records, or fail at one."""
        if any(record.key == self.fails_at for record in records):
            raise RuntimeError('as told')
        self.snapshots += snapshot
        self.heard += [(r.key, r.value) for r in records]

    def test_newest_first_then_what_follows(self) -> None:
        """Each key's newest record comes once, later ones in order."""
        self.log.add('a', b'1')
        self.log.add('b', b'1')
        self.log.add('a', b'2')
        self.follower.catch_up()
        self.assertEqual([('b', b'1'), ('a', b'2')], self.heard)
        self.log.add('c')
        self.follower.catch_up()
        self.assertEqual(('c', b'x'), self.heard[-1])
        self.assertEqual(3, len(self.heard))

    def test_records_between_pages_keep_their_order(self) -> None:
        """What is appended while pages are read comes by its offset."""
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
            ['a', 'b', 'z', 'c', 'zz'], [key for key, _ in self.heard]
        )

    def test_expired_offset_loads_anew(self) -> None:
        """A gap is filled from the newest records."""
        self.log.add('a')
        self.follower.catch_up()
        self.log.add('b')
        self.log.add('c')
        self.log.first = 3
        self.follower.catch_up()
        self.assertEqual(2, self.snapshots)
        self.assertEqual({'a', 'b', 'c'}, {key for key, _ in self.heard})

    def test_log_that_went_back_is_loaded_before_the_end_is_told(
        self,
    ) -> None:
        """Who catches up never goes by records that the log lost."""
        self.log.add('a')
        self.log.add('b')
        self.follower.catch_up()
        self.log.records.pop()
        self.assertEqual(1, self.follower.catch_up())
        self.assertEqual(2, self.snapshots)

    def test_silence_is_known_up_to_the_last_answer(self) -> None:
        """A read that hangs says nothing of those that are silent."""
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
            # The log was away meanwhile.
            self.follower.catch_up()
            self.assertEqual(0.0, self.follower.silence_s(since))
            clock.tick(0.5)
            self.assertAlmostEqual(0.5, self.follower.contact_duration_s, 3)

    def test_compacted_end_is_the_end(self) -> None:
        """Offsets without records don't keep a reader waiting."""
        self.log.add('a')
        self.follower.catch_up()
        self.log.hidden_end = 2
        self.assertEqual(3, self.follower.catch_up())

    def test_listener_that_fails_does_not_end_the_task(self) -> None:
        """Records behind one that can't be taken still come."""
        self.log.add('a')
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.wait_for('a')
        self.fails_at = 'bad'
        self.log.add('bad')
        self.log.add('c')
        time.sleep(0.3)
        self.log.add('d')
        self.wait_for('d')

    def wait_for(self, key: str) -> None:
        """Wait until a record has been heard."""
        ends_at = time.monotonic() + 5
        while key not in [heard for heard, _ in self.heard]:
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.01)

    def test_failed_read_is_told(self) -> None:
        """An unreachable log raises, and nothing is complete."""
        self.log.read_error = log_port.LogError('down')
        with self.assertRaises(log_port.LogError):
            self.follower.catch_up()
        self.assertFalse(self.follower.has_caught_up)
