"""Play a load against the pool's decisions."""

import random
import time
import typing

import freezegun

from baobabpond.batches import shard_state
from baobabpond import metrics
from baobabpond.pool import backoff
from baobabpond.pool import fleet as fleet_module
from baobabpond.pool import load_planner
from baobabpond.pool import migration_policy
from baobabpond.pool import migrator as migrator_module
from baobabpond.pool import placement
from baobabpond.pool import queue
from baobabpond.pool import runner
from baobabpond.pool import state
from baobabpond.ports import callers
from baobabpond.ports import catalogue

from . import clock
from . import load as load_module
from . import policies as policies_module
from . import samplers as samplers_module
from . import trainers as trainers_module

TICK_S = 0.05
# A result is read this long after its end while the log is there.
APPEND_S = 0.03
PROGRESS_S = 0.5
# A crashed sampler's entry lapses after this.
LAPSE_S = 1.5
CONCURRENT_SHARE = 0.34


class Outcome(typing.NamedTuple):
    """Hold what a day came to."""

    worth: float
    # Of the worst trainer.
    least_worth: float
    runs: int
    moves: int
    loads: int


class Directory:
    """List the samplers that are registered."""

    def __init__(self) -> None:
        self.samplers: list[samplers_module.Sampler] = []
        self.lapsed: set[str] = set()

    def entries(self) -> list[catalogue.UpstreamEntry]:
        """Return the entries that hold."""
        return [
            sampler.entry
            for sampler in self.samplers
            if sampler.name not in self.lapsed
        ]


class Simulation:
    """Hold a day's samplers and trainers, and the owner between them."""

    def __init__(
        self,
        load: load_module.Load,
        policies: policies_module.Policies,
        seed: int,
        tick: clock.Tick,
    ) -> None:
        self._load = load
        self._rank = policies_module.orders.get(policies.order)
        self._place = policies_module.placements.get(policies.placement)
        self._plan = policies_module.plans.get(policies.weights)
        rng = random.Random(seed)
        self._rng = rng
        self._schedule = clock.Schedule(tick)
        self._directory = Directory()
        for number in range(load.upstreams):
            self._directory.samplers.append(
                samplers_module.Sampler(f's{number}', load, self._schedule)
            )
        self._fleet = fleet_module.Fleet(self._directory)
        self._pace = state.EventEstimator()
        self._migrator = migrator_module.Migrator(
            self._pace,
            self._choices,
            metrics.Metrics(),
            policies_module.rescues.get(policies.rescue),
        )
        self._works: dict[str, state.Task] = {}
        self._newest: dict[str, shard_state.Batch] = {}
        # Events that the log keeps of each item.
        self._kept: dict[str, int] = {}
        self._log_is_away = False
        self._has_owner = True
        # What happens when the log is back.
        self._put_off: list[clock.Action] = []
        self._runs = 0
        self._moves = 0
        self._loads = 0
        self._trainers = {
            kind.model: trainers_module.Trainer(
                kind, rng, self._schedule, self._submit
            )
            for kind in load.trainers
        }

    def run(self) -> Outcome:
        """Play the day."""
        for fault in self._load.faults:
            self._schedule.after(fault.at_s, lambda f=fault: self._strike(f))
        self._schedule.every(TICK_S, self._work)
        self._schedule.every(PROGRESS_S, self._keep_progress)
        self._schedule.run(self._load.length_s)
        worths = [
            trainer.worth(self._load.length_s)
            for trainer in self._trainers.values()
        ]
        return Outcome(
            sum(worths) / len(worths),
            min(worths),
            self._runs,
            self._moves,
            self._loads,
        )

    def _submit(self, batch: shard_state.Batch) -> None:
        if self._log_is_away:
            self._put_off.append(lambda: self._submit(batch))
            return
        self._newest[batch.head.model] = batch
        due = batch.submitted + self._kind(batch).due_s
        for item in batch.items:
            self._works[item.id] = state.Task(batch, item, due)

    def _kind(self, batch: shard_state.Batch) -> load_module.Trainer:
        return next(
            kind
            for kind in self._load.trainers
            if kind.model == batch.head.model
        )

    def _work(self) -> None:
        for key, work in list(self._works.items()):
            if work.batch.ended:
                if work.run is not None:
                    work.run.cancel('batch ended')
                del self._works[key]
        if not self._has_owner:
            return
        for run in self._fleet.refresh():
            run.cancel('upstream started again')
        self._migrator.check(self._works.values())
        self._assign()
        if not self._log_is_away:
            self._plan_loads()

    def _choices(self, work: state.Task) -> list[placement.Candidate]:
        return self._fleet.candidates(
            samplers_module.SERVICE, work, self._load.memory_tokens
        )

    def _assign(self) -> None:
        waiting = queue.ordered(
            self._works.values(), self._pace, time.monotonic(), self._rank
        )
        for work in waiting:
            chosen = self._place(self._choices(work))
            upstream = self._fleet.find(chosen) if chosen else None
            if upstream is not None:
                self._start(work, upstream)

    def _start(self, work: state.Task, upstream: state.Upstream) -> None:
        run = state.Run(work, upstream)
        work.run = run
        upstream.runs.add(run)
        sampler = self._sampler(upstream.id)
        run.abort = lambda: self._end(run, runner.RunOutcome.CANCELLED)
        self._runs += 1
        length = self._trainers[work.model].lengths[work.id]
        sampler.start(run, length, self._end)

    def _sampler(self, name: str) -> samplers_module.Sampler:
        return next(s for s in self._directory.samplers if s.name == name)

    def _end(self, run: state.Run, ending: runner.RunOutcome) -> None:
        work = run.task
        self._moves += run.cancel_reason in (
            migration_policy.STALLED,
            migration_policy.SLOW,
        )
        self._sampler(run.upstream.id).stop(run)
        run.upstream.runs.discard(run)
        if work.run is not run:
            return
        work.run = None
        if ending is runner.RunOutcome.COMPLETED:
            run.upstream.record_success()
            self._pace.observe(work.item.expected_tokens, len(work.events))
            work.result = callers.Result(work.id, True, '', (1,))
            self._append(lambda: self._deliver(work))
        elif ending is not runner.RunOutcome.CANCELLED:
            backoff.apply(work, run.upstream, ending, time.monotonic())

    def _append(self, action: clock.Action) -> None:
        if self._log_is_away:
            self._put_off.append(action)
        else:
            self._schedule.after(APPEND_S, action)

    def _deliver(self, work: state.Task) -> None:
        self._works.pop(work.id, None)
        self._trainers[work.model].read(work.batch, work.id)

    def _keep_progress(self) -> None:
        if self._log_is_away or not self._has_owner:
            return
        for work in self._works.values():
            self._kept[work.id] = len(work.events)

    def _plan_loads(self) -> None:
        now = time.monotonic()
        upstreams = self._fleet.schedulable(samplers_module.SERVICE)
        holders = [
            load_planner.LoadCandidate(
                upstream.id,
                upstream.versions,
                upstream.load is not None,
                upstream.orders_not_before <= now,
                len(upstream.runs),
                upstream.entry.slots,
            )
            for upstream in upstreams
        ]
        most = max(1, int(len(upstreams) * CONCURRENT_SHARE))
        for planned in self._plan(holders, self._targets(), most):
            upstream = self._fleet.find(planned.upstream)
            if upstream is not None:
                self._order(upstream, planned)

    def _targets(self) -> list[load_planner.Target]:
        targets = []
        for model, trainer in self._trainers.items():
            newest = self._newest.get(model)
            lag = 1
            if newest is not None:
                head = newest.head
                lag = head.newest_version - head.min_version
            demand = sum(
                work.model == model and work.result is None
                for work in self._works.values()
            )
            items = len(newest.items) if newest else 0
            targets.append(
                load_planner.Target(model, trainer.version, lag, demand, items)
            )
        return targets

    def _order(
        self, upstream: state.Upstream, planned: load_planner.PlannedLoad
    ) -> None:
        loading = sum(one.load is not None for one in self._fleet.all())
        sampler = self._sampler(upstream.id)
        takes_s = sampler.load(planned.model, planned.version, loading + 1)
        upstream.load = state.Load(
            planned.model, planned.version, time.monotonic()
        )
        self._loads += 1

        def finish() -> None:
            upstream.load = None
            upstream.update_version(
                planned.model, sampler.versions[planned.model]
            )

        self._schedule.after(takes_s, finish)

    def _strike(self, fault: load_module.Fault) -> None:
        if fault.kind == 'log_away':
            self._log_is_away = True
            self._schedule.after(fault.for_s, self._bring_log_back)
        elif fault.kind == 'owner_lost':
            self._lose_owner()
            self._schedule.after(fault.for_s, self._have_owner)
        else:
            for sampler in self._rng.sample(
                self._directory.samplers, fault.count
            ):
                self._strike_sampler(sampler, fault)

    def _strike_sampler(
        self, sampler: samplers_module.Sampler, fault: load_module.Fault
    ) -> None:
        if fault.kind == 'slow':
            sampler.factor = fault.factor

            def heal() -> None:
                sampler.factor = 1.0
        elif fault.kind == 'dark':
            sampler.is_dark = True

            def heal() -> None:
                sampler.is_dark = False
        else:
            sampler.crash(self._end)
            self._schedule.after(
                LAPSE_S, lambda: self._directory.lapsed.add(sampler.name)
            )

            def heal() -> None:
                sampler.come_back()
                self._directory.lapsed.discard(sampler.name)

        self._schedule.after(fault.for_s, heal)

    def _bring_log_back(self) -> None:
        self._log_is_away = False
        actions, self._put_off = self._put_off, []
        for action in actions:
            action()

    def _lose_owner(self) -> None:
        """Lose all runs, and what the log does not keep of them."""
        self._has_owner = False
        for work in self._works.values():
            if work.run is not None:
                work.run.cancel('owner lost')
            if work.result is None:
                del work.events[self._kept.get(work.id, 0) :]

    def _have_owner(self) -> None:
        self._has_owner = True


def play(
    load: load_module.Load, policies: policies_module.Policies, seed: int
) -> Outcome:
    """Play a day in simulated time; equal arguments give equal outcomes."""
    with freezegun.freeze_time('2026-01-01') as frozen:
        return Simulation(load, policies, seed, frozen.tick).run()
