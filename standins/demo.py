"""Run an end-to-end demo with a built-in tree and check its results."""

import argparse
import json
import signal
import subprocess
import sys
import time
import typing

from . import cluster as cluster_module

DATA_CENTRES = ['kl-bengkel', 'ipoh-kilang']
LOOKUP_SERVICE = 'pasak-lestari/order-lookup'
ENTRY_SERVICE = 'valparaiso/field-records'
MODEL = 'pasak-lestari/peg-sizing'
TREE = {
    LOOKUP_SERVICE: {
        'path': '/orders',
        'idempotent': True,
        'timeout_s': 2,
    },
    ENTRY_SERVICE: {'path': '/orders', 'idempotent': False},
    MODEL: {
        'adapter': 'completions',
        'path': '/v1/completions',
        'idempotent': True,
        'timeout_s': 60,
        'choice': 'prefix_affinity',
    },
    f'{MODEL}/rollout': {'priority': 'high'},
}
REQUEST_COUNTS = {'lookup': 200, 'checklist': 60, 'training': 24}
EXPECTED_SAMPLES = 32


def start_deployment(cluster: cluster_module.Cluster) -> None:
    """Start the platform, the upstreams and three instances."""
    cluster.start_platform()
    for upstreams in (
        cluster_module.Upstreams(LOOKUP_SERVICE, 'plain_service', 1),
        cluster_module.Upstreams(ENTRY_SERVICE, 'plain_service', 1),
        cluster_module.Upstreams(MODEL, 'engine', 4),
    ):
        cluster.start_upstreams(upstreams, DATA_CENTRES)
    published = cluster.publish(TREE, author='demo')
    if published.returncode != 0:
        raise RuntimeError(published.stderr)
    for index in range(3):
        data_centre = DATA_CENTRES[index % len(DATA_CENTRES)]
        cluster.start_instance(f'entry-{index + 1}', data_centre)
    cluster.wait_ready()


def _start_client(module: str, *arguments: str) -> subprocess.Popen[str]:
    return subprocess.Popen(
        [sys.executable, '-m', f'standins.{module}', *arguments],
        cwd=cluster_module.ROOT,
        stdout=subprocess.PIPE,
        text=True,
        # Keeps Ctrl-C from the children; this process terminates them.
        start_new_session=True,
    )


def run_clients(cluster: cluster_module.Cluster) -> dict[str, typing.Any]:
    """Run a trainer and a router as processes and return their reports."""
    urls = ','.join(process.url for process in cluster.instances.values())
    plans = []
    for kind, path in (
        ('lookup', LOOKUP_SERVICE),
        ('checklist', ENTRY_SERVICE),
        ('training', MODEL),
    ):
        plans += ['--plan', f'{kind}={path}={REQUEST_COUNTS[kind]}']
    seed = str(cluster.seed)
    trainer = _start_client(
        'trainer',
        *('--path', f'{MODEL}/rollout', '--instances', urls, '--seed', seed),
    )
    router = _start_client(
        'router',
        *('--seeds', urls, '--data-centre', DATA_CENTRES[0], '--seed', seed),
        *plans,
    )
    children = (trainer, router)
    try:
        outputs = [child.communicate(timeout=60)[0] for child in children]
    finally:
        for child in children:
            child.kill()
            child.wait()
    report = {
        'router': json.loads(outputs[1]),
        'trainer': json.loads(outputs[0]),
    }
    report['executions'] = _count_executions(cluster)
    return report


def _count_executions(cluster: cluster_module.Cluster) -> dict[str, int]:
    started_counts = cluster.call('field-records-0', 'GET', '/executions')[
        'started'
    ]
    return {
        'entries': len(started_counts),
        'doubled': sum(count - 1 for count in started_counts.values()),
    }


def find_problems(report: dict[str, typing.Any]) -> list[str]:
    """Return a line for each lost or duplicated request or sample."""
    problems = []
    for kind, counts in report['router'].items():
        if counts['delivered'] != REQUEST_COUNTS[kind]:
            problems.append(f'{kind}: {counts}')
    if report['executions'] != {
        'entries': REQUEST_COUNTS['checklist'],
        'doubled': 0,
    }:
        problems.append(f'executions: {report["executions"]}')
    trainer = report['trainer']
    if (trainer['samples'], trainer['doubled'], trainer['missing']) != (
        EXPECTED_SAMPLES,
        0,
        0,
    ):
        problems.append(f'trainer: {trainer}')
    return problems


def print_report(report: dict[str, typing.Any]) -> None:
    """Print the report."""
    print(
        f'{"kind":<12}{"asked":>7}{"delivered":>11}{"refused":>9}{"lost":>6}'
    )
    for kind, counts in report['router'].items():
        print(
            f'{kind:<12}{counts["asked"]:>7}{counts["delivered"]:>11}'
            f'{counts["refused"]:>9}{counts["lost"]:>6}'
        )
    trainer = report['trainer']
    print(
        f'checklist entries run: {report["executions"]["entries"]}, '
        f'doubled: {report["executions"]["doubled"]}'
    )
    print(
        f'samples handed to the trainer: {trainer["samples"]}, '
        f'doubled: {trainer["doubled"]}, missing: {trainer["missing"]}, '
        f'by weight versions: {trainer["versions"]}, '
        f'by versions of lag: {trainer["lags"]}'
    )


def main() -> None:
    """Run the demo; exit 0 only if nothing was lost or duplicated."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument('--seed', type=int, default=1)
    options = arguments.parse_args()
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(130))
    started = time.monotonic()
    print(f'seed {options.seed}')
    try:
        with cluster_module.Cluster(options.seed) as cluster:
            start_deployment(cluster)
            report = run_clients(cluster)
    except KeyboardInterrupt:
        print('interrupted; all processes have ended', file=sys.stderr)
        sys.exit(130)
    print_report(report)
    print(f'took {time.monotonic() - started:.1f} s')
    problems = find_problems(report)
    for problem in problems:
        print(f'PROBLEM {problem}')
    sys.exit(1 if problems else 0)


if __name__ == '__main__':
    main()
