"""Serve the emulated programs on loopback ports."""

import contextlib
import json
import random
import socket
import typing
import urllib.parse

from baobabpond.edge import http_exchange
from baobabpond.edge import server
from baobabpond import metrics
from baobabpond.ports import catalogue

ADDRESS = '127.0.0.1'
THREADS = 32
# Below the ephemeral ports that the system assigns to connections.
PORTS = range(20_000, 32_000)


class Query(typing.NamedTuple):
    """Path and query parameters of a request."""

    path: str
    parameters: dict[str, str]


def free_port() -> int:
    """Return an unused port, each one once per cycle through PORTS."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError):
            socket.create_server((ADDRESS, port)).close()
            return port


def _cycle_ports() -> typing.Iterator[int]:
    # A random start keeps tests that run in parallel from colliding.
    start = random.SystemRandom().randrange(len(PORTS))
    while True:
        yield from PORTS[start:]
        start = 0


_ports = _cycle_ports()


def serve(
    handler: server.Handler, threads: int = THREADS, port: int | None = None
) -> server.Server:
    """Start a server for a handler, with threads of its own."""
    http_server = server.Server(
        (ADDRESS, port or free_port()),
        handler,
        threads,
        metrics.Metrics(),
        catalogue.Limits(),
    )
    http_server.start_thread('emulator')
    return http_server


def address_of(http_server: server.Server) -> str:
    """Return the host and port on which a server listens."""
    host, port = http_server.bind_addr
    return f'{host}:{port}'


def query(exchange: http_exchange.Exchange) -> Query:
    """Parse the path and the query parameters of a request."""
    path, _, text = exchange.target.partition('?')
    return Query(path, dict(urllib.parse.parse_qsl(text)))


def reply(
    exchange: http_exchange.Exchange,
    status: int,
    body: typing.Any = None,
    headers: http_exchange.Headers | None = None,
) -> None:
    """Send a response with a JSON body; without a body if None."""
    data = b'' if body is None else json.dumps(body).encode()
    exchange.send_response(status, 'Emulated', headers or [], data)


def close_without_response(exchange: http_exchange.Exchange) -> None:
    """Close a connection without sending a response."""
    exchange.abort()
    with contextlib.suppress(OSError):
        exchange.socket.shutdown(socket.SHUT_RDWR)


def end_with_connection(exchange: http_exchange.Exchange) -> None:
    """Send the response without a length; the connection ends it."""
    request = exchange._request
    # Otherwise the server would send it in chunks.
    request.response_protocol = 'HTTP/1.0'
    request.close_connection = True

    def send_response(
        status: int, reason: str, headers: http_exchange.Headers, body: bytes
    ) -> None:
        exchange.begin_stream(status, reason, headers)
        if body:
            exchange.write(body)

    exchange.send_response = send_response


def stop_listening(http_server: server.Server) -> None:
    """Refuse new connections from now on."""
    with contextlib.suppress(OSError):
        http_server.socket.shutdown(socket.SHUT_RDWR)


def send_raw_response(
    exchange: http_exchange.Exchange,
    headers: http_exchange.Headers,
    body: bytes,
) -> None:
    """Write a further response to the connection of an answered request."""
    lines = ['HTTP/1.1 200 OK', f'Content-Length: {len(body)}']
    lines += [f'{name}: {value}' for name, value in headers]
    head = '\r\n'.join(lines).encode() + b'\r\n\r\n'
    with contextlib.suppress(OSError):
        exchange.socket.sendall(head + body)
