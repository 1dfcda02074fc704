"""Bring about three failures and print what the logs say of them.

docs/OPERATIONS.md follows these lines from the request to the cause.
"""

import json
import time
import typing

from . import clients
from . import world as world_module

HIDDEN = ('timestamp', 'level')


def show(
    world: world_module.World, title: str, words: typing.Sequence[str]
) -> None:
    """Print the log lines that hold one of some words."""
    print(f'\n## {title}')
    lines = [
        (line['timestamp'], line)
        for instance in world.instances
        for line in instance.lines()
        if any(word in json.dumps(line) for word in words)
    ]
    for _, line in sorted(lines, key=lambda pair: pair[0]):
        kept = {k: v for k, v in line.items() if k not in HIDDEN}
        print(json.dumps(kept))


def order(
    world: world_module.World, target: str, request: str, model: str = ''
) -> clients.Reply:
    """Send one request to the first instance."""
    headers = {
        'Host': world_module.HOST,
        'X-Request-Id': request,
        'X-Deadline-Ms': '3000',
    }
    if model:
        headers['X-Model'] = model
    return clients.Client().send(
        world.addresses()[0], 'POST', target + 'x', headers, b'x'
    )


def refused_request(world: world_module.World) -> None:
    """Send an entry while all its upstreams are full."""
    for one in world.plain:
        one.fault = 'full'
    reply = order(world, world_module.ENTRIES, 'entry-77')
    show(world, f'entry-77 was answered {reply.status}', ['entry-77'])


def late_batch(world: world_module.World) -> None:
    """Let the store go down while a batch runs."""
    for one in world.samplers:
        one.slow_factor = 4
    trainer = world.trainer()
    batch = clients.Batch(world_module.MODEL, 1, 1, 2, 3)
    trainer.submit(batch)
    world.store.faults.down = 'busy'
    time.sleep(2.5)
    world.store.faults.down = None
    started = time.monotonic()
    trainer.read_all(batch, 20)
    print(f'\nread {time.monotonic() - started:.1f} s after the outage')
    words = [batch.id, 'way to the log', 'append of the owner failed']
    show(world, f'batch {batch.id} came late', words)


def cut_stream(world: world_module.World) -> None:
    """Let every sampler cut a stream."""
    for one in world.samplers:
        one.cut_after = 1
    order(world, world_module.STREAMS, 'draft-12', world_module.MODEL)
    show(world, 'draft-12 was cut', ['draft-12'])


def main() -> None:
    """Bring about the failures one after the other."""
    for failure in (refused_request, late_batch, cut_stream):
        with world_module.World() as world:
            world.start(instances=2, samplers=3)
            failure(world)


if __name__ == '__main__':
    main()
