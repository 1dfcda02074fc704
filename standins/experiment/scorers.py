"""Simulate a plain service that scores outputs and serves callers."""

import collections
import collections.abc
import math
import random
import time

from baobabpond.pool import priority
from baobabpond.pool import state
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams
from baobabpond.upstreams import load_balancer as load_balancer_module

from . import clock
from . import load as load_module
from . import policies as policies_module

SERVICE = 'scorers'
# Standard deviation of the log-normal distribution of the work of a request.
WORK_SPREAD = 0.5

OnScored = collections.abc.Callable[[state.Task], None]


class ScoringUpstream:
    """Work on as many requests as there are slots; queue the others."""

    def __init__(
        self, name: str, slots: int, scheduler: clock.Scheduler
    ) -> None:
        self.entry = catalogue.UpstreamEntry(
            name, SERVICE, name, 80, 'a', slots, False, 1, {}
        )
        self._scheduler = scheduler
        self._running = 0
        self._waiting: collections.deque[tuple[float, clock.Action]] = (
            collections.deque()
        )

    @property
    def load(self) -> upstreams.ReportedLoad:
        """Return the load as the upstream reports it."""
        return upstreams.ReportedLoad(
            self._running, len(self._waiting), self.entry.slots
        )

    def submit(self, work_s: float, on_done: clock.Action) -> None:
        """Work on a request as soon as there is a slot."""
        self._waiting.append((work_s, on_done))
        self._start_next()

    def _start_next(self) -> None:
        if not self._waiting or self._running >= self.entry.slots:
            return
        work_s, on_done = self._waiting.popleft()
        self._running += 1

        def finish() -> None:
            self._running -= 1
            on_done()
            self._start_next()

        self._scheduler.call_later(work_s, finish)


class ScoringService:
    """Send lookups and reward calls with the policies of the product."""

    def __init__(
        self,
        spec: load_module.ScoringSpec,
        policies: policies_module.Policies,
        rng: random.Random,
        scheduler: clock.Scheduler,
        on_scored: OnScored,
    ) -> None:
        self._spec = spec
        self._choose = policies_module.reward_choices.get(
            policies.reward_choice
        )
        self._rank = policies_module.reward_orders.get(policies.reward_order)
        self._rng = rng
        self._scheduler = scheduler
        self._on_scored = on_scored
        self._balancer = load_balancer_module.LoadBalancer(rng=rng)
        self._upstreams = {
            name: ScoringUpstream(name, spec.slots, scheduler)
            for name in (f'p{number}' for number in range(spec.upstreams))
        }
        self._waiting: list[state.Task] = []
        self._lookup_latencies_s: list[float] = []
        self._send_next_lookup_later()

    @property
    def lookups_in_aim(self) -> float:
        """Return the share of the lookups that were answered in time."""
        if not self._lookup_latencies_s:
            return 1.0
        in_aim = sum(
            latency_s <= self._spec.lookup_aim_s
            for latency_s in self._lookup_latencies_s
        )
        return in_aim / len(self._lookup_latencies_s)

    def add(self, task: state.Task) -> None:
        """Queue the reward call of an item."""
        self._waiting.append(task)

    def assign(self, tasks: collections.abc.Iterable[state.Task]) -> None:
        """Send queued reward calls, as far as the policy finds room."""
        self._waiting = [
            task for task in self._waiting if not task.batch.ended
        ]
        now = time.monotonic()
        unfinished = collections.Counter(
            (task.batch.head.id, task.item.group)
            for task in tasks
            if task.result is None
        )
        self._waiting.sort(
            key=lambda task: self._rank(
                priority.WaitingReward(
                    task.due_at - now,
                    unfinished[task.batch.head.id, task.item.group],
                )
            )
        )
        while self._waiting:
            entry = self._choose(self._balancer, self._entries())
            if entry is None:
                return
            self._send(entry, self._waiting.pop(0))

    def _entries(self) -> list[catalogue.UpstreamEntry]:
        return [upstream.entry for upstream in self._upstreams.values()]

    def _send(self, entry: catalogue.UpstreamEntry, task: state.Task) -> None:
        upstream = self._upstreams[entry.id]

        def finish() -> None:
            self._balancer.record_outcome(
                entry,
                None,
                False,
                upstream.load,
                load_balancer_module.BACKGROUND,
            )
            self._on_scored(task)

        upstream.submit(self._draw_work_s(self._spec.reward_s), finish)

    def _send_next_lookup_later(self) -> None:
        self._scheduler.call_later(
            self._rng.expovariate(self._spec.lookups_per_s), self._send_lookup
        )

    def _send_lookup(self) -> None:
        self._send_next_lookup_later()
        entry = self._balancer.choose(self._entries(), set())
        if entry is None:
            return
        upstream = self._upstreams[entry.id]
        sent_at = time.monotonic()

        def finish() -> None:
            latency_s = time.monotonic() - sent_at
            self._lookup_latencies_s.append(latency_s)
            self._balancer.record_outcome(
                entry, latency_s, False, upstream.load
            )

        upstream.submit(self._draw_work_s(self._spec.lookup_s), finish)

    def _draw_work_s(self, mean_s: float) -> float:
        return self._rng.lognormvariate(
            math.log(mean_s) - WORK_SPREAD**2 / 2, WORK_SPREAD
        )
