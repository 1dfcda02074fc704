"""Create and close a separate world for each scenario."""

import logging
import os
import sys
import zlib

from scenarios import world

DEFAULT_SEED = 1


def before_all(context):
    """Keep warnings of the HTTP client out of the output of passed steps."""
    logging.getLogger('urllib3.connectionpool').setLevel(logging.ERROR)


def before_scenario(context, scenario):
    """Print the base seed and create the scenario's world."""
    base = int(os.environ.get('SCENARIO_SEED', DEFAULT_SEED))
    seed = base + zlib.crc32(scenario.name.encode()) % 1000
    print(f'seed {base}: {scenario.name}')
    context.world = world.World(seed)


def after_step(context, step):
    """Print a failed step at once, past the output that behave captures."""
    if step.status == 'failed':
        print(
            f'\nFAILED {context.scenario.name}: {step.name}: '
            f'{step.error_message or step.exception!r}'[:1000],
            file=sys.__stderr__,
            flush=True,
        )


def after_scenario(context, scenario):
    """Print the logs of a failed scenario and stop its processes."""
    if scenario.status == 'failed':
        cluster = context.world.cluster
        for name in cluster.instances:
            print(f'--- {name}\n{cluster.log_text(name)[-3000:]}')
    context.world.close()
