"""Balance requests over upstreams by latency and load.

Background requests, which no caller waits for, use only a part of the slots,
and have a latency of their own, as they may be of another kind.
"""

import collections.abc
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
# Share of an upstream's slots for requests that no caller waits for. The rest
# is free for callers at any time.
BACKGROUND_SHARE = 0.85


class UpstreamStats:
    """Load, latency and failures of one upstream, seen by this instance."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.latency_s = INITIAL_LATENCY_S
        self.background_latency_s = INITIAL_LATENCY_S
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.reported_busy = 0
        self.reported_at = float('-inf')

    def busy(self, now: float) -> int:
        """Return the requests that run or wait at the upstream."""
        if now - self.reported_at < LOAD_REPORT_TTL_S:
            return max(self.in_flight, self.reported_busy)
        return self.in_flight

    def score(self, slots: int, now: float) -> float:
        """Return the expected latency of one more request."""
        return self.latency_s * self._load_factor(slots, now)

    def background_score(self, slots: int, now: float) -> float:
        """Return the expected latency of one more background request."""
        return self.background_latency_s * self._load_factor(slots, now)

    def has_room(self, slots: int, now: float) -> bool:
        """Return whether a background request leaves slots for callers.

        After a failure one request at a time tries the upstream.
        """
        if self.ejected_until > now:
            return False
        limit = max(1, int(slots * BACKGROUND_SHARE))
        if self.consecutive_failures:
            limit = 1
        return self.busy(now) < limit

    def record_latency(self, latency_s: float, is_background: bool) -> None:
        """Add the latency of a request to the average of its kind."""
        if is_background:
            self.background_latency_s += LATENCY_EWMA_WEIGHT * (
                latency_s - self.background_latency_s
            )
        else:
            self.latency_s += LATENCY_EWMA_WEIGHT * (
                latency_s - self.latency_s
            )

    def _load_factor(self, slots: int, now: float) -> float:
        return (1 + self.busy(now) / slots) * (1 + self.in_flight)


# Returns the score of an upstream with a number of slots; lowest is best.
Score = collections.abc.Callable[[UpstreamStats, int], float]


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
        with self._lock:
            sound = [
                entry
                for entry in untried
                if self._stats_of(entry).ejected_until <= now
            ]
            return self._take_best(
                sound or untried, lambda stats, slots: stats.score(slots, now)
            )

    def choose_for_background(
        self, entries: list[catalogue.UpstreamEntry]
    ) -> catalogue.UpstreamEntry | None:
        """Return the best upstream with room for a request without a caller.

        Returns None while callers need all of them, or all have failed.
        """
        now = time.monotonic()
        with self._lock:
            free = [
                entry
                for entry in entries
                if self._stats_of(entry).has_room(entry.slots, now)
            ]
            return self._take_best(
                free, lambda stats, slots: stats.background_score(slots, now)
            )

    def has_free_slot(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether a request would run at once, as far as is known."""
        now = time.monotonic()
        with self._lock:
            stats = self._stats_of(entry)
            return stats.ejected_until <= now and stats.busy(now) < entry.slots

    def _take_best(
        self, entries: list[catalogue.UpstreamEntry], score: Score
    ) -> catalogue.UpstreamEntry | None:
        """Count a request for the upstream with the lowest score, if any."""
        if not entries:
            return None
        chosen = min(
            entries,
            key=lambda entry: score(self._stats_of(entry), entry.slots),
        )
        self._stats_of(chosen).in_flight += 1
        return chosen

    def _stats_of(self, entry: catalogue.UpstreamEntry) -> UpstreamStats:
        return self._stats.setdefault(entry.incarnation, UpstreamStats())

    def record_outcome(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool | None,
        load: tuple[int, int, int] | None,
        is_background: bool = False,
    ) -> None:
        """Record the end of a request sent to a chosen upstream.

        Whether it failed is None if that says nothing about the upstream.
        """
        now = time.monotonic()
        with self._lock:
            stats = self._stats_of(entry)
            stats.in_flight = max(0, stats.in_flight - 1)
            if load is not None:
                stats.reported_busy = load[0] + load[1]
                stats.reported_at = now
            if latency_s is not None:
                stats.record_latency(latency_s, is_background)
            if failed is None:
                return
            if not failed:
                stats.consecutive_failures = 0
                return
            ejection_s = BASE_EJECTION_S * 2**stats.consecutive_failures
            stats.consecutive_failures += 1
            stats.ejected_until = now + min(MAX_EJECTION_S, ejection_s)
