"""Wire up the components of one instance on a platform."""

import os
import pathlib
import threading
import time

import structlog

from . import metrics as metrics_module
from . import readiness
from . import shutdown
from .accounts import decision
from .accounts import peers as account_peers
from .batches import owner_preference
from .batches import ownership
from .batches import shard_state as state_module
from .catalogue import current as current_module
from .catalogue import directory as directory_module
from .crashes import components as crash_components
from .duties import caller as duty_caller
from .duties import holder as duty_holder
from .edge import app as app_module
from .edge import batch_handlers
from .edge import body_memory
from .edge import client_limits
from .edge import disconnects
from .edge import forwarder
from .edge import relay_handler
from .edge import server
from .gen import host as host_schema
from .gen.peer import LogRelay
from .members import roster as roster_module
from .peers import handler as peer_handler
from .peers import thrift_server
from .pool import fleet
from .pool import loader
from .pool import orders
from .pool import reward_client
from .pool import reward_stage
from .pool import runner
from .pool import scheduler as scheduler_module
from .ports import catalogue
from .ports import log as log_port
from .ports import platforms
from .ratelimits import components as ratelimit_components
from .ratelimits import sharing
from .reachability import components as reach_components
from .reachability import sharing as reach_sharing
from .relaying import paths
from .store import contact
from .store import dispatcher
from .store import first_load as first_load_module
from .store import follower as follower_module
from .store import handler
from .store import relay
from .streams import components as stream_components
from .streams import default_version
from .streams import records as stream_records
from .upstreams import connections
from .upstreams import gateway
from .upstreams import load_balancer
from .usage import components as usage_components

OPERATOR_THREADS = 4
READY_CHECK_INTERVAL_S = 0.05
SHARD = 0
MS_PER_S = 1000
# Of upstreams, where the settings do not tell it.
HEARTBEAT_MS = 1200
# Of calls to the control plane, and of the reports of usage.
CONTROL_CALLS_PER_S = 50.0
USAGE_WINDOW_S = 5.0
USAGE_DUE_S = 10.0
# Where strict_revoke is set and the settings do not tell it.
REVOKE_MS = 5000
# A quiet log confirms the accounts two long polls late, which must not come
# near the age at which keys are refused.
READS_PER_REVOCATION = 4
# Pause between reads, so that one read returns many records.
DIRECTORY_READ_PAUSE_S = 0.1
# The duration of an outage is the time between two reads. Where registrations
# are rare, longer waits made a loss of a second look as if entries could have
# lapsed in it, and upstreams that left then were used for too long.
UPSTREAMS_READ_WAIT_S = 0.3
# Reads that succeed are not overdue sooner than those of other partitions.
UPSTREAMS_OVERDUE_MARGIN_S = 1.0
# Shorter than the default, to detect early that the owner of the shard has
# stopped appending; owners append more often than this.
OWNER_READ_WAIT_S = 0.5

LOG = structlog.get_logger(__name__)


class Host:
    """Create, start and stop all components of one instance."""

    def __init__(self, settings: host_schema.HostSettings) -> None:
        self._settings = settings
        self._metrics = metrics_module.Metrics()
        platforms.load(
            settings['plugin'], pathlib.Path(settings['plugin_folder'])
        )
        factory = platforms.platforms.get(settings['plugin'])
        self._platform = factory(settings['store_address'])
        self._log = relay.FailoverLog(self._platform.log, self._metrics)
        self._cores = settings.get('processor_cores', 0.0) * settings.get(
            'processor_speed', 1.0
        )
        self._leave_requested = threading.Event()
        self._leaving = False
        self._validity_s = min(
            app_module.ADDRESS_LIST_TTL_S, settings['longest_validity_s']
        )
        body_bytes = body_memory.BYTES_PER_MB * body_memory.limit_mb(
            settings['memory_mb'], settings.get('body_memory_mb')
        )
        self._caller_limits = client_limits.from_settings(settings)
        self._request_memory = body_memory.BodyMemory(
            'requests',
            body_bytes,
            self._metrics,
            self._caller_limits.address_body_share,
            self._caller_limits.held_body_bytes_per_s,
        )
        self._response_memory = body_memory.BodyMemory(
            'responses', body_bytes, self._metrics
        )
        self._build_catalogue()
        self._build_scheduler()
        self._build_duties()
        self._build_servers()

    def start(self) -> None:
        """Start all threads and servers."""
        self._caller_watch.start()
        thrift_server.serve(
            self._settings['address'],
            self._settings['peer_port'],
            LogRelay.Processor(
                peer_handler.PeerHandler(
                    handler.RelayHandler(
                        self._platform.log,
                        self._log,
                        self._metrics,
                        [self._shard_first_load],
                        account_peers.KeyRedactor(
                            self._platform.catalogue_decoder
                        ).redact,
                    ),
                    self._limits.permit_handler,
                    self._reach.reach_handler,
                )
            ),
            self._metrics,
            client_limits.from_settings(
                self._settings, client_limits.PEER_SHARE
            ),
        )
        for follower in self._followers:
            follower.start()
        self._roster.start()
        self._crashes.start()
        self._limits.start()
        self._streams.start()
        self._reach.start()
        self._ownership.start()
        if self._usage is not None:
            self._usage.start()
        for http_server in (*self._request_servers, *self._operator_servers):
            http_server.start_thread('http')
        threading.Thread(
            target=self._join_when_ready, name='ready', daemon=True
        ).start()
        LOG.info(
            'serving',
            address=self._settings['callers_listen'],
            pid=os.getpid(),
        )

    def request_leave(self) -> None:
        """Request the instance to drain and leave the cluster."""
        self._leave_requested.set()

    def apply_settings(self, settings: host_schema.HostSettings) -> None:
        """Apply reloaded settings; addresses change only with a restart."""
        self._settings = settings
        self._loader.update_settings(
            settings['order_lease_ms'] / MS_PER_S,
            settings['upstreams_check_fences'],
        )
        self._duty_holder.update_lease(settings['order_lease_ms'] / MS_PER_S)
        self._scheduler.set_batch_retention_s(settings['status_s'])
        self._caller_app.set_key_staleness_s(_key_staleness_s(settings))

    def run_until_stopped(self) -> bool:
        """Wait for the request to leave, then drain and stop.

        Returns whether all requests completed within the grace period.
        """
        self._leave_requested.wait()
        LOG.info('leaving')
        self._leaving = True
        is_complete = shutdown.GracefulShutdown(
            self._roster,
            self._ownership,
            self._caller_app,
            self._relay_handler,
            self._request_servers,
            self._operator_servers,
        ).run(self._settings['grace_s'], self._validity_s)
        if self._usage is not None:
            self._usage.flush()
        return is_complete

    def _apply_configuration(
        self, records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        self._current.apply(records, is_snapshot)
        configuration = self._current.configuration
        if configuration is not None:
            for request_server in self._request_servers:
                request_server.set_limits(configuration.limits)

    def _last_upstreams_outage(self) -> contact.Outage | None:
        outage = self._upstreams_follower.last_outage
        return outage and outage.ending_by(self._log.regained_at)

    def _build_catalogue(self) -> None:
        decoder = self._platform.catalogue_decoder
        self._current = current_module.CurrentConfiguration(decoder)
        self._connections = connections.ConnectionPool(self._metrics)
        self._load_balancer = load_balancer.LoadBalancer(self._metrics)
        heartbeat_s = (
            self._settings.get('upstream_heartbeat_ms', HEARTBEAT_MS)
            / MS_PER_S
        )
        self._directory = directory_module.UpstreamDirectory(
            decoder,
            self._last_upstreams_outage,
            heartbeat_s,
            self._connections.close_idle,
        )
        self._roster = roster_module.Roster(
            roster_module.Member(
                self._settings['instance'],
                self._settings['callers_listen'],
                f'{self._settings["address"]}:{self._settings["peer_port"]}',
                self._settings['data_centre'],
                False,
                self._cores,
            ),
            self._log,
            lambda since: self._members_follower.silence_s(since),
        )
        self._log.set_peer_source(self._roster.peer_addresses)
        self._shard_state = state_module.ShardState()
        self._limits = ratelimit_components.LimitComponents(
            self._settings['instance'],
            self._log,
            self._directory,
            self._roster,
            self._shard_state,
            self._metrics,
        )
        self._streams = stream_components.StreamComponents(
            self._log,
            self._shard_state,
            batch_handlers.TOPIC,
            SHARD,
            lambda: self._members_follower.catch_up_fully(),
            self._metrics,
        )
        self._reach = reach_components.ReachComponents(
            self._settings['instance'],
            self._log,
            self._directory,
            self._roster,
            self._connections,
            self._settings['relay_port'],
            self._metrics,
        )
        self._paths = paths.Paths(
            self._connections,
            self._reach.monitor,
            self._reach.tracker,
            self._settings['data_centre'],
            self._metrics,
        )
        self._gateway = gateway.Gateway(
            self._platform.upstreams,
            self._directory,
            self._limits.tracker,
            self._limits.permits,
            self._reach.tracker,
        )
        self._crashes = crash_components.CrashComponents(
            self._settings['instance'],
            self._log,
            self._directory,
            self._connections,
            self._load_balancer,
            self._gateway,
            self._reach,
            heartbeat_s,
            self._metrics,
        )
        wait_s = follower_module.READ_WAIT_S
        max_staleness_s = _key_staleness_s(self._settings)
        if max_staleness_s is not None:
            wait_s = min(wait_s, max_staleness_s / READS_PER_REVOCATION)
        self._configuration_follower = self._make_follower(
            decoder.configuration_topic,
            0,
            self._apply_configuration,
            read_wait_s=wait_s,
            renew_after_s=wait_s + follower_module.OVERDUE_MARGIN_S,
        )
        self._upstreams_follower = self._make_follower(
            decoder.upstreams_topic,
            0,
            self._directory.apply,
            DIRECTORY_READ_PAUSE_S,
            UPSTREAMS_READ_WAIT_S,
            overdue_margin_s=UPSTREAMS_OVERDUE_MARGIN_S,
        )
        self._members_follower = self._make_follower(
            roster_module.TOPIC,
            roster_module.PARTITION,
            dispatcher.KeyDispatcher(
                self._roster.apply,
                {
                    sharing.KEY_PREFIX: self._limits.sharing.apply,
                    stream_records.KEY_PREFIX: self._streams.recorder.apply,
                    reach_sharing.KEY_PREFIX: self._reach.records.apply,
                },
            ).apply,
            DIRECTORY_READ_PAUSE_S,
        )
        self._shard_first_load = first_load_module.FirstLoad(
            batch_handlers.TOPIC,
            SHARD,
            self._settings['instance'],
            self._settings['data_centre'],
            self._roster.known_peers,
            self._metrics,
            cores=self._cores,
        )
        self._shard_follower = self._make_follower(
            batch_handlers.TOPIC,
            SHARD,
            self._shard_state.apply,
            read_wait_s=OWNER_READ_WAIT_S,
            first_load=self._shard_first_load,
        )
        self._followers = (
            self._configuration_follower,
            self._upstreams_follower,
            self._members_follower,
            self._shard_follower,
            self._crashes.follower,
        )
        self._readiness = readiness.Readiness(
            self._current,
            [f for f in self._followers if f is not self._shard_follower],
            self._shard_follower,
        )

    def _make_follower(
        self,
        topic: str,
        partition: int,
        listener: follower_module.Listener,
        pause_s: float = 0.0,
        read_wait_s: float = follower_module.READ_WAIT_S,
        first_load: first_load_module.FirstLoad | None = None,
        renew_after_s: float | None = None,
        overdue_margin_s: float = follower_module.OVERDUE_MARGIN_S,
    ) -> follower_module.Follower:
        return follower_module.Follower(
            self._log,
            topic,
            partition,
            listener,
            self._metrics,
            pause_s,
            read_wait_s,
            first_load,
            renew_after_s,
            overdue_margin_s,
        )

    def _build_scheduler(self) -> None:
        protocol = self._platform.upstreams
        upstreams = fleet.Fleet(self._directory, self._limits.permits)
        self._loader = loader.Loader(
            self._settings['instance'],
            self._settings['order_lease_ms'] / MS_PER_S,
            self._settings['upstreams_check_fences'],
            self._shard_state,
            upstreams,
            self._current,
            orders.OrderClient(
                self._settings['instance'],
                protocol,
                self._gateway,
                self._limits.permits,
                self._connections,
                self._metrics,
            ),
            self._metrics,
        )
        self._scheduler = scheduler_module.Scheduler(
            self._shard_state,
            upstreams,
            self._current,
            runner.Runner(
                protocol, self._gateway, self._connections, self._metrics
            ),
            reward_stage.RewardStage(
                reward_client.RewardClient(
                    protocol, self._gateway, self._paths
                ),
                self._directory,
                self._load_balancer,
                self._limits.permits,
                self._current,
                self._metrics,
            ),
            self._loader,
            default_version.DefaultVersions(
                self._shard_state, self._directory, self._current
            ),
            self._settings['status_s'],
            self._metrics,
        )
        self._ownership = ownership.Ownership(
            self._settings['instance'],
            self._log,
            batch_handlers.TOPIC,
            SHARD,
            self._shard_state,
            self._shard_follower,
            self._scheduler,
            self._metrics,
            self._may_own_shard,
            lambda: owner_preference.claim_delay_s(
                self._cores, self._cores_of_others()
            ),
        )
        self._loader.set_ownership_check(
            lambda: self._ownership.has_owner_lease
        )
        self._limits.set_ownership(self._ownership)

    def _may_own_shard(self) -> bool:
        if not self._reach.may_own_shard():
            return False
        # With work it stays: a new owner would have to take up all runs.
        if self._shard_state.open_batches():
            return True
        return not owner_preference.has_larger(
            self._cores, self._cores_of_others()
        )

    def _cores_of_others(self) -> list[float]:
        return [member.cores for member in self._reach.peers_not_cut_off()]

    def _build_duties(self) -> None:
        """Build the duties that the settings list, if any."""
        settings = self._settings
        self._duty_holder = duty_holder.DutyHolder(
            settings['instance'],
            self._ownership,
            settings['order_lease_ms'] / MS_PER_S,
        )
        self._usage: usage_components.UsageComponents | None = None
        duties = settings.get('control_duties', [])
        if 'control_address' not in settings or 'usage_report' not in duties:
            return
        self._usage = usage_components.UsageComponents(
            settings['instance'],
            self._log,
            settings['parts'],
            settings.get('usage_window_s', USAGE_WINDOW_S),
            settings.get('usage_due_s', USAGE_DUE_S),
            self._duty_holder,
            duty_caller.DutyCaller(
                self._duty_holder,
                settings.get('control_calls_per_s', CONTROL_CALLS_PER_S),
                self._metrics,
            ),
            self._platform.connect_control(settings['control_address']),
            self._metrics,
        )

    def _build_servers(self) -> None:
        self._caller_watch = disconnects.DisconnectWatcher()
        handlers = batch_handlers.BatchHandlers(
            self._platform.callers,
            batch_handlers.Shard(
                SHARD, self._shard_state, self._shard_follower
            ),
            self._log,
            self._current,
            self._metrics,
            lambda: min(f.contact_age_s for f in self._followers),
            self._caller_limits,
        )
        self._caller_app = app_module.CallerApp(
            self._platform.callers,
            self._current,
            lambda: self._configuration_follower.staleness_s,
            handlers,
            forwarder.Forwarder(
                self._platform.upstreams,
                self._directory,
                self._gateway,
                self._paths,
                self._load_balancer,
                self._caller_watch,
                self._crashes.guard,
                self._limits.permits,
                self._streams.origins,
                self._response_memory,
                self._metrics,
                self._usage and self._usage.counter,
            ),
            self._metrics,
        )
        self._caller_app.set_key_staleness_s(_key_staleness_s(self._settings))
        operator_app = app_module.OperatorApp(
            self._platform.callers,
            self._reach.members_for_callers,
            lambda: not self._leaving and self._readiness.is_ready,
            self._metrics,
            self._validity_s,
        )
        settings = self._settings
        addresses = {
            settings['ready_listen'],
            settings['entries_listen'],
            f'{settings["address"]}:{settings["metrics_port"]}',
        }
        self._relay_handler = relay_handler.RelayHandler(
            self._directory,
            self._gateway,
            self._connections,
            self._limits.permits,
            self._caller_watch,
            self._metrics,
        )
        # These have requests in flight when the instance stops.
        self._request_servers = [
            self._make_server(
                settings['callers_listen'],
                self._caller_app.handle,
                self._caller_limits.threads,
                1.0,
            ),
            self._make_server(
                f'{settings["address"]}:{settings["relay_port"]}',
                self._relay_handler.handle,
                relay_handler.THREADS,
                client_limits.RELAY_SHARE,
            ),
        ]
        self._operator_servers = [
            self._make_server(
                listen,
                operator_app.handle,
                OPERATOR_THREADS,
                client_limits.OPERATOR_SHARE,
            )
            for listen in sorted(addresses)
        ]

    def _make_server(
        self,
        listen: str,
        handler: server.Handler,
        threads: int,
        connections_share: float,
    ) -> server.Server:
        host, port = listen.rsplit(':', 1)
        return server.Server(
            (host, int(port)),
            handler,
            threads,
            self._metrics,
            catalogue.Limits(),
            self._request_memory,
            client_limits.from_settings(self._settings, connections_share),
        )

    def _join_when_ready(self) -> None:
        """Announce the instance and let it claim batches once it is ready."""
        while not self._readiness.is_ready:
            if self._leaving:
                return
            time.sleep(READY_CHECK_INTERVAL_S)
        LOG.info('ready')
        self._roster.announce()
        self._ownership.allow_claims()


def _key_staleness_s(settings: host_schema.HostSettings) -> float | None:
    return decision.key_staleness_s(
        settings.get('revoke_ms', REVOKE_MS),
        settings.get('strict_revoke', False),
    )
