"""Hold the upstreams that registered themselves."""

import threading
import time
import typing

import structlog

from ..ports import catalogue
from ..ports import log as log_port

# Entries that lapsed during an outage of the log come back this soon.
RETURN_S = 2.2
# Contact with the log shorter than this tells of a recent outage.
RECENT_OUTAGE_S = 3.0
LOG = structlog.get_logger(__name__)

# Takes the host and port at which an upstream listens no more.
GoneListener = typing.Callable[[tuple[str, int]], None]


class UpstreamDirectory:
    """Fold the records of the upstreams' topic."""

    def __init__(
        self,
        operator: catalogue.Operator,
        contact_duration_s: typing.Callable[[], float],
        on_gone: GoneListener = lambda address: None,
    ) -> None:
        self._operator = operator
        self._contact_length_s = contact_duration_s
        self._on_gone = on_gone
        self._lock = threading.Lock()
        self._entries: dict[str, catalogue.UpstreamEntry] = {}
        # When entries that may come back are taken for gone.
        self._gone_at: dict[str, float] = {}

    def entries(self) -> list[catalogue.UpstreamEntry]:
        """Return the entries that hold."""
        now = time.monotonic()
        with self._lock:
            for upstream, gone_at in list(self._gone_at.items()):
                if now >= gone_at:
                    self._drop(upstream)
            return list(self._entries.values())

    def usable(self, service: str) -> list[catalogue.UpstreamEntry]:
        """Return the upstreams of a service that take new work."""
        return [
            entry
            for entry in self.entries()
            if entry.service == service and not entry.draining
        ]

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Take entries and removals in the order of their offsets."""
        with self._lock:
            for record in new_records:
                self._apply_one(record)
            if is_snapshot:
                named = {record.key for record in new_records}
                for upstream in set(self._entries) - named:
                    self._remove(upstream)

    def _apply_one(self, record: log_port.Record) -> None:
        if not record.value:
            self._remove(record.key)
            return
        try:
            entry = self._operator.upstream(record.key, record.value)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            LOG.warning(
                'entry cannot be read; it names no upstream',
                upstream=record.key,
                error=repr(error),
            )
            entry = None
        if entry is None:
            return
        present = self._entries.get(entry.id)
        if present is not None and present.incarnation != entry.incarnation:
            self._on_gone((present.host, present.port))
        self._gone_at.pop(entry.id, None)
        self._entries[entry.id] = entry
        if present is None or present.draining != entry.draining:
            LOG.info(
                'upstream is draining' if entry.draining else 'upstream ready',
                upstream=entry.id,
                service=entry.service,
                address=f'{entry.host}:{entry.port}',
                born=entry.born,
            )

    def _remove(self, upstream: str) -> None:
        if upstream not in self._entries or upstream in self._gone_at:
            return
        if self._contact_length_s() < RECENT_OUTAGE_S:
            self._gone_at[upstream] = time.monotonic() + RETURN_S
            LOG.info('upstream lapsed in an outage', upstream=upstream)
            return
        self._drop(upstream)

    def _drop(self, upstream: str) -> None:
        self._gone_at.pop(upstream, None)
        entry = self._entries.pop(upstream, None)
        if entry is not None:
            LOG.info('upstream gone', upstream=upstream)
            self._on_gone((entry.host, entry.port))
