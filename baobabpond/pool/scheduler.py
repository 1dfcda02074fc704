"""Schedule the items of open batches while this instance owns the shard."""

import collections
import collections.abc
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..batches import ownership
from ..batches import records
from ..batches import retention
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..ports import callers
from ..ports import log as log_port
from ..streams import default_version

from . import fleet as fleet_module
from . import intake as intake_module
from . import loader as loader_module
from . import outbox as outbox_module
from . import partial_outputs as partial_outputs_module
from . import reward_stage as reward_stage_module
from . import run_stage as run_stage_module
from . import runner as runner_module
from . import state
from . import waiting

TICK_S = 0.05
RETENTION_INTERVAL_S = 5.0

LOG = structlog.get_logger(__name__)

Snapshot = typing.TypeVar('Snapshot')


class Scheduler:
    """Pass items through the stages; one lock guards their state."""

    def __init__(
        self,
        shard_state: state_module.ShardState,
        fleet: fleet_module.Fleet,
        current: current_module.CurrentConfiguration,
        runner: runner_module.Runner,
        rewards: reward_stage_module.RewardStage,
        loader: loader_module.Loader,
        default_versions: default_version.DefaultVersions,
        batch_retention_s: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._batch_retention_s = batch_retention_s
        self._next_retention_at = 0.0
        self._shard_state = shard_state
        self._loader = loader
        self._default_versions = default_versions
        self._changed = threading.Condition()
        self._tenure: ownership.Tenure | None = None
        self._tasks: dict[tuple[str, str], state.Task] = {}
        self._partial_outputs = partial_outputs_module.PartialOutputs(
            shard_state
        )
        self._outbox = outbox_module.Outbox(shard_state)
        self._append_requested = False
        self._rewards = rewards
        rewards.attach(self._changed, self)
        self._runs = run_stage_module.RunStage(
            self._changed,
            self,
            fleet,
            current,
            runner,
            self._partial_outputs,
            metrics,
        )
        self._intake = intake_module.Intake(
            shard_state, current, self._partial_outputs, self
        )

    def set_batch_retention_s(self, batch_retention_s: float) -> None:
        """Set how long batches stay readable."""
        self._batch_retention_s = batch_retention_s

    def start(self, tenure: ownership.Tenure) -> None:
        """Start scheduling for a new tenure."""
        with self._changed:
            self._tenure = tenure
            self._partial_outputs.set_epoch(tenure.epoch)
            self._tasks.clear()
            self._intake.reset()
            self._outbox.reset(tenure.epoch)
            self._runs.reset()
            self._rewards.reset()
            self._default_versions.reset()
        threading.Thread(
            target=self._run, args=(tenure,), name='pool', daemon=True
        ).start()
        self._loader.start(tenure, self)

    def stop(self) -> None:
        """Stop scheduling; nothing may reach an upstream afterwards."""
        self._loader.stop()
        with self._changed:
            if self._tenure is None:
                return
            self._tenure = None
            for task in self._tasks.values():
                if task.run is not None:
                    task.run.cancel('ownership ended')
            self._runs.reset()
            self._rewards.reset()
            self._outbox.request_progress()
            self._changed.notify_all()

    @property
    def has_pending_results(self) -> bool:
        """Return whether results are waiting for another append."""
        with self._changed:
            return self._outbox.has_results

    def next_records(self, wait_s: float) -> list[log_port.Record]:
        """Return the records to append; wait until there are any."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._outbox.has_results or self._append_requested,
                wait_s,
            )
            self._append_requested = False
            new = self._loader.drain_intents()
            new += self._default_versions.due_records()
            new += self._outbox.drain(self._tasks.values())
            return new + self._expired_tombstones()

    def on_appended(self) -> None:
        """Send the reward calls whose outputs and failures the log has."""
        with self._changed:
            for task in self._outbox.confirm():
                self._rewards.add(task)

    def _expired_tombstones(self) -> list[log_port.Record]:
        now = time.monotonic()
        if now < self._next_retention_at:
            return []
        self._next_retention_at = now + RETENTION_INTERVAL_S
        keys = retention.expired_keys(
            self._shard_state,
            self._shard_state.all_batches(),
            now,
            self._batch_retention_s,
        )
        if keys:
            LOG.info('expired records are removed', keys=len(keys))
        return [records.tombstone(key) for key in keys]

    def request_append(self) -> None:
        """Request that the outbox is drained without delay."""
        with self._changed:
            self._append_requested = True
            self._changed.notify_all()

    def demand(self) -> collections.Counter[str]:
        """Return the number of unfinished items per model."""
        with self._changed:
            return collections.Counter(
                task.model
                for task in self._tasks.values()
                if task.needs_events
            )

    def _run(self, tenure: ownership.Tenure) -> None:
        revision = -1
        while True:
            items = rewards = None
            with self._changed:
                if self._tenure is not tenure:
                    return
                try:
                    if self._shard_state.revision != revision:
                        revision = self._shard_state.revision
                        self._intake.sync(self._tasks)
                    items = self._runs.snapshot(self._tasks.values())
                    rewards = self._rewards.snapshot(self._tasks.values())
                except Exception:
                    # An error in one item must not stop the others.
                    LOG.exception('scheduling pass failed')
            item_order = _rank(self._runs.rank, items)
            reward_order = _rank(self._rewards.rank, rewards)
            with self._changed:
                if self._tenure is not tenure:
                    return
                try:
                    self._runs.assign(self._tasks, item_order)
                    self._rewards.assign(reward_order)
                except Exception:
                    LOG.exception('scheduling pass failed')
                self._changed.wait(TICK_S)

    def complete_output(self, task: state.Task) -> None:
        """Finish an item, or have its complete output scored first.

        The caller holds the lock.
        """
        result = task.unscored or _join_events(task)
        if task.item.reward_call is None:
            self.finish(task, result)
            return
        task.unscored = result
        task.unscored_since = time.monotonic()
        if task.is_output_persisted:
            self._rewards.add(task)
        else:
            self._outbox.add_output(task)
            self._changed.notify_all()

    def count_reward_failure(self, task: state.Task) -> None:
        """Put the failures of an item on the log before the next call.

        The caller holds the lock.
        """
        self._outbox.add_failure(task)
        self._changed.notify_all()

    def discard(self, task: state.Task) -> None:
        """Stop the work for an item whose batch has ended."""
        if task.run is not None:
            task.run.cancel('batch ended')
        self._rewards.discard(task)

    def fail(self, task: state.Task, reason: str) -> None:
        """Give up an item; the caller holds the lock."""
        LOG.info(
            'item given up',
            request=task.id,
            batch=task.batch.head.id,
            reason=reason,
            failures=task.failures,
            reward_failures=task.reward_failures,
        )
        self.finish(task, callers.Result(task.id, False, '', ()))

    def finish(self, task: state.Task, result: callers.Result) -> None:
        """List the result of an item; the caller holds the lock."""
        task.result = result
        task.finished_at = time.monotonic()
        self._outbox.add(task)
        self._changed.notify_all()


def _rank(
    rank: collections.abc.Callable[[Snapshot], waiting.Order],
    snapshot: Snapshot | None,
) -> waiting.Order | None:
    """Put items into order while events of runs are processed."""
    if snapshot is None:
        return None
    try:
        return rank(snapshot)
    except Exception:
        LOG.exception('waiting items could not be put into order')
        return None


def _join_events(task: state.Task) -> callers.Result:
    """Return the result of an item whose events are complete."""
    versions = sorted({version for _, version in task.events if version})
    output = '\n'.join(data for data, _ in task.events)
    return callers.Result(task.id, True, output, tuple(versions))
