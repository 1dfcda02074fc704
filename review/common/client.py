"""A client that keeps its channel and frames requests as HTTP/1.1 allows."""

import contextlib
import json
import select
import socket
import time
import typing

READ_BYTES = 65536
CONNECT_TIMEOUT_S = 1.0
RESOLVE_TIMEOUT_S = 1.0


class Answer(typing.NamedTuple):
    """The status line, headers and body of an answer."""

    status: int
    headers: dict[str, str]
    body: bytes


class ChannelEnded(Exception):
    """Raised when the channel ends before an answer is whole."""


class Channel:
    """A kept channel to one address; requests go one after another."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        self.address = address
        self._sock = socket.create_connection(
            (host, int(port)), CONNECT_TIMEOUT_S
        )
        self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._received = b''

    def close(self) -> None:
        """Close the channel."""
        with contextlib.suppress(OSError):
            self._sock.close()

    def has_input(self) -> bool:
        """Return whether the channel has ended or has unread bytes."""
        return bool(
            self._received or select.select([self._sock], [], [], 0)[0]
        )

    def send(self, data: bytes) -> None:
        """Send bytes; raise ChannelEnded."""
        try:
            self._sock.sendall(data)
        except OSError as error:
            raise ChannelEnded(repr(error)) from error

    def read_answer(self, ends_at: float) -> Answer:
        """Read the next answer; raise TimeoutError or ChannelEnded."""
        while b'\r\n\r\n' not in self._received:
            self._receive(ends_at)
        head, _, self._received = self._received.partition(b'\r\n\r\n')
        first, *lines = head.decode('latin-1').split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(':')
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get('content-length', '0'))
        while len(self._received) < length:
            self._receive(ends_at)
        body = self._received[:length]
        self._received = self._received[length:]
        return Answer(int(first.split(' ')[1]), headers, body)

    def _receive(self, ends_at: float) -> None:
        remaining_s = ends_at - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError
        self._sock.settimeout(remaining_s)
        try:
            data = self._sock.recv(READ_BYTES)
        except TimeoutError:
            raise
        except OSError as error:
            raise ChannelEnded(repr(error)) from error
        if not data:
            raise ChannelEnded('end of the channel')
        self._received += data


def head(
    method: str, target: str, host: str, fields: dict[str, str]
) -> bytes:
    """Return a request line and headers, without the empty line."""
    lines = [f'{method} {target} HTTP/1.1', f'Host: {host}']
    lines += [f'{name}: {value}' for name, value in fields.items()]
    return '\r\n'.join(lines).encode() + b'\r\n'


def with_length(start: bytes, body: bytes) -> bytes:
    """Return a request whose body has a length."""
    return start + b'Content-Length: %d\r\n\r\n' % len(body) + body


def chunks(body: bytes) -> bytes:
    """Return a body as one chunk and the end of the chunks."""
    return b'%x\r\n' % len(body) + body + b'\r\n0\r\n\r\n'


def in_chunks(start: bytes, body: bytes) -> bytes:
    """Return a request whose body is sent in chunks."""
    return start + b'Transfer-Encoding: chunked\r\n\r\n' + chunks(body)


def resolve(directories: list[str], host: str) -> list[str]:
    """Ask up to three machines which addresses to use."""
    for directory in directories[:3]:
        with contextlib.suppress(OSError, ChannelEnded, ValueError):
            channel = Channel(directory)
            try:
                channel.send(
                    head(
                        'GET',
                        f'/api/resolve?name={host}'
                        '&region=semenanjung&zone=kl-bengkel',
                        host,
                        {},
                    )
                    + b'\r\n'
                )
                answer = channel.read_answer(
                    time.monotonic() + RESOLVE_TIMEOUT_S
                )
            finally:
                channel.close()
            if answer.status == 200:
                return json.loads(answer.body)['addresses']
    return []
