"""Test the passes of the scheduler over many waiting items."""

import random
import threading
import time
import typing
import unittest
from unittest import mock

from baobabpond.batches import ownership
from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond import metrics
from baobabpond.pool import fleet as fleet_module
from baobabpond.pool import loader
from baobabpond.pool import partial_outputs
from baobabpond.pool import queue
from baobabpond.pool import reward_stage
from baobabpond.pool import run_stage
from baobabpond.pool import runner as runner_module
from baobabpond.pool import scheduler as scheduler_module
from baobabpond.pool import state
from baobabpond.pool import waiting
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams as upstream_port
from baobabpond.ratelimits import permits
from baobabpond.streams import default_version
from standins.emulator import deployment

HOST = 'h'
MODEL = 'm'
SERVICE = 's'
SLOTS = 4
UPSTREAMS = 2
ITEMS = 1000
PASSES = 5
# The migrator looks up candidates for each run, too.
CANDIDATES_PER_PASS = SLOTS * UPSTREAMS + 2


def item(number: int, **changes: typing.Any) -> callers.Item:
    """Return an item; eight make a group."""
    name = f'i{number}'
    usual = callers.Item(
        name, f'/fit/{name}', (), '', 116, f'g{number // 8}', number % 100
    )
    return usual._replace(**changes)


def configuration(**changes: typing.Any) -> catalogue.Configuration:
    """Return a configuration with one route to one service."""
    fields = dict.fromkeys(catalogue.Route._fields, 0)
    fields.update(
        host=HOST,
        prefix='/fit/',
        kind=catalogue.RouteKind.ROLLOUT,
        shares=(catalogue.ServiceWeight(SERVICE, 1.0),),
        due_s=7.5,
        give_up_after_s=60.0,
        max_attempts=3,
    )
    fields.update(changes)
    return catalogue.Configuration(
        1, (catalogue.Route(**fields),), {}, catalogue.Limits()
    )


class PassTest(unittest.TestCase):
    """Run a scheduler whose upstreams stay full."""

    def setUp(self) -> None:
        """Create a scheduler; runs last until the end of the test."""
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.entries.return_value = [
            catalogue.UpstreamEntry(
                f'u{n}', SERVICE, HOST, 80, 'a', SLOTS, False, 1, {MODEL: 1}
            )
            for n in range(UPSTREAMS)
        ]
        self.fleet = fleet_module.Fleet(directory, permits.NoLimits())
        for name in ('refresh', 'candidates'):
            patch = mock.patch.object(
                self.fleet, name, wraps=getattr(self.fleet, name)
            )
            setattr(self, name, patch.start())
            self.addCleanup(patch.stop)
        self.ended = threading.Event()
        self.addCleanup(self.ended.set)
        self.started: list[str] = []
        runner = mock.create_autospec(runner_module.Runner, instance=True)
        runner.run.side_effect = self.run_until_end
        self.shard_state = state_module.ShardState()
        self.current = current_module.CurrentConfiguration(
            mock.create_autospec(catalogue.CatalogueDecoder, instance=True)
        )
        weights = mock.create_autospec(loader.Loader, instance=True)
        weights.drain_intents.side_effect = list
        defaults = mock.create_autospec(
            default_version.DefaultVersions, instance=True
        )
        defaults.due_records.side_effect = list
        self.scheduler = scheduler_module.Scheduler(
            self.shard_state,
            self.fleet,
            self.current,
            runner,
            mock.create_autospec(reward_stage.RewardStage, instance=True),
            weights,
            defaults,
            120.0,
            metrics.Metrics(),
        )
        self.addCleanup(self.scheduler.stop)

    def run_until_end(
        self, attempt: runner_module.Attempt, listener: object
    ) -> runner_module.RunOutcome:
        """Run an item, with an event now and then."""
        self.started.append(attempt.run.task.id)
        while not self.ended.wait(0.1):
            attempt.run.last_event_at = time.monotonic()
        return runner_module.RunOutcome.CANCELLED

    def start(self, count: int = ITEMS, **route: typing.Any) -> None:
        """Submit items and start the scheduler."""
        self.current.apply_if_newer(configuration(**route))
        head = records.BatchHead(
            'b', HOST, 'r', time.time(), 1, MODEL, 1, 1, 1
        )
        items = tuple(item(number) for number in range(count))
        self.shard_state.apply(records.encode_batch(head, items), False)
        self.scheduler.start(ownership.Tenure(1))
        deployment.wait_for(
            lambda: len(self.started) == min(count, SLOTS * UPSTREAMS)
        )

    def results(self) -> list[callers.Result]:
        """Return the results that are appended next."""
        return [
            result
            for record in self.scheduler.next_records(0.0)
            if record.key.startswith(records.RESULT)
            for result in records.decode_results(
                record.key, record.value
            ).results
        ]

    def test_pass_does_not_look_at_all_that_wait(self) -> None:
        """Guard against a lock that is held in proportion to them.

        Events of runs wait for it, so that sound runs look silent.
        """
        self.start()
        self.refresh.reset_mock()
        self.candidates.reset_mock()
        deployment.wait_for(lambda: self.refresh.call_count >= PASSES)
        passes = self.refresh.call_count
        self.assertLessEqual(
            self.candidates.call_count, (passes + 1) * CANDIDATES_PER_PASS
        )

    def test_all_that_wait_are_given_up_in_time(self) -> None:
        """Guard against items without an end behind those that can't start."""
        self.start(give_up_after_s=1.0)
        found: list[callers.Result] = []

        def are_all_given_up() -> bool:
            found.extend(self.results())
            return len(found) == ITEMS - SLOTS * UPSTREAMS

        deployment.wait_for(are_all_given_up)

    def test_items_of_a_removed_route_are_given_up(self) -> None:
        """Guard against a wait for a route that comes back no more."""
        with mock.patch.object(run_stage, 'ROUTE_MISSING_TIMEOUT_S', 0.1):
            self.start()
            self.current.apply_if_newer(
                configuration(host='other')._replace(version=2)
            )
            found: list[callers.Result] = []

            def are_all_given_up() -> bool:
                found.extend(self.results())
                return len(found) == ITEMS - SLOTS * UPSTREAMS

            deployment.wait_for(are_all_given_up)


class EventTest(unittest.TestCase):
    """Process events while a pass holds the lock."""

    def test_wait_for_the_lock_is_no_silence(self) -> None:
        """Guard against sound runs that are cancelled as stalled."""
        lock = threading.Condition()
        stage = run_stage.RunStage(
            lock,
            mock.create_autospec(run_stage.OutputListener, instance=True),
            mock.create_autospec(fleet_module.Fleet, instance=True),
            mock.create_autospec(
                current_module.CurrentConfiguration, instance=True
            ),
            mock.create_autospec(runner_module.Runner, instance=True),
            mock.create_autospec(
                partial_outputs.PartialOutputs, instance=True
            ),
            metrics.Metrics(),
        )
        upstream = state.Upstream(
            catalogue.UpstreamEntry(
                'u', SERVICE, HOST, 80, 'a', 1, False, 1, {MODEL: 1}
            )
        )
        task = tasks_of(MODEL, 1, 0)[0]
        run = task.run = state.Run(task, upstream)
        run.last_event_at -= 60.0
        event = mock.create_autospec(
            upstream_port.StreamEvent, instance=True, weight_version=1
        )
        thread = threading.Thread(target=stage.on_event, args=(run, event))
        with lock:
            thread.start()
            deployment.wait_for(
                lambda: time.monotonic() - run.last_event_at < 30.0
            )
            self.assertEqual([], task.events)
        thread.join()
        self.assertEqual(1, len(task.events))


def tasks_of(model: str, count: int, first: int) -> list[state.Task]:
    """Return the tasks of a batch for a model."""
    items = tuple(item(first + number) for number in range(count))
    head = records.BatchHead(model, HOST, 'r', 0.0, 1, model, 1, 1, 1)
    batch = state_module.Batch(head, items, 0.0)
    due_at = time.monotonic() + 7.5
    return [state.Task(batch, each, due_at) for each in items]


class OrderTest(unittest.TestCase):
    """Start items as if a pass looked at all of them in order."""

    def start_all(
        self,
        tasks: list[state.Task],
        free: dict[str, int],
        estimator: state.EventEstimator,
    ) -> list[str]:
        """Return the items that start, one model having few slots."""
        started = []
        for task in queue.ordered(tasks, estimator, time.monotonic()):
            if free[task.model]:
                free[task.model] -= 1
                started.append(task.id)
        return started

    def start_kept(
        self,
        tasks: list[state.Task],
        free: dict[str, int],
        estimator: state.EventEstimator,
    ) -> list[str]:
        """Return the items that start from the order that is kept."""
        kept = waiting.WaitingItems()
        snapshot = waiting.Snapshot(tasks, estimator, set())
        kept.set_order(waiting.rank(snapshot, lambda task: SERVICE))
        started = []

        def start(task: state.Task) -> bool:
            if not free[task.model]:
                return False
            free[task.model] -= 1
            started.append(task.id)
            return True

        kept.start_in_order(lambda task: True, start)
        return started

    def test_priority_is_that_of_the_queue(self) -> None:
        """Guard against an order that differs for items alike in needs."""
        for seed in range(20):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                tasks = tasks_of('a', 60, 0) + tasks_of('b', 40, 100)
                for task in tasks:
                    task.due_at += rng.uniform(-9.0, 3.0)
                rng.shuffle(tasks)
                estimator = state.EventEstimator()
                estimator.observe(rng.randrange(1, 100), 20)
                free = {'a': rng.randrange(60), 'b': rng.randrange(40)}
                self.assertEqual(
                    self.start_all(tasks, dict(free), estimator),
                    self.start_kept(tasks, dict(free), estimator),
                )
