"""Test how many upstreams are ordered, where, and when some may go."""

import unittest

from baobabpond.ports import catalogue
from baobabpond.scaling import allocation
from baobabpond.scaling import demand
from baobabpond.scaling import prediction
from baobabpond.scaling import scaler as scaler_module

from . import simulation

SCALING = catalogue.Scaling(
    1, 15, 4.0, 0.18, {'gdansk': 1.0, 'gdynia': 0.8, 'slupsk': 1.25}
)
REGULAR = {name: allocation.Pool(name, False) for name in SCALING.prices}
SPOT = {name: allocation.Pool(name, True) for name in SCALING.prices}
# As a deployment begins.
PRESENT = {pool: 2 for pool in REGULAR.values()}


class DemandTest(unittest.TestCase):
    """Work out the slots for work that has deadlines."""

    def test_slots_for_items_that_are_here(self) -> None:
        """Each slot runs as many items as fit before the deadline."""
        self.assertEqual(0, demand.slots_needed([]))
        self.assertEqual(25, demand.slots_needed([demand.Work(100, 1.5, 7.0)]))

    def test_overdue_items_need_a_slot_each(self) -> None:
        """Work that can't be in time must not count as none."""
        for due_in_s in (-3.0, 0.0, 0.1):
            self.assertEqual(
                100, demand.slots_needed([demand.Work(100, 1.5, due_in_s)])
            )

    def test_next_step_overlaps_with_the_present_one(self) -> None:
        """Both together need more than either by itself."""
        present = demand.Work(100, 1.5, 7.5)
        coming = demand.Work(200, 1.5, 8.0, arrives_in_s=0.5)
        alone = max(
            demand.slots_needed([present]), demand.slots_needed([coming])
        )
        self.assertGreater(demand.slots_needed([present, coming]), alone)

    def test_work_far_apart_needs_no_more(self) -> None:
        """The first is due before the second comes."""
        work = [
            demand.Work(100, 1.5, 7.0),
            demand.Work(100, 1.5, 27.0, arrives_in_s=20.0),
        ]
        self.assertEqual(25, demand.slots_needed(work))


class PredictionTest(unittest.TestCase):
    """Expect steps."""

    def setUp(self) -> None:
        """Submit steps of a trainer, one every 4 s."""
        self.prediction = prediction.StepPrediction()
        for number, items in enumerate((100, 300, 200)):
            self.prediction.record(
                'a', prediction.Step(4.0 * number, items, 1.5, 7.5)
            )

    def test_next_step_is_expected_as_large_as_the_largest(self) -> None:
        """It comes at the usual interval after the last one."""
        self.assertEqual(
            [demand.Work(300, 1.5, 10.5, 3.0)], self.prediction.expected(9.0)
        )

    def test_overdue_step_may_come_at_any_moment(self) -> None:
        """Until the trainer has surely ended."""
        self.assertEqual(
            [demand.Work(300, 1.5, 7.5, 0.0)], self.prediction.expected(15.0)
        )
        self.assertEqual([], self.prediction.expected(21.0))

    def test_first_step_predicts_nothing(self) -> None:
        """There is no interval yet."""
        self.prediction.record('b', prediction.Step(8.0, 9, 1.5, 7.5))
        self.assertEqual(1, len(self.prediction.expected(9.0)))


class AllocationTest(unittest.TestCase):
    """Distribute upstreams."""

    def test_any_reclaim_leaves_enough(self) -> None:
        """Over all needs, within the limits of each data centre."""
        for needed in range(41):
            counts = allocation.allocate(needed, SCALING, {})
            with self.subTest(needed=needed):
                self.assertGreaterEqual(allocation.safe_count(counts), needed)
                for name in SCALING.prices:
                    total = counts[REGULAR[name]] + counts[SPOT[name]]
                    self.assertGreaterEqual(total, SCALING.min_count)
                    self.assertLessEqual(total, SCALING.max_count)

    def test_spot_upstreams_are_spread(self) -> None:
        """That is cheaper than regular ones, even with half as many more."""
        counts = allocation.allocate(10, SCALING, {})
        self.assertEqual({5}, {counts[pool] for pool in SPOT.values()})
        self.assertEqual(0, sum(counts[p] for p in REGULAR.values()))

    def test_costs_no_more_than_any_other_distribution(self) -> None:
        """Compare with all distributions over two data centres."""
        scaling = SCALING._replace(
            max_count=4, prices={'gdansk': 1.0, 'gdynia': 0.8}
        )
        pools = [
            allocation.Pool(name, is_spot)
            for name in scaling.prices
            for is_spot in (False, True)
        ]
        every: list[allocation.Counts] = [{}]
        for pool in pools:
            every = [{**c, pool: n} for c in every for n in range(5)]
        for needed in range(9):
            best = min(
                (
                    allocation.cost(counts, scaling)
                    for counts in every
                    if allocation.is_allowed(counts, scaling)
                    and allocation.safe_count(counts) >= needed
                    and all(
                        counts[allocation.Pool(name, False)]
                        + counts[allocation.Pool(name, True)]
                        >= scaling.min_count
                        for name in scaling.prices
                    )
                ),
                default=None,
            )
            found = allocation.allocate(needed, scaling, {})
            with self.subTest(needed=needed):
                if best is not None:
                    self.assertAlmostEqual(
                        best, allocation.cost(found, scaling)
                    )

    def test_what_is_not_to_be_had_comes_from_elsewhere(self) -> None:
        """Pools that refused keep what they have."""
        unavailable = {SPOT['gdynia'], SPOT['gdansk'], REGULAR['gdynia']}
        at_least = {SPOT['gdynia']: 2}
        counts = allocation.allocate(10, SCALING, at_least, unavailable)
        self.assertGreaterEqual(allocation.safe_count(counts), 10)
        self.assertEqual(2, counts[SPOT['gdynia']])
        for pool in unavailable - {SPOT['gdynia']}:
            self.assertEqual(0, counts[pool])

    def test_limits_that_are_too_low_are_used_up(self) -> None:
        """All that may be ordered is."""
        counts = allocation.allocate(1000, SCALING, {})
        self.assertEqual(45, sum(counts.values()))


class SimulatedScalingTest(unittest.TestCase):
    """Play a trainer's steps on upstreams that boot, leave and are refused."""

    def setUp(self) -> None:
        """Begin with two regular upstreams in each data centre."""
        self.simulation = simulation.Simulation(SCALING, PRESENT)

    def needed_cost(self, upstreams: int, seconds: float) -> float:
        """Return the price of regular upstreams at the cheapest place."""
        return upstreams * seconds * min(SCALING.prices.values())

    def test_steady_steps_are_in_time(self) -> None:
        """No order changes anything for long; the price falls."""
        self.simulation.run(300.0, lambda now: 200)
        self.assertEqual(0, self.simulation.late)
        before, cost = len(self.simulation.changes), self.simulation.cost
        self.simulation.run(300.0, lambda now: 200)
        self.assertEqual(0, self.simulation.late)
        self.assertEqual(before, len(self.simulation.changes))
        # 200 items of 1.5 s every 4 s keep 75 slots busy.
        self.assertLess(
            self.simulation.cost - cost, self.needed_cost(10, 300.0)
        )

    def test_growth_of_a_step_is_made_up_for(self) -> None:
        """Late are at most items of the steps until upstreams have booted."""
        self.simulation.run(120.0, lambda now: 100)
        self.simulation.run(120.0, lambda now: 300)
        late = self.simulation.late
        self.assertLessEqual(late, 2 * 300)
        self.simulation.run(120.0, lambda now: 300)
        self.assertEqual(late, self.simulation.late)

    def test_changing_load_does_not_flap(self) -> None:
        """Steps alternate for longer than upstreams take to boot."""

        def alternate(now: float) -> int:
            return 300 if now % 40 < 20 else 100

        self.simulation.run(200.0, alternate)
        changes = len(self.simulation.changes)
        self.simulation.run(400.0, alternate)
        self.assertEqual(changes, len(self.simulation.changes))
        late = self.simulation.late
        self.simulation.run(200.0, alternate)
        self.assertEqual(late, self.simulation.late)

    def test_reclaim_of_a_data_centre_makes_nothing_late(self) -> None:
        """What is left is enough; others are ordered meanwhile."""
        self.simulation.run(300.0, lambda now: 200)
        late = self.simulation.late
        for name in ('gdynia', 'gdansk'):
            self.simulation.reclaim(name)
            self.simulation.run(60.0, lambda now: 200)
        self.assertEqual(late, self.simulation.late)

    def test_refused_spot_upstreams_are_replaced_by_regular_ones(self) -> None:
        """None are to be had anywhere."""
        self.simulation.refused.update(SPOT.values())
        self.simulation.run(300.0, lambda now: 200)
        late = self.simulation.late
        self.simulation.run(100.0, lambda now: 200)
        self.assertEqual(late, self.simulation.late)
        self.assertFalse(any(p.is_spot for p in self.simulation.serving))

    def test_capacity_goes_once_it_is_certainly_not_needed(self) -> None:
        """Not within the first minute after the trainer has ended."""
        self.simulation.run(200.0, lambda now: 300)
        self.simulation.removed_at.clear()
        ended_at = self.simulation.now
        self.simulation.run(300.0, lambda now: 0)
        self.assertGreater(
            min(self.simulation.removed_at),
            ended_at + scaler_module.HOLD_S / 2,
        )
        self.assertLessEqual(sum(self.simulation.serving.values()), 6)

    def test_new_holder_reduces_nothing_at_first(self) -> None:
        """It doesn't know what was needed before."""
        self.simulation.run(200.0, lambda now: 300)
        serving = self.simulation.serving
        fresh = scaler_module.Scaler(SCALING)
        # One more has booted that the former holder had ordered.
        booted = {**serving, SPOT['slupsk']: serving[SPOT['slupsk']] + 1}
        for seconds, serving in (
            (0.0, serving),
            (5.0, booted),
            (scaler_module.HOLD_S - 1.0, booted),
        ):
            counts = fresh.decide(
                scaler_module.Observation(seconds, 8, 8, serving)
            )
            for pool, count in serving.items():
                self.assertGreaterEqual(counts[pool], count)


if __name__ == '__main__':
    unittest.main()
