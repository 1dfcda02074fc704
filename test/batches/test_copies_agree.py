"""Test that all copies of a shard have the same results in the same order."""

import random
import unittest
from unittest import mock

from baobabpond.batches import records
from baobabpond.batches import shard_state as state_module
from baobabpond import metrics as metrics_module
from baobabpond.ports import callers
from baobabpond.ports import log as log_port
from baobabpond.store import follower as follower_module

from . import drawn_log

SEEDS = range(120)
STEPS = 40
UNLIMITED_CALLS = 10_000
MAX_CALLS = 4
NEW_COPY_SHARE = 0.12
EXPIRY_SHARE = 0.2


class Copy:
    """An instance's copy of the shard, checked after each change."""

    def __init__(
        self,
        case: unittest.TestCase,
        log: drawn_log.DrawnLog,
        writer: drawn_log.Writer,
        metrics: metrics_module.Metrics,
    ) -> None:
        self.shard_state = state_module.ShardState()
        self._case = case
        self._log = log
        self._writer = writer
        self._seen: dict[str, list[callers.Result]] = {}
        self._follower = follower_module.Follower(
            log, 'keyed.batches', 0, self._apply, metrics
        )

    def read(self, calls: int) -> bool:
        """Read on with a number of calls; return whether it caught up."""
        self._log.calls_left = calls
        try:
            self._follower.catch_up()
        except log_port.LogError:
            return False
        return True

    def check_whole(self) -> None:
        """Check that the copy has all results that the log has had."""
        for batch in drawn_log.BATCHES:
            if batch in self._writer.removed:
                continue
            found = self.shard_state.get(batch)
            self._case.assertEqual(
                self._writer.is_complete(batch), found is not None
            )
            if found is not None:
                self._case.assertEqual(
                    self._writer.results[batch], found.results
                )

    def _apply(
        self, records_read: list[log_port.Record], is_snapshot: bool
    ) -> None:
        self.shard_state.apply(records_read, is_snapshot)
        for batch in drawn_log.BATCHES:
            found = self.shard_state.get(batch)
            if found is not None:
                self._check_results(batch, found)
            elif batch in self._seen:
                self._case.assertIn(batch, self._writer.removed)

    def _check_results(self, batch: str, found: state_module.Batch) -> None:
        """Check that results are a prefix of all and never vanish."""
        results = list(found.results)
        expected = self._writer.results[batch]
        self._case.assertEqual(expected[: len(results)], results)
        seen = self._seen.get(batch, [])
        self._case.assertEqual(seen, results[: len(seen)])
        self._seen[batch] = results
        self._case.assertEqual(
            drawn_log.BATCHES[batch], tuple(item.id for item in found.items)
        )


class CopiesAgreeTest(unittest.TestCase):
    """Compare copies that read along, load snapshots or lose their place."""

    def setUp(self) -> None:
        """Split batches into small parts."""
        patch = mock.patch.object(
            records, 'MAX_PART_BYTES', drawn_log.MAX_PART_BYTES
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.metrics = metrics_module.Metrics()
        self.copy_count = 0

    def test_copies_agree_on_drawn_logs(self) -> None:
        """What a copy knows is at each moment a prefix of all results."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_drawn_log(random.Random(seed), False)
        # Copies lose their place, too, and load a snapshot again.
        self.assertGreater(
            self.metrics.counter('log.loads'), self.copy_count + len(SEEDS)
        )

    def test_copies_agree_while_batches_are_removed(self) -> None:
        """A batch is known with its results until it is removed whole."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.check_drawn_log(random.Random(seed), True)

    def check_drawn_log(self, rng: random.Random, removes: bool) -> None:
        """Compare the copies of a drawn log."""
        log = drawn_log.DrawnLog(rng)
        writer = drawn_log.Writer(log, rng, removes)
        log.append_next = writer.append_next
        reader = Copy(self, log, writer, self.metrics)
        copies: list[Copy] = []
        for _ in range(STEPS):
            writer.append_next()
            reader.read(UNLIMITED_CALLS)
            if rng.random() < NEW_COPY_SHARE:
                copies.append(Copy(self, log, writer, self.metrics))
            if rng.random() < EXPIRY_SHARE:
                log.expire()
            for copy in copies:
                copy.read(rng.randint(0, MAX_CALLS))
        log.append_next = lambda: None
        for copy in (reader, *copies):
            self.assertTrue(copy.read(UNLIMITED_CALLS))
            copy.check_whole()
        self.copy_count += 1 + len(copies)
