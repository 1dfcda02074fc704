"""Wire up what recognises requests that crash upstreams."""

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import log as log_port
from ..reachability import components as reach_components
from ..store import follower as follower_module
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module
from ..upstreams import load_balancer as load_balancer_module

from . import detector as detector_module
from . import guard as guard_module
from . import registry as registry_module
from . import resolver as resolver_module
from . import sharing as sharing_module
from . import unresolved as unresolved_module

TOPIC = 'keyed.crashes'
PARTITION = 0


class CrashComponents:
    """The guard of one instance, and its exchange with the others."""

    def __init__(
        self,
        instance: str,
        log: log_port.Log,
        directory: directory_module.UpstreamDirectory,
        connections: connections_module.ConnectionPool,
        load_balancer: load_balancer_module.LoadBalancer,
        gateway: gateway_module.Gateway,
        reach: reach_components.ReachComponents,
        heartbeat_s: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        registry = registry_module.CrashRegistry()
        unresolved = unresolved_module.UnresolvedAttempts()
        self._sharing = sharing_module.CrashSharing(
            instance, TOPIC, PARTITION, log, registry, metrics
        )
        self.follower = follower_module.Follower(
            log, TOPIC, PARTITION, self._sharing.apply, metrics
        )
        detector = detector_module.CrashDetector(
            directory,
            registry,
            connections,
            gateway,
            metrics,
            reach.ask_peers,
            lambda service: reach.monitor.cut_from(service) is not None,
        )
        self.guard = guard_module.CrashGuard(
            registry,
            self._sharing,
            detector,
            unresolved,
            load_balancer,
            metrics,
        )
        self._resolver = resolver_module.CrashResolver(
            unresolved,
            registry,
            directory,
            detector,
            self.guard.record_crash,
            heartbeat_s,
            metrics,
        )

    def start(self) -> None:
        """Start to append crashes to the log, and to look for late ones."""
        self._sharing.start()
        self._resolver.start()
