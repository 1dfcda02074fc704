"""Relay TCP connections to simulate a network partition."""

import contextlib
import socket
import threading
import time

CHUNK_BYTES = 65_536


class Relay:
    """Forward connections to a target unless the link is cut or held."""

    def __init__(self, address: str, port: int, target: tuple[str, int]):
        self._target = target
        self._lock = threading.Lock()
        self._connections: set[socket.socket] = set()
        self._is_cut = False
        self._flows = threading.Event()
        self._flows.set()
        # Added to the time that each chunk takes in each direction.
        self.delay_s = 0.0
        self._listener = socket.create_server((address, port))
        self.url = f'http://{address}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """Close all connections and reject new ones."""
        with self._lock:
            self._is_cut = True
            connections = list(self._connections)
        for connection in connections:
            close(connection)

    def hold(self) -> None:
        """Keep connections open and accept new ones, but forward nothing."""
        self._flows.clear()

    def restore(self) -> None:
        """Accept connections again, and forward what was held, at once."""
        self._is_cut = False
        self.delay_s = 0.0
        self._flows.set()

    def close(self) -> None:
        """Close all connections and the listener."""
        self.cut()
        self._flows.set()
        close(self._listener)

    def _accept(self) -> None:
        while True:
            try:
                client, _ = self._listener.accept()
            except OSError:
                return
            try:
                if self._is_cut:
                    raise ConnectionRefusedError
                server = socket.create_connection(self._target)
            except OSError:
                close(client)
                continue
            with self._lock:
                self._connections |= {client, server}
            for source, sink in ((client, server), (server, client)):
                threading.Thread(
                    target=self._forward, args=(source, sink), daemon=True
                ).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(CHUNK_BYTES):
                self._flows.wait()
                time.sleep(self.delay_s)
                sink.sendall(chunk)
        with self._lock:
            self._connections -= {source, sink}
        close(source)
        close(sink)


def close(connection: socket.socket) -> None:
    """Close a connection in order, also while a thread reads from it."""
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
