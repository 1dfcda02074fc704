"""Test that weights reach the upstreams, and that labels tell the truth."""

import itertools

from standins.emulator import deployment as deployment_module

from . import base

LEASE_S = 1.5
# The users want new weights on all samplers by then.
EVERYWHERE_S = 34.0


class WeightsTest(base.DeploymentTestCase):
    """Announce versions while batches run."""

    def versions(self) -> list[int]:
        """Return the versions that the samplers hold."""
        return [
            s.versions[deployment_module.MODEL]
            for s in self.deployment.samplers
        ]

    def announce(self, version: int) -> None:
        """Announce a version."""
        self.deployment.operator.name_version(deployment_module.MODEL, version)

    def test_steps_follow_their_versions(self) -> None:
        """Each step is made by versions that it allows, and says which."""
        self.slow_down(3)
        for step in range(1, 5):
            if step > 1:
                self.announce(step)
            batch = self.batch(step, min_version=max(1, step - 1))
            self.submit(batch)
            self.finish(batch)
        deployment_module.wait_for(
            lambda: min(self.versions()) == 4, EVERYWHERE_S
        )

    def test_step_waits_for_its_version(self) -> None:
        """A batch that allows no lag runs once the weights are there."""
        self.announce(2)
        batch = self.batch(1, min_version=2)
        self.submit(batch)
        self.finish(batch)
        made = {v for r in batch.read.values() for v in r['versions']}
        self.assertEqual({2}, made)

    def test_late_order_does_not_undo_a_newer_one(self) -> None:
        """Versions of a sampler never go back."""
        for sampler in self.deployment.samplers:
            sampler.orders_late_s = 1.5
        self.announce(2)
        self.pause_s(1.0)
        for sampler in self.deployment.samplers:
            sampler.orders_late_s = None
        self.announce(3)
        deployment_module.wait_for(lambda: min(self.versions()) == 3, 15)
        self.pause_s(2.0)
        self.assertEqual(3, min(self.versions()))


class HolderTest(base.DeploymentTestCase):
    """Give orders to samplers that ignore fences."""

    CHECKS_FENCE = False

    def test_holders_do_not_take_turns_within_the_lease(self) -> None:
        """A new owner waits before its first order."""
        self.deployment.operator.name_version(deployment_module.MODEL, 2)
        deployment_module.wait_for(lambda: bool(self.deployment.ledger.orders))
        owner = self.deployment.owner()
        assert owner is not None
        owner.pause()
        self.pause_s(2.5)
        self.deployment.operator.name_version(deployment_module.MODEL, 3)
        owner.resume()
        self.wait_version(3)
        self.check_turns()
        self.check_announced()

    def test_owner_killed_right_after_an_order(self) -> None:
        """The next owner waits for the lease, though it takes over sooner."""
        self.deployment.operator.name_version(deployment_module.MODEL, 2)
        deployment_module.wait_for(lambda: bool(self.deployment.ledger.orders))
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.deployment.operator.name_version(deployment_module.MODEL, 3)
        self.wait_version(3)
        self.check_turns()
        self.check_announced()

    def wait_version(self, version: int) -> None:
        """Wait until all samplers hold a version."""
        deployment_module.wait_for(
            lambda: all(
                s.versions[deployment_module.MODEL] == version
                for s in self.deployment.samplers
            ),
            EVERYWHERE_S,
        )

    def check_turns(self) -> None:
        """Check that holders do not take turns within the lease."""
        orders = sorted(self.deployment.ledger.orders)
        for first, second in itertools.product(orders, orders):
            if first.upstream != second.upstream:
                continue
            if 0 < second.at - first.at < LEASE_S:
                self.assertEqual(first.holder, second.holder)
        holders: dict[int, str] = {}
        for order in orders:
            holder = holders.setdefault(order.fence, order.holder)
            self.assertEqual(holder, order.holder)

    def check_announced(self) -> None:
        """Check that each order was announced on the log before it came."""
        for order in self.deployment.ledger.orders:
            self.assertEqual(order.holder, order.announced_by)
