"""Decide when to order more upstreams, and when to reduce them."""

import collections
import math
import typing

from ..ports import catalogue

from . import allocation

# Factor on the slots that are needed, for slow upstreams and for estimates
# that are too low.
HEADROOM = 1.25
# Capacity is reduced only to what was needed within this time. An upstream
# that leaves loses its cached prompts, and one costs little for a minute.
HOLD_S = 60.0
# A reduction must save this share of the price, so that small differences
# don't move upstreams between pools.
MIN_SAVING = 0.1
# After a refusal or a reclaim, no more are ordered in the pool for this time.
# It is longer than the default order lease, within which a refused order must
# not be repeated.
UNAVAILABLE_S = 10.0


class Observation(typing.NamedTuple):
    """Describe the demand and the upstreams of a service at a time."""

    # By time.monotonic().
    now: float
    # To do the present and expected work in time.
    slots_needed: int
    slots_per_upstream: int
    # Upstreams that serve, without those that drain.
    serving: allocation.Counts


class _Need(typing.NamedTuple):
    """The upstreams that were needed at a time."""

    at: float
    upstreams: int


class _CheapestCounts(typing.NamedTuple):
    """The cheapest counts for a need."""

    needed: int
    counts: allocation.Counts


class Scaler:
    """Decide on the counts of one service; the caller orders them."""

    def __init__(self, scaling: catalogue.Scaling) -> None:
        self._scaling = scaling
        # The needs within HOLD_S, oldest first; each is higher than all later
        # ones, so that the first is the highest.
        self._needs: collections.deque[_Need] = collections.deque()
        self._ordered: allocation.Counts | None = None
        self._began_at = float('inf')
        # The cheapest counts for the last need, kept until the need changes.
        self._best: _CheapestCounts | None = None
        # By pool, until when no more are ordered there.
        self._unavailable: dict[allocation.Pool, float] = {}

    @property
    def ordered(self) -> allocation.Counts:
        """Return the counts that were decided last."""
        return dict(self._ordered or {})

    def record_unavailable(self, pool: allocation.Pool, now: float) -> None:
        """Record that no more are to be had in a pool."""
        self._unavailable[pool] = now + UNAVAILABLE_S

    def record_reclaim(
        self, pool: allocation.Pool, left: int, now: float
    ) -> None:
        """Record that the platform reclaims upstreams; some are left."""
        self.record_unavailable(pool, now)
        if self._ordered is not None:
            self._ordered[pool] = min(left, self._ordered.get(pool, 0))

    def decide(self, observation: Observation) -> allocation.Counts:
        """Return the counts that there should be, by pool.

        A pool that was refused keeps what it has.
        """
        now = observation.now
        if self._ordered is None:
            # A new holder of the duty begins with what serves.
            self._ordered = dict(observation.serving)
            self._began_at = now
        self._adjust(self._ordered, observation)
        needed = self._held_need(observation)
        if not allocation.is_enough(self._ordered, needed, self._scaling):
            self._ordered = allocation.allocate(
                needed, self._scaling, self._ordered, self._unavailable
            )
            return self.ordered
        if now - self._began_at >= HOLD_S and not self._unavailable:
            self._reduce(needed, observation.serving)
        return self.ordered

    def _adjust(
        self, ordered: allocation.Counts, observation: Observation
    ) -> None:
        """Adjust the ordered counts to the upstreams that serve."""
        now = observation.now
        if now - self._began_at < HOLD_S:
            # Upstreams that the former holder ordered may still boot.
            for pool, count in observation.serving.items():
                ordered[pool] = max(ordered.get(pool, 0), count)
        for pool, until in list(self._unavailable.items()):
            if until <= now:
                del self._unavailable[pool]
        for pool in self._unavailable:
            # Upstreams whose order was refused will not come.
            ordered[pool] = min(
                ordered.get(pool, 0), observation.serving.get(pool, 0)
            )

    def _cheapest(self, needed: int) -> allocation.Counts:
        """Return the cheapest counts for a need."""
        if self._best is None or self._best.needed != needed:
            counts = allocation.allocate(needed, self._scaling, {})
            self._best = _CheapestCounts(needed, counts)
        return self._best.counts

    def _held_need(self, observation: Observation) -> int:
        """Return the most upstreams that were needed within HOLD_S."""
        now = observation.now
        needed = math.ceil(
            HEADROOM
            * observation.slots_needed
            / observation.slots_per_upstream
        )
        while self._needs and self._needs[-1].upstreams <= needed:
            self._needs.pop()
        self._needs.append(_Need(now, needed))
        while self._needs[0].at < now - HOLD_S:
            self._needs.popleft()
        return self._needs[0].upstreams

    def _reduce(self, needed: int, serving: allocation.Counts) -> None:
        """Order the cheapest counts if that saves enough.

        Until enough of their upstreams serve, the present ones are kept.
        """
        ordered = self.ordered
        best = self._cheapest(needed)
        paid = allocation.cost(ordered, self._scaling)
        saving = paid - allocation.cost(best, self._scaling)
        if saving <= 0 or saving < MIN_SAVING * paid:
            return
        remaining = {
            pool: min(count, serving.get(pool, 0))
            for pool, count in best.items()
        }
        if allocation.safe_count(remaining) >= needed:
            self._ordered = dict(best)
            return
        both = {
            pool: max(count, ordered.get(pool, 0))
            for pool, count in best.items()
        }
        if allocation.is_allowed(both, self._scaling):
            self._ordered = both
