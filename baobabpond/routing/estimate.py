"""Estimate how long a unit of work takes."""

import threading
import time

WEIGHT = 0.1
HALF_LIFE_S = 2.0


class TimeEstimate:
    """Average recent times, and forget them when none come in.

    Requests are refused by this estimate, and refused requests bring no
    new times: without forgetting, a slow spell would refuse for ever.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._average_s = 0.0
        self._recorded_at = time.monotonic()

    @property
    def value_s(self) -> float:
        """Return the expected time for a unit, in seconds."""
        idle_s = time.monotonic() - self._recorded_at
        return self._average_s * 0.5 ** (idle_s / HALF_LIFE_S)

    def record(self, unit_s: float) -> None:
        """Take in the time of a finished unit, in seconds."""
        with self._lock:
            self._average_s += WEIGHT * (unit_s - self._average_s)
            self._recorded_at = time.monotonic()
