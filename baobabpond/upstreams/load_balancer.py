"""Balance requests over upstreams by learnt latency and load.

Background requests, which no caller waits for, use only a part of the slots,
and have a latency of their own, as they may be of another kind.
"""

import collections.abc
import random
import threading
import time

from .. import metrics as metrics_module
from ..ports import catalogue
from ..ports import upstreams as upstream_port

from .capacity import estimator
from .capacity import reporter

# Until the first requests have completed.
INITIAL_LATENCY_S = 0.04
# Of the upstreams that a caller's request may use, the better one of this many
# drawn at random is chosen. Instances that have the same view of the upstreams
# would otherwise all choose the same one.
CHOICES = 2
BACKGROUND = 'background'
# An upstream that was no candidate for this long has left.
FORGET_S = 60.0
# A failing upstream is ejected for this long, doubled with each consecutive
# failure.
BASE_EJECTION_S = 0.5
MAX_EJECTION_S = 4.0
# Share of an upstream's slots for requests that no caller waits for. The rest
# is free for callers at any time.
BACKGROUND_SHARE = 0.85


class UpstreamStats:
    """Load, latency and failures of one upstream, seen by this instance."""

    def __init__(
        self,
        capacity: estimator.CapacityEstimator,
        background: estimator.CapacityEstimator,
    ) -> None:
        self.in_flight = 0
        self.capacity = capacity
        # Background requests do not affect what callers' requests expect.
        self.background = background
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        self.used_at = time.monotonic()

    def busy(self, now: float) -> int:
        """Return the requests that run or wait at the upstream."""
        return max(self.in_flight, self.capacity.reported_busy(now))

    def score(self, kind: str, slots: int, now: float) -> float:
        """Return the expected latency of one more request."""
        return (
            self.capacity.expected_s(kind, now)
            * self.capacity.present_factor(now)
            * self._load_factor(slots, now)
        )

    def background_score(self, slots: int, now: float) -> float:
        """Return the expected latency of one more background request."""
        return self.background.expected_s(BACKGROUND, now) * self._load_factor(
            slots, now
        )

    def has_room(self, slots: int, now: float) -> bool:
        """Return whether a background request leaves slots for callers.

        After a failure one request at a time tries the upstream.
        """
        if self.ejected_until > now:
            return False
        usable = min(float(slots), self.background.limit)
        limit = max(1, int(usable * BACKGROUND_SHARE))
        if self.consecutive_failures:
            limit = 1
        return self.busy(now) < limit

    def record_latency(
        self, kind: str, latency_s: float, running: int, now: float
    ) -> None:
        """Learn from the latency of a request beside a number of others."""
        capacity = self.background if kind == BACKGROUND else self.capacity
        capacity.observe(kind, latency_s, running, now)

    def record_result(self, failed: bool, now: float) -> None:
        """Count a failure and eject the upstream, or end the failures."""
        if not failed:
            self.consecutive_failures = 0
            return
        ejection_s = BASE_EJECTION_S * 2**self.consecutive_failures
        self.consecutive_failures += 1
        self.ejected_until = now + min(MAX_EJECTION_S, ejection_s)

    def _load_factor(self, slots: int, now: float) -> float:
        return (1 + self.busy(now) / slots) * (1 + self.in_flight)


# Returns the score of an upstream with a number of slots; lowest is best.
Score = collections.abc.Callable[[UpstreamStats, int], float]


class LoadBalancer:
    """Choose upstreams by latency and load, and eject failing ones."""

    def __init__(
        self,
        metrics: metrics_module.Metrics | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._rng = rng or random.Random()
        self._reporter = reporter.Reporter(
            'edge', metrics or metrics_module.Metrics()
        )
        self._lock = threading.Lock()
        self._learner = estimator.Learner(INITIAL_LATENCY_S)
        self._background_learner = estimator.Learner(INITIAL_LATENCY_S)
        self._stats: dict[tuple[str, int], UpstreamStats] = {}

    def choose(
        self,
        entries: list[catalogue.UpstreamEntry],
        tried: set[str],
        kind: str = '',
    ) -> catalogue.UpstreamEntry | None:
        """Return the better one of two untried upstreams drawn at random."""
        now = time.monotonic()
        untried = [entry for entry in entries if entry.id not in tried]
        with self._lock:
            # Ejected ones are used only if all others have been tried.
            sound = [
                entry
                for entry in untried
                if self._stats_of(entry).ejected_until <= now
            ]
            return self._take_best(
                self._draw(sound or untried),
                lambda stats, slots: stats.score(kind, slots, now),
            )

    def choose_for_background(
        self, entries: list[catalogue.UpstreamEntry]
    ) -> catalogue.UpstreamEntry | None:
        """Return the best upstream with room for a background request."""
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

    def _draw(
        self, entries: list[catalogue.UpstreamEntry]
    ) -> list[catalogue.UpstreamEntry]:
        return self._rng.sample(entries, min(CHOICES, len(entries)))

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
        stats = self._stats.get(entry.incarnation)
        if stats is None:
            stats = UpstreamStats(
                self._learner.track(entry.service, entry.slots),
                self._background_learner.track(entry.service, entry.slots),
            )
            self._stats[entry.incarnation] = stats
        stats.used_at = time.monotonic()
        return stats

    def _forget_unused(self, now: float) -> None:
        for incarnation, stats in list(self._stats.items()):
            if now - stats.used_at > FORGET_S and not stats.in_flight:
                del self._stats[incarnation]

    def record_outcome(
        self,
        entry: catalogue.UpstreamEntry,
        latency_s: float | None,
        failed: bool | None,
        load: upstream_port.ReportedLoad | None,
        kind: str = '',
    ) -> None:
        """Record the end of a request sent to a chosen upstream."""
        # A failure of None says nothing about the upstream.
        now = time.monotonic()
        with self._lock:
            stats = self._stats_of(entry)
            running = stats.busy(now)
            stats.in_flight = max(0, stats.in_flight - 1)
            if latency_s is not None:
                stats.record_latency(kind, latency_s, running, now)
            if load is not None:
                stats.capacity.observe_report(load, now)
            self._report_if_due(now)
            if failed is not None:
                stats.record_result(failed, now)

    def _report_if_due(self, now: float) -> None:
        if not self._reporter.is_due(now):
            return
        self._forget_unused(now)
        self._reporter.report(
            [
                (upstream, stats.capacity)
                for (upstream, _), stats in self._stats.items()
            ],
            now,
        )
