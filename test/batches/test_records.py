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
