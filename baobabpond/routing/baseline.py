"""Track the latency of a service without queueing."""

import time

WINDOW_S = 10.0


class LatencyBaseline:
    """Track the minimum latency for a unit of work.

    Under sustained overload every request is queued, so the minimum of a
    window replaces the baseline only if the service was not loaded at the
    window's end.
    """

    def __init__(self) -> None:
        self._baseline_s = 0.0
        self._window_min_s = 0.0
        self._window_ends_at = 0.0

    @property
    def value_s(self) -> float:
        """Return the baseline in seconds, or 0 before the first sample."""
        return self._baseline_s

    def record(self, unit_latency_s: float, unloaded: bool) -> None:
        """Record the latency of a unit of work."""
        self._baseline_s = _min_known(self._baseline_s, unit_latency_s)
        self._window_min_s = _min_known(self._window_min_s, unit_latency_s)
        now = time.monotonic()
        if now < self._window_ends_at:
            return
        if self._window_ends_at and unloaded:
            self._baseline_s = self._window_min_s
        self._window_min_s = 0.0
        self._window_ends_at = now + WINDOW_S


def _min_known(known_s: float, unit_latency_s: float) -> float:
    return min(known_s, unit_latency_s) if known_s else unit_latency_s
