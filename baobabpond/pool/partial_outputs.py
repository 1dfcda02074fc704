"""Manage partial outputs of items, from which later runs resume."""

from ..batches import shard_state as state_module

from . import state

# Maximum number of items of ended batches whose events are retained for later
# batches.
MAX_RETAINED = 2000


class PartialOutputs:
    """Name partial outputs, and find those that an item can resume from.

    The scheduler's lock guards all calls.
    """

    def __init__(self, shard_state: state_module.ShardState) -> None:
        self._shard_state = shard_state
        self._epoch = 0
        self._number = 0
        # Events of items that were unfinished when their batch ended.
        self._retained: dict[str, state_module.PartialOutput] = {}

    def set_epoch(self, epoch: int) -> None:
        """Set the epoch that prefixes the names of new outputs."""
        self._epoch = epoch

    def restart(self, task: state.Task) -> None:
        """Start a new output without events."""
        self._number += 1
        task.text_name = f'{self._epoch}.{self._number}'
        task.events = []
        task.persisted_events = 0

    def resume(self, task: state.Task) -> None:
        """Resume from the longest usable output of earlier runs."""
        texts = self._shard_state.partial_outputs(task.id)
        persisted = {text.name: len(text.events) for text in texts}
        retained = self._retained.pop(task.id, None)
        if retained is not None:
            texts.append(retained)
        usable = [text for text in texts if is_resumable(text, task)]
        self.restart(task)
        if usable:
            text = max(usable, key=lambda text: len(text.events))
            task.events = list(text.events)
            task.text_name = text.name
            task.persisted_events = persisted.get(text.name, 0)

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
            task.text_name, list(task.events)
        )
        while len(self._retained) > MAX_RETAINED:
            self._retained.pop(next(iter(self._retained)))


def is_resumable(text: state_module.PartialOutput, task: state.Task) -> bool:
    """Return whether an item can resume from an output."""
    versions = {version for _, version in text.events}
    if not versions or min(versions) < task.min_version:
        return False
    return len(versions) == 1 or not task.single_version
