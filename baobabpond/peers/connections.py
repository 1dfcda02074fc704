"""Bound the connections of other instances and what their frames hold."""

import collections
import contextlib
import socket
import threading
import time

from ..edge import client_limits

# While a frame is decoded, its bytes and its strings exist side by side.
FRAME_COPIES = 2
# Memory for decoded elements besides the largest frame, so that this frame
# fits while no other is held.
MIN_ELEMENT_BYTES = 1_000_000


class ConnectionClosed(Exception):
    """Raised where a connection ends, by either side."""


class Connection:
    """One connection of another instance, served by one thread."""

    def __init__(self, sock: socket.socket, address: str) -> None:
        self.socket = sock
        self.address = address
        # Of the frame that is received or served, as counted in the table.
        self.held_bytes = 0
        # When the listener began to wait for bytes; None while it serves.
        self.waits_since: float | None = time.monotonic()
        self.is_evicted = False

    def shut_down(self) -> None:
        """End all waits for the other side, from any thread."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR)


class ConnectionTable:
    """Hold the open connections of one listener, up to their limits.

    At a limit, a connection that waits for bytes makes room: one that is
    idle costs its owner a new connection, and one in the middle of a frame
    is slower than those that have finished theirs.
    """

    def __init__(
        self,
        limits: client_limits.ClientLimits,
        excesses: client_limits.Excesses,
    ) -> None:
        self._limits = limits
        self._memory_bytes = max(
            limits.peer_memory_bytes,
            limits.peer_frame_bytes * FRAME_COPIES + MIN_ELEMENT_BYTES,
        )
        self._excesses = excesses
        self._lock = threading.Lock()
        self._open: set[Connection] = set()
        self._used_bytes = 0

    def try_add(self, connection: Connection) -> bool:
        """Add a connection; return whether there is room for it."""
        with self._lock:
            is_full = len(self._open) >= self._limits.connections
            has_room = not is_full or self._evict_waiting()
            if has_room:
                self._open.add(connection)
        if is_full:
            self._excesses.report('peer_connections', connection.address)
        return has_room

    def remove(self, connection: Connection) -> None:
        """Remove a connection and what it holds."""
        with self._lock:
            self._remove(connection)

    def evict_one(self) -> None:
        """Close a connection that waits, where descriptors are short."""
        with self._lock:
            self._evict_waiting()

    def wait_for_bytes(self, connection: Connection) -> None:
        """Release the last frame; raise ConnectionClosed if evicted."""
        with self._lock:
            self._used_bytes -= connection.held_bytes
            connection.held_bytes = 0
            connection.waits_since = time.monotonic()
            if connection.is_evicted:
                raise ConnectionClosed()

    def begin_frame(self, connection: Connection) -> None:
        """Record when the first byte of a frame arrived."""
        with self._lock:
            connection.waits_since = time.monotonic()

    def begin_service(self, connection: Connection) -> None:
        """Protect a whole frame; raise ConnectionClosed if evicted."""
        with self._lock:
            if connection.is_evicted:
                raise ConnectionClosed()
            connection.waits_since = None

    def grow(self, connection: Connection, size: int) -> None:
        """Count memory for a frame; raise ConnectionClosed if evicted."""
        with self._lock:
            if connection.is_evicted:
                raise ConnectionClosed()
            self._used_bytes += size
            connection.held_bytes += size
            is_full = self._used_bytes > self._memory_bytes
            while self._used_bytes > self._memory_bytes:
                # Where no frame is being received, this one is dropped.
                self._evict(self._oldest_receiving() or connection)
        if is_full:
            self._excesses.report('peer_memory', connection.address)
        if connection.is_evicted:
            raise ConnectionClosed()

    def _oldest_receiving(self) -> Connection | None:
        """Return the connection whose incomplete frame began first."""
        return min(
            (
                c
                for c in self._open
                if c.waits_since is not None and c.held_bytes
            ),
            key=lambda c: c.waits_since,
            default=None,
        )

    def _evict_waiting(self) -> bool:
        """Close the longest waiting connection of the busiest address."""
        by_address: dict[str, list[Connection]] = collections.defaultdict(list)
        for connection in self._open:
            if connection.waits_since is not None:
                by_address[connection.address].append(connection)
        if not by_address:
            return False
        most = max(by_address.values(), key=len)
        self._evict(min(most, key=lambda c: c.waits_since))
        return True

    def _evict(self, connection: Connection) -> None:
        connection.is_evicted = True
        self._remove(connection)
        connection.shut_down()

    def _remove(self, connection: Connection) -> None:
        self._open.discard(connection)
        self._used_bytes -= connection.held_bytes
        connection.held_bytes = 0
