"""Define the append-only log that stores durable state."""

import enum
import typing


class AppendOutcome(enum.Enum):
    """State the known outcome of an append."""

    DONE = 'done'
    # Nothing was written, and nothing will be written later.
    REFUSED = 'refused'
    # The log does not accept such records; a retry would fail as well.
    REJECTED = 'rejected'
    # The partition did not end at the expected offset; nothing was written.
    CONFLICT = 'conflict'
    # The producer has appended with a later epoch; nothing was written.
    FENCED = 'fenced'
    # The sequence number does not follow the last; nothing was written.
    OUT_OF_SEQUENCE = 'out_of_sequence'
    # No answer: the records may have been written, or may be later.
    UNKNOWN = 'unknown'


class Record(typing.NamedTuple):
    """Hold a record; an empty value is a tombstone that deletes the key."""

    key: str
    value: bytes
    offset: int = -1


class Fence(typing.NamedTuple):
    """Identify an append of a producer, so that a retry has no effect.

    As Kafka's idempotent producer: an append with an old epoch is refused.
    """

    producer: str
    epoch: int
    sequence: int


class AppendResult(typing.NamedTuple):
    """Hold the outcome of an append."""

    outcome: AppendOutcome
    # Offset of the first record if the outcome is DONE, otherwise -1.
    offset: int = -1
    detail: str = ''


class Page(typing.NamedTuple):
    """Hold consecutive records of a partition."""

    # Log end offset: the offset after the partition's last record.
    end: int
    records: list[Record]


class NewestPage(typing.NamedTuple):
    """Hold the newest record of each key, for a range of keys."""

    end: int
    records: list[Record]
    has_more: bool

    @property
    def is_last(self) -> bool:
        """Return whether no page follows."""
        return not (self.has_more and self.records)


class LogError(Exception):
    """Report that a read of the log failed."""


class OffsetExpired(Exception):
    """Report that retention has removed the records at an offset."""


class Log(typing.Protocol):
    """Append and read keyed records."""

    def append(
        self,
        topic: str,
        partition: int,
        records: list[Record],
        expected_end: int | None = None,
        fence: Fence | None = None,
        timeout_s: float | None = None,
    ) -> AppendResult:
        """Append all records or none.

        With expected_end, only if the partition ends at that offset.
        """
        ...

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> Page:
        """Read from an offset on; raise LogError or OffsetExpired.

        At the end of the partition the log waits up to wait_s for records;
        timeout_s is added to this wait.
        """
        ...

    def newest(
        self,
        topic: str,
        partition: int,
        after: str,
        timeout_s: float | None = None,
    ) -> NewestPage:
        """Return the newest records of keys after a key; raise LogError."""
        ...
