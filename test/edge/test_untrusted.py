"""Test each bound on what clients make a server hold."""

import collections.abc
import contextlib
import socket
import threading
import time
import unittest

from baobabpond.edge import body_memory
from baobabpond.edge import client_limits
from baobabpond.edge import http_exchange
from baobabpond.edge import lingering
from baobabpond.edge import server
from baobabpond import metrics
from baobabpond.ports import catalogue
from standins.emulator import serving
from test.edge import test_unread_bodies as wire

WAIT_S = 10.0
HEADER_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 2.0
GRACE_S = 1.0
# Below the header timeout, so that the connection is never silent for long.
DRIP_S = 0.1
LARGE_BYTES = 8_000_000
THREADS = 4
REQUEST = b'GET /200 HTTP/1.1\r\nHost: a\r\n\r\n'


class ServerTestCase(unittest.TestCase):
    """Run a server with low limits."""

    LIMITS = client_limits.DEFAULTS._replace(
        connections=20,
        slow_client_grace_s=GRACE_S,
        min_client_bytes_per_s=1000.0,
        header_lines=50,
        socket_buffer_bytes=16384,
    )

    def setUp(self) -> None:
        """Start the server."""
        self.metrics = metrics.Metrics()
        self.goes_on = threading.Event()
        self.memory = body_memory.BodyMemory(
            'requests', 1_000_000, self.metrics, 0.5, 100_000.0
        )
        self.server = server.Server(
            (serving.ADDRESS, serving.free_port()),
            self.handle,
            THREADS,
            self.metrics,
            catalogue.Limits(
                header_timeout_s=HEADER_TIMEOUT_S,
                idle_timeout_s=IDLE_TIMEOUT_S,
            ),
            self.memory,
            self.LIMITS,
        )
        self.server.start_thread('test')
        self.addCleanup(self.server.stop)
        self.addCleanup(self.goes_on.set)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Answer as the path demands."""
        try:
            body = exchange.read_body()
        except http_exchange.BodyError as error:
            exchange.send_response(error.status, 'Refused', [], b'')
            return
        if exchange.target == '/large':
            body = b'r' * LARGE_BYTES
        elif exchange.target == '/held':
            self.goes_on.wait(WAIT_S)
        exchange.send_response(200, 'OK', [], body or b'answer')

    def connect(
        self, data: bytes = b'', source: str = serving.ADDRESS
    ) -> socket.socket:
        """Open a connection and send some bytes."""
        sock = socket.create_connection(
            self.server.bind_addr, WAIT_S, (source, 0)
        )
        self.addCleanup(sock.close)
        sock.sendall(data)
        return sock

    def assert_served(self) -> None:
        """An ordinary request is answered."""
        self.assertEqual(200, wire.read_response(self.connect(REQUEST)).status)

    def drip(self, sock: socket.socket, piece: bytes) -> bytes:
        """Send a piece now and then until the server answers or closes."""
        ends_at = time.monotonic() + WAIT_S
        with contextlib.suppress(OSError):
            while time.monotonic() < ends_at:
                sock.settimeout(DRIP_S)
                with contextlib.suppress(TimeoutError):
                    return sock.recv(65536)
                sock.sendall(piece)
        return b''

    def wait_for_counter(self, name: str, count: int = 1) -> None:
        """Wait until a counter has been reached."""
        self.wait_for(lambda: self.metrics.counter(name) >= count)

    def wait_for(self, condition: collections.abc.Callable[[], bool]) -> None:
        """Wait until a condition holds."""
        ends_at = time.monotonic() + WAIT_S
        while not condition():
            self.assertLess(time.monotonic(), ends_at)
            time.sleep(0.01)


class HeadTest(ServerTestCase):
    """Heads that are slow, long, invalid or endless."""

    def test_slow_head(self) -> None:
        """It gets 408, however its bytes are spread."""
        answer = self.drip(self.connect(REQUEST[:20]), b'a')
        self.assertIn(b' 408 ', answer)
        self.assertEqual(1, self.metrics.counter('edge.clients.head_time'))

    def test_slow_heads_hold_no_threads(self) -> None:
        """More of them than threads leave all threads to others."""
        for _ in range(2 * THREADS):
            self.connect(REQUEST[:20])
        self.assert_served()

    def test_head_in_two_parts(self) -> None:
        """It may be split anywhere."""
        for position in range(1, len(REQUEST)):
            sock = self.connect(REQUEST[:position])
            time.sleep(0.005)
            sock.sendall(REQUEST[position:])
            self.assertEqual(200, wire.read_response(sock).status)

    def test_connection_without_a_request(self) -> None:
        """It is closed without an answer after the idle time-out."""
        self.assertEqual(b'', self.connect().recv(1))

    def test_connection_that_is_used_again(self) -> None:
        """It stays open for longer than a head may take."""
        sock = self.connect(REQUEST)
        wire.read_response(sock)
        time.sleep(HEADER_TIMEOUT_S + 0.3)
        sock.sendall(REQUEST)
        self.assertEqual(200, wire.read_response(sock).status)

    def test_many_header_lines(self) -> None:
        """Too many of them get 431, though their bytes are few."""
        head = REQUEST[:-2]
        few = head + b'A: b\r\n' * 40 + b'\r\n'
        many = head + b'A: b\r\n' * 60 + b'\r\n'
        self.assertEqual(200, wire.read_response(self.connect(few)).status)
        self.assertEqual(431, wire.read_response(self.connect(many)).status)
        self.assertEqual(1, self.metrics.counter('edge.clients.header_lines'))

    def test_large_heads(self) -> None:
        """Long lines and many bytes get 414 and 431 before their end."""
        line = self.connect(b'GET /' + b'a' * 20_000)
        self.assertEqual(414, wire.read_response(line).status)
        headers = self.connect(REQUEST[:-2] + b'A: ' + b'b' * 20_000)
        self.assertEqual(431, wire.read_response(headers).status)

    def test_invalid_heads(self) -> None:
        """They get 400 at once."""
        for head in (
            b'GET /200 HTTP/1.1\n',
            b'\r\n\r\n',
            b'nonsense\r\n\r\n',
            b'GET /200 HTTP/1.1\r\n folded\r\n\r\n',
            REQUEST[:-2] + b'Content-Length: -1\r\n\r\n',
            REQUEST[:-2] + b'Content-Length: +1\r\n\r\n',
            REQUEST[:-2] + b'Content-Length: 1_0\r\n\r\n',
        ):
            with self.subTest(head=head):
                response = wire.read_response(self.connect(head))
                self.assertEqual(400, response.status)

    def test_pipelined_requests(self) -> None:
        """They are answered one after the other."""
        sock = self.connect(REQUEST * 50)
        data = b''
        while data.count(b'answer') < 50:
            part = sock.recv(65536)
            self.assertTrue(part)
            data += part


class HeadMemoryTest(ServerTestCase):
    """Heads that are not whole, together."""

    LIMITS = ServerTestCase.LIMITS._replace(head_memory_bytes=20_000)

    def test_oldest_heads_make_room(self) -> None:
        """The sum of their bytes is bounded."""
        first = self.connect(REQUEST[:-2] + b'A: ' + b'b' * 15_000)
        self.wait_for(lambda: self.server.connections.open_connections == 1)
        self.connect(REQUEST[:-2] + b'A: ' + b'b' * 15_000)
        self.wait_for_counter('edge.clients.head_memory')
        self.assertEqual(b'', self.drip(first, b''))
        self.assert_served()


class ConnectionsTest(ServerTestCase):
    """More connections than there may be."""

    def test_number_is_bounded(self) -> None:
        """The oldest idle ones are closed; new ones are served."""
        for _ in range(3 * self.LIMITS.connections):
            self.connect()
        self.wait_for_counter('edge.clients.connections', 40)
        self.assertLessEqual(
            self.server.connections.open_connections, self.LIMITS.connections
        )
        self.assert_served()

    def test_address_with_most_connections_loses_them(self) -> None:
        """An older one of another address stays open."""
        other = self.connect(source='127.0.0.2')
        for _ in range(2 * self.LIMITS.connections):
            self.connect()
        self.wait_for_counter('edge.clients.connections', 20)
        other.sendall(REQUEST)
        self.assertEqual(200, wire.read_response(other).status)


class QueueTest(ServerTestCase):
    """More requests than threads."""

    LIMITS = ServerTestCase.LIMITS._replace(queued_requests=2)

    def test_queue_is_bounded(self) -> None:
        """What does not fit gets 503 with Retry-After."""
        held = REQUEST.replace(b'/200', b'/held')
        socks = []
        # One by one, as threads may be slow to take them from the queue.
        for number in range(THREADS):
            socks.append(self.connect(held))
            self.wait_for(
                lambda held=number + 1: self.server.in_flight == held
            )
        for number in range(2):
            socks.append(self.connect(held))
            self.wait_for(
                lambda queued=number + 1: self.server.requests.qsize == queued
            )
        refused = wire.read_response(self.connect(held))
        self.assertEqual(503, refused.status)
        self.assertIn(b'Retry-After', refused.head)
        self.goes_on.set()
        for sock in socks:
            self.assertEqual(200, wire.read_response(sock).status)


class SlowClientsTest(ServerTestCase):
    """Bodies that arrive slowly, and responses that are read slowly."""

    HEAD = b'POST /200 HTTP/1.1\r\nHost: a\r\n'

    def test_slow_body(self) -> None:
        """It gets 408, however its bytes are spread."""
        for framing, piece in (
            (b'Content-Length: 30000\r\n\r\n', b'a'),
            (b'Transfer-Encoding: chunked\r\n\r\n', b'1\r\na\r\n'),
        ):
            with self.subTest(piece=piece):
                answer = self.drip(self.connect(self.HEAD + framing), piece)
                self.assertIn(b' 408 ', answer)
        self.assertEqual(2, self.metrics.counter('edge.clients.slow_body'))

    def test_body_above_the_lowest_rate(self) -> None:
        """It may take longer than the grace."""
        sock = self.connect(self.HEAD + b'Content-Length: 6000\r\n\r\n')
        for _ in range(20):
            sock.sendall(b'a' * 300)
            time.sleep(DRIP_S)
        self.assertEqual(200, wire.read_response(sock).status)

    def test_slow_bodies_leave_threads(self) -> None:
        """Others are served while more arrive slowly than threads."""
        for _ in range(2 * THREADS):
            self.connect(self.HEAD + b'Content-Length: 30000\r\n\r\n')
        self.assert_served()
        self.assertLessEqual(self.server.slow_clients.count, THREADS // 2)
        self.wait_for_counter('edge.clients.slow_body_slots')

    def test_unread_response(self) -> None:
        """The connection is closed, and the thread is free again."""
        request = REQUEST.replace(b'/200', b'/large')
        for _ in range(2 * THREADS):
            self.connect(request)
        self.wait_for_counter('edge.clients.slow_reader')
        self.assert_served()

    def test_slowly_read_response(self) -> None:
        """Reading below the lowest rate does not keep a thread."""
        sock = self.connect(REQUEST.replace(b'/200', b'/large'))
        ends_at = time.monotonic() + WAIT_S
        while not self.metrics.counter('edge.clients.slow_reader'):
            self.assertLess(time.monotonic(), ends_at)
            sock.recv(1)
            time.sleep(DRIP_S)

    def test_response_that_is_read(self) -> None:
        """It arrives as a whole through small buffers."""
        sock = self.connect(REQUEST.replace(b'/200', b'/large'))
        self.assertEqual(LARGE_BYTES, len(wire.read_response(sock).body))

    def test_buffers_of_the_system(self) -> None:
        """What it holds of a connection is bounded."""
        sizes = []

        def handle(exchange: http_exchange.Exchange) -> None:
            for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
                sizes.append(
                    exchange.socket.getsockopt(socket.SOL_SOCKET, option)
                )
            exchange.send_response(200, 'OK', [], b'')

        self.server._handler = handle
        self.assert_served()
        # Linux doubles the size that is set.
        self.assertEqual([2 * self.LIMITS.socket_buffer_bytes] * 2, sizes)


class SilentClientsTest(ServerTestCase):
    """Clients that stop in the middle."""

    LIMITS = ServerTestCase.LIMITS._replace(slow_client_grace_s=1000.0)

    def test_body_that_stops(self) -> None:
        """It gets 408 before the grace for slow ones has passed."""
        sock = self.connect(
            SlowClientsTest.HEAD + b'Content-Length: 30000\r\n\r\nabc'
        )
        self.assertEqual(408, wire.read_response(sock).status)


class LingeringTest(unittest.TestCase):
    """Connections that are closed after an early response."""

    def test_number_is_bounded(self) -> None:
        """Further ones are closed at once."""
        closer = lingering.LingeringCloser(2)
        pairs = [socket.socketpair() for _ in range(3)]
        for closing, caller in pairs:
            self.addCleanup(caller.close)
            closer.close(closing)
        self.assertEqual(
            [False, False, True],
            [closing.fileno() == -1 for closing, _ in pairs],
        )


class BodyMemoryTest(ServerTestCase):
    """Clients that hold memory for bodies."""

    LIMITS = ServerTestCase.LIMITS._replace(slow_client_grace_s=WAIT_S)

    def test_slow_body_makes_room(self) -> None:
        """A body that holds all the memory does not keep it."""
        head = SlowClientsTest.HEAD + b'Content-Length: %d\r\n\r\n'
        slow = self.connect(head % 900_000)
        thread = threading.Thread(
            target=self.drip, args=(slow, b'a' * 10), daemon=True
        )
        thread.start()
        body = b'b' * 300_000
        ends_at = time.monotonic() + WAIT_S
        status = 0
        while status != 200 and time.monotonic() < ends_at:
            request = head % len(body) + body
            status = wire.read_response(self.connect(request)).status
            time.sleep(0.1)
        self.assertEqual(200, status)

    def test_part_is_kept_for_other_addresses(self) -> None:
        """One address gets only its share while others ask."""
        hostile = [
            self.memory.reservation('10.0.0.1'),
            self.memory.reservation('10.0.0.1'),
        ]
        ordinary = self.memory.reservation('10.0.0.2')
        self.assertTrue(ordinary.try_add(100_000))
        ordinary.release()
        self.assertTrue(hostile[0].try_add(200_000))
        self.assertFalse(hostile[1].try_add(200_000))
        self.assertTrue(ordinary.try_add(200_000))

    def test_all_memory_is_for_one_address_alone(self) -> None:
        """Callers of a deployment may all share one address."""
        both = [self.memory.reservation('10.0.0.1') for _ in range(2)]
        for reservation in both:
            self.assertTrue(reservation.try_add(240_000))
