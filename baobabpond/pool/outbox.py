"""Collect records for the log, in appends within its size limits."""

import collections
import collections.abc
import time

from ..batches import records
from ..batches import shard_state as state_module
from ..ports import callers
from ..ports import log as log_port

from . import state

PROGRESS_INTERVAL_S = 0.5
# Maximum size of one append.
MAX_APPEND_BYTES = 1_000_000
# Allowance per result or event for names, versions and JSON syntax.
RECORD_OVERHEAD_BYTES = 300


class Outbox:
    """Queue finished items until their results are appended to the log.

    The scheduler's lock guards all calls.
    """

    def __init__(self, shard_state: state_module.ShardState) -> None:
        self._shard_state = shard_state
        self._epoch = 0
        self._record_number = 0
        self._finished: collections.deque[state.Task] = collections.deque()
        # Complete outputs that are not on the log yet.
        self._outputs: collections.deque[state.Task] = collections.deque()
        # Items with a failed reward call that is not counted on the log yet.
        self._failed: collections.deque[state.Task] = collections.deque()
        # Those in the append that the log has not confirmed yet.
        self._unconfirmed: list[state.Task] = []
        self._obsolete_keys: list[str] = []
        self._next_progress_at = 0.0

    @property
    def has_results(self) -> bool:
        """Return whether records are queued that must not wait."""
        return bool(self._finished or self._outputs or self._failed)

    def reset(self, epoch: int) -> None:
        """Clear the queue for a new tenure."""
        self._epoch = epoch
        self._record_number = 0
        self._finished.clear()
        self._outputs.clear()
        self._failed.clear()
        self._unconfirmed.clear()
        self._obsolete_keys.clear()
        self._next_progress_at = 0.0

    def add(self, task: state.Task) -> None:
        """Queue an item that has a result."""
        self._finished.append(task)

    def add_output(self, task: state.Task) -> None:
        """Queue an item whose complete output has no score yet."""
        self._outputs.append(task)

    def add_failure(self, task: state.Task) -> None:
        """Queue an item whose reward call failed and will be sent again."""
        self._failed.append(task)

    def confirm(self) -> list[state.Task]:
        """Return the items whose reward calls may be sent now.

        Their complete outputs and failures are on the log. To be called when
        the log has the records of the last drain.
        """
        confirmed, self._unconfirmed = self._unconfirmed, []
        for task in confirmed:
            task.is_output_persisted = True
        return confirmed

    def request_progress(self) -> None:
        """Include all events received so far in the next append."""
        self._next_progress_at = 0.0

    def drain(
        self, tasks: collections.abc.Iterable[state.Task]
    ) -> list[log_port.Record]:
        """Return the records of the next append."""
        new = self._drain_results()
        new += [records.tombstone(key) for key in self._obsolete_keys]
        self._obsolete_keys.clear()
        new += self._drain_outputs(MAX_APPEND_BYTES - _size(new))
        new += self._drain_failures()
        if time.monotonic() >= self._next_progress_at:
            self._next_progress_at = time.monotonic() + PROGRESS_INTERVAL_S
            new += _progress(tasks, MAX_APPEND_BYTES - _size(new))
        return new

    def _drain_results(self) -> list[log_port.Record]:
        """Return records of results, within the record and append limits."""
        new: list[log_port.Record] = []
        batch = ''
        results: list[callers.Result] = []
        size = 0
        total = 0
        while self._finished and total < MAX_APPEND_BYTES:
            task = self._finished.popleft()
            if task.result is None:
                continue
            length = len(task.result.output.encode()) + RECORD_OVERHEAD_BYTES
            is_full = size + length > records.MAX_PART_BYTES
            if results and (task.batch.head.id != batch or is_full):
                new.append(self._encode(batch, results))
                results = []
                size = 0
            batch = task.batch.head.id
            results.append(task.result)
            size += length
            total += length
            self._obsolete_keys += self._shard_state.temporary_keys(
                task.batch.head.id, task.id
            )
        if results:
            new.append(self._encode(batch, results))
        return new

    def _drain_outputs(self, remaining_bytes: int) -> list[log_port.Record]:
        """Return records of complete outputs, within the size limit."""
        new: list[log_port.Record] = []
        while self._outputs and remaining_bytes > 0:
            task = self._outputs[0]
            if task.result is not None or task.unscored is None:
                self._outputs.popleft()
                continue
            record, is_last = _next_segment(task)
            new.append(record)
            remaining_bytes -= len(record.value)
            if is_last:
                self._unconfirmed.append(self._outputs.popleft())
        return new

    def _drain_failures(self) -> list[log_port.Record]:
        """Return records of the failures of reward calls."""
        new = []
        while self._failed:
            task = self._failed.popleft()
            if task.result is None:
                new.append(_failures_record(task))
                self._unconfirmed.append(task)
        return new

    def _encode(
        self, batch: str, results: list[callers.Result]
    ) -> log_port.Record:
        self._record_number += 1
        return records.encode_results(
            records.Results(batch, results),
            f'{self._epoch}.{self._record_number}',
        )


def _progress(
    tasks: collections.abc.Iterable[state.Task], remaining_bytes: int
) -> list[log_port.Record]:
    """Return records of progress not persisted yet, within the size limit.

    Complete outputs are queued by themselves.
    """
    new = []
    for task in tasks:
        if task.result is not None:
            continue
        if task.needs_events and len(task.events) > task.persisted_events:
            new.append(_next_segment(task)[0])
            remaining_bytes -= len(new[-1].value)
        if (task.failures, task.reward_failures) != task.persisted_failures:
            new.append(_failures_record(task))
        if remaining_bytes < 0:
            break
    return new


def _failures_record(task: state.Task) -> log_port.Record:
    task.persisted_failures = (task.failures, task.reward_failures)
    return records.encode_failures(
        records.Failures(task.batch.head.id, task.id, *task.persisted_failures)
    )


def _next_segment(task: state.Task) -> tuple[log_port.Record, bool]:
    """Return a record of the next events, and whether it is the last one."""
    unpersisted = _first_part(task.events[task.persisted_events :])
    first_event = task.persisted_events + 1
    task.persisted_events += len(unpersisted)
    is_last = not task.needs_events and task.persisted_events == len(
        task.events
    )
    record = records.encode_progress(
        records.Progress(
            task.id,
            task.output_id,
            first_event,
            [data for data, _ in unpersisted],
            [version for _, version in unpersisted],
            is_last,
            task.software,
            task.batch.head.account,
        )
    )
    return record, is_last


def _first_part(events: list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Return the leading events that fit into one record."""
    size = 0
    for number, (data, _) in enumerate(events):
        size += len(data.encode()) + RECORD_OVERHEAD_BYTES
        if number and size > records.MAX_PART_BYTES:
            return events[:number]
    return events


def _size(new: list[log_port.Record]) -> int:
    """Return the total size of records in bytes."""
    return sum(len(record.value) for record in new)
