"""Test how records are folded."""

import unittest

from baobabpond.claims import fold as claim_fold
from baobabpond.log import state
from test import helpers


class StateTest(unittest.TestCase):
    """Fold copies, late records and snapshots."""

    def setUp(self):
        self.state = state.State()
        self.claims = self.state.fold(claim_fold.ClaimFold)

    def test_second_copy_is_dropped(self):
        claim = helpers.claim_item('c1', 'k')
        release = {
            'type': 'outcome',
            'key': 'k',
            'claim_id': 'c1',
            'verdict': 'not_run',
        }
        first = helpers.envelope('a', 1, claim)
        helpers.apply(
            self.state, [first, helpers.envelope('a', 2, release), first]
        )
        self.assertIsNone(self.claims.get('k'))

    def test_batch_given_up_counts_for_nothing_when_it_lands_late(self):
        late = helpers.envelope('a', 1, helpers.claim_item('c1', 'k'))
        helpers.apply(self.state, [helpers.envelope('a', 2), late])
        self.assertIsNone(self.claims.get('k'))
        self.assertTrue(self.state.seen('a', 1))

    def test_foreign_records_are_skipped(self):
        helpers.apply(self.state, ['text', {'sender': 'x'}, None])
        self.assertEqual(3, self.state.next_offset)

    def test_dump_and_load_give_the_same_state(self):
        helpers.apply(
            self.state,
            [
                helpers.envelope('a', 1, helpers.claim_item('c1', 'k')),
                helpers.envelope(
                    'b',
                    1,
                    helpers.publish_item('p', 0, ('d/s', 'timeout_s', 3)),
                ),
            ],
        )
        other = state.State()
        other.load(self.state.dump(), self.state.next_offset - 1)
        self.assertEqual(self.state.dump(), other.dump())
        self.assertEqual(self.state.next_offset, other.next_offset)
        copy = helpers.envelope('a', 1, helpers.claim_item('c2', 'k2'))
        helpers.apply(other, [copy])
        self.assertIsNone(other.fold(claim_fold.ClaimFold).get('k2'))

    def test_claims_expire_by_the_logs_time(self):
        claim = helpers.claim_item('c1', 'k', keep_s=10)
        helpers.apply(
            self.state,
            [
                helpers.envelope('a', 1, claim, time_s=100),
                helpers.envelope('a', 2, time_s=109),
            ],
        )
        self.assertIsNotNone(self.claims.get('k'))
        helpers.apply(self.state, [helpers.envelope('b', 1, time_s=110)])
        self.assertIsNone(self.claims.get('k'))


if __name__ == '__main__':
    unittest.main()
