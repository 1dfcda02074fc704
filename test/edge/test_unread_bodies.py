"""Test requests that are answered before their body has been read."""

import socket
import time
import typing
import unittest

from baobabpond.edge import http_exchange
from baobabpond.edge import server
from baobabpond import metrics
from baobabpond.ports import catalogue
from standins.emulator import serving

TIMEOUT_S = 5.0
# A thread that waits for a body waits for the whole header timeout.
PROMPT_S = 1.0
HEADER_TIMEOUT_S = 3.0
IDLE_TIMEOUT_S = 10.0
SMALL_BYTES = 600
LARGE_BYTES = 4_000_000
MAX_BODY_BYTES = 8_000_000
ANSWERS = {
    400: 'Bad Request',
    401: 'Unauthorized',
    404: 'Not Found',
    413: 'Content Too Large',
    429: 'Too Many Requests',
    503: 'Service Unavailable',
}


class Response(typing.NamedTuple):
    """A response as it arrived, up to the end of its connection."""

    head: bytes
    body: bytes

    @property
    def status(self) -> int:
        """Return the status."""
        return int(self.head.split(b' ')[1])


def request(path: str, body: bytes, is_chunked: bool) -> bytes:
    """Return the bytes of a request."""
    if is_chunked:
        framing = b'Transfer-Encoding: chunked'
        chunk = b'%x\r\n%s\r\n' % (len(body), body) if body else b''
        body = chunk + b'0\r\n\r\n'
    else:
        framing = b'Content-Length: %d' % len(body)
    return b'POST %s HTTP/1.1\r\nHost: a\r\n%s\r\n\r\n%s' % (
        path.encode(),
        framing,
        body,
    )


def read_response(sock: socket.socket) -> Response:
    """Read one response with a length."""
    data = b''
    while b'\r\n\r\n' not in data:
        chunk = sock.recv(65536)
        if not chunk:
            raise ConnectionError(f'the connection ended after {data!r}')
        data += chunk
    head, _, body = data.partition(b'\r\n\r\n')
    length = int(head.lower().split(b'content-length: ')[1].split(b'\r\n')[0])
    while len(body) < length:
        body += sock.recv(65536)
    return Response(head, body)


class UnreadBodyTest(unittest.TestCase):
    """A server with one thread answers without reading."""

    def setUp(self) -> None:
        """Start the server."""
        self.server = server.Server(
            (serving.ADDRESS, serving.free_port()),
            self.handle,
            1,
            metrics.Metrics(),
            catalogue.Limits(
                body_bytes=MAX_BODY_BYTES,
                header_timeout_s=HEADER_TIMEOUT_S,
                idle_timeout_s=IDLE_TIMEOUT_S,
            ),
        )
        self.server.start_thread('test')
        self.addCleanup(self.server.stop)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Answer with the status in the path; read the body for 200."""
        status = int(exchange.target.removeprefix('/'))
        body = b''
        if status == 200:
            try:
                body = exchange.read_body()
            except http_exchange.BodyError as error:
                status = error.status
        if status == 200:
            exchange.send_response(200, 'OK', [], b'%d' % len(body))
        else:
            exchange.send_response(status, ANSWERS[status], [], b'answer')

    def connect(self) -> socket.socket:
        """Open a connection that is closed after the test."""
        sock = socket.create_connection(self.server.bind_addr, TIMEOUT_S)
        self.addCleanup(sock.close)
        return sock

    def assert_thread_is_free(self) -> None:
        """Another caller is served at once."""
        started = time.monotonic()
        other = self.connect()
        other.sendall(request('/200', b'x', False))
        self.assertEqual(200, read_response(other).status)
        self.assertLess(time.monotonic() - started, PROMPT_S)
        other.close()

    def test_answer_arrives_and_the_connection_ends(self) -> None:
        """Nothing that follows is taken for a request."""
        for status in ANSWERS:
            for is_chunked in (False, True):
                for size in (SMALL_BYTES, LARGE_BYTES):
                    with self.subTest(
                        status=status, is_chunked=is_chunked, size=size
                    ):
                        self.check_answer(status, is_chunked, size)

    def check_answer(self, status: int, is_chunked: bool, size: int) -> None:
        """Send a request and another one behind it on the connection."""
        sock = self.connect()
        sock.sendall(request(f'/{status}', b'b' * size, is_chunked))
        response = read_response(sock)
        self.assertEqual(status, response.status)
        self.assertEqual(b'answer', response.body)
        self.assertIn(b'connection: close', response.head.lower())
        self.assertEqual(b'', sock.recv(1))

    def test_body_that_never_comes(self) -> None:
        """No thread waits for it."""
        for is_chunked in (False, True):
            with self.subTest(is_chunked=is_chunked):
                sock = self.connect()
                whole = request('/404', b'b' * SMALL_BYTES, is_chunked)
                sock.sendall(whole[: whole.index(b'\r\n\r\n') + 20])
                self.assertEqual(404, read_response(sock).status)
                self.assert_thread_is_free()

    def test_body_that_comes_slowly(self) -> None:
        """The answer does not wait for it, and is not lost."""
        sock = self.connect()
        head, _, body = request('/503', b'b' * SMALL_BYTES, False).partition(
            b'\r\n\r\n'
        )
        sock.sendall(head + b'\r\n\r\n')
        for start in range(0, 60, 10):
            sock.sendall(body[start : start + 10])
            time.sleep(0.05)
        self.assert_thread_is_free()
        self.assertEqual(503, read_response(sock).status)

    def test_body_over_the_limit(self) -> None:
        """The answer is not lost while the body still comes."""
        for is_chunked in (False, True):
            with self.subTest(is_chunked=is_chunked):
                sock = self.connect()
                body = b'b' * (MAX_BODY_BYTES + 1)
                sock.sendall(request('/200', body, is_chunked))
                self.assertEqual(413, read_response(sock).status)
                self.assert_thread_is_free()

    def test_read_bodies_keep_the_connection(self) -> None:
        """The next request on it gets its own answer."""
        sock = self.connect()
        for size in (SMALL_BYTES, 0, LARGE_BYTES, SMALL_BYTES):
            for is_chunked in (True, False):
                with self.subTest(is_chunked=is_chunked, size=size):
                    sock.sendall(request('/200', b'b' * size, is_chunked))
                    response = read_response(sock)
                    self.assertEqual(200, response.status)
                    self.assertEqual(b'%d' % size, response.body)

    def test_thread_is_free_after_a_body_in_chunks(self) -> None:
        """Nothing of it is left that looks like the next request."""
        sock = self.connect()
        sock.sendall(request('/200', b'b' * SMALL_BYTES, True))
        self.assertEqual(200, read_response(sock).status)
        self.assert_thread_is_free()

    def test_idle_connection_after_a_body_in_chunks(self) -> None:
        """It stays open for longer than headers may take to arrive."""
        sock = self.connect()
        sock.sendall(request('/200', b'b' * SMALL_BYTES, True))
        self.assertEqual(200, read_response(sock).status)
        time.sleep(HEADER_TIMEOUT_S + 0.5)
        sock.sendall(request('/200', b'b' * SMALL_BYTES, False))
        self.assertEqual(200, read_response(sock).status)
