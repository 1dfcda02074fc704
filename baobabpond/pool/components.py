"""Wire up what runs the batches of the shard while this instance owns it."""

from .. import metrics as metrics_module
from ..batches import owner_preference
from ..batches import ownership as ownership_module
from ..batches import shard_state as state_module
from ..catalogue import current as current_module
from ..gen import host as host_schema
from ..ports import log as log_port
from ..ports import upstreams as upstream_port
from ..store import follower as follower_module
from ..streams import default_version
from ..upstreams import components as upstream_components

from . import fleet as fleet_module
from . import loader as loader_module
from . import orders
from . import reward_client
from . import reward_stage
from . import runner
from . import scheduler as scheduler_module

MS_PER_S = 1000


class PoolComponents:
    """The scheduler and the loader of one instance, and its ownership.

    The shard is the given partition of the topic.
    """

    def __init__(
        self,
        settings: host_schema.HostSettings,
        protocol: upstream_port.UpstreamProtocol,
        log: log_port.Log,
        topic: str,
        partition: int,
        shard_state: state_module.ShardState,
        shard_follower: follower_module.Follower,
        current: current_module.CurrentConfiguration,
        upstreams: upstream_components.UpstreamComponents,
        cores: float,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._protocol = protocol
        self._shard_state = shard_state
        self._current = current
        self._upstreams = upstreams
        self._cores = cores
        self._metrics = metrics
        fleet = fleet_module.Fleet(
            upstreams.directory, upstreams.limits.permits
        )
        self._loader = self._make_loader(fleet)
        self._scheduler = self._make_scheduler(fleet)
        self.ownership = ownership_module.Ownership(
            settings['instance'],
            log,
            topic,
            partition,
            shard_state,
            shard_follower,
            self._scheduler,
            metrics,
            self._may_own_shard,
            lambda: owner_preference.claim_delay_s(
                cores, self._cores_of_others()
            ),
        )
        self._loader.set_ownership_check(
            lambda: self.ownership.has_owner_lease
        )
        upstreams.limits.set_ownership(self.ownership)

    def apply_settings(self, settings: host_schema.HostSettings) -> None:
        """Apply reloaded settings."""
        self._loader.update_settings(
            settings['order_lease_ms'] / MS_PER_S,
            settings['upstreams_check_fences'],
        )
        self._scheduler.set_batch_retention_s(settings['status_s'])

    def _make_loader(self, fleet: fleet_module.Fleet) -> loader_module.Loader:
        settings = self._settings
        return loader_module.Loader(
            settings['instance'],
            settings['order_lease_ms'] / MS_PER_S,
            settings['upstreams_check_fences'],
            self._shard_state,
            fleet,
            self._current,
            orders.OrderClient(
                settings['instance'],
                self._protocol,
                self._upstreams.gateway,
                self._upstreams.limits.permits,
                self._upstreams.connections,
                self._metrics,
            ),
            self._metrics,
        )

    def _make_scheduler(
        self, fleet: fleet_module.Fleet
    ) -> scheduler_module.Scheduler:
        upstreams = self._upstreams
        return scheduler_module.Scheduler(
            self._shard_state,
            fleet,
            self._current,
            runner.Runner(
                self._protocol,
                upstreams.gateway,
                upstreams.connections,
                self._metrics,
            ),
            reward_stage.RewardStage(
                reward_client.RewardClient(
                    self._protocol, upstreams.gateway, upstreams.paths
                ),
                upstreams.directory,
                upstreams.load_balancer,
                upstreams.limits.permits,
                self._current,
                self._metrics,
            ),
            self._loader,
            default_version.DefaultVersions(
                self._shard_state, upstreams.directory, self._current
            ),
            self._settings['status_s'],
            self._metrics,
        )

    def _may_own_shard(self) -> bool:
        if not self._upstreams.reach.may_own_shard():
            return False
        # With work it stays: a new owner would have to take up all runs.
        if self._shard_state.open_batches():
            return True
        return not owner_preference.has_larger(
            self._cores, self._cores_of_others()
        )

    def _cores_of_others(self) -> list[float]:
        return [
            member.cores
            for member in self._upstreams.reach.peers_not_cut_off()
        ]
