"""Test the bound on the memory for bodies."""

import socket
import threading
import time
import unittest

from baobabpond.edge import body_memory
from baobabpond.edge import http_exchange
from baobabpond.edge import server
from baobabpond import metrics
from baobabpond.ports import catalogue
from standins.emulator import deployment
from standins.emulator import serving
from test.edge import test_unread_bodies as wire

LIMIT_BYTES = 1_000_000
LARGE_BYTES = 400_000
SMALL_BYTES = 600
RELEASE_S = 0.2
WAIT_S = 5.0
USED_BYTES = 'edge.body_memory.requests.used_bytes'


class BodyMemoryTest(unittest.TestCase):
    """Reserve memory for several bodies."""

    def setUp(self) -> None:
        """Create an empty memory."""
        self.metrics = metrics.Metrics()
        self.memory = body_memory.BodyMemory(
            'requests', LIMIT_BYTES, self.metrics
        )

    def used_bytes(self) -> float:
        """Return the gauge of what is used."""
        gauges = self.metrics.snapshot()['gauges']
        return gauges[USED_BYTES]

    def test_large_bodies_share_the_limit(self) -> None:
        """What is released is free for others."""
        first, second = self.memory.reservation(), self.memory.reservation()
        self.assertTrue(first.try_add(LARGE_BYTES))
        self.assertFalse(second.try_add(LARGE_BYTES))
        first.release()
        self.assertTrue(self.memory.reservation().try_add(LARGE_BYTES))
        self.assertEqual(2 * LARGE_BYTES, self.used_bytes())

    def test_small_bodies_are_always_held(self) -> None:
        """They take up little."""
        self.assertTrue(self.memory.reservation().try_add(LIMIT_BYTES))
        for _ in range(100):
            self.assertTrue(self.memory.reservation().try_add(SMALL_BYTES))

    def test_body_beyond_the_limit(self) -> None:
        """It is held alone."""
        first, second = self.memory.reservation(), self.memory.reservation()
        self.assertTrue(first.try_add(LARGE_BYTES))
        self.assertFalse(second.try_add(2 * LIMIT_BYTES))
        first.release()
        self.assertTrue(self.memory.reservation().try_add(2 * LIMIT_BYTES))

    def test_body_that_grows(self) -> None:
        """Its parts count from the first one, copies included."""
        with self.memory.reservation() as growing:
            for _ in range(10):
                self.assertTrue(growing.try_add(SMALL_BYTES * 100))
            self.assertEqual(SMALL_BYTES * 2000, self.used_bytes())
            growing.shrink(SMALL_BYTES * 1000)
            self.assertEqual(SMALL_BYTES * 1000, self.used_bytes())
        self.assertEqual(0, self.used_bytes())

    def test_waiting_for_memory(self) -> None:
        """A response that has been made waits for others to leave."""
        first, second = self.memory.reservation(), self.memory.reservation()
        first.try_add(LARGE_BYTES)
        timer = threading.Timer(RELEASE_S, first.release)
        timer.start()
        self.assertTrue(second.try_add(LARGE_BYTES, timeout_s=WAIT_S))
        timer.join()

    def test_settings(self) -> None:
        """The share of the process's limit, unless a limit is set."""
        self.assertEqual(35.0, body_memory.limit_mb(200.0, None))
        self.assertEqual(7.0, body_memory.limit_mb(200.0, 7.0))
        self.assertEqual(
            body_memory.DEFAULT_MB, body_memory.limit_mb(0.0, None)
        )


class LargeBodiesTest(unittest.TestCase):
    """A server whose handler holds the body of a request."""

    def setUp(self) -> None:
        """Start the server."""
        self.goes_on = threading.Event()
        self.holds = threading.Event()
        self.metrics = metrics.Metrics()
        self.server = server.Server(
            (serving.ADDRESS, serving.free_port()),
            self.handle,
            4,
            metrics.Metrics(),
            catalogue.Limits(),
            body_memory.BodyMemory('requests', LIMIT_BYTES, self.metrics),
        )
        self.server.start_thread('test')
        self.addCleanup(self.server.stop)
        self.addCleanup(self.goes_on.set)

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Hold large bodies until the test goes on."""
        try:
            body = exchange.read_body()
        except http_exchange.BodyMemoryFull as error:
            exchange.send_response(error.status, 'Full', [], b'')
            return
        if len(body) > SMALL_BYTES:
            self.holds.set()
            self.goes_on.wait(WAIT_S)
        exchange.send_response(200, 'OK', [], b'%d' % len(body))

    def send(self, size: int, is_chunked: bool) -> socket.socket:
        """Send a request on a connection of its own."""
        sock = socket.create_connection(self.server.bind_addr, WAIT_S)
        self.addCleanup(sock.close)
        sock.sendall(wire.request('/200', b'b' * size, is_chunked))
        return sock

    def wait_until_released(self) -> None:
        """Wait until no body is held; the response precedes the release."""
        deployment.wait_for(
            lambda: (
                self.metrics.snapshot()['gauges'].get(USED_BYTES, 0.0) == 0.0
            ),
            WAIT_S,
        )

    def test_what_cannot_be_held_is_refused(self) -> None:
        """Small requests are served meanwhile, large ones afterwards.

        Guard against memory that is not given back after a request.
        """
        for is_chunked in (False, True):
            with self.subTest(is_chunked=is_chunked):
                self.goes_on.clear()
                self.holds.clear()
                self.wait_until_released()
                held = self.send(LARGE_BYTES, is_chunked)
                self.assertTrue(self.holds.wait(WAIT_S))
                started = time.monotonic()
                refused = wire.read_response(
                    self.send(LARGE_BYTES, is_chunked)
                )
                self.assertEqual(503, refused.status)
                small = wire.read_response(self.send(SMALL_BYTES, is_chunked))
                self.assertEqual(200, small.status)
                self.assertLess(time.monotonic() - started, wire.PROMPT_S)
                self.goes_on.set()
                self.assertEqual(200, wire.read_response(held).status)
                self.wait_until_released()
                again = wire.read_response(self.send(LARGE_BYTES, is_chunked))
                self.assertEqual(200, again.status)
