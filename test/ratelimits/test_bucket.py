"""Test when requests to a limited upstream are granted."""

import random
import unittest

from baobabpond.ratelimits import bucket as bucket_module

WINDOW_S = 4.0
SEEDS = 60
ASKS = 300
CALLER = bucket_module.caller_urgency(2)
URGENCIES = (
    bucket_module.ORDER,
    bucket_module.BACKGROUND,
    bucket_module.caller_urgency(0),
    CALLER,
)


def tolerated(rate: float) -> float:
    """Return the requests in a window that an upstream tolerates."""
    return 1.5 * WINDOW_S * rate + 5


def fullest_window(sent: list[float]) -> int:
    """Return the most requests within any window."""
    return max(
        (
            sum(begin <= moment <= begin + WINDOW_S for moment in sent)
            for begin in sent
        ),
        default=0,
    )


class PermitBucketTest(unittest.TestCase):
    """Ask one bucket for permits."""

    def test_no_window_exceeds_the_limit(self) -> None:
        """Whoever asks, and however often."""
        for seed in range(SEEDS):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                rate = rng.choice((0.0, 0.4, 1.0, 3.7, 12.0, 40.0))
                sent = self.send_at_random(rng, rate)
                self.assertLessEqual(fullest_window(sent), tolerated(rate))

    def send_at_random(self, rng: random.Random, rate: float) -> list[float]:
        """Ask at random times; return when requests were sent."""
        now = 0.0
        bucket = bucket_module.PermitBucket(now, rate)
        sent = []
        for _ in range(ASKS):
            now += rng.choice((0.0, 0.01, 0.1, 0.4)) * rng.random()
            decision = bucket.take(now, rate, rng.choice(URGENCIES))
            if decision.is_granted:
                sent.append(now + decision.delay_s)
        return sorted(sent)

    def grants(
        self, rate: float, seconds: float, urgency: bucket_module.Urgency
    ) -> int:
        """Ask often for a time; return how many permits were granted."""
        bucket = bucket_module.PermitBucket(0.0, rate)
        step_s = 0.01
        return sum(
            bucket.take(step * step_s, rate, urgency).is_granted
            for step in range(int(seconds / step_s))
        )

    def test_the_whole_rate_is_used(self) -> None:
        """At any rate and urgency."""
        for rate in (0.3, 1.0, 7.5, 60.0):
            for urgency in URGENCIES:
                with self.subTest(rate=rate, urgency=urgency):
                    granted = self.grants(rate, 40.0, urgency)
                    self.assertAlmostEqual(
                        40.0 * rate, granted, delta=2 + 0.3 * rate + 2 * rate
                    )
                    self.assertGreater(granted, 39.0 * rate - 1)

    def test_callers_come_before_the_background(self) -> None:
        """The background leaves a permit for them."""
        bucket = bucket_module.PermitBucket(0.0, 1.0)
        background = bucket_module.BACKGROUND
        taken = [bucket.take(9.0, 1.0, background) for _ in range(3)]
        self.assertEqual(
            [True, True, False], [decision.is_granted for decision in taken]
        )
        self.assertTrue(bucket.take(9.0, 1.0, CALLER).is_granted)

    def test_high_priority_is_served_first_in_overload(self) -> None:
        """A lower one gets what is left."""
        bucket = bucket_module.PermitBucket(0.0, 10.0)
        granted = {0: 0, 3: 0}
        for step in range(400):
            for priority in (3, 0):
                urgency = bucket_module.caller_urgency(priority)
                decision = bucket.take(step * 0.1, 10.0, urgency)
                granted[priority] += decision.is_granted
        self.assertGreater(granted[0], 390)
        self.assertLess(granted[3], 40)

    def test_refusal_says_when_to_ask_again(self) -> None:
        """A permit of that urgency is there by then."""
        for urgency in URGENCIES:
            bucket = bucket_module.PermitBucket(0.0, 2.0)
            now = 0.0
            decision = bucket.take(now, 2.0, urgency)
            while decision.is_granted:
                decision = bucket.take(now, 2.0, urgency)
            now += decision.delay_s
            self.assertTrue(bucket.take(now, 2.0, urgency).is_granted)

    def test_limit_of_nothing_leaves_a_rare_probe(self) -> None:
        """Otherwise its end would not be noticed."""
        granted = self.grants(0.0, 30.0, CALLER)
        self.assertGreater(granted, 3)
        self.assertLess(granted, 10)

    def test_next_permit_after_a_change_comes_at_the_new_rate(self) -> None:
        """What was issued at another rate counts as permits, not as time."""
        for former, rate in ((0.2, 4.0), (6.0, 0.5), (0.0, 0.4), (9.0, 0.0)):
            with self.subTest(former=former, rate=rate):
                bucket = bucket_module.PermitBucket(0.0, former)
                for step in range(2000):
                    bucket.take(step * 0.01, former, CALLER)
                expected_s = 1.0 / max(rate, bucket_module.MIN_RATE_PER_S)
                waited_s = 0.0
                while not bucket.take(
                    20.0 + waited_s, rate, CALLER
                ).is_granted:
                    waited_s += 0.01
                self.assertLess(waited_s, expected_s + 0.02)

    def test_preview_takes_nothing(self) -> None:
        """It says what a request would get."""
        bucket = bucket_module.PermitBucket(0.0, 1.0)
        for _ in range(5):
            self.assertTrue(bucket.preview(0.0, 1.0, CALLER).is_granted)
        bucket.take(0.0, 1.0, CALLER)
        self.assertFalse(bucket.preview(0.0, 1.0, CALLER).is_granted)
