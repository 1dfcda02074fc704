"""Connect to upstreams to see whether they can be reached."""

import concurrent.futures
import typing

from .. import metrics as metrics_module
from ..ports import catalogue
from ..upstreams import connections as connections_module

from . import tracker as tracker_module

PROBE_TIMEOUT_S = 0.3
MAX_THREADS = 8


class ProbeResult(typing.NamedTuple):
    """The upstreams that could be connected to, and those that could not."""

    reached: list[catalogue.UpstreamEntry]
    failing: list[catalogue.UpstreamEntry]


class Prober:
    """Open connections at the same time; requests use them afterwards."""

    def __init__(
        self,
        connections: connections_module.ConnectionPool,
        tracker: tracker_module.PathTracker,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._connections = connections
        self._tracker = tracker
        self._metrics = metrics

    def probe(self, entries: list[catalogue.UpstreamEntry]) -> ProbeResult:
        """Connect to each upstream."""
        if not entries:
            return ProbeResult([], [])
        with concurrent.futures.ThreadPoolExecutor(
            min(MAX_THREADS, len(entries)), 'probe'
        ) as executor:
            outcomes = list(executor.map(self._connect, entries))
        return ProbeResult(
            [e for e, ok in zip(entries, outcomes, strict=True) if ok],
            [e for e, ok in zip(entries, outcomes, strict=True) if not ok],
        )

    def _connect(self, entry: catalogue.UpstreamEntry) -> bool:
        self._metrics.count('reachability.probes')
        connection = connections_module.Connection((entry.host, entry.port))
        try:
            connection.connect(PROBE_TIMEOUT_S)
        except connections_module.ConnectionRefused:
            self._tracker.record_unreachable(entry)
            return False
        except connections_module.ConnectionFailed:
            self._tracker.record_unreachable(entry)
            # Those that are open get no answers either.
            self._connections.close_idle(connection.address)
            return False
        self._tracker.record_connected(entry)
        self._connections.release(connection)
        return True
