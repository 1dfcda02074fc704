"""Hold the newest configuration and weight versions; never go back."""

import threading
import typing
import zlib

import structlog

from ..ports import catalogue
from ..ports import log as log_port

LOG = structlog.get_logger(__name__)


class RouteMatch(typing.NamedTuple):
    """Hold the route of a request."""

    route: catalogue.Route
    configuration: catalogue.Configuration


class CurrentConfiguration:
    """Fold the records of the operators' topic."""

    def __init__(self, operator: catalogue.Operator) -> None:
        self._operator = operator
        self._lock = threading.Lock()
        self._configuration: catalogue.Configuration | None = None
        self._by_host: dict[str, list[catalogue.Route]] = {}
        self._versions: dict[str, int] = {}

    @property
    def configuration(self) -> catalogue.Configuration | None:
        """Return the configuration in force, None before the first."""
        return self._configuration

    @property
    def versions(self) -> dict[str, int]:
        """Return the newest weight version of each model."""
        with self._lock:
            return dict(self._versions)

    def apply(
        self, new_records: list[log_port.Record], _is_snapshot: bool
    ) -> None:
        """Take what is newer; removals change nothing."""
        for record in new_records:
            if not record.value:
                continue
            try:
                self._apply_one(record)
            except (ValueError, KeyError, TypeError, AttributeError) as error:
                LOG.error(
                    'operator record cannot be read; it is passed over',
                    key=record.key,
                    offset=record.offset,
                    error=repr(error),
                )

    def offer(self, configuration: catalogue.Configuration) -> None:
        """Take a configuration if it is newer."""
        with self._lock:
            present = self._configuration
            if present and configuration.version <= present.version:
                return
            self._by_host = _index(configuration)
            self._configuration = configuration
        LOG.info(
            'configuration in force',
            version=configuration.version,
            routes=len(configuration.routes),
            former=present.version if present else None,
        )

    def match(self, host: str, path: str) -> RouteMatch | None:
        """Return the route with the longest prefix, None if none fits."""
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
            self._announce(announcement)
            return
        configuration = self._operator.configuration(record.key, record.value)
        if configuration is not None:
            self.offer(configuration)

    def _announce(self, announcement: catalogue.Announcement) -> None:
        with self._lock:
            present = self._versions.get(announcement.model, 0)
            if announcement.version <= present:
                return
            self._versions[announcement.model] = announcement.version
        LOG.info(
            'weights announced',
            model=announcement.model,
            version=announcement.version,
        )


def pick_service(route: catalogue.Route, key: str) -> str:
    """Return the service of a request by the route's split."""
    total = sum(share.weight for share in route.shares)
    if total <= 0:
        return route.shares[0].service
    point = zlib.crc32(key.encode()) / 2**32 * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.service
    return route.shares[-1].service


def _index(
    configuration: catalogue.Configuration,
) -> dict[str, list[catalogue.Route]]:
    """Return each host's routes, the longest prefix first."""
    by_host: dict[str, list[catalogue.Route]] = {}
    for route in configuration.routes:
        by_host.setdefault(route.host, []).append(route)
    for routes in by_host.values():
        routes.sort(key=lambda route: -len(route.prefix))
    return by_host
