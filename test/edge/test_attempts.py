"""Test the time-out of an attempt."""

import unittest

from baobabpond.edge import attempts


class AttemptTimeoutTest(unittest.TestCase):
    """Leave time for a retry on another upstream."""

    def test_time_is_left_for_a_retry(self) -> None:
        """With alternatives an attempt ends after a multiple of the target."""
        self.assertAlmostEqual(
            0.6, attempts.attempt_timeout_s(1.5, 0.15, True)
        )

    def test_last_attempt_may_use_the_remaining_time(self) -> None:
        """Without alternatives an attempt may last until the deadline."""
        self.assertEqual(1.5, attempts.attempt_timeout_s(1.5, 0.15, False))

    def test_timeout_is_bounded_by_the_deadline(self) -> None:
        """No attempt outlasts its request."""
        self.assertEqual(0.2, attempts.attempt_timeout_s(0.2, 0.15, True))

    def test_timeout_has_a_minimum(self) -> None:
        """A target of a few milliseconds does not cause false time-outs."""
        self.assertEqual(0.3, attempts.attempt_timeout_s(1.5, 0.01, True))
