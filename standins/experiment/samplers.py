"""Stand in for samplers in simulated time."""

import collections.abc
import time

from baobabpond.pool import runner
from baobabpond.pool import state
from baobabpond.ports import catalogue

from . import clock
from . import load as load_module

SERVICE = 'samplers'
# An event's time on an empty sampler, and what each further run adds.
EVENT_S = 0.035
EVENT_PER_RUN_S = 0.0005
FIRST_EVENT_S = 0.02
LOAD_S = 1.0
# A load takes this much longer for each load beyond the free ones.
LOAD_SHARE = 0.5
# A run that has to leave the memory comes back after this.
PREEMPTED_S = 0.1
EVENT_TOKENS = 58

Ended = collections.abc.Callable[[state.Run, runner.RunOutcome], None]


class Sampler:
    """Run items event by event."""

    def __init__(
        self, name: str, load: load_module.Load, schedule: clock.Schedule
    ) -> None:
        self.name = name
        self._load = load
        self._schedule = schedule
        self.born = 1
        self.versions = {trainer.model: 1 for trainer in load.trainers}
        self.factor = 1.0
        self.is_dark = False
        self.is_gone = False
        self._runs: list[state.Run] = []

    @property
    def entry(self) -> catalogue.UpstreamEntry:
        """Return how the sampler registers itself."""
        return catalogue.UpstreamEntry(
            self.name,
            SERVICE,
            self.name,
            80,
            'here',
            self._load.slots,
            False,
            self.born,
            dict(self.versions),
        )

    def start(self, run: state.Run, events: int, ended: Ended) -> None:
        """Run an item until it has a number of events."""
        if self.is_gone:
            self._schedule.after(
                0.0, lambda: ended(run, runner.RunOutcome.UNREACHABLE)
            )
            return
        self._runs.append(run)
        self._next(run, events, ended, FIRST_EVENT_S)

    def stop(self, run: state.Run) -> None:
        """Drop a run."""
        if run in self._runs:
            self._runs.remove(run)

    def crash(self, ended: Ended) -> None:
        """Lose all runs."""
        self.is_gone = True
        runs, self._runs = self._runs, []
        for run in runs:
            ended(run, runner.RunOutcome.INTERRUPTED)

    def come_back(self) -> None:
        """Start again under the same id."""
        self.is_gone = False
        self.born += 1

    def load(self, model: str, version: int, loading: int) -> float:
        """Load weights; return how long it takes."""
        beyond = max(0, loading - self._load.free_loads)
        takes_s = LOAD_S * (1 + LOAD_SHARE * beyond)
        born = self.born

        def finish() -> None:
            if self.born == born and not self.is_gone:
                self.versions[model] = version

        self._schedule.after(takes_s, finish)
        return takes_s

    def _next(
        self,
        run: state.Run,
        events: int,
        ended: Ended,
        extra_s: float = 0.0,
    ) -> None:
        gap_s = EVENT_S + EVENT_PER_RUN_S * len(self._runs)
        self._schedule.after(
            gap_s * self.factor + extra_s,
            lambda: self._emit(run, events, ended),
        )

    def _emit(self, run: state.Run, events: int, ended: Ended) -> None:
        if run not in self._runs or self.is_dark:
            # A dark sampler's streams never go on.
            return
        if self._must_wait(run):
            self._next(run, events, ended, PREEMPTED_S)
            return
        self._take_event(run)
        if len(run.task.events) >= events:
            self.stop(run)
            ended(run, runner.RunOutcome.COMPLETED)
        else:
            self._next(run, events, ended)

    def _take_event(self, run: state.Run) -> None:
        now = time.monotonic()
        model = run.task.model
        version = self.versions[model]
        run.upstream.update_version(model, version)
        if run.has_begun:
            run.upstream.observe_gap(now - run.last_event_at)
        run.events += 1
        run.last_event_at = now
        run.task.events.append(('', version))

    def _must_wait(self, run: state.Run) -> bool:
        """Tell whether a run is the newest and the memory is full."""
        if run is not self._runs[-1] or len(self._runs) == 1:
            return False
        used = sum(
            one.task.item.prompt_tokens + EVENT_TOKENS * len(one.task.events)
            for one in self._runs
        )
        return used > self._load.memory_tokens
