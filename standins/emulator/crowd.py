"""Send one kind of hostile input over many connections, until killed.

Runs as a separate process: python -m standins.emulator.crowd ADDRESS KIND. It
writes a line to standard output once every client has sent MAX_CLIENT_BYTES or
has been sending for SETTLE_S.
"""

import argparse
import contextlib
import socket
import threading
import time
import typing

from baobabpond import registry
from baobabpond.transport import sockets

from . import deployment as deployment_module

CLIENTS = 12
# Each client sends at most this much; the instance may close earlier.
MAX_CLIENT_BYTES = 60_000_000
SETTLE_S = 8.0
PIECE_BYTES = 65536
MAX_BATCH_BYTES = 30_000_000
TIMEOUT_S = 1.0
RECONNECT_S = 0.02
SLOW_PAUSE_S = 0.3
READ_PAUSE_S = 1.0
# More connections than an instance has threads for callers.
SLOW_CONNECTIONS = 5
# More connections than the test's limit of descriptors.
IDLE_CONNECTIONS = 50

# Bound for all clients together. Each client has a thread; more of them
# reached the limit of threads of a machine.
MAX_CONNECTIONS = 600


class Input(typing.NamedTuple):
    """Describe what a client sends on each connection, and how it reads."""

    # Sent once.
    opening: bytes
    # Sent again and again after it; nothing if empty.
    piece: bytes = b''
    pause_s: float = 0.0
    # Whether responses are discarded as they arrive.
    reads: bool = True
    # If above 0, one byte of the response is read after each pause.
    read_pause_s: float = 0.0
    # Open connections of each client.
    connections: int = 1


inputs: registry.Registry[typing.Callable[[], Input]] = registry.Registry(
    'input'
)


def head(
    method: str = 'POST',
    prefix: str = deployment_module.LOOKUPS,
    *lines: str,
) -> bytes:
    """Return the start of a request without the end of its head."""
    text = [
        f'{method} {prefix}crowd HTTP/1.1',
        f'Host: {deployment_module.HOST}',
        'X-Request-Id: crowd',
        'X-Deadline-Ms: 2000',
        *lines,
        '',
    ]
    return '\r\n'.join(text).encode()


def chunked() -> bytes:
    """Return the head of a request whose body comes in chunks."""
    return head('POST', '/orders/', 'Transfer-Encoding: chunked') + b'\r\n'


@inputs.register('trailer_line')
def trailer_line() -> Input:
    """Send one trailer line without an end."""
    return Input(chunked() + b'1\r\na\r\n0\r\nT: ', b'a' * PIECE_BYTES)


@inputs.register('trailer_lines')
def trailer_lines() -> Input:
    """Send trailer lines without end."""
    return Input(chunked() + b'1\r\na\r\n0\r\n', b'T: a\r\n' * 8192)


@inputs.register('chunk_extension')
def chunk_extension() -> Input:
    """Send the extension of a chunk without an end."""
    return Input(chunked() + b'1;e=', b'a' * PIECE_BYTES)


@inputs.register('chunk_size')
def chunk_size() -> Input:
    """Send the digits of the size of a chunk without an end."""
    return Input(chunked(), b'0' * PIECE_BYTES)


@inputs.register('small_chunks')
def small_chunks() -> Input:
    """Send chunks of one byte."""
    return Input(chunked(), b'1\r\na\r\n' * 8192)


@inputs.register('endless_body')
def endless_body() -> Input:
    """Send a body in chunks without end."""
    return Input(chunked(), b'10000\r\n' + b'a' * PIECE_BYTES + b'\r\n')


@inputs.register('header_lines')
def header_lines() -> Input:
    """Send header lines without end."""
    return Input(head(), b'T: a\r\n' * 8192)


@inputs.register('header_line')
def header_line() -> Input:
    """Send one header line without an end."""
    return Input(head() + b'T: ', b'a' * PIECE_BYTES)


@inputs.register('request_line')
def request_line() -> Input:
    """Send a request line without an end."""
    return Input(b'GET /', b'a' * PIECE_BYTES)


@inputs.register('pipelined')
def pipelined() -> Input:
    """Send requests without waiting for responses, or reading them."""
    request = head('GET', '/unknown/') + b'\r\n'
    return Input(b'', request * 400, reads=False)


@inputs.register('slow_head')
def slow_head() -> Input:
    """Send a head slowly, on more connections than there are threads."""
    return Input(
        head() + b'T: ',
        b'a',
        SLOW_PAUSE_S,
        connections=SLOW_CONNECTIONS,
    )


@inputs.register('slow_body')
def slow_body() -> Input:
    """Send a body slowly, on more connections than there are threads."""
    return Input(
        head('POST', '/orders/', 'Content-Length: 30000') + b'\r\n',
        b'a',
        SLOW_PAUSE_S,
        connections=SLOW_CONNECTIONS,
    )


@inputs.register('slow_chunks')
def slow_chunks() -> Input:
    """Send small chunks slowly, on more connections than threads."""
    return Input(
        chunked(),
        b'1\r\na\r\n',
        SLOW_PAUSE_S,
        connections=SLOW_CONNECTIONS,
    )


@inputs.register('unread_response')
def unread_response() -> Input:
    """Read nothing of large responses."""
    return Input(
        head('POST', '/orders/', 'Content-Length: 5') + b'\r\nlarge',
        reads=False,
    )


@inputs.register('slowly_read_response')
def slowly_read_response() -> Input:
    """Read large responses at a byte a second."""
    return unread_response()._replace(read_pause_s=READ_PAUSE_S)


@inputs.register('unread_stream')
def unread_stream() -> Input:
    """Read nothing of streams without end."""
    return Input(_stream(), reads=False, connections=SLOW_CONNECTIONS)


@inputs.register('slowly_read_stream')
def slowly_read_stream() -> Input:
    """Read streams without end at a byte a second."""
    return unread_stream()._replace(read_pause_s=READ_PAUSE_S)


@inputs.register('idle')
def idle() -> Input:
    """Hold connections open without sending anything."""
    return Input(b'', connections=IDLE_CONNECTIONS)


@inputs.register('tiny_items')
def tiny_items() -> Input:
    """Send batches of 30 MB whose items are as small as they can be."""
    return Input(_batch(MAX_BATCH_BYTES // 48, 0))


@inputs.register('many_headers')
def many_headers() -> Input:
    """Send batches of a few MB in which each item has some headers."""
    return Input(_batch(8000, 20))


@inputs.register('nested_values')
def nested_values() -> Input:
    """Send batches of 30 MB of values that no batch has."""
    return Input(_submit(b'{"items":[' + b'{},' * 10_000_000 + b'{}]}'))


def _batch(items: int, headers: int) -> bytes:
    """Return the submission of a batch."""
    pairs = ','.join(f'"h{number}":"v{number}"' for number in range(headers))
    texts = (
        f'{{"id":"{number}","path":"/","headers":{{{pairs}}},"body":""}}'
        for number in range(items)
    )
    return _submit(('{"items":[' + ','.join(texts) + ']}').encode())


def _submit(body: bytes) -> bytes:
    whole = head(
        'POST',
        deployment_module.ROLLOUTS,
        f'X-Model: {deployment_module.MODEL}',
        f'Content-Length: {len(body)}',
    )
    return whole + b'\r\n' + body


def _stream() -> bytes:
    model = f'X-Model: {deployment_module.MODEL}'
    whole = head('POST', deployment_module.STREAMS, model, 'Content-Length: 1')
    # Longer than a silent reader is waited for.
    return whole.replace(b'Ms: 2000', b'Ms: 8000') + b'\r\nx'


class Client:
    """Send one kind of input, and connect again when disconnected."""

    def __init__(
        self, address: tuple[str, int], kind: Input, reconnects: bool = True
    ) -> None:
        self._reconnects = reconnects
        self._address = address
        self._kind = kind
        self._left = MAX_CLIENT_BYTES

    def run(self) -> None:
        """Send until the process is killed, or all is sent."""
        while self._left > 0:
            with contextlib.suppress(OSError):
                self._use_connection()
            if not self._reconnects:
                return
            time.sleep(RECONNECT_S)

    def _use_connection(self) -> None:
        """Send on a new connection until it is closed."""
        with socket.create_connection(self._address, TIMEOUT_S) as sock:
            self._send(sock, self._kind.opening)
            while self._left > 0:
                if self._kind.piece:
                    self._send(sock, self._kind.piece)
                elif not self._kind.reads and not self._kind.read_pause_s:
                    self._wait_for_end(sock)
                    return
                self._read(sock)

    def _send(self, sock: socket.socket, data: bytes) -> None:
        view = memoryview(data)
        while view:
            with contextlib.suppress(TimeoutError):
                sent = sock.send(view)
                view = view[sent:]
                self._left -= sent

    def _read(self, sock: socket.socket) -> None:
        """Pause as the kind demands, and read what it reads."""
        time.sleep(self._kind.pause_s or self._kind.read_pause_s)
        if self._kind.read_pause_s:
            with contextlib.suppress(TimeoutError):
                self._raise_if_ended(sock.recv(1))
        elif self._kind.piece and self._kind.reads:
            if sockets.is_readable(sock):
                self._raise_if_ended(sock.recv(PIECE_BYTES))
        elif self._kind.reads:
            with contextlib.suppress(TimeoutError):
                self._raise_if_ended(sock.recv(PIECE_BYTES))

    def _wait_for_end(self, sock: socket.socket) -> None:
        """Wait until the connection is closed, without reading."""
        while not sockets.is_closed_by_peer(sock):
            time.sleep(READ_PAUSE_S)

    def _raise_if_ended(self, data: bytes) -> None:
        if not data:
            raise ConnectionError('closed by the instance')


def main() -> None:
    """Run the clients; report once the instance has had what they send."""
    parser = argparse.ArgumentParser()
    parser.add_argument('address')
    parser.add_argument('kind', choices=inputs.names)
    parser.add_argument('--clients', type=int, default=CLIENTS)
    parser.add_argument('--once', action='store_true')
    options = parser.parse_args()
    host, port = options.address.rsplit(':', 1)
    kind = inputs.get(options.kind)()
    threads = [
        threading.Thread(
            target=Client((host, int(port)), kind, not options.once).run,
            daemon=True,
        )
        for _ in range(
            min(
                options.clients * kind.connections,
                max(options.clients, MAX_CONNECTIONS),
            )
        )
    ]
    for thread in threads:
        thread.start()
    ends_at = time.monotonic() + SETTLE_S
    for thread in threads:
        thread.join(max(0.0, ends_at - time.monotonic()))
    print('settled', flush=True)
    while True:
        time.sleep(SETTLE_S)


if __name__ == '__main__':
    main()
