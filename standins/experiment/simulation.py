"""Simulate a workload with the pool's scheduling policies."""

import random
import statistics
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
from baobabpond.ratelimits import permits

from . import clock
from . import edge as edge_module
from . import load as load_module
from . import policies as policies_module
from . import samplers as samplers_module
from . import scorers as scorers_module
from . import trainers as trainers_module

SCHEDULING_PERIOD_S = 0.05
# Time from the end of a run until its result is in the log and delivered,
# while the log is available.
APPEND_LATENCY_S = 0.03
PROGRESS_PERIOD_S = 0.5
# Time after a crash until the sampler's registration expires.
ENTRY_EXPIRY_S = 1.5
CONCURRENT_LOADS_SHARE = 0.34


class Outcome(typing.NamedTuple):
    """Describe the outcome of a simulation."""

    utility: float
    # Utility of the trainer with the lowest one.
    min_utility: float
    runs: int
    moves: int
    weight_loads: int
    # Share of the lookups that were answered in time.
    lookups_in_aim: float = 1.0
    # Share of the groups of the steps that were complete in time.
    groups_in_time: float = 1.0
    # Mean time from the submission of an item to its result.
    item_s: float = 0.0
    # Passes in which an item waited while an upstream had a free slot.
    idle_waits: int = 0

    @property
    def cancelled(self) -> float:
        """Return the share of the runs that were migrated."""
        return self.moves / max(1, self.runs)


class Directory:
    """List the registered samplers."""

    def __init__(self) -> None:
        self.samplers: list[samplers_module.Sampler] = []
        self.expired: set[str] = set()

    def entries(self) -> list[catalogue.UpstreamEntry]:
        """Return the entries that have not expired."""
        return [
            sampler.entry
            for sampler in self.samplers
            if sampler.name not in self.expired
        ]


class Simulation:
    """Run samplers and trainers with the owner's decisions in between."""

    def __init__(
        self,
        workload: load_module.Workload,
        policies: policies_module.Policies,
        seed: int,
        advance_clock: clock.AdvanceClock,
    ) -> None:
        self._workload = workload
        self._rank = policies_module.orders.get(policies.order)
        self._place = policies_module.placements.get(policies.placement)
        self._plan = policies_module.plans.get(policies.weights)
        rng = random.Random(seed)
        self._rng = rng
        self._scheduler = clock.Scheduler(advance_clock)
        self._directory = Directory()
        for number in range(workload.upstreams):
            self._directory.samplers.append(
                samplers_module.Sampler(
                    f's{number}',
                    workload,
                    self._scheduler,
                    number,
                    random.Random(f'sampler-{number}-{seed}'),
                )
            )
        self._fleet = fleet_module.Fleet(
            self._directory,
            permits.NoLimits(),
            policies_module.learners.get(policies.capacity)(),
        )
        self._estimator = state.EventEstimator()
        self._migrator = migrator_module.Migrator(
            self._estimator,
            self._candidates,
            metrics.Metrics(),
            policies_module.rescues.get(policies.rescue),
        )
        self._tasks: dict[str, state.Task] = {}
        self._latest_batches: dict[str, shard_state.Batch] = {}
        # Number of events that the log has of each item.
        self._logged_progress: dict[str, int] = {}
        self._log_unavailable = False
        self._owner_available = True
        # Actions to run once the log is available again.
        self._deferred: list[clock.Action] = []
        self._runs = 0
        self._moves = 0
        self._weight_loads = 0
        self._idle_waits = 0
        self._item_times_s: list[float] = []
        self._trainers = {
            spec.model: trainers_module.Trainer(
                spec, rng, self._scheduler, self._submit
            )
            for spec in workload.trainers
        }

        self._scoring: scorers_module.ScoringService | None = None
        if workload.scoring is not None:
            # Its own random numbers: trainers then submit the same items,
            # whatever the policies for reward calls.
            self._scoring = scorers_module.ScoringService(
                workload.scoring,
                policies,
                random.Random(f'scoring-{seed}'),
                self._scheduler,
                self._finish,
            )

    def run(self) -> Outcome:
        """Run the simulation."""
        for fault in self._workload.faults:
            self._scheduler.call_later(
                fault.at_s, lambda f=fault: self._inject_fault(f)
            )
        self._scheduler.call_every(SCHEDULING_PERIOD_S, self._tick)
        self._scheduler.call_every(PROGRESS_PERIOD_S, self._save_progress)
        self._scheduler.run(self._workload.duration_s)
        utilities = [
            trainer.utility(self._workload.duration_s)
            for trainer in self._trainers.values()
        ]
        return Outcome(
            sum(utilities) / len(utilities),
            min(utilities),
            self._runs,
            self._moves,
            self._weight_loads,
            self._scoring.lookups_in_aim if self._scoring else 1.0,
            statistics.mean(
                trainer.groups_in_time(self._workload.duration_s)
                for trainer in self._trainers.values()
            ),
            statistics.mean(self._item_times_s or [0.0]),
            self._idle_waits,
        )

    def _submit(self, batch: shard_state.Batch) -> None:
        if self._log_unavailable:
            self._deferred.append(lambda: self._submit(batch))
            return
        self._latest_batches[batch.head.model] = batch
        due = batch.submitted + self._trainer_spec(batch).due_s
        for item in batch.items:
            self._tasks[item.id] = state.Task(batch, item, due)

    def _trainer_spec(
        self, batch: shard_state.Batch
    ) -> load_module.TrainerSpec:
        return next(
            spec
            for spec in self._workload.trainers
            if spec.model == batch.head.model
        )

    def _tick(self) -> None:
        for key, task in list(self._tasks.items()):
            if task.batch.ended:
                if task.run is not None:
                    task.run.cancel('batch ended')
                del self._tasks[key]
        if not self._owner_available:
            return
        for run in self._fleet.refresh():
            run.cancel('upstream started again')
        self._migrator.check(self._tasks.values())
        self._assign()
        if self._scoring is not None:
            self._scoring.assign(self._tasks.values())
        if not self._log_unavailable:
            self._plan_loads()

    def _candidates(self, task: state.Task) -> list[placement.Candidate]:
        return self._fleet.candidates(
            samplers_module.SERVICE, task, self._workload.memory_tokens
        )

    def _assign(self) -> None:
        waiting = queue.ordered(
            self._tasks.values(), self._estimator, time.monotonic(), self._rank
        )
        for task in waiting:
            candidates = self._candidates(task)
            chosen = self._place(candidates)
            if chosen is None:
                self._idle_waits += any(c.has_free_slot for c in candidates)
            upstream = self._fleet.find(chosen) if chosen else None
            if upstream is not None:
                self._start(task, upstream)

    def _start(self, task: state.Task, upstream: state.Upstream) -> None:
        run = state.Run(task, upstream)
        task.run = run
        upstream.runs.add(run)
        sampler = self._sampler(upstream.id)
        run.abort = lambda: self._end(run, runner.RunOutcome.CANCELLED)
        self._runs += 1
        event_count = self._trainers[task.model].event_counts[task.id]
        sampler.start(run, event_count, self._end)

    def _sampler(self, name: str) -> samplers_module.Sampler:
        return next(s for s in self._directory.samplers if s.name == name)

    def _end(self, run: state.Run, run_outcome: runner.RunOutcome) -> None:
        task = run.task
        self._moves += run.cancel_reason in (
            migration_policy.STALLED,
            migration_policy.SLOW,
        )
        self._sampler(run.upstream.id).stop(run)
        run.upstream.runs.discard(run)
        if task.run is not run:
            return
        task.run = None
        if run_outcome is runner.RunOutcome.COMPLETED:
            run.upstream.record_success()
            self._estimator.observe(
                task.item.expected_tokens, len(task.events)
            )
            if self._scoring is None:
                self._finish(task)
            else:
                task.unscored = callers.Result(task.id, True, '', (1,))
                self._append(lambda: self._request_score(task))
        elif run_outcome is not runner.RunOutcome.CANCELLED:
            backoff.apply(task, run.upstream, run_outcome, time.monotonic())

    def _request_score(self, task: state.Task) -> None:
        if self._scoring is not None:
            self._scoring.add(task)

    def _finish(self, task: state.Task) -> None:
        task.result = callers.Result(task.id, True, '', (1,))
        self._append(lambda: self._deliver(task))

    def _append(self, action: clock.Action) -> None:
        if self._log_unavailable:
            self._deferred.append(action)
        else:
            self._scheduler.call_later(APPEND_LATENCY_S, action)

    def _deliver(self, task: state.Task) -> None:
        self._tasks.pop(task.id, None)
        self._item_times_s.append(time.monotonic() - task.batch.submitted)
        self._trainers[task.model].read_result(task.batch, task.id)

    def _save_progress(self) -> None:
        if self._log_unavailable or not self._owner_available:
            return
        for task in self._tasks.values():
            self._logged_progress[task.id] = len(task.events)

    def _plan_loads(self) -> None:
        now = time.monotonic()
        upstreams = self._fleet.schedulable(samplers_module.SERVICE)
        candidates = [
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
        max_loads = max(1, int(len(upstreams) * CONCURRENT_LOADS_SHARE))
        for planned in self._plan(candidates, self._targets(), max_loads):
            upstream = self._fleet.find(planned.upstream)
            if upstream is not None:
                self._order_load(upstream, planned)

    def _targets(self) -> list[load_planner.Target]:
        targets = []
        for model, trainer in self._trainers.items():
            latest = self._latest_batches.get(model)
            max_staleness = 1
            if latest is not None:
                head = latest.head
                max_staleness = head.newest_version - head.min_version
            demand = sum(
                task.model == model and task.needs_events
                for task in self._tasks.values()
            )
            items = len(latest.items) if latest else 0
            targets.append(
                load_planner.Target(
                    model, trainer.version, max_staleness, demand, items
                )
            )
        return targets

    def _order_load(
        self, upstream: state.Upstream, planned: load_planner.PlannedLoad
    ) -> None:
        concurrent_loads = sum(
            member.load is not None for member in self._fleet.all()
        )
        sampler = self._sampler(upstream.id)
        duration_s = sampler.load_weights(
            planned.model, planned.version, concurrent_loads + 1
        )
        upstream.load = state.Load(
            planned.model, planned.version, time.monotonic()
        )
        self._weight_loads += 1

        def finish() -> None:
            upstream.load = None
            upstream.update_version(
                planned.model, sampler.versions[planned.model]
            )

        self._scheduler.call_later(duration_s, finish)

    def _inject_fault(self, fault: load_module.Fault) -> None:
        if fault.kind == 'log_away':
            self._log_unavailable = True
            self._scheduler.call_later(fault.duration_s, self._restore_log)
        elif fault.kind == 'owner_lost':
            self._fail_owner()
            self._scheduler.call_later(fault.duration_s, self._restore_owner)
        else:
            for sampler in self._rng.sample(
                self._directory.samplers, fault.count
            ):
                self._inject_sampler_fault(sampler, fault)

    def _inject_sampler_fault(
        self, sampler: samplers_module.Sampler, fault: load_module.Fault
    ) -> None:
        if fault.kind == 'slow':
            sampler.slowdown = fault.slowdown

            def recover() -> None:
                sampler.slowdown = 1.0
        elif fault.kind == 'dark':
            sampler.is_hung = True

            def recover() -> None:
                sampler.is_hung = False
        else:
            sampler.crash(self._end)
            self._scheduler.call_later(
                ENTRY_EXPIRY_S,
                lambda: self._directory.expired.add(sampler.name),
            )

            def recover() -> None:
                sampler.restart()
                self._directory.expired.discard(sampler.name)

        self._scheduler.call_later(fault.duration_s, recover)

    def _restore_log(self) -> None:
        self._log_unavailable = False
        actions, self._deferred = self._deferred, []
        for action in actions:
            action()

    def _fail_owner(self) -> None:
        """Cancel all runs and drop the events that are not in the log."""
        self._owner_available = False
        for task in self._tasks.values():
            if task.run is not None:
                task.run.cancel('owner lost')
            if task.needs_events:
                del task.events[self._logged_progress.get(task.id, 0) :]

    def _restore_owner(self) -> None:
        self._owner_available = True


def simulate(
    workload: load_module.Workload,
    policies: policies_module.Policies,
    seed: int,
) -> Outcome:
    """Simulate a workload; equal arguments give equal outcomes."""
    with freezegun.freeze_time('2026-01-01') as frozen:
        if workload.edge is not None:
            return _simulate_edge(workload, policies, seed, frozen.tick)
        return Simulation(workload, policies, seed, frozen.tick).run()


def _simulate_edge(
    workload: load_module.Workload,
    policies: policies_module.Policies,
    seed: int,
    advance_clock: clock.AdvanceClock,
) -> Outcome:
    """Simulate ordinary requests; the utility is the share in time."""
    outcome = edge_module.simulate(
        typing.cast(load_module.EdgeSpec, workload.edge),
        policies_module.balancers.get(policies.balancer),
        seed,
        workload.duration_s,
        advance_clock,
    )
    return Outcome(
        outcome.in_deadline,
        outcome.in_deadline,
        outcome.requests,
        0,
        0,
        outcome.in_aim,
        item_s=outcome.mean_s,
    )
