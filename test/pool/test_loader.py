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
# Longer than an announcement is waited for.
CALM_S = 1.0


class FakeDesk:
    """Note the orders that may be sent."""

    def __init__(self) -> None:
        self.asked = threading.Event()
        self.sent = threading.Event()

    def carry_out(self, upstream, planned, fence, keeps_runs, may_send):
        """Ask whether the order may be sent."""
        self.asked.set()
        if may_send():
            self.sent.set()
        return orders.OrderOutcome.NOT_SENT


class FakeOwner:
    """Have announcements kept on a log that is there, or not."""

    def __init__(
        self, shard_state: state_module.ShardState, log_is_there: bool
    ) -> None:
        self.shard_state = shard_state
        self.log_is_there = log_is_there
        self.loader: loader_module.Loader | None = None

    def demand(self) -> collections.Counter[str]:
        """Return the unfinished items."""
        return collections.Counter(m=5)

    def wake(self) -> None:
        """Keep what was announced."""
        if self.log_is_there:
            self.shard_state.apply(self.loader.take_intents(), False)


class LoaderTest(unittest.TestCase):
    """Order the one upstream to load an announced version."""

    def run_loader(
        self, trusted: bool, checks_fences: bool, log_is_there: bool
    ) -> FakeDesk:
        """Let a loader work for a while."""
        service = types.SimpleNamespace(name='models', models=('m',))
        current = types.SimpleNamespace(
            configuration=types.SimpleNamespace(
                services={'models': service}, routes=()
            ),
            versions={'m': 2},
        )
        upstream = examples.upstream()
        fleet = types.SimpleNamespace(of=lambda name: [upstream])
        shard_state = state_module.ShardState()
        desk = FakeDesk()
        loader = loader_module.Loader(
            'a',
            1.0,
            checks_fences,
            shard_state,
            fleet,
            current,
            desk,
            metrics.Metrics(),
        )
        loader.trust(lambda: trusted)
        owner = FakeOwner(shard_state, log_is_there)
        owner.loader = loader
        loader.begin(ownership.Tenure(7), owner)
        self.addCleanup(loader.cease)
        desk.sent.wait(CALM_S)
        return desk

    def test_trusted_owner_announces_first(self) -> None:
        """The order goes out once the log keeps its announcement."""
        self.assertTrue(self.run_loader(True, True, True).sent.is_set())

    def test_order_that_is_not_announced_is_put_off(self) -> None:
        """While the owner is trusted the next one must know its orders."""
        desk = self.run_loader(True, True, False)
        self.assertTrue(desk.asked.is_set())
        self.assertFalse(desk.sent.is_set())

    def test_fences_let_orders_go_on_without_the_log(self) -> None:
        """Steps whose weights are due run during an outage of the log."""
        self.assertTrue(self.run_loader(False, True, False).sent.is_set())

    def test_without_fences_only_a_trusted_owner_orders(self) -> None:
        """Two owners could order in turns, and nobody would refuse one."""
        desk = self.run_loader(False, False, False)
        self.assertFalse(desk.asked.is_set())


if __name__ == '__main__':
    unittest.main()
