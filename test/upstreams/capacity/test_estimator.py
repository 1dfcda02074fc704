"""Test the estimates with simulated samples, without a network or a clock."""

import random
import typing
import unittest

from baobabpond.ports import upstreams
from baobabpond.upstreams.capacity import estimator
from baobabpond.upstreams.capacity import load_factor

SLOTS = 8
GAP_S = 0.04
NOISE_S = 0.6
NOISE_FACTOR = 2.5
NOISE_PERIOD_S = 4.0
KIND = 'm'


class SimulatedUpstream:
    """Feed an estimator with the gaps of events of concurrent runs."""

    def __init__(
        self, learner: estimator.Learner, speed: float = 1.0, phase: float = 0
    ) -> None:
        self.capacity = learner.track('service', SLOTS)
        self.speed = speed
        self.has_noise = False
        self.phase = phase
        # Beyond this number of runs it is 2.2 times slower.
        self.knee = SLOTS

    def slowness(self, running: int, now: float) -> float:
        """Return how much longer than usual an event takes."""
        slowness = load_factor.of(running, SLOTS) / self.speed
        if running > self.knee:
            slowness *= 2.2
        if self.has_noise and self.is_noisy(now):
            slowness *= NOISE_FACTOR
        return slowness

    def is_noisy(self, now: float) -> bool:
        """Return whether noise makes it slower now."""
        return (now + self.phase) % NOISE_PERIOD_S < NOISE_S

    def run(
        self,
        start: float,
        duration_s: float,
        running: int = 6,
        each: typing.Callable[[float], object] = lambda now: None,
    ) -> float:
        """Emit the events of a number of runs; return the end."""
        due = [(start + GAP_S * n / running, n) for n in range(running)]
        now = start
        while True:
            due.sort()
            now, number = due.pop(0)
            if now > start + duration_s:
                return start + duration_s
            gap_s = GAP_S * self.slowness(running, now)
            self.capacity.observe(KIND, gap_s, running, now)
            each(now)
            due.append((now + gap_s, number))


def ratio(
    left: SimulatedUpstream, right: SimulatedUpstream, now: float
) -> float:
    """Return how much slower one upstream is than another, as learnt."""
    return left.capacity.expected_s(KIND, now) / right.capacity.expected_s(
        KIND, now
    )


class SpeedTest(unittest.TestCase):
    """Learn the speed of upstreams from the time between events."""

    def setUp(self) -> None:
        """Create two upstreams with noise, of which one is slow."""
        learner = estimator.Learner(GAP_S)
        self.slow = SimulatedUpstream(learner, 0.55)
        self.fast = SimulatedUpstream(learner, 1.2, phase=2.0)
        self.slow.has_noise = self.fast.has_noise = True

    def run_both(
        self, start: float, duration_s: float, step_s: float = 0.1
    ) -> list[float]:
        """Emit events; return the learnt ratio of speeds over time."""
        ratios = []
        for number in range(round(duration_s / step_s)):
            now = start + number * step_s
            self.slow.run(now, step_s)
            self.fast.run(now, step_s)
            ratios.append(ratio(self.slow, self.fast, now + step_s))
        return ratios

    def test_noise_does_not_move_the_estimate(self) -> None:
        """Persistent speeds differ by 2.18, noise of 2.5 comes on top."""
        ratios = self.run_both(100.0, 20.0)
        for learnt in ratios[30:]:
            self.assertAlmostEqual(1.2 / 0.55, learnt, delta=0.35)

    def test_lasting_change_is_followed_within_two_seconds(self) -> None:
        """The slow upstream becomes fast, and slow again."""
        self.run_both(100.0, 10.0)
        self.slow.speed = 1.2
        self.assertLess(self.run_both(110.0, 2.0)[-1], 1.3)
        self.slow.speed = 0.55
        self.assertGreater(self.run_both(112.0, 2.0)[-1], 1.8)

    def test_upstream_without_samples_is_typical(self) -> None:
        """Placement does not wait for measurements."""
        new = estimator.Learner(GAP_S).track('service', SLOTS)
        self.assertEqual(GAP_S, new.expected_s(KIND, 0.0))
        self.assertEqual(0.0, new.speed(0.0).observed_s)

    def test_few_samples_are_useful(self) -> None:
        """An instance with a request every two seconds learns in ten."""
        for number in range(5):
            now = 100.0 + 2 * number
            for upstream in (self.slow, self.fast):
                took_s = GAP_S / upstream.speed
                upstream.capacity.observe(KIND, took_s, 0, now)
        self.assertGreater(ratio(self.slow, self.fast, 108.0), 1.4)

    def test_idle_upstream_is_tried_again(self) -> None:
        """A slow upstream that got no work must not stay slow for ever."""
        self.run_both(100.0, 10.0)
        now = 110.0
        known = self.slow.capacity.speed(now).slowness
        later = self.slow.capacity.speed(now + 30.0).slowness
        self.assertGreater(known, 1.2)
        self.assertLess(later - 1.0, 0.1 * (known - 1.0))

    def test_kinds_of_work_are_told_apart(self) -> None:
        """An upstream that gets the long work is no slower for that."""
        learner = estimator.Learner(GAP_S)
        one, other = (learner.track('service', SLOTS) for _ in range(2))
        for number in range(400):
            now = 100.0 + number * 0.01
            one.observe('long', 1.0, 1, now)
            if number % 10 == 0:
                one.observe('short', 0.1, 1, now)
            other.observe('short', 0.1, 1, now)
        self.assertAlmostEqual(
            1.0, one.speed(104.0).slowness / other.speed(104.0).slowness, 1
        )

    def test_pause_of_the_instance_is_no_change_of_speed(self) -> None:
        """All runs show one long gap after a suspension of the process."""
        self.run_both(100.0, 10.0)
        before = self.fast.capacity.expected_s(KIND, 110.0)
        for _ in range(6):
            self.fast.capacity.observe(KIND, 3.0, 6, 113.0)
        self.fast.run(113.0, 0.5)
        after = self.fast.capacity.expected_s(KIND, 113.5)
        self.assertLess(after, 1.3 * before)


class LimitTest(unittest.TestCase):
    """Learn up to which load an upstream keeps its speed."""

    def setUp(self) -> None:
        """Create an upstream that is known to others."""
        self.learner = estimator.Learner(GAP_S)
        self.upstream = SimulatedUpstream(self.learner)

    def play_steps(self, steps: int) -> list[float]:
        """Fill the upstream, and leave it nearly idle, every four seconds.

        Returns the limits at the end of each step.
        """
        limits = []
        now = 100.0
        for _ in range(steps):
            now = self.upstream.run(now, 2.0, running=2)
            now = self.upstream.run(now, 2.0, running=SLOTS)
            limits.append(self.upstream.capacity.limit)
        return limits

    def test_slowdown_at_half_the_slots_lowers_the_limit(self) -> None:
        """An upstream that is slow beyond four runs."""
        self.upstream.knee = 4
        self.assertLess(max(self.play_steps(8)[2:]), SLOTS - 1)

    def test_usual_effect_of_load_keeps_the_limit(self) -> None:
        """A full upstream is somewhat slower, which is no overload."""
        self.upstream.has_noise = True
        self.assertEqual({float(SLOTS)}, set(self.play_steps(10)))

    def test_uniformly_slower_upstream_keeps_its_limit(self) -> None:
        """A change of speed at any load is no overload for long."""
        self.play_steps(4)
        self.upstream.speed = 0.4
        self.assertEqual(float(SLOTS), self.play_steps(6)[-1])

    def test_returning_upstream_ramps_up(self) -> None:
        """It begins with half of its slots and has all of them soon."""
        self.upstream.run(100.0, 1.0)
        returning = SimulatedUpstream(self.learner)
        self.assertEqual(SLOTS / 2, returning.capacity.limit)
        returning.run(101.0, 1.0, running=4)
        self.assertEqual(SLOTS, returning.capacity.limit)

    def test_no_limit_where_all_are_new(self) -> None:
        """After a start, slots are used from the beginning."""
        self.assertEqual(SLOTS, self.upstream.capacity.limit)


class ReportTest(unittest.TestCase):
    """Use the load that upstreams report."""

    def setUp(self) -> None:
        """Create an upstream with noise."""
        self.upstream = SimulatedUpstream(estimator.Learner(GAP_S))
        self.upstream.has_noise = True
        self.rng = random.Random(1)

    def play(self, report: typing.Callable[[float], float]) -> list[float]:
        """Emit events with reports; return the factors, by time."""
        factors = []

        def each(now: float) -> None:
            load = upstreams.ReportedLoad(6, 0, SLOTS, report(now))
            self.upstream.capacity.observe_report(load, now)
            factors.append(self.upstream.capacity.report_factor(now))

        self.upstream.run(100.0, 20.0, each=each)
        return factors[len(factors) // 2 :]

    def test_true_reports_are_used(self) -> None:
        """Noise is known as soon as it is reported."""
        factors = self.play(
            lambda now: NOISE_FACTOR if self.upstream.is_noisy(now) else 1.0
        )
        self.assertGreater(max(factors), 2.0)
        self.assertAlmostEqual(1.0, min(factors))

    def test_constant_report_has_no_effect(self) -> None:
        """An upstream that always claims to be fast attracts nothing."""
        factors = self.play(lambda now: 0.4)
        self.assertAlmostEqual(1.0, min(factors))
        self.assertAlmostEqual(1.0, max(factors))

    def test_wrong_reports_are_ignored(self) -> None:
        """Figures that predict nothing."""
        factors = self.play(lambda now: self.rng.choice((0.3, 1.0, 3.0)))
        used = sum(factor != 1.0 for factor in factors)
        self.assertLess(used, 0.1 * len(factors))

    def test_reports_expire(self) -> None:
        """They change many times a second."""
        capacity = self.upstream.capacity
        load = upstreams.ReportedLoad(6, 2, SLOTS, 2.5)
        capacity.observe_report(load, 100.0)
        self.assertEqual(8, capacity.reported_busy(100.2))
        self.assertGreater(capacity.report_factor(100.2), 1.0)
        self.assertEqual(0, capacity.reported_busy(100.4))
        self.assertEqual(1.0, capacity.report_factor(100.4))


if __name__ == '__main__':
    unittest.main()
