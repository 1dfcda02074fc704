"""Measure the check of a caller's key, without a network."""

import argparse
import collections.abc
import random
import time

from baobabpond.accounts import decision
from baobabpond.accounts import gate as gate_module
from baobabpond.accounts import lookup
from baobabpond.catalogue import current as current_module
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from measure import registry

CHECKS = 20_000
KEYS_PER_ACCOUNT = 2
# Numbers of accounts; None for a deployment without accounts.
SIZES = (None, 10, 1_000, 100_000)
US_PER_S = 1e6
ROUTE = catalogue.Route(
    name='r',
    host='h',
    prefix='/',
    kind=catalogue.RouteKind.IDEMPOTENT,
    shares=(catalogue.ServiceWeight('s', 1.0),),
    timeout_s=2.0,
    target_latency_s=0.1,
    priority=0,
    max_attempts=1,
    resumable=False,
    single_version=False,
    due_s=1.0,
    give_up_after_s=60.0,
)


def make_accounts(size: int | None) -> catalogue.Accounts | None:
    """Return a number of accounts with keys of their own."""
    if size is None:
        return None
    return lookup.index(
        lookup.create(
            f'account-{number}',
            [f'key-{number}-{each}' for each in range(KEYS_PER_ACCOUNT)],
            None,
        )
        for number in range(size)
    )


class NoDecoder:
    """Stand in for the decoder of a configuration that never changes."""


def make_gate(accounts: catalogue.Accounts | None) -> gate_module.Gate:
    """Return a gate whose configuration is confirmed and has one route."""
    current = current_module.CurrentConfiguration(NoDecoder())
    current.apply_if_newer(
        catalogue.Configuration(1, (ROUTE,), {}, catalogue.Limits(), accounts)
    )
    return gate_module.Gate(
        current,
        staleness_s=lambda: 0.5,
        is_public_batch=lambda call: False,
        limits=decision.Limits(unknown_staleness_s=2.5, key_staleness_s=4.5),
        metrics=metrics.Metrics(),
    )


@registry.measurements.register('accounts')
def measure(
    options: argparse.Namespace,
) -> collections.abc.Iterator[registry.Row]:
    """Yield the processor time of a check, by number of accounts."""
    for seed in options.seed:
        rng = random.Random(seed)
        for size in SIZES:
            started = time.process_time()
            accounts = make_accounts(size)
            indexed_s = time.process_time() - started
            gate = make_gate(accounts)
            calls = [
                callers.Call(
                    callers.CallKind.REQUEST,
                    f'r{number}',
                    'h',
                    '/a',
                    None,
                    key=f'key-{rng.randrange(size or 1)}-0',
                )
                for number in range(CHECKS)
            ]
            started = time.process_time()
            for call in calls:
                gate.admit(call)
            checked_s = time.process_time() - started
            yield {
                'variant': 'no accounts' if size is None else f'{size}',
                'check_us': round(checked_s / CHECKS * US_PER_S, 3),
                'index_s': round(indexed_s, 4),
            }
