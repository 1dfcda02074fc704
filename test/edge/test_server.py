"""Test what callers see of requests that fail within the server."""

import socket
import unittest

from baobabpond.edge import http_exchange
from baobabpond.edge import server
from standins.emulator import serving

TIMEOUT_S = 3.0


class FailingHandlerTest(unittest.TestCase):
    """The handler fails after it has begun a response."""

    def read(self, handler: server.Handler) -> bytes:
        """Send a request and return all bytes of the response."""
        http_server = serving.serve(handler)
        self.addCleanup(http_server.stop)
        data = b''
        with socket.create_connection(
            http_server.bind_addr, TIMEOUT_S
        ) as sock:
            sock.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            while chunk := sock.recv(65536):
                data += chunk
        return data

    def test_failure_within_a_stream_is_no_part_of_it(self) -> None:
        """The response stays without its end."""
        for error in (RuntimeError('secret'), OSError('secret')):

            def handle(exchange: http_exchange.Exchange) -> None:
                exchange.begin_stream(200, 'OK', [])
                exchange.write(b'part')
                raise error  # noqa: B023

            with self.subTest(error=error):
                data = self.read(handle)
                self.assertEqual(1, data.count(b'HTTP/1.1'))
                self.assertTrue(data.endswith(b'part\r\n'), data)
