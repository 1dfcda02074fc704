"""Measure the cost of an instance on the platform by instance count."""

import argparse
import collections.abc
import statistics
import threading
import time
import typing

import psutil

from measure import control
from measure import registry
from standins.emulator import people
from standins.emulator import world as world_module

SAMPLERS = 4
GROUPS = 8
GROUP_SIZE = 8
STEP_S = 2.0
START_BATCH_SIZE = 4
SETTLE_S = 3.0
FIGURES = (
    'cores_mean',
    'cores_owner',
    'rss_mb_mean',
    'store_reads_per_s',
    'store_appends_per_s',
    'store_kb_per_s',
    'log_lines_per_s_owner',
    'log_kb_per_s_owner',
    'log_kb_per_s_mean',
)


class CounterSnapshot(typing.NamedTuple):
    """Record the counters of all processes at one time."""

    time: float
    cpu_s: list[float]
    log_bytes: list[int]
    log_lines: list[int]
    store_calls: dict[str, int]
    loopback_bytes: int


@registry.measurements.register('platform')
def platform(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Run clusters of several sizes under one load and fit lines."""
    yield from control.measure_sizes('platform', options, _run, FIGURES)


def _run(seed: int, count: int, seconds: float) -> registry.Row:
    with world_module.World(seed) as world:
        world.start(min(count, START_BATCH_SIZE), SAMPLERS)
        while len(world.instances) < count:
            for _ in range(START_BATCH_SIZE):
                world.start_instance(f'entry-{len(world.instances) + 1}')
            world.wait_ready()
        time.sleep(SETTLE_S)
        stop = threading.Event()
        load = threading.Thread(target=_submit_batches, args=(world, stop))
        load.start()
        time.sleep(SETTLE_S)
        before = _read_counters(world)
        time.sleep(seconds)
        after = _read_counters(world)
        stop.set()
        load.join()
        return {
            'measure': 'platform',
            'instances': count,
            'seed': seed,
            **_figures(world, before, after),
        }


def _submit_batches(world: world_module.World, stop: threading.Event) -> None:
    """Submit and read one batch every STEP_S seconds until stopped."""
    trainer = world.trainer()
    step = 0
    while not stop.is_set():
        started = time.monotonic()
        batch = people.Batch(world_module.MODEL, step, 1, GROUPS, GROUP_SIZE)
        trainer.submit(batch)
        trainer.read_all(batch, 10.0)
        trainer.end(batch)
        step += 1
        stop.wait(max(0.0, STEP_S - (time.monotonic() - started)))


def _read_counters(world: world_module.World) -> CounterSnapshot:
    cpu_s, sizes, lines = [], [], []
    for instance in world.instances:
        times = psutil.Process(instance.process.pid).cpu_times()
        cpu_s.append(times.user + times.system)
        text = instance.log_path.read_bytes()
        sizes.append(len(text))
        lines.append(text.count(b'\n'))
    return CounterSnapshot(
        time.monotonic(),
        cpu_s,
        sizes,
        lines,
        dict(world.store.calls),
        psutil.net_io_counters(pernic=True)['lo'].bytes_sent,
    )


def _figures(
    world: world_module.World, before: CounterSnapshot, after: CounterSnapshot
) -> dict[str, float]:
    elapsed_s = after.time - before.time

    def rates(new: list[typing.Any], old: list[typing.Any]) -> list[float]:
        return [(a - b) / elapsed_s for a, b in zip(new, old, strict=True)]

    cores = rates(after.cpu_s, before.cpu_s)
    log_bytes = rates(after.log_bytes, before.log_bytes)
    log_lines = rates(after.log_lines, before.log_lines)
    calls = {
        name: (total - before.store_calls.get(name, 0)) / elapsed_s
        for name, total in after.store_calls.items()
    }
    appends = sum(v for k, v in calls.items() if 'append' in k)
    rss = [
        psutil.Process(instance.process.pid).memory_info().rss / 1e6
        for instance in world.instances
    ]
    loopback_rate = (after.loopback_bytes - before.loopback_bytes) / elapsed_s
    return {
        'cores_mean': round(statistics.mean(cores), 4),
        # The owner of the shard uses the most processor time.
        'cores_owner': round(max(cores), 4),
        'rss_mb_mean': round(statistics.mean(rss), 1),
        'rss_mb_most': round(max(rss), 1),
        'store_reads_per_s': round(sum(calls.values()) - appends, 1),
        'store_appends_per_s': round(appends, 1),
        # Traffic to the store goes through a relay, so the loopback interface
        # counts each byte twice.
        'store_kb_per_s': round(loopback_rate / 2 / 1e3, 1),
        'log_lines_per_s_owner': round(max(log_lines), 1),
        'log_kb_per_s_owner': round(max(log_bytes) / 1e3, 2),
        'log_kb_per_s_mean': round(statistics.mean(log_bytes) / 1e3, 2),
    }
