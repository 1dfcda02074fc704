"""Simulate workloads with several policies and seeds in parallel."""

import argparse
import collections.abc
import concurrent.futures
import logging
import statistics
import typing

import structlog

from . import load as load_module
from . import policies as policies_module
from . import simulation

WORKERS = 3
SEEDS = 5


class VariantResult(typing.NamedTuple):
    """Describe the outcomes of a variant on a workload, one per seed."""

    workload: str
    variant: str
    outcomes: list[simulation.Outcome]


def select_variants(named: list[str]) -> dict[str, policies_module.Policies]:
    """Return the product's policies and the named variants of them.

    A name looks like rescue=never or order=baseline,weights=baseline.
    Without names, each decision is set to its baseline alone, then all.
    """
    product = policies_module.Policies()
    selected = {'product': product}
    names = named or [
        *(f'{kind}={policies_module.BASELINE}' for kind in product._fields),
        ','.join(f'{k}={policies_module.BASELINE}' for k in product._fields),
    ]
    for name in names:
        changes = dict(part.split('=', 1) for part in name.split(','))
        label = 'all baselines' if len(changes) == len(product) else name
        selected[label] = product._replace(**changes)
    return selected


def _silence_logs() -> None:
    """Drop log lines below warning level in a worker process."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        cache_logger_on_first_use=False,
    )


def _simulate(
    workload: str, policies: policies_module.Policies, seed: int
) -> simulation.Outcome:
    return simulation.simulate(
        load_module.workloads.get(workload), policies, seed
    )


def run_all(
    workloads: list[str],
    variants: dict[str, policies_module.Policies],
    seeds: int,
    workers: int = WORKERS,
) -> list[VariantResult]:
    """Simulate each workload with each variant and seed."""
    results = []
    with concurrent.futures.ProcessPoolExecutor(
        workers, initializer=_silence_logs
    ) as executor:
        futures = {
            (workload, variant): [
                executor.submit(_simulate, workload, policies, seed)
                for seed in range(1, seeds + 1)
            ]
            for workload in workloads
            for variant, policies in variants.items()
        }
        for (workload, variant), pending in futures.items():
            outcomes = [future.result() for future in pending]
            results.append(VariantResult(workload, variant, outcomes))
    return results


def format_table(results: list[VariantResult]) -> str:
    """Format one row per workload and variant.

    mean, min and max are of the utility by seed; trainer is the lowest
    utility of any trainer; lookups is the mean share of the lookups answered
    in time; groups that of the groups in time; moves and loads are means over
    the seeds; cancelled is the share of the runs that were migrated; item is
    the mean time of an item; idle counts waits while a slot is free.
    """
    row_format = (
        '{:<15} {:<20} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>6}'
        ' {:>9} {:>6} {:>5} {:>5}'
    )
    headers = ('load', 'variant', 'mean', 'min', 'max', 'trainer', 'lookups')
    lines = [
        row_format.format(
            *headers, 'moves', 'loads', 'cancelled', 'groups', 'item', 'idle'
        )
    ]
    lines += [row_format.format(*_row(result)) for result in results]
    return '\n'.join(lines)


def _row(result: VariantResult) -> list[object]:
    """Return the cells of a row of the table."""
    outcomes = result.outcomes
    utilities = [outcome.utility for outcome in outcomes]
    return [
        result.workload,
        result.variant,
        _mean(utilities),
        f'{min(utilities):.3f}',
        f'{max(utilities):.3f}',
        f'{min(outcome.min_utility for outcome in outcomes):.3f}',
        _mean(outcome.lookups_in_aim for outcome in outcomes),
        round(statistics.mean(outcome.moves for outcome in outcomes)),
        round(statistics.mean(outcome.weight_loads for outcome in outcomes)),
        _mean(outcome.cancelled for outcome in outcomes),
        _mean(outcome.groups_in_time for outcome in outcomes),
        _mean(outcome.item_s for outcome in outcomes),
        sum(outcome.idle_waits for outcome in outcomes),
    ]


def _mean(values: collections.abc.Iterable[float]) -> str:
    return f'{statistics.mean(values):.3f}'


def draw_chart(results: list[VariantResult], path: str) -> None:
    """Draw the mean utility of the variants on each workload as SVG."""
    from baobabpond.reports import plots

    names = list(dict.fromkeys(result.workload for result in results))
    labels = list(dict.fromkeys(result.variant for result in results))
    utilities = {
        label: [
            statistics.mean(o.utility for o in result.outcomes)
            for result in results
            if result.variant == label
        ]
        for label in labels
    }
    plots.draw_bars(names, utilities, 'utility, mean of the seeds', path)


def main() -> None:
    """Run the simulations that the command line selects."""
    parser = argparse.ArgumentParser(prog='./run experiment')
    parser.add_argument('loads', nargs='*', help='all if none is named')
    parser.add_argument('--variant', action='append', default=[])
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--plot')
    options = parser.parse_args()
    results = run_all(
        options.loads or load_module.workloads.names,
        select_variants(options.variant),
        options.seeds,
    )
    print(format_table(results))
    if options.plot:
        draw_chart(results, options.plot)


if __name__ == '__main__':
    main()
