"""Play steps of a trainer on upstreams that are ordered, without a network."""

import collections
import heapq
import math
import typing

from baobabpond.ports import catalogue
from baobabpond.scaling import allocation
from baobabpond.scaling import demand
from baobabpond.scaling import prediction
from baobabpond.scaling import scaler as scaler_module

TICK_S = 0.25
SLOTS = 8
DURATION_S = 1.5
DUE_S = 7.5
INTERVAL_S = 4.0
# Upstreams that are reclaimed leave after this time.
NOTICE_S = 2.0


class Upstream:
    """An upstream, from its order until it leaves."""

    def __init__(self, pool: allocation.Pool, serves_at: float) -> None:
        self.pool = pool
        self.serves_at = serves_at
        self.leaves_at = float('inf')
        # When each running item ends, and when it is due.
        self.running: list[tuple[float, float]] = []


class Simulation:
    """The platform, one service and the scaler that orders its upstreams."""

    def __init__(
        self, scaling: catalogue.Scaling, present: allocation.Counts
    ) -> None:
        self.scaling = scaling
        self.now = 0.0
        self.scaler = scaler_module.Scaler(scaling)
        self.prediction = prediction.StepPrediction()
        self.upstreams = [
            Upstream(pool, 0.0)
            for pool, count in present.items()
            for _ in range(count)
        ]
        # Deadlines of the items that wait.
        self.waiting: list[float] = []
        self.finished = 0
        self.late = 0
        self.cost = 0.0
        # Pools of which no more are to be had.
        self.refused: set[allocation.Pool] = set()
        # When the counts were changed, and by how much in total.
        self.changes: list[tuple[float, int]] = []
        self.removed_at: list[float] = []

    @property
    def serving(self) -> allocation.Counts:
        """Return the upstreams that serve and don't drain."""
        return collections.Counter(
            upstream.pool
            for upstream in self.upstreams
            if upstream.serves_at <= self.now
            and math.isinf(upstream.leaves_at)
        )

    def submit(self, items: int) -> None:
        """Submit a step."""
        self.prediction.record(
            'a', prediction.Step(self.now, items, DURATION_S, DUE_S)
        )
        for _ in range(items):
            heapq.heappush(self.waiting, self.now + DUE_S)

    def reclaim(self, data_centre: str) -> None:
        """Reclaim all spot upstreams of a data centre at once."""
        pool = allocation.Pool(data_centre, True)
        for upstream in self.upstreams:
            if upstream.pool == pool:
                upstream.leaves_at = self.now + NOTICE_S
        self.refused.add(pool)
        self.scaler.record_reclaim(pool, 0, self.now)

    def run(
        self, seconds: float, items: typing.Callable[[float], int]
    ) -> None:
        """Let time pass; a step comes at each interval."""
        ends_at = self.now + seconds
        while self.now < ends_at:
            if self.now % INTERVAL_S == 0:
                self.submit(items(self.now))
            self._work()
            self._decide()
            self.cost += TICK_S * sum(
                allocation.price_of(upstream.pool, self.scaling)
                for upstream in self.upstreams
            )
            self.now += TICK_S

    def _work(self) -> None:
        self.upstreams = [u for u in self.upstreams if u.leaves_at > self.now]
        for upstream in self.upstreams:
            upstream.running = [
                (ends_at, due_at)
                for ends_at, due_at in upstream.running
                if ends_at > self.now
            ]
            if upstream.serves_at > self.now:
                continue
            while self.waiting and len(upstream.running) < SLOTS:
                ends_at = self.now + DURATION_S
                if ends_at > upstream.leaves_at:
                    break
                due_at = heapq.heappop(self.waiting)
                upstream.running.append((ends_at, due_at))
                self.late += ends_at > due_at
                self.finished += 1

    def _decide(self) -> None:
        groups = collections.Counter(
            (DURATION_S, due_at - self.now) for due_at in self.waiting
        )
        groups.update(
            (ends_at - self.now, due_at - self.now)
            for upstream in self.upstreams
            for ends_at, due_at in upstream.running
        )
        work = [
            demand.Work(count, duration_s, due_in_s)
            for (duration_s, due_in_s), count in groups.items()
        ]
        slots = demand.slots_needed(
            [*work, *self.prediction.expected(self.now)]
        )
        before = self.scaler.ordered
        decided = self.scaler.decide(
            scaler_module.Observation(self.now, slots, SLOTS, self.serving)
        )
        self._order(before or self.serving, decided)

    def _order(
        self, before: allocation.Counts, decided: allocation.Counts
    ) -> None:
        for pool, count in decided.items():
            staying = [
                upstream
                for upstream in self.upstreams
                if upstream.pool == pool and math.isinf(upstream.leaves_at)
            ]
            if count > len(staying) and pool in self.refused:
                self.scaler.record_unavailable(pool, self.now)
                continue
            if count != len(staying):
                self.changes.append((self.now, count - len(staying)))
            for upstream in staying[count:]:
                upstream.leaves_at = self.now + DURATION_S
                self.removed_at.append(self.now)
            for _ in range(count - len(staying)):
                self.upstreams.append(
                    Upstream(pool, self.now + self.scaling.boot_s)
                )
