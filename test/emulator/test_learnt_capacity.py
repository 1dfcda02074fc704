"""Test what the owner learns about samplers of uneven speed."""

from standins.emulator import deployment as deployment_module

from . import base

SLOW_FACTOR = 4.0


class LearntCapacityTest(base.DeploymentTestCase):
    """Run items on samplers of which one is slow."""

    def test_slow_sampler_is_shown(self) -> None:
        """Operators see which upstream is slow; all results are complete.

        The responses have four load figures, which must not be dropped or
        stop a run.
        """
        slow, *others = self.deployment.samplers
        slow.slow_factor = SLOW_FACTOR
        for sampler in self.deployment.samplers:
            sampler.states_slowness = True
        for step in range(3):
            batch = self.new_batch(step=step, groups=8, size=8)
            self.submit(batch)
            self.read_and_check(batch)
        deployment_module.wait_for(
            lambda: self.is_shown_as_slow(slow.id, [o.id for o in others])
        )

    def is_shown_as_slow(self, slow: str, others: list[str]) -> bool:
        """Return whether the gauges of any instance tell the upstreams."""
        for instance in self.deployment.instances:
            gauges = self.deployment.metrics(instance)['gauges']
            shown = [
                gauges.get(f'pool.slowness.{other}', 0.0) for other in others
            ]
            if 0 < 1.5 * max(shown) < gauges.get(f'pool.slowness.{slow}', 0.0):
                return True
        return False
