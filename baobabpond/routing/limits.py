"""Limit the requests in flight to a service."""

import abc
import threading
import time
import typing

from .. import registry
from ..gen import tree as tree_schema

# A latency far above the target lowers the limit by up to half at once.
STRONGEST_DECREASE = 0.5
WEAKEST_DECREASE = 0.9
PROBE_SHARE = 0.8
# Less than this is this process's own jitter, not the service's load.
SLACK_S = 0.01
LOWEST_LIMIT = 1.0
UNLIMITED = 1_000_000_000.0


class Finished(typing.NamedTuple):
    """Describe a finished request to a limit; times are for a unit of work.

    A request that failed for overload has no latency, only the time that
    it took to fail.
    """

    elapsed_s: float
    unit_s: float | None
    baseline_s: float
    in_flight: int


class Limit(abc.ABC):
    """Say how many requests may be in flight from this instance."""

    @abc.abstractmethod
    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the present limit for a number of upstreams."""

    def record(
        self,
        settings: tree_schema.NodeSettings,
        upstreams: int,
        finished: Finished,
    ) -> None:
        """Learn from a request that has finished."""


limits: registry.Registry[type[Limit]] = registry.Registry('limit policy')


@limits.register('none')
class NoLimit(Limit):
    """Never limit."""

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return a limit that is never reached."""
        return UNLIMITED


@limits.register('fixed')
class FixedLimit(Limit):
    """Keep the initial limit."""

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the configured limit."""
        return max(LOWEST_LIMIT, settings['limit_initial'] * upstreams)


@limits.register('adaptive')
class AdaptiveLimit(Limit):
    """Raise the limit while latency stays near its baseline, else lower it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value: float | None = None
        self._next_decrease = 0.0
        self._starting = True

    def value(
        self, settings: tree_schema.NodeSettings, upstreams: int
    ) -> float:
        """Return the present limit within its configured range."""
        value = self._value
        if value is None:
            value = settings['limit_initial'] * upstreams
        lowest = max(LOWEST_LIMIT, settings['limit_min'] * upstreams)
        return min(max(value, lowest), settings['limit_max'] * upstreams)

    def record(
        self,
        settings: tree_schema.NodeSettings,
        upstreams: int,
        finished: Finished,
    ) -> None:
        """Move the limit by additive increase, multiplicative decrease."""
        target_s = max(
            finished.baseline_s * settings['latency_tolerance'],
            finished.baseline_s + SLACK_S,
        )
        with self._lock:
            value = self.value(settings, upstreams)
            if finished.unit_s is None:
                self._decrease(value, STRONGEST_DECREASE, finished.elapsed_s)
            elif finished.unit_s > target_s:
                ratio = target_s / finished.unit_s
                self._decrease(value, ratio, finished.elapsed_s)
            elif finished.in_flight >= value * PROBE_SHARE:
                # Doubles each round trip at first, then grows by one.
                self._value = value + (1.0 if self._starting else 1.0 / value)

    def _decrease(self, value: float, ratio: float, elapsed_s: float) -> None:
        self._starting = False
        now = time.monotonic()
        # Once per round trip: requests in flight do not yet know of it.
        if now < self._next_decrease:
            return
        self._value = value * min(
            max(ratio, STRONGEST_DECREASE), WEAKEST_DECREASE
        )
        self._next_decrease = now + elapsed_s
