"""Answer requests with given bytes, sound or not, with or without an end."""

import socket
import time

from . import listening

ADDRESS = '127.0.0.1'
READ_BYTES = 65536
BLOCK = b'x' * 65536
# Of a block that is repeated; the connection ends then.
MAX_REPEATED_BYTES = 500_000_000


class RawServer:
    """Answer each connection with a prefix, then blocks without end.

    Without a block the connection ends in order after the prefix.
    """

    def __init__(
        self,
        prefix: bytes,
        block: bytes = b'',
        pause_s: float = 0.0,
        delay_s: float = 0.0,
    ) -> None:
        self._prefix = prefix
        self._block = block
        self._delay_s = delay_s
        self._pause_s = pause_s
        self._listener = listening.Listener((ADDRESS, 0), self._answer)
        self.address = self._listener.address

    def close(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _answer(self, connection: socket.socket) -> None:
        connection.recv(READ_BYTES)
        time.sleep(self._delay_s)
        connection.sendall(self._prefix)
        if self._block:
            self._repeat(connection)

    def _repeat(self, connection: socket.socket) -> None:
        for _ in range(MAX_REPEATED_BYTES // len(self._block)):
            connection.sendall(self._block)
            time.sleep(self._pause_s)
