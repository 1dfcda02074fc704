"""Share what the tests on the emulated platform need."""

import time
import unittest

from standins.emulator import clients
from standins.emulator import world as world_module

READ_TIMEOUT_S = 25.0


class WorldCase(unittest.TestCase):
    """Run a test in a world of its own."""

    INSTANCES = 3
    SAMPLERS = 3
    CHECKS_FENCE = True

    def setUp(self) -> None:
        """Start the world."""
        self.world = world_module.World()
        self.addCleanup(self.world.__exit__)
        self.world.start(self.INSTANCES, self.SAMPLERS, self.CHECKS_FENCE)
        self.trainer = self.world.trainer()
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
            world_module.MODEL, step, min_version, groups, size
        )

    def submit(self, batch: clients.Batch) -> None:
        """Submit a batch and check that it is accepted."""
        self.assertEqual(202, self.trainer.submit(batch).status)

    def wait_some(self, batch: clients.Batch, count: int) -> None:
        """Read until some results are there."""
        world_module.wait_for(
            lambda: (
                self.trainer.read(batch, len(batch.read)).status == 200
                and len(batch.read) >= count
            )
        )

    def finish(self, batch: clients.Batch) -> None:
        """Read all results and check them against the runs."""
        self.trainer.addresses = self.world.addresses()
        whole = self.trainer.read_all(batch, READ_TIMEOUT_S)
        self.assertTrue(
            whole, f'{len(batch.read)} of {len(batch.items)} results'
        )
        self.check(batch)

    def check(self, batch: clients.Batch) -> None:
        """Check that every instance tells the same, true results."""
        for instance in self.world.live():
            self.wait_same(batch, instance)
        self.assertEqual([], clients.wrong_results(batch, self.world.ledger))

    def wait_same(
        self, batch: clients.Batch, instance: world_module.Instance
    ) -> None:
        """Read a batch from the start at one instance."""
        known = len(batch.read)
        world_module.wait_for(
            lambda: self.read_from_start(batch, instance) >= known
        )

    def read_from_start(
        self, batch: clients.Batch, instance: world_module.Instance
    ) -> int:
        """Return how many results an instance tells."""
        reply = self.trainer.read(batch, 0, instance.address)
        return len(reply.json()['results']) if reply.status == 200 else -1

    def slow_down(self, factor: float) -> None:
        """Let all samplers make events slowly."""
        for sampler in self.world.samplers:
            sampler.slow_factor = factor

    def order(
        self, target: str, request: str, body: bytes = b'x', **headers: str
    ) -> clients.Reply:
        """Send one ordinary request to the first live instance."""
        return self.client.send(
            self.world.addresses()[0],
            'POST',
            target,
            {
                'Host': world_module.HOST,
                'X-Request-Id': request,
                'X-Deadline-Ms': '3000',
                **{n.replace('_', '-'): v for n, v in headers.items()},
            },
            body,
        )

    def pause_s(self, seconds: float) -> None:
        """Let the world run."""
        time.sleep(seconds)
