"""Draw what the log of the batches topic may hold."""

import collections
import random

from baobabpond.batches import records
from baobabpond.ports import callers
from baobabpond.ports import log as log_port

from ..store import fakes
from . import test_shard_state as examples

# Neighbours share items, which are carried over from one to the other.
BATCHES = {
    'a': ('i0', 'i1', 'i2', 'i3', 'i4', 'i5'),
    'b': ('i4', 'i5', 'i6', 'i7', 'i8', 'i9'),
    'c': ('i9', 'i0', 'i10'),
}
# Splits the batches in up to three parts.
MAX_PART_BYTES = 180
MAX_PAGE_RECORDS = 4
# The keys of the results of a tenure are soon not sorted by offset: 10 < 9.
FIRST_RECORD_NUMBER = 8
INTERLEAVED_APPEND_SHARE = 0.5
STEP_WEIGHTS = {
    'submit': 3,
    'list_results': 10,
    'end': 1,
    'persist_progress': 2,
    'count_failure': 1,
    'change_owner': 2,
}
REMOVE_WEIGHT = 1


class DrawnLog(fakes.FakeLog):
    """Return pages of drawn size, between which records are appended."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__()
        self._rng = rng
        # Calls until the log fails.
        self.calls_left = 0
        # Called between two calls of a reader.
        self.append_next = lambda: None

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> log_port.Page:
        """Return some records from an offset on."""
        self._count_call()
        page = super().read(topic, partition, offset, wait_s, timeout_s)
        size = self._rng.randint(1, MAX_PAGE_RECORDS)
        return page._replace(records=page.records[:size])

    def newest(
        self,
        topic: str,
        partition: int,
        after: str,
        timeout_s: float | None = None,
    ) -> log_port.NewestPage:
        """Return some of the newest records of the keys after a key."""
        self._count_call()
        self.page_size = self._rng.randint(1, MAX_PAGE_RECORDS)
        return super().newest(topic, partition, after, timeout_s)

    def expire(self) -> None:
        """Let records up to a drawn offset expire."""
        self.first = self._rng.randint(self.first, self.end)

    def _count_call(self) -> None:
        if not self.calls_left:
            raise log_port.LogError('out of reach')
        self.calls_left -= 1
        if self._rng.random() < INTERLEAVED_APPEND_SHARE:
            self.append_next()


class Writer:
    """Append what trainers and owners write, in a drawn order.

    Knows by itself which results a batch has.
    """

    def __init__(
        self, log: DrawnLog, rng: random.Random, removes: bool
    ) -> None:
        self._log = log
        self._rng = rng
        self._weights = dict(STEP_WEIGHTS)
        if removes:
            self._weights['remove'] = REMOVE_WEIGHT
        self._epoch = 1
        self._record_number = FIRST_RECORD_NUMBER
        self._parts = {
            batch: examples.make_batch(batch, *items)
            for batch, items in BATCHES.items()
        }
        self._submitted: dict[str, set[str]] = collections.defaultdict(set)
        self._ended: set[str] = set()
        self._keys: dict[str, set[str]] = collections.defaultdict(set)
        self._progress: dict[str, list[str]] = collections.defaultdict(list)
        self._obsolete_keys: list[str] = []
        # Batches whose records were removed.
        self.removed: set[str] = set()
        # Results of each batch, also of a removed one, in order.
        self.results: dict[str, list[callers.Result]] = {
            batch: [] for batch in BATCHES
        }

    def append_next(self) -> None:
        """Append the records of a drawn step."""
        (step,) = self._rng.choices(
            list(self._weights), list(self._weights.values())
        )
        batch = self._rng.choice(list(BATCHES))
        if batch in self.removed:
            return
        getattr(self, f'_{step}')(batch)

    def is_complete(self, batch: str) -> bool:
        """Return whether the log has had all parts of a batch."""
        return len(self._submitted[batch]) == len(self._parts[batch])

    def _add(self, record: log_port.Record) -> None:
        self._log.add(record.key, record.value)

    def _submit(self, batch: str) -> None:
        """Append some parts, for the first time or as a retry."""
        parts = self._parts[batch]
        first = self._rng.randrange(len(parts))
        if self._rng.random() < 0.5:
            first = 0
        for part in parts[first : self._rng.randint(first + 1, len(parts))]:
            self._add(part)
            self._submitted[batch].add(part.key)
            self._keys[batch].add(part.key)

    def _list_results(self, batch: str) -> None:
        """Append results, also of items that have one."""
        if not self.is_complete(batch):
            return
        self._record_number += 1
        suffix = f'{self._epoch}.{self._record_number}'
        count = self._rng.randint(1, 3)
        items = self._rng.sample(BATCHES[batch], count)
        results = [
            callers.Result(
                item, self._rng.random() < 0.8, f'{item} of {suffix}', (1,)
            )
            for item in items
        ]
        record = records.encode_results(
            records.Results(batch, results), suffix
        )
        self._add(record)
        self._keys[batch].add(record.key)
        for key in self._obsolete_keys:
            self._add(records.tombstone(key))
        self._obsolete_keys = [
            key for item in items for key in self._progress.pop(item, ())
        ]
        self._note_results(batch, results)

    def _note_results(self, batch: str, results: list[callers.Result]) -> None:
        """Note the results of items that had none."""
        noted = self.results[batch]
        known = {result.id for result in noted}
        noted += [result for result in results if result.id not in known]

    def _end(self, batch: str) -> None:
        """Append an end record, also before the batch or once more."""
        record = records.encode_end(batch)
        self._add(record)
        self._ended.add(batch)
        self._keys[batch].add(record.key)

    def _persist_progress(self, batch: str) -> None:
        item = self._rng.choice(BATCHES[batch])
        first_event = self._rng.randint(1, 3)
        record = records.encode_progress(
            records.Progress(item, f'{self._epoch}.1', first_event, ['x'], [1])
        )
        self._add(record)
        self._progress[item].append(record.key)

    def _count_failure(self, batch: str) -> None:
        item = self._rng.choice(BATCHES[batch])
        self._add(records.encode_failures(records.Failures(batch, item, 1, 0)))
        self._keys[batch].add(records.failures_key(batch, item))

    def _change_owner(self, batch: str) -> None:
        """Begin a tenure: an epoch above the offsets of all records."""
        self._epoch = self._log.end + 1
        self._record_number = FIRST_RECORD_NUMBER
        self._add(
            records.encode_owner(
                records.OwnerRecord('entry-1', 'x', self._epoch, False)
            )
        )

    def _remove(self, batch: str) -> None:
        """Append the tombstones of a closed batch, as once it expires."""
        is_closed = batch in self._ended or len(self.results[batch]) == len(
            BATCHES[batch]
        )
        if not self.is_complete(batch) or not is_closed:
            return
        for key in sorted(self._keys[batch]):
            self._add(records.tombstone(key))
        self.removed.add(batch)
