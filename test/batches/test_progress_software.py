"""Test that the log keeps the software version of partial outputs."""

import unittest

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.ports import log as log_port


def segment(first_event: int, software: str | None) -> log_port.Record:
    """Return a record of two events."""
    return records.encode_progress(
        records.Progress(
            'i', '1.1', first_event, ['a', 'b'], [1, 1], False, software
        )
    )


class ProgressSoftwareTest(unittest.TestCase):
    """Apply records of the progress of one output."""

    def join(self, *segments: log_port.Record) -> state_module.PartialOutput:
        """Return the output of some records."""
        state = state_module.ShardState()
        state.apply(list(segments), False)
        (output,) = state.partial_outputs('i')
        return output

    def test_version_is_kept(self) -> None:
        """A new owner resumes at it."""
        output = self.join(segment(1, 'v1'), segment(3, 'v1'))
        self.assertEqual(4, len(output.events))
        self.assertEqual('v1', output.software)

    def test_record_of_a_former_build_has_no_version(self) -> None:
        """It is read without an error."""
        former = log_port.Record(
            records.progress_key('i', '1.1', 1), b'[["a"],[1],false]'
        )
        output = self.join(former)
        self.assertEqual(1, len(output.events))
        self.assertIsNone(output.software)

    def test_events_of_another_version_do_not_follow(self) -> None:
        """Nor do those of an unknown one."""
        for other in ('v2', None):
            output = self.join(segment(1, 'v1'), segment(3, other))
            self.assertEqual(2, len(output.events))

    def test_default_version_of_a_service(self) -> None:
        """The newest record counts."""
        state = state_module.ShardState()
        self.assertIsNone(state.default_software('s/x'))
        for software in ('v1', 'v2'):
            record = records.encode_default_software('s/x', software)
            state.apply([record], False)
            self.assertEqual(software, state.default_software('s/x'))
