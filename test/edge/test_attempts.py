"""Test how long an attempt may take."""

import unittest

from baobabpond.edge import attempts


class AttemptTimeoutTest(unittest.TestCase):
    """Leave time for another upstream."""

    def test_time_is_left_for_another(self) -> None:
        """With others to try an attempt ends after some targets."""
        self.assertAlmostEqual(
            0.6, attempts.attempt_timeout_s(1.5, 0.15, True)
        )

    def test_last_attempt_has_all_the_time(self) -> None:
        """Without others an attempt ends with the request."""
        self.assertEqual(1.5, attempts.attempt_timeout_s(1.5, 0.15, False))

    def test_timeout_is_bounded_by_the_deadline(self) -> None:
        """No attempt outlasts its request."""
        self.assertEqual(0.2, attempts.attempt_timeout_s(0.2, 0.15, True))

    def test_timeout_has_a_minimum(self) -> None:
        """A target of some milliseconds is not taken for silence."""
        self.assertEqual(0.3, attempts.attempt_timeout_s(1.5, 0.01, True))
