"""Test which upstream serves a request if some state limits."""

import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond.crashes import detector
from baobabpond.crashes import guard as guard_module
from baobabpond.crashes import registry
from baobabpond.crashes import sharing
from baobabpond.crashes import unresolved
from baobabpond.edge import placer as placer_module
from baobabpond import metrics
from baobabpond.ratelimits import bucket as bucket_module
from baobabpond.ratelimits import permits as permits_module
from baobabpond.upstreams import load_balancer
from test.ratelimits import examples

CALLER = bucket_module.caller_urgency(0)


class PlacerTest(unittest.TestCase):
    """Place requests on three upstreams with four slots each."""

    def setUp(self) -> None:
        """Create a placer at the owner of the shard."""
        self.instance = examples.Instance(examples.OWNER)
        self.entries = [examples.entry(name) for name in 'abc']
        directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        directory.usable.side_effect = lambda service: list(self.entries)
        self.balancer = load_balancer.LoadBalancer()
        guard = guard_module.CrashGuard(
            registry.CrashRegistry(),
            mock.create_autospec(sharing.CrashSharing, instance=True),
            mock.create_autospec(detector.CrashDetector, instance=True),
            unresolved.UnresolvedAttempts(),
            self.balancer,
            metrics.Metrics(),
        )
        self.placer = placer_module.Placer(
            directory, guard, self.balancer, self.instance.permits
        )

    def place(
        self, urgency: bucket_module.Urgency = CALLER, *tried: str
    ) -> str | None:
        """Return where a request is placed, or None."""
        placed = self.placer.place(
            placer_module.PlacementRequest(
                'digest', 'orders', set(tried), 1.0, urgency
            )
        )
        return placed.placement.entry.id if placed else None

    def place_many(self, count: int) -> list[str | None]:
        """Return where requests are placed that all run at once."""
        return [self.place() for _ in range(count)]

    def test_unlimited_upstreams_come_first(self) -> None:
        """As long as they have free slots."""
        self.instance.state_limit(5.0, 'a')
        placed = self.place_many(8)
        self.assertEqual({'b', 'c'}, set(placed))
        self.assertEqual('a', self.place())

    def test_full_upstreams_are_used_if_no_permit_is_left(self) -> None:
        """A queue there is better than a refusal."""
        self.instance.state_limit(0.1, 'a')
        placed = self.place_many(12)
        self.assertLessEqual(placed.count('a'), 3)
        self.assertNotIn(None, placed)

    def test_refused_if_all_are_limited(self) -> None:
        """With the shortest delay, and nothing is counted as in flight."""
        self.instance.state_limit(0.1, 'a')
        self.instance.state_limit(1.0, 'b')
        self.instance.state_limit(0.1, 'c')
        for _ in range(3):
            try:
                self.place()
            except permits_module.RateLimited:
                break
        with self.assertRaises(permits_module.RateLimited) as raised:
            self.place()
        self.assertLess(raised.exception.retry_s, 3.0)
        self.entries = [examples.entry(name) for name in 'abc']
        for entry in self.entries:
            self.assertTrue(self.balancer.has_free_slot(entry))

    def test_upstreams_tried_before_are_not_tried_again(self) -> None:
        """Whether they state limits or not."""
        self.instance.state_limit(5.0, 'a')
        self.assertEqual('c', self.place(CALLER, 'a', 'b'))
        self.assertIsNone(self.place(CALLER, 'a', 'b', 'c'))

    def test_retry_leaves_permits_to_first_attempts(self) -> None:
        """It is refused earlier."""
        self.entries = self.entries[:1]
        self.instance.state_limit(0.01, 'a')
        with self.assertRaises(permits_module.RateLimited):
            self.place(bucket_module.RETRY)
        self.assertEqual('a', self.place())
