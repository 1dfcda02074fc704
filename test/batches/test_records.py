"""Test the encoding of records."""

import unittest

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.ports import callers
from baobabpond.ports import log as log_port

TEXT = 'The batten holds four hundred kilograms. ' * 40


class RecordsTest(unittest.TestCase):
    """Encode and decode records."""

    def test_large_records_are_compressed(self) -> None:
        """Instances that start together share the log's read rate."""
        results = records.Results(
            'b', [callers.Result('i', True, TEXT, (1, 2))]
        )
        record = records.encode_results(results, '1.1')
        self.assertLess(len(record.value), len(TEXT) / 2)
        self.assertEqual(
            results, records.decode_results(record.key, record.value)
        )

    def test_uncompressed_records_are_decoded(self) -> None:
        """Plain JSON written by an earlier version stays readable."""
        found = records.decode_results('result/b/1', b'[["i",true,"t",[3]]]')
        self.assertEqual(
            callers.Result('i', True, 't', (3,)), found.results[0]
        )

    def test_items_with_and_without_reward_calls(self) -> None:
        """Batches written by an earlier version have items without one."""
        call = callers.RewardCall('r', 'h', '/score', 'eA==')
        items = (
            callers.Item('i', '/t', (('A', 'b'),), '', 9, 'g', 0, 0, call),
            callers.Item('j', '/t', (), '', 9, 'g', 0),
        )
        head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', 1, 1, 1)
        [record] = records.encode_batch(head, items)
        self.assertEqual(items, records.decode_batch(record.value).items)
        former = (
            b'[["b","h","r",0,1,"m",1,1,1],1,0,[["j","/t",[],"",9,"g",0]]]'
        )
        self.assertEqual(items[1:], records.decode_batch(former).items)

    def test_progress_of_an_earlier_version_is_incomplete(self) -> None:
        """Its output is continued."""
        progress = records.decode_progress(
            'progress/i/1.1/1', b'[["data"],[3]]'
        )
        self.assertFalse(progress.is_last)

    def test_accounts_of_batches(self) -> None:
        """Earlier builds write none, and skip records that have one."""
        item = callers.Item('j', '/t', (), '', 9, 'g', 0)
        head = records.BatchHead('b', 'h', 'r', 0.0, 1, 'm', 1, 1, 1)
        for account in (None, '', 'kea'):
            expected = head._replace(account=account)
            [record] = records.encode_batch(expected, (item,))
            self.assertEqual(expected, records.decode_batch(record.value).head)
        [record] = records.encode_batch(head, (item,))
        self.assertIn(b'[["b","h","r",0.0,1,"m",1,1,1],', record.value)

    def test_accounts_of_progress(self) -> None:
        """Earlier builds write none, and skip records that have one."""
        progress = records.Progress('i', '1.1', 1, ['a'], [1], False, 's')
        for account in (None, '', 'kea'):
            expected = progress._replace(account=account)
            record = records.encode_progress(expected)
            self.assertEqual(
                expected, records.decode_progress(record.key, record.value)
            )
        record = records.encode_progress(progress)
        self.assertEqual(b'[["a"],[1],false,"s"]', record.value)

    def test_corrupt_record_is_skipped(self) -> None:
        """A corrupt record must not prevent later ones from applying."""
        owner = records.encode_owner(records.OwnerRecord('a', 'x', 1, False))
        shard_state = state_module.ShardState()
        shard_state.apply(
            [
                log_port.Record('result/b/1', b'\x78\x9cspoilt', 0),
                log_port.Record(owner.key, owner.value, 1),
            ],
            False,
        )
        self.assertEqual('a', shard_state.owner.record.instance)


if __name__ == '__main__':
    unittest.main()
