"""Run the whole path on the emulated platform and check what arrives."""

import argparse
import sys
import threading
import time
import typing

from . import clients
from . import deployment as deployment_module
from . import upstream as upstream_module

STEPS = 5
GROUPS = 6
GROUP_SIZE = 4
LOOKUP_PAUSE_S = 0.05
READ_TIMEOUT_S = 30.0


class Lookups:
    """Send lookups to all instances until stopped."""

    def __init__(self, deployment: deployment_module.Deployment) -> None:
        self._world = deployment
        self._stopped = threading.Event()
        self._task = threading.Thread(target=self._run)
        self.sent = 0
        self.problems: list[str] = []

    def start(self) -> None:
        """Send in a task of its own."""
        self._task.start()

    def stop(self) -> None:
        """Stop and wait for the last answer."""
        self._stopped.set()
        self._task.join()

    def _run(self) -> None:
        client = clients.Client()
        while not self._stopped.wait(LOOKUP_PAUSE_S):
            addresses = self._world.addresses()
            request = f'lookup-{self.sent}'
            reply = client.send(
                addresses[self.sent % len(addresses)],
                'POST',
                deployment_module.LOOKUPS + request,
                {
                    'Host': deployment_module.HOST,
                    'X-Request-Id': request,
                    'X-Deadline-Ms': '2000',
                },
                b'order',
            )
            self.sent += 1
            expected = upstream_module.answer_to(request, b'order')
            if reply.status == 200 and reply.body != expected:
                self.problems.append(f'{request}: wrong answer')


def run_steps(
    deployment: deployment_module.Deployment, kill_at: int
) -> list[str]:
    """Train some steps, losing the owner at one of them."""
    problems: list[str] = []
    trainer = deployment.trainer()
    for step in range(1, STEPS + 1):
        if step > 1:
            deployment.operator.name_version(deployment_module.MODEL, step)
        batch = clients.Batch(
            deployment_module.MODEL, step, max(1, step - 1), GROUPS, GROUP_SIZE
        )
        started = time.monotonic()
        status = trainer.submit(batch).status
        if step == kill_at:
            owner = deployment.owner()
            if owner is not None:
                owner.kill()
                print(f'  {owner.name}, the owner, is killed')
            trainer.addresses = deployment.addresses()
        is_whole = trainer.read_all(batch, READ_TIMEOUT_S)
        took_s = time.monotonic() - started
        versions = {v for r in batch.read.values() for v in r['versions']}
        print(
            f'  step {step}: {status}, {len(batch.read)} of '
            f'{len(batch.items)} samples in {took_s:.1f} s, '
            f'made by versions {sorted(versions)}'
        )
        if not is_whole:
            problems.append(f'step {step} is not whole')
        problems += clients.wrong_results(batch, deployment.ledger)
        trainer.end(batch)
    return problems


def main(arguments: typing.Sequence[str] | None = None) -> None:
    """Run the demo and exit with 1 if anything was wrong."""
    parser = argparse.ArgumentParser()
    parser.add_argument('--seed', type=int, default=1)
    options = parser.parse_args(arguments)
    with deployment_module.Deployment(options.seed) as deployment:
        deployment.start(instances=3, samplers=4)
        print('3 instances, 4 samplers, 2 plain services on loopback')
        lookups = Lookups(deployment)
        lookups.start()
        problems = run_steps(deployment, kill_at=3)
        lookups.stop()
        problems += lookups.problems
        print(f'  {lookups.sent} lookups beside')
    print('all samples whole and truthfully labelled' if not problems else '')
    for problem in problems:
        print(f'problem: {problem}')
    sys.exit(1 if problems else 0)


if __name__ == '__main__':
    main()
