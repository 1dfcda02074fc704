"""Wire up what sends requests to upstreams."""

import collections.abc

from .. import metrics as metrics_module
from ..batches import shard_state as state_module
from ..catalogue import directory as directory_module
from ..crashes import components as crash_components
from ..gen import host as host_schema
from ..members import roster as roster_module
from ..ports import log as log_port
from ..ports import platforms
from ..ratelimits import components as ratelimit_components
from ..reachability import components as reach_components
from ..relaying import paths as paths_module
from ..store import contact

from . import connections as connections_module
from . import gateway as gateway_module
from . import load_balancer as load_balancer_module

MS_PER_S = 1000
# Of upstreams, where the settings do not tell it.
HEARTBEAT_MS = 1200


class UpstreamComponents:
    """The upstreams that one instance knows, and its paths to them."""

    def __init__(
        self,
        settings: host_schema.HostSettings,
        platform: platforms.Platform,
        log: log_port.Log,
        last_outage: collections.abc.Callable[[], contact.Outage | None],
        roster: roster_module.Roster,
        shard_state: state_module.ShardState,
        metrics: metrics_module.Metrics,
    ) -> None:
        instance = settings['instance']
        heartbeat_s = (
            settings.get('upstream_heartbeat_ms', HEARTBEAT_MS) / MS_PER_S
        )
        self.connections = connections_module.ConnectionPool(metrics)
        self.load_balancer = load_balancer_module.LoadBalancer(metrics)
        self.directory = directory_module.UpstreamDirectory(
            platform.catalogue_decoder,
            last_outage,
            heartbeat_s,
            self.connections.close_idle,
        )
        self.limits = ratelimit_components.LimitComponents(
            instance, log, self.directory, roster, shard_state, metrics
        )
        self.reach = reach_components.ReachComponents(
            instance,
            log,
            self.directory,
            roster,
            self.connections,
            settings['relay_port'],
            metrics,
        )
        self.paths = paths_module.Paths(
            self.connections,
            self.reach.monitor,
            self.reach.tracker,
            settings['data_centre'],
            metrics,
        )
        self.gateway = gateway_module.Gateway(
            platform.upstreams,
            self.directory,
            self.limits.tracker,
            self.limits.permits,
            self.reach.tracker,
        )
        self.crashes = crash_components.CrashComponents(
            instance,
            log,
            self.directory,
            self.connections,
            self.load_balancer,
            self.gateway,
            self.reach,
            heartbeat_s,
            metrics,
        )
