"""Collect counters, gauges and durations for the metrics endpoint."""

import collections
import threading
import typing

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 3_600_000_000
SIGNIFICANT_DIGITS = 2
PERCENTILES = (50.0, 99.0, 99.9)
US_PER_S = 1_000_000


class Summary(typing.NamedTuple):
    """Summarize recorded durations, in microseconds."""

    count: int
    p50_us: int
    p99_us: int
    p999_us: int
    max_us: int


class Metrics:
    """Hold the counters, gauges and histograms of one process."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counters: collections.Counter[str] = collections.Counter()
        self._gauges: dict[str, float] = {}
        self._histograms: dict[str, histogram.HdrHistogram] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Increment a counter."""
        with self._lock:
            self._counters[name] += amount

    def counter(self, name: str) -> int:
        """Return the value of a counter."""
        with self._lock:
            return self._counters[name]

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
        with self._lock:
            self._gauges[name] = value

    def remove_gauge(self, name: str) -> None:
        """Remove a gauge whose subject is gone."""
        with self._lock:
            self._gauges.pop(name, None)

    def record(self, name: str, seconds: float) -> None:
        """Record a duration in seconds."""
        microseconds = max(LOWEST_US, int(seconds * US_PER_S))
        with self._lock:
            recorder = self._histograms.get(name)
            if recorder is None:
                recorder = histogram.HdrHistogram(
                    LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
                )
                self._histograms[name] = recorder
            recorder.record_value(min(microseconds, HIGHEST_US))

    def snapshot(self) -> dict[str, object]:
        """Return all values as objects that can be encoded as JSON."""
        with self._lock:
            durations = {
                name: _summarize(recorder)._asdict()
                for name, recorder in sorted(self._histograms.items())
            }
            return {
                'counters': dict(sorted(self._counters.items())),
                'gauges': dict(sorted(self._gauges.items())),
                'durations': durations,
            }


def _summarize(recorder: histogram.HdrHistogram) -> Summary:
    p50, p99, p999 = (
        recorder.get_value_at_percentile(percent) for percent in PERCENTILES
    )
    return Summary(
        recorder.get_total_count(), p50, p99, p999, recorder.get_max_value()
    )
