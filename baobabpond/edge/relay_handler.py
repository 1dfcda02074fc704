"""Pass requests of other instances on to upstreams that this one reaches."""

import threading

import structlog
import urllib3

from .. import metrics as metrics_module
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..relaying import wire
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module

from . import disconnects
from . import http_exchange

# Leaves this instance room for its own callers.
MAX_RELAYED = 24
# Some threads stay free to refuse what exceeds the bound.
THREADS = MAX_RELAYED + 8
# The instance that asked gives up earlier, and closes its connection then.
READ_TIMEOUT_S = 10.0
MAX_BODY_S = 120.0

LOG = structlog.get_logger(__name__)


class Failure(Exception):
    """Raised when there is no response to pass back."""

    def __init__(self, outcome: wire.Outcome, reason: str) -> None:
        super().__init__(reason)
        self.outcome = outcome


class RelayHandler:
    """Exchange relayed requests over direct connections only."""

    def __init__(
        self,
        directory: directory_module.UpstreamDirectory,
        gateway: gateway_module.Gateway,
        connections: connections_module.ConnectionPool,
        permits: permits_module.Permits,
        watcher: disconnects.DisconnectWatcher,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._gateway = gateway
        self._connections = connections
        self._permits = permits
        self._watcher = watcher
        self._metrics = metrics
        self._is_draining = False
        self._slots = threading.Semaphore(MAX_RELAYED)

    def start_draining(self) -> None:
        """Pass nothing new on; requests in flight go on."""
        self._is_draining = True

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Handle one relayed request."""
        if self._is_draining:
            self._end(exchange, wire.Outcome.NOT_SENT, 'shutting down')
            return
        if not self._slots.acquire(blocking=False):
            self._end(exchange, wire.Outcome.BUSY, 'too many requests')
            return
        try:
            self._relay(exchange)
        except Failure as failure:
            self._end(exchange, failure.outcome, str(failure))
        finally:
            self._slots.release()

    def _relay(self, exchange: http_exchange.Exchange) -> None:
        try:
            body = exchange.read_body()
            destination = wire.decode_destination(exchange.headers)
        except (wire.MalformedRequest, http_exchange.BodyError) as error:
            raise Failure(wire.Outcome.NOT_SENT, str(error)) from error
        entry = self._find(destination)
        connection = self._connections.acquire((entry.host, entry.port))
        watch = self._watcher.add(exchange.socket, connection.abort)
        is_reusable = False
        try:
            response = self._send(
                connection,
                entry,
                destination,
                gateway_module.Outgoing(
                    destination.request_id,
                    exchange.method,
                    exchange.target,
                    wire.end_to_end_headers(list(exchange.headers.items())),
                    body or None,
                    destination.checks_incarnation,
                ),
            )
            self._respond(exchange, connection, response)
            is_reusable = connection.is_reusable_after(response)
        finally:
            self._watcher.remove(watch)
            if is_reusable:
                self._connections.release(connection)
            else:
                connection.close()

    def _find(self, destination: wire.Destination) -> catalogue.UpstreamEntry:
        for entry in self._directory.entries():
            if entry.incarnation == destination.incarnation:
                return entry
        raise Failure(wire.Outcome.NOT_SENT, 'no such upstream is registered')

    def _send(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
        destination: wire.Destination,
        outgoing: gateway_module.Outgoing,
    ) -> urllib3.HTTPResponse:
        """Send a request and return the response; raise Failure."""
        try:
            # The permit of the instance that asked may have expired on the
            # way.
            permit = self._permits.obtain(entry, bucket_module.RETRY)
            response, _ = self._gateway.exchange(
                connection, entry, permit, outgoing, destination.timeout_s
            )
        except (permits_module.RateLimited, gateway_module.NoPermit) as error:
            raise Failure(wire.Outcome.NO_PERMIT, str(error)) from error
        except gateway_module.NotVerified as error:
            raise Failure(wire.Outcome.NOT_VERIFIED, str(error)) from error
        except connections_module.ConnectionFailed as error:
            raise Failure(wire.Outcome.NOT_SENT, str(error)) from error
        except connections_module.ResponseTimedOut as error:
            raise Failure(wire.Outcome.TIMED_OUT, str(error)) from error
        except connections_module.ResponseFailed as error:
            raise Failure(wire.Outcome.CUT, str(error)) from error
        return response

    def _respond(
        self,
        exchange: http_exchange.Exchange,
        connection: connections_module.Connection,
        response: urllib3.HTTPResponse,
    ) -> None:
        """Pass a response back as it arrives; raise Failure."""
        headers = wire.end_to_end_headers(list(response.headers.iteritems()))
        headers.append((wire.OUTCOME_HEADER, wire.Outcome.RESPONSE.value))
        exchange.begin_stream(response.status, response.reason or '', headers)
        try:
            for chunk in connection.iter_body(
                response, READ_TIMEOUT_S, MAX_BODY_S
            ):
                exchange.write(chunk)
        except connections_module.ResponseFailed as error:
            raise Failure(wire.Outcome.CUT, str(error)) from error
        self._log(exchange, wire.Outcome.RESPONSE, '')

    def _end(
        self,
        exchange: http_exchange.Exchange,
        outcome: wire.Outcome,
        reason: str,
    ) -> None:
        """Report a failure, or break the response off if it has begun."""
        self._log(exchange, outcome, reason)
        if exchange.response_started:
            exchange.abort()
            return
        exchange.close_after_response()
        exchange.send_response(
            wire.FAILURE_STATUS,
            'Not Relayed',
            [(wire.OUTCOME_HEADER, outcome.value)],
            b'',
        )

    def _log(
        self,
        exchange: http_exchange.Exchange,
        outcome: wire.Outcome,
        reason: str,
    ) -> None:
        self._metrics.count(f'relaying.served.{outcome.value}')
        LOG.info(
            'request of another instance passed on',
            request=exchange.headers.get(wire.REQUEST_HEADER),
            upstream=exchange.headers.get(wire.UPSTREAM_HEADER),
            status=exchange.status,
            outcome=outcome.value,
            reason=reason,
        )
