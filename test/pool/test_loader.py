"""Test when weights are ordered."""

import collections
import threading
import types
import unittest

from baobabpond.batches import ownership
from baobabpond.batches import shard_state as state_module
from baobabpond import metrics
from baobabpond.pool import loader as loader_module
from baobabpond.pool import orders
from test.pool import examples

TIMEOUT_S = 5.0
# Longer than the loader waits for an announcement.
SEND_WAIT_S = 1.0


class FakeOrderClient:
    """Record whether an order may be sent."""

    def __init__(self) -> None:
        self.execute_called = threading.Event()
        self.sent = threading.Event()

    def execute(self, upstream, planned, fence, keeps_runs, may_send):
        """Record the call, and whether the order may be sent."""
        self.execute_called.set()
        if may_send():
            self.sent.set()
        return orders.OrderOutcome.NOT_SENT


class FakeScheduler:
    """Append announcements to a log that is available or not."""

    def __init__(
        self, shard_state: state_module.ShardState, log_is_available: bool
    ) -> None:
        self.shard_state = shard_state
        self.log_is_available = log_is_available
        self.loader: loader_module.Loader | None = None

    def demand(self) -> collections.Counter[str]:
        """Return the number of unfinished items per model."""
        return collections.Counter(m=5)

    def request_append(self) -> None:
        """Append the announcements if the log is available."""
        if self.log_is_available:
            self.shard_state.apply(self.loader.drain_intents(), False)


class LoaderTest(unittest.TestCase):
    """Order the one upstream to load an announced version."""

    def run_loader(
        self,
        is_exclusive_owner: bool,
        checks_fences: bool,
        log_is_available: bool,
    ) -> FakeOrderClient:
        """Run a loader until an order is sent, or a time-out."""
        service = types.SimpleNamespace(name='models', models=('m',))
        current = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                services={'models': service}, routes=()
            ),
            versions={'m': 2},
        )
        upstream = examples.upstream()
        fleet = types.SimpleNamespace(
            schedulable=lambda name: [upstream],
            is_limited=lambda upstream: False,
        )
        shard_state = state_module.ShardState()
        order_client = FakeOrderClient()
        loader = loader_module.Loader(
            'a',
            1.0,
            checks_fences,
            shard_state,
            fleet,
            current,
            order_client,
            metrics.Metrics(),
        )
        loader.set_ownership_check(lambda: is_exclusive_owner)
        scheduler = FakeScheduler(shard_state, log_is_available)
        scheduler.loader = loader
        loader.start(ownership.Tenure(7), scheduler)
        self.addCleanup(loader.stop)
        order_client.sent.wait(SEND_WAIT_S)
        return order_client

    def test_exclusive_owner_announces_first(self) -> None:
        """The order is sent once its announcement is in the log."""
        self.assertTrue(self.run_loader(True, True, True).sent.is_set())

    def test_order_without_announcement_is_postponed(self) -> None:
        """The next owner must be able to read the orders of this one."""
        order_client = self.run_loader(True, True, False)
        self.assertTrue(order_client.execute_called.is_set())
        self.assertFalse(order_client.sent.is_set())

    def test_with_fences_orders_continue_without_the_log(self) -> None:
        """Steps that wait for weights can run during an outage of the log."""
        self.assertTrue(self.run_loader(False, True, False).sent.is_set())

    def test_without_fences_only_an_exclusive_owner_orders(self) -> None:
        """Otherwise two owners could alternate orders, and none is refused."""
        order_client = self.run_loader(False, False, False)
        self.assertFalse(order_client.execute_called.is_set())


if __name__ == '__main__':
    unittest.main()
