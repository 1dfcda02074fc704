"""Serve an emulated program on a loopback port."""

import contextlib
import json
import random
import socket
import typing
import urllib.parse

from baobabpond.edge import server
from baobabpond import metrics
from baobabpond.ports import catalogue

ADDRESS = '127.0.0.1'
THREADS = 32
# Below the ports that the system gives to outgoing connections.
PORTS = range(20_000, 32_000)


class Query(typing.NamedTuple):
    """Hold the path and the parameters of a request."""

    path: str
    parameters: dict[str, str]


def free_port() -> int:
    """Return a port that nobody listens on, and no port twice."""
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError):
            socket.create_server((ADDRESS, port)).close()
            return port


def _shuffled_ports() -> typing.Iterator[int]:
    # Tests that run side by side start at different places.
    start = random.SystemRandom().randrange(len(PORTS))
    while True:
        yield from PORTS[start:]
        start = 0


_ports = _shuffled_ports()


def serve(handler: server.Handler, threads: int = THREADS) -> server.Server:
    """Serve a handler until the server is stopped."""
    served = server.Server(
        (ADDRESS, free_port()),
        handler,
        threads,
        metrics.Metrics(),
        catalogue.Limits(),
    )
    served.start_thread('emulator')
    return served


def address_of(served: server.Server) -> str:
    """Return where a server listens."""
    host, port = served.bind_addr
    return f'{host}:{port}'


def query(exchange: server.Exchange) -> Query:
    """Return the path and the parameters of a request."""
    path, _, text = exchange.target.partition('?')
    return Query(path, dict(urllib.parse.parse_qsl(text)))


def reply(
    exchange: server.Exchange,
    status: int,
    body: typing.Any = None,
    headers: server.Headers | None = None,
) -> None:
    """Answer with a JSON body."""
    data = b'' if body is None else json.dumps(body).encode()
    exchange.send_response(status, 'Emulated', headers or [], data)


def hang_up(exchange: server.Exchange) -> None:
    """End a connection without an answer."""
    exchange.abort()
    exchange.socket.shutdown(socket.SHUT_RDWR)
