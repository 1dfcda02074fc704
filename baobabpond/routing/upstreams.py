"""Track the load and the health of each upstream of a service."""

import random
import statistics
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import tree as tree_schema

LATENCY_SMOOTHING_FACTOR = 0.2
MIN_LATENCY_SAMPLES = 10
MIN_SLOW_START_FACTOR = 0.1
MIN_RELATIVE_LATENCY = 0.5
MAX_RELATIVE_LATENCY = 20.0
RELATIVE_LATENCY_HALF_LIFE_S = 10.0
MAX_EJECTION_DOUBLINGS = 5
# Time after an ejection has ended from which a success resets the count of
# ejections, which determines their length.
EJECTION_RESET_S = 60.0
REPORT_MAX_AGE_S = 10.0

LOG = structlog.get_logger(__name__)


class Upstream(typing.NamedTuple):
    """Identify one upstream of a service."""

    instance: str
    service: str
    address: str
    port: int
    data_centre: str


class LoadReport(typing.NamedTuple):
    """Store the load that an upstream reports.

    The weight version is None if unknown.
    """

    running: int
    waiting: int
    weight_version: int | None = None


class UpstreamState:
    """Combine an upstream's delayed load reports with local measurements."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.leaving = False
        self.sharing_instances = 1
        self._lock = threading.Lock()
        self._in_flight = 0
        self._report = LoadReport(0, 0)
        self._reported_at = -REPORT_MAX_AGE_S
        self._in_flight_at_report = 0
        self._latency_s: float | None = None
        self._latency_samples = 0
        self._relative_latency = 1.0
        self._relative_latency_at = 0.0
        self._consecutive_failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._ejection_ended_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Return the number of this process's unfinished requests."""
        return self._in_flight

    @property
    def latency_s(self) -> float | None:
        """Return the smoothed latency per unit, or None with few samples."""
        return (
            self._latency_s
            if self._latency_samples >= MIN_LATENCY_SAMPLES
            else None
        )

    @property
    def consecutive_failures(self) -> int:
        """Return the number of failures since the last success."""
        return self._consecutive_failures

    @property
    def weight_version(self) -> int | None:
        """Return the last reported weight version, or None if unknown."""
        return self._report.weight_version

    @property
    def ejected(self) -> bool:
        """Return whether the upstream is currently ejected."""
        return time.monotonic() < self._ejected_until

    @property
    def relative_latency(self) -> float:
        """Return the latency relative to the other upstreams' median.

        It decays towards 1 with age, and persists across an ejection, so
        that a slow upstream gets few requests when the ejection ends.
        """
        age_s = time.monotonic() - self._relative_latency_at
        decay = 0.5 ** (age_s / RELATIVE_LATENCY_HALF_LIFE_S)
        return 1.0 + (self._relative_latency - 1.0) * decay

    def load(self) -> float:
        """Return the estimated number of requests at the upstream.

        The report is corrected by the change of this process's requests
        in flight since then, times the number of instances that share the
        upstream: they have the same report and likely behaved alike. A
        report older than REPORT_MAX_AGE_S is ignored.
        """
        if time.monotonic() - self._reported_at > REPORT_MAX_AGE_S:
            return float(self._in_flight)
        total = self._report.running + self._report.waiting
        change = self._in_flight - self._in_flight_at_report
        return float(
            max(total + change * self.sharing_instances, self._in_flight)
        )

    def queue_factor(self) -> float:
        """Return the factor by which reported queueing delays a request."""
        if time.monotonic() - self._reported_at > REPORT_MAX_AGE_S:
            return 1.0
        return 1.0 + self._report.waiting / max(1, self._report.running)

    def score(self, slow_start_s: float) -> float:
        """Return the load weighted by latency and slow start."""
        relative = (self.load() + 1) * self.relative_latency
        return relative / self._slow_start_factor(slow_start_s)

    def record_load(self, report: LoadReport) -> None:
        """Record a load report."""
        with self._lock:
            self._report = report
            self._reported_at = time.monotonic()
            self._in_flight_at_report = self._in_flight

    def record_sent(self) -> None:
        """Record that a request was sent."""
        with self._lock:
            self._in_flight += 1

    def record_finished(self, failed: bool) -> None:
        """Record that a request has finished."""
        with self._lock:
            self._in_flight -= 1
            self._consecutive_failures = (
                self._consecutive_failures + 1 if failed else 0
            )
            if not failed and self._ejections_expired():
                self._ejections = 0

    def record_latency(self, latency_s: float, median_s: float | None) -> None:
        """Record a latency per unit and update the relative latency."""
        with self._lock:
            self._update_smoothed_latency(latency_s)
            if median_s and self._latency_s:
                ratio = self._latency_s / median_s
                self._relative_latency = min(
                    max(ratio, MIN_RELATIVE_LATENCY), MAX_RELATIVE_LATENCY
                )
                self._relative_latency_at = time.monotonic()

    def eject(self, ejection_s: float) -> None:
        """Eject the upstream; the period doubles with each repetition."""
        with self._lock:
            doublings = min(self._ejections, MAX_EJECTION_DOUBLINGS)
            until = time.monotonic() + ejection_s * 2**doublings
            self._ejections += 1
            self._ejected_until = until
            self._ejection_ended_at = until
            self._consecutive_failures = 0
            self._latency_s = None
            self._latency_samples = 0

    def _ejections_expired(self) -> bool:
        if self._ejection_ended_at is None:
            return False
        return time.monotonic() - self._ejection_ended_at > EJECTION_RESET_S

    def _update_smoothed_latency(self, latency_s: float) -> None:
        self._latency_samples += 1
        if self._latency_s is None:
            self._latency_s = latency_s
            return
        self._latency_s += LATENCY_SMOOTHING_FACTOR * (
            latency_s - self._latency_s
        )

    def _slow_start_factor(self, slow_start_s: float) -> float:
        if self._ejection_ended_at is None or slow_start_s <= 0:
            return 1.0
        elapsed_s = time.monotonic() - self._ejection_ended_at
        if elapsed_s >= slow_start_s:
            return 1.0
        return max(MIN_SLOW_START_FACTOR, elapsed_s / slow_start_s)


class UpstreamSet:
    """Manage the upstreams of one service that this instance uses."""

    def __init__(
        self,
        service: str,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._metrics = metrics
        self._rng = rng
        self._lock = threading.Lock()
        self._states: dict[str, UpstreamState] = {}

    def states(self) -> list[UpstreamState]:
        """Return all upstreams."""
        with self._lock:
            return list(self._states.values())

    def get(self, instance: str) -> UpstreamState | None:
        """Return the upstream of an instance name, or None."""
        return self._states.get(instance)

    def replace(
        self,
        upstreams: list[Upstream],
        leaving: typing.Container[str],
        sharing_instances: int = 1,
    ) -> None:
        """Replace the upstreams, retaining the state of unchanged ones."""
        with self._lock:
            states: dict[str, UpstreamState] = {}
            for upstream in upstreams:
                state = self._states.get(upstream.instance)
                if state is None or state.upstream != upstream:
                    state = UpstreamState(upstream)
                state.leaving = upstream.instance in leaving
                state.sharing_instances = sharing_instances
                states[upstream.instance] = state
            self._states = states

    def usable(self) -> list[UpstreamState]:
        """Return the upstreams that may receive requests.

        Ejections are ignored if all remaining upstreams are ejected.
        """
        remaining = [state for state in self.states() if not state.leaving]
        healthy = [state for state in remaining if not state.ejected]
        return healthy or remaining

    def record_finished(
        self,
        state: UpstreamState,
        failed: bool,
        settings: tree_schema.NodeSettings,
    ) -> None:
        """Record a finished request; eject after consecutive failures."""
        state.record_finished(failed)
        if state.consecutive_failures >= settings['ejection_failures']:
            self._eject(state, settings, 'failures')

    def record_latency(
        self,
        state: UpstreamState,
        latency_s: float,
        settings: tree_schema.NodeSettings,
    ) -> None:
        """Record a latency per unit of work; eject a latency outlier."""
        median_s = self._median_latency_of_others_s(state)
        state.record_latency(latency_s, median_s)
        own_s = state.latency_s
        if own_s is None or median_s is None:
            return
        if own_s > median_s * settings['ejection_latency_factor']:
            self._eject(state, settings, 'latency')

    def _median_latency_of_others_s(
        self, state: UpstreamState
    ) -> float | None:
        others = [
            other.latency_s
            for other in self.states()
            if other is not state and other.latency_s is not None
        ]
        return statistics.median(others) if others else None

    def _eject(
        self,
        state: UpstreamState,
        settings: tree_schema.NodeSettings,
        reason: str,
    ) -> None:
        if state.ejected:
            return
        states = self.states()
        ejected = sum(other.ejected for other in states)
        if ejected + 1 > len(states) * settings['ejection_max_share']:
            self._metrics.count('routing.ejections_capped')
            return
        state.eject(settings['ejection_s'])
        self._metrics.count('routing.ejections')
        LOG.warning(
            'upstream ejected',
            upstream=state.upstream.instance,
            service=self._service,
            reason=reason,
        )
