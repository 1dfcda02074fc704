"""Close connections whose callers may still be sending.

Closing at once would reset the connection, and the caller might lose the
response that precedes it.
"""

import contextlib
import selectors
import socket
import threading
import time

CLOSE_AFTER_S = 2.0
POLL_S = 0.1
READ_BYTES = 65536


class LingeringCloser:
    """Discard what arrives on connections, then close them, in one thread."""

    def __init__(self, max_connections: int) -> None:
        # Further connections are closed at once.
        self._max_connections = max_connections
        self._lock = threading.Lock()
        self._selector = selectors.DefaultSelector()
        self._close_at: dict[socket.socket, float] = {}
        self._is_started = False

    def close(self, sock: socket.socket) -> None:
        """Close a connection once its caller has closed it, or soon."""
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
        with self._lock:
            if len(self._close_at) >= self._max_connections:
                sock.close()
                return
            sock.setblocking(False)
            self._close_at[sock] = time.monotonic() + CLOSE_AFTER_S
            self._selector.register(sock, selectors.EVENT_READ)
            if not self._is_started:
                self._is_started = True
                threading.Thread(
                    target=self._run, name='linger', daemon=True
                ).start()

    def _run(self) -> None:
        while True:
            for key, _ in self._selector.select(POLL_S):
                self._discard(key.fileobj)
            with self._lock:
                now = time.monotonic()
                for sock, close_at in list(self._close_at.items()):
                    if close_at <= now:
                        self._forget(sock)
                if not self._close_at:
                    self._is_started = False
                    return

    def _discard(self, sock: socket.socket) -> None:
        try:
            is_open = bool(sock.recv(READ_BYTES))
        except BlockingIOError:
            return
        except OSError:
            is_open = False
        if not is_open:
            with self._lock:
                self._forget(sock)

    def _forget(self, sock: socket.socket) -> None:
        if self._close_at.pop(sock, None) is not None:
            self._selector.unregister(sock)
            sock.close()
