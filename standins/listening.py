"""Accept connections, each served in a thread of its own."""

import collections.abc
import contextlib
import socket
import threading

Address = tuple[str, int]
Serve = collections.abc.Callable[[socket.socket], None]


class Listener:
    """Listen at an address; errors of sockets end a connection."""

    def __init__(self, address: Address, serve: Serve) -> None:
        self._serve = serve
        self._listener = socket.create_server(address)
        self.address: Address = self._listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Stop listening; connections go on."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                connection, _ = self._listener.accept()
                threading.Thread(
                    target=self._serve_one, args=(connection,), daemon=True
                ).start()

    def _serve_one(self, connection: socket.socket) -> None:
        with contextlib.suppress(OSError), connection:
            self._serve(connection)
