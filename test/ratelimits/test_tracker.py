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

    def test_limit_holds_until_a_response_without_one(self) -> None:
        """It changes and ends as the upstream says."""
        for limit in (2.0, 0.5, 0.0, None):
            self.tracker.observe(ENTRY, make_head(limit), time.monotonic())
            self.assertEqual(limit, self.limit)

    def test_late_response_to_an_earlier_request_has_no_effect(self) -> None:
        """Responses may overtake each other."""
        with freezegun.freeze_time() as frozen:
            early = time.monotonic()
            frozen.tick(1.0)
            self.tracker.observe(ENTRY, make_head(1.0), time.monotonic())
            self.tracker.observe(ENTRY, make_head(9.0), early)
            self.assertEqual(1.0, self.limit)
            self.tracker.observe(ENTRY, make_head(None), early)
            self.assertEqual(1.0, self.limit)

    def test_unreadable_limit_changes_nothing(self) -> None:
        """It is counted."""
        self.tracker.observe(ENTRY, make_head(1.0), time.monotonic())
        self.tracker.observe(
            ENTRY, make_head(has_unreadable_limit=True), time.monotonic()
        )
        self.assertEqual(1.0, self.limit)
        self.assertEqual(1, self.metrics.counter('ratelimits.unreadable'))

    def test_unsigned_response_does_not_end_a_limit(self) -> None:
        """Nor does one of another upstream at the address."""
        self.tracker.observe(ENTRY, make_head(1.0), time.monotonic())
        now = time.monotonic()
        self.tracker.observe(ENTRY, make_head(signature=''), now)
        self.tracker.observe(ENTRY, make_head(misdirected=True), now)
        self.assertEqual(1.0, self.limit)

    def test_limit_ends_with_the_incarnation(self) -> None:
        """The next process under the id has none."""
        self.tracker.observe(ENTRY, make_head(1.0), time.monotonic())
        self.assertIsNone(self.tracker.limit_of(('u', 2)))

    def test_upstreams_without_limits_are_not_remembered(self) -> None:
        """They cost no memory."""
        self.tracker.observe(ENTRY, make_head(), time.monotonic())
        self.assertEqual({}, self.tracker.statements())
