"""Test how an instance claims and retains a shard."""

import threading
import time
import unittest
from unittest import mock

from baobabpond.batches import ownership
from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond import clock
from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module
from test.store import fakes

TIMEOUT_S = 5.0


class FakeWorker:
    """Record tenures, and return no records."""

    has_pending_results = False

    def __init__(self) -> None:
        self.tenures: list[ownership.Tenure] = []
        self.stopped = threading.Event()
        self.fails = False

    def start(self, tenure: ownership.Tenure) -> None:
        """Record a tenure."""
        self.tenures.append(tenure)

    def stop(self) -> None:
        """Record the stop."""
        self.stopped.set()

    def next_records(self, wait_s: float) -> list[log_port.Record]:
        """Return no records after a short wait, or fail."""
        time.sleep(min(wait_s, 0.02))
        if self.fails:
            raise RuntimeError('worker failed')
        return []

    def on_appended(self) -> None:
        """Do nothing."""


class OwnershipTest(unittest.TestCase):
    """Claim and retain a shard on a fake log."""

    def setUp(self) -> None:
        """Create a log and an instance that may own the shard."""
        self.log = fakes.FakeLog()
        self.shard_state = state_module.ShardState()
        self.worker = FakeWorker()
        self.follower = follower_module.Follower(
            self.log, 't', 0, self.shard_state.apply, metrics.Metrics()
        )
        self.may_own = True
        self.claim_delay_s = 0.0
        self.ownership = self.make('a')

    def make(self, name: str) -> ownership.Ownership:
        """Return the ownership of an instance."""
        return ownership.Ownership(
            name,
            self.log,
            't',
            0,
            self.shard_state,
            self.follower,
            self.worker,
            metrics.Metrics(),
            lambda: self.may_own,
            lambda: self.claim_delay_s,
        )

    def start(self) -> None:
        """Start, and allow claims."""
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.ownership.start()
        self.addCleanup(self.ownership.release, TIMEOUT_S)
        self.ownership.allow_claims()

    def wait(self, condition: object) -> None:
        """Wait until a condition holds."""
        ends_at = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.01)

    def add_owner(self, name: str, released: bool = False) -> None:
        """Append an owner record of another instance or process."""
        record = records.encode_owner(
            records.OwnerRecord(name, 'other', 1, released)
        )
        self.log.add(record.key, record.value)

    def test_empty_shard_is_claimed_and_fenced(self) -> None:
        """The claim is conditional, and an empty append fences."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.assertTrue(self.ownership.has_owner_lease)
        fence = self.log.appends[1]
        self.assertEqual([], fence[0])
        self.assertEqual(0, fence[1].sequence)

    def test_tenure_begins_after_the_claim(self) -> None:
        """The lease of calls counts from then, not from the start."""
        before = clock.since_boot_s()
        self.start()
        self.wait(lambda: self.ownership.tenure)
        tenure = self.ownership.tenure
        assert tenure is not None
        self.assertLessEqual(before, tenure.began_boot_s)
        self.assertLessEqual(tenure.began_boot_s, clock.since_boot_s())

    def test_instance_that_lacks_records_does_not_claim(self) -> None:
        """It would run items whose results it does not know."""
        self.follower.catch_up()
        self.log.add('batch/x/0')
        with (
            mock.patch.object(
                records, 'decode_batch', autospec=True, side_effect=MemoryError
            ),
            self.assertRaises(MemoryError),
        ):
            self.follower.catch_up()
        self.follower.catch_up()
        self.start()
        time.sleep(0.5)
        self.assertIsNone(self.ownership.tenure)

    def test_owner_that_others_should_replace_gives_the_shard_up(self) -> None:
        """Its work stops first, and the last record releases the shard."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.may_own = False
        self.wait(lambda: self.ownership.tenure is None)
        self.assertTrue(self.worker.stopped.is_set())
        self.follower.catch_up()
        owner = self.shard_state.owner
        assert owner is not None
        self.assertTrue(owner.record.released)
        time.sleep(ownership.MAX_RELEASE_DELAY_S)
        self.assertEqual(1, len(self.worker.tenures))
        self.may_own = True
        self.wait(lambda: self.ownership.tenure)

    def test_small_instance_leaves_the_shard_to_larger_ones(self) -> None:
        """Otherwise a small one that is first becomes a slow owner."""
        self.claim_delay_s = TIMEOUT_S
        self.add_owner('b', released=True)
        self.start()
        time.sleep(2 * ownership.MAX_RELEASE_DELAY_S)
        self.assertIsNone(self.ownership.tenure)
        self.claim_delay_s = 0.0
        self.wait(lambda: self.ownership.tenure)

    def test_live_owner_keeps_the_shard(self) -> None:
        """No instance claims while heartbeats arrive."""
        self.add_owner('b')
        self.start()
        for _ in range(8):
            time.sleep(0.25)
            self.add_owner('b')
        self.assertIsNone(self.ownership.tenure)

    def test_owner_keeps_the_shard_after_a_log_outage(self) -> None:
        """A log that hangs does not show that the owner is dead."""
        self.add_owner('b')
        # The log responds again once this is set.
        back = threading.Event()
        silent_s = ownership.TAKEOVER_TIMEOUT_S + 0.5
        self.follower.start()
        self.addCleanup(self.follower.stop)
        self.wait(lambda: self.follower.has_caught_up)
        self.log.before_read = lambda: back.wait(TIMEOUT_S)
        self.ownership.start()
        self.addCleanup(self.ownership.release, TIMEOUT_S)
        self.ownership.allow_claims()
        time.sleep(silent_s)
        back.set()
        for _ in range(8):
            time.sleep(0.2)
            self.add_owner('b')
        self.assertIsNone(self.ownership.tenure)

    def test_restarted_owner_claims_without_delay(self) -> None:
        """The previous process of the instance is known to be dead."""
        self.add_owner('a')
        started = time.monotonic()
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.assertLess(
            time.monotonic() - started, ownership.TAKEOVER_TIMEOUT_S
        )

    def test_fenced_owner_stops(self) -> None:
        """An owner whose append is fenced stops its work."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.AppendOutcome.FENCED)
        self.assertTrue(self.worker.stopped.wait(TIMEOUT_S))

    def test_rejected_append_ends_the_tenure(self) -> None:
        """Retrying it for ever would block all results."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.AppendOutcome.REJECTED)
        self.assertTrue(self.worker.stopped.wait(TIMEOUT_S))

    def test_owner_stops_on_an_exception(self) -> None:
        """The work must not continue without heartbeats."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.worker.fails = True
        self.assertTrue(self.worker.stopped.wait(TIMEOUT_S))
        self.worker.fails = False
        self.wait(lambda: len(self.worker.tenures) > 1)

    def test_append_with_unknown_outcome_keeps_its_sequence(self) -> None:
        """An append whose response is lost is retried unchanged."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.AppendOutcome.UNKNOWN)
        self.wait(lambda: not self.log.outcomes)
        time.sleep(0.3)
        sequences = [fence.sequence for _, fence in self.log.appends if fence]
        repeated = [
            sequence
            for sequence in set(sequences)
            if sequences.count(sequence) > 1
        ]
        self.assertEqual(1, len(repeated))

    def test_release_is_appended_to_the_log(self) -> None:
        """An owner that releases the shard appends a release record."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.ownership.release(TIMEOUT_S)
        self.assertTrue(self.worker.stopped.is_set())
        last = records.decode_owner(self.log.records[-1].value)
        self.assertTrue(last.released)
