"""Test who may send a request to an upstream that states a limit."""

import time
import unittest
from unittest import mock

import freezegun

from baobabpond import clock
from baobabpond.ratelimits import bucket as bucket_module
from baobabpond.ratelimits import issuer as issuer_module
from baobabpond.ratelimits import permits as permits_module

from . import examples

CALLER = bucket_module.caller_urgency(2)


class OwnerTest(unittest.TestCase):
    """Issue permits at the owner of the shard."""

    def setUp(self) -> None:
        """Create an owner that knows a limit, in paused time."""
        frozen = freezegun.freeze_time(tick=False)
        self.frozen = frozen.start()
        self.addCleanup(frozen.stop)
        self.owner = examples.Instance(examples.OWNER)
        self.owner.state_limit(1.0)
        patch = mock.patch.object(
            clock, 'since_boot_s', autospec=True, side_effect=time.monotonic
        )
        patch.start()
        self.addCleanup(patch.stop)

    def issue(self, limit: float = 1.0) -> bool:
        """Return whether another instance's request is granted."""
        decision = self.owner.issuer.issue(
            examples.entry().incarnation, limit, bucket_module.BACKGROUND
        )
        assert decision is not None
        return decision.is_granted

    def test_new_tenure_begins_without_saved_permits(self) -> None:
        """The former owner may just have issued them."""
        self.frozen.tick(60.0)
        self.assertEqual(1, self.owner.count_grants(CALLER, 5))
        self.frozen.tick(60.0)
        self.assertEqual(3, self.owner.count_grants(CALLER, 5))
        self.frozen.tick(60.0)
        self.owner.authority = issuer_module.Authority(2, True)
        self.assertEqual(1, self.owner.count_grants(CALLER, 5))

    def test_owner_without_a_lease_issues_half(self) -> None:
        """Another instance may have taken over."""
        self.owner.count_grants(CALLER, 5)
        self.owner.authority = issuer_module.Authority(1, False)
        granted = 0
        for _ in range(200):
            self.frozen.tick(0.1)
            granted += self.owner.count_grants(CALLER, 1)
        self.assertAlmostEqual(10, granted, delta=2)

    def test_instance_that_is_no_owner_issues_nothing(self) -> None:
        """Not even to itself."""
        self.owner.authority = None
        self.assertIsNone(
            self.owner.issuer.issue(examples.entry().incarnation, 1.0, CALLER)
        )
        with self.assertRaises(permits_module.RateLimited):
            self.owner.permits.take(examples.entry(), CALLER)

    def test_lower_of_two_known_limits_counts(self) -> None:
        """The asking instance may know a newer one, or an older one."""
        for limit, expected in ((0.5, 10), (9.0, 20)):
            granted = 0
            for _ in range(200):
                self.frozen.tick(0.1)
                granted += self.issue(limit)
            self.assertAlmostEqual(expected, granted, delta=2)

    def test_expired_permit_is_void(self) -> None:
        """A process that was paused must not use it."""
        permit = self.owner.permits.obtain(examples.entry(), CALLER)
        may_send = self.owner.permits.may_send
        self.assertTrue(may_send(examples.entry(), permit))
        self.frozen.tick(permits_module.PERMIT_VALID_S + 0.01)
        self.assertFalse(may_send(examples.entry(), permit))

    def test_permit_of_before_the_limit_is_void(self) -> None:
        """It was obtained while the upstream stated none."""
        other = examples.entry('v')
        permit = self.owner.permits.take(other, CALLER)
        self.assertTrue(self.owner.permits.may_send(other, permit))
        self.owner.state_limit(1.0, 'v')
        self.assertFalse(self.owner.permits.may_send(other, permit))

    def test_permit_holds_for_one_incarnation(self) -> None:
        """Not for the next process under the id."""
        permit = self.owner.permits.obtain(examples.entry(), CALLER)
        restarted = examples.entry()._replace(born=2)
        self.assertFalse(self.owner.permits.may_send(restarted, permit))


class OtherInstanceTest(unittest.TestCase):
    """Obtain permits at an instance that asks the owner."""

    def setUp(self) -> None:
        """Create an instance that knows a limit."""
        self.instance = examples.Instance()
        self.instance.state_limit(1.0)

    def test_refusal_is_remembered(self) -> None:
        """The owner is not asked again before it helps."""
        self.instance.remote.ask.return_value = bucket_module.Decision(
            False, 5.0
        )
        self.assertEqual(0, self.instance.count_grants(CALLER, 10))
        self.assertEqual(1, self.instance.remote.ask.call_count)
        self.assertGreater(
            self.instance.permits.refused_s(examples.entry(), CALLER), 4.0
        )

    def test_refusal_of_a_retry_does_not_hold_for_first_attempts(self) -> None:
        """They may use the permit that it has to leave."""
        self.instance.remote.ask.side_effect = [
            bucket_module.Decision(False, 5.0),
            bucket_module.Decision(True, 0.0),
        ]
        self.assertEqual(0, self.instance.count_grants(bucket_module.RETRY, 1))
        self.assertEqual(1, self.instance.count_grants(CALLER, 1))

    def test_refusal_ends_with_the_limit(self) -> None:
        """The upstream may be used at once."""
        self.assertEqual(0, self.instance.count_grants(CALLER, 1))
        self.instance.state_limit(None, stated_at=1.0)
        self.assertEqual(
            0.0, self.instance.permits.refused_s(examples.entry(), CALLER)
        )
        self.assertEqual(1, self.instance.count_grants(CALLER, 1))

    def test_no_permit_without_an_owner(self) -> None:
        """The refusal says when to come back, and names the limit."""
        with self.assertRaises(permits_module.RateLimited) as raised:
            self.instance.permits.obtain(examples.entry(), CALLER)
        self.assertGreater(raised.exception.retry_s, 0)
        self.assertIn('1/s', str(raised.exception))

    def test_unlimited_upstream_needs_no_owner(self) -> None:
        """Nobody is asked."""
        self.instance.permits.obtain(examples.entry('v'), CALLER)
        self.instance.remote.ask.assert_not_called()
