"""Build the report of each window, and send it until it is acknowledged."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..duties import caller as caller_module
from ..duties import holder as holder_module
from ..ports import control
from ..ports import log as log_port
from ..store import follower as follower_module

from . import records
from . import reports as reports_module
from . import shared_counts as shared_module
from . import sharing
from . import time_of_day as time_module
from . import windows as windows_module

# Names the calls among which the platform compares fencing tokens.
SUBJECT = 'usage'
# Pause between two steps.
TICK_S = 0.2
# A report is built this long after the end of its window. Counts are appended
# within half a second, or two appends that time out. If the holder dies now,
# the next one owns the shard within 1.8 s and waits for the lease, 3 s; of the
# 10 s until the report is due, more than 2 s are left to send it.
BUILD_DELAY_S = 2.5
# After an outage of the log, the other instances append what they have.
MIN_CONTACT_S = 1.5
# Share of the time until a report is due after which it is built even without
# MIN_CONTACT_S: at a slow log contact is never that long.
MAX_WAIT_SHARE = 0.65
# Reports that are later are given up if the platform rejects them, and windows
# without counts are left out.
GIVE_UP_S = 60.0
INITIAL_BACKOFF_S = 0.1
MAX_BACKOFF_S = 1.0
# Tombstones in one append.
MAX_RECORDS_PER_APPEND = 500

LOG = structlog.get_logger(__name__)


class Reporter:
    """Record and send the reports while this instance owns the shard."""

    def __init__(
        self,
        holder: holder_module.DutyHolder,
        caller: caller_module.DutyCaller,
        api: control.ControlApi,
        windows: windows_module.Windows,
        due_s: float,
        time_of_day: time_module.TimeOfDay,
        shared: shared_module.SharedCounts,
        counts_follower: follower_module.Follower,
        reports: reports_module.Reports,
        reports_follower: follower_module.Follower,
        log: log_port.Log,
        reports_partition: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._holder = holder
        self._caller = caller
        self._api = api
        self._windows = windows
        self._due_s = due_s
        self._time_of_day = time_of_day
        self._shared = shared
        self._counts_follower = counts_follower
        self._reports = reports
        self._reports_follower = reports_follower
        self._log = log
        self._reports_partition = reports_partition
        self._metrics = metrics
        self._backoff_s = INITIAL_BACKOFF_S
        self._send_not_before = float('-inf')
        # The last window that was logged as left out; -1 if none was.
        self._skipped_until = -1
        # Windows whose acknowledgement may not be on the log yet.
        self._acknowledged: set[int] = set()

    def start(self) -> None:
        """Work in a background thread."""
        threading.Thread(
            target=self._run, name='usage-reports', daemon=True
        ).start()

    def step(self) -> None:
        """Record reports that are due, and send one that is recorded.

        Does nothing while another instance owns the shard. Raises LogError.
        """
        if self._holder.owner is None:
            return
        end = self._reports_follower.catch_up_fully()
        self._build_due(end)
        self._close_reported()
        self._send_pending()
        self._metrics.gauge(
            'usage.pending_reports', len(self._unacknowledged())
        )

    def _run(self) -> typing.NoReturn:
        while True:
            try:
                self.step()
            except log_port.LogError as error:
                self._metrics.count('usage.log_errors')
                LOG.info('reports of usage wait', error=str(error))
            except Exception:
                LOG.exception('reporting usage failed')
            time.sleep(TICK_S)

    def _build_due(self, end: int) -> None:
        """Record the reports of the windows that have ended."""
        window = self._next_window()
        while window is not None and self._is_due(window):
            if not self._record_report(self._skip_unused(window), end):
                # Another append was first, or the outcome is unknown.
                return
            end = self._reports_follower.catch_up_fully()
            window = self._next_window()

    def _next_window(self) -> int | None:
        """Return the first window without a report.

        None before any instance has recorded its first window.
        """
        last = self._reports.last
        return self._shared.first_window() if last is None else last + 1

    def _skip_unused(self, window: int) -> int:
        """Return the first window from one on that needs a report.

        After a time without any instance the windows without counts are left
        out, so that the others are not late.
        """
        now_s = self._time_of_day.now_unix_s()
        needed = self._windows.at(now_s - GIVE_UP_S)
        first = self._shared.first_window(window - 1)
        if first is not None:
            needed = min(needed, first)
        # The append of the next report may fail, and is then tried again.
        first_unlogged = max(window, self._skipped_until + 1)
        if needed > first_unlogged:
            self._record_given_up(first_unlogged, needed - 1)
            self._skipped_until = needed - 1
        return max(needed, window)

    def _is_due(self, window: int) -> bool:
        """Return whether no more counts of a window are to be expected."""
        late_s = self._late_s(window)
        if late_s < BUILD_DELAY_S:
            return False
        return (
            self._counts_follower.contact_duration_s >= MIN_CONTACT_S
            or late_s >= MAX_WAIT_SHARE * self._due_s
        )

    def _late_s(self, window: int) -> float:
        """Return the time since the end of a window; negative before it."""
        return self._time_of_day.now_unix_s() - self._windows.end_s(window)

    def _record_report(self, window: int, end: int) -> bool:
        """Append the report of a window unless there is one."""
        self._counts_follower.catch_up_fully()
        report = control.UsageReport(window, self._shared.total(window))
        result = self._log.append(
            records.TOPIC,
            self._reports_partition,
            [
                records.encode_report(report),
                records.encode_window(records.LAST_KEY, window),
            ],
            expected_end=end,
        )
        self._metrics.count(f'usage.records.{result.outcome.value}')
        LOG.info(
            'report of usage recorded',
            window=window,
            requests=sum(report.counts.values()),
            accounts=len(report.counts),
            outcome=result.outcome.value,
            late_s=round(self._late_s(window), 3),
        )
        return result.outcome is log_port.AppendOutcome.DONE

    def _close_reported(self) -> None:
        """Close the reported windows and remove their counts from the log."""
        last = self._reports.last
        if last is None:
            return
        keys = self._shared.keys_until(last)[:MAX_RECORDS_PER_APPEND]
        closed = self._shared.closed
        if not keys and closed is not None and closed >= last:
            return
        if closed is None or closed < last:
            self._log_late(-1 if closed is None else closed)
        result = self._log.append(
            records.TOPIC,
            records.COUNTS_PARTITION,
            [
                # First, so that no instance appends them again.
                records.encode_window(records.CLOSED_KEY, last),
                *(
                    log_port.Record(records.encode_counts_key(key), b'')
                    for key in keys
                ),
            ],
        )
        self._metrics.count(f'usage.removals.{result.outcome.value}')
        if result.outcome is log_port.AppendOutcome.DONE:
            self._counts_follower.catch_up()

    def _log_late(self, closed: int) -> None:
        """Log counts that were appended after their report was recorded."""
        for report in self._reports.pending:
            if report.window <= closed:
                continue
            total = self._shared.total(report.window)
            lost = sharing.differences(total, report.counts)
            if not lost:
                continue
            self._metrics.count('usage.lost', sum(map(abs, lost.values())))
            LOG.warning(
                'counts came too late for their report',
                window=report.window,
                lost=lost,
            )

    def _unacknowledged(self) -> list[control.UsageReport]:
        return [
            report
            for report in self._reports.pending
            if report.window not in self._acknowledged
        ]

    def _send_pending(self) -> None:
        """Send the recorded reports in order until one fails."""
        for report in self._unacknowledged():
            if not self._caller.may_call(SUBJECT):
                break
            if time.monotonic() < self._send_not_before:
                break
            if not self._send(report):
                break
            self._acknowledged.add(report.window)
        self._record_acknowledged()

    def _send(self, report: control.UsageReport) -> bool:
        """Send a report; return whether it needs no repeat."""
        result = self._caller.call(
            SUBJECT,
            lambda context: self._api.report_usage(report, context),
        )
        late_s = self._late_s(report.window)
        self._log_call(report, result, late_s)
        if result.outcome is control.Outcome.DONE:
            self._metrics.record('usage.lateness', late_s)
            self._metrics.count('usage.reported')
            if late_s > self._due_s:
                self._metrics.count('usage.reported_late')
            self._backoff_s = INITIAL_BACKOFF_S
            return True
        if result.outcome is control.Outcome.REJECTED and late_s > GIVE_UP_S:
            self._record_given_up(report.window, report.window)
            return True
        self._send_not_before = time.monotonic() + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, 2 * self._backoff_s)
        return False

    def _log_call(
        self,
        report: control.UsageReport,
        result: control.CallResult,
        late_s: float,
    ) -> None:
        is_done = result.outcome is control.Outcome.DONE
        log = LOG.info if is_done else LOG.warning
        log(
            'usage reported' if is_done else 'usage not reported yet',
            window=report.window,
            requests=sum(report.counts.values()),
            outcome=result.outcome.value,
            detail=result.detail,
            late_s=round(late_s, 3),
        )

    def _record_given_up(self, first: int, last: int) -> None:
        self._metrics.count('usage.given_up', last - first + 1)
        LOG.error('reports of usage given up', first=first, last=last)

    def _record_acknowledged(self) -> None:
        """Remove acknowledged reports from the log."""
        # A window whose report is no longer on the log needs no removal.
        self._acknowledged &= {
            report.window for report in self._reports.pending
        }
        if not self._acknowledged:
            return
        # Repeated at the next step while the reports are still there.
        result = self._log.append(
            records.TOPIC,
            self._reports_partition,
            [
                log_port.Record(records.encode_report_key(window), b'')
                for window in sorted(self._acknowledged)
            ],
        )
        self._metrics.count(f'usage.removals.{result.outcome.value}')
