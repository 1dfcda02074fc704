"""Decide when to order upstreams, and when to let some go."""

import collections
import math
import typing

from ..ports import catalogue

from . import allocation

# Beyond what work needs, for estimates that are too low and slow upstreams.
HEADROOM = 1.25
# Capacity is reduced only to what was needed within this time. An upstream
# that leaves loses its cached prompts, and one costs little for a minute.
HOLD_S = 60.0
# A reduction must save this share of the price.
MIN_SAVING = 0.1
# After a refusal or a reclaim, no more are ordered there for this time; it is
# longer than the lease, as refusals ask for.
UNAVAILABLE_S = 10.0


class Observation(typing.NamedTuple):
    """What is known of a service at a time."""

    now: float
    # To do the present and expected work in time.
    slots_needed: int
    slots_per_upstream: int
    # Upstreams that serve, without those that drain.
    serving: allocation.Counts


class Scaler:
    """Decide on the counts of one service; they are ordered by others."""

    def __init__(self, scaling: catalogue.Scaling) -> None:
        self._scaling = scaling
        # Upstreams that were needed, and when; each higher than later ones.
        self._needs: collections.deque[tuple[float, int]] = collections.deque()
        self._ordered: allocation.Counts | None = None
        self._began_at = float('inf')
        # A need, and the cheapest counts for it.
        self._best: tuple[int, allocation.Counts] | None = None
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
            # A new holder of the duty begins with what there is.
            self._ordered = dict(observation.serving)
            self._began_at = now
        if now - self._began_at < HOLD_S:
            # Ordered by the former holder; they had not booted yet.
            for pool, count in observation.serving.items():
                present = self._ordered.get(pool, 0)
                self._ordered[pool] = max(present, count)
        for pool, until in list(self._unavailable.items()):
            if until <= now:
                del self._unavailable[pool]
        for pool in self._unavailable:
            # What was refused will not come.
            self._ordered[pool] = min(
                self._ordered.get(pool, 0), observation.serving.get(pool, 0)
            )
        needed = self._held_need(observation)
        if not allocation.is_enough(self._ordered, needed, self._scaling):
            self._ordered = allocation.allocate(
                needed, self._scaling, self._ordered, self._unavailable
            )
            return self.ordered
        if now - self._began_at >= HOLD_S and not self._unavailable:
            self._reduce(needed, observation.serving)
        return self.ordered

    def _held_need(self, observation: Observation) -> int:
        """Return the most upstreams that were needed within the last time."""
        now = observation.now
        needed = math.ceil(
            HEADROOM
            * observation.slots_needed
            / observation.slots_per_upstream
        )
        while self._needs and self._needs[-1][1] <= needed:
            self._needs.pop()
        self._needs.append((now, needed))
        while self._needs[0][0] < now - HOLD_S:
            self._needs.popleft()
        return self._needs[0][1]

    def _reduce(self, needed: int, serving: allocation.Counts) -> None:
        """Let upstreams go that were not needed for long, if that pays."""
        ordered = self.ordered
        if self._best is None or self._best[0] != needed:
            self._best = (
                needed,
                allocation.allocate(needed, self._scaling, {}),
            )
        best = self._best[1]
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
        # Others come first; these go once those serve.
        both = {
            pool: max(count, ordered.get(pool, 0))
            for pool, count in best.items()
        }
        if allocation.is_allowed(both, self._scaling):
            self._ordered = both
