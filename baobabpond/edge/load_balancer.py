"""Balance ordinary requests over upstreams by latency and load."""

import threading
import time

from ..ports import catalogue

LATENCY_EWMA_WEIGHT = 0.15
INITIAL_LATENCY_S = 0.04
# A failing upstream is ejected for this long, doubled with each consecutive
# failure.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# An upstream's load report is ignored once it is older than this.
LOAD_REPORT_TTL_S = 1.0


class UpstreamStats:
    """Load, latency and failures of one upstream, seen by this instance."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.reported_busy = 0
        self.reported_at = float('-inf')

    def score(self, slots: int, now: float) -> float:
        """Return the expected latency of one more request."""
        busy = self.in_flight
        if now - self.reported_at < LOAD_REPORT_TTL_S:
            busy = max(busy, self.reported_busy)
        return self.latency_s * (1 + busy / slots) * (1 + self.in_flight)


class LoadBalancer:
    """Choose upstreams by latency and load, and eject failing ones."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._stats: dict[tuple[str, int], UpstreamStats] = {}

    def choose(
        self, entries: list[catalogue.UpstreamEntry], tried: set[str]
    ) -> catalogue.UpstreamEntry | None:
        """Return the best untried upstream, or None; ejected ones last."""
        now = time.monotonic()
        untried = [entry for entry in entries if entry.id not in tried]
        if not untried:
            return None
        with self._lock:
            stats = {
                entry.incarnation: self._stats_of(entry.incarnation)
                for entry in untried
            }
            open_entries = [
                entry
                for entry in untried
                if stats[entry.incarnation].ejected_until <= now
            ]
            chosen = min(
                open_entries or untried,
                key=lambda entry: stats[entry.incarnation].score(
                    entry.slots, now
                ),
            )
            stats[chosen.incarnation].in_flight += 1
            return chosen

    def _stats_of(self, incarnation: tuple[str, int]) -> UpstreamStats:
        return self._stats.setdefault(incarnation, UpstreamStats())

    def record_outcome(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool,
        load: tuple[int, int, int] | None,
    ) -> None:
        """Record the end of a request sent to a chosen upstream."""
        now = time.monotonic()
        with self._lock:
            stats = self._stats_of(entry.incarnation)
            stats.in_flight = max(0, stats.in_flight - 1)
            if load is not None:
                stats.reported_busy = load[0] + load[1]
                stats.reported_at = now
            if latency_s is not None:
                stats.latency_s += LATENCY_EWMA_WEIGHT * (
                    latency_s - stats.latency_s
                )
            if not failed:
                stats.consecutive_failures = 0
                return
            ejection_s = BASE_EJECTION_S * 2**stats.consecutive_failures
            stats.consecutive_failures += 1
            stats.ejected_until = now + min(MAX_EJECTION_S, ejection_s)
