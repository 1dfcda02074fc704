"""Run the HTTP servers of an instance."""

import collections
import collections.abc
import socket
import threading
import typing

from cheroot import errors as cheroot_errors
from cheroot import server as cheroot_server
import structlog

from .. import metrics as metrics_module
from ..ports import catalogue
from ..upstreams import sockets

from . import body_memory as body_memory_module
from . import lingering

LISTEN_BACKLOG = 512
KEEP_ALIVE_CONNECTIONS = 4000
SHUTDOWN_TIMEOUT_S = 1
BODY_CHUNK_BYTES = 65536
# Of the error that the library raises for a chunk beyond the size limit.
CHUNK_TOO_LARGE = 'Request Entity Too Large'

LOG = structlog.get_logger(__name__)

Headers = list[tuple[str, str]]


class BodyError(Exception):
    """The request body is invalid; carries the response status."""

    def __init__(self, message: str, status: int) -> None:
        super().__init__(message)
        self.status = status


class BodyMemoryFull(BodyError):
    """There is no memory for the body now, or for the rest of it."""

    def __init__(self, size: int) -> None:
        super().__init__('too many large bodies at once', 503)
        # Of the body, or of its next chunk, in bytes.
        self.size = size


class Exchange:
    """An HTTP request and the means to write its response."""

    def __init__(
        self,
        request: cheroot_server.HTTPRequest,
        body_memory: body_memory_module.Reservation | None = None,
    ) -> None:
        self._request = request
        self._body_memory = body_memory
        self._is_body_read = not request.has_body
        self.response_started = False
        self.status = 0

    @property
    def method(self) -> str:
        """Return the request method."""
        return self._request.method.decode('latin-1')

    @property
    def target(self) -> str:
        """Return the request target: path and query, not decoded."""
        return self._request.uri.decode('latin-1')

    @property
    def headers(self) -> dict[str, str]:
        """Return the request headers, names in title case."""
        return {
            name.decode('latin-1'): value.decode('latin-1')
            for name, value in self._request.inheaders.items()
        }

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the caller's connection."""
        return self._request.conn.socket

    def read_body(self) -> bytes:
        """Read the whole body; raise BodyError if it is invalid.

        The connection ends after a response that is sent before that. Raises
        BodyMemoryFull if it cannot be held.
        """
        headers = self._request.inheaders
        if b'Content-Length' in headers and b'Transfer-Encoding' in headers:
            # Both together allow request smuggling.
            raise self._bad_body(BodyError('two lengths are given', 400))
        rfile = self._request.rfile
        if self._request.chunked_read:
            rfile.rfile = body_memory_module.ReservingReader(
                rfile.rfile, self._reserve
            )
        else:
            self._reserve(int(headers.get(b'Content-Length', 0)))
        try:
            body = rfile.read()
            if self._request.chunked_read:
                # The end of the trailers is the end of the request.
                collections.deque(rfile.read_trailer_lines(), maxlen=0)
        except cheroot_errors.MaxSizeExceeded as error:
            raise self._bad_body(
                BodyError('the body is too large', 413)
            ) from error
        except ValueError as error:
            raise self._bad_body(BodyError(str(error), 400)) from error
        except OSError as error:
            if error.args != (CHUNK_TOO_LARGE,):
                raise
            raise self._bad_body(
                BodyError('the body is too large', 413)
            ) from error
        length = headers.get(b'Content-Length')
        if length is not None and len(body) < int(length):
            raise self._bad_body(BodyError('the body is cut', 400))
        self._is_body_read = True
        if self._body_memory is not None:
            self._body_memory.shrink(len(body))
        return body

    def _reserve(self, size: int) -> None:
        memory = self._body_memory
        if memory is not None and not memory.try_add(size):
            raise self._bad_body(BodyMemoryFull(size))

    def _bad_body(self, error: 'BodyError') -> 'BodyError':
        # The start of the next request on the connection is unknown.
        self._request.close_connection = True
        return error

    def send_response(
        self,
        status: int,
        reason: str,
        headers: Headers,
        body: bytes,
        close: bool = False,
    ) -> None:
        """Send a complete response."""
        self._start(status, reason, headers, close)
        self._request.outheaders.append(
            (b'Content-Length', str(len(body)).encode())
        )
        self._request.ensure_headers_sent()
        if body and self._request.method != b'HEAD':
            self._request.write(body)

    def begin_stream(
        self, status: int, reason: str, headers: Headers, close: bool = False
    ) -> None:
        """Send the headers of a response of unknown length."""
        self._start(status, reason, headers, close)
        self._request.ensure_headers_sent()

    def write(self, data: bytes) -> None:
        """Send a part of a stream; raise OSError if the caller is gone."""
        self._request.write(data)

    def close_after_response(self) -> None:
        """Close the connection after the response."""
        self._request.close_connection = True

    def abort(self) -> None:
        """Close the connection so that the response shows as incomplete."""
        self.response_started = True
        self._request.sent_headers = True
        self._request.close_connection = True
        # Otherwise cheroot would write the final chunk, as if complete.
        self._request.chunked_write = False

    def _start(
        self, status: int, reason: str, headers: Headers, close: bool
    ) -> None:
        self.response_started = True
        self.status = status
        if close:
            self._request.close_connection = True
        if not self._is_body_read:
            # What is left of the body would be taken for the next request.
            self._request.close_connection = True
            self._request.conn.lingers = True
        self._request.status = f'{status} {reason}'.encode('latin-1')
        self._request.outheaders = [
            (name.encode('latin-1'), value.encode('latin-1'))
            for name, value in headers
        ]


class Request(cheroot_server.HTTPRequest):
    """Respond with 431 instead of 413 if the headers are too large."""

    @property
    def has_body(self) -> bool:
        """Return whether a body follows the headers."""
        length = int(self.inheaders.get(b'Content-Length', 0))
        return self.chunked_read or length > 0

    def simple_response(self, status: str, msg: str = '') -> None:
        """Send a response that cheroot itself produces."""
        if str(status).startswith('413') and 'headers' in msg:
            self.close_connection = True
            status = '431 Request Header Fields Too Large'
        if str(status).startswith(('413', '431')):
            # The rest of the request is still to come.
            self.conn.lingers = True
        super().simple_response(status, msg)


class Connection(cheroot_server.HTTPConnection):
    """Apply the timeout for receiving a request to the socket."""

    RequestHandlerClass = Request

    def __init__(
        self, server: 'Server', sock: socket.socket, *arguments: typing.Any
    ) -> None:
        super().__init__(server, sock, *arguments)
        sock.settimeout(server.request_timeout_s)
        # Whether the caller may still send when the connection is closed.
        self.lingers = False

    def close(self) -> None:
        """Close the connection, at once unless the caller may still send."""
        # The library leaves the socket open then.
        self.linger = self.linger or self.lingers
        super().close()
        if self.lingers:
            self.server.closer.close(self.socket)


Handler = collections.abc.Callable[[Exchange], None]


class Gateway(cheroot_server.Gateway):
    """Pass requests to the handler of their server."""

    def respond(self) -> None:
        """Handle one request."""
        server = typing.cast(Server, self.req.server)
        if server.body_memory is None:
            server.handle(Exchange(self.req))
            return
        with server.body_memory.reservation() as reservation:
            server.handle(Exchange(self.req, reservation))


class Server(cheroot_server.HTTPServer):
    """Run a handler in a pool of threads, one per request in flight."""

    keep_alive_conn_limit = KEEP_ALIVE_CONNECTIONS
    ConnectionClass = Connection

    def __init__(
        self,
        address: tuple[str, int],
        handler: Handler,
        threads: int,
        metrics: metrics_module.Metrics,
        limits: catalogue.Limits,
        body_memory: body_memory_module.BodyMemory | None = None,
    ) -> None:
        self.body_memory = body_memory
        super().__init__(address, Gateway, minthreads=threads)
        self.request_queue_size = LISTEN_BACKLOG
        self.shutdown_timeout = SHUTDOWN_TIMEOUT_S
        self.closer = lingering.LingeringCloser()
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

    def start_thread(self, name: str) -> None:
        """Serve in a daemon thread."""
        self.prepare()
        threading.Thread(target=self.serve, name=name, daemon=True).start()

    def handle(self, exchange: Exchange) -> None:
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


class DisconnectWatcher:
    """Poll callers' sockets and call back when one disconnects."""

    PERIOD_S = 0.1

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._watches: dict[int, tuple[socket.socket, typing.Any]] = {}
        self._next_handle = 0

    def start(self) -> None:
        """Poll in a daemon thread."""
        threading.Thread(target=self._run, name='watch', daemon=True).start()

    def add(
        self,
        sock: socket.socket,
        on_disconnect: collections.abc.Callable[[], None],
    ) -> int:
        """Call back once if the socket disconnects; return a handle."""
        with self._lock:
            self._next_handle += 1
            self._watches[self._next_handle] = (sock, on_disconnect)
            return self._next_handle

    def remove(self, handle: int) -> None:
        """Stop watching the socket of a handle."""
        with self._lock:
            self._watches.pop(handle, None)

    def _run(self) -> None:
        stop = threading.Event()
        while not stop.wait(self.PERIOD_S):
            self._poll()

    def _poll(self) -> None:
        """Call back for callers that are gone; keep nothing until the next."""
        with self._lock:
            watches = list(self._watches.items())
        for handle, (sock, on_disconnect) in watches:
            if _is_disconnected(sock):
                self.remove(handle)
                on_disconnect()


def _is_disconnected(sock: socket.socket) -> bool:
    try:
        return sockets.is_closed_by_peer(sock)
    except (OSError, ValueError):
        return True
