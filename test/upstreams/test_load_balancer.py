"""Test the choice of upstreams for callers and for background requests."""

import random
import time
import typing
import unittest

import freezegun

from baobabpond.ports import catalogue
from baobabpond.ports import upstreams
from baobabpond.upstreams.capacity import reports
from baobabpond.upstreams import load_balancer

SLOTS = 6


def entry(name: str) -> catalogue.UpstreamEntry:
    """Return an upstream with six slots."""
    return catalogue.UpstreamEntry(
        name, 'orders', 'h', 80, 'a', SLOTS, False, 1, {}
    )


class BackgroundTest(unittest.TestCase):
    """Leave slots to callers while a group is scored at once."""

    def setUp(self) -> None:
        """Stop the clock and create two upstreams."""
        clock = freezegun.freeze_time()
        self.clock = clock.start()
        self.addCleanup(clock.stop)
        self.balancer = load_balancer.LoadBalancer()
        self.entries = [entry('a'), entry('b')]

    def fill(self) -> list[catalogue.UpstreamEntry]:
        """Send background requests until there is no room."""
        sent = []
        while True:
            chosen = self.balancer.choose_for_background(self.entries)
            if chosen is None:
                return sent
            sent.append(chosen)

    def test_slots_are_left_to_callers(self) -> None:
        """A burst fills both upstreams evenly, up to their share."""
        sent = self.fill()
        self.assertEqual(10, len(sent))
        self.assertEqual(5, sent.count(self.entries[0]))
        self.assertIsNotNone(self.balancer.choose(self.entries, set()))

    def test_load_from_other_instances_counts(self) -> None:
        """A busy upstream gets none, until its report is too old."""
        busy = upstreams.ReportedLoad(4, 3, 6)
        self.balancer.record_outcome(self.entries[0], 0.1, False, busy)
        sent = self.fill()
        self.assertNotIn(self.entries[0], sent)
        self.clock.tick(reports.EXPIRY_S + 0.1)
        self.assertIn(self.entries[0], self.fill())

    def test_failed_upstream_is_tried_with_one_request(self) -> None:
        """It gets no burst when it comes back."""
        for failing in self.entries:
            self.balancer.record_outcome(failing, None, True, None)
        self.assertEqual([], self.fill())
        self.clock.tick(load_balancer.MAX_EJECTION_S)
        self.assertEqual(2, len(self.fill()))
        for failing in self.entries:
            self.balancer.record_outcome(failing, 0.1, False, None)
        self.assertEqual(10, len(self.fill()))

    def test_slow_upstream_is_used_less(self) -> None:
        """The latency of background requests does not affect callers.

        Speed is relative to the other upstreams of the service.
        """
        self.fill()
        for _ in range(20):
            for slow_or_fast, latency_s in zip(
                self.entries, (2.0, 0.2), strict=True
            ):
                self.balancer.record_outcome(
                    slow_or_fast,
                    latency_s,
                    None,
                    None,
                    load_balancer.BACKGROUND,
                )
        for _ in range(3):
            self.assertEqual(
                self.entries[1],
                self.balancer.choose_for_background(self.entries),
            )
        stats = self.balancer._stats_of(self.entries[0])
        now = time.monotonic()
        self.assertEqual(1.0, stats.capacity.speed(now).slowness)
        self.assertEqual(
            load_balancer.INITIAL_LATENCY_S, stats.capacity.expected_s('', now)
        )

    def test_refusal_does_not_eject(self) -> None:
        """An upstream that is full is sound."""
        load = upstreams.ReportedLoad(1, 0, 6)
        self.balancer.record_outcome(self.entries[0], None, None, load)
        self.assertIn(self.entries[0], self.fill())


class FirstInOrder(random.Random):
    """Draw without chance: the first ones, in their order."""

    def sample(
        self, population: typing.Any, k: int, **_: typing.Any
    ) -> list[typing.Any]:
        """Return the first elements."""
        return list(population)[:k]


class FirstRequestsTest(unittest.TestCase):
    """Send a caller's requests one after the other to new upstreams."""

    REQUESTS = 8
    FIRST_LATENCY_S = 0.095
    # That of the upstream that is drawn first.
    SLOW_LATENCY_S = 0.081
    FAST_LATENCY_S = 0.011

    def test_fast_upstream_is_found(self) -> None:
        """An upstream that was never tried is, beside one that is slow."""
        slow, fast = entry('slow'), entry('fast')
        balancer = load_balancer.LoadBalancer(rng=FirstInOrder())
        used = []
        with freezegun.freeze_time() as clock:
            for number in range(self.REQUESTS):
                chosen = balancer.choose([slow, fast], set())
                used.append(chosen.id)
                latency_s = self.FAST_LATENCY_S
                if chosen is slow:
                    latency_s = self.SLOW_LATENCY_S
                if not number:
                    # It connects.
                    latency_s = self.FIRST_LATENCY_S
                clock.tick(latency_s)
                balancer.record_outcome(chosen, latency_s, False, None)
        self.assertIn(fast.id, used)


if __name__ == '__main__':
    unittest.main()
