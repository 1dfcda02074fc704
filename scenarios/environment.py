"""Give each scenario a world of its own."""

import os
import zlib

from scenarios import world

DEFAULT_SEED = 1


def before_scenario(context, scenario):
    """Print the seed and make the world."""
    base = int(os.environ.get('SCENARIO_SEED', DEFAULT_SEED))
    seed = base + zlib.crc32(scenario.name.encode()) % 1000
    print(f'seed {base}: {scenario.name}')
    context.world = world.World(seed)


def after_scenario(context, scenario):
    """End every process, and show the logs of a failed scenario."""
    if scenario.status == 'failed':
        cluster = context.world.cluster
        for name in cluster.instances:
            print(f'--- {name}\n{cluster.log_text(name)[-3000:]}')
    context.world.close()
