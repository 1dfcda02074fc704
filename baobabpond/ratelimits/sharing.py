"""Share the limits that upstreams state between instances, on the log.

The records are on the topic of the members, which all instances read.
"""

import json
import random
import threading
import time
import typing

import structlog

from .. import decoding
from .. import metrics as metrics_module
from ..ports import log as log_port

from . import tracker as tracker_module

KEY_PREFIX = 'limit/'
# Random pause before a change is shared: several instances see it at once, and
# one record is enough.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.3
# The same statement is not appended again before this time.
REPEAT_S = 1.0
# A record may have been on its way for this long when it is read. It must not
# raise a limit that this instance has learned meanwhile.
RECORD_DELAY_S = 0.5
MAX_RECORDS_PER_APPEND = 100
EXPIRY_CHECK_S = 5.0
# Records of upstreams that are gone, and of limits that have ended, are
# removed after this time, at one instance before the others.
EXPIRY_S = 30.0
MAX_EXPIRY_FACTOR = 2.0

LOG = structlog.get_logger(__name__)

ListIncarnations = typing.Callable[[], set[tracker_module.Incarnation]]


class TimedLimit(typing.NamedTuple):
    """A limit that was read from the log, or appended to it."""

    limit: float | None
    # Monotonic time.
    at: float


def encode_key(incarnation: tracker_module.Incarnation) -> str:
    """Return the key of an upstream's record."""
    upstream, born = incarnation
    return f'{KEY_PREFIX}{born}/{upstream}'


@decoding.decoder('key of a limit')
def decode_key(key: str) -> tracker_module.Incarnation:
    """Return the incarnation of a record's key; raise MalformedData."""
    born, upstream = key.removeprefix(KEY_PREFIX).split('/', 1)
    return upstream, int(born)


class LimitValue(typing.NamedTuple):
    """The value of an upstream's record."""

    limit: float | None
    # Age of the statement when the record was appended, in seconds.
    age_s: float
    instance: str


@decoding.decoder('limit')
def decode_value(value: bytes) -> LimitValue:
    """Decode a record's value; raise MalformedData."""
    fields = decoding.load_json(value)
    limit = fields['limit']
    return LimitValue(
        None if limit is None else decoding.number(limit),
        decoding.number(fields['age_s']),
        decoding.text(fields['instance']),
    )


class LimitSharing:
    """Append what this instance has learned; apply the records of others."""

    def __init__(
        self,
        instance: str,
        topic: str,
        partition: int,
        log: log_port.Log,
        limits: tracker_module.LimitTracker,
        list_incarnations: ListIncarnations,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._topic = topic
        self._partition = partition
        self._log = log
        self._limits = limits
        self._list_incarnations = list_incarnations
        self._metrics = metrics
        self._lock = threading.Lock()
        self._shared: dict[tracker_module.Incarnation, TimedLimit] = {}
        self._appended: dict[tracker_module.Incarnation, TimedLimit] = {}
        self._last_present: dict[tracker_module.Incarnation, float] = {}
        self._expiry_s = EXPIRY_S * random.uniform(1.0, MAX_EXPIRY_FACTOR)
        self._changed = threading.Event()
        limits.set_listener(self._changed.set)

    def start(self) -> None:
        """Append in a background thread."""
        threading.Thread(target=self._run, name='limits', daemon=True).start()

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records of limits in offset order."""
        if is_snapshot:
            with self._lock:
                self._shared.clear()
        for record in new_records:
            try:
                self._apply_one(record, is_snapshot)
            except decoding.MalformedData as error:
                LOG.error(
                    'ignoring malformed record of a limit',
                    key=record.key,
                    error=str(error),
                )

    def _apply_one(self, record: log_port.Record, is_snapshot: bool) -> None:
        incarnation = decode_key(record.key)
        if not record.value:
            with self._lock:
                self._shared.pop(incarnation, None)
            return
        value = decode_value(record.value)
        now = time.monotonic()
        with self._lock:
            self._shared[incarnation] = TimedLimit(value.limit, now)
        if value.instance == self._instance:
            return
        # Whatever this instance learns itself is newer than a record of
        # unknown age.
        stated_at = now - value.age_s
        if is_snapshot:
            stated_at = float('-inf')
        elif self._is_laxer(incarnation, value.limit):
            stated_at -= RECORD_DELAY_S
        self._limits.apply(
            incarnation,
            tracker_module.Statement(value.limit, stated_at, value.instance),
        )
        # What this instance knows may be newer.
        self._changed.set()

    def _is_laxer(
        self, incarnation: tracker_module.Incarnation, limit: float | None
    ) -> bool:
        known = self._limits.limit_of(incarnation)
        return known is not None and (limit is None or limit > known)

    def pending(self) -> list[log_port.Record]:
        """Return the records to append: what others don't know yet."""
        now = time.monotonic()
        records = []
        for incarnation, statement in self._limits.statements().items():
            if statement.source or not self._is_news(
                incarnation, statement.limit, now
            ):
                continue
            value = LimitValue(
                statement.limit,
                round(now - statement.stated_at, 3),
                self._instance,
            )
            records.append(
                log_port.Record(
                    encode_key(incarnation),
                    json.dumps(value._asdict()).encode(),
                )
            )
        return records[:MAX_RECORDS_PER_APPEND]

    def _is_news(
        self,
        incarnation: tracker_module.Incarnation,
        limit: float | None,
        now: float,
    ) -> bool:
        """Return whether the log lacks a limit, and none is on its way."""
        with self._lock:
            shared = self._shared.get(incarnation)
        if (shared.limit if shared else None) == limit:
            return False
        appended = self._appended.get(incarnation)
        return (
            appended is None
            or appended.limit != limit
            or now - appended.at >= REPEAT_S
        )

    def expired(self) -> list[log_port.Record]:
        """Return the tombstones of records that nobody needs any more."""
        now = time.monotonic()
        present = self._list_incarnations()
        with self._lock:
            shared = dict(self._shared)
        for incarnation in present:
            self._last_present[incarnation] = now
        expired = []
        for incarnation, record in shared.items():
            last_use = record.at
            if record.limit is not None:
                last_use = max(
                    last_use, self._last_present.get(incarnation, 0.0)
                )
            if now - last_use > self._expiry_s:
                expired.append(log_port.Record(encode_key(incarnation), b''))
        self._last_present = {
            incarnation: last_at
            for incarnation, last_at in self._last_present.items()
            if incarnation in shared
        }
        self._appended = {
            incarnation: appended
            for incarnation, appended in self._appended.items()
            if incarnation in shared
        }
        return expired[:MAX_RECORDS_PER_APPEND]

    def append(self, records: list[log_port.Record]) -> bool:
        """Append records in one call; return whether the log has them."""
        if not records:
            return True
        result = self._log.append(self._topic, self._partition, records)
        self._metrics.count(f'ratelimits.appends.{result.outcome.value}')
        if result.outcome is not log_port.AppendOutcome.DONE:
            LOG.warning(
                'append of limits failed',
                outcome=result.outcome.value,
                detail=result.detail,
                records=len(records),
            )
            return False
        now = time.monotonic()
        for record in records:
            if record.value:
                self._appended[decode_key(record.key)] = TimedLimit(
                    decode_value(record.value).limit, now
                )
        return True

    def _run(self) -> None:
        checked_at = time.monotonic()
        while True:
            self._changed.wait(EXPIRY_CHECK_S)
            self._changed.clear()
            time.sleep(random.uniform(MIN_PAUSE_S, MAX_PAUSE_S))
            try:
                if not self.append(self.pending()):
                    self._changed.set()
                if time.monotonic() - checked_at >= EXPIRY_CHECK_S:
                    checked_at = time.monotonic()
                    self.append(self.expired())
            except Exception:
                # The thread must outlive a failure of one append.
                LOG.exception('sharing limits failed')
