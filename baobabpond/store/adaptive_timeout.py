"""Adapt time-outs of log calls to latency, so that a slow log is usable."""

import threading

# The time-out is this multiple of the last latency: with a time-out below the
# latency of a slow log no call would complete.
LATENCY_FACTOR = 3.0


class AdaptiveTimeout:
    """Derive the time-out of one kind of call from its recent latency."""

    def __init__(self, least_s: float, most_s: float) -> None:
        self._least_s = least_s
        self._most_s = most_s
        self._lock = threading.Lock()
        self._timeout_s = least_s

    @property
    def timeout_s(self) -> float:
        """Return the time-out of the next call in seconds."""
        with self._lock:
            return self._timeout_s

    def record_latency(self, latency_s: float) -> None:
        """Adapt the time-out to the latency of a completed call."""
        wanted_s = LATENCY_FACTOR * latency_s
        with self._lock:
            self._timeout_s = min(self._most_s, max(self._least_s, wanted_s))

    def record_timeout(self) -> None:
        """Double the time-out, up to its maximum, after a call timed out."""
        with self._lock:
            self._timeout_s = min(self._most_s, 2 * self._timeout_s)
