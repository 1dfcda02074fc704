"""Simulate samplers."""

import collections.abc
import random
import time

from baobabpond.pool import runner
from baobabpond.pool import state
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams

from . import clock
from . import load as load_module

SERVICE = 'samplers'
# Time between the events of a run on an idle sampler, and the time that
# each concurrent run adds.
EVENT_GAP_S = 0.035
EVENT_GAP_PER_RUN_S = 0.0005
FIRST_EVENT_DELAY_S = 0.02
# Time to read a token of the prompt, or of the output when a run continues on
# another sampler. The prompt of a group that is there is not read again.
READ_S_PER_TOKEN = 0.006 / 1000
# What a sampler that reports false figures claims.
FALSE_SLOWNESS = 0.4
WEIGHT_LOAD_S = 1.0
# Relative slowdown of a weight load for each load above the number that
# can run concurrently at full speed.
WEIGHT_LOAD_CONTENTION = 0.5
# A run that is preempted for lack of memory is retried after this time.
PREEMPTION_DELAY_S = 0.1
TOKENS_PER_EVENT = 58

OnEnd = collections.abc.Callable[[state.Run, runner.RunOutcome], None]


class Sampler:
    """Generate the events of the items assigned to it."""

    def __init__(
        self,
        name: str,
        workload: load_module.Workload,
        scheduler: clock.Scheduler,
        number: int = 0,
        rng: random.Random | None = None,
    ) -> None:
        self.name = name
        self._workload = workload
        self._scheduler = scheduler
        self._number = number
        self._rng = rng or random.Random(number)
        speeds = workload.capacity.speeds
        self._speed = speeds[number % len(speeds)]
        self._noise = 1.0
        if workload.capacity.noise_share:
            scheduler.call_later(self._draw_quiet_s(), self._begin_noise)
        self.born = 1
        self.versions = {trainer.model: 1 for trainer in workload.trainers}
        self.slowdown = 1.0
        self.is_hung = False
        self.is_down = False
        self._runs: list[state.Run] = []

    @property
    def entry(self) -> catalogue.UpstreamEntry:
        """Return the sampler's current registration."""
        return catalogue.UpstreamEntry(
            self.name,
            SERVICE,
            self.name,
            80,
            'here',
            self._workload.slots,
            False,
            self.born,
            dict(self.versions),
        )

    @property
    def load(self) -> upstreams.ReportedLoad:
        """Return the load as the sampler reports it."""
        slots = self._workload.slots
        if self._number < self._workload.capacity.false_reports:
            return upstreams.ReportedLoad(0, 0, slots, FALSE_SLOWNESS)
        return upstreams.ReportedLoad(
            len(self._runs), 0, slots, self._slowness
        )

    @property
    def _slowness(self) -> float:
        """Return how much longer than usual an event takes now."""
        capacity = self._workload.capacity
        slowness = self.slowdown * self._noise / self._speed
        knee = capacity.knee_share * self._workload.slots
        if self._number < capacity.kneed and len(self._runs) > knee:
            slowness *= capacity.knee_factor
        return slowness

    def _draw_quiet_s(self) -> float:
        capacity = self._workload.capacity
        mean_s = capacity.noise_s * (1 / capacity.noise_share - 1)
        return self._rng.expovariate(1 / mean_s)

    def _begin_noise(self) -> None:
        capacity = self._workload.capacity
        self._noise = capacity.noise_factor

        def end() -> None:
            self._noise = 1.0
            self._scheduler.call_later(self._draw_quiet_s(), self._begin_noise)

        self._scheduler.call_later(capacity.noise_s, end)

    def _reading_s(self, run: state.Run) -> float:
        """Return the time until the prompt and the output are read."""
        item = run.task.item
        is_cached = any(
            other.task.item.group == item.group
            and other.task.batch is run.task.batch
            for other in self._runs
        )
        tokens = TOKENS_PER_EVENT * len(run.task.events)
        tokens += 0 if is_cached else item.prompt_tokens
        return READ_S_PER_TOKEN * tokens * self._slowness

    def start(self, run: state.Run, events: int, on_end: OnEnd) -> None:
        """Run an item until it has the given number of events."""
        if self.is_down:
            self._scheduler.call_later(
                0.0, lambda: on_end(run, runner.RunOutcome.UNREACHABLE)
            )
            return
        if self._workload.capacity.reports:
            run.upstream.capacity.observe_report(self.load, time.monotonic())
        delay_s = FIRST_EVENT_DELAY_S + self._reading_s(run)
        self._runs.append(run)
        self._schedule_event(run, events, on_end, delay_s)

    def stop(self, run: state.Run) -> None:
        """Stop a run without calling back."""
        if run in self._runs:
            self._runs.remove(run)

    def crash(self, on_end: OnEnd) -> None:
        """Go down and interrupt all runs."""
        self.is_down = True
        runs, self._runs = self._runs, []
        for run in runs:
            on_end(run, runner.RunOutcome.INTERRUPTED)

    def restart(self) -> None:
        """Start again under the same ID, as a new process."""
        self.is_down = False
        self.born += 1

    def load_weights(
        self, model: str, version: int, concurrent_loads: int
    ) -> float:
        """Start to load weights; return the duration in seconds."""
        contending = max(
            0, concurrent_loads - self._workload.uncontended_loads
        )
        duration_s = WEIGHT_LOAD_S * (1 + WEIGHT_LOAD_CONTENTION * contending)
        born = self.born

        def finish() -> None:
            if self.born == born and not self.is_down:
                self.versions[model] = version

        self._scheduler.call_later(duration_s, finish)
        return duration_s

    def _schedule_event(
        self,
        run: state.Run,
        events: int,
        on_end: OnEnd,
        extra_s: float = 0.0,
    ) -> None:
        gap_s = EVENT_GAP_S + EVENT_GAP_PER_RUN_S * len(self._runs)
        self._scheduler.call_later(
            gap_s * self._slowness + extra_s,
            lambda: self._emit(run, events, on_end),
        )

    def _emit(self, run: state.Run, events: int, on_end: OnEnd) -> None:
        if run not in self._runs or self.is_hung:
            # The streams of a hung sampler never continue.
            return
        if self._is_preempted(run):
            self._schedule_event(run, events, on_end, PREEMPTION_DELAY_S)
            return
        self._record_event(run)
        if len(run.task.events) >= events:
            self.stop(run)
            on_end(run, runner.RunOutcome.COMPLETED)
        else:
            self._schedule_event(run, events, on_end)

    def _record_event(self, run: state.Run) -> None:
        now = time.monotonic()
        model = run.task.model
        version = self.versions[model]
        run.upstream.update_version(model, version)
        if run.has_begun:
            run.upstream.observe_gap(model, now - run.last_event_at)
        run.events += 1
        run.last_event_at = now
        run.task.add_event('', version, run.upstream.entry.software)

    def _is_preempted(self, run: state.Run) -> bool:
        """Return whether a run is the newest and the memory is full."""
        if run is not self._runs[-1] or len(self._runs) == 1:
            return False
        used = sum(
            active.task.item.prompt_tokens
            + TOKENS_PER_EVENT * len(active.task.events)
            for active in self._runs
        )
        return used > self._workload.memory_tokens
