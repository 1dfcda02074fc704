"""Emulate the network links from one instance to all upstreams."""

import contextlib
import enum
import json
import socket
import struct
import threading

from standins import relay

from . import serving

# Closing a socket then resets its connection.
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# One more than the backlog of a listener that accepts nothing.
QUEUED_CONNECTIONS = 1


class Cut(enum.Enum):
    """Distinguish the ways in which links to upstreams are cut."""

    # Open connections hang; new ones get no answer.
    SILENT = 'silent'
    # Open connections are reset; new ones get no answer.
    RESET = 'reset'
    # Open connections are reset; new ones are refused.
    REFUSED = 'refused'
    # Open connections live on; new ones are refused.
    NEW_REFUSED = 'new_refused'


RESETTING_CUTS = (Cut.RESET, Cut.REFUSED)
REFUSING_CUTS = (Cut.REFUSED, Cut.NEW_REFUSED)


class Link:
    """The link from one instance to one upstream."""

    def __init__(self, target: tuple[str, int]) -> None:
        self._target = target
        self._port = serving.free_port()
        self._lock = threading.Lock()
        # Pairs of sockets, of the instance and of the upstream.
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._flows = threading.Event()
        self._flows.set()
        self._queued: list[socket.socket] = []
        self._listener: socket.socket | None = None
        self._listen()

    @property
    def address(self) -> str:
        """Return where the instance connects to."""
        return f'{serving.ADDRESS}:{self._port}'

    def cut_new(self, cut: Cut) -> None:
        """Let no new connection through until the link is restored."""
        self._stop_listening()
        if cut not in REFUSING_CUTS:
            self._fill_queue()

    def cut_open(self, cut: Cut) -> None:
        """Cut the open connections."""
        if cut is Cut.SILENT:
            self._flows.clear()
        if cut in RESETTING_CUTS:
            self._reset_connections()

    def restore(self) -> None:
        """Accept connections again, and forward what was held."""
        self._stop_listening()
        self._listen()
        self._flows.set()

    def close(self) -> None:
        """End the link and its connections."""
        self._stop_listening()
        self._flows.set()
        self._reset_connections()

    def _listen(self) -> None:
        listener = socket.create_server((serving.ADDRESS, self._port))
        self._listener = listener
        threading.Thread(
            target=self._accept, args=(listener,), daemon=True
        ).start()

    def _stop_listening(self) -> None:
        if self._listener is not None:
            relay.close(self._listener)
            self._listener = None
        for queued in self._queued:
            queued.close()
        self._queued.clear()

    def _fill_queue(self) -> None:
        """Listen with a full queue, so that the kernel drops what arrives."""
        self._listener = socket.create_server(
            (serving.ADDRESS, self._port), backlog=0
        )
        for _ in range(QUEUED_CONNECTIONS):
            self._queued.append(
                socket.create_connection((serving.ADDRESS, self._port))
            )

    def _reset_connections(self) -> None:
        with self._lock:
            pairs = list(self._pairs)
        for client, server in pairs:
            with contextlib.suppress(OSError):
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                # Wakes the thread that reads, without an orderly end.
                client.shutdown(socket.SHUT_RD)
            relay.close(server)

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                client, _ = listener.accept()
            except OSError:
                return
            try:
                server = socket.create_connection(self._target)
            except OSError:
                client.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                client.close()
                continue
            pair = (client, server)
            with self._lock:
                self._pairs.add(pair)
            for source, sink in (pair, pair[::-1]):
                threading.Thread(
                    target=self._forward,
                    args=(pair, source, sink),
                    daemon=True,
                ).start()

    def _forward(
        self,
        pair: tuple[socket.socket, socket.socket],
        source: socket.socket,
        sink: socket.socket,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := source.recv(relay.CHUNK_BYTES):
                self._flows.wait()
                sink.sendall(chunk)
        with self._lock:
            self._pairs.discard(pair)
        client, server = pair
        is_reset = False
        with contextlib.suppress(OSError):
            is_reset = bool(
                client.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER)
            )
        if is_reset:
            client.close()
        else:
            relay.close(client)
        relay.close(server)


class Links:
    """The links of one instance, one to each upstream."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._links: dict[str, Link] = {}
        self._cut: Cut | None = None

    def rewrite(self, value: bytes) -> bytes:
        """Return a registration that leads over the link to the upstream."""
        try:
            fields = json.loads(value)
            fields['address'] = self._link_to(fields['address']).address
        except (ValueError, KeyError, TypeError):
            return value
        return json.dumps(fields).encode()

    def cut(self, cut: Cut) -> None:
        """Cut the instance off from all upstreams."""
        cut_together([self], cut)

    def begin_cut(self, cut: Cut) -> list[Link]:
        """Record a cut; return the links that are to be cut now."""
        with self._lock:
            self._cut = cut
            return list(self._links.values())

    def restore(self) -> None:
        """End the cut."""
        with self._lock:
            self._cut = None
            links = list(self._links.values())
        for link in links:
            link.restore()

    def close(self) -> None:
        """End all links."""
        with self._lock:
            links = list(self._links.values())
        for link in links:
            link.close()

    def _link_to(self, address: str) -> Link:
        with self._lock:
            link = self._links.get(address)
            if link is None:
                host, port = address.rsplit(':', 1)
                link = self._links[address] = Link((host, int(port)))
                if self._cut is not None:
                    link.cut_new(self._cut)
        return link


def cut_together(instances: list[Links], cut: Cut) -> None:
    """Cut instances off from all upstreams at the same moment.

    No open connection ends before all new ones fail.
    """
    cut_links = [link for each in instances for link in each.begin_cut(cut)]
    for link in cut_links:
        link.cut_new(cut)
    for link in cut_links:
        link.cut_open(cut)
