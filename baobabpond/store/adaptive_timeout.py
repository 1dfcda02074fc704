"""Adapt time-outs of log calls to latency, so that a slow log is usable."""

import threading

# The time-out is this multiple of the last latency: with a time-out below the
# latency of a slow log no call would complete.
LATENCY_FACTOR = 3.0


class AdaptiveTimeout:
    """Derive the time-out of one kind of call from its recent latency."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._lock = threading.Lock()
        self._timeout_s = min_s

    @property
    def timeout_s(self) -> float:
        """Return the time-out of the next call in seconds."""
        with self._lock:
            return self._timeout_s

    def record_latency(self, latency_s: float) -> None:
        """Adapt the time-out to the latency of a completed call."""
        desired_s = LATENCY_FACTOR * latency_s
        with self._lock:
            self._timeout_s = min(self._max_s, max(self._min_s, desired_s))

    def record_timeout(self) -> None:
        """Double the time-out, up to its maximum, after a call timed out."""
        with self._lock:
            self._timeout_s = min(self._max_s, 2 * self._timeout_s)
