"""Measure one instance at three times its share of the design load."""

import argparse
import collections.abc
import threading
import time
import typing

import psutil
import urllib3

from measure import deployments
from measure import registry
from standins import cluster as cluster_module

STREAMS = 75
TOKENS_PER_S = 10_700
LOOKUPS_PER_S = 35
MODEL = 'pasak-lestari/peg-sizing'
LOOKUPS = 'pasak-lestari/order-lookup'


@registry.measurements.register('relay')
def relay(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Compare streams and lookups through an instance with direct access."""
    for seed in options.seed:
        with cluster_module.Cluster(seed) as cluster:
            _start(cluster)
            direct = _run_load(cluster, options.seconds, direct=True)
            process = psutil.Process(cluster.instances['entry-1'].popen.pid)
            before = process.cpu_times()
            started = time.monotonic()
            through = _run_load(cluster, options.seconds, direct=False)
            after = process.cpu_times()
            elapsed_s = time.monotonic() - started
            cpu_s = after.user + after.system - before.user - before.system
            row = {
                'measure': 'relay',
                'variant': 'relay',
                'seed': seed,
                'cores': round(cpu_s / elapsed_s, 3),
                'rss_mb': round(process.memory_info().rss / 1e6, 1),
            }
        for name, figures in (('direct', direct), ('through', through)):
            row.update({f'{name}_{k}': v for k, v in figures.items()})
        for percentile in ('p50', 'p99'):
            row[f'added_{percentile}_ms'] = round(
                through[f'lookup_{percentile}_ms']
                - direct[f'lookup_{percentile}_ms'],
                2,
            )
        yield row


def _start(cluster: cluster_module.Cluster) -> None:
    cluster.start_platform()
    cluster.start_upstreams(
        cluster_module.Upstreams(
            LOOKUPS, 'plain_service', 1, ('--work-s', '0.005')
        ),
        ['kl-bengkel'],
    )
    token_s = STREAMS / TOKENS_PER_S
    cluster.start_upstreams(
        cluster_module.Upstreams(
            MODEL,
            'engine',
            3,
            ('--slots', '32', '--token-s', str(token_s), '--prefill-s', '0'),
        ),
        ['kl-bengkel'],
    )
    cluster.publish(
        {
            LOOKUPS: {'path': '/orders', 'idempotent': True, 'timeout_s': 2},
            MODEL: {
                'adapter': 'completions',
                'path': '/v1/completions',
                'idempotent': True,
                'timeout_s': 120,
                'limit_policy': 'fixed',
                'limit_initial': 64,
                'caller_share': 1,
            },
        }
    )
    cluster.start_instance('entry-1', 'kl-bengkel', http_threads=192)
    cluster.wait_ready()


def _run_load(
    cluster: cluster_module.Cluster, seconds: float, direct: bool
) -> dict[str, typing.Any]:
    """Run streams and lookups concurrently and measure both."""
    tokens = int(TOKENS_PER_S / STREAMS * seconds)
    received: list[int] = []
    times_ms: list[float] = []
    refused: list[int] = []
    http = urllib3.PoolManager(num_pools=10, maxsize=200, retries=False)
    instance = cluster.instances['entry-1'].url

    def stream(number: int) -> None:
        engine = cluster.processes[f'peg-sizing-{number % 3}'].url
        url = (
            f'{engine}/v1/completions'
            if direct
            else f'{instance}/v1/requests/{MODEL}'
        )
        response = http.request(
            'POST',
            url,
            json={
                'prompt': f'p{number}',
                'max_tokens': tokens,
                'stream': True,
            },
            headers={'X-Request-Id': 'x'},
            preload_content=False,
            timeout=60,
        )
        if response.status != 200:
            refused.append(number)
            return
        count = sum(piece.count(b'\n\n') for piece in response.stream())
        received.append(count - 1)

    def lookup(number: int) -> None:
        plain = cluster.processes['order-lookup-0'].url
        url = (
            f'{plain}/orders'
            if direct
            else f'{instance}/v1/requests/{LOOKUPS}'
        )
        started = time.monotonic()
        response = http.request(
            'POST',
            url,
            json={'order': str(number)},
            headers={'X-Request-Id': 'x'},
            timeout=10,
        )
        times_ms.append((time.monotonic() - started) * 1000)
        if response.status != 200:
            refused.append(number)

    threads = [
        threading.Thread(target=stream, args=(number,))
        for number in range(STREAMS)
    ]
    started = time.monotonic()
    for thread in threads:
        thread.start()
    number = 0
    while time.monotonic() - started < seconds:
        threads.append(threading.Thread(target=lookup, args=(number,)))
        threads[-1].start()
        number += 1
        time.sleep(max(0, started + number / LOOKUPS_PER_S - time.monotonic()))
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - started
    return {
        'tokens_per_s': round(sum(received) / elapsed_s),
        'streams': len(received),
        'refused': len(refused),
        'lookups_per_s': round(len(times_ms) / elapsed_s, 1),
        'lookup_p50_ms': round(deployments.quantile(times_ms, 0.5), 2),
        'lookup_p99_ms': round(deployments.quantile(times_ms, 0.99), 2),
    }
