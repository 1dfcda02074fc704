"""Test the claim and the hold of a shard."""

import threading
import time
import unittest

from baobabpond.batches import book as book_module
from baobabpond.batches import ownership
from baobabpond.batches import records
from baobabpond import metrics
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module
from test.store import fakes

TIMEOUT_S = 5.0


class Work:
    """Do nothing, and note when it may be done."""

    has_more = False

    def __init__(self) -> None:
        self.tenures: list[ownership.Tenure] = []
        self.ceased = threading.Event()
        self.fails = False

    def begin(self, tenure: ownership.Tenure) -> None:
        """Note a tenure."""
        self.tenures.append(tenure)

    def cease(self) -> None:
        """Note the end."""
        self.ceased.set()

    def outbox(self, wait_s: float) -> list[log_port.Record]:
        """Return nothing after a while."""
        time.sleep(min(wait_s, 0.02))
        if self.fails:
            raise RuntimeError('as told')
        return []


class OwnershipTest(unittest.TestCase):
    """Hold a shard on a fake log."""

    def setUp(self) -> None:
        """Make a log and an instance that may own the shard."""
        self.log = fakes.FakeLog()
        self.book = book_module.Book()
        self.work = Work()
        self.follower = follower_module.Follower(
            self.log, 't', 0, self.book.apply, metrics.Metrics()
        )
        self.ownership = self.make('a')

    def make(self, name: str) -> ownership.Ownership:
        """Return an instance's part."""
        return ownership.Ownership(
            name,
            self.log,
            't',
            0,
            self.book,
            self.follower,
            self.work,
            metrics.Metrics(),
        )

    def start(self) -> None:
        """Start, and let it claim."""
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
        """Let another instance have claimed."""
        record = records.encode_owner(
            records.OwnerRecord(name, 'other', 1, released)
        )
        self.log.add(record.key, record.value)

    def test_empty_shard_is_claimed_and_fenced(self) -> None:
        """The claim is conditional, and an empty append fences."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.assertTrue(self.ownership.is_trusted)
        fence = self.log.appends[1]
        self.assertEqual([], fence[0])
        self.assertEqual(0, fence[1].sequence)

    def test_live_owner_is_left_alone(self) -> None:
        """Nobody claims while heartbeats come."""
        self.add_owner('b')
        self.start()
        for _ in range(8):
            time.sleep(0.25)
            self.add_owner('b')
        self.assertIsNone(self.ownership.tenure)

    def test_owner_is_left_alone_after_the_log_was_silent(self) -> None:
        """Calls that hang tell nothing of an owner that hangs as well."""
        self.add_owner('b')
        # Answers come again when this is set.
        back = threading.Event()
        silent_s = ownership.TAKEOVER_S + 0.5
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

    def test_own_former_process_is_not_waited_for(self) -> None:
        """A restarted instance claims what it owned at once."""
        self.add_owner('a')
        started = time.monotonic()
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.assertLess(time.monotonic() - started, ownership.TAKEOVER_S)

    def test_fenced_owner_ceases(self) -> None:
        """An owner whose append is fenced ends its work."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.Outcome.FENCED)
        self.assertTrue(self.work.ceased.wait(TIMEOUT_S))

    def test_append_the_log_never_takes_ends_the_tenure(self) -> None:
        """Repeating it for ever would stop all results."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.Outcome.REJECTED)
        self.assertTrue(self.work.ceased.wait(TIMEOUT_S))

    def test_owner_that_fails_ceases(self) -> None:
        """An instance whose task fails does not go on without heartbeats."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.work.fails = True
        self.assertTrue(self.work.ceased.wait(TIMEOUT_S))
        self.work.fails = False
        self.wait(lambda: len(self.work.tenures) > 1)

    def test_lost_answer_keeps_its_sequence(self) -> None:
        """An append without an answer is repeated as it was."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.log.outcomes.append(log_port.Outcome.UNKNOWN)
        self.wait(lambda: not self.log.outcomes)
        time.sleep(0.3)
        sequences = [f.sequence for _, f in self.log.appends if f]
        repeated = [n for n in set(sequences) if sequences.count(n) > 1]
        self.assertEqual(1, len(repeated))

    def test_release_is_on_the_log(self) -> None:
        """A leaving owner says so."""
        self.start()
        self.wait(lambda: self.ownership.tenure)
        self.ownership.release(TIMEOUT_S)
        self.assertTrue(self.work.ceased.is_set())
        last = records.decode_owner(self.log.records[-1].value)
        self.assertTrue(last.released)
