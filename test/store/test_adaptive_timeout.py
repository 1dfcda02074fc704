"""Test how long calls to the log may take."""

import unittest

from baobabpond.batches import ownership
from baobabpond.store import adaptive_timeout


class AdaptiveTimeoutTest(unittest.TestCase):
    """Wait for a slow log, with the bounds of an owner's appends."""

    def setUp(self) -> None:
        """Make the patience of an owner."""
        self.timeout = adaptive_timeout.AdaptiveTimeout(
            ownership.APPEND_TIMEOUT_S, ownership.MOST_APPEND_TIMEOUT_S
        )

    def test_slow_log_is_given_time(self) -> None:
        """Appends that take 0.6 s are seen to end after one repeat."""
        self.timeout.record_timeout()
        self.assertGreater(self.timeout.timeout_s, 0.6)
        self.timeout.record_latency(0.6)
        self.assertGreater(self.timeout.timeout_s, 0.6)
        for _ in range(9):
            self.timeout.record_timeout()
        self.assertEqual(
            ownership.MOST_APPEND_TIMEOUT_S, self.timeout.timeout_s
        )

    def test_quick_log_is_not_waited_for(self) -> None:
        """After quick answers a lost one is noticed soon."""
        for _ in range(9):
            self.timeout.record_timeout()
        self.timeout.record_latency(0.005)
        self.assertEqual(ownership.APPEND_TIMEOUT_S, self.timeout.timeout_s)


if __name__ == '__main__':
    unittest.main()
