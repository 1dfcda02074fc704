"""Measure a scheduling pass of the owner by the number of waiting items."""

import argparse
import collections.abc
import logging
import statistics
import threading
import time
import typing
from unittest import mock

import structlog

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond import metrics
from baobabpond.pool import fleet as fleet_module
from baobabpond.pool import partial_outputs
from baobabpond.pool import run_stage
from baobabpond.pool import runner
from baobabpond.pool import scheduler
from baobabpond.pool import state
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ratelimits import permits
from measure import registry

WAITING = (100, 1_000, 10_000)
UPSTREAMS = 24
SLOTS = 8
GROUP_SIZE = 8
PASSES = 10
# Runs that end between two passes.
FREED = (0, 4)
HOST = 'h'
MODEL = 'm'
SERVICE = 's'


class Timed(threading.Condition):
    """Record how long the lock was held each time."""

    def __init__(self) -> None:
        super().__init__()
        self.held_s: list[float] = []
        self._since = 0.0

    def __enter__(self) -> bool:
        """Acquire the lock."""
        entered = super().__enter__()
        self._since = time.perf_counter()
        return entered

    def __exit__(self, *arguments: typing.Any) -> None:
        """Release the lock."""
        self.held_s.append(time.perf_counter() - self._since)
        super().__exit__(*arguments)


@registry.measurements.register('scheduling')
def scheduling(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Fill all slots, then run passes as runs end."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR)
    )
    for waiting in WAITING:
        for freed in FREED:
            yield _measure(waiting, freed)


def _measure(waiting: int, freed: int) -> registry.Row:
    lock = Timed()
    stage, fleet = _stage(lock)
    tasks = _tasks(waiting + UPSTREAMS * SLOTS)
    with mock.patch.object(run_stage.threading, 'Thread', autospec=True):
        _pass(stage, lock, tasks)
        took_s = []
        lock.held_s.clear()
        for _ in range(PASSES):
            _end_runs(fleet, tasks, freed)
            time.sleep(scheduler.TICK_S)
            started = time.perf_counter()
            _pass(stage, lock, tasks)
            took_s.append(time.perf_counter() - started)
    return {
        'measure': 'scheduling',
        'variant': f'{waiting} waiting, {freed} slots free',
        'pass_ms': _ms(statistics.median(took_s)),
        'longest_pass_ms': _ms(max(took_s)),
        'longest_lock_ms': _ms(max(lock.held_s)),
    }


def _ms(seconds: float) -> float:
    return round(1000 * seconds, 3)


def _pass(
    stage: run_stage.RunStage,
    lock: Timed,
    tasks: dict[tuple[str, str], state.Task],
) -> None:
    with lock:
        snapshot = stage.snapshot(tasks.values())
    order = None if snapshot is None else stage.rank(snapshot)
    with lock:
        stage.assign(tasks, order)


def _end_runs(
    fleet: fleet_module.Fleet,
    tasks: dict[tuple[str, str], state.Task],
    count: int,
) -> None:
    """Complete some runs; the others have just had an event."""
    runs = [run for upstream in fleet.all() for run in upstream.runs]
    for run in runs:
        run.last_event_at = time.monotonic()
    for run in runs[:count]:
        task = run.task
        run.upstream.runs.discard(run)
        task.run = None
        task.result = callers.Result(task.id, True, '', (1,))


def _stage(
    lock: threading.Condition,
) -> tuple[run_stage.RunStage, fleet_module.Fleet]:
    directory = mock.create_autospec(
        directory_module.UpstreamDirectory, instance=True
    )
    directory.entries.return_value = [
        catalogue.UpstreamEntry(
            f'u{number}', SERVICE, HOST, 80, 'a', SLOTS, False, 1, {MODEL: 1}
        )
        for number in range(UPSTREAMS)
    ]
    fleet = fleet_module.Fleet(directory, permits.NoLimits())
    current = current_module.CurrentConfiguration(
        mock.create_autospec(catalogue.CatalogueDecoder, instance=True)
    )
    current.apply_if_newer(
        catalogue.Configuration(1, (_route(),), {}, catalogue.Limits())
    )
    stage = run_stage.RunStage(
        lock,
        mock.create_autospec(run_stage.OutputListener, instance=True),
        fleet,
        current,
        mock.create_autospec(runner.Runner, instance=True),
        partial_outputs.PartialOutputs(state_module.ShardState()),
        metrics.Metrics(),
    )
    return stage, fleet


def _route() -> catalogue.Route:
    fields = dict.fromkeys(catalogue.Route._fields, 0)
    fields.update(
        host=HOST,
        prefix='/fit/',
        kind=catalogue.RouteKind.ROLLOUT,
        shares=(catalogue.ServiceWeight(SERVICE, 1.0),),
        due_s=7.5,
        give_up_after_s=3600.0,
        max_attempts=3,
    )
    return catalogue.Route(**fields)


def _tasks(count: int) -> dict[tuple[str, str], state.Task]:
    items = tuple(
        callers.Item(
            f'i{number}',
            f'/fit/i{number}',
            (),
            '',
            116,
            f'g{number // GROUP_SIZE}',
            number % 100,
        )
        for number in range(count)
    )
    head = records.BatchHead('b', HOST, 'r', 0.0, 1, MODEL, 1, 1, 1)
    batch = state_module.Batch(head, items, time.monotonic())
    return {
        ('b', item.id): state.Task(batch, item, time.monotonic() + 7.5)
        for item in items
    }
