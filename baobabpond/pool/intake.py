"""Turn the items of open batches into tasks, as far as possible complete."""

import collections
import time
import typing

import structlog

from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..ports import callers

from . import partial_outputs as partial_outputs_module
from . import state

LOG = structlog.get_logger(__name__)

Tasks = dict[tuple[str, str], state.Task]


class RestoredItemListener(typing.Protocol):
    """Receive items that earlier runs have advanced."""

    def complete_output(self, task: state.Task) -> None:
        """Process that the output of an item is complete."""
        ...

    def finish(self, task: state.Task, result: callers.Result) -> None:
        """List the result of an item."""
        ...

    def discard(self, task: state.Task) -> None:
        """Stop the work for an item whose batch has ended."""
        ...


class Intake:
    """Add the items of new batches, and remove those that are finished.

    The scheduler's lock guards all calls.
    """

    def __init__(
        self,
        shard_state: state_module.ShardState,
        current: current_module.CurrentConfiguration,
        partial_outputs: partial_outputs_module.PartialOutputs,
        listener: RestoredItemListener,
    ) -> None:
        self._shard_state = shard_state
        self._current = current
        self._partial_outputs = partial_outputs
        self._listener = listener
        self._known_batches: set[str] = set()

    def reset(self) -> None:
        """Forget the batches of the former tenure."""
        self._known_batches.clear()

    def sync(self, tasks: Tasks) -> None:
        """Update the tasks by batch and item id from the shard's state."""
        for batch in self._shard_state.open_batches():
            if batch.head.id not in self._known_batches:
                self._known_batches.add(batch.head.id)
                self._add_batch(batch, tasks)
        persisted = collections.defaultdict(list)
        for key, task in list(tasks.items()):
            batch = task.batch
            if batch.ended and task.result is None:
                self._listener.discard(task)
                self._partial_outputs.retain(task)
            if batch.ended or task.id in batch.finished_ids:
                del tasks[key]
                if task.id in batch.finished_ids:
                    persisted[batch.head.id].append(task)
        for finished in persisted.values():
            _log_persisted(finished)

    def _add_batch(self, batch: state_module.Batch, tasks: Tasks) -> None:
        match = self._current.match(
            batch.head.host, batch.items[0].target.partition('?')[0]
        )
        route = match.route if match else None
        due_s = route.due_s if route else 0.0
        for item in batch.items:
            if item.id in batch.finished_ids:
                continue
            task = state.Task(batch, item, batch.submitted + due_s)
            if route is not None:
                task.single_version = route.single_version
                task.give_up_at = batch.submitted + route.give_up_after_s
            tasks[batch.head.id, item.id] = task
            self._restore(task)
        LOG.info(
            'batch taken up',
            batch=batch.head.id,
            model=batch.head.model,
            step=batch.head.step,
            min_version=batch.head.min_version,
            items=len(batch.items),
            listed=len(batch.finished_ids),
            due_s=due_s,
            age_s=round(time.monotonic() - batch.submitted, 3),
        )

    def _restore(self, task: state.Task) -> None:
        """Reuse the result or the events of earlier runs of the item."""
        failures = self._shard_state.failures(task.batch.head.id, task.id)
        task.failures = failures.runs
        task.reward_failures = failures.reward_calls
        task.persisted_failures = (failures.runs, failures.reward_calls)
        previous = self._shard_state.completed(
            task.id, task.batch.head.account
        )
        if previous is not None and _is_fresh(previous.result, task):
            self._reuse(task, previous)
        elif self._partial_outputs.resume(task):
            self._listener.complete_output(task)

    def _reuse(
        self, task: state.Task, previous: state_module.CompletedItem
    ) -> None:
        """Reuse a result, its score only if the same call would ask for it."""
        if previous.reward_call == task.item.reward_call:
            self._listener.finish(task, previous.result)
            return
        task.unscored = previous.result._replace(score='')
        task.is_output_persisted = True
        self._listener.complete_output(task)


def _is_fresh(result: callers.Result, task: state.Task) -> bool:
    """Return whether the weights behind a result are new enough."""
    return min(result.versions, default=0) >= task.min_version


def _log_persisted(tasks: list[state.Task]) -> None:
    """Write a log line for results of one batch that were persisted."""
    batch = tasks[0].batch
    now = time.monotonic()
    LOG.info(
        'results kept',
        batch=batch.head.id,
        count=len(tasks),
        listed=len(batch.finished_ids),
        items=len(batch.items),
        longest_wait_s=round(
            max(
                (now - task.finished_at for task in tasks if task.finished_at),
                default=0.0,
            ),
            3,
        ),
    )
