"""Measure the control overhead of an idle instance by cluster size."""

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
# Gossip about simultaneous joins takes longer in larger clusters.
SETTLE_S_PER_INSTANCE = 1.0
SERVICE = 'pasak-lestari/order-lookup'
THREADS = 16
FIGURES = ('cores', 'bytes_per_s', 'rss_mb', 'in_force_s')


@registry.measurements.register('control')
def control(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Run idle clusters of several sizes and fit lines."""
    yield from measure_sizes('control', options, _run, FIGURES)


def measure_sizes(
    name: str,
    options: argparse.Namespace,
    run: collections.abc.Callable[[int, int, float], registry.Row],
    figures: tuple[str, ...],
) -> collections.abc.Iterator[registry.Row]:
    """Measure several cluster sizes and fit a line to each figure."""
    rows = []
    for count in map(int, options.instances.split(',')):
        row = run(options.seed[0], count, options.seconds)
        rows.append(row)
        yield row
    for figure in figures:
        points = [(row['instances'], row[figure]) for row in rows]
        slope, intercept, residual = fit_line(points)
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
            lambda: _min_alive_members(cluster) == count,
            'all instances list each other as alive',
            60,
        )
        time.sleep(max(SETTLE_S, count * SETTLE_S_PER_INSTANCE))
        measured = _measure_idle(cluster, seconds)
        in_force_s = _time_publish(cluster)
    return {
        'measure': 'control',
        'instances': count,
        'seed': seed,
        **measured,
        'in_force_s': in_force_s,
        'rss_import_mb': _import_rss_mb(),
    }


def _min_alive_members(cluster: cluster_module.Cluster) -> int:
    return min(
        sum(
            member['state'] == 'alive'
            for member in cluster.call(name, 'GET', '/v1/status')['members']
        )
        for name in cluster.instances
    )


def _measure_idle(
    cluster: cluster_module.Cluster, seconds: float
) -> dict[str, float]:
    processes = [
        psutil.Process(instance.popen.pid)
        for instance in cluster.instances.values()
    ]
    count = len(processes)
    gossip_bytes = deployments.sum_counter(cluster, 'gossip.bytes_sent')
    appends = cluster.call('log', 'GET', '/statistics')['appends']
    cpu_s = _cpu_s(processes)
    loopback_bytes = _loopback_bytes()
    started = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - started
    loopback_bytes = _loopback_bytes() - loopback_bytes
    cpu_s = _cpu_s(processes) - cpu_s
    appends = cluster.call('log', 'GET', '/statistics')['appends'] - appends
    gossip_bytes = (
        deployments.sum_counter(cluster, 'gossip.bytes_sent') - gossip_bytes
    )
    per_instance = count * elapsed_s
    return {
        'cores': round(cpu_s / per_instance, 5),
        # Gossip between two instances counts for the sender and the receiver.
        'bytes_per_s': round(
            (loopback_bytes + gossip_bytes) / per_instance, 1
        ),
        'gossip_bytes_per_s': round(gossip_bytes / per_instance, 1),
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
            'the change is applied',
        )
    return round(time.monotonic() - started, 3)


def _import_rss_mb() -> float:
    """Return the resident memory of a process after the imports, in MB."""
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


def fit_line(
    points: list[tuple[float, float]],
) -> tuple[float, float, float]:
    """Return slope, intercept and largest residual of a least-squares fit."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    squared_deviations: typing.Any = sum((x - mean_x) ** 2 for x, _ in points)
    slope = (
        sum((x - mean_x) * (y - mean_y) for x, y in points)
        / squared_deviations
        if squared_deviations
        else 0.0
    )
    intercept = mean_y - slope * mean_x
    residual = max(abs(y - intercept - slope * x) for x, y in points)
    return slope, intercept, residual
