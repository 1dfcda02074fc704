"""Track the latency of a service that is not overloaded."""

import time

WINDOW_S = 10.0


class LatencyBaseline:
    """Keep the lowest latency for a unit of work.

    Under lasting overload every request waits, so the lowest latency of a
    window becomes the baseline only if the service was not loaded then.
    """

    def __init__(self) -> None:
        self._lowest_s = 0.0
        self._window_lowest_s = 0.0
        self._window_ends = 0.0

    @property
    def value_s(self) -> float:
        """Return the baseline in seconds, 0 if none is known."""
        return self._lowest_s

    def record(self, unit_s: float, unloaded: bool) -> None:
        """Take in the latency of a unit of work, in seconds."""
        self._lowest_s = _lower(self._lowest_s, unit_s)
        self._window_lowest_s = _lower(self._window_lowest_s, unit_s)
        now = time.monotonic()
        if now < self._window_ends:
            return
        if self._window_ends and unloaded:
            self._lowest_s = self._window_lowest_s
        self._window_lowest_s = 0.0
        self._window_ends = now + WINDOW_S


def _lower(known_s: float, unit_s: float) -> float:
    return min(known_s, unit_s) if known_s else unit_s
