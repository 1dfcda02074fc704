"""Show operators the learnt speed and limit of each upstream."""

import collections.abc
import math
import typing

import structlog

from ... import metrics as metrics_module

from . import estimator

INTERVAL_S = 1.0
# Changes by less than these factors are not logged.
LOGGED_SPEED_FACTOR = 1.3
LOGGED_LIMIT_FACTOR = 1.25

LOG = structlog.get_logger(__name__)


class Learnt(typing.NamedTuple):
    """Hold what was learnt about an upstream."""

    slowness: float
    limit: float


class Reporter:
    """Set gauges once a second, and log what has changed."""

    def __init__(self, prefix: str, metrics: metrics_module.Metrics) -> None:
        self._prefix = prefix
        self._metrics = metrics
        self._reported_at = -math.inf
        self._logged: dict[str, Learnt] = {}

    def is_due(self, now: float) -> bool:
        """Return whether the next report is due."""
        return now - self._reported_at >= INTERVAL_S

    def report(
        self,
        capacities: collections.abc.Iterable[tuple[str, estimator.Capacity]],
        now: float,
    ) -> None:
        """Report what is known about all upstreams."""
        self._reported_at = now
        current = {
            upstream: Learnt(capacity.speed(now).slowness, capacity.limit)
            for upstream, capacity in capacities
        }
        for upstream in set(self._logged) - set(current):
            self._forget(upstream)
        for upstream, learnt in current.items():
            for name, value in learnt._asdict().items():
                gauge = f'{self._prefix}.{name}.{upstream}'
                self._metrics.gauge(gauge, round(value, 3))
            logged = self._logged.setdefault(upstream, Learnt(1.0, math.inf))
            if _has_changed(learnt, logged):
                self._logged[upstream] = learnt
                LOG.info(
                    'learnt capacity of an upstream has changed',
                    upstream=upstream,
                    used_for=self._prefix,
                    slowness=round(learnt.slowness, 2),
                    limit=round(learnt.limit, 1),
                )

    def clear(self) -> None:
        """Remove all gauges."""
        for upstream in list(self._logged):
            self._forget(upstream)

    def _forget(self, upstream: str) -> None:
        del self._logged[upstream]
        for name in Learnt._fields:
            self._metrics.remove_gauge(f'{self._prefix}.{name}.{upstream}')


def _has_changed(learnt: Learnt, logged: Learnt) -> bool:
    return _differ(
        learnt.slowness, logged.slowness, LOGGED_SPEED_FACTOR
    ) or _differ(learnt.limit, logged.limit, LOGGED_LIMIT_FACTOR)


def _differ(left: float, right: float, factor: float) -> bool:
    return max(left, right) > factor * min(left, right)
