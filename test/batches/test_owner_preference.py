"""Test which instances claim a vacant shard first."""

import unittest

from baobabpond.batches import owner_preference

SMALL = 0.387
MEDIUM = 1.29
LARGE = 2.151


class OwnerPreferenceTest(unittest.TestCase):
    """Let instances with more processor cores own the shard.

    A small owner handles the events of all runs late: most steps of a
    deployment with 49 small and 37 larger instances missed their time once
    a small one had taken over.
    """

    OTHERS = [SMALL] * 49 + [MEDIUM] * 17 + [LARGE] * 19

    def test_largest_claim_at_once(self) -> None:
        """Nothing is gained by waiting."""
        self.assertEqual(
            0.0, owner_preference.claim_delay_s(LARGE, self.OTHERS)
        )

    def test_smaller_instances_claim_later(self) -> None:
        """They claim too, for the larger ones may all be lost."""
        medium_s = owner_preference.claim_delay_s(MEDIUM, self.OTHERS)
        small_s = owner_preference.claim_delay_s(SMALL, self.OTHERS)
        self.assertLess(0.0, medium_s)
        self.assertLess(medium_s, small_s)
        self.assertLessEqual(small_s, owner_preference.MAX_DELAY_S)

    def test_alike_instances_have_no_preference(self) -> None:
        """The shard must not wander between instances that are alike."""
        others = [LARGE, LARGE * 1.1, 0.0]
        self.assertEqual(0.0, owner_preference.claim_delay_s(LARGE, others))
        self.assertFalse(owner_preference.has_larger(LARGE, others))

    def test_markedly_larger_instance_is_preferred(self) -> None:
        """A small owner without work hands the shard over."""
        self.assertTrue(owner_preference.has_larger(SMALL, [SMALL, MEDIUM]))

    def test_instance_that_does_not_know_its_cores(self) -> None:
        """It behaves as before."""
        self.assertEqual(0.0, owner_preference.claim_delay_s(0.0, [LARGE]))
        self.assertFalse(owner_preference.has_larger(0.0, [LARGE]))

    def test_only_instance(self) -> None:
        """There is nobody to wait for."""
        self.assertEqual(0.0, owner_preference.claim_delay_s(SMALL, []))


if __name__ == '__main__':
    unittest.main()
