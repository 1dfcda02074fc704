"""Collect what the log shall keep, in appends that it takes."""

import collections
import collections.abc
import time

from ..batches import records
from ..batches import shard_state as state_module
from ..ports import callers
from ..ports import log as log_port

from . import work as work_module

PROGRESS_S = 0.5
# Bytes of one append.
APPEND_BYTES = 1_000_000
# Above a record's own text: names, versions and marks.
OVERHEAD_BYTES = 300


class Outbox:
    """Hold finished items until their results are on the log.

    The pool's lock guards all calls.
    """

    def __init__(self, shard_state: state_module.ShardState) -> None:
        self._shard_state = shard_state
        self._epoch = 0
        self._number = 0
        self._finished: collections.deque[work_module.Work] = (
            collections.deque()
        )
        self._useless_keys: list[str] = []
        self._progress_at = 0.0

    @property
    def has_results(self) -> bool:
        """Tell whether results wait."""
        return bool(self._finished)

    def begin(self, epoch: int) -> None:
        """Start anew for a tenure."""
        self._epoch = epoch
        self._number = 0
        self._finished.clear()
        self._useless_keys.clear()
        self._progress_at = 0.0

    def add(self, work: work_module.Work) -> None:
        """Take an item that has its result."""
        self._finished.append(work)

    def want_progress(self) -> None:
        """Let the next append keep all events so far."""
        self._progress_at = 0.0

    def take(
        self, works: collections.abc.Iterable[work_module.Work]
    ) -> list[log_port.Record]:
        """Return the records of the next append."""
        new = self._take_results()
        new += [records.tombstone(key) for key in self._useless_keys]
        self._useless_keys.clear()
        if time.monotonic() >= self._progress_at:
            self._progress_at = time.monotonic() + PROGRESS_S
            room = APPEND_BYTES - sum(len(record.value) for record in new)
            new += _progress(works, room)
        return new

    def _take_results(self) -> list[log_port.Record]:
        """Return results, small enough for a record and an append."""
        new: list[log_port.Record] = []
        batch = ''
        results: list[callers.Result] = []
        size = 0
        total = 0
        while self._finished and total < APPEND_BYTES:
            work = self._finished.popleft()
            if work.result is None:
                continue
            length = len(work.result.output.encode()) + OVERHEAD_BYTES
            is_full = size + length > records.MAX_PART_BYTES
            if results and (work.batch.head.id != batch or is_full):
                new.append(self._encode(batch, results))
                results = []
                size = 0
            batch = work.batch.head.id
            results.append(work.result)
            size += length
            total += length
            self._useless_keys += self._shard_state.progress_keys(work.id)
        if results:
            new.append(self._encode(batch, results))
        return new

    def _encode(
        self, batch: str, results: list[callers.Result]
    ) -> log_port.Record:
        self._number += 1
        return records.encode_results(
            records.Results(batch, results), f'{self._epoch}.{self._number}'
        )


def _progress(
    works: collections.abc.Iterable[work_module.Work], room: int
) -> list[log_port.Record]:
    """Return the events that the log does not keep yet, as far as they fit."""
    new = []
    for work in works:
        if work.result is not None:
            continue
        fresh = _fitting(work.events[work.kept_events :])
        if not fresh:
            continue
        record = records.encode_progress(
            records.Progress(
                work.id,
                work.text,
                work.kept_events + 1,
                [data for data, _ in fresh],
                [version for _, version in fresh],
            )
        )
        room -= len(record.value)
        if room < 0:
            break
        new.append(record)
        work.kept_events += len(fresh)
    return new


def _fitting(events: list[tuple[str, int]]) -> list[tuple[str, int]]:
    """Return the first events, as many as a record takes."""
    size = 0
    for number, (data, _) in enumerate(events):
        size += len(data.encode()) + OVERHEAD_BYTES
        if number and size > records.MAX_PART_BYTES:
            return events[:number]
    return events
