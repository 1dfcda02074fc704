"""Find out whether an upstream has ended after a connection was cut."""

import collections.abc
import enum
import typing

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..reachability import peers
from ..upstreams import connections as connections_module

# The retry of a request waits for the probe.
PROBE_TIMEOUT_S = 0.15

# Asks other instances whether they can connect to an upstream.
AskPeers = collections.abc.Callable[
    [catalogue.UpstreamEntry], list[peers.ReachReport]
]


class Probe(enum.Enum):
    """Tell what came of connecting; logs show the value."""

    CONNECTED = 'connected'
    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'


class Finding(typing.NamedTuple):
    """Whether an upstream has ended, and what shows it."""

    has_ended: bool
    probe: Probe
    # Another incarnation is registered at its address.
    is_replaced: bool
    # Of the other instances that were asked.
    reports: tuple[peers.ReachReport, ...] = ()


class CrashDetector:
    """Probe an upstream by connecting to it."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
        ask_peers: AskPeers = lambda entry: [],
    ) -> None:
        self._ask_peers = ask_peers
        self._directory = directory
        self._connections = connections
        self._metrics = metrics

    def examine(self, entry: catalogue.UpstreamEntry) -> Finding:
        """Find out whether the incarnation of an entry has ended.

        A cut connection alone does not show it, nor does silence, nor a
        registration that has lapsed, nor a refused connection if others can
        connect.
        """
        probe = self._probe(entry)
        reports: tuple[peers.ReachReport, ...] = ()
        if probe is Probe.REFUSED:
            reports = tuple(self._ask_peers(entry))
            if not any(report.reached for report in reports):
                return Finding(True, probe, False, reports)
            self._metrics.count('crashes.refused_here_only')
        is_replaced = self._directory.is_replaced(entry)
        return Finding(is_replaced, probe, is_replaced, reports)

    def _probe(self, entry: catalogue.UpstreamEntry) -> Probe:
        self._metrics.count('crashes.probes')
        connection = connections_module.Connection((entry.host, entry.port))
        try:
            connection.connect(PROBE_TIMEOUT_S)
        except connections_module.ConnectionRefused:
            return Probe.REFUSED
        except connections_module.ConnectionFailed:
            return Probe.UNREACHABLE
        self._connections.release(connection)
        return Probe.CONNECTED
