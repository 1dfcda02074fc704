"""Receive request heads in one thread for all connections.

Takes the place of the connection manager of the HTTP library. One thread
accepts connections and receives heads; a connection is passed to a worker
thread once its head is complete, with the bytes received so far.
"""

import contextlib
import errno
import os
import select
import socket
import threading
import time
import typing

from . import waiting as waiting_module

READABLE = select.EPOLLIN | select.EPOLLRDHUP
TICK_S = 0.25
# Connections that are accepted in a row before heads are received again.
MAX_ACCEPTS = 64
# Pause when no descriptor is left and no connection can be closed.
EXHAUSTED_PAUSE_S = 0.05
STOP_POLL_S = 0.01
HEAD_END = b'\r\n\r\n'
LF = b'\n'
CR = b'\r'
TIMEOUT_RESPONSE = (
    b'HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\n'
    b'Connection: close\r\n\r\n'
)
BUSY_RESPONSE = (
    b'HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n'
    b'Retry-After: 0.5\r\nConnection: close\r\n\r\n'
)
NO_DESCRIPTORS = (errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)


class Acceptor:
    """Accept connections and wait for the heads of their requests."""

    def __init__(self, server: typing.Any) -> None:
        self._server = server
        self._listener: socket.socket = server.socket
        self._listener.setblocking(False)
        self._listener_fd = self._listener.fileno()
        self._epoll = select.epoll()
        self._epoll.register(self._listener_fd, select.EPOLLIN)
        self._lock = threading.Lock()
        self._waiting = waiting_module.WaitingConnections()
        self._open = 0
        self._is_serving = False
        self._is_stopped = False

    @property
    def can_add_keepalive_connection(self) -> bool:
        """Return whether connections may stay open after a response."""
        return self._open <= self._server.client_limits.connections

    @property
    def open_connections(self) -> int:
        """Return the number of open connections."""
        return self._open

    def run(self, expiration_interval: float) -> None:
        """Accept and receive until stopped."""
        self._is_serving = True
        try:
            expires_at = time.monotonic() + TICK_S
            while not self._is_stopped:
                for fd, _ in self._epoll.poll(TICK_S):
                    if fd == self._listener_fd:
                        self._accept_all()
                    else:
                        self._receive_from(fd)
                if time.monotonic() >= expires_at:
                    self._expire()
                    self._server.report_connections(self._open)
                    expires_at = time.monotonic() + TICK_S
        finally:
            self._is_serving = False

    def stop(self) -> None:
        """Stop accepting, and wait until the thread has noticed."""
        self._is_stopped = True
        while self._is_serving:
            time.sleep(STOP_POLL_S)

    def close(self) -> None:
        """Close all connections that wait for a request."""
        with self._lock:
            connections = self._waiting.pop_all()
        for connection in connections:
            connection.close()
        self._epoll.close()

    def put(self, connection: typing.Any) -> None:
        """Wait for the next request on a connection, which was served."""
        if connection.rfile.has_data():
            self._proceed(connection)
        else:
            self._wait_for(connection)

    def count_closed(self) -> None:
        """Forget a connection that has been closed."""
        with self._lock:
            self._open -= 1

    def _accept_all(self) -> None:
        for _ in range(MAX_ACCEPTS):
            try:
                sock, address = self._listener.accept()
            except BlockingIOError:
                return
            except OSError as error:
                self._handle_accept_error(error)
                return
            self._add(sock, address)

    def _handle_accept_error(self, error: OSError) -> None:
        if error.errno in NO_DESCRIPTORS:
            self._server.excesses.report('descriptors', '')
            if not self._evict():
                time.sleep(EXHAUSTED_PAUSE_S)
        elif error.errno == errno.EINVAL:
            # The listener was shut down.
            with contextlib.suppress(OSError):
                self._epoll.unregister(self._listener_fd)

    def _add(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Begin to serve a new connection."""
        connection = self._server.ConnectionClass(self._server, sock)
        connection.remote_addr, connection.remote_port = address[:2]
        with self._lock:
            self._open += 1
            is_full = self._open > self._server.client_limits.connections
        if is_full and not self._evict():
            connection.close()
            self._server.excesses.report('connections', connection.remote_addr)
            return
        self._receive(connection)

    def _evict(self) -> bool:
        """Close a waiting connection; return whether there was one."""
        with self._lock:
            connection = self._waiting.pop_victim()
        if connection is None:
            return False
        self._close_waiting(connection, 'connections')
        return True

    def _close_waiting(self, connection: typing.Any, limit: str) -> None:
        self._unregister(connection)
        connection.close()
        self._server.excesses.report(limit, connection.remote_addr)

    def _wait_for(self, connection: typing.Any) -> None:
        """Look at a connection again once there is something to read."""
        fd = connection.socket.fileno()
        with self._lock:
            is_new = self._waiting.add(fd, connection, time.monotonic())
            try:
                if is_new:
                    self._epoll.register(fd, READABLE)
                return
            except (OSError, ValueError):
                # The server has stopped meanwhile.
                self._waiting.pop(fd)
        connection.close()

    def _receive_from(self, fd: int) -> None:
        connection = self._waiting.get(fd)
        if connection is not None:
            self._receive(connection)

    def _receive(self, connection: typing.Any) -> None:
        """Receive the available bytes of a head."""
        pending = connection.rfile.pending()
        room = self._server.max_request_header_size + 1 - len(pending)
        try:
            data = os.read(connection.socket.fileno(), max(room, 1))
        except BlockingIOError:
            self._wait_for(connection)
            return
        except OSError:
            self._drop(connection)
            return
        if not data and not pending:
            self._drop(connection)
            return
        connection.rfile.feed(data)
        self._proceed(connection, is_ended=not data)
        self._bound_head_bytes()

    def _bound_head_bytes(self) -> None:
        """Close connections while incomplete heads exceed their memory."""
        limit = self._server.client_limits.head_memory_bytes
        while self._waiting.head_bytes > limit:
            with self._lock:
                connection = self._waiting.pop_oldest_head()
            if connection is None:
                return
            self._close_waiting(connection, 'head_memory')

    def _proceed(self, connection: typing.Any, is_ended: bool = False) -> None:
        """Queue a connection for a worker once its head can be parsed."""
        head = connection.rfile.pending()
        if not (
            is_ended
            or HEAD_END in head
            or len(head) > self._server.max_request_header_size
            or _has_bare_line_feed(head)
        ):
            self._wait_for(connection)
            return
        self._forget(connection)
        if self._server.requests.qsize >= (
            self._server.client_limits.queued_requests
        ):
            self._server.excesses.report(
                'queued_requests', connection.remote_addr
            )
            self._refuse(connection, BUSY_RESPONSE)
            return
        connection.rfile.is_offline = True
        self._server.requests.put(connection)

    def _expire(self) -> None:
        """Close connections whose heads, or next requests, take too long."""
        now = time.monotonic()
        with self._lock:
            late = self._waiting.find_late(
                now - self._server.request_timeout_s
            )
            idle = self._waiting.find_idle(now - self._server.timeout)
        for connection in late:
            self._forget(connection)
            self._server.excesses.report('head_time', connection.remote_addr)
            self._refuse(connection, TIMEOUT_RESPONSE)
        for connection in idle:
            self._drop(connection)

    def _refuse(self, connection: typing.Any, response: bytes) -> None:
        with contextlib.suppress(OSError):
            os.write(connection.socket.fileno(), response)
        connection.lingers = True
        connection.close()

    def _drop(self, connection: typing.Any) -> None:
        self._forget(connection)
        connection.close()

    def _forget(self, connection: typing.Any) -> None:
        with self._lock:
            is_waiting = self._waiting.pop(connection.socket.fileno())
        if is_waiting:
            self._unregister(connection)

    def _unregister(self, connection: typing.Any) -> None:
        with contextlib.suppress(OSError, ValueError):
            self._epoll.unregister(connection.socket.fileno())


def _has_bare_line_feed(head: bytes) -> bool:
    """Return whether a line ends in a way that makes the head invalid."""
    return head.count(LF) != head.count(CR + LF)
