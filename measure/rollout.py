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


def _engine_name(deployment: deployments.Deployment, index: int) -> str:
    return f'{deployment.model.split("/")[-1]}-{index}'


def _slow_engine(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    cluster.set_faults(_engine_name(deployment, 0), slow=10)


def _kill_engine(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    cluster.processes[_engine_name(deployment, 1)].kill()


def _slow_and_kill_engines(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    _slow_engine(cluster, deployment)
    _kill_engine(cluster, deployment)


def _kill_half_engines(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    for index in range(deployment.engines // 2):
        cluster.processes[_engine_name(deployment, index)].kill()


def _fail_swaps(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    for index in range(2):
        cluster.set_faults(_engine_name(deployment, index), fail_swaps=2)


def _take_log_down(
    cluster: cluster_module.Cluster, _: deployments.Deployment
) -> None:
    cluster.set_faults('log', down=1)
    threading.Timer(
        LOG_DOWN_S, lambda: cluster.set_faults('log', down=0)
    ).start()


def _kill_owner(
    cluster: cluster_module.Cluster, _: deployments.Deployment
) -> None:
    for name, process in cluster.instances.items():
        if cluster.counter(name, 'rollout.samples_committed'):
            process.signal(signal.SIGKILL)
            return


def _inject_several(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> None:
    _slow_and_kill_engines(cluster, deployment)
    _fail_swaps(cluster, deployment)
    _kill_owner(cluster, deployment)


FAULTS: dict[str, Fault] = {
    'none': lambda _cluster, _deployment: None,
    'slow_and_dead': _slow_and_kill_engines,
    'half_lost': _kill_half_engines,
    'swap_fails': _fail_swaps,
    'log_down': _take_log_down,
    'instance_lost': _kill_owner,
    'several': _inject_several,
}


@registry.measurements.register('rollout')
def rollout(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Run two trainers on shared engines, with and without the policy."""
    for fault in options.fault:
        for seed in options.seed:
            for baseline in (False, True):
                if not registry.is_selected(options, baseline):
                    continue
                yield _run(seed, baseline, fault, options)


def _run(
    seed: int, baseline: bool, fault: str, options: argparse.Namespace
) -> registry.Row:
    deployment = deployments.DEPLOYMENTS[options.user]
    sizes = deployments.StandinSizes()
    with cluster_module.Cluster(seed) as cluster:
        deployments.start(cluster, deployment, baseline, sizes)
        _publish_overrides(cluster, deployment, options.set)
        trainers = _run_trainers(cluster, deployment, fault)
        row = {
            'measure': 'rollout',
            'variant': 'baseline' if baseline else 'policy',
            'user': options.user,
            'fault': fault,
            'seed': seed,
            **_trainer_figures(trainers),
            **_counter_figures(cluster, deployment),
        }
    row['step_of_ideal'] = round(
        row['total_s'] / _ideal_s(trainers, deployment, sizes), 2
    )
    return row


def _publish_overrides(
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


def _trainer_figures(trainers: list[trainer_module.Trainer]) -> registry.Row:
    reports = [trainer.report() for trainer in trainers]
    entries = [entry for trainer in trainers for entry in trainer.entries]
    lags = [float(entry.lag) for entry in entries]
    ages = [entry.age_s for entry in entries]
    total_s = max(report.total_s for report in reports)
    return {
        'idle_share': round(
            sum(report.idle_s for report in reports)
            / sum(report.total_s for report in reports),
            3,
        ),
        'lag_p50': deployments.quantile(lags, 0.5),
        'lag_p99': deployments.quantile(lags, 0.99),
        'age_p50_s': deployments.quantile(ages, 0.5),
        'age_p99_s': deployments.quantile(ages, 0.99),
        'past_bound': sum(lag > 2 for lag in lags),
        'doubled': sum(report.doubled for report in reports),
        'missing': sum(report.missing for report in reports),
        'samples': len(entries),
        'total_s': round(total_s, 1),
    }


def _counter_figures(
    cluster: cluster_module.Cluster, deployment: deployments.Deployment
) -> registry.Row:
    service = deployment.model
    retries = deployments.sum_counter(cluster, f'routing.retries.{service}')
    return {
        'tokens_wasted': deployments.sum_counter(
            cluster, 'rollout.tokens_wasted'
        ),
        'stale_dropped': deployments.sum_counter(
            cluster, 'rollout.stale_dropped'
        ),
        'second_attempts': deployments.sum_counter(
            cluster, 'rollout.second_attempts'
        ),
        'failed_attempts': deployments.sum_counter(
            cluster, 'rollout.failed_attempts'
        ),
        'retries': retries,
    }


def _ideal_s(
    trainers: list[trainer_module.Trainer],
    deployment: deployments.Deployment,
    sizes: deployments.StandinSizes,
) -> float:
    tokens = sum(
        len(entry.text.split())
        for trainer in trainers
        for entry in trainer.entries
    )
    per_second = deployment.engines * sizes.slots / sizes.token_s
    return tokens / per_second
