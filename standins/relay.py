"""Relay TCP connections, so that a link can be cut."""

import contextlib
import socket
import threading

PIECE_BYTES = 65_536


class Relay:
    """Pass connections on to a target until the link is cut."""

    def __init__(self, address: str, port: int, target: tuple[str, int]):
        self._target = target
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._is_cut = False
        self._listener = socket.create_server((address, port))
        self.url = f'http://{address}:{port}'
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self) -> None:
        """End all connections and let none through."""
        with self._lock:
            self._is_cut = True
            open_sockets = list(self._open)
        for connection in open_sockets:
            _close(connection)

    def heal(self) -> None:
        """Let connections through again."""
        self._is_cut = False

    def close(self) -> None:
        """End the relay."""
        self.cut()
        _close(self._listener)

    def _accept(self) -> None:
        while True:
            try:
                near, _ = self._listener.accept()
            except OSError:
                return
            try:
                if self._is_cut:
                    raise ConnectionRefusedError
                far = socket.create_connection(self._target)
            except OSError:
                _close(near)
                continue
            with self._lock:
                self._open |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pump, args=(source, sink), daemon=True
                ).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while piece := source.recv(PIECE_BYTES):
                sink.sendall(piece)
        with self._lock:
            self._open -= {source, sink}
        _close(source)
        _close(sink)


def _close(connection: socket.socket) -> None:
    with contextlib.suppress(OSError):
        connection.shutdown(socket.SHUT_RDWR)
    connection.close()
