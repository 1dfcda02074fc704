"""Estimate the speed of upstreams by a moving average of gaps.

This is the first version of what the product learns about upstreams.
"""

from baobabpond.pool import state
from baobabpond.ports import upstreams
from baobabpond.upstreams.capacity import estimator

# Weight of the newest sample.
WEIGHT = 0.08
# Thresholds of the first version for migrations.
MIN_SAMPLES = 10
SLOW_FACTOR = 1.8
MIN_SAVING_S = 0.4


class MovingAverage:
    """Average the time between events, regardless of model and load."""

    limit = float('inf')

    def __init__(self) -> None:
        self._gap_s = state.INITIAL_GAP_S
        self._samples = 0

    def observe(
        self, kind: str, took_s: float, running: int, now: float
    ) -> None:
        """Add the time between two events."""
        self._samples += 1
        self._gap_s += WEIGHT * (took_s - self._gap_s)

    def observe_report(self, load: upstreams.ReportedLoad, now: float) -> None:
        """Ignore what upstreams report."""

    def speed(self, now: float) -> estimator.Speed:
        """Return the speed; the number of samples stands for the time."""
        return estimator.Speed(1.0, float(self._samples))

    def expected_s(self, kind: str, now: float) -> float:
        """Return the average."""
        return self._gap_s

    def present_factor(self, now: float) -> float:
        """Return 1.0, as the average does not tell the present speed."""
        return 1.0


class Learner:
    """Create the averages of upstreams."""

    def track(self, service: str, slots: int) -> MovingAverage:
        """Return the average of a new upstream."""
        return MovingAverage()
