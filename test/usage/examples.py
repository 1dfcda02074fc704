"""Provide instances that count and report on an in-memory log."""

import collections
import threading
import time
import typing
from unittest import mock

import freezegun

from baobabpond.batches import ownership
from baobabpond import clock
from baobabpond.duties import caller as caller_module
from baobabpond.duties import holder as holder_module
from baobabpond import metrics as metrics_module
from baobabpond.ports import control
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module
from baobabpond.usage import recorder as recorder_module
from baobabpond.usage import records
from baobabpond.usage import reporter as reporter_module
from baobabpond.usage import reports as reports_module
from baobabpond.usage import shared_counts
from baobabpond.usage import sharing as sharing_module
from baobabpond.usage import time_of_day as time_module
from baobabpond.usage import windows as windows_module
from test.store import fakes

LEASE_S = 3.0
DUE_S = 10.0
WINDOW_S = 5.0
# The first second of a window.
START_S = 1_000_000.0
FIRST = 200_000


class PausedTime:
    """Stop all clocks, and advance them together."""

    def __init__(self) -> None:
        self._freezer = freezegun.freeze_time(
            time.strftime('%Y-%m-%d %H:%M:%S', time.gmtime(START_S)),
            tick=False,
        )
        self._frozen = self._freezer.start()
        self._boot = mock.patch.object(
            clock, 'since_boot_s', autospec=True, side_effect=time.monotonic
        )
        self._thread = threading.current_thread()
        self._real_sleep = time.sleep
        self._sleep = mock.patch.object(
            time, 'sleep', autospec=True, side_effect=self._sleep_paused
        )
        self._boot.start()
        self._sleep.start()

    def advance(self, seconds: float) -> None:
        """Let some seconds pass."""
        self._frozen.tick(seconds)

    def _sleep_paused(self, seconds: float) -> None:
        """Advance the clocks in place of waiting.

        Threads that other tests have left behind must not advance them.
        """
        if threading.current_thread() is self._thread:
            self.advance(seconds)
        else:
            self._real_sleep(seconds)

    def stop(self) -> None:
        """Let the clocks go on."""
        self._sleep.stop()
        self._boot.stop()
        self._freezer.stop()


class PartitionedLog:
    """A log of several partitions that can be away, or lose answers."""

    def __init__(self) -> None:
        self.partitions: dict[int, fakes.FakeLog] = collections.defaultdict(
            fakes.FakeLog
        )
        self.is_away = False
        # The next appends that take effect without an answer.
        self.unanswered = 0
        # Called before each append.
        self.before_append: typing.Callable[[int], None] = lambda _: None

    def append(
        self,
        topic: str,
        partition: int,
        new: list[log_port.Record],
        expected_end: int | None = None,
        fence: log_port.Fence | None = None,
        timeout_s: float | None = None,
    ) -> log_port.AppendResult:
        """Append unless the log is away."""
        self.before_append(partition)
        if self.is_away:
            return log_port.AppendResult(log_port.AppendOutcome.REFUSED)
        result = self.partitions[partition].append(
            topic, partition, new, expected_end, fence, timeout_s
        )
        if self.unanswered:
            self.unanswered -= 1
            return log_port.AppendResult(log_port.AppendOutcome.UNKNOWN)
        return result

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> log_port.Page:
        """Read from an offset on; raise LogError while the log is away."""
        if self.is_away:
            raise log_port.LogError('away')
        return self.partitions[partition].read(
            topic, partition, offset, wait_s, timeout_s
        )

    def newest(
        self,
        topic: str,
        partition: int,
        after: str,
        timeout_s: float | None = None,
    ) -> log_port.NewestPage:
        """Return the newest records; raise LogError while away."""
        if self.is_away:
            raise log_port.LogError('away')
        return self.partitions[partition].newest(
            topic, partition, after, timeout_s
        )


class Api:
    """Take reports, or fail with given outcomes."""

    def __init__(self) -> None:
        # Outcomes of the next calls; DONE once it is empty.
        self.outcomes: collections.deque[control.Outcome] = collections.deque()
        # Called before each call.
        self.before_call: typing.Callable[[], None] = lambda: None
        self.calls: list[tuple[control.Duty, control.UsageReport]] = []
        self.called_at: list[float] = []

    @property
    def reported(self) -> dict[int, dict[str, int]]:
        """Return the counts by window; raise if two reports differ."""
        found: dict[int, dict[str, int]] = {}
        for _, report in self.calls:
            counts = found.setdefault(report.window, report.counts)
            assert counts == report.counts, 'contradicting reports'
        return found

    def report_usage(
        self, report: control.UsageReport, context: control.CallContext
    ) -> control.CallResult:
        """Take a report."""
        self.before_call()
        if not context.may_send():
            return control.CallResult(control.Outcome.REFUSED)
        outcome = control.Outcome.DONE
        if self.outcomes:
            outcome = self.outcomes.popleft()
        if outcome in (control.Outcome.DONE, control.Outcome.UNKNOWN):
            self.calls.append((context.duty, report))
            self.called_at.append(time.time())
        return control.CallResult(outcome)

    def order_upstreams(
        self, order: control.UpstreamOrder, context: control.CallContext
    ) -> control.CallResult:
        """Refuse orders."""
        return control.CallResult(control.Outcome.REJECTED)


class Ownership:
    """Own the shard when told so."""

    def __init__(self) -> None:
        self.tenure: ownership.Tenure | None = None
        self.has_owner_lease = False

    def take(self, epoch: int) -> None:
        """Begin a tenure."""
        self.tenure = ownership.Tenure(epoch, clock.since_boot_s())
        self.has_owner_lease = True

    def lose(self) -> None:
        """End the tenure."""
        self.tenure = None
        self.has_owner_lease = False


class Instance:
    """One instance that counts, shares and reports."""

    def __init__(self, name: str, log: PartitionedLog, api: Api) -> None:
        self.name = name
        self.api = api
        self.metrics = metrics_module.Metrics()
        self.ownership = Ownership()
        windows = windows_module.Windows(WINDOW_S)
        self.time_of_day = time_module.TimeOfDay()
        self.recorder = recorder_module.UsageRecorder(windows, self.metrics)
        self.shared = shared_counts.SharedCounts(
            name, self.time_of_day, lambda: self.follower.staleness_s
        )
        self.sharing = sharing_module.CountSharing(
            name,
            log,
            self.recorder,
            self.shared,
            self.time_of_day,
            self.metrics,
        )
        self.follower = follower_module.Follower(
            log,
            records.TOPIC,
            records.COUNTS_PARTITION,
            self.shared.apply,
            self.metrics,
        )
        self.reports = reports_module.Reports()
        partition = records.reports_partition(12)
        holder = holder_module.DutyHolder(name, self.ownership, LEASE_S)
        self.reporter = reporter_module.Reporter(
            holder,
            caller_module.DutyCaller(holder, 50.0, self.metrics),
            api,
            windows,
            DUE_S,
            self.time_of_day,
            self.shared,
            self.follower,
            self.reports,
            follower_module.Follower(
                log,
                records.TOPIC,
                partition,
                self.reports.apply,
                self.metrics,
            ),
            log,
            partition,
            self.metrics,
        )

    def step(self) -> None:
        """Do what the threads of an instance do now and then."""
        try:
            self.follower.catch_up()
        except log_port.LogError as error:
            self.follower._record_failure(time.monotonic(), error)
        self.sharing.append_pending()
        try:
            self.reporter.step()
        except log_port.LogError:
            pass


class Cluster:
    """Several instances in paused time."""

    def __init__(self, names: str) -> None:
        self.time = PausedTime()
        self.log = PartitionedLog()
        self.api = Api()
        self.instances = [Instance(name, self.log, self.api) for name in names]
        for instance in self.instances:
            instance.recorder.open(FIRST)

    def run(self, seconds: float, *without: Instance) -> None:
        """Let time pass; some instances don't run."""
        for _ in range(round(seconds / reporter_module.TICK_S)):
            for instance in self.instances:
                if instance not in without:
                    instance.step()
            self.time.advance(reporter_module.TICK_S)
