"""Estimate the speed and the limit of one upstream from its samples."""

import math
import typing

from ...ports import upstreams as upstream_port

from . import limiter
from . import load_factor
from . import reports
from . import typical_times
from . import window as window_module

# Noise of 0.6 s holds less than half of the samples of this window.
WINDOW_S = 2.0
# Samples that count after the window, where there are few, and the time in
# which they lose half of their weight.
KEPT_SAMPLES = 8
HALF_LIFE_S = 5.0
# Samples of evidence by which the estimate moves halfway from typical.
PRIOR_SAMPLES = 3.0
# Estimates are computed again after this time.
CACHE_S = 0.05
# While there are few samples, each one counts at once.
UNCACHED_SAMPLES = 32
MIN_TOOK_S = 0.0001
# Weight of the newest sample in the moving average of recent ones, and the
# time after which the average says nothing about the present.
RECENT_WEIGHT = 0.15
RECENT_S = 0.6


class Speed(typing.NamedTuple):
    """Describe the learnt speed of an upstream."""

    # Time for a unit of work relative to the typical upstream.
    slowness: float = 1.0
    # Time covered by the samples of the window.
    observed_s: float = 0.0


class Capacity(typing.Protocol):
    """Learn the capacity of one incarnation of an upstream."""

    @property
    def limit(self) -> float:
        """Return the concurrent requests up to which it keeps its speed."""
        ...

    def observe(
        self, kind: str, took_s: float, running: int, now: float
    ) -> None:
        """Add the time of a unit of work beside a number of requests."""
        ...

    def observe_report(
        self, load: upstream_port.ReportedLoad, now: float
    ) -> None:
        """Replace the load that the upstream reports itself."""
        ...

    def speed(self, now: float) -> Speed:
        """Return the learnt speed."""
        ...

    def expected_s(self, kind: str, now: float) -> float:
        """Return the usual time of a unit of work if it were idle."""
        ...

    def present_factor(self, now: float) -> float:
        """Return how much slower than usual it is at this moment."""
        ...


class CapacityEstimator:
    """Learn the capacity of one incarnation of an upstream.

    Its owner guards the calls with a lock.
    """

    def __init__(self, times: typical_times.TypicalTimes, slots: int) -> None:
        self._times = times
        self._slots = slots
        # Where all upstreams are new there are no others to prefer.
        self._limit = limiter.ConcurrencyLimit(slots, times.are_known)
        self._window = window_module.Window(
            WINDOW_S, KEPT_SAMPLES, HALF_LIFE_S
        )
        self._reports = reports.Reports()
        self._speed = Speed()
        self._computed_at = -math.inf
        self._recent_log = 0.0
        self._observed_at = -math.inf

    @property
    def limit(self) -> float:
        """Return the concurrent requests up to which it keeps its speed."""
        return self._limit.value

    def observe(
        self, kind: str, took_s: float, running: int, now: float
    ) -> None:
        """Add the time of a unit of work beside a number of requests."""
        idle_s = max(MIN_TOOK_S, took_s) / load_factor.of(running, self._slots)
        self._times.observe(kind, idle_s, now)
        log_slowness = math.log(idle_s / self._times.seconds(kind))
        speed = self.speed(now)
        self._reports.score_prediction(
            log_slowness - math.log(speed.slowness), now
        )
        self._window.add(log_slowness, now)
        if now - self._observed_at > RECENT_S:
            self._recent_log = math.log(self.speed(now).slowness)
        self._observed_at = now
        self._recent_log += RECENT_WEIGHT * (log_slowness - self._recent_log)
        if self._window.samples <= UNCACHED_SAMPLES:
            self._computed_at = -math.inf
        self._limit.observe(log_slowness, running, now)

    def observe_report(
        self, load: upstream_port.ReportedLoad, now: float
    ) -> None:
        """Replace the load that the upstream reports itself."""
        self._reports.observe(load, now)

    def speed(self, now: float) -> Speed:
        """Return the learnt speed."""
        if now - self._computed_at >= CACHE_S:
            self._computed_at = now
            self._speed = self._compute_speed(now)
        return self._speed

    def expected_s(self, kind: str, now: float) -> float:
        """Return the usual time of a unit of work if it were idle."""
        return self._times.seconds(kind) * self.speed(now).slowness

    def report_factor(self, now: float) -> float:
        """Return the reported slowness at this moment, 1 as usual."""
        return self._reports.factor(now)

    def present_factor(self, now: float) -> float:
        """Return how much slower than usual it is at this moment.

        This includes noise, and requests of others that wait there.
        """
        recent = 1.0
        if now - self._observed_at <= RECENT_S:
            learnt = math.log(self.speed(now).slowness)
            recent = math.exp(max(0.0, self._recent_log - learnt))
        return max(recent, self.report_factor(now))

    def reported_busy(self, now: float) -> int:
        """Return the reported running and waiting requests, if fresh."""
        return self._reports.busy(now)

    def _compute_speed(self, now: float) -> Speed:
        median = self._window.quantile(0.5, now)
        if median is None:
            return Speed()
        evidence = self._window.evidence(now)
        weight = evidence / (evidence + PRIOR_SAMPLES)
        return Speed(math.exp(weight * median), self._window.span_s(now))


class CapacityLearner(typing.Protocol):
    """Create the estimators of upstreams."""

    def track(self, service: str, slots: int) -> Capacity:
        """Return the estimator of a new upstream."""
        ...


class Learner:
    """Create the estimators of upstreams that are compared by service."""

    def __init__(self, initial_s: float) -> None:
        self._initial_s = initial_s
        self._times: dict[str, typical_times.TypicalTimes] = {}

    def track(self, service: str, slots: int) -> CapacityEstimator:
        """Return the estimator of a new upstream."""
        times = self._times.setdefault(
            service, typical_times.TypicalTimes(self._initial_s)
        )
        return CapacityEstimator(times, slots)
