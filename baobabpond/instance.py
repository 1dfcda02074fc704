"""Wire up the components of one instance that is not on a platform."""

import os
import random
import threading
import time
import typing

import structlog

from . import metrics as metrics_module
from .claims import executor as claim_executor
from .gen import instance as instance_schema
from .gen.peer import ttypes
from .http import adapters
from .http import app as app_module
from .http import callers
from .http import completions
from .http import operators
from .http import server as http_server
from .http import trainers as http_trainers
from .leases import manager as lease_manager
from .log import client as log_client
from .log import follower as follower_module
from .log import shared
from .log import snapshots
from .log import state as state_module
from .log import writer as writer_module
from .members import gossip
from .members import instance_list
from .members import join
from .members import table as table_module
from .peers import client as peer_client
from .peers import server as peer_server
from .rollout import trainers
from .routing import router_manager
from .settings import current as current_module
from .settings import fold as settings_fold
from .settings import sync
from .weights import updater as weight_updater

# Threads reserved for health checks, metrics and the list of instances.
RESERVED_THREADS = 8
TICK_INTERVAL_S = 0.2
LEAVE_PROPAGATION_S = 2.0
STOP_DELAY_S = 0.5
FLUSH_TIMEOUT_S = 5.0
US_PER_S = 1_000_000

LOG = structlog.get_logger(__name__)


class Instance:
    """Create, start and stop all components of one instance."""

    def __init__(self, settings: instance_schema.InstanceSettings) -> None:
        self._settings = settings
        self._metrics = metrics_module.Metrics()
        self._rng = random.Random()
        self._leave_requested = threading.Event()
        started_us = int(time.time() * US_PER_S)
        self._own_member = ttypes.Member(
            instance=settings['instance'],
            incarnation=0,
            address=settings['address'],
            http_port=settings['http_port'],
            peer_port=settings['peer_port'],
            data_centre=settings['data_centre'],
            state=table_module.State.ALIVE,
            settings_revision=0,
            started_us=started_us,
        )
        self._build_log()
        self._build_members()
        self._build_request_handling()
        self._build_http()

    def start(self) -> None:
        """Start all threads and servers."""
        peer_server.start(
            self._own_member.address,
            self._own_member.peer_port,
            peer_server.PeerHandler(
                self._table, self._current, self._serve_peer_call
            ),
            self._metrics,
        )
        for component in self._components:
            component.start()
        threading.Thread(target=self._tick, name='tick', daemon=True).start()
        threading.Thread(
            target=self._server.safe_start, name='http', daemon=True
        ).start()
        LOG.info('serving', address=self._own_member.address)

    def request_leave(self) -> None:
        """Request the instance to drain and leave the cluster."""
        self._leave_requested.set()

    def run_until_stopped(self) -> bool:
        """Wait for the request to leave, then drain and stop.

        Returns whether all requests in flight completed in time.
        """
        self._leave_requested.wait()
        settings = self._current.tree.effective('')
        LOG.info('leaving')
        self._limiter.start_closing_connections()
        self._table.update_own(state=table_module.State.LEAVING)
        self._gossip.announce()
        # Callers may use a cached list of instances until it expires.
        time.sleep(LEAVE_PROPAGATION_S + settings['entry_validity_s'])
        self._limiter.start_draining()
        drained = self._limiter.wait_until_idle(settings['drain_timeout_s'])
        self._trainers.stop()
        self._weights.stop()
        self._writer.flush(time.monotonic() + FLUSH_TIMEOUT_S)
        time.sleep(STOP_DELAY_S)
        self._server.stop()
        LOG.info('left', drained=drained)
        return drained

    def _build_log(self) -> None:
        settings = self._settings
        client = log_client.LogClient(settings['log_url'], settings['topic'])
        self._state = state_module.State()
        self._follower = follower_module.Follower(
            client, self._state, self._metrics
        )
        self._writer = writer_module.Writer(
            f'{self._own_member.instance}@{self._own_member.started_us}',
            client,
            self._state,
            self._metrics,
        )
        self._log = shared.SharedLog(self._state, self._follower, self._writer)
        self._snapshots = snapshots.Snapshotter(
            self._log,
            self._metrics,
            settings['log_retention_s'],
            settings['snapshot_records'],
            self._rank,
        )
        self._current = current_module.CurrentSettings()

    def _build_members(self) -> None:
        settings = self._settings
        self._table = table_module.MemberTable(self._own_member, self._metrics)
        self._peers = peer_client.PeerClients()
        self._instance_list = instance_list.InstanceList(
            settings['instance_list_url']
        )
        self._gossip = gossip.Gossip(self._table, self._metrics, self._rng)
        self._joiner = join.Joiner(
            self._table,
            self._gossip,
            self._instance_list,
            self._peers,
            self._metrics,
            self._rng,
        )
        self._sync = sync.SettingsSync(
            self._table, self._current, self._peers, self._metrics, self._rng
        )

    def _build_request_handling(self) -> None:
        self._adapters = adapters.AdapterSet()
        self._routers = router_manager.RouterManager(
            self._own_member.instance,
            self._current,
            self._instance_list,
            self._adapters.poll_load,
            lambda: len(self._table.serving()),
            self._metrics,
            self._rng,
        )
        self._claims = claim_executor.ClaimExecutor(
            self._own_member.instance,
            self._own_member.started_us,
            self._log,
            self._metrics,
            self._table.is_lost,
        )
        self._trainers = trainers.TrainerService(
            self._table,
            self._current,
            self._routers,
            self._adapters,
            self._log,
            self._peers,
            self._metrics,
        )
        self._weights = weight_updater.WeightUpdaters(
            self._current,
            self._state,
            self._make_lease_manager,
            self._routers.listed_instances,
            typing.cast(
                completions.Completions, self._adapters.named('completions')
            ),
            self._metrics,
            self._rng,
        )
        self._components = (
            self._follower,
            self._writer,
            self._snapshots,
            self._gossip,
            self._joiner,
            self._sync,
            self._routers,
            self._weights,
        )

    def _build_http(self) -> None:
        threads = self._settings['http_threads']
        self._limiter = app_module.RequestLimiter(
            max(1, threads - RESERVED_THREADS)
        )
        app = app_module.App(self._limiter, self._metrics)
        handler = callers.CallerHandler(
            self._current,
            self._routers,
            self._claims,
            self._adapters,
            self._metrics,
        )
        app.add_route('POST', '/v1/requests/(.+)', handler.handle)
        self._add_trainer_routes(app)
        self._add_operator_routes(app)
        self._server = http_server.Server(
            self._own_member.address,
            self._own_member.http_port,
            app,
            threads,
            self._metrics,
        )

    def _add_trainer_routes(self, app: app_module.App) -> None:
        handlers = http_trainers.TrainerHandlers(
            self._trainers, self._current, self._metrics
        )
        step = r'/v1/trainers/([^/]+/[^/]+/[^/]+/steps/\d{1,9})'
        app.add_route('PUT', step, handlers.open_step)
        app.add_route('POST', step + '/pull', handlers.pull)
        app.add_route(
            'POST',
            '/v1/trainers/([^/]+/[^/]+/[^/]+)/versions',
            handlers.announce,
        )

    def _add_operator_routes(self, app: app_module.App) -> None:
        handlers = operators.OperatorHandlers(
            self._table,
            self._current,
            self._routers,
            self._metrics,
            self._is_ready,
            self._extra_status,
        )
        for path, handler in (
            ('/v1/entries', handlers.entries),
            ('/healthz', handlers.health),
            ('/readyz', handlers.ready),
            ('/v1/metrics', handlers.metrics),
            ('/v1/status', handlers.status),
        ):
            app.add_route('GET', path, handler, is_limited=False)

    def _make_lease_manager(self, name: str) -> lease_manager.LeaseManager:
        return lease_manager.LeaseManager(
            name,
            self._writer.sender,
            self._log,
            self._metrics,
        )

    def _serve_peer_call(
        self, message: ttypes.TrainerCall
    ) -> ttypes.TrainerReply:
        call = trainers.decode_call(message)
        return trainers.encode_reply(self._trainers.serve_locally(call))

    def _rank(self) -> int:
        names = sorted(m.instance for m in self._table.serving())
        own = self._own_member.instance
        return names.index(own) if own in names else len(names)

    def _is_ready(self) -> bool:
        if self._limiter.closes_connections or not self._joiner.joined:
            return False
        # Without upstreams the instance would refuse every request.
        if not self._routers.all_upstreams_known:
            return False
        if self._follower.has_caught_up:
            fold = self._state.fold(settings_fold.SettingsFold)
            return self._current.revision >= fold.revision
        return self._current.revision > 0

    def _extra_status(self) -> dict[str, typing.Any]:
        return {
            'pid': os.getpid(),
            'ready': self._is_ready(),
            'in_flight': self._limiter.in_flight,
            'log': {
                'healthy': self._follower.healthy,
                'next_offset': self._state.next_offset,
                'snapshot_offset': self._state.snapshot_offset,
            },
            'weight_leases': self._weights.held_fences(),
        }

    def _tick(self) -> None:
        """Apply changes read from the log, at least every TICK_INTERVAL_S."""
        fold = self._state.fold(settings_fold.SettingsFold)
        while True:
            seen_offset = self._state.next_offset
            self._current.update_from_log(fold)
            self._claims.release_abandoned()
            self._trainers.stop_foreign_sessions()
            leaving = self._current.tree.effective('')['leaving_instances']
            if self._own_member.instance in leaving:
                self.request_leave()
            self._state.wait_for(
                lambda: self._state.next_offset != seen_offset,  # noqa: B023
                time.monotonic() + TICK_INTERVAL_S,
            )
