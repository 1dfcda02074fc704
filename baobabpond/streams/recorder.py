"""Append the origins of streams to the log, those of a moment together."""

import collections
import random
import threading
import time
import typing

import structlog

from .. import decoding
from .. import metrics as metrics_module
from ..ports import log as log_port

from . import records as records_module

# A client resumes no stream that broke off longer ago.
RESUME_WINDOW_S = 60.0
# The first event of a stream waits for its record.
RECORD_TIMEOUT_S = 0.5
APPEND_TIMEOUT_S = 0.4
EXPIRY_CHECK_S = 5.0
# Instances remove records at different times, so that one of them does.
MAX_EXPIRY_FACTOR = 2.0
MAX_TOMBSTONES_PER_APPEND = 200

LOG = structlog.get_logger(__name__)


class PendingRecord:
    """A record that waits for its append."""

    def __init__(self, record: log_port.Record) -> None:
        self.record = record
        # Unknown until its append has ended.
        self.outcome = log_port.AppendOutcome.UNKNOWN
        self.ended = threading.Event()


class ReadOrigin(typing.NamedTuple):
    """An origin on the log, and when this instance has read it."""

    origin: records_module.StreamOrigin
    # Monotonic time.
    read_at: float


class OriginRecorder:
    """Keep the origins that are on the log, and add to them."""

    def __init__(
        self,
        log: log_port.Log,
        topic: str,
        partition: int,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self._metrics = metrics
        self._changed = threading.Condition()
        self._pending: collections.deque[PendingRecord] = collections.deque()
        # Oldest first.
        self._origins: dict[str, ReadOrigin] = {}
        self._lifetime_s = RESUME_WINDOW_S * random.uniform(
            1.0, MAX_EXPIRY_FACTOR
        )

    def start(self) -> None:
        """Append in a background thread."""
        threading.Thread(target=self._run, name='streams', daemon=True).start()

    def find(self, stream: str) -> records_module.StreamOrigin | None:
        """Return the origin of a stream on the log, None without a record."""
        found = self._origins.get(stream)
        return found.origin if found else None

    def record(
        self, origin: records_module.StreamOrigin
    ) -> log_port.AppendOutcome:
        """Append an origin; return the outcome, as far as it is known."""
        pending = PendingRecord(records_module.encode(origin))
        with self._changed:
            self._pending.append(pending)
            self._changed.notify_all()
        pending.ended.wait(RECORD_TIMEOUT_S)
        self._metrics.count(f'streams.records.{pending.outcome.value}')
        return pending.outcome

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records of streams in offset order."""
        now = time.monotonic()
        with self._changed:
            # Others search the former origins while a snapshot is applied.
            origins = {} if is_snapshot else self._origins
            for record in new_records:
                stream = records_module.stream_of(record)
                origins.pop(stream, None)
                origin = _decode(record)
                if origin is not None:
                    origins[stream] = ReadOrigin(origin, now)
            self._origins = origins

    def append_pending(self) -> None:
        """Append what waits, and tombstones of old streams, in one call."""
        with self._changed:
            pending = list(self._pending)
            self._pending.clear()
            expired = self._expired()
        records = [waiting.record for waiting in pending]
        records += [records_module.tombstone(stream) for stream in expired]
        if not records:
            return
        result = self._log.append(
            self._topic,
            self._partition,
            records,
            timeout_s=APPEND_TIMEOUT_S,
        )
        if result.outcome is not log_port.AppendOutcome.DONE:
            LOG.warning(
                'append of streams failed',
                outcome=result.outcome.value,
                detail=result.detail,
                records=len(records),
            )
        for waiting in pending:
            waiting.outcome = result.outcome
            waiting.ended.set()

    def _expired(self) -> list[str]:
        oldest = time.monotonic() - self._lifetime_s
        expired = []
        for stream, read in self._origins.items():
            if read.read_at > oldest:
                break
            if len(expired) == MAX_TOMBSTONES_PER_APPEND:
                break
            expired.append(stream)
        return expired

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: bool(self._pending), EXPIRY_CHECK_S
                )
            try:
                self.append_pending()
            except Exception:
                # The thread must outlive a failure of one append.
                LOG.exception('recording streams failed')


def _decode(record: log_port.Record) -> records_module.StreamOrigin | None:
    """Return the origin of a record, None for a tombstone or a bad one."""
    if not record.value:
        return None
    try:
        return records_module.decode(record)
    except decoding.MalformedData as error:
        LOG.error(
            'ignoring malformed record of a stream',
            key=record.key,
            error=str(error),
        )
        return None
