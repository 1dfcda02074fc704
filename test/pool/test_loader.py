"""Test when weights are ordered."""

import collections
import threading
import types
import unittest

from baobabpond.batches import book as book_module
from baobabpond.batches import ownership
from baobabpond import metrics
from baobabpond.pool import loader as loader_module
from baobabpond.pool import orders
from test.pool import examples

TIMEOUT_S = 5.0
# Longer than an announcement is waited for.
SEND_WAIT_S = 1.0


class FakeOrderClient:
    """Note the orders that may be sent."""

    def __init__(self) -> None:
        self.execute_called = threading.Event()
        self.sent = threading.Event()

    def execute(self, upstream, planned, fence, keeps_runs, may_send):
        """Ask whether the order may be sent."""
        self.execute_called.set()
        if may_send():
            self.sent.set()
        return orders.OrderOutcome.NOT_SENT


class FakeScheduler:
    """Have announcements kept on a log that is there, or not."""

    def __init__(self, book: book_module.Book, log_is_available: bool) -> None:
        self.book = book
        self.log_is_available = log_is_available
        self.loader: loader_module.Loader | None = None

    def demand(self) -> collections.Counter[str]:
        """Return the unfinished items."""
        return collections.Counter(m=5)

    def request_append(self) -> None:
        """Keep what was announced."""
        if self.log_is_available:
            self.book.apply(self.loader.drain_intents(), False)


class LoaderTest(unittest.TestCase):
    """Order the one upstream to load an announced version."""

    def run_loader(
        self, trusted: bool, checks_fences: bool, log_is_available: bool
    ) -> FakeOrderClient:
        """Let a loader work for a while."""
        service = types.SimpleNamespace(name='models', models=('m',))
        current = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                services={'models': service}, routes=()
            ),
            versions={'m': 2},
        )
        upstream = examples.upstream()
        fleet = types.SimpleNamespace(schedulable=lambda name: [upstream])
        book = book_module.Book()
        order_client = FakeOrderClient()
        loader = loader_module.Loader(
            'a',
            1.0,
            checks_fences,
            book,
            fleet,
            current,
            order_client,
            metrics.Metrics(),
        )
        loader.set_ownership_check(lambda: trusted)
        scheduler = FakeScheduler(book, log_is_available)
        scheduler.loader = loader
        loader.start(ownership.Tenure(7), scheduler)
        self.addCleanup(loader.stop)
        order_client.sent.wait(SEND_WAIT_S)
        return order_client

    def test_trusted_owner_announces_first(self) -> None:
        """The order goes out once the log keeps its announcement."""
        self.assertTrue(self.run_loader(True, True, True).sent.is_set())

    def test_order_that_is_not_announced_is_put_off(self) -> None:
        """While the owner is trusted the next one must know its orders."""
        order_client = self.run_loader(True, True, False)
        self.assertTrue(order_client.execute_called.is_set())
        self.assertFalse(order_client.sent.is_set())

    def test_fences_let_orders_go_on_without_the_log(self) -> None:
        """Steps whose weights are due run during an outage of the log."""
        self.assertTrue(self.run_loader(False, True, False).sent.is_set())

    def test_without_fences_only_a_trusted_owner_orders(self) -> None:
        """Two owners could order in turns, and nobody would refuse one."""
        order_client = self.run_loader(False, False, False)
        self.assertFalse(order_client.execute_called.is_set())


if __name__ == '__main__':
    unittest.main()
