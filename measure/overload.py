"""Measure lookups at twice the capacity of their service."""

import argparse
import collections.abc
import typing

from measure import deployments
from measure import load
from measure import registry
from standins import cluster as cluster_module
from standins import router as router_module

OVERLOAD = 2.0
WARM_UP_S = 4.0
DEADLINE_S = {'pasak': 0.5, 'valparaiso': 3.0}


@registry.measurements.register('overload')
def overload(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Measure goodput relative to capacity, with and without the policy."""
    for seed in options.seed:
        for baseline in (False, True):
            if not registry.is_selected(options, baseline):
                continue
            yield _run(seed, baseline, options)


def _run(
    seed: int, baseline: bool, options: argparse.Namespace
) -> registry.Row:
    deployment = deployments.DEPLOYMENTS[options.user]
    sizes = deployments.StandinSizes()
    capacity = deployment.plain_upstreams * sizes.workers / sizes.work_s
    deadline_s = DEADLINE_S[options.user]
    with cluster_module.Cluster(seed) as cluster:
        deployments.start(cluster, deployment, baseline, sizes)
        seeds = [process.url for process in cluster.instances.values()]
        routers = [
            router_module.Router(f'router-{n}', seeds, data_centre, seed)
            for n, data_centre in enumerate(deployment.data_centres)
        ]
        round_robin = _RoundRobin(routers)
        for phase, duration_s in (('warm', WARM_UP_S), ('', options.seconds)):
            report = load.offer(
                typing.cast(router_module.Router, round_robin),
                deployment.plain,
                capacity * OVERLOAD,
                duration_s,
                deadline_s,
                seed * 10 + bool(phase),
                keyed=not deployment.plain_idempotent,
            )
    return {
        'measure': 'overload',
        'variant': 'baseline' if baseline else 'policy',
        'user': options.user,
        'seed': seed,
        'goodput_of_capacity': round(report.good_per_s / capacity, 3),
        **report._asdict(),
    }


class _RoundRobin:
    """Distribute requests over several routers by round robin."""

    def __init__(self, routers: list[router_module.Router]) -> None:
        self._routers = routers
        self._next = 0

    def send(
        self, *arguments: typing.Any, **named: typing.Any
    ) -> router_module.Outcome:
        """Send through the next router."""
        self._next += 1
        router = self._routers[self._next % len(self._routers)]
        return router.send(*arguments, **named)
