"""Tell all instances from which services an instance is cut off."""

import json
import threading
import typing

import structlog

from .. import decoding
from ..ports import log as log_port

KEY_PREFIX = 'reach/'
RETRY_S = 0.3

LOG = structlog.get_logger(__name__)


class CutRecords:
    """Append this instance's own record; apply those of all."""

    def __init__(
        self, instance: str, topic: str, partition: int, log: log_port.Log
    ) -> None:
        self._instance = instance
        self._topic = topic
        self._partition = partition
        self._log = log
        self._lock = threading.Lock()
        self._services: dict[str, frozenset[str]] = {}
        self._own: frozenset[str] = frozenset()
        self._appended: frozenset[str] = frozenset()
        self._changed = threading.Event()

    def start(self) -> None:
        """Append in a background thread."""
        threading.Thread(target=self._run, name='reach', daemon=True).start()

    def services_of(self, instance: str) -> frozenset[str]:
        """Return the services from which an instance says it is cut off."""
        with self._lock:
            if instance == self._instance:
                return self._own
            return self._services.get(instance, frozenset())

    def is_cut_off(self, instance: str) -> bool:
        """Return whether an instance is cut off from any service."""
        return bool(self.services_of(instance))

    def set_own(self, services: frozenset[str]) -> None:
        """Publish the services from which this instance is cut off."""
        with self._lock:
            self._own = services
        self._changed.set()

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply records in offset order."""
        with self._lock:
            if is_snapshot:
                self._services.clear()
            for record in new_records:
                self._apply_one(record)
            own = self._services.get(self._instance, frozenset())
            if own != self._own:
                # Left behind by the former process, or still on its way.
                self._appended = own
                self._changed.set()

    def _apply_one(self, record: log_port.Record) -> None:
        instance = record.key.removeprefix(KEY_PREFIX)
        if not record.value:
            self._services.pop(instance, None)
            return
        try:
            self._services[instance] = _decode(record.value)
        except decoding.MalformedData as error:
            LOG.error(
                'ignoring malformed record of a cut',
                key=record.key,
                error=str(error),
            )

    def pending(self) -> log_port.Record | None:
        """Return the record that the log lacks, None if it has it."""
        with self._lock:
            own = self._own
            if own == self._appended:
                return None
        value = b''
        if own:
            value = json.dumps({'cut_off': sorted(own)}).encode()
        return log_port.Record(f'{KEY_PREFIX}{self._instance}', value)

    def append_pending(self) -> bool:
        """Append what the log lacks; return whether it has it now."""
        record = self.pending()
        if record is None:
            return True
        services = _decode(record.value)
        result = self._log.append(self._topic, self._partition, [record])
        if result.outcome is not log_port.AppendOutcome.DONE:
            LOG.info(
                'cut not on the log yet',
                services=sorted(services),
                outcome=result.outcome.value,
            )
            return False
        with self._lock:
            self._appended = services
        return True

    def _run(self) -> typing.NoReturn:
        delay_s: float | None = None
        while True:
            self._changed.wait(delay_s)
            self._changed.clear()
            delay_s = None if self.append_pending() else RETRY_S


@decoding.decoder('cut')
def _decode(value: bytes) -> frozenset[str]:
    """Return the services of a record; none for a tombstone.

    Raises MalformedData.
    """
    if not value:
        return frozenset()
    services = decoding.load_json(value)['cut_off']
    return frozenset(decoding.text(service) for service in services)
