"""Choose between the direct path to an upstream and other instances."""

import collections
import random
import threading
import time
import typing

import structlog
import urllib3

from .. import metrics as metrics_module
from ..ports import catalogue
from ..reachability import monitor as monitor_module
from ..reachability import peers as peers_module
from ..reachability import tracker as tracker_module
from ..upstreams import connections as connections_module

from . import connection as connection_module

# A relaying instance that failed or was busy is avoided for this time.
AVOID_S = 0.5

LOG = structlog.get_logger(__name__)


class Paths:
    """Acquire connections that lead to upstreams."""

    def __init__(
        self,
        connections: connections_module.ConnectionPool,
        monitor: monitor_module.ReachMonitor,
        tracker: tracker_module.PathTracker,
        data_centre: str,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._connections = connections
        self._monitor = monitor
        self._tracker = tracker
        self._data_centre = data_centre
        self._metrics = metrics
        self._lock = threading.Lock()
        self._used: collections.Counter[str] = collections.Counter()
        self._avoided_until: dict[str, float] = {}

    def acquire(
        self, entry: catalogue.UpstreamEntry, request_id: str
    ) -> connections_module.Connection:
        """Return a connection to an upstream; a new one is not connected.

        Leads through another instance where this one is cut off.
        """
        address = entry.host, entry.port
        cut = self._monitor.cut_from(entry.service)
        if cut is None:
            return self._connections.acquire(address)
        path = self._tracker.path_to(entry)
        if path.connected_at > cut.since and not path.is_failing:
            return self._connections.acquire(address)
        relay = self._choose(cut.reports)
        if relay is None:
            self._metrics.count('relaying.no_path')
            return connection_module.NoPath(address)
        self._metrics.count('relaying.sent')
        connection = typing.cast(
            connection_module.RelayConnection,
            self._connections.acquire(
                relay.relay_address, connection_module.RelayConnection
            ),
        )
        connection.set_destination(entry, lambda: self._avoid(relay))
        LOG.info(
            'request goes through another instance',
            request=request_id,
            upstream=entry.id,
            service=entry.service,
            relay=relay.instance,
            cut_for_s=round(time.monotonic() - cut.since, 3),
            report_age_s=round(time.monotonic() - cut.reported_at, 3),
        )
        return connection

    def release(self, connection: connections_module.Connection) -> None:
        """Return a connection to the pool."""
        self._connections.release(connection)

    def release_or_close(
        self,
        connection: connections_module.Connection,
        response: urllib3.HTTPResponse,
    ) -> None:
        """Release a connection after a response if it is reusable."""
        self._connections.release_or_close(connection, response)

    def _choose(
        self, reports: tuple[peers_module.ReachReport, ...]
    ) -> peers_module.ReachReport | None:
        """Return the less used of two instances drawn, nearest first.

        Instances that are cut off at the same moment so spread over those
        that are not.
        """
        now = time.monotonic()
        with self._lock:
            usable = [
                each
                for each in reports
                if self._avoided_until.get(each.instance, 0.0) <= now
            ]
            if not usable:
                return None
            drawn = random.sample(usable, min(2, len(usable)))
            chosen = min(
                drawn,
                key=lambda each: (
                    self._used[each.instance],
                    each.data_centre != self._data_centre,
                ),
            )
            self._used[chosen.instance] += 1
            return chosen

    def _avoid(self, relay: peers_module.ReachReport) -> None:
        self._metrics.count('relaying.avoided')
        LOG.info('instance does not pass on requests', relay=relay.instance)
        with self._lock:
            self._avoided_until[relay.instance] = time.monotonic() + AVOID_S
