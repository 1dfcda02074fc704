"""Estimate the processing time of a unit of work."""

import threading
import time

SMOOTHING_FACTOR = 0.1
DECAY_HALF_LIFE_S = 2.0


class UnitTimeEstimator:
    """Average recent times, and decay the average while none are recorded.

    Requests are refused by this estimate, and refused requests yield no
    new times: without decay, a slow period would cause refusals for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._average_s = 0.0
        self._recorded_at = time.monotonic()

    @property
    def value_s(self) -> float:
        """Return the expected time for a unit, in seconds."""
        idle_s = time.monotonic() - self._recorded_at
        return self._average_s * 0.5 ** (idle_s / DECAY_HALF_LIFE_S)

    def record(self, unit_latency_s: float) -> None:
        """Record the time of a completed unit."""
        with self._lock:
            self._average_s += SMOOTHING_FACTOR * (
                unit_latency_s - self._average_s
            )
            self._recorded_at = time.monotonic()
