"""Share what the tests on the emulated platform need."""

import time
import unittest

from standins.emulator import clients
from standins.emulator import deployment as deployment_module

READ_TIMEOUT_S = 25.0


class DeploymentTestCase(unittest.TestCase):
    """Run each test on an emulated deployment of its own."""

    INSTANCES = 3
    SAMPLERS = 3
    CHECKS_FENCE = True

    def setUp(self) -> None:
        """Start the deployment."""
        self.deployment = deployment_module.Deployment()
        self.addCleanup(self.deployment.__exit__)
        self.deployment.start(self.INSTANCES, self.SAMPLERS, self.CHECKS_FENCE)
        self.trainer = self.deployment.trainer()
        self.client = clients.Client()

    def batch(
        self,
        step: int = 0,
        min_version: int = 1,
        groups: int = 4,
        size: int = 4,
    ) -> clients.Batch:
        """Return a batch that was not submitted yet."""
        return clients.Batch(
            deployment_module.MODEL, step, min_version, groups, size
        )

    def submit(self, batch: clients.Batch) -> None:
        """Submit a batch and check that it is accepted."""
        self.assertEqual(202, self.trainer.submit(batch).status)

    def wait_some(self, batch: clients.Batch, count: int) -> None:
        """Read until some results are there."""
        deployment_module.wait_for(
            lambda: (
                self.trainer.read(batch, len(batch.read)).status == 200
                and len(batch.read) >= count
            )
        )

    def finish(self, batch: clients.Batch) -> None:
        """Read all results and check them against the runs."""
        self.trainer.addresses = self.deployment.addresses()
        whole = self.trainer.read_all(batch, READ_TIMEOUT_S)
        self.assertTrue(
            whole, f'{len(batch.read)} of {len(batch.items)} results'
        )
        self.check(batch)

    def check(self, batch: clients.Batch) -> None:
        """Check that every instance tells the same, true results."""
        for instance in self.deployment.live():
            self.wait_same(batch, instance)
        self.assertEqual(
            [], clients.wrong_results(batch, self.deployment.ledger)
        )

    def wait_same(
        self, batch: clients.Batch, instance: deployment_module.Instance
    ) -> None:
        """Read a batch from the start at one instance."""
        known = len(batch.read)
        deployment_module.wait_for(
            lambda: self.read_from_start(batch, instance) >= known
        )

    def read_from_start(
        self, batch: clients.Batch, instance: deployment_module.Instance
    ) -> int:
        """Return how many results an instance tells."""
        reply = self.trainer.read(batch, 0, instance.address)
        return len(reply.json()['results']) if reply.status == 200 else -1

    def slow_down(self, factor: float) -> None:
        """Let all samplers make events slowly."""
        for sampler in self.deployment.samplers:
            sampler.slow_factor = factor

    def order(
        self, target: str, request: str, body: bytes = b'x', **headers: str
    ) -> clients.Reply:
        """Send one ordinary request to the first live instance."""
        return self.client.send(
            self.deployment.addresses()[0],
            'POST',
            target,
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request,
                'X-Deadline-Ms': '3000',
                **{n.replace('_', '-'): v for n, v in headers.items()},
            },
            body,
        )

    def pause_s(self, seconds: float) -> None:
        """Wait while the deployment runs."""
        time.sleep(seconds)
