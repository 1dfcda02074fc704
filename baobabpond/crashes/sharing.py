"""Share crashes between instances through the log.

A topic of its own is followed without pauses: a caller may send its request
again to another instance within 0.1 s.
"""

import json
import random
import threading
import time

import structlog

from .. import decoding
from .. import metrics as metrics_module
from ..ports import log as log_port

from . import registry as registry_module

KEY_PREFIX = 'crash/'
RETRY_S = 0.2
# Crashes that wait for the log; the oldest are given up.
MAX_PENDING = 500
EXPIRY_CHECK_S = 5.0
# Instances expire records at different times, so that one of them removes a
# record from the log and the others learn it from there.
MAX_EXPIRY_FACTOR = 1.3

LOG = structlog.get_logger(__name__)


def encode_key(crash: registry_module.Crash) -> str:
    """Return the key of a crash's record, the same at all instances."""
    upstream, born = crash.incarnation
    return f'{KEY_PREFIX}{crash.digest}/{born}/{upstream}'


@decoding.decoder('key of a crash')
def decode_key(key: str) -> registry_module.Crash:
    """Return the crash of a record's key; raise MalformedData."""
    digest, born, upstream = key.removeprefix(KEY_PREFIX).split('/', 2)
    return registry_module.Crash(digest, (upstream, int(born)))


class CrashSharing:
    """Append crashes and removals in the background; apply those of others."""

    def __init__(
        self,
        instance: str,
        topic: str,
        partition: int,
        log: log_port.Log,
        registry: registry_module.CrashRegistry,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._topic = topic
        self._partition = partition
        self._log = log
        self._registry = registry
        self._metrics = metrics
        self._changed = threading.Condition()
        # By key; a later record of a key replaces one that still waits.
        self._pending: dict[str, log_port.Record] = {}
        self._memory_s = registry_module.MEMORY_S * random.uniform(
            1.0, MAX_EXPIRY_FACTOR
        )

    def start(self) -> None:
        """Append in a background thread."""
        threading.Thread(target=self._run, name='crashes', daemon=True).start()

    def publish(self, crash: registry_module.Crash, request_id: str) -> None:
        """Append the record of a crash soon; never blocks."""
        value = {'instance': self._instance, 'request': request_id}
        self._enqueue(encode_key(crash), json.dumps(value).encode())

    def withdraw(self, crashes: list[registry_module.Crash]) -> None:
        """Remove the records of crashes soon; never blocks."""
        for crash in crashes:
            self._enqueue(encode_key(crash), b'')

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records of crashes in offset order."""
        present = set()
        for record in new_records:
            try:
                crash = decode_key(record.key)
            except decoding.MalformedData as error:
                LOG.error(
                    'ignoring malformed crash record',
                    key=record.key,
                    error=str(error),
                )
                continue
            if record.value:
                present.add(crash)
                self._registry.confirm(crash)
            else:
                self._registry.remove(crash)
        if is_snapshot:
            self._registry.retain(present)

    def append_pending(self) -> bool:
        """Append what waits in one call; return whether nothing is left."""
        with self._changed:
            records = list(self._pending.values())
        if not records:
            return True
        result = self._log.append(self._topic, self._partition, records)
        self._metrics.count(f'crashes.appends.{result.outcome.value}')
        if result.outcome not in (
            log_port.AppendOutcome.DONE,
            log_port.AppendOutcome.REJECTED,
        ):
            LOG.warning(
                'append of crashes failed',
                outcome=result.outcome.value,
                detail=result.detail,
                records=len(records),
            )
            return False
        if result.outcome is log_port.AppendOutcome.REJECTED:
            LOG.error(
                'the log rejects records of crashes', detail=result.detail
            )
        self._forget_pending(records)
        return True

    def remove_expired(self) -> None:
        """Withdraw the crashes that are too old."""
        self.withdraw(self._registry.take_expired(self._memory_s))

    def _enqueue(self, key: str, value: bytes) -> None:
        with self._changed:
            self._pending.pop(key, None)
            self._pending[key] = log_port.Record(key, value)
            if len(self._pending) > MAX_PENDING:
                dropped = next(iter(self._pending))
                del self._pending[dropped]
                self._metrics.count('crashes.records_given_up')
                LOG.warning('record of a crash given up', key=dropped)
            self._changed.notify_all()

    def _forget_pending(self, records: list[log_port.Record]) -> None:
        with self._changed:
            for record in records:
                if self._pending.get(record.key) is record:
                    del self._pending[record.key]
                self._registry.mark_shared(decode_key(record.key))

    def _run(self) -> None:
        checked_at = time.monotonic()
        while True:
            with self._changed:
                self._changed.wait_for(
                    lambda: bool(self._pending), EXPIRY_CHECK_S
                )
            try:
                if not self.append_pending():
                    time.sleep(RETRY_S)
                if time.monotonic() - checked_at >= EXPIRY_CHECK_S:
                    checked_at = time.monotonic()
                    self.remove_expired()
            except Exception:
                # The thread must outlive a failure of one append.
                LOG.exception('sharing crashes failed')
                time.sleep(RETRY_S)
