"""Run items on upstreams until their outputs are complete."""

import collections.abc
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..accounts import decision
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
from . import runner as runner_module
from . import state
from . import version_policy
from . import waiting

# A batch whose route is missing for longer than this fails.
ROUTE_MISSING_TIMEOUT_S = 3.0
# The middle of the scale, on which 0 is the most urgent.
ITEM_PRIORITY = 5
# Waiting items that one pass reviews, whether they can start or not. The lock
# is held meanwhile.
REVIEWED_ITEMS = 100

LOG = structlog.get_logger(__name__)


# By batch and item id.
Tasks = collections.abc.Mapping[tuple[str, str], state.Task]


class Room(typing.NamedTuple):
    """Where an item with events could run now."""

    # An upstream with the software version that wrote them takes it.
    has_own: bool
    # Any other takes it if it begins again.
    has_other: bool
    # An upstream with that version is registered, though it may be full.
    is_in_service: bool


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

    Callers hold the scheduler's lock, except for on_event and rank.
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
        self._waiting = waiting.WaitingItems()
        # In order of their start.
        self._active: dict[state.Run, None] = {}
        self._capacity_reporter = reporter.Reporter('pool', metrics)
        self._migrator = migrator_module.Migrator(
            self._estimator, self._candidates, metrics
        )

    def reset(self) -> None:
        """Forget the items of a tenure, and what is shown of upstreams."""
        self._waiting.clear()
        self._capacity_reporter.clear()

    def snapshot(
        self, tasks: collections.abc.Collection[state.Task]
    ) -> waiting.Snapshot | None:
        """Return what to put into order, None if it is too early."""
        if not self._waiting.is_order_due:
            return None
        return waiting.Snapshot(
            list(tasks), self._estimator, self._fleet.limited_services()
        )

    def rank(self, snapshot: waiting.Snapshot) -> waiting.Order:
        """Put the waiting items into order, without the lock."""
        return waiting.rank(snapshot, self._find_service)

    def assign(self, tasks: Tasks, order: waiting.Order | None) -> None:
        """Migrate runs and start waiting items in order of priority.

        Besides the items that may start, reviews REVIEWED_ITEMS waiting ones.
        """
        self._cancel_lost_runs()
        self._migrator.check([run.task for run in self._active])
        now = time.monotonic()
        if self._capacity_reporter.is_due(now):
            self._capacity_reporter.report(self._fleet.capacities(), now)

        def is_waiting(task: state.Task) -> bool:
            return (
                tasks.get((task.batch.head.id, task.id)) is task
                and task.needs_events
                and task.run is None
                and task.not_before <= now
            )

        if order is not None:
            self._waiting.set_order(order)
            for task in order.overdue:
                if is_waiting(task):
                    self._update(task, now)
        if self._fleet.has_free_slot(now):
            self._waiting.start_in_order(
                is_waiting, lambda task: self._try_start(task, now)
            )
        next_tasks = self._waiting.next_to_review(
            tasks.values(), REVIEWED_ITEMS
        )
        self._review(filter(is_waiting, next_tasks), now)

    def _find_service(self, task: state.Task) -> str | None:
        route = self._route(task.batch.head, task.item.target)
        return None if route is None else self._pick_service(task, route)

    def on_event(
        self, run: state.Run, event: upstream_port.StreamEvent
    ) -> bool:
        """Process the next event; return whether the run should continue."""
        now = time.monotonic()
        gap_s = now - run.last_event_at
        # A wait for the lock is no silence of the upstream.
        run.last_event_at = now
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
                run.upstream.observe_gap(task.model, gap_s)
            run.events += 1
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

    def _try_start(self, task: state.Task, now: float) -> bool:
        """Start an item; return False if alike items can't start either."""
        service = self._update(task, now)
        if service is None:
            # Given up, or without a route.
            return True
        chosen = self._choose(task, service)
        if chosen is None and task.events:
            room = self._room(task, service)
            if self._restart_if_short(task, room, now):
                chosen = self._choose(task, service)
                if chosen is None:
                    # It has other requirements now.
                    return True
        upstream = None if chosen is None else self._fleet.find(chosen)
        if upstream is None:
            task.wait_reason = self._fleet.wait_reason(service, task)
            return False
        return self._start_with_permit(task, upstream, task.give_up_at - now)

    def _choose(self, task: state.Task, service: str) -> str | None:
        return placement.choose(
            self._fleet.candidates(
                service, task, self._kv_capacity_tokens(service)
            )
        )

    def _update(self, task: state.Task, now: float) -> str | None:
        """Apply the route of an item; return its service.

        Returns None if the item is given up, or has no route at present.
        """
        route = self._route(task.batch.head, task.item.target)
        if route is None:
            self._handle_missing_route(task, now)
            return None
        self._route_missing_since.pop(task.batch.head.id, None)
        # The route may have been missing or different when the item arrived.
        task.due_at = task.batch.submitted + route.due_s
        if route.single_version and not task.single_version:
            self._partial_outputs.require_single_version(task)
        task.give_up_at = task.batch.submitted + route.give_up_after_s
        if task.give_up_at <= now:
            self._listener.fail(task, 'deadline exceeded')
            return None
        return self._pick_service(task, route)

    def _review(
        self, tasks: collections.abc.Iterable[state.Task], now: float
    ) -> None:
        """Apply routes and time limits to items that wait behind others."""
        reasons: dict[waiting.Requirements, str] = {}
        rooms: dict[waiting.Requirements, Room] = {}
        for task in tasks:
            service = self._update(task, now)
            if service is None:
                continue
            needs = waiting.requirements(service, task)
            if needs not in reasons:
                reasons[needs] = self._fleet.wait_reason(service, task)
            task.wait_reason = reasons[needs]
            if needs.required_version and (
                task.wait_reason == fleet_module.WEIGHTS
            ):
                # No upstream serves the required version any more.
                self._partial_outputs.restart(task)
            elif task.events:
                if needs not in rooms:
                    rooms[needs] = self._room(task, service)
                self._restart_if_short(task, rooms[needs], now)

    def _handle_missing_route(self, task: state.Task, now: float) -> None:
        if self._current.configuration is None:
            return
        since = self._route_missing_since.setdefault(task.batch.head.id, now)
        if now - since > ROUTE_MISSING_TIMEOUT_S:
            self._listener.fail(task, 'route removed')

    def _room(self, task: state.Task, service: str) -> Room:
        """Return where an item could continue or restart."""
        tokens = self._kv_capacity_tokens(service)
        own = self._fleet.candidates(service, task, tokens)
        other = self._fleet.candidates(
            service, task, tokens, any_software=True
        )
        return Room(
            placement.choose(own) is not None,
            placement.choose(other) is not None,
            self._fleet.has_software(service, task.software),
        )

    def _restart_if_short(
        self, task: state.Task, room: Room, now: float
    ) -> bool:
        """Drop the events of an item if their software version is short.

        Returns False if the output should rather wait.
        """
        if room.has_own:
            return False
        reason = version_policy.restart_reason(
            version_policy.WaitingOutput(
                now - task.idle_since, room.is_in_service, room.has_other
            )
        )
        if not reason:
            return False
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
        return True

    def _start_with_permit(
        self, task: state.Task, upstream: state.Upstream, remaining_s: float
    ) -> bool:
        try:
            permit = self._fleet.take_permit(upstream)
        except permits_module.RateLimited:
            # A caller of this instance has taken it.
            task.wait_reason = fleet_module.REQUEST_LIMITS
            return False
        self._start(task, upstream, permit, remaining_s)
        return True

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
        self._active[run] = None
        attempt = self._attempt(run, permit, remaining_s)
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

    def _attempt(
        self, run: state.Run, permit: permits_module.Permit, remaining_s: float
    ) -> runner_module.Attempt:
        account = decision.item_account(
            run.task.batch.head.account, self._current.configuration
        )
        return runner_module.Attempt(
            run,
            runner_module.build_request(run.task, account),
            permit,
            remaining_s,
            ITEM_PRIORITY,
            run.task.required_version,
        )

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
        self._active.pop(run, None)
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
