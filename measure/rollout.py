"""Measure trainer idle time and sample staleness under faults."""

import argparse
import collections.abc
import signal
import threading
import time
import typing

from measure import deployments
from measure import registry
from standins import cluster as cluster_module
from standins import trainer as trainer_module

STEPS = 4
GROUPS = 8
SAMPLES = 8
MAX_TOKENS = 40
TRAIN_S = 3.0
FAULT_AFTER_S = 2.0
LOG_DOWN_S = 10.0

Fault = collections.abc.Callable[
    [cluster_module.Cluster, deployments.Deployment], None
]


def _engine(deployment: deployments.Deployment, index: int) -> str:
    return f'{deployment.model.split("/")[-1]}-{index}'


def _slow(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    cluster.set_faults(_engine(deployment, 0), slow=10)


def _dead(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    cluster.processes[_engine(deployment, 1)].kill()


def _slow_and_dead(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    _slow(cluster, deployment)
    _dead(cluster, deployment)


def _half_lost(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    for index in range(deployment.engines // 2):
        cluster.processes[_engine(deployment, index)].kill()


def _swap_fails(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    for index in range(2):
        cluster.set_faults(_engine(deployment, index), fail_swaps=2)


def _log_down(
    cluster: cluster_module.Cluster, _: deployments.Deployment
) -> None:
    cluster.set_faults('log', down=1)
    threading.Timer(
        LOG_DOWN_S, lambda: cluster.set_faults('log', down=0)
    ).start()


def _instance_lost(
    cluster: cluster_module.Cluster, _: deployments.Deployment
) -> None:
    for name, process in cluster.instances.items():
        if cluster.counter(name, 'rollout.samples_committed'):
            process.signal(signal.SIGKILL)
            return


def _several(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    _slow_and_dead(cluster, deployment)
    _swap_fails(cluster, deployment)
    _instance_lost(cluster, deployment)


FAULTS: dict[str, Fault] = {
    'none': lambda _cluster, _deployment: None,
    'slow_and_dead': _slow_and_dead,
    'half_lost': _half_lost,
    'swap_fails': _swap_fails,
    'log_down': _log_down,
    'instance_lost': _instance_lost,
    'several': _several,
}


@registry.measurements.register('rollout')
def rollout(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Run two trainers on shared engines, with and without policy."""
    for fault in options.fault:
        for seed in options.seed:
            for baseline in (False, True):
                if not registry.wanted(options, baseline):
                    continue
                yield _run(seed, baseline, fault, options)


def _run(
    seed: int, baseline: bool, fault: str, options: argparse.Namespace
) -> registry.Row:
    deployment = deployments.DEPLOYMENTS[options.user]
    sizes = deployments.Sizes()
    with cluster_module.Cluster(seed) as cluster:
        deployments.start(cluster, deployment, baseline, sizes)
        _override(cluster, deployment, options.set)
        trainers = _run_trainers(cluster, deployment, fault)
        row = {
            'measure': 'rollout',
            'variant': 'baseline' if baseline else 'policy',
            'user': options.user,
            'fault': fault,
            'seed': seed,
            **_sums(trainers),
            **_counters(cluster, deployment),
        }
    row['step_of_ideal'] = round(
        row['total_s'] / _ideal_s(trainers, deployment, sizes), 2
    )
    return row


def _override(
    cluster: cluster_module.Cluster,
    deployment: deployments.Deployment,
    texts: list[str],
) -> None:
    nodes: dict[str, typing.Any] = {}
    for text in texts:
        key, value = text.split('=')
        nodes[key] = float(value) if '.' in value else int(value)
    if nodes:
        done = cluster.publish({deployment.model: nodes})
        if done.returncode != 0:
            raise RuntimeError(done.stderr)


def _run_trainers(
    cluster: cluster_module.Cluster,
    deployment: deployments.Deployment,
    fault: str,
) -> list[trainer_module.Trainer]:
    urls = [process.url for process in cluster.instances.values()]
    trainers = [
        trainer_module.Trainer(
            f'{deployment.model}/rollout-{letter}', urls, cluster.seed
        )
        for letter in 'ab'
    ]
    schedule = trainer_module.Schedule(
        STEPS, GROUPS, SAMPLES, MAX_TOKENS, TRAIN_S
    )
    threads = [
        threading.Thread(
            target=trainer_module.run_schedule, args=(trainer, schedule)
        )
        for trainer in trainers
    ]
    for thread in threads:
        thread.start()
    time.sleep(FAULT_AFTER_S)
    FAULTS[fault](cluster, deployment)
    for thread in threads:
        thread.join()
    return trainers


def _sums(trainers: list[trainer_module.Trainer]) -> registry.Row:
    reports = [trainer.report() for trainer in trainers]
    entries = [entry for trainer in trainers for entry in trainer.received]
    lags = [float(entry.lag) for entry in entries]
    ages = [entry.age_s for entry in entries]
    total_s = max(report.total_s for report in reports)
    return {
        'idle_share': round(
            sum(report.idle_s for report in reports)
            / sum(report.total_s for report in reports),
            3,
        ),
        'lag_p50': deployments.percentile(lags, 0.5),
        'lag_p99': deployments.percentile(lags, 0.99),
        'age_p50_s': deployments.percentile(ages, 0.5),
        'age_p99_s': deployments.percentile(ages, 0.99),
        'past_bound': sum(lag > 2 for lag in lags),
        'doubled': sum(report.doubled for report in reports),
        'missing': sum(report.missing for report in reports),
        'samples': len(entries),
        'total_s': round(total_s, 1),
    }


def _counters(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> registry.Row:
    service = deployment.model
    retries = deployments.total(cluster, f'routing.retries.{service}')
    return {
        'tokens_wasted': deployments.total(cluster, 'rollout.tokens_wasted'),
        'stale_dropped': deployments.total(cluster, 'rollout.stale_dropped'),
        'second_attempts': deployments.total(
            cluster, 'rollout.second_attempts'
        ),
        'failed_attempts': deployments.total(
            cluster, 'rollout.failed_attempts'
        ),
        'retries': retries,
    }


def _ideal_s(
    trainers: list[trainer_module.Trainer],
    deployment: deployments.Deployment,
    sizes: deployments.Sizes,
) -> float:
    tokens = sum(
        len(entry.text.split())
        for trainer in trainers
        for entry in trainer.received
    )
    per_second = deployment.engines * sizes.slots / sizes.token_s
    return tokens / per_second
