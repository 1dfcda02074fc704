"""Limit the concurrent requests to a service."""

import abc
import threading
import time
import typing

from .. import registry
from ..gen import tree as tree_schema

# Bounds of the factor of a single decrease: a latency far above the target
# at most halves the limit.
MIN_DECREASE_FACTOR = 0.5
MAX_DECREASE_FACTOR = 0.9
MIN_UTILISATION_TO_INCREASE = 0.8
# Smaller latency differences are jitter of this process, not service load.
LATENCY_JITTER_S = 0.01
MIN_LIMIT = 1.0
UNLIMITED = 1_000_000_000.0


class CompletedRequest(typing.NamedTuple):
    """Describe a completed request to a limit policy.

    The latencies are per unit of work. A failed request counts as overload:
    its latency is None, and elapsed_s is the time until the failure.
    """

    elapsed_s: float
    unit_latency_s: float | None
    baseline_s: float
    in_flight: int


class LimitPolicy(abc.ABC):
    """Compute how many requests this instance may have in flight."""

    @abc.abstractmethod
    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the current limit for a number of upstreams."""

    def record(
        self,
        settings: tree_schema.NodeSettings,
        upstreams: int,
        completed: CompletedRequest,
    ) -> None:
        """Adjust the limit after a request; by default, do nothing."""


limits: registry.Registry[type[LimitPolicy]] = registry.Registry(
    'limit policy'
)


@limits.register('none')
class NoLimit(LimitPolicy):
    """Impose no limit."""

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return a limit that is never reached in practice."""
        return UNLIMITED


@limits.register('fixed')
class FixedLimit(LimitPolicy):
    """Apply the configured initial limit without adjustment."""

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the configured limit, at least one request."""
        return max(MIN_LIMIT, settings['limit_initial'] * upstreams)


@limits.register('adaptive')
class AdaptiveLimit(LimitPolicy):
    """Adapt the limit to latency relative to its baseline (AIMD)."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value: float | None = None
        self._next_decrease_at = 0.0
        self._exponential_growth = True

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the current limit, clamped to its configured range."""
        value = self._value
        if value is None:
            value = settings['limit_initial'] * upstreams
        min_limit = max(MIN_LIMIT, settings['limit_min'] * upstreams)
        return min(max(value, min_limit), settings['limit_max'] * upstreams)

    def record(
        self,
        settings: tree_schema.NodeSettings,
        upstreams: int,
        completed: CompletedRequest,
    ) -> None:
        """Adjust by additive increase and multiplicative decrease."""
        target_s = max(
            completed.baseline_s * settings['latency_tolerance'],
            completed.baseline_s + LATENCY_JITTER_S,
        )
        with self._lock:
            value = self.value(settings, upstreams)
            if completed.unit_latency_s is None:
                self._decrease(value, MIN_DECREASE_FACTOR, completed.elapsed_s)
            elif completed.unit_latency_s > target_s:
                ratio = target_s / completed.unit_latency_s
                self._decrease(value, ratio, completed.elapsed_s)
            elif completed.in_flight >= value * MIN_UTILISATION_TO_INCREASE:
                # Doubles per round trip until the first decrease, then grows
                # by one.
                self._value = value + (
                    1.0 if self._exponential_growth else 1.0 / value
                )

    def _decrease(self, value: float, ratio: float, elapsed_s: float) -> None:
        self._exponential_growth = False
        now = time.monotonic()
        # Once per round trip, as the requests already in flight were sent
        # before the decrease and do not reflect it.
        if now < self._next_decrease_at:
            return
        self._value = value * min(
            max(ratio, MIN_DECREASE_FACTOR), MAX_DECREASE_FACTOR
        )
        self._next_decrease_at = now + elapsed_s
