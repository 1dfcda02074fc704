"""Run the items of a shard's open batches while this instance owns it."""

import collections
import threading
import time

import structlog

from .. import metrics as metrics_module
from ..batches import ownership
from ..batches import records
from ..batches import retention
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..ports import callers
from ..ports import catalogue
from ..ports import log as log_port
from ..ports import upstreams as upstream_port

from . import fleet as fleet_module
from . import loader as loader_module
from . import mover as mover_module
from . import outbox as outbox_module
from . import placement
from . import queue
from . import runner as runner_module
from . import setbacks
from . import texts as texts_module
from . import work as work_module

TICK_S = 0.05
RETENTION_S = 5.0
# A batch whose route is missing this long has lost it.
ROUTE_LOST_S = 3.0
# The middle of the scale, on which 0 is the most urgent.
ITEM_PRIORITY = 5

LOG = structlog.get_logger(__name__)


class Pool:
    """Start, move and finish runs; one lock guards their state."""

    def __init__(
        self,
        shard_state: state_module.ShardState,
        fleet: fleet_module.Fleet,
        current: current_module.CurrentConfiguration,
        runner: runner_module.Runner,
        loader: loader_module.Loader,
        status_s: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._status_s = status_s
        self._retention_at = 0.0
        self._shard_state = shard_state
        self._fleet = fleet
        self._current = current
        self._runner = runner
        self._loader = loader
        self._metrics = metrics
        self._changed = threading.Condition()
        self._tenure: ownership.Tenure | None = None
        self._works: dict[tuple[str, str], work_module.Work] = {}
        self._known: set[str] = set()
        self._route_lost: dict[str, float] = {}
        self._texts = texts_module.Texts(shard_state)
        self._outbox = outbox_module.Outbox(shard_state)
        self._is_urgent = False
        self._pace = work_module.Pace()
        self._mover = mover_module.Mover(self._pace, self._choices, metrics)

    def take_status_s(self, status_s: float) -> None:
        """Take how long batches can be read."""
        self._status_s = status_s

    def start(self, tenure: ownership.Tenure) -> None:
        """Start the work of a tenure."""
        with self._changed:
            self._tenure = tenure
            self._texts.begin(tenure.epoch)
            self._works.clear()
            self._known.clear()
            self._outbox.begin(tenure.epoch)
        threading.Thread(
            target=self._run, args=(tenure,), name='pool', daemon=True
        ).start()
        self._loader.begin(tenure, self)

    def stop(self) -> None:
        """End the work; nothing of it may reach an upstream afterwards."""
        self._loader.cease()
        with self._changed:
            if self._tenure is None:
                return
            self._tenure = None
            for work in self._works.values():
                if work.run is not None:
                    work.run.cancel('ownership ended')
            self._outbox.want_progress()
            self._changed.notify_all()

    @property
    def has_pending_results(self) -> bool:
        """Tell whether results wait for a further append."""
        with self._changed:
            return self._outbox.has_results

    def next_records(self, wait_s: float) -> list[log_port.Record]:
        """Return the records to append, waiting for some."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._outbox.has_results or self._is_urgent, wait_s
            )
            self._is_urgent = False
            new = self._loader.take_intents()
            new += self._outbox.take(self._works.values())
            return new + self._removals()

    def _removals(self) -> list[log_port.Record]:
        now = time.monotonic()
        if now < self._retention_at:
            return []
        self._retention_at = now + RETENTION_S
        keys = retention.expired_keys(
            self._shard_state,
            self._shard_state.all_batches(),
            now,
            self._status_s,
        )
        if keys:
            LOG.info('old records are removed', keys=len(keys))
        return [records.tombstone(key) for key in keys]

    def wake(self) -> None:
        """Let the outbox be emptied soon."""
        with self._changed:
            self._is_urgent = True
            self._changed.notify_all()

    def demand(self) -> collections.Counter[str]:
        """Return the unfinished items of each model."""
        with self._changed:
            return collections.Counter(
                work.model
                for work in self._works.values()
                if work.result is None
            )

    def on_event(
        self, run: work_module.Run, event: upstream_port.StreamEvent
    ) -> bool:
        """Take the next event; tell whether the run shall go on."""
        now = time.monotonic()
        with self._changed:
            work = run.work
            if work.run is not run or run.cancelled:
                return False
            if event.weight_version:
                run.upstream.note_version(work.model, event.weight_version)
            if work.required_version not in (0, event.weight_version):
                self._texts.restart(work)
                run.cancel('weights changed')
                return False
            if run.has_begun:
                run.upstream.note_gap(now - run.last_event)
            run.events += 1
            run.last_event = now
            work.refusals = 0
            work.events.append((event.data, event.weight_version))
            return True

    def _run(self, tenure: ownership.Tenure) -> None:
        revision = -1
        while True:
            with self._changed:
                if self._tenure is not tenure:
                    return
                try:
                    if self._shard_state.revision != revision:
                        revision = self._shard_state.revision
                        self._take_batches()
                    self._work()
                except Exception:
                    # One item that can't be handled must not stop the rest.
                    LOG.exception('the pool could not do its work')
                self._changed.wait(TICK_S)

    def _work(self) -> None:
        self._cancel_lost()
        self._mover.check(self._works.values())
        self._assign()

    def _take_batches(self) -> None:
        """Add the items of new batches and drop those of ended ones."""
        for batch in self._shard_state.open_batches():
            if batch.head.id not in self._known:
                self._known.add(batch.head.id)
                self._add_batch(batch)
        kept = collections.defaultdict(list)
        for key, work in list(self._works.items()):
            batch = work.batch
            if batch.ended and work.result is None:
                self._drop(work)
            if batch.ended or work.id in batch.finished_ids:
                del self._works[key]
                if work.id in batch.finished_ids:
                    kept[batch.head.id].append(work)
        for works in kept.values():
            _log_kept(works)

    def _add_batch(self, batch: state_module.Batch) -> None:
        route = self._route(batch.head, batch.items[0].target)
        due_s = route.due_s if route else 0.0
        for item in batch.items:
            if item.id in batch.finished_ids:
                continue
            work = work_module.Work(batch, item, batch.submitted + due_s)
            work.single_version = bool(route and route.single_version)
            self._works[batch.head.id, item.id] = work
            self._reuse(work)
        LOG.info(
            'batch taken up',
            batch=batch.head.id,
            model=batch.head.model,
            step=batch.head.step,
            min_version=batch.head.min_version,
            items=len(batch.items),
            listed=len(batch.finished_ids),
            due_s=due_s,
            age_s=round(time.monotonic() - batch.submitted, 3),
        )

    def _reuse(self, work: work_module.Work) -> None:
        """Go on from the events that an earlier run of the item made."""
        former = self._shard_state.completed(work.id)
        if former and min(former.versions, default=0) >= work.min_version:
            self._finish(work, former)
            return
        self._texts.resume(work)

    def _drop(self, work: work_module.Work) -> None:
        if work.run is not None:
            work.run.cancel('batch ended')
        self._texts.keep(work)

    def _route(
        self, head: records.BatchHead, target: str
    ) -> catalogue.Route | None:
        match = self._current.match(head.host, target.partition('?')[0])
        return match.route if match else None

    def _cancel_lost(self) -> None:
        for run in self._fleet.refresh():
            run.cancel('upstream started again')

    def _choices(self, work: work_module.Work) -> list[placement.Choice]:
        """Return where an item may run now."""
        route = self._route(work.batch.head, work.item.target)
        if route is None:
            return []
        service = self._service(work, route)
        return self._fleet.choices(service, work, self._memory_tokens(service))

    def _memory_tokens(self, service: str) -> int:
        configuration = self._current.configuration
        if configuration is None or service not in configuration.services:
            return 0
        return configuration.services[service].memory_tokens

    def _assign(self) -> None:
        """Start waiting items, the most pressing first."""
        now = time.monotonic()
        for work in queue.ordered(self._works.values(), self._pace, now):
            self._start_or_wait(work, now)

    @staticmethod
    def _service(work: work_module.Work, route: catalogue.Route) -> str:
        return current_module.pick_service(route, work.id)

    def _start_or_wait(self, work: work_module.Work, now: float) -> None:
        route = self._route(work.batch.head, work.item.target)
        if route is None:
            self._note_lost_route(work, now)
            return
        self._route_lost.pop(work.batch.head.id, None)
        # The route may have been missing, or another, at the item's arrival.
        work.due = work.batch.submitted + route.due_s
        if route.single_version and not work.single_version:
            self._texts.require_single_version(work)
        left_s = work.batch.submitted + route.give_up_s - now
        if left_s <= 0:
            self._terminate(work, 'too old')
            return
        choices = self._choices(work)
        chosen = placement.choose(choices)
        if chosen is not None:
            upstream = self._fleet.find(chosen)
            if upstream is not None:
                self._start(work, upstream, left_s)
            return
        work.obstacle = self._fleet.obstacle(self._service(work, route), work)
        if work.required_version and not choices:
            # No upstream has the version any more.
            self._texts.restart(work)

    def _note_lost_route(self, work: work_module.Work, now: float) -> None:
        if self._current.configuration is None:
            return
        since = self._route_lost.setdefault(work.batch.head.id, now)
        if now - since > ROUTE_LOST_S:
            self._terminate(work, 'route removed')

    def _start(
        self,
        work: work_module.Work,
        upstream: work_module.Upstream,
        left_s: float,
    ) -> None:
        run = work_module.Run(work, upstream)
        work.run = run
        upstream.runs.add(run)
        attempt = runner_module.Attempt(
            run,
            runner_module.request_of(work),
            left_s,
            ITEM_PRIORITY,
            work.required_version,
        )
        LOG.info(
            'run starts',
            request=work.id,
            batch=work.batch.head.id,
            upstream=upstream.id,
            running=len(upstream.runs),
            from_event=len(work.events) + 1,
            waited_for=work.obstacle,
            waited_s=round(run.started - work.batch.submitted, 3),
        )
        work.obstacle = ''
        threading.Thread(
            target=self._carry_out,
            args=(attempt,),
            name=f'run-{work.id}',
            daemon=True,
        ).start()

    def _carry_out(self, attempt: runner_module.Attempt) -> None:
        run = attempt.run
        try:
            ending = self._runner.run(attempt, self)
        except Exception:
            LOG.exception('run failed unexpectedly', request=run.work.id)
            ending = runner_module.Ending.BROKEN
        with self._changed:
            self._settle(run, ending)
            self._changed.notify_all()

    def _settle(
        self, run: work_module.Run, ending: runner_module.Ending
    ) -> None:
        work = run.work
        upstream = run.upstream
        upstream.runs.discard(run)
        self._metrics.count(f'pool.runs.{ending.value}')
        if work.run is not run:
            return
        work.run = None
        now = time.monotonic()
        LOG.info(
            'run ends',
            request=work.id,
            batch=work.batch.head.id,
            upstream=upstream.id,
            ending=ending.value,
            reason=run.cancelled,
            events=len(work.events),
            took_s=round(now - run.started, 3),
        )
        if work.result is not None or work.batch.ended:
            return
        if ending is runner_module.Ending.WHOLE:
            self._complete(work, upstream)
        elif ending is runner_module.Ending.IMPOSSIBLE:
            self._terminate(work, 'no upstream can do it')
        elif ending is runner_module.Ending.FAILED:
            self._note_failed(work)
        elif ending is not runner_module.Ending.CANCELLED:
            setbacks.note(work, upstream, ending, now)

    def _complete(
        self, work: work_module.Work, upstream: work_module.Upstream
    ) -> None:
        upstream.note_success()
        self._pace.note(work.item.expected_tokens, len(work.events))
        versions = sorted({v for _, v in work.events if v})
        output = '\n'.join(data for data, _ in work.events)
        self._finish(
            work, callers.Result(work.id, True, output, tuple(versions))
        )

    def _note_failed(self, work: work_module.Work) -> None:
        work.failures += 1
        route = self._route(work.batch.head, work.item.target)
        if route is not None and work.failures >= route.attempts:
            self._terminate(work, 'failed at each attempt')

    def _terminate(self, work: work_module.Work, reason: str) -> None:
        LOG.info(
            'item given up',
            request=work.id,
            batch=work.batch.head.id,
            reason=reason,
            failures=work.failures,
        )
        self._finish(work, callers.Result(work.id, False, '', ()))

    def _finish(self, work: work_module.Work, result: callers.Result) -> None:
        work.result = result
        work.finished = time.monotonic()
        self._outbox.add(work)
        self._changed.notify_all()


def _log_kept(works: list[work_module.Work]) -> None:
    """Log that the log keeps the results of items of one batch."""
    batch = works[0].batch
    now = time.monotonic()
    LOG.info(
        'results kept',
        batch=batch.head.id,
        count=len(works),
        listed=len(batch.finished_ids),
        items=len(batch.items),
        longest_wait_s=round(
            max((now - w.finished for w in works if w.finished), default=0.0),
            3,
        ),
    )
