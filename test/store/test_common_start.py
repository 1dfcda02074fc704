"""Test that many instances can load from a log with a limited read rate.

After a loss of power all instances read the same snapshot at the same time.
"""

import threading
import time
import unittest
from unittest import mock

from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module
from baobabpond.store import relay

from . import clusters

PAGES = 6
PAGE_S = 0.004
# Tenfold faster than on a real platform.
TIMEOUT_S = 0.1
MAX_TIMEOUT_S = 0.6
# Pages of the snapshot in tests of the order of loads.
MANY_PAGES = 20
# Bound of the first instance's load, as a multiple of the time it takes alone,
# and the time that the threads of all need to start.
MAX_FIRST_FACTOR = 4
START_MARGIN_S = 0.4


class BusyLog:
    """Send one page after the other; those that timed out are sent too."""

    def __init__(self, pages: int = PAGES) -> None:
        self._pages = pages
        self._lock = threading.Lock()
        self._free_at = 0.0
        self.pages_sent = 0

    def newest(
        self,
        topic: str,
        partition: int,
        after: str,
        timeout_s: float | None = None,
    ) -> log_port.NewestPage:
        """Return the next page once the earlier ones are sent."""
        with self._lock:
            now = time.monotonic()
            self._free_at = max(self._free_at, now) + PAGE_S
            self.pages_sent += 1
            wait_s = self._free_at - now
        timeout_s = timeout_s or TIMEOUT_S
        time.sleep(min(wait_s, timeout_s))
        if wait_s > timeout_s:
            raise log_port.LogError('timed out')
        number = int(after or 0) + 1
        record = log_port.Record(str(number), b'x', number)
        return log_port.NewestPage(
            self._pages + 1, [record], number < self._pages
        )

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> log_port.Page:
        """Return no records after the wait."""
        time.sleep(wait_s)
        return log_port.Page(self._pages + 1, [])


class CommonStartTest(unittest.TestCase):
    """Load the snapshots of 10, 30 and 100 instances."""

    def check_start(self, instances: int) -> None:
        """Check that all load in a small multiple of the least time."""
        busy_log = BusyLog()
        followers = []
        for _ in range(instances):
            log = relay.FailoverLog(busy_log, metrics.Metrics())
            followers.append(
                follower_module.Follower(
                    log, 'keyed.t', 0, lambda *_: None, metrics.Metrics()
                )
            )
        least_s = instances * PAGES * PAGE_S
        started = time.monotonic()
        for follower in followers:
            follower.start()
            self.addCleanup(follower.stop)
        while not all(follower.has_caught_up for follower in followers):
            self.assertLess(time.monotonic() - started, 3 * least_s + 2.0)
            time.sleep(0.02)
        self.assertLess(busy_log.pages_sent, 2 * instances * PAGES)

    def check_first(self, instances: int) -> None:
        """Check how long the first instance and the last one load."""
        busy_log = BusyLog(MANY_PAGES)
        cluster = clusters.Cluster(busy_log, instances)
        followers = list(cluster.followers.values())
        max_first_s = MAX_FIRST_FACTOR * MANY_PAGES * PAGE_S + START_MARGIN_S
        cluster.may_load.clear()
        for follower in followers:
            follower.start()
            self.addCleanup(follower.stop)
        # Starting so many threads takes longer than the load itself.
        started = time.monotonic()
        cluster.may_load.set()
        while not any(follower.has_caught_up for follower in followers):
            self.assertLess(time.monotonic() - started, max_first_s)
            time.sleep(0.005)
        while not all(follower.has_caught_up for follower in followers):
            self.assertLess(time.monotonic() - started, 3 * max_first_s)
            time.sleep(0.005)
        self.assertEqual(MANY_PAGES, busy_log.pages_sent)
        self.assertEqual(instances, len(cluster.received))
        for records in cluster.received:
            self.assertEqual(MANY_PAGES, len(records))
        for follower in followers:
            follower.stop()

    def test_first_instance_loads_as_fast_as_alone(self) -> None:
        """The first copy does not wait for those of the other instances."""
        for instances in (1, 10, 30, 100):
            with self.subTest(instances=instances):
                self.check_first(instances)

    def test_all_instances_load_at_the_same_time(self) -> None:
        """Neither the time nor the pages per instance grow with the number."""
        with (
            mock.patch.object(relay, 'LOAD_TIMEOUT_S', TIMEOUT_S),
            mock.patch.object(relay, 'MAX_LOAD_TIMEOUT_S', MAX_TIMEOUT_S),
        ):
            for instances in (10, 30, 100):
                with self.subTest(instances=instances):
                    self.check_start(instances)


if __name__ == '__main__':
    unittest.main()
