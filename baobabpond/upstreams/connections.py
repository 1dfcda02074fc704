"""Pool keep-alive connections to upstreams, without reusing stale ones."""

import collections
import contextlib
import http.client
import socket
import threading
import time
import typing

import urllib3
from urllib3 import util

from .. import decoding
from .. import metrics as metrics_module
from ..transport import bounded
from ..transport import sockets

CONNECT_TIMEOUT_S = 0.5
# Below the idle time-outs that servers commonly use.
IDLE_LIMIT_S = 4.0
KEEP_ALIVE_MARGIN_S = 0.7
READ_BYTES = 65536
MAX_REFUSAL_BYTES = 256 * 1024
# Reports are read whole, for many requests at the same time.
MAX_REPORT_BYTES = 256 * 1024
MIN_TIMEOUT_S = 0.001

Address = tuple[str, int]
TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)
TIMEOUT_ERRORS = (TimeoutError, urllib3.exceptions.ReadTimeoutError)


class ConnectionFailed(Exception):
    """Raised when connecting fails; nothing was sent."""


class ConnectionRefused(ConnectionFailed):
    """Raised when nothing listens at the address."""


class DeadlinePassed(ConnectionFailed):
    """Raised when too little time was left; says nothing about the path."""


class ResponseFailed(Exception):
    """Raised when a response is missing or cut; the request may have run."""


class ResponseTimedOut(ResponseFailed):
    """Raised when a response takes too long; the request may still run."""


class Connection:
    """A connection to an upstream, for one request at a time."""

    # Whether it leads to the upstream itself.
    is_direct = True
    # Added to time-outs for what lies between this instance and the upstream.
    _hop_s = 0.0

    def __init__(self, address: Address) -> None:
        self.address = address
        self.idle_since = 0.0
        self.idle_limit_s = IDLE_LIMIT_S
        self.is_new = True
        # Start of the process at the other end, 0 if it does not state it;
        # None while nobody has asked.
        self.born: int | None = None
        self._aborted = False
        # The library lets go of the socket when a response closes the
        # connection, before its body is read.
        self._sock: socket.socket | None = None
        self._response: urllib3.HTTPResponse | None = None
        self._http = bounded.BoundedConnection(
            address[0],
            address[1],
            timeout=CONNECT_TIMEOUT_S,
            socket_options=sockets.KEEPALIVE_OPTIONS,
        )

    @property
    def is_connected(self) -> bool:
        """Return whether the connection is open, as far as is known."""
        return self._http.sock is not None

    @property
    def is_stale(self) -> bool:
        """Return whether the connection must not be reused."""
        sock = self._http.sock
        if sock is None:
            return True
        idle_s = time.monotonic() - self.idle_since
        return idle_s > self.idle_limit_s or sockets.is_readable(sock)

    def set_deadline(self, deadline: float) -> None:
        """Set the monotonic time that bounds all that follows.

        Time-outs of single steps apply within it, up to the release of the
        connection.
        """
        self._http.budget.set_final_deadline(deadline)

    def connect(self, timeout_s: float = CONNECT_TIMEOUT_S) -> None:
        """Connect to the upstream; raise ConnectionFailed."""
        self._http.timeout = self._limit(timeout_s)
        try:
            self._http.connect()
        except TRANSPORT_ERRORS as error:
            # urllib3 keeps the error of the socket as the cause.
            if isinstance(error.__cause__, ConnectionRefusedError):
                raise ConnectionRefused(str(error)) from error
            if self._http.timeout < timeout_s:
                raise DeadlinePassed(str(error)) from error
            raise ConnectionFailed(str(error)) from error
        if self._aborted:
            self.close()
            raise ConnectionFailed('aborted while connecting')

    def announce(self, request_id: str, checks_incarnation: bool) -> None:
        """Tell what the next exchange carries; only relays need to know."""

    def exchange(
        self,
        method: str,
        target: str,
        headers: typing.Iterable[tuple[str, str]],
        body: bytes | None,
        timeout_s: float,
    ) -> urllib3.HTTPResponse:
        """Send a request and return the response, its body unread.

        The time-out applies to sending, and to the head as a whole. Raises
        ResponseFailed; the upstream may have run the request. Raises
        DeadlinePassed if no time is left, and ConnectionFailed if a relay
        reports that nothing reached the upstream.
        """
        # A relay must respond before the deadline itself.
        timeout_s = self._limit(timeout_s + self._hop_s) - self._hop_s
        fields = urllib3.HTTPHeaderDict()
        for name, value in (*headers, *self._own_headers(timeout_s)):
            fields.add(name, value)
        for name in ('User-Agent', 'Accept-Encoding'):
            if name not in fields:
                fields[name] = util.SKIP_HEADER
        try:
            self._set_timeout(timeout_s + self._hop_s)
            self._http.request(
                method,
                target,
                body=body,
                headers=fields,
                preload_content=False,
                decode_content=False,
            )
            self._sock = self._http.sock
            # Sending may have taken most of the time.
            self._set_timeout(
                min(self._http.timeout, self._http.budget.remaining_s)
            )
            response = self._http.getresponse()
            self._response = response
        except TRANSPORT_ERRORS as error:
            self.close()
            raise _response_error(error) from error
        self._check_response(response)
        return response

    def _own_headers(self, timeout_s: float) -> list[tuple[str, str]]:
        """Return the headers that a request needs on this connection."""
        return []

    def _check_response(self, response: urllib3.HTTPResponse) -> None:
        """Raise an error if a response is not that of the upstream."""

    def iter_body(
        self,
        response: urllib3.HTTPResponse,
        read_timeout_s: float,
        total_s: float | None = None,
        max_bytes: int = bounded.MAX_BODY_BYTES,
    ) -> typing.Iterator[bytes]:
        """Yield body chunks as they arrive.

        One time-out applies to each read, the other to the whole body; the
        default of the latter is the former. Raises ResponseFailed if the
        body is cut or exceeds a limit.
        """
        try:
            if self._aborted:
                raise OSError('the exchange was aborted')
            self._http.budget.restart(
                max_bytes,
                read_timeout_s,
                read_timeout_s if total_s is None else total_s,
            )
            self._http.budget.check(response.length_remaining or 0)
            if response.chunked:
                yield from response.stream(READ_BYTES)
                return
            while chunk := response.read1(READ_BYTES):
                yield chunk
        except TRANSPORT_ERRORS as error:
            self.close()
            raise _response_error(error) from error

    def read_report(
        self, response: urllib3.HTTPResponse, timeout_s: float
    ) -> bytes:
        """Read the body of a report, or of the answer to an order.

        Raises ResponseFailed.
        """
        return b''.join(
            self.iter_body(response, timeout_s, max_bytes=MAX_REPORT_BYTES)
        )

    def drain_body(
        self, response: urllib3.HTTPResponse, timeout_s: float
    ) -> None:
        """Read and discard the body of a refusal; raise ResponseFailed."""
        for _ in self.iter_body(
            response, timeout_s, max_bytes=MAX_REFUSAL_BYTES
        ):
            pass

    def extend_body(self, total_s: float) -> None:
        """Allow the body that is being read a further time from now on."""
        self._http.budget.restart_time(total_s)

    def abort(self) -> None:
        """Abort the exchange; may be called from another thread."""
        self._aborted = True
        sock = self._http.sock or self._sock
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection, also while a response is read."""
        self._http.close()
        if self._response is not None:
            self._response.close()

    def is_reusable_after(self, response: urllib3.HTTPResponse) -> bool:
        """Return whether the connection can be reused after a response."""
        if self._aborted or self._http.sock is None:
            return False
        connection_header = response.headers.get('Connection', '').lower()
        if 'close' in connection_header:
            return False
        if not response.chunked and 'Content-Length' not in response.headers:
            return False
        self._update_idle_limit(response.headers.get('Keep-Alive', ''))
        return True

    def _update_idle_limit(self, keep_alive: str) -> None:
        for part in keep_alive.split(','):
            name, _, value = part.strip().partition('=')
            timeout_s = decoding.decimal(value.strip())
            if name.lower() == 'timeout' and timeout_s is not None:
                self.idle_limit_s = max(0.0, timeout_s - KEEP_ALIVE_MARGIN_S)

    def _limit(self, timeout_s: float) -> float:
        """Return a time-out within the deadline; raise DeadlinePassed."""
        remaining_s = self._http.budget.remaining_s
        if remaining_s <= 0:
            raise DeadlinePassed('no time is left')
        return min(timeout_s, remaining_s)

    def _set_timeout(self, timeout_s: float) -> None:
        sock = self._http.sock
        if sock is None:
            raise OSError('the connection is closed')
        # The library sets the connection's own timeout again on each call.
        self._http.timeout = max(MIN_TIMEOUT_S, timeout_s)
        sock.settimeout(self._http.timeout)


def _response_error(error: Exception) -> ResponseFailed:
    if isinstance(error, TIMEOUT_ERRORS):
        return ResponseTimedOut(repr(error))
    return ResponseFailed(repr(error))


class ConnectionPool:
    """Pool idle connections by address, last in, first out."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        self._idle: dict[Address, list[Connection]] = collections.defaultdict(
            list
        )

    def acquire(
        self, address: Address, make: type[Connection] = Connection
    ) -> Connection:
        """Return an idle connection that is not stale, or a new one.

        A new one is not connected yet. All at an address are of one type.
        """
        while True:
            with self._lock:
                idle = self._idle.get(address)
                connection = idle.pop() if idle else None
            if connection is None:
                self._metrics.count('upstream.connections.new')
                return make(address)
            if not connection.is_stale:
                self._metrics.count('upstream.connections.reused')
                connection.is_new = False
                return connection
            self._metrics.count('upstream.connections.stale')
            connection.close()

    def release(self, connection: Connection) -> None:
        """Return a connection to the pool."""
        connection.set_deadline(float('inf'))
        connection.idle_since = time.monotonic()
        with self._lock:
            self._idle[connection.address].append(connection)

    def release_or_close(
        self, connection: Connection, response: urllib3.HTTPResponse
    ) -> None:
        """Release a connection after a complete response if it is reusable.

        Otherwise it is closed.
        """
        if connection.is_reusable_after(response):
            self.release(connection)
        else:
            connection.close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to an address."""
        with self._lock:
            connections = self._idle.pop(address, [])
        for connection in connections:
            connection.close()
