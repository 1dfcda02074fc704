"""Base class of the tests on the emulated platform."""

import time
import unittest

from standins.emulator import clients
from standins.emulator import deployment as deployment_module
from standins.emulator import lookups
from standins.emulator import upstream as upstream_module

READ_TIMEOUT_S = 25.0


class DeploymentTestCase(unittest.TestCase):
    """Run each test on an emulated deployment of its own."""

    INSTANCES = 3
    SAMPLERS = 3
    CHECKS_FENCE = True
    PLAIN_SERVICES = 2
    # Whether instances can be cut off from the upstreams.
    HAS_LINKS = False
    # Interval of the heartbeats of upstreams.
    HEARTBEAT_S = upstream_module.HEARTBEAT_INTERVAL_S

    def setUp(self) -> None:
        """Start the deployment."""
        self.deployment = deployment_module.Deployment(
            heartbeat_s=self.HEARTBEAT_S
        )
        self.addCleanup(self.deployment.__exit__)
        self.prepare(self.deployment)
        self.deployment.start(
            self.INSTANCES,
            self.SAMPLERS,
            self.CHECKS_FENCE,
            self.PLAIN_SERVICES,
            self.HAS_LINKS,
        )
        self.trainer = self.deployment.trainer()
        self.client = clients.Client()

    def prepare(self, deployment: deployment_module.Deployment) -> None:
        """Change a deployment before it is started."""

    def new_batch(
        self,
        step: int = 0,
        min_version: int = 1,
        groups: int = 4,
        size: int = 4,
        reward_path: str = '',
    ) -> clients.Batch:
        """Return a batch that is not yet submitted."""
        return clients.Batch(
            deployment_module.MODEL,
            step,
            min_version,
            groups,
            size,
            reward_path,
        )

    def submit(self, batch: clients.Batch) -> None:
        """Submit a batch and check that it is accepted."""
        self.assertEqual(202, self.trainer.submit(batch).status)

    def wait_for_results(self, batch: clients.Batch, count: int) -> None:
        """Read until a number of results are in."""
        deployment_module.wait_for(
            lambda: (
                self.trainer.read_from(batch, len(batch.results)).status == 200
                and len(batch.results) >= count
            )
        )

    def read_and_check(self, batch: clients.Batch) -> None:
        """Read all results and check them against the recorded runs."""
        self.trainer.addresses = self.deployment.addresses()
        is_complete = self.trainer.read_all(batch, READ_TIMEOUT_S)
        self.assertTrue(
            is_complete, f'{len(batch.results)} of {len(batch.items)} results'
        )
        self.check_results(batch)

    def check_results(self, batch: clients.Batch) -> None:
        """Check that all instances return the same, correct results."""
        for instance in self.deployment.live_instances():
            self.wait_for_same_results(batch, instance)
        self.assertEqual(
            [], clients.find_wrong_results(batch, self.deployment.recorder)
        )

    def wait_for_same_results(
        self, batch: clients.Batch, instance: deployment_module.Instance
    ) -> None:
        """Wait until an instance returns as many results as are known."""
        count = len(batch.results)
        deployment_module.wait_for(
            lambda: self.count_results(batch, instance) >= count
        )

    def count_results(
        self, batch: clients.Batch, instance: deployment_module.Instance
    ) -> int:
        """Return how many results an instance returns; -1 on failure."""
        response = self.trainer.read_from(batch, 0, instance.address)
        return (
            len(response.json()['results']) if response.status == 200 else -1
        )

    def slow_down(self, factor: float) -> None:
        """Multiply the time per event of all samplers."""
        for sampler in self.deployment.samplers:
            sampler.slow_factor = factor

    def send_request(
        self, target: str, request_id: str, body: bytes = b'x', **headers: str
    ) -> clients.Response:
        """Send one plain or stream request to the first live instance."""
        return self.client.send(
            self.deployment.addresses()[0],
            'POST',
            target,
            {
                'Host': deployment_module.HOST,
                'X-Request-Id': request_id,
                'X-Deadline-Ms': '3000',
                **{n.replace('_', '-'): v for n, v in headers.items()},
            },
            body,
        )

    def send_lookups(self, count: int, name: str) -> None:
        """Send lookups to all instances in turn; all must be served."""
        addresses = self.deployment.addresses()
        for number in range(count):
            address = addresses[number % len(addresses)]
            response = lookups.send(self.client, address, f'{name}-{number}')
            self.assertEqual(200, response.status)

    def run_for(self, seconds: float) -> None:
        """Wait while the deployment runs."""
        time.sleep(seconds)
