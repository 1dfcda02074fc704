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
        self._retained: dict[
            state_module.ItemKey, state_module.PartialOutput
        ] = {}

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch that prefixes the ids of new outputs."""
        self._epoch = epoch

    def restart(self, task: state.Task) -> None:
        """Start a new output without events."""
        self._last_output_number += 1
        task.output_id = f'{self._epoch}.{self._last_output_number}'
        task.events = []
        task.software = None
        task.persisted_events = 0
        task.is_output_persisted = False

    def resume(self, task: state.Task) -> bool:
        """Resume from the longest usable output of earlier runs.

        Returns whether that output is complete.
        """
        outputs = self._shard_state.partial_outputs(
            task.id, task.batch.head.account
        )
        persisted = {output.output_id: output for output in outputs}
        retained = self._retained.pop(_item_key(task), None)
        if retained is not None:
            outputs.append(retained)
        usable = [output for output in outputs if is_resumable(output, task)]
        self.restart(task)
        if not usable:
            return False
        output = max(usable, key=_usefulness)
        task.events = list(output.events)
        task.software = output.software
        task.output_id = output.output_id
        on_log = persisted.get(output.output_id)
        if on_log is not None:
            task.persisted_events = len(on_log.events)
            task.is_output_persisted = on_log.is_complete
        return output.is_complete

    def require_single_version(self, task: state.Task) -> None:
        """Require one weight version for all events of the item."""
        task.single_version = True
        if len({version for _, version in task.events}) > 1:
            self.restart(task)

    def retain(self, task: state.Task) -> None:
        """Retain the events of an item whose batch has ended."""
        if not task.events:
            return
        self._retained[_item_key(task)] = state_module.PartialOutput(
            task.output_id,
            list(task.events),
            task.unscored is not None,
            task.software,
        )
        while len(self._retained) > MAX_RETAINED:
            self._retained.pop(next(iter(self._retained)))


def _item_key(task: state.Task) -> state_module.ItemKey:
    return state_module.ItemKey(task.batch.head.account, task.id)


def _usefulness(output: state_module.PartialOutput) -> tuple[bool, int]:
    return output.is_complete, len(output.events)


def is_resumable(output: state_module.PartialOutput, task: state.Task) -> bool:
    """Return whether an item can resume from an output.

    An incomplete one needs a known software version to go on at.
    """
    if output.software is None and not output.is_complete:
        return False
    versions = {version for _, version in output.events}
    if not versions or min(versions) < task.min_version:
        return False
    return len(versions) == 1 or not task.single_version
