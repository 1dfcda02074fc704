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
from .batches import shard_state as state_module
from .catalogue import current as current_module
from .duties import components as duty_components
from .edge import batch_handlers
from .edge import client_limits
from .edge import components as edge_components
from .gen import host as host_schema
from .gen.peer import LogRelay
from .members import roster as roster_module
from .peers import handler as peer_handler
from .peers import thrift_server
from .pool import components as pool_components
from .ports import log as log_port
from .ports import platforms
from .ratelimits import sharing
from .reachability import sharing as reach_sharing
from .store import components as store_components
from .store import contact
from .store import dispatcher
from .store import handler
from .store import relay
from .streams import components as stream_components
from .streams import records as stream_records
from .upstreams import components as upstream_components

READY_CHECK_INTERVAL_S = 0.05
SHARD = 0
# Where strict_revoke is set and the settings do not tell it.
REVOKE_MS = 5000

LOG = structlog.get_logger(__name__)


class Host:
    """Create, start and stop all components of one instance."""

    def __init__(self, settings: host_schema.HostSettings) -> None:
        self._settings = settings
        self._metrics = metrics_module.Metrics()
        self._platform = _load_platform(settings)
        self._log = relay.FailoverLog(self._platform.log, self._metrics)
        self._cores = settings.get('processor_cores', 0.0) * settings.get(
            'processor_speed', 1.0
        )
        self._leave_requested = threading.Event()
        self._leaving = False
        self._current = current_module.CurrentConfiguration(
            self._platform.catalogue_decoder
        )
        self._shard_state = state_module.ShardState()
        # The roster, the upstreams and the streams call back the followers,
        # which need them as listeners and are therefore created after them.
        self._roster = self._make_roster()
        self._log.set_peer_source(self._roster.peer_addresses)
        self._upstreams = self._make_upstreams()
        self._streams = self._make_streams()
        self._followers = self._make_followers()
        self._readiness = self._make_readiness()
        self._pool = self._make_pool()
        self._duties = duty_components.DutyComponents(
            settings,
            self._platform,
            self._log,
            self._pool.ownership,
            self._metrics,
        )
        self._edge = self._make_edge()
        self._edge.caller_app.set_key_staleness_s(_key_staleness_s(settings))

    def start(self) -> None:
        """Start all threads and servers."""
        self._edge.start_watch()
        self._serve_peers()
        self._followers.start()
        self._roster.start()
        self._upstreams.crashes.start()
        self._upstreams.limits.start()
        self._streams.start()
        self._upstreams.reach.start()
        self._pool.ownership.start()
        self._duties.start()
        self._edge.start_servers()
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
        self._pool.apply_settings(settings)
        self._duties.apply_settings(settings)
        self._edge.caller_app.set_key_staleness_s(_key_staleness_s(settings))

    def run_until_stopped(self) -> bool:
        """Wait for the request to leave, then drain and stop.

        Returns whether all requests completed within the grace period.
        """
        self._leave_requested.wait()
        LOG.info('leaving')
        self._leaving = True
        is_complete = shutdown.GracefulShutdown(
            self._roster,
            self._pool.ownership,
            self._edge.caller_app,
            self._edge.relay_handler,
            self._edge.request_servers,
            self._edge.operator_servers,
        ).run(self._settings['grace_s'], self._edge.validity_s)
        self._duties.flush()
        return is_complete

    def _make_roster(self) -> roster_module.Roster:
        settings = self._settings
        return roster_module.Roster(
            roster_module.Member(
                settings['instance'],
                settings['callers_listen'],
                f'{settings["address"]}:{settings["peer_port"]}',
                settings['data_centre'],
                False,
                self._cores,
            ),
            self._log,
            lambda since: self._followers.members.silence_s(since),
        )

    def _make_upstreams(self) -> upstream_components.UpstreamComponents:
        return upstream_components.UpstreamComponents(
            self._settings,
            self._platform,
            self._log,
            self._last_upstreams_outage,
            self._roster,
            self._shard_state,
            self._metrics,
        )

    def _make_streams(self) -> stream_components.StreamComponents:
        return stream_components.StreamComponents(
            self._log,
            self._shard_state,
            batch_handlers.TOPIC,
            SHARD,
            lambda: self._followers.members.catch_up_fully(),
            self._metrics,
        )

    def _make_followers(self) -> store_components.FollowerComponents:
        return store_components.FollowerComponents(
            self._settings,
            self._log,
            self._platform.catalogue_decoder,
            self._roster,
            batch_handlers.TOPIC,
            SHARD,
            store_components.Listeners(
                self._apply_configuration,
                self._upstreams.directory.apply,
                self._make_members_dispatcher().apply,
                self._shard_state.apply,
            ),
            self._upstreams.crashes.follower,
            self._cores,
            _key_staleness_s(self._settings),
            self._metrics,
        )

    def _make_members_dispatcher(self) -> dispatcher.KeyDispatcher:
        return dispatcher.KeyDispatcher(
            self._roster.apply,
            {
                sharing.KEY_PREFIX: self._upstreams.limits.sharing.apply,
                stream_records.KEY_PREFIX: self._streams.recorder.apply,
                reach_sharing.KEY_PREFIX: self._upstreams.reach.records.apply,
            },
        )

    def _make_readiness(self) -> readiness.Readiness:
        shard_follower = self._followers.shard
        return readiness.Readiness(
            self._current,
            [f for f in self._followers.all if f is not shard_follower],
            shard_follower,
        )

    def _make_pool(self) -> pool_components.PoolComponents:
        return pool_components.PoolComponents(
            self._settings,
            self._platform.upstreams,
            self._log,
            batch_handlers.TOPIC,
            SHARD,
            self._shard_state,
            self._followers.shard,
            self._current,
            self._upstreams,
            self._cores,
            self._metrics,
        )

    def _make_edge(self) -> edge_components.EdgeComponents:
        return edge_components.EdgeComponents(
            self._settings,
            self._platform,
            self._log,
            self._current,
            self._upstreams,
            self._followers,
            batch_handlers.Shard(
                SHARD, self._shard_state, self._followers.shard
            ),
            self._streams.origins,
            self._duties.usage_counter,
            lambda: not self._leaving and self._readiness.is_ready,
            self._metrics,
        )

    def _serve_peers(self) -> None:
        """Serve the calls of other instances."""
        log_handler = handler.RelayHandler(
            self._platform.log,
            self._log,
            self._metrics,
            [self._followers.shard_first_load],
            account_peers.KeyRedactor(self._platform.catalogue_decoder).redact,
        )
        thrift_server.serve(
            self._settings['address'],
            self._settings['peer_port'],
            LogRelay.Processor(
                peer_handler.PeerHandler(
                    log_handler,
                    self._upstreams.limits.permit_handler,
                    self._upstreams.reach.reach_handler,
                )
            ),
            self._metrics,
            client_limits.from_settings(
                self._settings, client_limits.PEER_SHARE
            ),
        )

    def _apply_configuration(
        self, records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        self._current.apply(records, is_snapshot)
        configuration = self._current.configuration
        if configuration is not None:
            self._edge.set_limits(configuration.limits)

    def _last_upstreams_outage(self) -> contact.Outage | None:
        outage = self._followers.upstreams.last_outage
        return outage and outage.ending_by(self._log.regained_at)

    def _join_when_ready(self) -> None:
        """Announce the instance and let it claim batches once it is ready."""
        while not self._readiness.is_ready:
            if self._leaving:
                return
            time.sleep(READY_CHECK_INTERVAL_S)
        LOG.info('ready')
        self._roster.announce()
        self._pool.ownership.allow_claims()


def _load_platform(settings: host_schema.HostSettings) -> platforms.Platform:
    platforms.load(settings['plugin'], pathlib.Path(settings['plugin_folder']))
    factory = platforms.platforms.get(settings['plugin'])
    return factory(settings['store_address'])


def _key_staleness_s(settings: host_schema.HostSettings) -> float | None:
    return decision.key_staleness_s(
        settings.get('revoke_ms', REVOKE_MS),
        settings.get('strict_revoke', False),
    )
