"""Test from which partial output an item resumes."""

import unittest

from baobabpond.batches import shard_state as state_module
from baobabpond.pool import partial_outputs as partial_outputs_module
from test.pool import examples


def output(
    output_id: str, *events: tuple[str, int]
) -> state_module.PartialOutput:
    """Return a partial output of one software version."""
    return state_module.PartialOutput(output_id, list(events), software='v1')


class FakeShardState:
    """Return the partial outputs that the log contains."""

    def __init__(self) -> None:
        self.outputs: list[state_module.PartialOutput] = []

    def partial_outputs(
        self, item: str, account: str | None = None
    ) -> list[state_module.PartialOutput]:
        """Return the partial outputs of an item."""
        return list(self.outputs)


class PartialOutputsTest(unittest.TestCase):
    """Resume from the output of earlier runs."""

    def setUp(self) -> None:
        """Create an item that allows version 2 and newer."""
        self.shard_state = FakeShardState()
        self.partial_outputs = partial_outputs_module.PartialOutputs(
            self.shard_state
        )
        self.partial_outputs.set_epoch(7)
        self.task = examples.task(min_version=2)

    def versions(self) -> list[int]:
        """Return the weight versions of the item's events."""
        return [version for _, version in self.task.events]

    def test_longest_usable_output_is_resumed(self) -> None:
        """Outputs with versions that the batch does not allow are ignored."""
        self.shard_state.outputs = [
            output('1.1', ('a', 1), ('b', 1), ('c', 2)),
            output('1.2', ('a', 2)),
            output('1.3', ('a', 2), ('b', 3)),
        ]
        self.partial_outputs.resume(self.task)
        self.assertEqual([2, 3], self.versions())
        self.assertEqual('1.3', self.task.output_id)
        self.assertEqual(2, self.task.persisted_events)

    def test_complete_output_is_preferred(self) -> None:
        """An item whose output is complete is not run again."""
        self.shard_state.outputs = [
            output('1.1', ('a', 2))._replace(is_complete=True),
            output('1.2', ('a', 2), ('b', 2)),
        ]
        self.assertTrue(self.partial_outputs.resume(self.task))
        self.assertEqual('1.1', self.task.output_id)
        self.assertTrue(self.task.is_output_persisted)

    def test_complete_output_of_old_weights_is_generated_again(self) -> None:
        """The batch's bound on staleness comes first."""
        self.shard_state.outputs = [
            output('1.1', ('a', 1))._replace(is_complete=True)
        ]
        self.assertFalse(self.partial_outputs.resume(self.task))
        self.assertEqual([], self.task.events)

    def test_output_of_an_unknown_software_version_begins_anew(self) -> None:
        """It was written by a build that did not note the version."""
        unknown = output('1.1', ('a', 2), ('b', 2))._replace(software=None)
        self.shard_state.outputs = [unknown, output('1.2', ('a', 2))]
        self.partial_outputs.resume(self.task)
        self.assertEqual('1.2', self.task.output_id)
        self.assertEqual('v1', self.task.software)
        self.shard_state.outputs = [unknown]
        self.partial_outputs.resume(self.task)
        self.assertEqual([], self.task.events)
        self.assertIsNone(self.task.software)

    def test_complete_output_needs_no_software_version(self) -> None:
        """No further events are asked for."""
        self.shard_state.outputs = [
            output('1.1', ('a', 2))._replace(is_complete=True, software=None)
        ]
        self.assertTrue(self.partial_outputs.resume(self.task))

    def test_without_an_output_a_new_one_starts(self) -> None:
        """New outputs have ids that no earlier tenure used."""
        self.partial_outputs.resume(self.task)
        first = self.task.output_id
        self.partial_outputs.restart(self.task)
        self.assertTrue(first.startswith('7.'))
        self.assertNotEqual(first, self.task.output_id)

    def test_events_of_an_ended_batch_are_reused_by_the_next(self) -> None:
        """An item that is submitted again resumes from its events."""
        self.task.events = [('a', 2), ('b', 2)]
        self.task.software = 'v1'
        self.partial_outputs.retain(self.task)
        again = examples.task(min_version=2)
        self.partial_outputs.resume(again)
        self.assertEqual(2, len(again.events))
        self.assertEqual('v1', again.software)
        self.assertEqual(0, again.persisted_events)

    def test_route_that_becomes_single_version_drops_mixed_events(
        self,
    ) -> None:
        """An output on such a route never mixes two weight versions."""
        self.task.events = [('a', 2), ('b', 3)]
        self.partial_outputs.require_single_version(self.task)
        self.assertEqual([], self.versions())
        self.task.events = [('a', 3), ('b', 3)]
        self.partial_outputs.require_single_version(self.task)
        self.assertEqual([3, 3], self.versions())
        self.assertEqual(3, self.task.required_version)


if __name__ == '__main__':
    unittest.main()
