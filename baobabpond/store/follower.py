"""Follow one partition of a keyed topic."""

import collections.abc
import threading
import time

import structlog

from .. import metrics as metrics_module
from ..ports import log as log_port

# Bounds how long a silent connection goes unnoticed.
READ_WAIT_S = 1.0
# An answer that comes this much after its time tells that the log was away.
LATE_S = 0.3
RETRY_S = 0.1
LOG = structlog.get_logger(__name__)

# Takes records in the order of their offsets; the flag tells that they are
# the newest records of all keys, so that keys not named have been removed.
Listener = collections.abc.Callable[[list[log_port.Record], bool], None]


class Follower:
    """Read a partition's newest records, then each as it is appended."""

    def __init__(
        self,
        log: log_port.Log,
        topic: str,
        partition: int,
        listener: Listener,
        metrics: metrics_module.Metrics,
        pause_s: float = 0.0,
        read_wait_s: float = READ_WAIT_S,
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self._listener = listener
        self._metrics = metrics
        self._pause_s = pause_s
        self._read_wait_s = read_wait_s
        self._lock = threading.Lock()
        self._position: int | None = None
        self._contact = float('-inf')
        self._contact_since = float('-inf')
        self._stopped = threading.Event()

    @property
    def has_caught_up(self) -> bool:
        """Tell whether the partition has been read to its end once."""
        return self._contact > float('-inf')

    @property
    def contact_age_s(self) -> float:
        """Return the seconds since the log last answered."""
        return time.monotonic() - self._contact

    @property
    def contact_duration_s(self) -> float:
        """Return for how long the log has answered without a pause."""
        if self._is_overdue:
            return 0.0
        return time.monotonic() - self._contact_since

    def silence_s(self, since: float) -> float:
        """Return for how long the log is known to have held nothing new.

        Counted from a moment to the last answer, without the time before
        which the log was away.
        """
        if self._contact_since == float('-inf'):
            return 0.0
        return max(0.0, self._contact - max(since, self._contact_since))

    @property
    def _is_overdue(self) -> bool:
        longest_s = self._read_wait_s + self._pause_s + LATE_S
        return (
            self._contact_since == float('-inf')
            or self.contact_age_s > longest_s
        )

    def start(self) -> None:
        """Follow in a task of its own."""
        name = f'follow-{self._topic}-{self._partition}'
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Stop following."""
        self._stopped.set()

    def catch_up(self) -> int:
        """Read to the end now and return it; raise LogError."""
        while True:
            page = self._read(0.0)
            if page is None:
                continue
            # Offsets that were compacted away leave no record to come to.
            if not page.records or self._has_reached(page):
                return page.end

    def _run(self) -> None:
        while not self._stopped.is_set():
            try:
                self._follow_once()
            except log_port.LogError as error:
                self._note_loss(error)
                time.sleep(RETRY_S)
            except Exception:
                # A record that a listener can't take must not end the task.
                LOG.exception(
                    'records could not be taken',
                    topic=self._topic,
                    partition=self._partition,
                )
                time.sleep(RETRY_S)
            if self._pause_s:
                time.sleep(self._pause_s)

    def _follow_once(self) -> None:
        self._read(self._read_wait_s)

    def _read(self, wait_s: float) -> log_port.Page | None:
        """Read on and pass on what is new; None if a load must follow."""
        with self._lock:
            if self._position is None:
                self._load()
            position = self._position
        try:
            page = self._log.read(
                self._topic, self._partition, position, wait_s
            )
        except log_port.OffsetExpired:
            self._expire(position)
            return None
        if not self._apply(position, page):
            return None
        self._note_contact()
        return page

    def _has_reached(self, page: log_port.Page) -> bool:
        with self._lock:
            return self._position is not None and self._position >= page.end

    def _load(self) -> None:
        """Read the newest record of each key."""
        records: dict[str, log_port.Record] = {}
        position = None
        after = ''
        while True:
            page = self._log.newest(self._topic, self._partition, after)
            if position is None:
                position = page.end
            # Pages are read one after the other: what was appended since
            # the first is left to the reads that follow, in its order.
            for record in page.records:
                if record.offset < position:
                    records[record.key] = record
            if not page.has_more or not page.records:
                break
            after = page.records[-1].key
        self._listener(
            sorted(records.values(), key=lambda record: record.offset), True
        )
        self._position = position
        self._metrics.count('log.loads')
        self._note_contact()

    def _expire(self, position: int | None) -> None:
        with self._lock:
            if self._position == position:
                self._position = None
        LOG.warning(
            'records expired before they were read; loading the newest',
            topic=self._topic,
            partition=self._partition,
            offset=position,
        )

    def _apply(self, position: int, page: log_port.Page) -> bool:
        """Pass on the records that no other read has passed on.

        Return False if only a load can tell what the log holds now.
        """
        with self._lock:
            if self._position is None:
                return False
            if page.end < position:
                # The log went back.
                self._position = None
                return False
            known = self._position
            new = [r for r in page.records if r.offset >= known]
            if new:
                self._position = new[-1].offset + 1
                self._listener(new, False)
            return True

    def _note_contact(self) -> None:
        now = time.monotonic()
        if self._is_overdue:
            self._contact_since = now
            LOG.info(
                'log partition reached',
                topic=self._topic,
                partition=self._partition,
            )
        self._contact = now

    def _note_loss(self, error: Exception) -> None:
        self._metrics.count('log.read_failures')
        if self._contact_since > float('-inf'):
            LOG.warning(
                'log partition lost',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )
        self._contact_since = float('-inf')
