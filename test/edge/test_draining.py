"""Test which requests a draining instance takes."""

import time
import unittest
from unittest import mock

from baobabpond.edge import draining
from baobabpond import verdicts

BEGAN = 100.0
DRAIN = draining.Drain(BEGAN + 2.0, BEGAN + 7.0)


class DrainingTest(unittest.TestCase):
    """A drain of 7 s, of which callers know after 2 s."""

    def is_taken(
        self, after_s: float, limit_s: float, is_repeatable: bool = False
    ) -> bool:
        """Return whether a request is taken some time after the start."""
        with mock.patch.object(
            time, 'monotonic', autospec=True, return_value=BEGAN + after_s
        ):
            refusal = draining.refusal(DRAIN, limit_s, is_repeatable)
        if refusal is not None:
            self.assertIs(verdicts.Verdict.NOT_RUN, refusal.verdict)
            self.assertIsNotNone(refusal.retry_after_s)
        return refusal is None

    def test_request_that_may_run_once_is_taken_if_it_ends_in_time(
        self,
    ) -> None:
        """It is refused as not run otherwise, from the start."""
        self.assertTrue(self.is_taken(0.0, 2.0))
        self.assertTrue(self.is_taken(4.8, 2.0))
        self.assertFalse(self.is_taken(5.0, 2.0))
        self.assertFalse(self.is_taken(0.0, 10.0))

    def test_repeatable_request_is_taken_until_callers_know(self) -> None:
        """Another instance could begin it anew if it is cut."""
        self.assertTrue(self.is_taken(1.0, 10.0, True))
        self.assertFalse(self.is_taken(2.0, 10.0, True))
        self.assertTrue(self.is_taken(4.8, 2.0, True))

    def test_instance_that_stays_takes_everything(self) -> None:
        """There is no drain."""
        self.assertIsNone(draining.refusal(None, 1000.0, False))
