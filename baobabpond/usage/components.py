"""Wire up what counts the requests of accounts and reports them."""

from .. import metrics as metrics_module
from ..duties import caller as caller_module
from ..duties import holder as holder_module
from ..ports import control
from ..ports import log as log_port
from ..store import follower as follower_module

from . import recorder as recorder_module
from . import records
from . import reporter as reporter_module
from . import reports as reports_module
from . import request
from . import shared_counts as shared_module
from . import sharing as sharing_module
from . import time_of_day as time_module
from . import windows as windows_module

# Pause between reads, so that one read returns the counts of many instances.
# All instances read the counts of all; they come six times a second.
READ_PAUSE_S = 0.3
# Longest wait of a read for new records. A record may be that old when it is
# read; the wait must be short enough to tell it from a clock that is 2 s off.
READ_WAIT_S = 0.5


class UsageComponents:
    """Count requests at one instance; report them while it owns the shard."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        partitions: int,
        window_s: float,
        due_s: float,
        holder: holder_module.DutyHolder,
        caller: caller_module.DutyCaller,
        api: control.ControlApi,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._windows = windows_module.Windows(window_s)
        self._time_of_day = time_module.TimeOfDay()
        self._recorder = recorder_module.UsageRecorder(self._windows, metrics)
        self.counter = request.AccountCounter(
            self._recorder, self._time_of_day
        )
        shared = shared_module.SharedCounts(
            instance,
            self._time_of_day,
            lambda: self._counts_follower.staleness_s,
        )
        self._sharing = sharing_module.CountSharing(
            instance,
            log,
            self._recorder,
            shared,
            self._time_of_day,
            metrics,
        )
        self._counts_follower = follower_module.Follower(
            log,
            records.TOPIC,
            records.COUNTS_PARTITION,
            shared.apply,
            metrics,
            READ_PAUSE_S,
            READ_WAIT_S,
        )
        reports = reports_module.Reports()
        reports_partition = records.reports_partition(partitions)
        self._reporter = reporter_module.Reporter(
            holder,
            caller,
            api,
            self._windows,
            due_s,
            self._time_of_day,
            shared,
            self._counts_follower,
            reports,
            # Only the owner reads the reports, before it acts on them.
            follower_module.Follower(
                log, records.TOPIC, reports_partition, reports.apply, metrics
            ),
            log,
            reports_partition,
            metrics,
        )

    def start(self) -> None:
        """Start the background threads of counts and reports."""
        # The first window is reported also if it has no requests.
        self._recorder.open(self._windows.at(self._time_of_day.now_unix_s()))
        self._counts_follower.start()
        self._sharing.start()
        self._reporter.start()

    def flush(self) -> None:
        """Append the last counts before the process exits."""
        self._sharing.flush()
