"""Test what failures say about the path to a service."""

import unittest

from baobabpond.reachability import judgement
from baobabpond.reachability import tracker
from test.ratelimits import examples

SINCE = 10.0


class JudgementTest(unittest.TestCase):
    """Judge by own paths and those of others."""

    def suspicion(self, is_silence: bool = False) -> tracker.Suspicion:
        """Return a failure at one upstream."""
        return tracker.Suspicion(examples.entry('a'), SINCE, is_silence)

    def test_connection_to_another_upstream_explains_a_failure(self) -> None:
        """The upstream that failed is down."""
        paths = [tracker.DirectPath(connected_at=SINCE + 1)]
        self.assertTrue(judgement.is_explained(self.suspicion(), paths))

    def test_open_connections_do_not_explain_failed_new_ones(self) -> None:
        """They live on in some cuts."""
        paths = [tracker.DirectPath(connected_at=1, heard_at=SINCE + 1)]
        self.assertFalse(judgement.is_explained(self.suspicion(), paths))
        self.assertTrue(judgement.is_explained(self.suspicion(True), paths))

    def test_service_that_nobody_reaches_is_down(self) -> None:
        """All its upstreams have ended."""
        failing = [examples.entry('a'), examples.entry('b')]
        self.assertIs(
            judgement.Standing.DOWN, judgement.judge(failing, [], set())
        )

    def test_service_that_others_reach_is_cut_off(self) -> None:
        """It is this instance that has no path."""
        failing = [examples.entry('a'), examples.entry('b')]
        self.assertIs(
            judgement.Standing.CUT_OFF, judgement.judge(failing, [], {'b'})
        )

    def test_reached_upstream_outweighs_failing_ones(self) -> None:
        """Requests can go to the other upstreams."""
        self.assertIs(
            judgement.Standing.REACHED,
            judgement.judge(
                [examples.entry('a')], [examples.entry('b')], {'a'}
            ),
        )
