"""Test how records are applied to the shared state."""

import unittest

from baobabpond.claims import fold as claim_fold
from baobabpond.log import state
from test import helpers


class StateTest(unittest.TestCase):
    """Apply duplicates, late records, snapshots and foreign records."""

    def setUp(self):
        self.state = state.State()
        self.claims = self.state.fold(claim_fold.ClaimFold)

    def test_duplicate_is_dropped(self):
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

    def test_abandoned_batch_has_no_effect_when_appended_late(self):
        late = helpers.envelope('a', 1, helpers.claim_item('c1', 'k'))
        helpers.apply(self.state, [helpers.envelope('a', 2), late])
        self.assertIsNone(self.claims.get('k'))
        self.assertTrue(self.state.is_seq_settled('a', 1))

    def test_foreign_records_are_skipped(self):
        helpers.apply(self.state, ['text', {'sender': 'x'}, None])
        self.assertEqual(3, self.state.next_offset)

    def test_loaded_dump_equals_the_dumped_state(self):
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
        duplicate = helpers.envelope('a', 1, helpers.claim_item('c2', 'k2'))
        helpers.apply(other, [duplicate])
        self.assertIsNone(other.fold(claim_fold.ClaimFold).get('k2'))

    def test_claims_expire_by_log_time(self):
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
