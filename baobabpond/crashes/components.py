"""Wire up what recognises requests that crash upstreams."""

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import log as log_port
from ..store import follower as follower_module
from ..upstreams import connections as connections_module
from ..upstreams import load_balancer as load_balancer_module

from . import detector
from . import guard as guard_module
from . import registry as registry_module
from . import sharing as sharing_module

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
        ask_peers: detector.AskPeers,
        metrics: metrics_module.Metrics,
    ) -> None:
        registry = registry_module.CrashRegistry()
        self._sharing = sharing_module.CrashSharing(
            instance, TOPIC, PARTITION, log, registry, metrics
        )
        self.follower = follower_module.Follower(
            log, TOPIC, PARTITION, self._sharing.apply, metrics
        )
        self.guard = guard_module.CrashGuard(
            registry,
            self._sharing,
            detector.CrashDetector(directory, connections, metrics, ask_peers),
            load_balancer,
            metrics,
        )

    def start(self) -> None:
        """Start to append crashes to the log."""
        self._sharing.start()
