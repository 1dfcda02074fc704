"""Find out whether an upstream has ended after a connection was cut."""

import collections.abc

import structlog

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..upstreams import connections as connections_module

# The retry of a request waits for the probe.
PROBE_TIMEOUT_S = 0.15

LOG = structlog.get_logger(__name__)

# Returns whether another instance can connect to an upstream.
IsReachedElsewhere = collections.abc.Callable[[catalogue.UpstreamEntry], bool]


class CrashDetector:
    """Probe an upstream by connecting to it."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
        is_reached_elsewhere: IsReachedElsewhere = lambda entry: False,
    ) -> None:
        self._is_reached_elsewhere = is_reached_elsewhere
        self._directory = directory
        self._connections = connections
        self._metrics = metrics

    def has_ended(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether the incarnation of an entry has ended.

        A cut connection alone does not show it, nor does silence, nor a
        registration that has lapsed, nor a refused connection if others can
        connect.
        """
        self._metrics.count('crashes.probes')
        connection = connections_module.Connection((entry.host, entry.port))
        try:
            connection.connect(PROBE_TIMEOUT_S)
        except connections_module.ConnectionRefused:
            return self._has_ended_for_all(entry)
        except connections_module.ConnectionFailed:
            return self._directory.is_replaced(entry)
        self._connections.release(connection)
        return self._directory.is_replaced(entry)

    def _has_ended_for_all(self, entry: catalogue.UpstreamEntry) -> bool:
        if not self._is_reached_elsewhere(entry):
            return True
        self._metrics.count('crashes.refused_here_only')
        LOG.info(
            'upstream refuses this instance only; not taken for its end',
            upstream=entry.id,
            service=entry.service,
        )
        return self._directory.is_replaced(entry)
