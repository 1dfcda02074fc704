"""Consume one partition of a compacted topic."""

import collections.abc
import random
import threading
import time

import structlog

from .. import clock
from .. import metrics as metrics_module
from ..ports import log as log_port

from . import contact as contact_module
from . import first_load as first_load_module
from . import snapshots

# Long-poll wait of a read. Bounds how long a dead connection goes unnoticed.
READ_WAIT_S = 1.0
# A response later than this after the end of its long poll means that the log
# was unreachable meanwhile.
OVERDUE_MARGIN_S = 0.3
RETRY_S = 0.1
# Delay after a failed page of a snapshot; doubles with each failure. Random
# parts keep instances apart that start at the same time.
MAX_LOAD_RETRY_S = 0.5
MAX_STALENESS_S = 3600.0
LOG = structlog.get_logger(__name__)

# Receives records in offset order. The flag marks a snapshot: the newest
# record of every key, so that a key it lacks has been removed.
Listener = collections.abc.Callable[[list[log_port.Record], bool], None]


class Follower:
    """Pass a partition's snapshot, then appended records, to a listener."""

    def __init__(
        self,
        log: log_port.Log,
        topic: str,
        partition: int,
        listener: Listener,
        metrics: metrics_module.Metrics,
        pause_s: float = 0.0,
        read_wait_s: float = READ_WAIT_S,
        first_load: first_load_module.FirstLoad | None = None,
        renew_after_s: float | None = None,
        overdue_margin_s: float = OVERDUE_MARGIN_S,
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self._listener = listener
        self._metrics = metrics
        self._pause_s = pause_s
        self._read_wait_s = read_wait_s
        # When the records passed on were known to be all longer ago, they are
        # confirmed by a read that does not wait for new ones.
        self._renew_after_s = renew_after_s
        self._lock = threading.Lock()
        self._position: int | None = None
        self._first_load = first_load
        self._load = snapshots.SnapshotLoad()
        self._failed_loads = 0
        self._contact = contact_module.Contact(
            read_wait_s + pause_s + overdue_margin_s
        )
        self._complete_boot_s = float('-inf')
        self._completed = threading.Condition()
        self._has_missed_records = False
        self._stopped = threading.Event()

    @property
    def has_caught_up(self) -> bool:
        """Return whether the partition has been read to its end once."""
        return self._complete_boot_s > float('-inf')

    @property
    def contact_age_s(self) -> float:
        """Return the seconds since the last successful read."""
        return self._contact.age_s

    @property
    def staleness_s(self) -> float:
        """Return how long ago the records passed on were known to be all.

        MAX_STALENESS_S before the partition has been read to its end.
        """
        return min(
            clock.since_boot_s() - self._complete_boot_s, MAX_STALENESS_S
        )

    @property
    def has_missed_records(self) -> bool:
        """Return whether the listener has failed on records.

        Its state lacks them for good: a snapshot that it takes later restores
        them, but not their order.
        """
        return self._has_missed_records

    @property
    def is_in_contact(self) -> bool:
        """Return whether the last read that ended has succeeded."""
        return self._contact.is_established

    @property
    def contact_duration_s(self) -> float:
        """Return for how many seconds reads have succeeded without a gap."""
        return self._contact.duration_s

    @property
    def last_outage(self) -> contact_module.Outage | None:
        """Return the last period of failed reads; one that lasts ends now."""
        return self._contact.last_outage

    def silence_s(self, since: float) -> float:
        """Return for how many seconds the log is known to have been silent.

        Silent means without new records. Measured from a monotonic time to the
        last successful read; time before the current period of contact with
        the log does not count.
        """
        return self._contact.silence_s(since)

    def start(self) -> None:
        """Start consuming in a background thread."""
        name = f'follow-{self._topic}-{self._partition}'
        threading.Thread(target=self._run, name=name, daemon=True).start()

    def stop(self) -> None:
        """Request the thread to stop."""
        self._stopped.set()

    def wait_complete(self, since_boot_s: float, timeout_s: float) -> bool:
        """Wait until the records appended before a time are passed on.

        The time is in seconds since boot. Returns False if the log has not
        confirmed it in time.
        """
        with self._completed:
            return self._completed.wait_for(
                lambda: self._complete_boot_s >= since_boot_s, timeout_s
            )

    def catch_up_fully(self) -> int:
        """Read to the end, so that what is not there was never appended.

        Returns the offset of the end. Raises LogError, also if the listener
        has failed on earlier records.
        """
        end = self.catch_up()
        if self._has_missed_records:
            raise log_port.LogError('records were missed before')
        return end

    def catch_up(self) -> int:
        """Read to the end of the partition and return its offset.

        Raises LogError.
        """
        while True:
            page = self._read(0.0)
            if page is None:
                continue
            if self._has_reached_end(page):
                return page.end

    def _run(self) -> None:
        while not self._stopped.is_set():
            tried_at = time.monotonic()
            try:
                self._read_once()
            except log_port.LogError as error:
                self._record_failure(tried_at, error)
                time.sleep(self._retry_delay_s())
            except Exception:
                # A record that the listener fails on must not end the thread.
                LOG.exception(
                    'listener failed on records',
                    topic=self._topic,
                    partition=self._partition,
                )
                time.sleep(RETRY_S)
            if self._first_load is not None:
                self._first_load.shared.drop_expired()
            if self._pause_s:
                time.sleep(self._pause_s)

    def _retry_delay_s(self) -> float:
        if self._position is not None:
            return RETRY_S
        delay_s = min(MAX_LOAD_RETRY_S, RETRY_S * 2**self._failed_loads)
        self._failed_loads += 1
        return delay_s * random.uniform(0.5, 1.5)

    def _read_once(self) -> None:
        is_urgent = (
            self._renew_after_s is not None
            and self.staleness_s > self._renew_after_s
            # Reads confirm nothing then.
            and not self._has_missed_records
        )
        self._read(0.0 if is_urgent else self._read_wait_s)

    def _read(self, wait_s: float) -> log_port.Page | None:
        """Read and deliver new records; return None if a reload is needed."""
        with self._lock:
            if self._position is None:
                if not self._load_snapshot():
                    return None
                # Confirm at once that the records are all.
                wait_s = 0.0
            position = self._position
        sent_boot_s = clock.since_boot_s()
        try:
            page = self._log.read(
                self._topic, self._partition, position, wait_s
            )
        except log_port.OffsetExpired:
            self._reset_position(position)
            return None
        if not self._apply(position, page):
            return None
        self._record_contact()
        if self._has_reached_end(page):
            self._record_complete(sent_boot_s)
        return page

    def _has_reached_end(self, page: log_port.Page) -> bool:
        if not page.records:
            # The last offsets may have been compacted away; then no record
            # reaches the end.
            return True
        with self._lock:
            return self._position is not None and self._position >= page.end

    def _load_snapshot(self) -> bool:
        """Pass a snapshot to the listener: the newest record of each key.

        A load that failed continues where it stopped. Returns False if it must
        begin again.
        """
        load = self._load
        load.start()
        is_complete = self._first_load is not None and self._first_load.run(
            load
        )
        while not is_complete:
            is_complete = self._load_page(load)
        if not self._read_appended(load):
            self._load = snapshots.SnapshotLoad()
            return False
        self._load = snapshots.SnapshotLoad()
        self._listener(load.snapshot(), True)
        appended = load.appended()
        if appended:
            self._listener(appended, False)
        self._position = load.next_offset
        self._record_load(load)
        if load.pages_from_log:
            self._record_contact()
        return True

    def _load_page(self, load: snapshots.SnapshotLoad) -> bool:
        """Read the next page from the log; return whether it is the last."""
        after = load.last_key
        page = self._log.newest(self._topic, self._partition, after)
        load.add(page)
        load.pages_from_log += 1
        self._failed_loads = 0
        if self._first_load is not None:
            self._first_load.add(after, page)
        return page.is_last

    def _read_appended(self, load: snapshots.SnapshotLoad) -> bool:
        """Read what was appended during a load; return False if it expired."""
        while load.next_offset < load.end:
            try:
                page = self._log.read(
                    self._topic, self._partition, load.next_offset, 0.0
                )
            except log_port.OffsetExpired:
                LOG.warning(
                    'records expired during the load of a snapshot',
                    topic=self._topic,
                    partition=self._partition,
                    offset=load.next_offset,
                )
                return False
            if not page.records:
                break
            load.add_appended(page.records)
        return True

    def _record_load(self, load: snapshots.SnapshotLoad) -> None:
        self._metrics.count('log.loads')
        self._metrics.record('log.load', load.took_s)
        self._metrics.record('log.load_wait', load.waited_s)
        LOG.info(
            'snapshot loaded',
            topic=self._topic,
            partition=self._partition,
            took_s=round(load.took_s, 3),
            waited_s=round(load.waited_s, 3),
            records=load.record_count,
            bytes=load.byte_count,
            pages_from_log=load.pages_from_log,
            pages_from_peers=load.pages_from_peers,
        )

    def _reset_position(self, position: int | None) -> None:
        with self._lock:
            if self._position == position:
                self._require_reload()
        LOG.warning(
            'offset expired before it was read; reloading the snapshot',
            topic=self._topic,
            partition=self._partition,
            offset=position,
        )

    def _require_reload(self) -> None:
        """Load again, from the log; others cannot use this snapshot either."""
        self._position = None
        if self._first_load is not None:
            self._first_load.shared.drop()

    def _apply(self, position: int, page: log_port.Page) -> bool:
        """Deliver records that no concurrent read has delivered already.

        Returns False if the partition must be reloaded.
        """
        with self._lock:
            if self._position is None:
                return False
            if page.end < position:
                # The log was truncated.
                self._require_reload()
                return False
            next_offset = self._position
            new = [
                record
                for record in page.records
                if record.offset >= next_offset
            ]
            if new:
                self._position = new[-1].offset + 1
                self._deliver(new)
            return True

    def _deliver(self, new: list[log_port.Record]) -> None:
        # Records without a key stand for ones that cannot be read.
        readable = [record for record in new if record.key]
        try:
            self._listener(readable, False)
        except Exception:
            self._has_missed_records = True
            raise

    def _record_contact(self) -> None:
        gap_s = min(self.contact_age_s, MAX_STALENESS_S)
        if self._contact.record_success():
            LOG.info(
                'log partition reachable',
                topic=self._topic,
                partition=self._partition,
                since_last_read_s=round(gap_s, 3),
            )

    def _record_complete(self, sent_boot_s: float) -> None:
        if self._has_missed_records:
            return
        with self._completed:
            self._complete_boot_s = max(self._complete_boot_s, sent_boot_s)
            self._completed.notify_all()

    def _record_failure(self, tried_at: float, error: Exception) -> None:
        self._metrics.count('log.read_failures')
        if self._contact.record_failure(tried_at):
            LOG.warning(
                'log partition unreachable',
                topic=self._topic,
                partition=self._partition,
                error=str(error),
            )
