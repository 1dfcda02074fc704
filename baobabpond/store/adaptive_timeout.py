"""Tell how long a call to the log may take. Answers a slow log."""

import threading

# A log that answers slowly is given this many times its last latency, or no
# call would be seen to end.
LATENCY_FACTOR = 3.0


class AdaptiveTimeout:
    """Follow the latency of a kind of call."""

    def __init__(self, min_s: float, max_s: float) -> None:
        self._min_s = min_s
        self._max_s = max_s
        self._lock = threading.Lock()
        self._timeout_s = min_s

    @property
    def timeout_s(self) -> float:
        """Return how long the next call may take, in seconds."""
        with self._lock:
            return self._timeout_s

    def record_latency(self, took_s: float) -> None:
        """Note how long an answer took."""
        wanted_s = LATENCY_FACTOR * took_s
        with self._lock:
            self._timeout_s = min(self._max_s, max(self._min_s, wanted_s))

    def record_timeout(self) -> None:
        """Note that no answer came in time."""
        with self._lock:
            self._timeout_s = min(self._max_s, 2 * self._timeout_s)
