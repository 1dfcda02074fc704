"""Record on the log which report each window has."""

import structlog

from .. import decoding
from ..ports import control
from ..ports import log as log_port

from . import records

LOG = structlog.get_logger(__name__)


class Reports:
    """Hold the recorded reports that were not acknowledged yet.

    A report is appended only at the end up to which the records were read, so
    that each window has one report, whoever appends it.
    """

    def __init__(self) -> None:
        self._pending: dict[int, control.UsageReport] = {}
        self._last: int | None = None

    @property
    def last(self) -> int | None:
        """Return the last window that has its report, if any."""
        return self._last

    @property
    def pending(self) -> list[control.UsageReport]:
        """Return the reports to send, the oldest first."""
        return [self._pending[window] for window in sorted(self._pending)]

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records in offset order."""
        if is_snapshot:
            self._pending.clear()
        for record in new_records:
            try:
                self._apply_one(record)
            except decoding.MalformedData as error:
                LOG.error(
                    'ignoring malformed record of a report',
                    key=record.key,
                    error=str(error),
                )

    def _apply_one(self, record: log_port.Record) -> None:
        if record.key == records.LAST_KEY and record.value:
            last = records.decode_window(record.value)
            self._last = max(last, self._last or last)
        elif record.key.startswith(records.REPORT_PREFIX):
            if record.value:
                report = records.decode_report(record.value)
                self._pending[report.window] = report
                return
            window = record.key.removeprefix(records.REPORT_PREFIX)
            self._pending.pop(decoding.decimal(window) or 0, None)
