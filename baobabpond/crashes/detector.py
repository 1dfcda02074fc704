"""Find out whether an upstream has ended after a connection was cut."""

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..upstreams import connections as connections_module

# The retry of a request waits for the probe.
PROBE_TIMEOUT_S = 0.15


class CrashDetector:
    """Probe an upstream by connecting to it."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._connections = connections
        self._metrics = metrics

    def has_ended(self, entry: catalogue.UpstreamEntry) -> bool:
        """Return whether the incarnation of an entry has ended.

        A cut connection alone does not show it, nor does silence, nor a
        registration that has lapsed.
        """
        self._metrics.count('crashes.probes')
        connection = connections_module.Connection((entry.host, entry.port))
        try:
            connection.connect(PROBE_TIMEOUT_S)
        except connections_module.ConnectionRefused:
            return True
        except connections_module.ConnectionFailed:
            return self._directory.is_replaced(entry)
        self._connections.release(connection)
        return self._directory.is_replaced(entry)
