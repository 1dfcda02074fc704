"""Start the users' deployments with scaled-down stand-ins."""

import typing

from standins import cluster as cluster_module


class Deployment(typing.NamedTuple):
    """Describe the services and the current size of a user's deployment."""

    name: str
    data_centres: list[str]
    model: str
    engines: int
    plain: str
    plain_upstreams: int
    plain_idempotent: bool
    instances: int


DEPLOYMENTS = {
    'pasak': Deployment(
        'pasak',
        ['kl-bengkel', 'ipoh-kilang', 'jb-gudang', 'pg-stor'],
        'pasak-lestari/peg-sizing',
        6,
        'pasak-lestari/order-lookup',
        4,
        True,
        8,
    ),
    'valparaiso': Deployment(
        'valparaiso',
        ['cerro-alegre', 'vina-norte', 'quilpue'],
        'valparaiso/findings',
        6,
        'valparaiso/field-records',
        3,
        False,
        7,
    ),
}

# Round robin, no limits, plain retries, no ejection, no second attempts.
BASELINE = {
    'choice': 'round_robin',
    'limit_policy': 'none',
    'retry_budget': 1.0,
    'ejection_max_share': 0,
    'straggler_budget': 0,
    'caller_share': 1,
    'subset_size': 10000,
}


class StandinSizes(typing.NamedTuple):
    """Configure the speed and concurrency of the stand-ins."""

    slots: int = 8
    token_s: float = 0.02
    workers: int = 4
    work_s: float = 0.1
    store_per_second: float = 5.0


def settings_tree(
    deployment: Deployment, baseline: bool
) -> dict[str, dict[str, typing.Any]]:
    """Return the settings tree of a deployment."""
    nodes: dict[str, dict[str, typing.Any]] = {
        'root': dict(BASELINE) if baseline else {},
        deployment.plain: {
            'path': '/orders',
            'idempotent': deployment.plain_idempotent,
            'timeout_s': 0.5 if deployment.plain_idempotent else 3,
        },
        deployment.model: {
            'adapter': 'completions',
            'path': '/v1/completions',
            'idempotent': True,
            'timeout_s': 120,
            'limit_initial': 12,
        },
        f'{deployment.model}/rollout-a': {'priority': 'high'},
        f'{deployment.model}/rollout-b': {'priority': 'high'},
    }
    if not baseline:
        nodes[deployment.model]['choice'] = 'prefix_affinity'
    return nodes


def start(
    cluster: cluster_module.Cluster,
    deployment: Deployment,
    baseline: bool,
    sizes: StandinSizes,
    instances: int | None = None,
) -> None:
    """Start the platform, the upstreams and the instances."""
    cluster.start_platform(sizes.store_per_second)
    cluster.start_upstreams(
        cluster_module.Upstreams(
            deployment.plain,
            'plain_service',
            deployment.plain_upstreams,
            ('--workers', str(sizes.workers), '--work-s', str(sizes.work_s)),
        ),
        deployment.data_centres,
    )
    cluster.start_upstreams(
        cluster_module.Upstreams(
            deployment.model,
            'engine',
            deployment.engines,
            ('--slots', str(sizes.slots), '--token-s', str(sizes.token_s)),
        ),
        deployment.data_centres,
    )
    published = cluster.publish(settings_tree(deployment, baseline))
    if published.returncode != 0:
        raise RuntimeError(published.stderr)
    for index in range(instances or deployment.instances):
        data_centre = deployment.data_centres[
            index % len(deployment.data_centres)
        ]
        cluster.start_instance(f'entry-{index + 1}', data_centre)
    cluster.wait_ready()


def sum_counter(cluster: cluster_module.Cluster, counter: str) -> int:
    """Return the sum of a counter over the live instances."""
    return sum(
        cluster.counter(name, counter)
        for name, process in cluster.instances.items()
        if process.alive
    )


def quantile(values: list[float], fraction: float) -> float:
    """Return the value at a quantile from 0 to 1, or 0 without values."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
