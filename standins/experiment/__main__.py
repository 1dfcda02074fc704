"""Play loads with several policies and seeds side by side."""

import argparse
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


class Played(typing.NamedTuple):
    """Hold the outcomes of one variant on one load, by seed."""

    load: str
    variant: str
    outcomes: list[simulation.Outcome]


def variants(named: list[str]) -> dict[str, policies_module.Policies]:
    """Return the product, each decision's baseline alone, and what is named.

    A name looks like rescue=never or order=baseline,weights=baseline.
    """
    product = policies_module.Policies()
    found = {'product': product}
    names = named or [
        *(f'{kind}={policies_module.BASELINE}' for kind in product._fields),
        ','.join(f'{k}={policies_module.BASELINE}' for k in product._fields),
    ]
    for name in names:
        changes = dict(part.split('=', 1) for part in name.split(','))
        label = 'all baselines' if len(changes) == len(product) else name
        found[label] = product._replace(**changes)
    return found


def _be_quiet() -> None:
    """Log nothing below a warning in a worker."""
    structlog.configure(
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING),
        cache_logger_on_first_use=False,
    )


def _play(
    load: str, policies: policies_module.Policies, seed: int
) -> simulation.Outcome:
    return simulation.play(load_module.loads.get(load), policies, seed)


def play_all(
    loads: list[str],
    chosen: dict[str, policies_module.Policies],
    seeds: int,
    workers: int = WORKERS,
) -> list[Played]:
    """Play each load with each variant and each seed."""
    played = []
    with concurrent.futures.ProcessPoolExecutor(
        workers, initializer=_be_quiet
    ) as executor:
        futures = {
            (load, variant): [
                executor.submit(_play, load, policies, seed)
                for seed in range(1, seeds + 1)
            ]
            for load in loads
            for variant, policies in chosen.items()
        }
        for (load, variant), waiting in futures.items():
            outcomes = [future.result() for future in waiting]
            played.append(Played(load, variant, outcomes))
    return played


def table(played: list[Played]) -> str:
    """Return a row a load and variant: worth, moves and loads."""
    form = '{:<14} {:<20} {:>6} {:>6} {:>6} {:>7} {:>6} {:>6}'
    heads = ('load', 'variant', 'mean', 'least', 'most', 'trainer')
    lines = [form.format(*heads, 'moves', 'loads')]
    for one in played:
        worths = [outcome.worth for outcome in one.outcomes]
        lines.append(
            form.format(
                one.load,
                one.variant,
                f'{statistics.mean(worths):.3f}',
                f'{min(worths):.3f}',
                f'{max(worths):.3f}',
                f'{min(o.least_worth for o in one.outcomes):.3f}',
                round(statistics.mean(o.moves for o in one.outcomes)),
                round(statistics.mean(o.loads for o in one.outcomes)),
            )
        )
    return '\n'.join(lines)


def draw(played: list[Played], path: str) -> None:
    """Draw the mean worth of each variant, load by load, as SVG."""
    from baobabpond.reports import plots

    names = list(dict.fromkeys(one.load for one in played))
    labels = list(dict.fromkeys(one.variant for one in played))
    worths = {
        label: [
            statistics.mean(o.worth for o in one.outcomes)
            for one in played
            if one.variant == label
        ]
        for label in labels
    }
    plots.draw_bars(names, worths, 'worth, mean of the seeds', path)


def main() -> None:
    """Run what the command line names."""
    parser = argparse.ArgumentParser(prog='./run experiment')
    parser.add_argument('loads', nargs='*', help='all if none is named')
    parser.add_argument('--variant', action='append', default=[])
    parser.add_argument('--seeds', type=int, default=SEEDS)
    parser.add_argument('--plot')
    options = parser.parse_args()
    played = play_all(
        options.loads or load_module.loads.names,
        variants(options.variant),
        options.seeds,
    )
    print(table(played))
    if options.plot:
        draw(played, options.plot)


if __name__ == '__main__':
    main()
