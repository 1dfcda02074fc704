"""Test streams that break off and can't go on."""

import socket

from standins.emulator import deployment as deployment_module
from test.emulator import base

TIMEOUT_S = 6.0
EVENTS_BEFORE_CUT = 3
LAST_CHUNK = b'0\r\n\r\n'


class BrokenStreamsTest(base.DeploymentTestCase):
    """Neither an error nor an end appears within a stream that began."""

    INSTANCES = 1

    def read_raw(self, request_id: str) -> bytes:
        """Return all bytes that the connection of a stream brings."""
        host, port = self.deployment.addresses()[0].rsplit(':', 1)
        head = (
            f'POST {deployment_module.STREAMS} HTTP/1.1',
            f'Host: {deployment_module.HOST}',
            f'X-Request-Id: {request_id}',
            f'X-Stream: {request_id}',
            f'X-Model: {deployment_module.MODEL}',
            'X-Deadline-Ms: 5000',
            'Content-Length: 1',
        )
        data = b''
        with socket.create_connection((host, int(port)), TIMEOUT_S) as sock:
            sock.sendall('\r\n'.join((*head, '', 'x')).encode())
            while chunk := sock.recv(65536):
                data += chunk
        return data

    def check(self, fault: str) -> None:
        """Break a stream off; let all upstreams fail its resumption."""
        for sampler in self.deployment.samplers:
            sampler.cut_after_events = EVENTS_BEFORE_CUT
            sampler.resumption_fault = fault
        data = self.read_raw('broken-stream')
        self.assertTrue(data.startswith(b'HTTP/1.1 200'), data[:100])
        self.assertEqual(1, data.count(b'HTTP/1.1'), data)
        self.assertIn(b'id: 1\n', data)
        self.assertNotIn(b'failed', data)
        self.assertNotIn(b'verdict', data)
        self.assertFalse(data.endswith(LAST_CHUNK), data)

    def test_server_error_does_not_enter_the_stream(self) -> None:
        """The next upstreams fail with a body."""
        self.check('failed')

    def test_client_error_does_not_enter_the_stream(self) -> None:
        """The next upstreams reject the request with a body."""
        self.check('rejected')

    def test_unmarked_response_does_not_enter_the_stream(self) -> None:
        """The next upstreams answer with success, but without a signature."""
        self.check('unmarked')

    def test_head_alone_does_not_end_the_stream(self) -> None:
        """The next upstreams send a head and close."""
        self.check('head_only')
