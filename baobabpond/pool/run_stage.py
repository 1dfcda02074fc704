"""Run items on upstreams until their outputs are complete."""

import collections.abc
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..batches import records
from ..catalogue import current as current_module
from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..ratelimits import permits as permits_module
from ..upstreams.capacity import reporter

from . import backoff
from . import fleet as fleet_module
from . import migrator as migrator_module
from . import partial_outputs as partial_outputs_module
from . import placement
from . import queue
from . import runner as runner_module
from . import state
from . import version_policy

# A batch whose route is missing for longer than this fails.
ROUTE_MISSING_TIMEOUT_S = 3.0
# The middle of the scale, on which 0 is the most urgent.
ITEM_PRIORITY = 5

LOG = structlog.get_logger(__name__)


class OutputListener(typing.Protocol):
    """Receive the end of runs."""

    def complete_output(self, task: state.Task) -> None:
        """Process that the output of an item is complete."""
        ...

    def fail(self, task: state.Task, reason: str) -> None:
        """Give up an item."""
        ...


class RunStage:
    """Start and migrate runs, and process their events and outcomes.

    The scheduler's lock guards the calls, but that of on_event.
    """

    def __init__(
        self,
        lock: threading.Condition,
        listener: OutputListener,
        fleet: fleet_module.Fleet,
        current: current_module.CurrentConfiguration,
        runner: runner_module.Runner,
        partial_outputs: partial_outputs_module.PartialOutputs,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._lock = lock
        self._listener = listener
        self._fleet = fleet
        self._current = current
        self._runner = runner
        self._partial_outputs = partial_outputs
        self._metrics = metrics
        self._route_missing_since: dict[str, float] = {}
        self._estimator = state.EventEstimator()
        self._capacity_reporter = reporter.Reporter('pool', metrics)
        self._migrator = migrator_module.Migrator(
            self._estimator, self._candidates, metrics
        )

    def reset(self) -> None:
        """Stop showing what is known about upstreams."""
        self._capacity_reporter.clear()

    def assign(self, tasks: collections.abc.Collection[state.Task]) -> None:
        """Migrate runs and start waiting items in order of priority."""
        self._cancel_lost_runs()
        self._migrator.check(tasks)
        now = time.monotonic()
        if self._capacity_reporter.is_due(now):
            self._capacity_reporter.report(self._fleet.capacities(), now)
        for task in self._ordered(tasks, now):
            self._try_start(task, now)

    def _ordered(
        self, tasks: collections.abc.Collection[state.Task], now: float
    ) -> list[state.Task]:
        limited = self._fleet.limited_services()

        def is_limited(task: state.Task) -> bool:
            if not limited:
                return False
            route = self._route(task.batch.head, task.item.target)
            return (
                route is not None
                and self._pick_service(task, route) in limited
            )

        return queue.ordered(
            tasks, self._estimator, now, is_limited=is_limited
        )

    def on_event(
        self, run: state.Run, event: upstream_port.StreamEvent
    ) -> bool:
        """Process the next event; return whether the run should continue."""
        now = time.monotonic()
        with self._lock:
            task = run.task
            if task.run is not run or run.cancel_reason:
                return False
            if event.weight_version:
                run.upstream.update_version(task.model, event.weight_version)
            if task.required_version not in (0, event.weight_version):
                self._partial_outputs.restart(task)
                run.cancel('weights changed')
                return False
            if run.has_begun:
                run.upstream.observe_gap(task.model, now - run.last_event_at)
            run.events += 1
            run.last_event_at = now
            task.consecutive_refusals = 0
            task.add_event(
                event.data, event.weight_version, run.upstream.entry.software
            )
            return True

    def on_load(
        self, run: state.Run, load: upstream_port.ReportedLoad
    ) -> None:
        """Process the load that the upstream of a run reports."""
        with self._lock:
            run.upstream.capacity.observe_report(load, time.monotonic())

    def _route(
        self, head: records.BatchHead, target: str
    ) -> catalogue.Route | None:
        match = self._current.match(head.host, target.partition('?')[0])
        return match.route if match else None

    def _cancel_lost_runs(self) -> None:
        for run in self._fleet.refresh():
            run.cancel('upstream restarted')

    def _candidates(self, task: state.Task) -> list[placement.Candidate]:
        """Return the upstreams that can run the item now."""
        route = self._route(task.batch.head, task.item.target)
        if route is None:
            return []
        service = self._pick_service(task, route)
        return self._fleet.candidates(
            service, task, self._kv_capacity_tokens(service)
        )

    def _kv_capacity_tokens(self, service: str) -> int:
        configuration = self._current.configuration
        if configuration is None or service not in configuration.services:
            return 0
        return configuration.services[service].kv_capacity_tokens

    @staticmethod
    def _pick_service(task: state.Task, route: catalogue.Route) -> str:
        return current_module.pick_service(route, task.id)

    def _try_start(self, task: state.Task, now: float) -> None:
        route = self._route(task.batch.head, task.item.target)
        if route is None:
            self._handle_missing_route(task, now)
            return
        self._route_missing_since.pop(task.batch.head.id, None)
        # The route may have been missing or different when the item arrived.
        task.due_at = task.batch.submitted + route.due_s
        if route.single_version and not task.single_version:
            self._partial_outputs.require_single_version(task)
        task.give_up_at = task.batch.submitted + route.give_up_after_s
        remaining_s = task.give_up_at - now
        if remaining_s <= 0:
            self._listener.fail(task, 'deadline exceeded')
            return
        service = self._pick_service(task, route)
        tokens = self._kv_capacity_tokens(service)
        chosen = placement.choose(
            self._fleet.candidates(service, task, tokens)
        )
        if chosen is None and task.events:
            chosen = self._choose_after_restart(task, service, tokens, now)
        if chosen is not None:
            upstream = self._fleet.find(chosen)
            if upstream is not None:
                self._start_with_permit(task, upstream, remaining_s)
            return
        task.wait_reason = self._fleet.wait_reason(service, task)
        if task.required_version and task.wait_reason == fleet_module.WEIGHTS:
            # No upstream serves the required version any more.
            self._partial_outputs.restart(task)

    def _handle_missing_route(self, task: state.Task, now: float) -> None:
        if self._current.configuration is None:
            return
        since = self._route_missing_since.setdefault(task.batch.head.id, now)
        if now - since > ROUTE_MISSING_TIMEOUT_S:
            self._listener.fail(task, 'route removed')

    def _choose_after_restart(
        self, task: state.Task, service: str, tokens: int, now: float
    ) -> str | None:
        """Drop the events if their software version is short, then choose.

        Returns None if the output should rather wait, or if none is free.
        """
        other = placement.choose(
            self._fleet.candidates(service, task, tokens, any_software=True)
        )
        reason = version_policy.restart_reason(
            version_policy.WaitingOutput(
                now - task.idle_since,
                self._fleet.has_software(service, task.software),
                other is not None,
            )
        )
        if not reason:
            return None
        self._metrics.count(
            f'pool.outputs_restarted.{reason.replace(" ", "_")}'
        )
        LOG.info(
            'output is restarted',
            request=task.id,
            batch=task.batch.head.id,
            reason=reason,
            software=task.software,
            events=len(task.events),
            waited_s=round(now - task.idle_since, 3),
        )
        self._partial_outputs.restart(task)
        return placement.choose(self._fleet.candidates(service, task, tokens))

    def _start_with_permit(
        self, task: state.Task, upstream: state.Upstream, remaining_s: float
    ) -> None:
        try:
            permit = self._fleet.take_permit(upstream)
        except permits_module.RateLimited:
            # A caller of this instance has taken it.
            task.wait_reason = fleet_module.REQUEST_LIMITS
            return
        self._start(task, upstream, permit, remaining_s)

    def _start(
        self,
        task: state.Task,
        upstream: state.Upstream,
        permit: permits_module.Permit,
        remaining_s: float,
    ) -> None:
        run = state.Run(task, upstream)
        task.run = run
        upstream.runs.add(run)
        attempt = runner_module.Attempt(
            run,
            runner_module.build_request(task),
            permit,
            remaining_s,
            ITEM_PRIORITY,
            task.required_version,
        )
        LOG.info(
            'run starts',
            request=task.id,
            batch=task.batch.head.id,
            upstream=upstream.id,
            software=upstream.entry.software,
            running=len(upstream.runs),
            from_event=len(task.events) + 1,
            waited_for=task.wait_reason,
            waited_s=round(run.started_at - task.batch.submitted, 3),
        )
        task.wait_reason = ''
        threading.Thread(
            target=self._execute,
            args=(attempt,),
            name=f'run-{task.id}',
            daemon=True,
        ).start()

    def _execute(self, attempt: runner_module.Attempt) -> None:
        run = attempt.run
        try:
            outcome = self._runner.run(attempt, self)
        except Exception:
            LOG.exception('run failed unexpectedly', request=run.task.id)
            outcome = runner_module.RunOutcome.INTERRUPTED
        with self._lock:
            self._handle_outcome(run, outcome)
            self._lock.notify_all()

    def _handle_outcome(
        self, run: state.Run, outcome: runner_module.RunOutcome
    ) -> None:
        task = run.task
        upstream = run.upstream
        upstream.runs.discard(run)
        self._metrics.count(f'pool.runs.{outcome.value}')
        if task.run is not run:
            return
        task.run = None
        now = time.monotonic()
        task.idle_since = now
        LOG.info(
            'run ends',
            request=task.id,
            batch=task.batch.head.id,
            upstream=upstream.id,
            ending=outcome.value,
            reason=run.cancel_reason,
            events=len(task.events),
            took_s=round(now - run.started_at, 3),
        )
        if task.result is not None or task.batch.ended:
            return
        if outcome is runner_module.RunOutcome.COMPLETED:
            self._complete(task, upstream)
        elif outcome is runner_module.RunOutcome.UNSUPPORTED:
            self._listener.fail(task, 'not supported by any upstream')
        elif outcome is runner_module.RunOutcome.FAILED:
            self._handle_failure(task)
        elif outcome is not runner_module.RunOutcome.CANCELLED:
            is_limited = self._fleet.is_limited(upstream)
            backoff.apply(task, upstream, outcome, now, is_limited)

    def _complete(self, task: state.Task, upstream: state.Upstream) -> None:
        upstream.record_success()
        self._estimator.observe(task.item.expected_tokens, len(task.events))
        self._listener.complete_output(task)

    def _handle_failure(self, task: state.Task) -> None:
        task.failures += 1
        route = self._route(task.batch.head, task.item.target)
        if route is not None and task.failures >= route.max_attempts:
            self._listener.fail(task, 'failed on every attempt')
