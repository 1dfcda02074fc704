"""Test which records are removed from the log."""

import time
import unittest
from unittest import mock

from baobabpond.batches import records
from baobabpond.batches import retention
from baobabpond.batches import shard_state as state_module

from . import test_shard_state

RETENTION_S = 120.0


class RetentionTest(unittest.TestCase):
    """Remove old batches."""

    def setUp(self) -> None:
        """Create an empty shard state."""
        self.shard_state = state_module.ShardState()

    def expired(self, age_s: float) -> list[str]:
        """Return the expired keys at an age of the batch in seconds."""
        now = time.monotonic() + age_s
        return retention.expired_keys(
            self.shard_state, self.shard_state.all_batches(), now, RETENTION_S
        )

    def test_open_batches_are_retained(self) -> None:
        """A batch with unfinished items is retained, however old."""
        self.shard_state.apply(
            test_shard_state.with_offsets(
                *test_shard_state.make_batch('b', 'one')
            ),
            False,
        )
        self.assertEqual([], self.expired(10_000))

    def test_closed_batches_expire_with_all_their_keys(self) -> None:
        """All records of a batch expire once it can't be read any more."""
        progress = records.Progress('one', '1.1', 1, ['a'], [1])
        result = test_shard_state.make_result('b', 'two', '1.1')
        self.shard_state.apply(
            test_shard_state.with_offsets(
                *test_shard_state.make_batch('b', 'one', 'two'),
                records.encode_progress(progress),
                result,
                records.encode_end('b'),
            ),
            False,
        )
        self.assertEqual([], self.expired(RETENTION_S))
        keys = self.expired(RETENTION_S + 60)
        self.assertEqual(
            {'batch/b/0', result.key, 'end/b', 'progress/one/1.1/1'}, set(keys)
        )
        self.shard_state.apply(
            test_shard_state.with_offsets(
                *(records.tombstone(key) for key in keys)
            ),
            False,
        )
        self.assertIsNone(self.shard_state.get('b'))
        self.assertEqual([], self.shard_state.partial_outputs('one'))

    def test_all_keys_of_a_large_batch_expire_over_several_appends(
        self,
    ) -> None:
        """The keys that did not fit into one append are removed later."""
        items = [f'item-{number}' for number in range(500)]
        results = [
            test_shard_state.make_result('b', item, f'1.{number}')
            for number, item in enumerate(items)
        ]
        on_log = [
            *test_shard_state.make_batch('b', *items),
            *results,
            records.encode_end('b'),
        ]
        self.shard_state.apply(test_shard_state.with_offsets(*on_log), False)
        removed: set[str] = set()
        while keys := self.expired(RETENTION_S + 60):
            removed.update(keys)
            self.shard_state.apply(
                test_shard_state.with_offsets(
                    *(records.tombstone(key) for key in keys)
                ),
                False,
            )
        self.assertEqual(set(), {record.key for record in on_log} - removed)

    def complete(self, batch: str) -> None:
        """List all results of a batch that its trainer does not end."""
        self.shard_state.apply(
            test_shard_state.with_offsets(
                *test_shard_state.make_batch(batch, f'item-{batch}'),
                test_shard_state.make_result(batch, f'item-{batch}', '1.1'),
            ),
            False,
        )

    def test_complete_batch_is_readable_until_it_ends(self) -> None:
        """Guard against a removal before a slow trainer has read it."""
        self.complete('b')
        self.assertEqual([], self.expired(RETENTION_S + 600))
        self.shard_state.apply(
            test_shard_state.with_offsets(records.encode_end('b')), False
        )
        self.assertIn('batch/b/0', self.expired(RETENTION_S + 600))

    def test_end_does_not_shorten_the_time_to_read(self) -> None:
        """Guard against a removal before the guaranteed time is over."""
        self.complete('b')
        self.shard_state.apply(
            test_shard_state.with_offsets(records.encode_end('b')), False
        )
        self.assertEqual([], self.expired(RETENTION_S))

    def test_abandoned_batches_are_bounded(self) -> None:
        """Guard against a log that fills as trainers end no batch."""
        for number in range(3):
            self.complete(f'b{number}')
        self.assertEqual([], self.expired(retention.ABANDONED_S - 1.0))
        size = retention.size_bytes(self.shard_state.all_batches()[0])
        with mock.patch.object(
            retention, 'MAX_UNENDED_BYTES', 2 * size, spec_set=True
        ):
            removed = self.expired(RETENTION_S + 600)
            self.assertEqual([], self.expired(RETENTION_S))
        self.assertEqual({'batch/b0/0', 'result/b0/1.1'}, set(removed))
        keys = self.expired(retention.ABANDONED_S + 1.0)
        self.assertEqual(6, len(keys))

    def test_wrong_time_of_day_does_not_expire_a_batch(self) -> None:
        """Times of day differ between instances, and may be stepped."""
        now = time.time()
        head = test_shard_state.make_head('b')._replace(submitted_at=now)
        with mock.patch('time.time', autospec=True, return_value=now + 180):
            self.shard_state.apply(
                test_shard_state.with_offsets(
                    *records.encode_batch(
                        head, (test_shard_state.make_item('one'),)
                    ),
                    test_shard_state.make_result('b', 'one', '1.1'),
                ),
                True,
            )
        self.assertEqual([], self.expired(1.0))
