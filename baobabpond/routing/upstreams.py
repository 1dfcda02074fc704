"""Track the load and the health of each upstream of a service."""

import random
import statistics
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..gen import tree as tree_schema

LATENCY_WEIGHT = 0.2
MIN_SAMPLES = 10
MIN_SHARE = 0.1
MIN_SLOWNESS = 0.5
MAX_SLOWNESS = 20.0
SLOWNESS_HALF_LIFE_S = 10.0
MAX_EJECTION_DOUBLINGS = 5
# Time after its return in which an upstream lives down its ejections.
RECOVERED_S = 60.0
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
    """Hold what an upstream says of itself; the version is None if unknown."""

    running: int
    waiting: int
    weight_version: int | None = None


class UpstreamState:
    """Combine an upstream's late load reports with what is known here."""

    def __init__(self, upstream: Upstream) -> None:
        self.upstream = upstream
        self.leaving = False
        self.sharers = 1
        self._lock = threading.Lock()
        self._in_flight = 0
        self._reported = LoadReport(0, 0)
        self._reported_at = -REPORT_MAX_AGE_S
        self._in_flight_at_report = 0
        self._latency_s: float | None = None
        self._samples = 0
        self._slowness = 1.0
        self._slowness_at = 0.0
        self._failures = 0
        self._ejections = 0
        self._ejected_until = 0.0
        self._returned_at: float | None = None

    @property
    def in_flight(self) -> int:
        """Return the requests that this process has sent and not finished."""
        return self._in_flight

    @property
    def latency_s(self) -> float | None:
        """Return the smoothed latency, once enough requests have ended."""
        return self._latency_s if self._samples >= MIN_SAMPLES else None

    @property
    def failures(self) -> int:
        """Return the failures in a row."""
        return self._failures

    @property
    def weight_version(self) -> int | None:
        """Return the weight version that was last reported."""
        return self._reported.weight_version

    @property
    def ejected(self) -> bool:
        """Tell whether the upstream is kept out for now."""
        return time.monotonic() < self._ejected_until

    @property
    def slowness(self) -> float:
        """Return the latency relative to the others', fading with age.

        It outlasts an ejection, so that a slow upstream that returns is
        tried again only once in a while.
        """
        age_s = time.monotonic() - self._slowness_at
        fading = 0.5 ** (age_s / SLOWNESS_HALF_LIFE_S)
        return 1.0 + (self._slowness - 1.0) * fading

    def load(self) -> float:
        """Return the estimated requests at the upstream now.

        The report is corrected by what this process has sent and
        finished since, times the instances that share the upstream:
        they have the same report, and likely did the same. A report too
        old to trust counts for nothing.
        """
        if time.monotonic() - self._reported_at > REPORT_MAX_AGE_S:
            return float(self._in_flight)
        total = self._reported.running + self._reported.waiting
        change = self._in_flight - self._in_flight_at_report
        return float(max(total + change * self.sharers, self._in_flight))

    def queue_factor(self) -> float:
        """Return how much longer a request takes for those that wait."""
        if time.monotonic() - self._reported_at > REPORT_MAX_AGE_S:
            return 1.0
        return 1.0 + self._reported.waiting / max(1, self._reported.running)

    def score(self, slow_start_s: float) -> float:
        """Return the load relative to what the upstream can take."""
        relative = (self.load() + 1) * self.slowness
        return relative / self._share(slow_start_s)

    def report(self, report: LoadReport) -> None:
        """Take in a load report."""
        with self._lock:
            self._reported = report
            self._reported_at = time.monotonic()
            self._in_flight_at_report = self._in_flight

    def begin(self) -> None:
        """Count a request as sent."""
        with self._lock:
            self._in_flight += 1

    def end(self, failed: bool) -> None:
        """Count a request as finished."""
        with self._lock:
            self._in_flight -= 1
            self._failures = self._failures + 1 if failed else 0
            if not failed and self._long_returned():
                self._ejections = 0

    def observe(self, latency_s: float, usual_s: float | None) -> None:
        """Take in a latency, and the usual one among the others."""
        with self._lock:
            self._record_latency(latency_s)
            if usual_s and self._latency_s:
                ratio = self._latency_s / usual_s
                self._slowness = min(max(ratio, MIN_SLOWNESS), MAX_SLOWNESS)
                self._slowness_at = time.monotonic()

    def eject(self, ejection_s: float) -> None:
        """Keep the upstream out; longer each time it is repeated."""
        with self._lock:
            doublings = min(self._ejections, MAX_EJECTION_DOUBLINGS)
            until = time.monotonic() + ejection_s * 2**doublings
            self._ejections += 1
            self._ejected_until = until
            self._returned_at = until
            self._failures = 0
            self._latency_s = None
            self._samples = 0

    def _long_returned(self) -> bool:
        if self._returned_at is None:
            return False
        return time.monotonic() - self._returned_at > RECOVERED_S

    def _record_latency(self, latency_s: float) -> None:
        self._samples += 1
        if self._latency_s is None:
            self._latency_s = latency_s
            return
        self._latency_s += LATENCY_WEIGHT * (latency_s - self._latency_s)

    def _share(self, slow_start_s: float) -> float:
        if self._returned_at is None or slow_start_s <= 0:
            return 1.0
        elapsed_s = time.monotonic() - self._returned_at
        if elapsed_s >= slow_start_s:
            return 1.0
        return max(MIN_SHARE, elapsed_s / slow_start_s)


class UpstreamSet:
    """Hold the upstreams of one service that this instance uses."""

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
        """Return an upstream by its name."""
        return self._states.get(instance)

    def replace(
        self,
        upstreams: list[Upstream],
        leaving: typing.Container[str],
        sharers: int = 1,
    ) -> None:
        """Take over the list of upstreams, keeping what is known of each."""
        with self._lock:
            kept: dict[str, UpstreamState] = {}
            for upstream in upstreams:
                state = self._states.get(upstream.instance)
                if state is None or state.upstream != upstream:
                    state = UpstreamState(upstream)
                state.leaving = upstream.instance in leaving
                state.sharers = sharers
                kept[upstream.instance] = state
            self._states = kept

    def usable(self) -> list[UpstreamState]:
        """Return the upstreams that may get new work."""
        present = [state for state in self.states() if not state.leaving]
        healthy = [state for state in present if not state.ejected]
        return healthy or present

    def finish(
        self,
        state: UpstreamState,
        failed: bool,
        settings: tree_schema.NodeSettings,
    ) -> None:
        """Count a request as finished and eject after failures."""
        state.end(failed)
        if state.failures >= settings['ejection_failures']:
            self._eject(state, settings, 'failures')

    def observe(
        self,
        state: UpstreamState,
        latency_s: float,
        settings: tree_schema.NodeSettings,
    ) -> None:
        """Take in a latency for a unit of work and eject an outlier."""
        usual_s = self._usual_latency_s(state)
        state.observe(latency_s, usual_s)
        own_s = state.latency_s
        if own_s is None or usual_s is None:
            return
        if own_s > usual_s * settings['ejection_latency_factor']:
            self._eject(state, settings, 'latency')

    def _usual_latency_s(self, state: UpstreamState) -> float | None:
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
