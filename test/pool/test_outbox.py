"""Test what the owner appends."""

import unittest

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.pool import outbox as outbox_module
from baobabpond.ports import callers
from test.pool import examples

# What the users' platform takes.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


class OutboxTest(unittest.TestCase):
    """Collect records."""

    def setUp(self) -> None:
        """Make an outbox."""
        self.outbox = outbox_module.Outbox(state_module.ShardState())
        self.outbox.begin(7)

    def finish(self, count: int, length: int) -> None:
        """Add finished items with long outputs."""
        for number in range(count):
            work = examples.work(f'i{number}')
            work.result = callers.Result(work.id, True, 'x' * length, (1,))
            self.outbox.add(work)

    def test_results_of_a_long_outage_fit_the_log(self) -> None:
        """No record and no append is larger than the log takes."""
        self.finish(120, 45_000)
        listed = []
        while self.outbox.has_results:
            taken = self.outbox.take([])
            self.assertTrue(taken)
            self.assertLess(sum(len(r.value) for r in taken), CALL_BYTES)
            for record in taken:
                self.assertLess(len(record.value), RECORD_BYTES)
                decoded = records.decode_results(record.key, record.value)
                listed += [result.id for result in decoded.results]
        self.assertEqual([f'i{number}' for number in range(120)], listed)

    def test_keys_of_results_are_used_once(self) -> None:
        """No record of results replaces another."""
        self.finish(40, 30_000)
        keys = [record.key for record in self.outbox.take([])]
        self.assertEqual(len(keys), len(set(keys)))

    def test_progress_is_kept_in_parts(self) -> None:
        """A long text is kept in records that follow one another."""
        work = examples.work('i')
        work.text = '7.1'
        work.events = [('y' * 1000, 1)] * 400
        shard_state = state_module.ShardState()
        for _ in range(5):
            self.outbox.want_progress()
            taken = self.outbox.take([work])
            shard_state.apply(taken, False)
            for record in taken:
                self.assertLess(len(record.value), RECORD_BYTES)
        self.assertEqual(
            work.events, shard_state.partial_outputs('i')[0].events
        )
