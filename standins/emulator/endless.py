"""Emulate upstreams whose responses do not end."""

import collections.abc
import json
import socket
import time
import typing

from baobabpond.transport import sockets

from .. import listening

from . import outputs
from . import serving
from . import store as store_module

READ_BYTES = 65536
STARTED_AT_MS = 1
HEAD_END = b'\r\n\r\n'
# Pause of a fault that sends something now and then.
PAUSE_S = 0.1
LONG_PAUSE_S = 1.0
FLOOD_BYTES = 65536
# Of what one connection is sent.
MAX_FLOOD_BYTES = 200_000_000
# Just below the limit for a response.
LARGE_BODY_BYTES = 16_000_000

Pieces = collections.abc.Iterator[bytes]
Fault = collections.abc.Callable[[bytes, bytes], Pieces]

# By name: what follows a request. Takes the head of the request and that of a
# sound response, which lacks its framing; silence follows the last piece.
faults: dict[str, Fault] = {}
# Those that send as fast as the instance reads.
floods: dict[str, Fault] = {}


def register(
    name: str, registry: dict[str, Fault] = faults
) -> collections.abc.Callable[[Fault], Fault]:
    """Add a fault to a registry."""

    def add(fault: Fault) -> Fault:
        registry[name] = fault
        return fault

    return add


def repeat(piece: bytes, pause_s: float) -> Pieces:
    """Yield a piece without end, with pauses."""
    while True:
        yield piece
        time.sleep(pause_s)


def event(number: int) -> bytes:
    """Return an event of a stream."""
    return f'id: {number}\ndata: x\n\n'.encode()


def chunk(data: bytes) -> bytes:
    """Return a chunk of a body."""
    return b'%x\r\n%b\r\n' % (len(data), data)


def begin_stream(request: bytes, head: bytes) -> Pieces:
    """Begin a chunked response, which for a stream has its next event."""
    yield head + b'Transfer-Encoding: chunked\r\n\r\n'
    yield chunk(event(last_event(request) + 1))


def last_event(request: bytes) -> int:
    """Return the number of the event after which a stream is resumed."""
    _, _, rest = request.lower().partition(b'last-event-id:')
    return int(rest.split(b'\r\n')[0] or 0)


@register('silent')
def _silent(request: bytes, head: bytes) -> Pieces:
    yield b''


@register('silent after the head')
def _silent_body(request: bytes, head: bytes) -> Pieces:
    yield head + b'Content-Length: 500\r\n\r\n'


@register('silent after the first event')
def _silent_stream(request: bytes, head: bytes) -> Pieces:
    yield from begin_stream(request, head)


@register('head of one byte at a time')
def _slow_head(request: bytes, head: bytes) -> Pieces:
    yield head + b'X-Slow: '
    yield from repeat(b'x', LONG_PAUSE_S)


@register('head without end')
def _endless_head(request: bytes, head: bytes) -> Pieces:
    yield head
    yield from repeat(b'X-More: 1\r\n', PAUSE_S)


@register('interim responses without end')
def _interim_responses(request: bytes, head: bytes) -> Pieces:
    yield from repeat(b'HTTP/1.1 100 Continue\r\n\r\n', PAUSE_S)


@register('body of one byte at a time')
def _slow_body(request: bytes, head: bytes) -> Pieces:
    yield head + b'Content-Length: 500\r\n\r\n'
    yield from repeat(b'x', LONG_PAUSE_S)


@register('body without end')
def _endless_body(request: bytes, head: bytes) -> Pieces:
    yield head + b'Transfer-Encoding: chunked\r\n\r\n'
    yield from repeat(chunk(b'x' * 100), PAUSE_S)


@register('comments without end')
def _endless_comments(request: bytes, head: bytes) -> Pieces:
    yield from begin_stream(request, head)
    yield from repeat(chunk(b': still here\n\n'), PAUSE_S)


@register('events without end')
def _endless_events(request: bytes, head: bytes) -> Pieces:
    yield from begin_stream(request, head)
    number = last_event(request) + 1
    while True:
        time.sleep(PAUSE_S)
        number += 1
        yield chunk(event(number))


@register('slow failure')
def _slow_failure(request: bytes, head: bytes) -> Pieces:
    yield head.replace(b'200 OK', b'500 Failed')
    yield b'Content-Length: 500\r\n\r\n'
    yield from repeat(b'x', LONG_PAUSE_S)


def flood(piece: bytes) -> Pieces:
    """Yield a piece up to a total size."""
    for _ in range(MAX_FLOOD_BYTES // len(piece)):
        yield piece


@register('flood in a head', floods)
def _flood_head(request: bytes, head: bytes) -> Pieces:
    yield head
    yield from flood(b'X-More: 1\r\n' * 5000)


@register('flood of interim responses', floods)
def _flood_interim(request: bytes, head: bytes) -> Pieces:
    yield from flood(b'HTTP/1.1 100 Continue\r\n\r\n' * 2000)


@register('flood until the close', floods)
def _flood_body(request: bytes, head: bytes) -> Pieces:
    yield head + b'\r\n'
    yield from flood(b'x' * FLOOD_BYTES)


@register('flood of chunks', floods)
def _flood_chunks(request: bytes, head: bytes) -> Pieces:
    yield head + b'Transfer-Encoding: chunked\r\n\r\n'
    yield from flood(chunk(b'x' * FLOOD_BYTES))


@register('flood of a declared length', floods)
def _flood_length(request: bytes, head: bytes) -> Pieces:
    yield head + b'Content-Length: 99999999999\r\n\r\n'
    yield from flood(b'x' * FLOOD_BYTES)


@register('large body', floods)
def _large_body(request: bytes, head: bytes) -> Pieces:
    yield head + b'Content-Length: %d\r\n\r\n' % LARGE_BODY_BYTES
    yield b'x' * LARGE_BODY_BYTES


@register('flood in an event', floods)
def _flood_event(request: bytes, head: bytes) -> Pieces:
    yield from begin_stream(request, head)
    yield chunk(f'id: {last_event(request) + 2}\ndata: '.encode())
    yield from flood(chunk(b'x' * FLOOD_BYTES))


class EndlessUpstream:
    """Register as an upstream and answer each request with a fault."""

    def __init__(
        self,
        store: store_module.Store,
        name: str,
        service: str,
        model: str,
        fault: Fault,
        answers_reports: bool = True,
        reads_after_s: float = 0.0,
        spoils_reports: bool = False,
    ) -> None:
        self._fault = fault
        self._name = name
        self._answers_reports = answers_reports
        # Whether reports are answered with the fault.
        self._spoils_reports = spoils_reports
        # Pause before a body is read; infinite if it never is.
        self._reads_after_s = reads_after_s
        self._listener = listening.Listener(
            (serving.ADDRESS, serving.free_port()), self._serve
        )
        host, port = self._listener.address
        entry = {
            'service': service,
            'address': f'{host}:{port}',
            'zone': 'kl-bengkel',
            'version': outputs.FIRST_SOFTWARE,
            'slots': 32,
            'state': 'ready',
            'born': STARTED_AT_MS,
            'models': [{'name': model, 'version': 1, 'adapters': []}],
        }
        store.produce(
            store_module.UPSTREAMS_TOPIC, name, json.dumps(entry).encode()
        )

    def stop(self) -> None:
        """Stop listening."""
        self._listener.close()

    def _serve(self, connection: socket.socket) -> None:
        while request := _read_head(connection):
            is_report = request.startswith(b'GET /api/report')
            is_spoilt = self._spoils_reports or not is_report
            if self._answers_reports and not is_spoilt:
                connection.sendall(_report(self._name))
                continue
            self._wait_to_read(connection)
            if is_spoilt:
                for piece in self._fault(request, self._head(request)):
                    connection.sendall(piece)
            while connection.recv(READ_BYTES):
                pass
            return

    def _wait_to_read(self, connection: socket.socket) -> None:
        ends_at = time.monotonic() + self._reads_after_s
        while time.monotonic() < ends_at:
            if sockets.is_closed_by_peer(connection):
                return
            time.sleep(PAUSE_S)

    def _head(self, request: bytes) -> bytes:
        _, _, rest = request.partition(b'X-Request-Id: ')
        request_id = rest.split(b'\r\n')[0]
        return (
            b'HTTP/1.1 200 OK\r\n'
            b'Content-Type: text/event-stream\r\n'
            b'X-Request-Id: %b\r\n'
            b'X-Server-Seal: seal.%b.1\r\n' % (request_id, self._name.encode())
        )


def _read_head(connection: socket.socket) -> bytes:
    """Return the head of a request, empty if the connection has ended."""
    head = b''
    while not head.endswith(HEAD_END):
        byte = connection.recv(1)
        if not byte:
            return b''
        head += byte
    return head


def _report(name: str) -> bytes:
    body: dict[str, typing.Any] = {
        'stage': 'both',
        'born': STARTED_AT_MS,
        'models': [],
        'busy': False,
        'sequence': 0,
        'queued': 0,
        'running': 0,
    }
    data = json.dumps(body).encode()
    return b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b' % (
        len(data),
        data,
    )
