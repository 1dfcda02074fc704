"""Choose the software version that streams without a record have.

Only the owner of a shard does, since its records are fenced: all instances
must agree on the default at any offset of the log.
"""

import collections
import time

import structlog

from .. import decoding
from ..batches import records
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..ports import log as log_port

from . import recorder as recorder_module

CHECK_INTERVAL_S = 0.5
# A record that was appended is read back within this time.
READ_BACK_S = 2.0

LOG = structlog.get_logger(__name__)


class DefaultReader:
    """Tell the defaults, also before the shard is loaded.

    Loading the batches of a shard may take seconds; its defaults are a page
    of their own.
    """

    def __init__(
        self,
        log: log_port.Log,
        topic: str,
        partition: int,
        shard_state: state_module.ShardState,
    ) -> None:
        self._log = log
        self._topic = topic
        self._partition = partition
        self._shard_state = shard_state
        self._loaded: dict[str, str] = {}

    def known(self, service: str) -> str | None:
        """Return the default of a service, None if it is not known yet."""
        default = self._shard_state.default_software(service)
        return self._loaded.get(service) if default is None else default

    def load(self, service: str) -> str | None:
        """Return the default of a service, from the log if necessary.

        Raises LogError.
        """
        if self.known(service) is None:
            page = self._log.newest(
                self._topic, self._partition, records.SOFTWARE
            )
            for record in page.records:
                self._add(record)
        return self.known(service)

    def _add(self, record: log_port.Record) -> None:
        if not record.key.startswith(f'{records.SOFTWARE}/'):
            return
        try:
            service, software = records.decode_default_software(
                record.key, record.value
            )
        except decoding.MalformedData as error:
            LOG.error(
                'ignoring malformed default of a service',
                key=record.key,
                error=str(error),
            )
            return
        self._loaded[service] = software


class DefaultVersions:
    """Track during a tenure which versions are in service."""

    def __init__(
        self,
        shard_state: state_module.ShardState,
        directory: directory_module.UpstreamDirectory,
        current: current_module.CurrentConfiguration,
    ) -> None:
        self._shard_state = shard_state
        self._directory = directory
        self._current = current
        self._started_at = 0.0
        # By service and version, when it was last registered.
        self._last_seen: dict[tuple[str, str], float] = {}
        self._next_check_at = 0.0
        # By service, when a default was last returned for an append.
        self._returned_at: dict[str, float] = {}

    def reset(self) -> None:
        """Begin a tenure."""
        self._started_at = time.monotonic()
        self._last_seen.clear()
        self._returned_at.clear()

    def due_records(self) -> list[log_port.Record]:
        """Return the records of the defaults that must be set or changed."""
        due: list[log_port.Record] = []
        now = time.monotonic()
        if now < self._next_check_at:
            return due
        self._next_check_at = now + CHECK_INTERVAL_S
        for service, counts in self._count_versions().items():
            default = self._shard_state.default_software(service)
            if default is not None and not self._is_gone(service, default):
                continue
            software = min(counts, key=lambda name: (-counts[name], name))
            returned_at = self._returned_at.get(service, float('-inf'))
            if software == default or now - returned_at < READ_BACK_S:
                continue
            self._returned_at[service] = now
            LOG.info(
                'default software version of a service',
                service=service,
                software=software,
                former=default,
            )
            due.append(records.encode_default_software(service, software))
        return due

    def _count_versions(self) -> dict[str, collections.Counter[str]]:
        """Count the upstreams of each service with resumable streams."""
        services = self._streaming_services()
        counts: dict[str, collections.Counter[str]] = {}
        if not services:
            return counts
        now = time.monotonic()
        for entry in self._directory.entries():
            if entry.service in services:
                self._last_seen[entry.service, entry.software] = now
                counts.setdefault(entry.service, collections.Counter())[
                    entry.software
                ] += 1
        return counts

    def _streaming_services(self) -> set[str]:
        configuration = self._current.configuration
        if configuration is None:
            return set()
        return {
            share.service
            for route in configuration.routes
            if route.kind is catalogue.RouteKind.STREAMING and route.resumable
            for share in route.shares
        }

    def _is_gone(self, service: str, software: str) -> bool:
        """Return whether no stream of a version can be resumed any more."""
        last_seen = self._last_seen.get((service, software), self._started_at)
        return time.monotonic() - last_seen > recorder_module.RESUME_WINDOW_S
