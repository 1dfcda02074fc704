"""Collect records for the log, in appends within its size limits."""

import collections
import collections.abc
import time
import typing

import structlog

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

LOG = structlog.get_logger(__name__)


class Segment(typing.NamedTuple):
    """A record of events, and whether the output ends with them."""

    record: log_port.Record
    is_last: bool


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
            new += self._progress(tasks, MAX_APPEND_BYTES - _size(new))
        return new

    def _drain_results(self) -> list[log_port.Record]:
        """Return records of results, within the record and append limits."""
        new: list[log_port.Record] = []
        batch = ''
        listed: list[state.Task] = []
        size = 0
        total = 0
        while self._finished and total < MAX_APPEND_BYTES:
            task = self._finished.popleft()
            if task.result is None:
                continue
            length = len(task.result.output.encode()) + RECORD_OVERHEAD_BYTES
            is_full = size + length > records.MAX_PART_BYTES
            if listed and (task.batch.head.id != batch or is_full):
                new += self._encode(batch, listed)
                listed = []
                size = 0
            batch = task.batch.head.id
            listed.append(task)
            size += length
            total += length
            self._obsolete_keys += self._shard_state.temporary_keys(
                task.batch.head.id, task.id
            )
        if listed:
            new += self._encode(batch, listed)
        return new

    def _drain_outputs(self, remaining_bytes: int) -> list[log_port.Record]:
        """Return records of complete outputs, within the size limit."""
        new: list[log_port.Record] = []
        while self._outputs and remaining_bytes > 0:
            task = self._outputs[0]
            if task.result is not None or task.unscored is None:
                self._outputs.popleft()
                continue
            segment = _next_segment(task)
            if segment is None:
                self._outputs.popleft()
                self._give_up(task)
                continue
            new.append(segment.record)
            remaining_bytes -= len(segment.record.value)
            if segment.is_last:
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
        self, batch: str, tasks: list[state.Task]
    ) -> list[log_port.Record]:
        """Return records of the results of items that the log accepts.

        An item whose result alone exceeds the limit is given up: the log
        would refuse it at any time, and all that is appended with it.
        """
        self._record_number += 1
        record = records.encode_results(
            records.Results(
                batch, [task.result for task in tasks if task.result]
            ),
            f'{self._epoch}.{self._record_number}',
        )
        if not records.is_too_large(record):
            return [record]
        if len(tasks) == 1:
            _fail(tasks[0])
            return self._encode(batch, tasks)
        middle = len(tasks) // 2
        return [
            *self._encode(batch, tasks[:middle]),
            *self._encode(batch, tasks[middle:]),
        ]

    def _progress(
        self,
        tasks: collections.abc.Iterable[state.Task],
        remaining_bytes: int,
    ) -> list[log_port.Record]:
        """Return records of progress not persisted yet, within the limit.

        Complete outputs are queued by themselves.
        """
        new = []
        for task in tasks:
            if task.result is not None:
                continue
            if task.needs_events and len(task.events) > task.persisted_events:
                segment = _next_segment(task)
                if segment is None:
                    self._give_up(task)
                    continue
                new.append(segment.record)
                remaining_bytes -= len(segment.record.value)
            if (
                task.failures,
                task.reward_failures,
            ) != task.persisted_failures:
                new.append(_failures_record(task))
            if remaining_bytes < 0:
                break
        return new

    def _give_up(self, task: state.Task) -> None:
        """List an item as failed that has an event too large for a record."""
        _fail(task)
        if task.run is not None:
            task.run.cancel('output too large')
        self._finished.append(task)


def _fail(task: state.Task) -> None:
    """Replace the result of an item whose output exceeds a record."""
    LOG.warning(
        'item given up',
        request=task.id,
        batch=task.batch.head.id,
        reason='output too large for a record',
        events=len(task.events),
    )
    task.result = callers.Result(task.id, False, '', ())
    task.finished_at = time.monotonic()


def _failures_record(task: state.Task) -> log_port.Record:
    task.persisted_failures = (task.failures, task.reward_failures)
    return records.encode_failures(
        records.Failures(task.batch.head.id, task.id, *task.persisted_failures)
    )


def _next_segment(task: state.Task) -> Segment | None:
    """Return a record of the next events; None if one event exceeds it."""
    unpersisted = _first_part(task.events[task.persisted_events :])
    segment = _encode_segment(task, unpersisted)
    while records.is_too_large(segment.record):
        if len(unpersisted) < 2:
            return None
        unpersisted = unpersisted[: len(unpersisted) // 2]
        segment = _encode_segment(task, unpersisted)
    task.persisted_events += len(unpersisted)
    return segment


def _encode_segment(
    task: state.Task, events: list[tuple[str, int]]
) -> Segment:
    end = task.persisted_events + len(events)
    is_last = not task.needs_events and end == len(task.events)
    record = records.encode_progress(
        records.Progress(
            task.id,
            task.output_id,
            task.persisted_events + 1,
            [data for data, _ in events],
            [version for _, version in events],
            is_last,
            task.software,
            task.batch.head.account,
        )
    )
    return Segment(record, is_last)


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
