"""Test how engines are brought to a version."""

import random
import threading
import time
import unittest

from baobabpond.leases import keeper
from baobabpond.log import state
from baobabpond.members import instance_list
from baobabpond import metrics
from baobabpond.routing import upstreams
from baobabpond.settings import current
from baobabpond.settings import tree
from baobabpond.weights import owner
from test import helpers

WAIT_S = 5.0


class FakeEngines:
    """Stand in for the adapter and for the engines behind it."""

    def __init__(self, count):
        self.versions = {f'e{number}': 0 for number in range(count)}
        self.orders = []
        self.polls = 0
        self.fail = {}
        self.swapping = 0
        self.most_swapping = 0
        self.lock = threading.Lock()

    def poll_load(self, engine):
        """Return the version of an engine."""
        self.polls += 1
        version = self.versions[engine.instance]
        return upstreams.LoadReport(0, 0, version)

    def update_weights(self, engine, version, fence, _timeout_s):
        """Take an order, or fail."""
        with self.lock:
            self.orders.append((engine.instance, version, fence))
            self.swapping += 1
            self.most_swapping = max(self.most_swapping, self.swapping)
            failures = self.fail.get(engine.instance, 0)
            self.fail[engine.instance] = failures - 1
        time.sleep(0.02)
        with self.lock:
            self.swapping -= 1
            self.versions[engine.instance] = None if failures > 0 else version
        return failures <= 0


class FakeKeeper:
    """Hold a lease as told."""

    def __init__(self):
        self.held = keeper.Held(7, time.monotonic() + 1000)

    def maintain(self, _lease_s):
        """Return the lease."""
        return self.held


class OwnerTest(unittest.TestCase):
    """Drive six engines."""

    def setUp(self):
        self.engines = FakeEngines(6)
        self.keeper = FakeKeeper()
        self.settings = current.CurrentSettings()
        self.put(1, weight_wave_share=0.34)
        self.state = state.State()
        self.owner = owner.ServiceOwner(
            'd/m',
            self.settings,
            self.state,
            self.keeper,
            lambda _service: [
                instance_list.ListedInstance(name, 'a', 1, 1, 'x', False)
                for name in self.engines.versions
            ],
            self.engines,
            metrics.Metrics(),
            random.Random(1),
        )

    def put(self, revision, **values):
        nodes = {'d/m': {'adapter': 'completions', **values}}
        self.settings.update_if_newer(
            current.Settings(revision, tree.Tree(nodes)), 'test'
        )

    def announce(self, version):
        item = {'type': 'version', 'service': 'd/m', 'version': version}
        seq = self.state.next_offset + 1
        helpers.apply(self.state, [helpers.envelope('t', seq, item)])

    def drive(self, condition):
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            self.owner.step()
            time.sleep(0.005)

    def all_have(self, version):
        return set(self.engines.versions.values()) == {version}

    def test_waves_leave_most_engines_serving(self):
        self.announce(3)
        self.drive(lambda: self.all_have(3))
        self.assertLessEqual(self.engines.most_swapping, 3)
        self.assertEqual({7}, {fence for _, _, fence in self.engines.orders})

    def test_failed_swap_is_repaired(self):
        self.engines.fail = {'e1': 2}
        self.announce(3)
        self.drive(lambda: self.all_have(3))

    def test_restarted_engine_is_brought_back(self):
        self.put(2, load_poll_s=0.05)
        self.announce(3)
        self.drive(lambda: self.all_have(3))
        self.engines.versions['e2'] = 0
        self.drive(lambda: self.all_have(3))

    def test_engines_at_the_version_are_asked_only_now_and_then(self):
        self.announce(3)
        self.drive(lambda: self.all_have(3))
        time.sleep(0.1)
        before = self.engines.polls
        for _ in range(20):
            self.owner.step()
            time.sleep(0.01)
        self.assertLessEqual(self.engines.polls - before, 6)

    def test_nothing_is_ordered_without_the_lease(self):
        self.announce(3)
        self.keeper.held = None
        for _ in range(5):
            self.owner.step()
        self.assertEqual([], self.engines.orders)

    def test_order_is_not_sent_once_the_lease_has_ended(self):
        self.announce(3)
        held = self.keeper.held
        self.keeper.maintain = lambda _lease_s: held
        self.keeper.held = None
        self.owner.step()
        time.sleep(0.1)
        self.assertEqual([], self.engines.orders)

    def test_new_owner_waits_where_fences_are_ignored(self):
        self.put(2, checks_fence=False, weight_order_timeout_s=0.3)
        self.announce(3)
        started = time.monotonic()
        self.drive(lambda: self.engines.orders)
        self.assertGreaterEqual(time.monotonic() - started, 0.3)


if __name__ == '__main__':
    unittest.main()
