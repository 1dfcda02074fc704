"""Track the newest configuration and weight versions.

Versions only increase; older ones are ignored.
"""

import threading
import typing
import zlib

import structlog

from .. import decoding
from ..ports import catalogue
from ..ports import log as log_port

LOG = structlog.get_logger(__name__)


class RouteMatch(typing.NamedTuple):
    """A matched route and the configuration it is part of."""

    route: catalogue.Route
    configuration: catalogue.Configuration


class CurrentConfiguration:
    """Apply the records of the operators' topic."""

    def __init__(self, operator: catalogue.CatalogueDecoder) -> None:
        self._operator = operator
        self._lock = threading.Lock()
        self._configuration: catalogue.Configuration | None = None
        self._by_host: dict[str, list[catalogue.Route]] = {}
        self._versions: dict[str, int] = {}

    @property
    def configuration(self) -> catalogue.Configuration | None:
        """Return the current configuration, None before the first."""
        return self._configuration

    @property
    def versions(self) -> dict[str, int]:
        """Return the newest weight version of each model."""
        with self._lock:
            return dict(self._versions)

    def apply(
        self, new_records: list[log_port.Record], _is_snapshot: bool
    ) -> None:
        """Apply newer records; tombstones are ignored."""
        for record in new_records:
            if not record.value:
                continue
            try:
                self._apply_one(record)
            except decoding.MalformedData as error:
                LOG.error(
                    'ignoring malformed operator record',
                    key=record.key,
                    offset=record.offset,
                    error=str(error),
                )

    def apply_if_newer(self, configuration: catalogue.Configuration) -> None:
        """Apply a configuration if its version is newer."""
        with self._lock:
            current = self._configuration
            if current and configuration.version <= current.version:
                return
            self._by_host = _index_by_host(configuration)
            self._configuration = configuration
        LOG.info(
            'configuration in force',
            version=configuration.version,
            routes=len(configuration.routes),
            former=current.version if current else None,
        )

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest matching prefix, or None."""
        with self._lock:
            routes = self._by_host.get(host, ())
            configuration = self._configuration
        if configuration is None:
            return None
        for route in routes:
            if path.startswith(route.prefix):
                return RouteMatch(route, configuration)
        return None

    def _apply_one(self, record: log_port.Record) -> None:
        announcement = self._operator.announcement(record.key, record.value)
        if announcement is not None:
            self._apply_announcement(announcement)
            return
        configuration = self._operator.configuration(record.key, record.value)
        if configuration is not None:
            self.apply_if_newer(configuration)

    def _apply_announcement(
        self, announcement: catalogue.Announcement
    ) -> None:
        with self._lock:
            current = self._versions.get(announcement.model, 0)
            if announcement.version <= current:
                return
            self._versions[announcement.model] = announcement.version
        LOG.info(
            'weights announced',
            model=announcement.model,
            version=announcement.version,
        )


def pick_service(route: catalogue.Route, key: str) -> str:
    """Return the service of a request by the route's traffic split.

    The same key always gets the same service of a split.
    """
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return route.shares[0].service
    point = zlib.crc32(key.encode()) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _index_by_host(
    configuration: catalogue.Configuration,
) -> dict[str, list[catalogue.Route]]:
    """Return each host's routes, longest prefix first."""
    by_host: dict[str, list[catalogue.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return by_host
