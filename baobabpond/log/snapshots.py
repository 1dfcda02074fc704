"""Append snapshots before the records that they cover expire."""

import collections.abc
import threading
import time

from .. import metrics as metrics_module
from ..gen import records as schema

from . import shared

CHECK_INTERVAL_S = 1.0
# A new snapshot is due when the last one is older than this fraction of the
# retention.
MAX_AGE_FRACTION = 0.25
# Each rank waits longer than the one before, so that usually only one
# instance appends the snapshot.
RANK_STEP = 0.25
MAX_RANK = 4


class Snapshotter:
    """Append a snapshot when the newest one is too old."""

    def __init__(
        self,
        log: shared.SharedLog,
        metrics: metrics_module.Metrics,
        retention_s: float,
        max_records: int,
        rank: collections.abc.Callable[[], int],
    ) -> None:
        self._log = log
        self._metrics = metrics
        self._retention_s = retention_s
        self._max_records = max_records
        self._rank = rank
        self._stopping = threading.Event()

    def start(self) -> None:
        """Start the thread that checks whether a snapshot is due."""
        threading.Thread(
            target=self._run, name='snapshots', daemon=True
        ).start()

    def stop(self) -> None:
        """Ask the thread to end."""
        self._stopping.set()

    def append_if_due(self) -> bool:
        """Append a snapshot if one is due; return whether it was."""
        if not self._is_due():
            return False
        with self._log.state.changed:
            item: schema.Snapshot = {
                'type': 'snapshot',
                'offset': self._log.state.next_offset - 1,
                'state': self._log.state.dump(),
            }
        self._log.writer.submit(item)
        self._metrics.count('log.snapshots')
        self._log.writer.flush(time.monotonic() + CHECK_INTERVAL_S)
        return True

    def due_ratio(self) -> float:
        """Return how far a snapshot is due; at 1.0 one is due on rank 0."""
        uncovered = (
            self._log.state.next_offset - self._log.state.snapshot_offset - 1
        )
        age_s = time.time() - self._log.state.snapshot_time_s
        return max(
            uncovered / self._max_records,
            age_s / (self._retention_s * MAX_AGE_FRACTION),
        )

    def _is_due(self) -> bool:
        if not self._log.follower.healthy or self._log.state.next_offset == 0:
            return False
        threshold = 1.0 + RANK_STEP * min(self._rank(), MAX_RANK)
        return self.due_ratio() >= threshold

    def _run(self) -> None:
        while not self._stopping.is_set():
            # Woken by each record: a burst may outpace any fixed interval.
            self._log.state.wait_for(
                self._is_due, time.monotonic() + CHECK_INTERVAL_S
            )
            self.append_if_due()
