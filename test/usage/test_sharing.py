"""Test how counts get to the log."""

import time
import unittest
import unittest.mock

from baobabpond.ports import log as log_port
from baobabpond.usage import recorder as recorder_module
from baobabpond.usage import records
from baobabpond.usage import sharing as sharing_module

from . import examples

FIRST = examples.FIRST


class SharingTest(unittest.TestCase):
    """Share the counts of one instance with another one."""

    def setUp(self) -> None:
        """Start two instances in paused time."""
        self.cluster = examples.Cluster('ab')
        self.addCleanup(self.cluster.time.stop)
        self.log = self.cluster.log
        self.first, self.second = self.cluster.instances
        self.cluster.run(1.0)

    def count(self, number: int = 1) -> None:
        """Count requests at the first instance."""
        for _ in range(number):
            self.first.recorder.record('kea', examples.START_S)

    def read_total(self) -> dict[str, int]:
        """Return what the second instance knows."""
        self.second.follower.catch_up()
        return self.second.shared.total(FIRST)

    def test_counts_are_appended_once(self) -> None:
        """Not again while nothing changes."""
        self.count()
        self.cluster.run(3.0)
        self.assertEqual({'kea': 1}, self.read_total())
        before = len(self.log.partitions[0].appends)
        self.cluster.run(3.0)
        self.assertEqual(before, len(self.log.partitions[0].appends))

    def test_change_is_announced_at_once(self) -> None:
        """Few counts are lost with an instance that is killed."""
        self.assertEqual(0.0, self.first.sharing.append_pending())
        self.first.sharing._changed.clear()
        self.count()
        self.assertTrue(self.first.sharing._changed.is_set())
        self.assertEqual(
            sharing_module.INTERVAL_S, self.first.sharing.append_pending()
        )

    def test_counts_are_kept_while_the_log_is_away(self) -> None:
        """They are appended when it is back."""
        self.log.is_away = True
        self.count(3)
        self.assertEqual(
            sharing_module.RETRY_S, self.first.sharing.append_pending()
        )
        self.log.is_away = False
        self.first.sharing.append_pending()
        self.assertEqual({'kea': 3}, self.read_total())

    def test_last_counts_are_appended_before_an_exit(self) -> None:
        """Also if the first append fails."""
        self.count()
        self.log.partitions[0].outcomes.append(log_port.AppendOutcome.REFUSED)
        self.first.sharing.flush()
        self.assertEqual({'kea': 1}, self.read_total())

    def test_late_append_of_older_counts_is_mended(self) -> None:
        """It was unanswered, and takes effect after a newer one."""
        self.count()
        older = self.first.sharing.pending()
        self.count()
        self.cluster.run(1.0)
        self.log.append(records.TOPIC, records.COUNTS_PARTITION, older)
        self.assertEqual({'kea': 2}, self.read_total())
        self.cluster.run(3.0)
        # What an instance reads that starts now.
        newest = self.log.newest(records.TOPIC, records.COUNTS_PARTITION, '')
        total = sum(
            sum(records.decode_counts(record.value).counts.counts.values())
            for record in newest.records
        )
        self.assertEqual(2, total)

    def test_closed_window_is_not_appended_again(self) -> None:
        """What the log has is no loss; what came later is."""
        self.count(2)
        self.cluster.run(1.0)
        self.count()
        tombstone = log_port.Record(
            records.encode_counts_key(self.first.sharing._key(FIRST)), b''
        )
        closed = records.encode_window(records.CLOSED_KEY, FIRST)
        self.log.append(
            records.TOPIC, records.COUNTS_PARTITION, [closed, tombstone]
        )
        self.first.step()
        self.assertEqual([], self.first.sharing.pending())
        self.assertEqual(1, self.first.metrics.counter('usage.lost'))
        self.assertEqual({}, self.first.recorder.counts())

    def test_request_counted_while_its_window_is_dropped(self) -> None:
        """Guard against losing it without a log line."""
        self.count()
        self.cluster.run(1.0)
        self.log.append(
            records.TOPIC,
            records.COUNTS_PARTITION,
            [records.encode_window(records.CLOSED_KEY, FIRST)],
        )
        self.first.follower.catch_up()
        read_counts = self.first.recorder.counts

        def count_after_the_read() -> dict[int, recorder_module.WindowCounts]:
            counts = read_counts()
            self.count()
            return counts

        with unittest.mock.patch.object(
            self.first.recorder, 'counts', count_after_the_read
        ):
            self.first.sharing.drop_closed()
        self.assertEqual(1, self.first.metrics.counter('usage.lost'))

    def test_malformed_records_stop_nothing(self) -> None:
        """Another writer left them."""
        for key, value in (
            ('counts/x/y/z', b'{}'),
            ('counts/', b'{}'),
            (f'counts/{FIRST}/i/n', b'{"revision": "x"}'),
            ('closed', b'[]'),
            ('other', b'x'),
        ):
            self.log.partitions[0].add(key, value)
            self.log.partitions[1].add(key, value)
        self.count()
        self.cluster.run(1.0)
        self.assertEqual({'kea': 1}, self.read_total())
        self.assertFalse(self.second.follower.has_missed_records)

    def test_records_decode_to_what_was_encoded(self) -> None:
        """Names of instances may contain what separates the parts."""
        key = records.CountsKey('a/b', 'c0ffee', FIRST)
        value = records.CountsValue(
            recorder_module.WindowCounts(7, {'kea': 2}), time.time()
        )
        record = records.encode_counts(key, value)
        self.assertEqual(key, records.decode_counts_key(record.key))
        self.assertEqual(value, records.decode_counts(record.value))

    def test_differences(self) -> None:
        """Accounts without a difference are left out."""
        self.assertEqual(
            {'kea': 1, 'tui': -2},
            sharing_module.differences(
                {'kea': 2, 'moa': 1}, {'kea': 1, 'moa': 1, 'tui': 2}
            ),
        )


if __name__ == '__main__':
    unittest.main()
