"""Test which orders of upstreams are sent."""

import unittest

from baobabpond.ports import control
from baobabpond.scaling import allocation
from baobabpond.scaling import order_book

LEASE_S = 3.0
REGULAR = allocation.Pool('gdynia', False)
SPOT = allocation.Pool('slupsk', True)


class OrderBookTest(unittest.TestCase):
    """Decide on two pools, of which one has two upstreams."""

    def setUp(self) -> None:
        """Begin as a new holder of the duty."""
        self.book = order_book.OrderBook('s', {REGULAR: 2}, LEASE_S)
        self.now = 100.0

    def due(self, regular: int, spot: int) -> list[control.UpstreamOrder]:
        """Return the orders that are due."""
        return self.book.due({REGULAR: regular, SPOT: spot}, self.now)

    def answer(
        self, orders: list[control.UpstreamOrder], outcome: control.Outcome
    ) -> None:
        """Answer orders."""
        for order in orders:
            self.book.record(order, outcome, self.now)

    def test_what_serves_is_not_ordered(self) -> None:
        """A lower count than the former holder's would cancel orders."""
        self.assertEqual([], self.due(2, 0))

    def test_changes_are_ordered_once(self) -> None:
        """What is added comes before what is let go."""
        due = self.due(1, 3)
        self.assertEqual(
            [
                control.UpstreamOrder('s', 'slupsk', 3, True),
                control.UpstreamOrder('s', 'gdynia', 1),
            ],
            due,
        )
        self.answer(due, control.Outcome.DONE)
        self.assertEqual([], self.due(1, 3))

    def test_order_without_an_answer_is_repeated(self) -> None:
        """Soon, and when it may have come after a newer one."""
        self.answer(self.due(2, 3), control.Outcome.UNKNOWN)
        self.now += order_book.INITIAL_BACKOFF_S
        due = self.due(2, 4)
        self.assertEqual([4], [order.count for order in due])
        self.answer(due, control.Outcome.DONE)
        self.assertEqual([], self.due(2, 4))
        self.now += order_book.LATE_S
        due = self.due(2, 4)
        self.assertEqual([4], [order.count for order in due])
        self.answer(due, control.Outcome.DONE)
        self.now += order_book.LATE_S
        self.assertEqual([], self.due(2, 4))

    def test_pool_without_upstreams_is_asked_after_the_lease(self) -> None:
        """Others are not held up."""
        self.answer(self.due(2, 3), control.Outcome.UNAVAILABLE)
        self.now += LEASE_S - 0.1
        self.assertEqual(
            ['gdynia'], [order.data_centre for order in self.due(4, 3)]
        )
        self.now += 0.2
        self.assertEqual(['slupsk'], [o.data_centre for o in self.due(2, 3)])

    def test_refused_orders_back_off(self) -> None:
        """The quota is shared; the pause doubles up to a limit."""
        pauses = []
        for _ in range(6):
            began_at = self.now
            self.answer(self.due(2, 3), control.Outcome.REFUSED)
            while not self.due(2, 3):
                self.now += 0.05
            pauses.append(self.now - began_at)
        self.assertEqual(sorted(pauses), pauses)
        self.assertLess(pauses[-1], order_book.MAX_BACKOFF_S + 0.1)


if __name__ == '__main__':
    unittest.main()
