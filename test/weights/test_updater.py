"""Test the rollout of weight versions to engines."""

import random
import threading
import time
import unittest

from baobabpond.leases import manager
from baobabpond.log import state
from baobabpond.members import instance_list
from baobabpond import metrics
from baobabpond.routing import upstreams
from baobabpond.settings import current
from baobabpond.settings import tree
from baobabpond.weights import updater
from test import helpers

WAIT_S = 5.0


class FakeEngines:
    """Replace the adapter and the engines behind it."""

    def __init__(self, count):
        self.versions = {f'e{number}': 0 for number in range(count)}
        self.orders = []
        self.polls = 0
        self.fail = {}
        self.swapping = 0
        self.max_swapping = 0
        self.lock = threading.Lock()

    def poll_load(self, engine):
        """Return the version of an engine."""
        self.polls += 1
        version = self.versions[engine.instance]
        return upstreams.LoadReport(0, 0, version)

    def update_weights(self, engine, version, fence, _timeout_s):
        """Update an engine's version, or fail the swap."""
        with self.lock:
            self.orders.append((engine.instance, version, fence))
            self.swapping += 1
            self.max_swapping = max(self.max_swapping, self.swapping)
            failures = self.fail.get(engine.instance, 0)
            self.fail[engine.instance] = failures - 1
        time.sleep(0.02)
        with self.lock:
            self.swapping -= 1
            self.versions[engine.instance] = None if failures > 0 else version
        return failures <= 0


class FakeLeaseManager:
    """Return the lease that a test sets."""

    def __init__(self):
        self.held_lease = manager.HeldLease(7, time.monotonic() + 1000)

    def acquire_or_renew(self, _lease_s):
        """Return the lease."""
        return self.held_lease


class ServiceUpdaterTest(unittest.TestCase):
    """Update six engines."""

    def setUp(self):
        self.engines = FakeEngines(6)
        self.manager = FakeLeaseManager()
        self.settings = current.CurrentSettings()
        self.offer_settings(1, weight_wave_share=0.34)
        self.state = state.State()
        self.updater = updater.ServiceUpdater(
            'd/m',
            self.settings,
            self.state,
            self.manager,
            lambda _service: [
                instance_list.ListedInstance(name, 'a', 1, 1, 'x', False)
                for name in self.engines.versions
            ],
            self.engines,
            metrics.Metrics(),
            random.Random(1),
        )

    def offer_settings(self, revision, **values):
        nodes = {'d/m': {'adapter': 'completions', **values}}
        self.settings.update_if_newer(
            current.Settings(revision, tree.Tree(nodes)), 'test'
        )

    def announce(self, version):
        item = {'type': 'version', 'service': 'd/m', 'version': version}
        seq = self.state.next_offset + 1
        helpers.apply(self.state, [helpers.envelope('t', seq, item)])

    def reconcile_until(self, condition):
        deadline = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline)
            self.updater.reconcile()
            time.sleep(0.005)

    def all_at_version(self, version):
        return set(self.engines.versions.values()) == {version}

    def test_waves_leave_most_engines_serving(self):
        self.announce(3)
        self.reconcile_until(lambda: self.all_at_version(3))
        self.assertLessEqual(self.engines.max_swapping, 3)
        self.assertEqual({7}, {fence for _, _, fence in self.engines.orders})

    def test_failed_swap_is_retried(self):
        self.engines.fail = {'e1': 2}
        self.announce(3)
        self.reconcile_until(lambda: self.all_at_version(3))

    def test_restarted_engine_is_updated_again(self):
        self.offer_settings(2, load_poll_s=0.05)
        self.announce(3)
        self.reconcile_until(lambda: self.all_at_version(3))
        self.engines.versions['e2'] = 0
        self.reconcile_until(lambda: self.all_at_version(3))

    def test_up_to_date_engines_are_polled_at_the_load_poll_interval(self):
        self.announce(3)
        self.reconcile_until(lambda: self.all_at_version(3))
        time.sleep(0.1)
        polls_before = self.engines.polls
        for _ in range(20):
            self.updater.reconcile()
            time.sleep(0.01)
        self.assertLessEqual(self.engines.polls - polls_before, 6)

    def test_no_order_is_sent_without_the_lease(self):
        self.announce(3)
        self.manager.held_lease = None
        for _ in range(5):
            self.updater.reconcile()
        self.assertEqual([], self.engines.orders)

    def test_no_order_is_sent_after_the_lease_has_expired(self):
        self.announce(3)
        held_lease = self.manager.held_lease
        self.manager.acquire_or_renew = lambda _lease_s: held_lease
        self.manager.held_lease = None
        self.updater.reconcile()
        time.sleep(0.1)
        self.assertEqual([], self.engines.orders)

    def test_new_holder_waits_if_engines_do_not_check_fences(self):
        self.offer_settings(2, checks_fence=False, weight_order_timeout_s=0.3)
        self.announce(3)
        started = time.monotonic()
        self.reconcile_until(lambda: self.engines.orders)
        self.assertGreaterEqual(time.monotonic() - started, 0.3)


if __name__ == '__main__':
    unittest.main()
