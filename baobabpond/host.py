"""Assemble one instance on a platform from its parts."""

import os
import pathlib
import threading
import time

import structlog

from . import metrics as metrics_module
from .batches import book as book_module
from .batches import ownership
from .catalogue import current as current_module
from .catalogue import directory as directory_module
from .edge import app as app_module
from .edge import batches
from .edge import forwarder
from .edge import server
from .gen import host as host_schema
from .gen.peer import LogRelay
from .members import roster as roster_module
from .peers import thrift_server
from .pool import fleet
from .pool import loader
from .pool import orders
from .pool import pool as pool_module
from .pool import runner
from .ports import catalogue
from .ports import log as log_port
from .ports import platforms
from .store import follower as follower_module
from .store import handler
from .store import relay
from .upstreams import connections

CALLER_THREADS = 48
OPERATOR_THREADS = 4
# Callers keep the list of instances for up to this many times its validity.
VALIDITY_FACTOR = 3
SPREAD_S = 0.5
# Kept free between the last answer and the end of the grace period.
GRACE_MARGIN_S = 1.0
RELEASE_TIMEOUT_S = 2.0
READY_CHECK_S = 0.05
SHARD = 0
MS_PER_S = 1000
# Records of many upstreams or instances are read together.
DIRECTORY_PAUSE_S = 0.1
# Tells soon that an owner is silent; owners append more often.
OWNER_READ_WAIT_S = 0.5
# When all instances start at once, the batches take long to load; ordinary
# requests don't wait for them longer than this.
SHARD_PATIENCE_S = 0.3

LOG = structlog.get_logger(__name__)


class Host:
    """Run all the parts of one instance."""

    def __init__(self, settings: host_schema.HostSettings) -> None:
        self._settings = settings
        self._metrics = metrics_module.Metrics()
        platforms.load(
            settings['plugin'], pathlib.Path(settings['plugin_folder'])
        )
        factory = platforms.platforms.get(settings['plugin'])
        self._platform = factory(settings['store_address'])
        self._log = relay.FailoverLog(self._platform.log, self._metrics)
        self._leave_requested = threading.Event()
        self._leaving = False
        self._catalogue_known_at: float | None = None
        self._validity_s = min(
            app_module.ENTRIES_VALID_S, settings['longest_validity_s']
        )
        self._build_catalogue()
        self._build_work()
        self._build_servers()

    def start(self) -> None:
        """Start all tasks and serve."""
        self._watch.start()
        thrift_server.serve(
            self._settings['address'],
            self._settings['peer_port'],
            LogRelay.Processor(
                handler.RelayHandler(
                    self._platform.log, self._log, self._metrics
                )
            ),
        )
        for follower in self._followers:
            follower.start()
        self._roster.start()
        self._ownership.start()
        for one in self._servers:
            one.start_task('http')
        threading.Thread(
            target=self._become_ready, name='ready', daemon=True
        ).start()
        LOG.info(
            'serving',
            address=self._settings['callers_listen'],
            pid=os.getpid(),
        )

    def request_leave(self) -> None:
        """Ask the instance to drain and leave."""
        self._leave_requested.set()

    def take_settings(self, settings: host_schema.HostSettings) -> None:
        """Take new settings; addresses change with the next start."""
        self._settings = settings
        self._loader.take_rules(
            settings['order_lease_ms'] / MS_PER_S,
            settings['upstreams_check_fences'],
        )
        self._pool.take_status_s(settings['status_s'])

    def run_until_left(self) -> bool:
        """Wait for the request to leave, and drain; tell if all ended."""
        self._leave_requested.wait()
        ends_at = time.monotonic() + self._settings['grace_s'] - GRACE_MARGIN_S
        LOG.info('leaving')
        self._leaving = True
        self._roster.leave()
        self._app.start_leaving()
        self._ownership.release(RELEASE_TIMEOUT_S)
        # Callers may keep the list they have until it is no longer valid.
        time.sleep(
            min(
                VALIDITY_FACTOR * self._validity_s + SPREAD_S,
                max(0.0, ends_at - time.monotonic()),
            )
        )
        callers_server = self._servers[0]
        drained = callers_server.wait_idle(
            max(0.0, ends_at - time.monotonic())
        )
        for one in self._servers:
            one.stop()
        LOG.info('left', drained=drained)
        return drained

    def _take_configuration(
        self, records: list[log_port.Record], is_snapshot: bool
    ) -> None:
        self._current.apply(records, is_snapshot)
        configuration = self._current.configuration
        if configuration is not None:
            self._servers[0].set_limits(configuration.limits)

    def _build_catalogue(self) -> None:
        operator = self._platform.operator
        self._current = current_module.CurrentConfiguration(operator)
        self._connections = connections.ConnectionPool(self._metrics)
        self._directory = directory_module.UpstreamDirectory(
            operator,
            lambda: self._upstreams_follower.contact_duration_s,
            self._connections.close_idle,
        )
        self._roster = roster_module.Roster(
            roster_module.Member(
                self._settings['instance'],
                self._settings['callers_listen'],
                f'{self._settings["address"]}:{self._settings["peer_port"]}',
                self._settings['data_centre'],
                False,
            ),
            self._log,
            lambda since: self._members_follower.silence_s(since),
        )
        self._log.set_peer_source(self._peer_addresses)
        self._book = book_module.Book()
        self._operator_follower = self._follow(
            operator.configuration_topic, 0, self._take_configuration
        )
        self._upstreams_follower = self._follow(
            operator.upstreams_topic,
            0,
            self._directory.apply,
            DIRECTORY_PAUSE_S,
        )
        self._members_follower = self._follow(
            roster_module.TOPIC,
            roster_module.PARTITION,
            self._roster.apply,
            DIRECTORY_PAUSE_S,
        )
        self._shard_follower = self._follow(
            batches.TOPIC,
            SHARD,
            self._book.apply,
            read_wait_s=OWNER_READ_WAIT_S,
        )
        self._followers = (
            self._operator_follower,
            self._upstreams_follower,
            self._members_follower,
            self._shard_follower,
        )

    def _follow(
        self,
        topic: str,
        partition: int,
        listener: follower_module.Listener,
        pause_s: float = 0.0,
        read_wait_s: float = follower_module.READ_WAIT_S,
    ) -> follower_module.Follower:
        return follower_module.Follower(
            self._log,
            topic,
            partition,
            listener,
            self._metrics,
            pause_s,
            read_wait_s,
        )

    def _peer_addresses(self) -> list[tuple[str, int]]:
        addresses = []
        for member in self._roster.peers():
            host, port = member.peer_listen.rsplit(':', 1)
            addresses.append((host, int(port)))
        return addresses

    def _build_work(self) -> None:
        protocol = self._platform.upstreams
        upstreams = fleet.Fleet(self._directory)
        self._loader = loader.Loader(
            self._settings['instance'],
            self._settings['order_lease_ms'] / MS_PER_S,
            self._settings['upstreams_check_fences'],
            self._book,
            upstreams,
            self._current,
            orders.OrderDesk(
                self._settings['instance'],
                protocol,
                self._connections,
                self._metrics,
            ),
            self._metrics,
        )
        self._pool = pool_module.Pool(
            self._book,
            upstreams,
            self._current,
            runner.Runner(protocol, self._connections, self._metrics),
            self._loader,
            self._settings['status_s'],
            self._metrics,
        )
        self._ownership = ownership.Ownership(
            self._settings['instance'],
            self._log,
            batches.TOPIC,
            SHARD,
            self._book,
            self._shard_follower,
            self._pool,
            self._metrics,
        )
        self._loader.trust(lambda: self._ownership.is_trusted)

    def _build_servers(self) -> None:
        self._watch = server.CallerWatch()
        handlers = batches.BatchHandlers(
            self._platform.callers,
            batches.Shard(SHARD, self._book, self._shard_follower),
            self._log,
            self._current,
            self._metrics,
        )
        self._app = app_module.CallerApp(
            self._platform.callers,
            self._current,
            handlers,
            forwarder.Forwarder(
                self._platform.upstreams,
                self._directory,
                self._connections,
                self._watch,
                self._metrics,
            ),
            self._metrics,
        )
        operators = app_module.OperatorApp(
            self._platform.callers,
            self._roster,
            lambda: self._is_ready,
            self._metrics,
            self._validity_s,
        )
        settings = self._settings
        listens = {
            settings['ready_listen'],
            settings['entries_listen'],
            f'{settings["address"]}:{settings["metrics_port"]}',
        }
        self._servers = [
            self._server(settings['callers_listen'], self._app.handle)
        ]
        self._servers += [
            self._server(listen, operators.handle, OPERATOR_THREADS)
            for listen in sorted(listens)
        ]

    def _server(
        self,
        listen: str,
        handler: server.Handler,
        threads: int = CALLER_THREADS,
    ) -> server.Server:
        host, port = listen.rsplit(':', 1)
        return server.Server(
            (host, int(port)),
            handler,
            threads,
            self._metrics,
            catalogue.Limits(),
        )

    @property
    def _is_ready(self) -> bool:
        return (
            not self._leaving
            and self._knows_catalogue
            and (
                self._shard_follower.has_caught_up
                or time.monotonic() - self._catalogue_known_at
                > SHARD_PATIENCE_S
            )
        )

    @property
    def _knows_catalogue(self) -> bool:
        """Tell whether ordinary requests can be served."""
        known = self._current.configuration is not None and all(
            follower.has_caught_up
            for follower in self._followers
            if follower is not self._shard_follower
        )
        if known and self._catalogue_known_at is None:
            self._catalogue_known_at = time.monotonic()
        return known

    def _become_ready(self) -> None:
        """Join the work once all that the instance needs is known."""
        while not self._is_ready:
            if self._leaving:
                return
            time.sleep(READY_CHECK_S)
        LOG.info('ready')
        self._roster.announce()
        self._ownership.allow_claims()
