"""Collect the pages of a snapshot and keep them for other instances."""

import threading
import time

from ..ports import log as log_port

# Time for which a complete snapshot is kept for instances that load it too.
KEEP_S = 10.0


class SnapshotDropped(Exception):
    """Report that a snapshot is not kept, or not any more."""


class SnapshotLoad:
    """The pages of a snapshot that have been read so far.

    Pages are not read atomically: of records that are removed together, some
    may be on a page that was read before and others missing on later ones.
    So all records appended meanwhile are read, too, before any are passed on.
    """

    def __init__(self) -> None:
        # End of the partition when the first page was read.
        self.position: int | None = None
        # End of the partition when the last page was read.
        self.end = 0
        # Offset after the records read so far.
        self.next_offset = 0
        self.last_key = ''
        self.byte_count = 0
        self.pages_from_peers = 0
        self.pages_from_log = 0
        self._records: dict[str, log_port.Record] = {}
        self._appended: list[log_port.Record] = []
        # Monotonic times.
        self._started_at: float | None = None
        self._first_page_at: float | None = None

    @property
    def record_count(self) -> int:
        """Return the number of records read so far."""
        return len(self._records) + len(self._appended)

    @property
    def took_s(self) -> float:
        """Return the seconds since the load was started."""
        return time.monotonic() - (self._started_at or 0.0)

    @property
    def waited_s(self) -> float:
        """Return how many of these seconds passed before the first page."""
        if self._started_at is None or self._first_page_at is None:
            return 0.0
        return self._first_page_at - self._started_at

    def start(self) -> None:
        """Record the start of the load, unless it continues."""
        if self._started_at is None:
            self._started_at = time.monotonic()

    def accepts(self, page: log_port.NewestPage) -> bool:
        """Return whether a page is as recent as the first one.

        An older page may lack records before the position.
        """
        return self.position is None or page.end >= self.position

    def add(self, page: log_port.NewestPage) -> None:
        """Add the next page, without records appended after the first one."""
        if self.position is None:
            self.position = page.end
            self.next_offset = page.end
            self._first_page_at = time.monotonic()
        self.end = max(self.end, page.end)
        for record in page.records:
            self.byte_count += len(record.key) + len(record.value)
            if record.offset < self.position:
                self._records[record.key] = record
        if page.records:
            self.last_key = page.records[-1].key

    def add_appended(self, appended: list[log_port.Record]) -> None:
        """Add records appended while the pages were read."""
        for record in appended:
            if record.offset < self.end:
                self._appended.append(record)
                self.next_offset = record.offset + 1

    def snapshot(self) -> list[log_port.Record]:
        """Return the newest record of each key that was not removed."""
        removed = self._removed_keys()
        return sorted(
            (r for r in self._records.values() if r.key not in removed),
            key=lambda record: record.offset,
        )

    def appended(self) -> list[log_port.Record]:
        """Return the records after the snapshot, and all tombstones."""
        removed = self._removed_keys()
        return [
            record
            for record in self._appended
            if record.key not in removed or not record.value
        ]

    def _removed_keys(self) -> set[str]:
        newest = {record.key: record for record in self._appended}
        return {key for key, record in newest.items() if not record.value}


class SharedSnapshot:
    """The pages of an instance's first snapshot. Thread-safe."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        # By the key that precedes the page.
        self._pages: dict[str, log_port.NewestPage] = {}
        self._drop_at = float('inf')
        self._is_dropped = False

    def add(self, after: str, page: log_port.NewestPage) -> None:
        """Add the page that follows a key, unless the snapshot is dropped."""
        with self._changed:
            if self._is_dropped:
                return
            self._pages[after] = page
            if page.is_last:
                self._drop_at = time.monotonic() + KEEP_S
            self._changed.notify_all()

    def wait_page(
        self, after: str, timeout_s: float
    ) -> log_port.NewestPage | None:
        """Return the page that follows a key, None if it is not read yet.

        Raises SnapshotDropped.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: self._is_dropped or after in self._pages, timeout_s
            )
            if self._is_dropped:
                raise SnapshotDropped
            return self._pages.get(after)

    def drop(self) -> None:
        """Drop the pages; they are not collected again."""
        with self._changed:
            self._is_dropped = True
            self._pages.clear()
            self._changed.notify_all()

    def drop_expired(self) -> None:
        """Drop the pages once they have been kept for long enough."""
        if not self._is_dropped and time.monotonic() >= self._drop_at:
            self.drop()
