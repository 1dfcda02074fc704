"""Send almost valid requests to every HTTP listener of an instance.

Guards against input that makes a handler fail unexpectedly, leaves a
connection open, or ends the process. BAOBABPOND_FUZZ_EXAMPLES sets how many
inputs are sent to each listener, for longer runs by hand.
"""

import contextlib
import os
import socket
import time

import hypothesis

from standins.emulator import almost_http
from standins.emulator import deployment as deployment_module

from . import base

EXAMPLES = int(os.environ.get('BAOBABPOND_FUZZ_EXAMPLES', '150'))
SEED = 47
TIMEOUT_S = 20.0
# So that parts arrive one by one.
SPLIT_PAUSE_S = 0.001
# Invalid input, requests that are refused, and those that are served.
STATUSES = {
    100, 200, 202, 400, 401, 404, 405, 408, 413, 414, 422, 431, 501, 502, 503,
    504, 505,
}  # fmt: skip
REQUEST = (
    b'POST /orders/split HTTP/1.1\r\n'
    b'Host: ' + deployment_module.HOST.encode() + b'\r\n'
    b'X-Request-Id: split\r\nX-Deadline-Ms: 2000\r\nConnection: close\r\n'
    b'Transfer-Encoding: chunked\r\n\r\n'
    b'3;e=1\r\nabc\r\n0\r\nT: a\r\n\r\n'
)


def exchange(
    address: str, parts: list[bytes], is_whole: bool = False
) -> bytes:
    """Send parts, and return all that is answered until the end.

    Whole requests end their connections; after others the connection is
    closed for sending, which also ends requests that are being served.
    """
    host, port = address.rsplit(':', 1)
    data = b''
    with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with contextlib.suppress(OSError):
            for part in parts:
                sock.sendall(part)
                if len(parts) > 1:
                    time.sleep(SPLIT_PAUSE_S)
            if not is_whole:
                sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionError):
            while part := sock.recv(65536):
                data += part
    return data


class FuzzTest(base.DeploymentTestCase):
    """One instance, with all of its HTTP listeners."""

    INSTANCES = 1
    SAMPLERS = 1
    PLAIN_SERVICES = 1

    def setUp(self) -> None:
        """Start the deployment."""
        super().setUp()
        [self.instance] = self.deployment.instances

    def listeners(self) -> dict[str, str]:
        """Return the addresses of the listeners by name."""
        return {
            'callers': self.instance.address,
            'ready': self.instance.ready_address,
            'entries': self.instance.entries_address,
            'metrics': self.instance.metrics_address,
            'relay': self.instance.relay_address,
        }

    def check_instance(self) -> None:
        """The instance serves, and no handler has failed."""
        self.assertIsNone(self.instance.process.poll(), 'it has exited')
        self.send_lookups(1, 'after')
        counters = self.deployment.metrics(self.instance)['counters']
        self.assertEqual(0, counters.get('edge.unexpected_failures', 0))

    def test_almost_valid_requests(self) -> None:
        """Each gets responses with known statuses, and an end."""
        for name, address in self.listeners().items():
            with self.subTest(listener=name):
                self.fuzz(address)
        self.check_instance()

    def fuzz(self, address: str) -> None:
        """Send generated inputs to one listener."""

        @hypothesis.seed(SEED)
        @hypothesis.settings(
            max_examples=EXAMPLES,
            database=None,
            deadline=None,
            suppress_health_check=list(hypothesis.HealthCheck),
        )
        @hypothesis.given(almost_http.inputs())
        def check(item: almost_http.Input) -> None:
            answer = exchange(address, item.parts())
            if answer:
                self.assertTrue(answer.startswith(b'HTTP/1.1 '), answer)
                status = int(answer.split(b' ', 2)[1][:3])
                self.assertIn(status, STATUSES, answer)

        check()

    def test_request_split_at_each_position(self) -> None:
        """The answer is that of the whole request."""
        for name, address in self.listeners().items():
            whole = exchange(address, [REQUEST], True).split(b'\r\n')[0]
            self.assertIn(b'HTTP/1.1 ', whole)
            for position in range(1, len(REQUEST)):
                with self.subTest(listener=name, position=position):
                    parts = [REQUEST[:position], REQUEST[position:]]
                    answer = exchange(address, parts, True).split(b'\r\n')[0]
                    self.assertEqual(whole, answer)
        self.check_instance()
