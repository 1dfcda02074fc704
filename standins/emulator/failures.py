"""Bring about three failures and print what the logs say of them.

docs/OPERATIONS.md follows these lines from the request to the cause.
"""

import json
import time
import typing

from . import clients
from . import deployment as deployment_module

HIDDEN = ('timestamp', 'level')


def show(
    deployment: deployment_module.Deployment,
    title: str,
    words: typing.Sequence[str],
) -> None:
    """Print the log lines that hold one of some words."""
    print(f'\n## {title}')
    lines = [
        (line['timestamp'], line)
        for instance in deployment.instances
        for line in instance.lines()
        if any(word in json.dumps(line) for word in words)
    ]
    for _, line in sorted(lines, key=lambda pair: pair[0]):
        kept = {k: v for k, v in line.items() if k not in HIDDEN}
        print(json.dumps(kept))


def order(
    deployment: deployment_module.Deployment,
    target: str,
    request: str,
    model: str = '',
) -> clients.Reply:
    """Send one request to the first instance."""
    headers = {
        'Host': deployment_module.HOST,
        'X-Request-Id': request,
        'X-Deadline-Ms': '3000',
    }
    if model:
        headers['X-Model'] = model
    return clients.Client().send(
        deployment.addresses()[0], 'POST', target + 'x', headers, b'x'
    )


def refused_request(deployment: deployment_module.Deployment) -> None:
    """Send an entry while all its upstreams are full."""
    for one in deployment.plain:
        one.fault = 'full'
    reply = order(deployment, deployment_module.ENTRIES, 'entry-77')
    show(deployment, f'entry-77 was answered {reply.status}', ['entry-77'])


def late_batch(deployment: deployment_module.Deployment) -> None:
    """Let the store go down while a batch runs."""
    for one in deployment.samplers:
        one.slow_factor = 4
    trainer = deployment.trainer()
    batch = clients.Batch(deployment_module.MODEL, 1, 1, 2, 3)
    trainer.submit(batch)
    deployment.store.faults.down = 'busy'
    time.sleep(2.5)
    deployment.store.faults.down = None
    started = time.monotonic()
    trainer.read_all(batch, 20)
    print(f'\nread {time.monotonic() - started:.1f} s after the outage')
    words = [batch.id, 'way to the log', 'append of the owner failed']
    show(deployment, f'batch {batch.id} came late', words)


def cut_stream(deployment: deployment_module.Deployment) -> None:
    """Let every sampler cut a stream."""
    for one in deployment.samplers:
        one.cut_after = 1
    order(
        deployment,
        deployment_module.STREAMS,
        'draft-12',
        deployment_module.MODEL,
    )
    show(deployment, 'draft-12 was cut', ['draft-12'])


def main() -> None:
    """Bring about the failures one after the other."""
    for failure in (refused_request, late_batch, cut_stream):
        with deployment_module.Deployment() as deployment:
            deployment.start(instances=2, samplers=3)
            failure(deployment)


if __name__ == '__main__':
    main()
