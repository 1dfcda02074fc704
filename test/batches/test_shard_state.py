"""Test how a shard's records are applied."""

import unittest

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.ports import callers
from baobabpond.ports import log as log_port


def make_item(name: str) -> callers.Item:
    """Return an item."""
    return callers.Item(name, '/t', (('A', 'b'),), 'eA==', 9, 'g', 100)


def make_head(batch: str) -> records.BatchHead:
    """Return the head of a batch."""
    return records.BatchHead(batch, 'h', 'r', 0.0, 1, 'm', 1, 1, 2)


def make_batch(batch: str, *items: str) -> list[log_port.Record]:
    """Return the records of a batch."""
    return records.encode_batch(
        make_head(batch), tuple(make_item(name) for name in items)
    )


def make_result(batch: str, item: str, key_suffix: str) -> log_port.Record:
    """Return the record of one result."""
    result = callers.Result(item, True, f'text of {item}', (1,))
    return records.encode_results(records.Results(batch, [result]), key_suffix)


def with_offsets(*all_records: log_port.Record) -> list[log_port.Record]:
    """Return records with consecutive offsets."""
    return [
        record._replace(offset=offset)
        for offset, record in enumerate(all_records)
    ]


class ShardStateTest(unittest.TestCase):
    """Apply records in orders that the log may return."""

    def setUp(self) -> None:
        """Create an empty shard state."""
        self.shard_state = state_module.ShardState()

    def result_ids(self, batch: str) -> list[str]:
        """Return the ids of the items with a result, in order."""
        found = self.shard_state.get(batch)
        assert found is not None
        return [result.id for result in found.results]

    def test_results_before_their_batch_keep_their_order(self) -> None:
        """A retried append moves a batch behind its results."""
        self.shard_state.apply(
            with_offsets(
                make_result('b', 'two', '1.1'),
                make_result('b', 'one', '1.2'),
                *make_batch('b', 'one', 'two'),
            ),
            True,
        )
        self.assertEqual(['two', 'one'], self.result_ids('b'))

    def test_item_has_one_result(self) -> None:
        """A second result of an item is dropped."""
        self.shard_state.apply(
            with_offsets(
                *make_batch('b', 'one', 'two'),
                make_result('b', 'one', '1.1'),
                make_result('b', 'one', '2.1'),
                make_result('b', 'other', '2.2'),
            ),
            False,
        )
        self.assertEqual(['one'], self.result_ids('b'))

    def test_batch_needs_all_its_parts(self) -> None:
        """A batch exists only once all its parts are applied."""
        big = callers.Item('x', '/t', (), 'A' * 150_000, 9, 'g', 0)
        parts = records.encode_batch(
            make_head('b'), (big, big._replace(id='y'))
        )
        self.assertEqual(2, len(parts))
        self.shard_state.apply(with_offsets(parts[1]), False)
        self.assertIsNone(self.shard_state.get('b'))
        self.shard_state.apply(with_offsets(parts[0]), False)
        found = self.shard_state.get('b')
        assert found is not None
        self.assertEqual(['x', 'y'], [item.id for item in found.items])

    def test_parts_of_two_accounts_are_not_mixed(self) -> None:
        """Both may have chosen the same id at the same time."""
        big = callers.Item('x', '/t', (), 'A' * 150_000, 9, 'g', 0)
        kea, tui = (
            records.encode_batch(
                make_head('b')._replace(account=account),
                (big, big._replace(id='y')),
            )
            for account in ('kea', 'tui')
        )
        self.shard_state.apply(with_offsets(kea[0], tui[1]), False)
        self.assertIsNone(self.shard_state.get('b'))
        self.shard_state.apply(with_offsets(tui[0], kea[1]), False)
        found = self.shard_state.get('b')
        assert found is not None
        self.assertEqual('tui', found.head.account)

    def test_end_before_its_batch_is_applied(self) -> None:
        """An end record that precedes its batch still ends it."""
        self.shard_state.apply(
            with_offsets(records.encode_end('b'), *make_batch('b', 'one')),
            True,
        )
        found = self.shard_state.get('b')
        assert found is not None
        self.assertTrue(found.ended)

    def test_partial_outputs_are_not_mixed(self) -> None:
        """Events of an abandoned output are not part of the next one."""
        old = [
            records.Progress('i', '1.1', 1, ['a', 'b', 'c'], [1, 1, 1]),
            records.Progress('i', '1.1', 4, ['d'], [1]),
        ]
        new = records.Progress('i', '2.1', 1, ['A', 'B', 'C', 'D'], [2] * 4)
        self.shard_state.apply(
            with_offsets(
                *(records.encode_progress(segment) for segment in [*old, new])
            ),
            False,
        )
        outputs = {
            output.output_id: output.events
            for output in self.shard_state.partial_outputs('i')
        }
        self.assertEqual(['a', 'b', 'c', 'd'], [d for d, _ in outputs['1.1']])
        self.assertEqual(['A', 'B', 'C', 'D'], [d for d, _ in outputs['2.1']])

    def test_outputs_of_another_account_are_not_found(self) -> None:
        """Accounts choose the ids of items independently of one another.

        An account would otherwise read the output of another one's item, or
        have its own output listed for it.
        """
        item = callers.Item('i', '/t', (), '', 9, 'g', 0)
        progress = records.Progress('i', '1.1', 1, ['a'], [1])
        for account in ('kea', 'tui'):
            head = make_head(f'b-{account}')._replace(account=account)
            self.shard_state.apply(
                with_offsets(
                    *records.encode_batch(head, (item,)),
                    records.encode_progress(
                        progress._replace(output_id=account, account=account)
                    ),
                ),
                False,
            )
        for account in ('kea', 'tui'):
            (output,) = self.shard_state.partial_outputs('i', account)
            self.assertEqual(account, output.output_id)
        self.assertEqual([], self.shard_state.partial_outputs('i'))
        self.shard_state.apply(
            with_offsets(make_result('b-kea', 'i', '1.1')), False
        )
        self.assertIsNotNone(self.shard_state.completed('i', 'kea'))
        self.assertIsNone(self.shard_state.completed('i', 'tui'))
        self.assertIsNone(self.shard_state.completed('i'))

    def test_partial_output_ends_at_a_gap(self) -> None:
        """Events after a missing one are ignored."""
        segments = [
            records.Progress('i', '1.1', 1, ['a'], [1]),
            records.Progress('i', '1.1', 3, ['c'], [1]),
        ]
        self.shard_state.apply(
            with_offsets(
                *(records.encode_progress(segment) for segment in segments)
            ),
            False,
        )
        self.assertEqual(
            [('a', 1)], self.shard_state.partial_outputs('i')[0].events
        )

    def test_invalid_record_is_skipped(self) -> None:
        """An invalid record does not prevent later ones from applying."""
        self.shard_state.apply(
            with_offsets(
                log_port.Record('batch/x/0', b'not json'),
                *make_batch('b', 'one'),
            ),
            False,
        )
        self.assertIsNotNone(self.shard_state.get('b'))
