"""Track the upstreams that have registered themselves."""

import enum
import threading
import time
import typing

import structlog

from .. import decoding
from ..ports import catalogue
from ..ports import log as log_port
from ..ports import upstreams as upstream_port
from ..store import contact

# Upstreams whose entries lapsed in an outage of the log register again within
# this time of its end.
LAPSE_GRACE_S = 2.2
# An outage of fewer heartbeat intervals lets no entry lapse: that takes three
# without a heartbeat, one of which may be over when the outage begins.
# Intervals vary.
MIN_LAPSE_INTERVALS = 1.5
# Announced shutdowns that are remembered, and registrations as draining.
MAX_LEAVING = 1000
LOG = structlog.get_logger(__name__)

# Receives the host and port at which an upstream no longer listens.
RemovalListener = typing.Callable[[tuple[str, int]], None]


class Presence(enum.Enum):
    """Tell what has become of an incarnation of an upstream."""

    PRESENT = enum.auto()
    # It has announced that it shuts down, whether it has done so or not.
    LEAVING = enum.auto()
    # Another incarnation has its id or listens at its address.
    REPLACED = enum.auto()
    GONE = enum.auto()


class UpstreamDirectory:
    """Apply the records of the upstreams' topic."""

    def __init__(
        self,
        operator: catalogue.CatalogueDecoder,
        last_outage: typing.Callable[[], contact.Outage | None],
        heartbeat_s: float,
        on_removed: RemovalListener = lambda address: None,
    ) -> None:
        self._operator = operator
        self._last_outage = last_outage
        self._min_lapse_s = MIN_LAPSE_INTERVALS * heartbeat_s
        self._on_removed = on_removed
        self._lock = threading.Lock()
        self._entries: dict[str, catalogue.UpstreamEntry] = {}
        # Incarnations that have announced their shutdown in a response,
        # oldest first. This may precede their registration as draining, and
        # holds for entries that lapse and are registered again.
        self._leaving: dict[tuple[str, int], None] = {}
        # Incarnations that registered as draining, oldest first.
        self._drained: dict[tuple[str, int], None] = {}
        # When lapsed entries are removed unless they are registered again.
        self._removal_due: dict[str, float] = {}

    def entries(self) -> list[catalogue.UpstreamEntry]:
        """Return the current entries, without lapsed ones past their grace."""
        with self._lock:
            self._drop_overdue()
            return list(self._entries.values())

    def usable(self, service: str) -> list[catalogue.UpstreamEntry]:
        """Return the upstreams of a service that accept new requests."""
        return [
            entry
            for entry in self.entries()
            if entry.service == service and not entry.draining
        ]

    def accepts_requests(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether a request may be sent to an upstream chosen before.

        It may have been found to be leaving, or gone, since it was chosen.
        """
        with self._lock:
            self._drop_overdue()
            current = self._entries.get(entry.id)
        return (
            current is not None
            and current.incarnation == entry.incarnation
            and not current.draining
        )

    def is_replaced(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether another incarnation is registered at the address."""
        address = entry.host, entry.port
        with self._lock:
            others = list(self._entries.values())
        return any(
            (other.host, other.port) == address
            and other.incarnation != entry.incarnation
            for other in others
        )

    def presence(self, entry: catalogue.UpstreamEntry) -> Presence:
        """Return what has become of an upstream that was registered."""
        incarnation = entry.incarnation
        with self._lock:
            self._drop_overdue()
            current = self._entries.get(entry.id)
            if incarnation in self._leaving or incarnation in self._drained:
                return Presence.LEAVING
        if current is not None and current.incarnation != incarnation:
            return Presence.REPLACED
        if self.is_replaced(entry):
            return Presence.REPLACED
        return Presence.PRESENT if current is not None else Presence.GONE

    def observe(
        self, entry: catalogue.UpstreamEntry, head: upstream_port.ResponseHead
    ) -> None:
        """Apply what a response states about the upstream that sent it."""
        if not head.is_leaving or head.misdirected:
            return
        with self._lock:
            if entry.incarnation in self._leaving:
                return
            _remember(self._leaving, entry.incarnation)
            current = self._entries.get(entry.id)
            if current is None or current.incarnation != entry.incarnation:
                return
            self._entries[entry.id] = current._replace(draining=True)
        LOG.info(
            'upstream announces its shutdown',
            upstream=entry.id,
            service=entry.service,
            request=head.request_id,
        )

    def apply(
        self, new_records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        """Apply entries and tombstones in offset order."""
        with self._lock:
            for record in new_records:
                self._apply_one(record)
            if is_snapshot:
                present_keys = {record.key for record in new_records}
                for upstream in set(self._entries) - present_keys:
                    self._remove(upstream)

    def _apply_one(self, record: log_port.Record) -> None:
        if not record.value:
            self._remove(record.key)
            return
        entry = self._decode(record)
        if entry is None:
            self._drop(record.key)
            return
        former = self._entries.get(entry.id)
        if former is not None and former.incarnation != entry.incarnation:
            self._on_removed((former.host, former.port))
            if former.incarnation in self._leaving:
                del self._leaving[former.incarnation]
                _remember(self._drained, former.incarnation)
        if entry.incarnation in self._leaving:
            entry = entry._replace(draining=True)
        if entry.draining:
            _remember(self._drained, entry.incarnation)
        else:
            self._drained.pop(entry.incarnation, None)
        self._removal_due.pop(entry.id, None)
        self._entries[entry.id] = entry
        if former is None or former.draining != entry.draining:
            LOG.info(
                'upstream is draining' if entry.draining else 'upstream ready',
                upstream=entry.id,
                service=entry.service,
                software=entry.software,
                address=f'{entry.host}:{entry.port}',
                born=entry.born,
            )

    def _decode(
        self, record: log_port.Record
    ) -> catalogue.UpstreamEntry | None:
        """Return the upstream of a record, None if it names none to use."""
        try:
            return self._operator.upstream(record.key, record.value)
        except decoding.MalformedData as error:
            LOG.warning(
                'ignoring malformed upstream entry',
                upstream=record.key,
                offset=record.offset,
                error=str(error),
            )
            return None

    def _remove(self, upstream: str) -> None:
        if upstream not in self._entries or upstream in self._removal_due:
            return
        outage = self._last_outage()
        now = time.monotonic()
        due_at = self._lapses_end_at(outage)
        if outage is None or due_at <= now:
            self._drop(upstream)
            return
        self._removal_due[upstream] = due_at
        LOG.info(
            'upstream lapsed in an outage',
            upstream=upstream,
            outage_s=round(outage.duration_s, 3),
            outage_age_s=round(now - outage.ended_at, 3),
            kept_s=round(due_at - now, 3),
        )

    def _lapses_end_at(self, outage: contact.Outage | None) -> float:
        """Return until when entries that lapsed in an outage are kept."""
        if outage is None or outage.duration_s < self._min_lapse_s:
            return float('-inf')
        return outage.ended_at + LAPSE_GRACE_S

    def _drop_overdue(self) -> None:
        """Remove lapsed entries once their upstreams could be back."""
        if not self._removal_due:
            return
        now = time.monotonic()
        outage = self._last_outage()
        if outage is not None and outage.ended_at >= now:
            # It lasts: nobody can register.
            return
        lapses_end_at = self._lapses_end_at(outage)
        for upstream, due_at in list(self._removal_due.items()):
            if now >= max(due_at, lapses_end_at):
                self._drop(upstream)

    def _drop(self, upstream: str) -> None:
        self._removal_due.pop(upstream, None)
        entry = self._entries.pop(upstream, None)
        if entry is not None:
            LOG.info('upstream gone', upstream=upstream)
            self._on_removed((entry.host, entry.port))


def _remember(
    incarnations: dict[tuple[str, int], None], incarnation: tuple[str, int]
) -> None:
    """Add an incarnation; forget the oldest one if there are too many."""
    incarnations[incarnation] = None
    if len(incarnations) > MAX_LEAVING:
        del incarnations[next(iter(incarnations))]
