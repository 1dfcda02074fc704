"""Hold the counts of all instances, as the log has them."""

import collections
import threading
import typing

import structlog

from .. import decoding
from ..ports import log as log_port

from . import recorder as recorder_module
from . import records
from . import time_of_day as time_module

LOG = structlog.get_logger(__name__)


class SharedCounts:
    """Apply the records of counts and of the last closed window."""

    def __init__(
        self,
        instance: str,
        time_of_day: time_module.TimeOfDay,
        staleness_s: typing.Callable[[], float],
    ) -> None:
        self._instance = instance
        # Records that are being applied were appended within this time.
        self._staleness_s = staleness_s
        self._time_of_day = time_of_day
        self._lock = threading.Lock()
        # The highest revisions; an append without an answer may take effect
        # after a later one.
        self._counts: dict[
            records.CountsKey, recorder_module.WindowCounts
        ] = {}
        # The revisions of the newest records, which are those that an instance
        # reads that starts now; they may be lower than the highest ones.
        self._newest: dict[records.CountsKey, int] = {}
        self._closed: int | None = None
        self._on_closed: typing.Callable[[], None] = lambda: None

    @property
    def closed(self) -> int | None:
        """Return the last window that takes no more counts, if any."""
        return self._closed

    def set_listener(self, on_closed: typing.Callable[[], None]) -> None:
        """Set the callback that is called when a window was closed."""
        self._on_closed = on_closed

    def first_window(self, after: int = -1) -> int | None:
        """Return the first window after another one that has counts."""
        with self._lock:
            return min(
                (key.window for key in self._counts if key.window > after),
                default=None,
            )

    def newest_revision(self, key: records.CountsKey) -> int:
        """Return the revision that is the newest on the log; -1 if none."""
        with self._lock:
            return self._newest.get(key, -1)

    def total(self, window: int) -> dict[str, int]:
        """Return the sum of a window's counts, by account."""
        total: collections.Counter[str] = collections.Counter()
        with self._lock:
            for key, counts in self._counts.items():
                if key.window == window:
                    total.update(counts.counts)
        return dict(total)

    def keys_until(self, window: int) -> list[records.CountsKey]:
        """Return the keys of all counts up to a window."""
        with self._lock:
            return sorted(k for k in self._newest if k.window <= window)

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records in offset order."""
        before = self._closed
        with self._lock:
            if is_snapshot:
                self._counts.clear()
                self._newest.clear()
            for record in new_records:
                try:
                    self._apply_one(record, is_snapshot)
                except decoding.MalformedData as error:
                    LOG.error(
                        'ignoring malformed record of usage',
                        key=record.key,
                        error=str(error),
                    )
        if self._closed != before:
            self._on_closed()

    def _apply_one(self, record: log_port.Record, is_snapshot: bool) -> None:
        if record.key == records.CLOSED_KEY and record.value:
            closed = records.decode_window(record.value)
            self._closed = max(closed, self._closed or closed)
        elif record.key.startswith(records.COUNTS_PREFIX):
            key = records.decode_counts_key(record.key)
            if not record.value:
                self._counts.pop(key, None)
                self._newest.pop(key, None)
                return
            value = records.decode_counts(record.value)
            self._newest[key] = value.counts.revision
            known = self._counts.get(key, recorder_module.NO_COUNTS)
            if value.counts.revision > known.revision:
                self._counts[key] = value.counts
            if is_snapshot:
                return
            if key.instance == self._instance:
                self._time_of_day.record_own(value.unix_s)
            else:
                self._time_of_day.record(
                    key.instance, value.unix_s, self._staleness_s()
                )
