"""Test the adaptive time-out of calls to the log."""

import unittest

from baobabpond.batches import ownership
from baobabpond.store import adaptive_timeout


class AdaptiveTimeoutTest(unittest.TestCase):
    """Adapt a time-out within the bounds of an owner's appends."""

    def setUp(self) -> None:
        """Create the time-out of an owner's appends."""
        self.timeout = adaptive_timeout.AdaptiveTimeout(
            ownership.APPEND_TIMEOUT_S, ownership.MAX_APPEND_TIMEOUT_S
        )

    def test_timeout_grows_for_a_slow_log(self) -> None:
        """Appends that take 0.6 s complete after one time-out."""
        self.timeout.record_timeout()
        self.assertGreater(self.timeout.timeout_s, 0.6)
        self.timeout.record_latency(0.6)
        self.assertGreater(self.timeout.timeout_s, 0.6)
        for _ in range(9):
            self.timeout.record_timeout()
        self.assertEqual(
            ownership.MAX_APPEND_TIMEOUT_S, self.timeout.timeout_s
        )

    def test_timeout_shrinks_after_a_fast_response(self) -> None:
        """After a fast response a lost one times out soon."""
        for _ in range(9):
            self.timeout.record_timeout()
        self.timeout.record_latency(0.005)
        self.assertEqual(ownership.APPEND_TIMEOUT_S, self.timeout.timeout_s)


if __name__ == '__main__':
    unittest.main()
