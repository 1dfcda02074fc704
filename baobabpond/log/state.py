"""Fold the log's records into the state that every instance shares."""

import abc
import collections.abc
import threading
import time
import typing

from .. import registry
from ..gen import records as schema

from . import client

SENDER_MEMORY_S = 86_400.0


class Position(typing.NamedTuple):
    """Say where in the log an item stands and how late it is there."""

    offset: int
    log_time_s: float


class Fold(abc.ABC):
    """Fold the items of some types into one part of the state."""

    item_types: typing.ClassVar[tuple[str, ...]]

    @abc.abstractmethod
    def apply(self, item: typing.Any, position: Position) -> None:
        """Take in one item."""

    @abc.abstractmethod
    def dump(self) -> typing.Any:
        """Return the state in a form that JSON can carry."""

    @abc.abstractmethod
    def load(self, dumped: typing.Any) -> None:
        """Replace the state by a dumped one."""

    def expire(self, log_time_s: float) -> None:
        """Forget what the log's time has overtaken."""


FoldType = typing.TypeVar('FoldType', bound=Fold)
folds: registry.Registry[type[Fold]] = registry.Registry('fold')


class SenderMark(typing.NamedTuple):
    """Hold the highest sequence number seen from a sender, and when."""

    seq: int
    time_s: float


class State:
    """Hold the folds and the position up to which they are complete."""

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
        self._senders: dict[str, SenderMark] = {}

    @property
    def next_offset(self) -> int:
        """Return the offset of the first record not yet folded."""
        return self._next_offset

    @property
    def log_time_s(self) -> float:
        """Return the latest time that a record has named."""
        return self._log_time_s

    @property
    def snapshot_offset(self) -> int:
        """Return the offset that the newest snapshot covers, or -1."""
        return self._snapshot_offset

    @property
    def snapshot_time_s(self) -> float:
        """Return the log time at which the newest snapshot landed."""
        return self._snapshot_time_s

    def fold(self, fold_type: type[FoldType]) -> FoldType:
        """Return the fold of a type."""
        for fold in self._folds.values():
            if isinstance(fold, fold_type):
                return fold
        raise LookupError(fold_type.__name__)

    def seen(self, sender: str, seq: int) -> bool:
        """Tell whether a sequence number of a sender is settled."""
        with self.changed:
            mark = self._senders.get(sender)
            return mark is not None and mark.seq >= seq

    def wait_for(
        self, predicate: collections.abc.Callable[[], bool], deadline: float
    ) -> bool:
        """Wait until a predicate holds or a monotonic deadline passes."""
        with self.changed:
            while not predicate():
                remaining = deadline - time.monotonic()
                if remaining <= 0:
                    return False
                self.changed.wait(remaining)
            return True

    def apply(self, record: client.Record) -> None:
        """Take in the next record of the log."""
        with self.changed:
            self._next_offset = record.offset + 1
            if _is_envelope(record.value):
                self._apply_envelope(
                    typing.cast(schema.Envelope, record.value), record.offset
                )
            self.changed.notify_all()

    def dump(self) -> dict[str, typing.Any]:
        """Return the whole state in a form that JSON can carry."""
        with self.changed:
            return {
                'log_time_s': self._log_time_s,
                'senders': {
                    name: list(mark) for name, mark in self._senders.items()
                },
                'folds': {
                    name: fold.dump() for name, fold in self._folds.items()
                },
            }

    def load(self, dumped: dict[str, typing.Any], offset: int) -> None:
        """Replace the state by one that covers records up to an offset."""
        with self.changed:
            self._log_time_s = dumped['log_time_s']
            self._senders = {
                name: SenderMark(*mark)
                for name, mark in dumped['senders'].items()
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
        mark = self._senders.get(sender)
        # A second copy, or a late one that its sender has given up.
        if mark is not None and seq <= mark.seq:
            return
        if self._log_time_s == 0.0:
            self._snapshot_time_s = envelope['time_s']
        self._log_time_s = max(self._log_time_s, envelope['time_s'])
        # Moved to the end, so that the dictionary stays in order of time.
        self._senders.pop(sender, None)
        self._senders[sender] = SenderMark(seq, self._log_time_s)
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
        oldest = self._log_time_s - SENDER_MEMORY_S
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
