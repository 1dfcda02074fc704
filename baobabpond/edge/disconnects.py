"""Notice callers that disconnect while their request is handled."""

import collections.abc
import socket
import threading
import typing

from ..transport import sockets


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
