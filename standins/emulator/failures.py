"""Cause failures and print the log lines about them.

docs/OPERATIONS.md traces these lines from the request to the cause.
"""

import json
import time
import typing

from . import clients
from . import deployment as deployment_module
from . import upstream as upstream_module

OMITTED_FIELDS = ('timestamp', 'level')


def print_log_lines(
    deployment: deployment_module.Deployment,
    title: str,
    substrings: typing.Sequence[str],
) -> None:
    """Print the log lines of all instances that contain a substring."""
    print(f'\n## {title}')
    lines = [
        (line['timestamp'], line)
        for instance in deployment.instances
        for line in instance.log_entries()
        if any(substring in json.dumps(line) for substring in substrings)
    ]
    for _, line in sorted(lines, key=lambda pair: pair[0]):
        shown = {k: v for k, v in line.items() if k not in OMITTED_FIELDS}
        print(json.dumps(shown))


def send_request(
    deployment: deployment_module.Deployment,
    target: str,
    request_id: str,
    model: str = '',
) -> clients.Response:
    """Send a request to the first live instance."""
    headers = {
        'Host': deployment_module.HOST,
        'X-Request-Id': request_id,
        'X-Deadline-Ms': '3000',
    }
    if model:
        headers['X-Model'] = model
    return clients.Client().send(
        deployment.addresses()[0], 'POST', target + 'x', headers, b'x'
    )


def refused_request(deployment: deployment_module.Deployment) -> None:
    """Send a non-idempotent request while all its upstreams are full."""
    for upstream in deployment.plain_services:
        upstream.fault = 'full'
    response = send_request(deployment, deployment_module.ENTRIES, 'entry-77')
    print_log_lines(
        deployment, f'entry-77 was answered {response.status}', ['entry-77']
    )


def late_batch(deployment: deployment_module.Deployment) -> None:
    """Cause a store outage while a batch runs."""
    for upstream in deployment.samplers:
        upstream.slow_factor = 4
    trainer = deployment.trainer()
    batch = clients.Batch(deployment_module.MODEL, 1, 1, 2, 3)
    trainer.submit(batch)
    deployment.store.faults.outage = 'busy'
    time.sleep(2.5)
    deployment.store.faults.outage = None
    started = time.monotonic()
    trainer.read_all(batch, 20)
    print(f'\nread {time.monotonic() - started:.1f} s after the outage')
    substrings = [batch.id, 'way to the log', 'append of the owner failed']
    print_log_lines(deployment, f'batch {batch.id} came late', substrings)


def cut_stream(deployment: deployment_module.Deployment) -> None:
    """Let every sampler close the connection of a stream."""
    for upstream in deployment.samplers:
        upstream.cut_after_events = 1
    send_request(
        deployment,
        deployment_module.STREAMS,
        'draft-12',
        deployment_module.MODEL,
    )
    print_log_lines(deployment, 'draft-12 was cut', ['draft-12'])


def unscored_result(deployment: deployment_module.Deployment) -> None:
    """Let the service that scores outputs refuse, lose and fail calls."""
    trainer = deployment.trainer()
    batch = clients.Batch(
        deployment_module.MODEL, 1, 1, 1, 1, deployment_module.LOOKUPS
    )
    batch.failing_rewards.add(batch.items[0][0])
    for upstream in deployment.plain_services:
        upstream.fault = 'full'
    trainer.submit(batch)
    time.sleep(0.5)
    deployment.plain_services[0].fault = 'answer_lost'
    time.sleep(1.0)
    for upstream in deployment.plain_services:
        upstream.fault = None
    trainer.read_all(batch, 20)
    print_log_lines(
        deployment, f'{batch.items[0][0]} was not scored', [batch.id]
    )


def crashing_request(deployment: deployment_module.Deployment) -> None:
    """Send a request that ends upstreams again and again."""
    for number in range(6):
        clients.Client().send(
            deployment.addresses()[number % 2],
            'POST',
            deployment_module.LOOKUPS + 'x',
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': f'lookup-{number}',
                'X-Deadline-Ms': '2000',
            },
            upstream_module.CRASHING_BODY,
        )
        time.sleep(deployment_module.RESTART_S)
    print_log_lines(deployment, 'lookup-5 was refused', ['lookup-'])


def limited_request(deployment: deployment_module.Deployment) -> None:
    """Send more requests than all upstreams state they take."""
    for upstream in deployment.plain_services:
        upstream.request_limit = '0.5'
    refused = ''
    for number in range(40):
        request_id = f'order-{number}'
        response = send_request(
            deployment, deployment_module.LOOKUPS, request_id
        )
        if response.status == 503 and number > 20:
            refused = request_id
        time.sleep(0.05)
    print_log_lines(
        deployment, f'{refused} was refused', [f'"{refused}"', 'limit of an']
    )


def main() -> None:
    """Cause each failure on a deployment of its own."""
    for failure in (
        refused_request,
        late_batch,
        cut_stream,
        unscored_result,
        crashing_request,
        limited_request,
    ):
        with deployment_module.Deployment() as deployment:
            deployment.start(instances=2, samplers=3)
            failure(deployment)


if __name__ == '__main__':
    main()
