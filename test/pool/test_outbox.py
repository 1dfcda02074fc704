"""Test the records that the owner of a shard appends."""

import unittest

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.pool import outbox as outbox_module
from baobabpond.ports import callers
from test.pool import examples

# Limits of the log on the users' platform.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


class OutboxTest(unittest.TestCase):
    """Collect records."""

    def setUp(self) -> None:
        """Create an outbox."""
        self.outbox = outbox_module.Outbox(state_module.ShardState())
        self.outbox.reset(7)

    def finish(self, count: int, length: int) -> None:
        """Queue finished items with long outputs."""
        for number in range(count):
            task = examples.task(f'i{number}')
            task.result = callers.Result(task.id, True, 'x' * length, (1,))
            self.outbox.add(task)

    def test_results_of_a_long_outage_fit_the_log(self) -> None:
        """No record and no append exceeds the limits of the log."""
        self.finish(120, 45_000)
        listed = []
        while self.outbox.has_results:
            drained = self.outbox.drain([])
            self.assertTrue(drained)
            self.assertLess(
                sum(len(record.value) for record in drained), CALL_BYTES
            )
            for record in drained:
                self.assertLess(len(record.value), RECORD_BYTES)
                decoded = records.decode_results(record.key, record.value)
                listed += [result.id for result in decoded.results]
        self.assertEqual([f'i{number}' for number in range(120)], listed)

    def test_result_keys_are_unique(self) -> None:
        """No record of results overwrites another by its key."""
        self.finish(40, 30_000)
        keys = [record.key for record in self.outbox.drain([])]
        self.assertEqual(len(keys), len(set(keys)))

    def test_progress_is_persisted_in_parts(self) -> None:
        """A long output is persisted in consecutive records."""
        task = examples.task('i')
        task.output_id = '7.1'
        task.events = [('y' * 1000, 1)] * 400
        shard_state = state_module.ShardState()
        for _ in range(5):
            self.outbox.request_progress()
            drained = self.outbox.drain([task])
            shard_state.apply(drained, False)
            for record in drained:
                self.assertLess(len(record.value), RECORD_BYTES)
        self.assertEqual(
            task.events, shard_state.partial_outputs('i')[0].events
        )
