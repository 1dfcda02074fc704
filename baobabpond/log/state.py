"""Fold the log's records into the state that all instances share."""

import abc
import collections.abc
import threading
import time
import typing

from .. import registry
from ..gen import records as schema

from . import client

SENDER_RETENTION_S = 86_400.0


class Position(typing.NamedTuple):
    """Offset and log time at which an item is applied.

    Log time is the latest time in any record so far.
    """

    offset: int
    log_time_s: float


class Fold(abc.ABC):
    """Reduce the items of some types to one part of the state."""

    item_types: typing.ClassVar[tuple[str, ...]]

    @abc.abstractmethod
    def apply(self, item: typing.Any, position: Position) -> None:
        """Apply one item."""

    @abc.abstractmethod
    def dump(self) -> typing.Any:
        """Return the state as JSON-serialisable values."""

    @abc.abstractmethod
    def load(self, dumped: typing.Any) -> None:
        """Replace the state by a dump."""

    def expire(self, log_time_s: float) -> None:
        """Drop entries that have expired at a log time."""


FoldType = typing.TypeVar('FoldType', bound=Fold)
folds: registry.Registry[type[Fold]] = registry.Registry('fold')


class SenderProgress(typing.NamedTuple):
    """Highest sequence number of a sender, and its log time."""

    seq: int
    time_s: float


class State:
    """The folds and the offset up to which records have been applied."""

    def __init__(self) -> None:
        self.changed = threading.Condition(threading.RLock())
        self._folds = {name: folds.get(name)() for name in folds.names}
        self._by_type = {
            item_type: fold
            for fold in self._folds.values()
            for item_type in fold.item_types
        }
        self._next_offset = 0
        self._log_time_s = 0.0
        self._snapshot_offset = -1
        self._snapshot_time_s = 0.0
        self._senders: dict[str, SenderProgress] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record not yet applied."""
        return self._next_offset

    @property
    def log_time_s(self) -> float:
        """Return the latest time in any applied record."""
        return self._log_time_s

    @property
    def snapshot_offset(self) -> int:
        """Return the offset that the newest snapshot covers, or -1."""
        return self._snapshot_offset

    @property
    def snapshot_time_s(self) -> float:
        """Return the log time at which the newest snapshot was appended."""
        return self._snapshot_time_s

    def fold(self, fold_type: type[FoldType]) -> FoldType:
        """Return the fold of a type.

        Raises LookupError.
        """
        for fold in self._folds.values():
            if isinstance(fold, fold_type):
                return fold
        raise LookupError(fold_type.__name__)

    def is_seq_settled(self, sender: str, seq: int) -> bool:
        """Return whether a sequence number of a sender is settled.

        It is once that number or a higher one was applied.
        """
        with self.changed:
            progress = self._senders.get(sender)
            return progress is not None and progress.seq >= seq

    def wait_for(
        self, predicate: collections.abc.Callable[[], bool], deadline: float
    ) -> bool:
        """Wait until a predicate holds; return False at the deadline.

        The deadline is a monotonic time.
        """
        with self.changed:
            while not predicate():
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return False
                self.changed.wait(remaining)
            return True

    def apply(self, record: client.Record) -> None:
        """Apply the next record of the log."""
        with self.changed:
            self._next_offset = record.offset + 1
            if _is_envelope(record.value):
                self._apply_envelope(
                    typing.cast(schema.Envelope, record.value), record.offset
                )
            self.changed.notify_all()

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state as JSON-serialisable values."""
        with self.changed:
            return {
                'log_time_s': self._log_time_s,
                'senders': {
                    name: list(progress)
                    for name, progress in self._senders.items()
                },
                'folds': {
                    name: fold.dump() for name, fold in self._folds.items()
                },
            }

    def load(self, dumped: dict[str, typing.Any], offset: int) -> None:
        """Replace the state by a dump that covers records up to an offset."""
        with self.changed:
            self._log_time_s = dumped['log_time_s']
            self._senders = {
                name: SenderProgress(*progress)
                for name, progress in dumped['senders'].items()
            }
            for name, fold in self._folds.items():
                if name in dumped['folds']:
                    fold.load(dumped['folds'][name])
            self._next_offset = offset + 1
            self._snapshot_offset = offset
            self._snapshot_time_s = self._log_time_s
            self.changed.notify_all()

    def _apply_envelope(self, envelope: schema.Envelope, offset: int) -> None:
        sender, seq = envelope['sender'], envelope['seq']
        progress = self._senders.get(sender)
        # A duplicate, or a late append that its sender has given up.
        if progress is not None and seq <= progress.seq:
            return
        if self._log_time_s == 0.0:
            self._snapshot_time_s = envelope['time_s']
        self._log_time_s = max(self._log_time_s, envelope['time_s'])
        # Moved to the end, so that the dictionary stays ordered by time.
        self._senders.pop(sender, None)
        self._senders[sender] = SenderProgress(seq, self._log_time_s)
        position = Position(offset, self._log_time_s)
        for item in envelope['items']:
            self._apply_item(item, position)
        self._expire()

    def _apply_item(
        self, item: dict[str, typing.Any], position: Position
    ) -> None:
        if item['type'] == 'snapshot':
            self._snapshot_offset = item['offset']
            self._snapshot_time_s = position.log_time_s
            return
        fold = self._by_type.get(item['type'])
        if fold is not None:
            fold.apply(item, position)

    def _expire(self) -> None:
        oldest = self._log_time_s - SENDER_RETENTION_S
        while self._senders:
            name = next(iter(self._senders))
            if self._senders[name].time_s >= oldest:
                break
            del self._senders[name]
        for fold in self._folds.values():
            fold.expire(self._log_time_s)


def _is_envelope(value: typing.Any) -> bool:
    return isinstance(value, dict) and {
        'sender',
        'seq',
        'time_s',
        'items',
    } <= set(value)
