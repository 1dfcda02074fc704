"""Run the HTTP servers of an instance."""

import collections.abc
import re
import select
import socket
import threading
import typing

from cheroot import server as cheroot_server
import structlog

from .. import metrics as metrics_module
from ..ports import catalogue

from . import acceptor
from . import body_memory as body_memory_module
from . import client_io
from . import client_limits as client_limits_module
from . import http_exchange
from . import lingering
from . import pace as pace_module

LISTEN_BACKLOG = 512
SHUTDOWN_TIMEOUT_S = 1
# Of the connections that may be open, one in this many may be closing.
LINGERING_PART = 4
MIN_LINGERING = 8
# Bodies in many small chunks that are read at a time. They take the time of
# the processor, which threads share.
SMALL_CHUNK_BODIES = 2
CONTENT_LENGTH = re.compile(rb'[0-9]{1,18}')

LOG = structlog.get_logger(__name__)


class Request(cheroot_server.HTTPRequest):
    """Respond with 431 instead of 413 if the headers are too large."""

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the headers."""
        length = int(self.inheaders.get(b'Content-Length', 0))
        return self.chunked_read or length > 0

    def parse_request(self) -> None:
        """Parse a head, which has been received as a whole."""
        try:
            super().parse_request()
        finally:
            self.conn.rfile.is_offline = False

    def read_request_headers(self) -> bool:
        """Read the headers; return whether they are valid."""
        if self.conn.rfile.pending()[:1] in (b' ', b'\t'):
            # The library fails on a continuation without a line before it.
            self.simple_response('400 Bad Request', 'Illegal continuation')
            return False
        lines = self.conn.rfile.pending().count(client_io.LF)
        limit = self.server.client_limits.header_lines
        if lines > limit and self._count_header_lines() > limit:
            self.conn.report('header_lines')
            self.simple_response('431 Request Header Fields Too Large')
            return False
        if not super().read_request_headers():
            return False
        length = self.inheaders.get(b'Content-Length', b'0')
        if not CONTENT_LENGTH.fullmatch(length):
            # The library takes signs and underscores for numbers.
            self.simple_response('400 Bad Request', 'Malformed length')
            return False
        return True

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send a response that cheroot itself produces."""
        if str(status).startswith('413') and 'headers' in msg:
            self.close_connection = True
            status = '431 Request Header Fields Too Large'
        if str(status).startswith('414') or 'headers' in msg:
            self.conn.report('header_bytes')
        if str(status).startswith(('408', '413', '414', '431')):
            # The rest of the request is still to come.
            self.conn.lingers = True
        super().simple_response(status, msg)

    def _count_header_lines(self) -> int:
        head, _, _ = self.conn.rfile.pending().partition(acceptor.HEAD_END)
        return head.count(client_io.LF)


class Connection(cheroot_server.HTTPConnection):
    """Read and write within the limits of clients."""

    RequestHandlerClass = Request

    def __init__(self, server: 'Server', sock: socket.socket) -> None:
        # The constructor of the library makes files that copy what they
        # write, and cycles of references that keep closed connections.
        self.server = server
        self.socket = sock
        self.requests_seen = 0
        sock.settimeout(server.request_timeout_s)
        self.rfile = client_io.ClientReader(
            sock, self._pace(sock, select.POLLIN)
        )
        self.wfile = client_io.ClientWriter(
            sock, self._pace(sock, select.POLLOUT)
        )
        # Whether the caller may still send when the connection is closed.
        self.lingers = False
        self._is_closed = False

    def communicate(self) -> bool:
        """Serve a request; return whether the connection stays open."""
        try:
            return super().communicate()
        finally:
            self.wfile.end_response()

    def begin_small_chunks(self) -> None:
        """Take a slot for a body in many small chunks.

        Raises TooManySlowClients if others keep them all.
        """
        try:
            self.server.small_chunk_bodies.enter(self.rfile.pace)
        except pace_module.TooManySlowClients:
            self.report('small_chunk_slots')
            raise

    def report(self, limit: str) -> None:
        """Count that the client exceeds a limit."""
        self.server.excesses.report(limit, self.remote_addr)

    def close(self) -> None:
        """Close the connection, at once unless the caller may still send."""
        if self._is_closed:
            return
        self._is_closed = True
        # The library leaves the socket open then.
        self.linger = self.linger or self.lingers
        super().close()
        self.server.connections.count_closed()
        if self.lingers:
            self.server.closer.close(self.socket)

    def _pace(self, sock: socket.socket, event: int) -> pace_module.Pace:
        return pace_module.Pace(
            sock,
            event,
            self.server.client_limits,
            self.server.request_timeout_s,
            self.server.slow_clients,
            self.report,
        )


Handler = collections.abc.Callable[[http_exchange.Exchange], None]


class Gateway(cheroot_server.Gateway):
    """Pass requests to the handler of their server."""

    def respond(self) -> None:
        """Handle one request."""
        server = typing.cast(Server, self.req.server)
        if server.body_memory is None:
            server.handle(http_exchange.Exchange(self.req))
            return
        address = self.req.conn.remote_addr
        with server.body_memory.reservation(address) as reservation:
            server.handle(http_exchange.Exchange(self.req, reservation))


class Server(cheroot_server.HTTPServer):
    """Run a handler in a pool of threads, one per request in flight."""

    ConnectionClass = Connection

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        threads: int,
        metrics: metrics_module.Metrics,
        limits: catalogue.Limits,
        body_memory: body_memory_module.BodyMemory | None = None,
        client_limits: client_limits_module.ClientLimits = (
            client_limits_module.DEFAULTS
        ),
    ) -> None:
        self.body_memory = body_memory
        self.client_limits = client_limits
        self.excesses = client_limits_module.Excesses(metrics)
        self.slow_clients = pace_module.SlowClients(
            max(1, int(threads * client_limits.slow_client_share))
        )
        self.small_chunk_bodies = pace_module.SlowClients(SMALL_CHUNK_BODIES)
        super().__init__(address, Gateway, minthreads=threads)
        self.request_queue_size = LISTEN_BACKLOG
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.closer = lingering.LingeringCloser(
            max(MIN_LINGERING, client_limits.connections // LINGERING_PART)
        )
        self._handler = handler
        self._metrics = metrics
        self._in_flight = 0
        self._in_flight_changed = threading.Condition()
        self.set_limits(limits)

    @property
    def in_flight(self) -> int:
        """Return the number of requests being handled."""
        return self._in_flight

    def set_limits(self, limits: catalogue.Limits) -> None:
        """Set the size limits and timeouts of requests."""
        self.max_request_header_size = limits.header_bytes
        self.max_request_body_size = limits.body_bytes
        # Idle timeout between requests; while one is received,
        # request_timeout_s applies.
        self.timeout = limits.idle_timeout_s
        self.request_timeout_s = limits.header_timeout_s

    @property
    def connections(self) -> acceptor.Acceptor:
        """Return what accepts connections and waits for their heads."""
        return self._connections

    def prepare(self) -> None:
        """Listen, and start the threads."""
        super().prepare()
        size = self.client_limits.socket_buffer_bytes
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            # Accepted connections inherit it.
            self.socket.setsockopt(socket.SOL_SOCKET, option, size)
        self._connections.close()
        self._connections = acceptor.Acceptor(self)

    def report_connections(self, count: int) -> None:
        """Publish how many connections are open, and who waits for clients."""
        port = self.bind_addr[1]
        for name, value in (
            ('open', count),
            ('queued', self.requests.qsize),
            ('slow', self.slow_clients.count),
        ):
            self._metrics.gauge(f'edge.clients.{port}.{name}', value)

    def start_thread(self, name: str) -> None:
        """Serve in a daemon thread."""
        self.prepare()
        threading.Thread(target=self.serve, name=name, daemon=True).start()

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Handle a request, counted as in flight meanwhile."""
        with self._in_flight_changed:
            self._in_flight += 1
        try:
            self._handler(exchange)
        finally:
            with self._in_flight_changed:
                self._in_flight -= 1
                self._in_flight_changed.notify_all()

    def wait_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._in_flight_changed:
            return self._in_flight_changed.wait_for(
                lambda: self._in_flight == 0, timeout_s
            )

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Count and log an error that cheroot reports."""
        self._metrics.count('edge.connection_errors')
        LOG.debug('connection error', error=msg)
