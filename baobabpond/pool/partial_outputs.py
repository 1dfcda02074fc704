"""Manage partial outputs of items, from which later runs resume."""

from ..batches import shard_state as state_module

from . import state

# Maximum number of items of ended batches whose events are retained for later
# batches.
MAX_RETAINED = 2000


class PartialOutputs:
    """Assign ids to partial outputs, and find one to resume an item from.

    The scheduler's lock guards all calls.
    """

    def __init__(self, shard_state: state_module.ShardState) -> None:
        self._shard_state = shard_state
        self._epoch = 0
        self._last_output_number = 0
        # Events of items that were unfinished when their batch ended.
        self._retained: dict[str, state_module.PartialOutput] = {}

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch that prefixes the ids of new outputs."""
        self._epoch = epoch

    def restart(self, task: state.Task) -> None:
        """Start a new output without events."""
        self._last_output_number += 1
        task.output_id = f'{self._epoch}.{self._last_output_number}'
        task.events = []
        task.persisted_events = 0

    def resume(self, task: state.Task) -> None:
        """Resume from the longest usable output of earlier runs."""
        outputs = self._shard_state.partial_outputs(task.id)
        persisted_events = {
            output.output_id: len(output.events) for output in outputs
        }
        retained = self._retained.pop(task.id, None)
        if retained is not None:
            outputs.append(retained)
        usable = [output for output in outputs if is_resumable(output, task)]
        self.restart(task)
        if usable:
            output = max(usable, key=lambda output: len(output.events))
            task.events = list(output.events)
            task.output_id = output.output_id
            task.persisted_events = persisted_events.get(output.output_id, 0)

    def require_single_version(self, task: state.Task) -> None:
        """Require one weight version for all events of the item."""
        task.single_version = True
        if len({version for _, version in task.events}) > 1:
            self.restart(task)

    def retain(self, task: state.Task) -> None:
        """Retain the events of an item whose batch has ended."""
        if not task.events:
            return
        self._retained[task.id] = state_module.PartialOutput(
            task.output_id, list(task.events)
        )
        while len(self._retained) > MAX_RETAINED:
            self._retained.pop(next(iter(self._retained)))


def is_resumable(output: state_module.PartialOutput, task: state.Task) -> bool:
    """Return whether an item can resume from an output."""
    versions = {version for _, version in output.events}
    if not versions or min(versions) < task.min_version:
        return False
    return len(versions) == 1 or not task.single_version
