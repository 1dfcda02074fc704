"""Use the load that upstreams report while it is fresh and accurate."""

import math

from ...ports import upstreams as upstream_port

from . import window as window_module

# The slowness that upstreams report changes many times a second.
EXPIRY_S = 0.3
# The usual report of an upstream is the median over this window.
USUAL_S = 10.0
# Bounds of the effect of a report.
MAX_FACTOR = 3.0
# Weight of a sample in the mean errors of predictions.
ERROR_WEIGHT = 0.05
# Reports are used before they are proven only to this degree.
UNPROVEN_TRUST = 0.5
MIN_PROOFS = 20


class Reports:
    """Hold the newest report of one upstream and how well it predicts."""

    def __init__(self) -> None:
        self._load: upstream_port.ReportedLoad | None = None
        self._reported_at = -math.inf
        self._usual = window_module.Window(USUAL_S)
        # A figure of 100 is the usual one until others are known.
        self._usual_log = 0.0
        self._error_with = 0.0
        self._error_without = 0.0
        self._proofs = 0

    def observe(self, load: upstream_port.ReportedLoad, now: float) -> None:
        """Replace the newest report."""
        self._load = load
        self._reported_at = now
        if load.slowness:
            self._usual.add(math.log(load.slowness), now)
            if self._proofs >= MIN_PROOFS:
                self._usual_log = self._usual.quantile(0.5, now) or 0.0

    def busy(self, now: float) -> int:
        """Return the running and waiting requests, 0 if not known."""
        if self._load is None or now - self._reported_at >= EXPIRY_S:
            return 0
        return self._load.running + self._load.waiting

    def factor(self, now: float) -> float:
        """Return the slowness relative to the usual one; 1 if not known."""
        log_factor = self._log_factor(now)
        if self._proofs < MIN_PROOFS:
            # A false claim to be fast would attract work at once.
            log_factor = max(0.0, UNPROVEN_TRUST * log_factor)
        elif not self.is_proven:
            return 1.0
        return math.exp(log_factor)

    @property
    def is_proven(self) -> bool:
        """Return whether reports make predictions better."""
        return (
            self._proofs >= MIN_PROOFS
            and self._error_with < self._error_without
        )

    def score_prediction(self, log_error: float, now: float) -> None:
        """Compare the errors of prediction with and without the report."""
        # The error is that without it: sample less learnt, as logarithms.
        log_factor = self._log_factor(now)
        if not log_factor:
            return
        self._proofs += 1
        self._error_without += ERROR_WEIGHT * (
            abs(log_error) - self._error_without
        )
        self._error_with += ERROR_WEIGHT * (
            abs(log_error - log_factor) - self._error_with
        )

    def _log_factor(self, now: float) -> float:
        load = self._load
        if load is None or not load.slowness:
            return 0.0
        if now - self._reported_at >= EXPIRY_S:
            return 0.0
        limit = math.log(MAX_FACTOR)
        log_factor = math.log(load.slowness) - self._usual_log
        return max(-limit, min(limit, log_factor))
