"""Find out whether an upstream has ended after a connection was cut."""

import collections.abc
import enum
import random
import typing

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..ratelimits import permits as permits_module
from ..reachability import peers
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module

from . import registry as registry_module

# The retry of a request waits for the probe.
PROBE_TIMEOUT_S = 0.15

# Asks other instances which of some upstreams they reach.
AskPeers = collections.abc.Callable[
    [list[catalogue.UpstreamEntry]], list[peers.ReachReport]
]

# Returns whether this instance is known to be cut off from a service.
IsCutOff = collections.abc.Callable[[str], bool]


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
    # Of the other instances that answered.
    reports: tuple[peers.ReachReport, ...] = ()
    # Another upstream of the service, that shows whether paths work.
    sibling: str = ''


class CrashDetector:
    """Probe an upstream by connecting to it."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        registry: registry_module.CrashRegistry,
        connections: connections_module.ConnectionPool,
        gateway: gateway_module.Gateway,
        metrics: metrics_module.Metrics,
        ask_peers: AskPeers = lambda entries: [],
        is_cut_off: IsCutOff = lambda service: False,
    ) -> None:
        self._gateway = gateway
        self._ask_peers = ask_peers
        self._is_cut_off = is_cut_off
        self._directory = directory
        self._registry = registry
        self._connections = connections
        self._metrics = metrics

    def examine(self, entry: catalogue.UpstreamEntry) -> Finding:
        """Find out whether the incarnation of an entry has ended.

        A cut connection alone does not show it, nor does silence, nor a
        registration that has lapsed, nor a refused connection if others can
        connect, or if nobody who is refused reaches the service at all.
        """
        probe = self._probe(entry)
        is_replaced = self._directory.is_replaced(entry)
        if probe is not Probe.REFUSED or is_replaced:
            return Finding(is_replaced, probe, is_replaced)
        sibling = self._find_sibling(entry)
        asked = [entry] if sibling is None else [entry, sibling]
        reports = tuple(self._ask_peers(asked))
        return Finding(
            self._is_refused_for_all(entry, sibling, reports),
            probe,
            is_replaced,
            reports,
            sibling.id if sibling else '',
        )

    def _find_sibling(
        self, entry: catalogue.UpstreamEntry
    ) -> catalogue.UpstreamEntry | None:
        """Return another upstream of the service that has not ended."""
        siblings = [
            other
            for other in self._directory.usable(entry.service)
            if other.id != entry.id
            and not self._registry.has_ended(other.incarnation)
        ]
        return random.choice(siblings) if siblings else None

    def _is_refused_for_all(
        self,
        entry: catalogue.UpstreamEntry,
        sibling: catalogue.UpstreamEntry | None,
        reports: tuple[peers.ReachReport, ...],
    ) -> bool:
        """Return whether it is the upstream that refuses, not a path."""
        if any(entry.id in report.reached for report in reports):
            self._metrics.count('crashes.refused_here_only')
            return False
        if sibling is None:
            return False
        if any(sibling.id in report.reached for report in reports):
            return True
        return self._probe(sibling) is Probe.CONNECTED

    def lives(self, entry: catalogue.UpstreamEntry) -> bool | None:
        """Return whether an upstream whose entry was removed still answers.

        None if another process may answer, or if this instance does not
        reach the service at all.
        """
        connection = connections_module.Connection((entry.host, entry.port))
        try:
            connection.connect(PROBE_TIMEOUT_S)
            born = self._gateway.ask_start(connection, entry)
        except (gateway_module.NoPermit, permits_module.RateLimited):
            return None
        except (
            connections_module.ConnectionFailed,
            connections_module.ResponseFailed,
        ):
            return None if self._is_cut_off(entry.service) else False
        except ValueError:
            return None
        finally:
            connection.close()
        return None if not born else born == entry.born

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
