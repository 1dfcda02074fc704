"""Limit the requests in flight to a service."""

import abc
import threading
import time

from .. import registry
from ..gen import tree as tree_schema

DECREASE = 0.9
BASELINE_WINDOW_S = 30.0
PROBE_SHARE = 0.8
UNLIMITED = 1_000_000_000


class Limit(abc.ABC):
    """Say how many requests per upstream may be in flight."""

    @abc.abstractmethod
    def value(self, settings: tree_schema.NodeSettings) -> float:
        """Return the present limit per upstream."""

    def record(
        self,
        settings: tree_schema.NodeSettings,
        latency_s: float | None,
        overloaded: bool,
        used_share: float,
    ) -> None:
        """Learn from a finished request and the share of the limit in use."""


limits: registry.Registry[type[Limit]] = registry.Registry('limit policy')


@limits.register('none')
class NoLimit(Limit):
    """Never limit."""

    def value(self, settings: tree_schema.NodeSettings) -> float:
        """Return a limit that is never reached."""
        return UNLIMITED


@limits.register('fixed')
class FixedLimit(Limit):
    """Keep the initial limit."""

    def value(self, settings: tree_schema.NodeSettings) -> float:
        """Return the configured limit."""
        return settings['limit_initial']


@limits.register('adaptive')
class AdaptiveLimit(Limit):
    """Raise the limit while latency stays near its lowest, else lower it."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._value: float | None = None
        self._lowest_s: float | None = None
        self._window_lowest_s: float | None = None
        self._window_ends = 0.0
        self._next_decrease = 0.0

    def value(self, settings: tree_schema.NodeSettings) -> float:
        """Return the present limit within its configured range."""
        value = self._value
        if value is None:
            value = settings['limit_initial']
        return min(max(value, settings['limit_min']), settings['limit_max'])

    def record(
        self,
        settings: tree_schema.NodeSettings,
        latency_s: float | None,
        overloaded: bool,
        used_share: float,
    ) -> None:
        """Move the limit by additive increase, multiplicative decrease."""
        now = time.monotonic()
        with self._lock:
            value = self.value(settings)
            if latency_s is not None:
                self._record_lowest(latency_s, now)
                lowest_s = self._lowest_s or latency_s
                if latency_s > lowest_s * settings['latency_tolerance']:
                    overloaded = True
            if overloaded:
                self._decrease(value, now)
            elif latency_s is not None and used_share >= PROBE_SHARE:
                self._value = value + 1.0 / value

    def _decrease(self, value: float, now: float) -> None:
        # Once per round trip: requests in flight do not yet know of it.
        if now < self._next_decrease:
            return
        self._value = value * DECREASE
        self._next_decrease = now + (self._lowest_s or 0.0)

    def _record_lowest(self, latency_s: float, now: float) -> None:
        if now >= self._window_ends:
            self._lowest_s = self._window_lowest_s or latency_s
            self._window_lowest_s = None
            self._window_ends = now + BASELINE_WINDOW_S
        if self._window_lowest_s is None or latency_s < self._window_lowest_s:
            self._window_lowest_s = latency_s
        if self._lowest_s is None or latency_s < self._lowest_s:
            self._lowest_s = latency_s
