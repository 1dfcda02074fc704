"""Test which statements about limits are believed."""

import time
import unittest

import freezegun

from baobabpond import metrics
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams
from baobabpond.ratelimits import tracker as tracker_module

ENTRY = catalogue.UpstreamEntry('u', 'orders', 'h', 80, 'a', 4, False, 1, {})


def make_head(
    limit: float | None = None, **changes: object
) -> upstreams.ResponseHead:
    """Return the head of a signed response."""
    head = upstreams.ResponseHead(
        False, False, 'r', None, 0, 'signature', request_limit=limit
    )
    return head._replace(**changes)


class TrackerTest(unittest.TestCase):
    """Observe responses of one upstream."""

    def setUp(self) -> None:
        """Create a tracker that knows nothing."""
        self.metrics = metrics.Metrics()
        self.tracker = tracker_module.LimitTracker(self.metrics)

    @property
    def limit(self) -> float | None:
        """Return the limit that is believed."""
        return self.tracker.limit_of(ENTRY.incarnation)

    def observe(
        self,
        head: upstreams.ResponseHead,
        sent_at: float | None = None,
        is_genuine: bool = True,
    ) -> None:
        """Observe a response to a request sent now, or at a time."""
        if sent_at is None:
            sent_at = time.monotonic()
        self.tracker.observe(ENTRY, head, sent_at, is_genuine)

    def test_limit_holds_until_a_response_without_one(self) -> None:
        """It changes and ends as the upstream says."""
        for limit in (2.0, 0.5, 0.0, None):
            self.observe(make_head(limit))
            self.assertEqual(limit, self.limit)

    def test_late_response_to_an_earlier_request_has_no_effect(self) -> None:
        """Responses may overtake each other."""
        with freezegun.freeze_time() as frozen:
            early = time.monotonic()
            frozen.tick(1.0)
            self.observe(make_head(1.0))
            self.observe(make_head(9.0), early)
            self.assertEqual(1.0, self.limit)
            self.observe(make_head(None), early)
            self.assertEqual(1.0, self.limit)

    def test_unreadable_limit_changes_nothing(self) -> None:
        """It is counted."""
        self.observe(make_head(1.0))
        self.observe(make_head(has_unreadable_limit=True))
        self.assertEqual(1.0, self.limit)
        self.assertEqual(1, self.metrics.counter('ratelimits.unreadable'))

    def test_doubtful_response_does_not_end_a_limit(self) -> None:
        """Nor does one of another upstream at the address."""
        self.observe(make_head(1.0))
        self.observe(make_head(), is_genuine=False)
        self.observe(make_head(misdirected=True))
        self.assertEqual(1.0, self.limit)

    def test_limit_ends_with_the_incarnation(self) -> None:
        """The next process under the id has none."""
        self.observe(make_head(1.0))
        self.assertIsNone(self.tracker.limit_of(('u', 2)))

    def test_upstreams_without_limits_are_not_remembered(self) -> None:
        """They cost no memory."""
        self.observe(make_head())
        self.assertEqual({}, self.tracker.statements())
