"""Test weight updates of the upstreams and the version labels."""

import itertools

from standins.emulator import deployment as deployment_module

from . import base

LEASE_S = 1.5
# The users require new weights on all samplers within this time.
WEIGHT_UPDATE_TIMEOUT_S = 34.0


class WeightsTest(base.DeploymentTestCase):
    """Announce weight versions while batches run."""

    def versions(self) -> list[int]:
        """Return the weight versions that the samplers have loaded."""
        return [
            s.versions[deployment_module.MODEL]
            for s in self.deployment.samplers
        ]

    def announce(self, version: int) -> None:
        """Announce a weight version."""
        self.deployment.operator.announce_version(
            deployment_module.MODEL, version
        )

    def test_steps_use_only_allowed_versions(self) -> None:
        """Each result names its versions, none below the minimum."""
        self.slow_down(3)
        for step in range(1, 5):
            if step > 1:
                self.announce(step)
            batch = self.new_batch(step, min_version=max(1, step - 1))
            self.submit(batch)
            self.read_and_check(batch)
        deployment_module.wait_for(
            lambda: min(self.versions()) == 4, WEIGHT_UPDATE_TIMEOUT_S
        )

    def test_step_waits_for_its_min_version(self) -> None:
        """A batch that allows no lag runs only on the new weights."""
        self.announce(2)
        batch = self.new_batch(1, min_version=2)
        self.submit(batch)
        self.read_and_check(batch)
        produced_versions = {
            v for r in batch.results.values() for v in r['versions']
        }
        self.assertEqual({2}, produced_versions)

    def test_delayed_order_does_not_revert_a_newer_one(self) -> None:
        """The version of a sampler never decreases."""
        for sampler in self.deployment.samplers:
            sampler.order_delay_s = 1.5
        self.announce(2)
        self.run_for(1.0)
        for sampler in self.deployment.samplers:
            sampler.order_delay_s = None
        self.announce(3)
        deployment_module.wait_for(lambda: min(self.versions()) == 3, 15)
        self.run_for(2.0)
        self.assertEqual(3, min(self.versions()))


class LeaseHolderTest(base.DeploymentTestCase):
    """Send orders to samplers that ignore fencing tokens."""

    CHECKS_FENCE = False

    def test_holders_do_not_alternate_within_lease(self) -> None:
        """A new owner sends no order within the lease of the former one."""
        self.deployment.operator.announce_version(deployment_module.MODEL, 2)
        deployment_module.wait_for(
            lambda: bool(self.deployment.recorder.orders)
        )
        owner = self.deployment.owner()
        assert owner is not None
        owner.pause()
        self.run_for(2.5)
        self.deployment.operator.announce_version(deployment_module.MODEL, 3)
        owner.resume()
        self.wait_for_version(3)
        self.check_one_holder_per_lease()
        self.check_intents_precede_orders()

    def test_next_owner_waits_for_lease_of_killed_owner(self) -> None:
        """The next owner takes over first, and waits for the lease to end."""
        self.deployment.operator.announce_version(deployment_module.MODEL, 2)
        deployment_module.wait_for(
            lambda: bool(self.deployment.recorder.orders)
        )
        owner = self.deployment.owner()
        assert owner is not None
        owner.kill()
        self.deployment.operator.announce_version(deployment_module.MODEL, 3)
        self.wait_for_version(3)
        self.check_one_holder_per_lease()
        self.check_intents_precede_orders()

    def wait_for_version(self, version: int) -> None:
        """Wait until all samplers have loaded a version."""
        deployment_module.wait_for(
            lambda: all(
                s.versions[deployment_module.MODEL] == version
                for s in self.deployment.samplers
            ),
            WEIGHT_UPDATE_TIMEOUT_S,
        )

    def check_one_holder_per_lease(self) -> None:
        """Check for one holder per upstream and lease, and per token."""
        orders = sorted(self.deployment.recorder.orders)
        for first, second in itertools.product(orders, orders):
            if first.upstream != second.upstream:
                continue
            if 0 < second.received_at - first.received_at < LEASE_S:
                self.assertEqual(first.holder, second.holder)
        holders: dict[int, str] = {}
        for order in orders:
            holder = holders.setdefault(order.fencing_token, order.holder)
            self.assertEqual(holder, order.holder)

    def check_intents_precede_orders(self) -> None:
        """Check that the log had the intent of each order on its arrival."""
        for order in self.deployment.recorder.orders:
            self.assertEqual(order.holder, order.intent_holder)
