"""Test the records that the owner of a shard appends."""

import random
import string
import unittest
from unittest import mock

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.pool import outbox as outbox_module
from baobabpond.pool import state
from baobabpond.ports import callers
from baobabpond.ports import log as log_port
from test.pool import examples

# Limits of the log on the users' platform.
RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152


def incompressible(
    length: int, alphabet: str = string.ascii_letters + string.digits
) -> str:
    """Return random text, which compression makes little smaller."""
    return ''.join(random.Random(length).choices(alphabet, k=length))


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

    def drain_all(self) -> list[log_port.Record]:
        """Return the records of all appends that are due; check each."""
        drained: list[log_port.Record] = []
        while self.outbox.has_results:
            drained += self.outbox.drain([])
        for record in drained:
            self.assertLessEqual(len(record.value), RECORD_BYTES, record.key)
        return drained

    def results_in(
        self, drained: list[log_port.Record]
    ) -> dict[str, callers.Result]:
        """Return the results in records by item."""
        return {
            result.id: result
            for record in drained
            if record.key.startswith(f'{records.RESULT}/')
            for result in records.decode_results(
                record.key, record.value
            ).results
        }

    def test_result_too_large_for_a_record_is_final(self) -> None:
        """Guard against an append that the log refuses each time.

        The owner would give up the shard, and so would the next one.
        """
        for number in range(9):
            task = examples.task(f'i{number}')
            output = incompressible(700_000) if number == 4 else 'x' * 100
            task.result = callers.Result(task.id, True, output, (1,))
            self.outbox.add(task)
        found = self.results_in(self.drain_all())
        self.assertEqual({f'i{n}' for n in range(9)}, set(found))
        self.assertEqual(
            ['i4'], [r.id for r in found.values() if not r.completed]
        )

    def test_results_that_grow_when_encoded_are_split(self) -> None:
        """Guard against a limit that only the text itself is kept to."""
        for number in range(9):
            task = examples.task(f'i{number}')
            # JSON takes six bytes for each character.
            output = incompressible(30_000, '\x01\x02\x03\u4e00\U0001f600')
            task.result = callers.Result(task.id, True, output, (1,))
            self.outbox.add(task)
        with mock.patch.object(
            records, 'MAX_RECORD_BYTES', 40_000, spec_set=True
        ):
            drained = self.drain_all()
        for record in drained:
            self.assertLessEqual(len(record.value), 40_000)
        found = self.results_in(drained)
        self.assertEqual(9, sum(result.completed for result in found.values()))

    def test_event_too_large_for_a_record_ends_its_item(self) -> None:
        """Guard against progress that the log refuses each time."""
        large, other = examples.task('large'), examples.task('other')
        large.events = [('y', 1), (incompressible(700_000), 1), ('y', 1)]
        other.events = [('y', 1)]
        run = large.run = mock.create_autospec(state.Run, instance=True)
        drained = self.outbox.drain([large, other])
        self.outbox.request_progress()
        drained += self.outbox.drain([large, other])
        drained += self.drain_all()
        for record in drained:
            self.assertLessEqual(len(record.value), RECORD_BYTES, record.key)
        run.cancel.assert_called_once()
        self.assertIn('progress/other//1', [each.key for each in drained])
        self.assertFalse(self.results_in(drained)['large'].completed)

    def test_output_too_large_for_a_record_gets_no_reward_call(self) -> None:
        """Guard against a complete output that never is on the log."""
        task = examples.task('large')
        task.events = [(incompressible(700_000), 1)]
        task.unscored = callers.Result('large', True, 'y', (1,))
        self.outbox.add_output(task)
        found = self.results_in(self.drain_all())
        self.assertFalse(found['large'].completed)
        self.assertEqual([], self.outbox.confirm())

    def test_result_keys_are_unique(self) -> None:
        """No record of results overwrites another by its key."""
        self.finish(40, 30_000)
        keys = [record.key for record in self.outbox.drain([])]
        self.assertEqual(len(keys), len(set(keys)))

    def test_complete_output_is_persisted_and_confirmed(self) -> None:
        """It is confirmed when the log has its last part, in parts or not."""
        task = examples.task('i')
        task.output_id = '7.1'
        task.events = [('y' * 1000, 1)] * 400
        task.unscored = callers.Result('i', True, 'y', (1,))
        self.outbox.add_output(task)
        shard_state = state_module.ShardState()
        while self.outbox.has_results:
            self.assertFalse(task.is_output_persisted)
            shard_state.apply(self.outbox.drain([task]), False)
            confirmed = self.outbox.confirm()
        self.assertEqual([task], confirmed)
        self.assertTrue(task.is_output_persisted)
        output = shard_state.partial_outputs('i')[0]
        self.assertTrue(output.is_complete)
        self.assertEqual(task.events, output.events)

    def test_output_whose_events_are_persisted_is_marked_complete(
        self,
    ) -> None:
        """The end of a stream may follow its last event much later."""
        task = examples.task('i')
        task.output_id = '7.1'
        task.events = [('y', 1)] * 3
        shard_state = state_module.ShardState()
        shard_state.apply(self.outbox.drain([task]), False)
        self.assertFalse(shard_state.partial_outputs('i')[0].is_complete)
        task.unscored = callers.Result('i', True, 'y', (1,))
        self.outbox.add_output(task)
        shard_state.apply(self.outbox.drain([task]), False)
        output = shard_state.partial_outputs('i')[0]
        self.assertTrue(output.is_complete)
        self.assertEqual(3, len(output.events))

    def test_failures_are_persisted_once(self) -> None:
        """Their record is removed with the result."""
        task = examples.task('i')
        task.reward_failures = 2
        shard_state = state_module.ShardState()
        outbox = outbox_module.Outbox(shard_state)
        shard_state.apply(outbox.drain([task]), False)
        self.assertEqual(2, shard_state.failures('b', 'i').reward_calls)
        outbox.request_progress()
        self.assertEqual([], outbox.drain([task]))
        task.result = callers.Result('i', False, '', ())
        outbox.add(task)
        keys = [record.key for record in outbox.drain([task])]
        self.assertIn('failures/b/i', keys)

    def test_failed_reward_call_is_counted_before_the_next(self) -> None:
        """The item is confirmed once its count is on the log."""
        task = examples.task('i')
        task.unscored = callers.Result('i', True, 'y', (1,))
        task.reward_failures = 1
        self.outbox.add_failure(task)
        self.assertTrue(self.outbox.has_results)
        self.assertEqual([], self.outbox.confirm())
        [record] = self.outbox.drain([task])
        self.assertEqual(
            records.Failures('b', 'i', 0, 1),
            records.decode_failures(record.key, record.value),
        )
        self.assertEqual([task], self.outbox.confirm())

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
