"""Wire up the HTTP servers of an instance and what handles their requests."""

import collections.abc

from .. import metrics as metrics_module
from ..catalogue import current as current_module
from ..gen import host as host_schema
from ..ports import catalogue
from ..ports import log as log_port
from ..ports import platforms
from ..store import components as store_components
from ..streams import origins as origins_module
from ..upstreams import components as upstream_components
from ..usage import request as request_usage

from . import app as app_module
from . import batch_handlers
from . import body_memory
from . import client_limits
from . import disconnects
from . import forwarder
from . import relay_handler as relay_module
from . import server

OPERATOR_THREADS = 4


class EdgeComponents:
    """The servers for callers, for relaying instances and for operators."""

    def __init__(
        self,
        settings: host_schema.HostSettings,
        platform: platforms.Platform,
        log: log_port.Log,
        current: current_module.CurrentConfiguration,
        upstreams: upstream_components.UpstreamComponents,
        followers: store_components.FollowerComponents,
        shard: batch_handlers.Shard,
        origins: origins_module.StreamOrigins,
        usage_counter: request_usage.AccountCounter | None,
        is_ready: collections.abc.Callable[[], bool],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._settings = settings
        self._platform = platform
        self._upstreams = upstreams
        self._metrics = metrics
        # Of the list of instances that callers cache.
        self.validity_s = min(
            app_module.ADDRESS_LIST_TTL_S, settings['longest_validity_s']
        )
        self._caller_limits = client_limits.from_settings(settings)
        self._request_memory, self._response_memory = self._make_memories()
        self._watch = disconnects.DisconnectWatcher()
        self.caller_app = app_module.CallerApp(
            platform.callers,
            current,
            lambda: followers.configuration.staleness_s,
            batch_handlers.BatchHandlers(
                platform.callers,
                shard,
                log,
                current,
                metrics,
                lambda: followers.contact_age_s,
                self._caller_limits,
            ),
            self._make_forwarder(origins, usage_counter),
            metrics,
        )
        self.relay_handler = relay_module.RelayHandler(
            upstreams.directory,
            upstreams.gateway,
            upstreams.connections,
            upstreams.limits.permits,
            self._watch,
            metrics,
        )
        # These have requests in flight when the instance stops.
        self.request_servers = self._make_request_servers()
        self.operator_servers = self._make_operator_servers(is_ready)

    def start_watch(self) -> None:
        """Start to notice callers that disconnect."""
        self._watch.start()

    def start_servers(self) -> None:
        """Start to serve."""
        for http_server in (*self.request_servers, *self.operator_servers):
            http_server.start_thread('http')

    def set_limits(self, limits: catalogue.Limits) -> None:
        """Set the size limits and timeouts of requests."""
        for request_server in self.request_servers:
            request_server.set_limits(limits)

    def _make_memories(
        self,
    ) -> tuple[body_memory.BodyMemory, body_memory.BodyMemory]:
        """Return the memory for bodies of requests, and of responses."""
        body_bytes = body_memory.BYTES_PER_MB * body_memory.limit_mb(
            self._settings['memory_mb'], self._settings.get('body_memory_mb')
        )
        requests = body_memory.BodyMemory(
            'requests',
            body_bytes,
            self._metrics,
            self._caller_limits.address_body_share,
            self._caller_limits.held_body_bytes_per_s,
        )
        responses = body_memory.BodyMemory(
            'responses', body_bytes, self._metrics
        )
        return requests, responses

    def _make_forwarder(
        self,
        origins: origins_module.StreamOrigins,
        usage_counter: request_usage.AccountCounter | None,
    ) -> forwarder.Forwarder:
        upstreams = self._upstreams
        return forwarder.Forwarder(
            self._platform.upstreams,
            upstreams.directory,
            upstreams.gateway,
            upstreams.paths,
            upstreams.load_balancer,
            self._watch,
            upstreams.crashes.guard,
            upstreams.limits.permits,
            origins,
            self._response_memory,
            self._metrics,
            usage_counter,
        )

    def _make_request_servers(self) -> list[server.Server]:
        settings = self._settings
        return [
            self._make_server(
                settings['callers_listen'],
                self.caller_app.handle,
                self._caller_limits.threads,
                1.0,
            ),
            self._make_server(
                f'{settings["address"]}:{settings["relay_port"]}',
                self.relay_handler.handle,
                relay_module.THREADS,
                client_limits.RELAY_SHARE,
            ),
        ]

    def _make_operator_servers(
        self, is_ready: collections.abc.Callable[[], bool]
    ) -> list[server.Server]:
        settings = self._settings
        operator_app = app_module.OperatorApp(
            self._platform.callers,
            self._upstreams.reach.members_for_callers,
            is_ready,
            self._metrics,
            self.validity_s,
        )
        addresses = {
            settings['ready_listen'],
            settings['entries_listen'],
            f'{settings["address"]}:{settings["metrics_port"]}',
        }
        return [
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
