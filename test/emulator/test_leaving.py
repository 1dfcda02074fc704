"""Test upstreams that announce their shutdown in their responses."""

from test.emulator import base

# An upstream that leaves receives nothing new later than this.
DRAIN_S = 2.0


class LeavingTest(base.DeploymentTestCase):
    """The store does not tell of the shutdown."""

    def runs_at(self, upstream: str) -> int:
        """Return how many runs an upstream has started."""
        return len(self.deployment.recorder.runs_at(upstream))

    def test_plain_service_without_the_store(self) -> None:
        """Each instance sends it nothing after its first such response."""
        leaving, other = self.deployment.plain_services
        # All instances prefer the faster one.
        other.slow_factor = 8
        self.send_lookups(24, 'warm')
        warm = self.runs_at(leaving.id)
        self.assertGreater(warm, 12)
        self.deployment.store.faults.outage = 'busy'
        leaving.announces_leaving = True
        self.send_lookups(24, 'first')
        before = self.runs_at(leaving.id)
        self.assertLessEqual(before - warm, len(self.deployment.instances))
        self.send_lookups(24, 'second')
        self.assertEqual(before, self.runs_at(leaving.id))

    def test_sampler_during_a_batch(self) -> None:
        """Its runs end; it gets no new ones, and the batch completes."""
        self.slow_down(4)
        batch = self.new_batch(groups=12, size=4)
        self.submit(batch)
        self.wait_for_results(batch, 2)
        leaving = self.deployment.samplers[0]
        leaving.announces_leaving = True
        # Until its next response, the head of a new run.
        self.run_for(DRAIN_S)
        before = self.runs_at(leaving.id)
        self.read_and_check(batch)
        self.submit_and_check_another()
        self.assertEqual(before, self.runs_at(leaving.id))

    def submit_and_check_another(self) -> None:
        """Complete a second batch."""
        batch = self.new_batch(groups=2)
        self.submit(batch)
        self.read_and_check(batch)
