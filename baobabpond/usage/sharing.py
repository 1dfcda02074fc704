"""Append the counts of this instance to the log."""

import threading
import time
import typing
import uuid

import structlog

from .. import metrics as metrics_module
from ..ports import log as log_port

from . import recorder as recorder_module
from . import records
from . import shared_counts as shared_module
from . import time_of_day as time_module

# Shortest time between two appends. A change after a pause is appended at
# once, so that few counts are lost with an instance that is killed.
INTERVAL_S = 0.5
# Pause after an append that failed or had no answer.
RETRY_S = 0.2
# Without changes, how often to look for records that must be appended again.
CHECK_S = 1.0
# Appends that are tried before the process exits.
FLUSH_ATTEMPTS = 3
# Counts are appended again if they were not read back after this time.
REPEAT_S = 1.0

LOG = structlog.get_logger(__name__)


class AppendedCounts(typing.NamedTuple):
    """Counts that the log has confirmed."""

    counts: recorder_module.WindowCounts
    # When they were confirmed, by time.monotonic().
    at: float


def differences(
    counts: dict[str, int], others: dict[str, int]
) -> dict[str, int]:
    """Return counts less others, for the accounts where they differ."""
    accounts = sorted({*counts, *others})
    found = {a: counts.get(a, 0) - others.get(a, 0) for a in accounts}
    return {account: count for account, count in found.items() if count}


class CountSharing:
    """Append the counts that the log lacks; drop those of closed windows."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        recorder: recorder_module.UsageRecorder,
        shared: shared_module.SharedCounts,
        time_of_day: time_module.TimeOfDay,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._incarnation = uuid.uuid4().hex[:8]
        self._log = log
        self._recorder = recorder
        self._shared = shared
        self._time_of_day = time_of_day
        self._metrics = metrics
        # By window, the counts that the log has confirmed last.
        self._appended: dict[int, AppendedCounts] = {}
        self._changed = threading.Event()
        recorder.set_listener(self._changed.set)
        shared.set_listener(self._changed.set)

    def start(self) -> None:
        """Append in a background thread."""
        threading.Thread(target=self._run, name='usage', daemon=True).start()

    def pending(self) -> list[log_port.Record]:
        """Return the records of counts that the log lacks."""
        now = time.monotonic()
        unix_s = time.time()
        pending = []
        for window, counts in self._recorder.counts().items():
            key = self._key(window)
            if self._shared.newest_revision(key) >= counts.revision:
                self._appended[window] = AppendedCounts(counts, now)
                continue
            appended = self._appended.get(window)
            if (
                appended is not None
                and appended.counts.revision >= counts.revision
                and now - appended.at < REPEAT_S
            ):
                continue
            value = records.CountsValue(counts, unix_s)
            pending.append(records.encode_counts(key, value))
        return pending

    def append_pending(self) -> float:
        """Append what the log lacks; return the pause in s until the next one.

        RETRY_S means that the append has failed or had no answer.
        """
        self.drop_closed()
        self._metrics.gauge(
            'usage.clock_difference_s', self._time_of_day.difference_s
        )
        pending = self.pending()
        if not pending:
            return 0.0
        result = self._log.append(
            records.TOPIC, records.COUNTS_PARTITION, pending
        )
        self._metrics.count(f'usage.appends.{result.outcome.value}')
        if result.outcome is not log_port.AppendOutcome.DONE:
            LOG.info(
                'counts not on the log yet',
                outcome=result.outcome.value,
                detail=result.detail,
                windows=len(pending),
            )
            return RETRY_S
        now = time.monotonic()
        for record in pending:
            window = records.decode_counts_key(record.key).window
            counts = records.decode_counts(record.value).counts
            self._appended[window] = AppendedCounts(counts, now)
        return INTERVAL_S

    def flush(self) -> None:
        """Append what the log lacks before the process exits."""
        for _ in range(FLUSH_ATTEMPTS):
            if self.append_pending() != RETRY_S:
                return

    def drop_closed(self) -> None:
        """Forget the windows that are closed; log what was not appended."""
        closed = self._shared.closed
        if closed is None:
            return
        for window in self._recorder.counts():
            if window > closed:
                continue
            # The counts at the removal: requests may be counted meanwhile.
            counts = self._recorder.drop(window)
            appended = self._appended.pop(window, None)
            confirmed = {} if appended is None else appended.counts.counts
            self._record_lost(window, differences(counts, confirmed))

    def _record_lost(self, window: int, lost: dict[str, int]) -> None:
        """Count requests that are missing in the report of their window."""
        if not lost:
            return
        self._metrics.count('usage.lost', sum(map(abs, lost.values())))
        LOG.warning(
            'counts came too late for their report',
            window=window,
            lost=lost,
            clock_difference_s=round(self._time_of_day.difference_s, 3),
        )

    def _key(self, window: int) -> records.CountsKey:
        return records.CountsKey(self._instance, self._incarnation, window)

    def _run(self) -> typing.NoReturn:
        while True:
            self._changed.wait(CHECK_S)
            self._changed.clear()
            pause_s = RETRY_S
            try:
                pause_s = self.append_pending()
            except Exception:
                # The thread must outlive a failure of one append.
                LOG.exception('sharing counts failed')
            if pause_s == RETRY_S:
                self._changed.set()
            time.sleep(pause_s)
