"""Describe the append-only log that keeps what must last."""

import enum
import typing


class AppendOutcome(enum.Enum):
    """State what is known of an append."""

    DONE = 'done'
    # Nothing was written, and nothing will be.
    REFUSED = 'refused'
    # The log never takes such records; nothing was written.
    REJECTED = 'rejected'
    # The partition did not end at the expected offset; nothing was written.
    CONFLICT = 'conflict'
    # A later epoch has been used; nothing was written.
    FENCED = 'fenced'
    # The sequence does not follow the last one; nothing was written.
    OUT_OF_SEQUENCE = 'out_of_sequence'
    # No answer came: it may be written now, later or never.
    UNKNOWN = 'unknown'


class Record(typing.NamedTuple):
    """Hold one record; without a value it removes its key."""

    key: str
    value: bytes
    offset: int = -1


class Fence(typing.NamedTuple):
    """Identify one append of a producer, so that it takes effect once."""

    producer: str
    epoch: int
    sequence: int


class AppendResult(typing.NamedTuple):
    """Tell how an append ended."""

    outcome: AppendOutcome
    # Offset of the first record, where the append is done.
    offset: int = -1
    detail: str = ''


class Page(typing.NamedTuple):
    """Hold records read from a partition."""

    # Offset after the last record of the partition.
    end: int
    records: list[Record]


class NewestPage(typing.NamedTuple):
    """Hold the newest records of some keys."""

    end: int
    records: list[Record]
    has_more: bool


class LogError(Exception):
    """Report that the log could not be read."""


class OffsetExpired(Exception):
    """Report that the records at an offset are no longer kept."""


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
        """Append all records or none."""
        ...

    def read(
        self,
        topic: str,
        partition: int,
        offset: int,
        wait_s: float,
        timeout_s: float | None = None,
    ) -> Page:
        """Read from an offset; raise LogError or OffsetExpired.

        The log waits for records; the timeout counts from the wait's end.
        """
        ...

    def newest(self, topic: str, partition: int, after: str) -> NewestPage:
        """Return the newest records of the keys after a key, or LogError."""
        ...
