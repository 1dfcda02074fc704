"""Build a shard's batches and results from the records of its partition."""

import collections
import threading
import time
import typing

import structlog

from .. import decoding
from ..ports import callers
from ..ports import log as log_port

from . import records

LOG = structlog.get_logger(__name__)


class ObservedOwner(typing.NamedTuple):
    """The latest owner record of a shard."""

    record: records.OwnerRecord
    # Monotonic time at which the record was read.
    read_at: float


class ObservedIntent(typing.NamedTuple):
    """The latest intent record of an upstream."""

    intent: records.Intent
    # Monotonic time at which the record was read.
    read_at: float


class PartialOutput(typing.NamedTuple):
    """Events of an unfinished item on the log, without gaps."""

    # Identifies the output among those of the item.
    output_id: str
    # Data and weight version of each event.
    events: list[tuple[str, int]]
    # The item needs no further events, but no result was listed yet.
    is_complete: bool = False
    # Software version that wrote the events; None if unknown.
    software: str | None = None


class CompletedItem(typing.NamedTuple):
    """A completed result and the reward call that scored it, if any."""

    result: callers.Result
    reward_call: callers.RewardCall | None


class ItemKey(typing.NamedTuple):
    """Identify an item in any batch of an account.

    Accounts choose the ids of their items independently of one another.
    """

    account: str | None
    item: str


class Batch:
    """An accepted batch and its results so far."""

    def __init__(
        self,
        head: records.BatchHead,
        items: tuple[callers.Item, ...],
        submitted: float,
    ) -> None:
        self.head = head
        self.items = items
        # Monotonic time of the first submission, as far as times of day agree.
        self.submitted = submitted
        # Monotonic time since which this process knows the batch.
        self.known_since = time.monotonic()
        self.results: list[callers.Result] = []
        # Ids of the items that have a result.
        self.finished_ids: set[str] = set()
        self.ended = False
        # Keys of the records of the batch, for their removal.
        self.keys: set[str] = set()
        self._by_id = {item.id: item for item in items}

    @property
    def is_open(self) -> bool:
        """Return whether items may still be run."""
        return not self.ended and not self.has_all_results

    @property
    def has_all_results(self) -> bool:
        """Return whether every item has a result."""
        return len(self.finished_ids) == len(self.items)

    def item(self, item_id: str) -> callers.Item | None:
        """Return the item with an id, None if there is none."""
        return self._by_id.get(item_id)

    def add(self, result: callers.Result) -> bool:
        """Add a result unless its item has one; return whether it did."""
        if result.id in self.finished_ids or result.id not in self._by_id:
            return False
        self.finished_ids.add(result.id)
        self.results.append(result)
        return True


class ShardState:
    """Replicated state of a shard, updated from the log. Thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._batches: dict[str, Batch] = {}
        # By id and account of the batch.
        self._incomplete_parts: dict[
            tuple[str, str | None], dict[int, records.BatchPart]
        ] = collections.defaultdict(dict)
        # By item id, then by record key.
        self._progress: dict[str, dict[str, records.Progress]] = (
            collections.defaultdict(dict)
        )
        self._orphan_results: dict[str, list[tuple[str, records.Results]]] = (
            collections.defaultdict(list)
        )
        self._completed: dict[ItemKey, CompletedItem] = {}
        self._failures: dict[tuple[str, str], records.Failures] = {}
        # Keys of end records that precede their batch on the log.
        self._orphan_ends: dict[str, list[str]] = {}
        # Keys of removed batches that are still on the log.
        self._leftover_keys: set[str] = set()
        self._owner: ObservedOwner | None = None
        self._intents: dict[str, ObservedIntent] = {}
        # By service.
        self._default_software: dict[str, str] = {}
        self._revision = 0

    @property
    def owner(self) -> ObservedOwner | None:
        """Return the latest owner record, None if there is none."""
        return self._owner

    @property
    def revision(self) -> int:
        """Return a counter that grows with each change."""
        return self._revision

    def intent(self, upstream: str) -> ObservedIntent | None:
        """Return the latest intent of an order to an upstream."""
        return self._intents.get(upstream)

    def default_software(self, service: str) -> str | None:
        """Return the software version of a service's unrecorded streams.

        None until the log has one.
        """
        return self._default_software.get(service)

    def get(self, batch: str) -> Batch | None:
        """Return the batch with an id, None if it is unknown."""
        return self._batches.get(batch)

    def open_batches(self) -> list[Batch]:
        """Return the batches whose items may still be run."""
        with self._changed:
            return [batch for batch in self._batches.values() if batch.is_open]

    def all_batches(self) -> list[Batch]:
        """Return all batches."""
        with self._changed:
            return list(self._batches.values())

    def leftover_keys(self) -> list[str]:
        """Return the keys of removed batches that are still on the log."""
        with self._changed:
            return sorted(self._leftover_keys)

    def completed(
        self, item: str, account: str | None = None
    ) -> CompletedItem | None:
        """Return the completed result of an item of an account's batches."""
        return self._completed.get(ItemKey(account, item))

    def failures(self, batch: str, item: str) -> records.Failures:
        """Return the failed attempts at an unfinished item."""
        none = records.Failures(batch, item, 0, 0)
        return self._failures.get((batch, item), none)

    def partial_outputs(
        self, item: str, account: str | None = None
    ) -> list[PartialOutput]:
        """Return the partial outputs of an account's unfinished item."""
        with self._changed:
            by_output: dict[str, list[records.Progress]] = {}
            for segment in self._progress.get(item, {}).values():
                if segment.account != account:
                    continue
                by_output.setdefault(segment.output_id, []).append(segment)
        return [
            _join_segments(output_id, segments)
            for output_id, segments in by_output.items()
        ]

    def temporary_keys(self, batch: str, item: str) -> list[str]:
        """Return the keys of records that the item's result replaces."""
        with self._changed:
            keys = list(self._progress.get(item, ()))
            if (batch, item) in self._failures:
                keys.append(records.failures_key(batch, item))
            return keys

    def wait_for_change(self, revision: int, timeout_s: float) -> int:
        """Wait until the revision differs; return the current one."""
        with self._changed:
            self._changed.wait_for(
                lambda: self._revision != revision, timeout_s
            )
            return self._revision

    def wait_results(
        self, batch: Batch, position: int, timeout_s: float
    ) -> list[callers.Result]:
        """Return results from a position on.

        Waits until there is one, the batch has all results, or it ended.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: (
                    len(batch.results) > position
                    or batch.has_all_results
                    or batch.ended
                ),
                timeout_s,
            )
            return batch.results[position:]

    def apply(
        self, records_read: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records in the order of their offsets; skip invalid ones."""
        with self._changed:
            for record in records_read:
                try:
                    self._apply_record(record, is_snapshot)
                except decoding.MalformedData as error:
                    LOG.error(
                        'invalid record skipped',
                        key=record.key,
                        offset=record.offset,
                        error=str(error),
                    )
            self._revision += 1
            self._changed.notify_all()

    @decoding.decoder('record')
    def _apply_record(
        self, record: log_port.Record, is_snapshot: bool
    ) -> None:
        kind = record.key.partition('/')[0]
        if not record.value:
            self._apply_tombstone(kind, record.key)
        elif kind == records.BATCH:
            self._add_part(records.decode_batch(record.value), is_snapshot)
        elif kind == records.RESULT:
            self._add_results(
                record.key, records.decode_results(record.key, record.value)
            )
        elif kind == records.END:
            self._apply_end(record.key)
        elif kind == records.PROGRESS:
            progress = records.decode_progress(record.key, record.value)
            self._progress[progress.item][record.key] = progress
        elif kind == records.FAILURES:
            failures = records.decode_failures(record.key, record.value)
            self._failures[failures.batch, failures.item] = failures
        elif kind == records.INTENT:
            intent = records.decode_intent(record.key, record.value)
            self._intents[intent.upstream] = ObservedIntent(
                intent, time.monotonic()
            )
        elif kind == records.SOFTWARE:
            service, software = records.decode_default_software(
                record.key, record.value
            )
            self._default_software[service] = software
        elif kind == records.OWNER_KEY:
            owner = records.decode_owner(record.value)
            self._owner = ObservedOwner(owner, time.monotonic())

    def _add_part(self, part: records.BatchPart, is_snapshot: bool) -> None:
        batch_id = part.head.id
        if batch_id in self._batches:
            return
        key = (batch_id, part.head.account)
        parts = self._incomplete_parts[key]
        parts[part.index] = part
        if len(parts) < part.part_count:
            return
        del self._incomplete_parts[key]
        items = tuple(
            item
            for _, batch_part in sorted(parts.items())
            for item in batch_part.items
        )
        age_s = 0.0
        if is_snapshot:
            age_s = max(0.0, time.time() - part.head.submitted_at)
        batch = Batch(part.head, items, time.monotonic() - age_s)
        batch.ended = batch_id in self._orphan_ends
        batch.keys.update(
            records.batch_key(batch_id, number) for number in parts
        )
        batch.keys.update(self._orphan_ends.pop(batch_id, ()))
        self._batches[batch_id] = batch
        for key, results in self._orphan_results.pop(batch_id, ()):
            self._add_results(key, results)

    def _add_results(self, key: str, results: records.Results) -> None:
        batch = self._batches.get(results.batch)
        if batch is None:
            # A retried append moved the batch to a higher offset than its
            # results.
            self._orphan_results[results.batch].append((key, results))
            return
        batch.keys.add(key)
        for result in results.results:
            if not batch.add(result):
                continue
            if result.completed:
                item = batch.item(result.id)
                key = ItemKey(batch.head.account, result.id)
                self._completed[key] = CompletedItem(
                    result, item.reward_call if item else None
                )
            self._progress.pop(result.id, None)
            self._failures.pop((results.batch, result.id), None)

    def _apply_end(self, key: str) -> None:
        batch_id = key.split('/')[1]
        batch = self._batches.get(batch_id)
        if batch is None:
            self._orphan_ends[batch_id] = [key]
        else:
            batch.ended = True
            batch.keys.add(key)

    def _apply_tombstone(self, kind: str, key: str) -> None:
        parts = key.split('/')
        self._leftover_keys.discard(key)
        if kind == records.END:
            self._orphan_ends.pop(parts[1], None)
        elif kind == records.BATCH:
            batch = self._batches.pop(parts[1], None)
            if batch is not None:
                self._leftover_keys |= batch.keys - {key}
            for result in batch.results if batch else ():
                item = ItemKey(batch.head.account, result.id)
                completed = self._completed.get(item)
                if completed is not None and completed.result is result:
                    del self._completed[item]
        elif kind == records.FAILURES:
            self._failures.pop((parts[1], parts[2]), None)
        elif kind == records.PROGRESS:
            segments = self._progress.get(parts[1])
            if segments is not None:
                segments.pop(key, None)
                if not segments:
                    del self._progress[parts[1]]


def _join_segments(
    output_id: str, segments: list[records.Progress]
) -> PartialOutput:
    """Return the events from the first one up to the first gap."""
    events: list[tuple[str, int]] = []
    is_complete = False
    ordered = sorted(segments, key=lambda segment: segment.first_event)
    software = ordered[0].software if ordered else None
    for segment in ordered:
        if segment.first_event > len(events) + 1:
            break
        if segment.software != software:
            break
        # A new owner may have generated some events again.
        del events[segment.first_event - 1 :]
        events += zip(segment.data, segment.versions, strict=True)
        is_complete = segment.is_last
    return PartialOutput(output_id, events, is_complete, software)
