"""Measure what an idle instance spends on control, by cluster size."""

import argparse
import collections.abc
import subprocess
import sys
import time
import typing

import psutil

from measure import deployments
from measure import registry
from standins import cluster as cluster_module

SETTLE_S = 6.0
# The rumours of all joining at once take longer the more there are.
SETTLE_S_PER_INSTANCE = 1.0
SERVICE = 'pasak-lestari/order-lookup'
THREADS = 16
FIGURES = ('cores', 'bytes_per_s', 'rss_mb', 'in_force_s')


@registry.measurements.register('control')
def control(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Run clusters of several sizes without load and fit lines."""
    yield from by_size('control', options, _run, FIGURES)


def by_size(
    name: str,
    options: argparse.Namespace,
    run: collections.abc.Callable[[int, int, float], registry.Row],
    figures: tuple[str, ...],
) -> collections.abc.Iterator[registry.Row]:
    """Measure several numbers of instances and fit a line to each figure."""
    rows = []
    for count in map(int, options.instances.split(',')):
        row = run(options.seed[0], count, options.seconds)
        rows.append(row)
        yield row
    for figure in figures:
        points = [(row['instances'], row[figure]) for row in rows]
        slope, intercept, residual = fit(points)
        yield {
            'measure': name,
            'fit': figure,
            'at_0': round(intercept, 5),
            'per_instance': round(slope, 6),
            'residual': round(residual, 5),
            'at_420': round(intercept + slope * 420, 4),
        }


def _run(seed: int, count: int, seconds: float) -> registry.Row:
    with cluster_module.Cluster(seed) as cluster:
        cluster.start_platform()
        cluster.start_upstreams(
            cluster_module.Upstreams(SERVICE, 'plain_service', 2),
            ['kl-bengkel'],
        )
        cluster.publish({SERVICE: {'path': '/orders', 'idempotent': True}})
        for index in range(count):
            cluster.start_instance(
                f'entry-{index + 1}', 'kl-bengkel', http_threads=THREADS
            )
        cluster.wait_ready()
        cluster.wait(
            lambda: _alive(cluster) == count, 'all see each other', 60
        )
        time.sleep(max(SETTLE_S, count * SETTLE_S_PER_INSTANCE))
        measured = _observe(cluster, seconds)
        in_force_s = _time_publish(cluster)
    return {
        'measure': 'control',
        'instances': count,
        'seed': seed,
        **measured,
        'in_force_s': in_force_s,
        'rss_import_mb': _import_rss_mb(),
    }


def _alive(cluster: cluster_module.Cluster) -> int:
    return min(
        sum(
            member['state'] == 'alive'
            for member in cluster.call(name, 'GET', '/v1/status')['members']
        )
        for name in cluster.instances
    )


def _observe(
    cluster: cluster_module.Cluster, seconds: float
) -> dict[str, float]:
    processes = [
        psutil.Process(instance.popen.pid)
        for instance in cluster.instances.values()
    ]
    count = len(processes)
    gossip = deployments.total(cluster, 'gossip.bytes_sent')
    appends = cluster.call('log', 'GET', '/statistics')['appends']
    cpu_s = _cpu_s(processes)
    wire = _loopback_bytes()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started
    wire = _loopback_bytes() - wire
    cpu_s = _cpu_s(processes) - cpu_s
    appends = cluster.call('log', 'GET', '/statistics')['appends'] - appends
    gossip = deployments.total(cluster, 'gossip.bytes_sent') - gossip
    per_instance = count * elapsed_s
    return {
        'cores': round(cpu_s / per_instance, 5),
        # What passes between two instances counts at both.
        'bytes_per_s': round((wire + gossip) / per_instance, 1),
        'gossip_bytes_per_s': round(gossip / per_instance, 1),
        'rss_mb': round(
            sum(p.memory_info().rss for p in processes) / count / 1e6, 2
        ),
        'appends_per_s': round(appends / elapsed_s, 2),
    }


def _cpu_s(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(spent.user + spent.system for spent in times)


def _loopback_bytes() -> int:
    return psutil.net_io_counters(pernic=True)['lo'].bytes_sent


def _time_publish(cluster: cluster_module.Cluster) -> float:
    done = cluster.publish({SERVICE: {'max_attempts': 4}})
    started = time.monotonic()
    revision = int(done.stdout.split()[-1])
    for name in cluster.instances:
        cluster.wait(
            lambda name=name: (
                cluster.call(name, 'GET', '/v1/status')['settings_revision']
                >= revision
            ),
            'the change is in force',
        )
    return round(time.monotonic() - started, 3)


def _import_rss_mb() -> float:
    """Return the memory of a process that has only imported the parts."""
    code = (
        'import os, baobabpond.ui.main\n'
        'pages = int(open("/proc/self/statm").read().split()[1])\n'
        'print(pages * os.sysconf("SC_PAGE_SIZE"))'
    )
    done = subprocess.run(
        [sys.executable, '-c', code],
        capture_output=True,
        text=True,
        check=True,
        cwd=cluster_module.ROOT,
    )
    return round(int(done.stdout) / 1e6, 2)


def fit(
    points: list[tuple[float, float]],
) -> tuple[float, float, float]:
    """Return slope, intercept and the largest residual of a line."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread: typing.Any = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points) / spread
        if spread
        else 0.0
    )
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return slope, intercept, residual
