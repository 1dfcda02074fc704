"""Test requests that reach their upstream through another instance."""

import threading
import time
import types
import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond.edge import disconnects
from baobabpond.edge import http_exchange
from baobabpond.edge import relay_handler
from baobabpond import metrics
from baobabpond.ports import platforms
from baobabpond.relaying import connection as connection_module
from baobabpond.relaying import wire
from baobabpond.upstreams import connections
from baobabpond.upstreams import gateway as gateway_module
from standins.emulator import builds
from standins.emulator import deployment
from standins.emulator import serving
from test.ratelimits import examples

HEADERS = [
    ('Host', 'pasak.example'),
    ('X-Request-Id', 'r'),
    ('X-Deadline-Ms', '900'),
    ('X-Target-Instance', 'u'),
]
TIMEOUT_S = 1.0
# An upstream learns within this time that the caller has left.
LEAVING_S = 0.5


class RelayTestCase(unittest.TestCase):
    """An instance that relays, and an upstream that it reaches."""

    def setUp(self) -> None:
        """Start both."""
        self.respond = lambda exchange: exchange.send_response(
            200, 'OK', [('X-Server-Seal', 's')], exchange.read_body()
        )
        self.requests: list[types.SimpleNamespace] = []
        self.upstream = serving.serve(self.handle_upstream)
        self.addCleanup(self.upstream.stop)
        host, port = self.upstream.bind_addr
        self.entry = examples.entry()._replace(host=host, port=port)
        self.directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        self.directory.entries.side_effect = lambda: [self.entry]
        self.directory.accepts_requests.return_value = True
        self.handler = self.make_handler()
        self.relay = serving.serve(self.handler.handle)
        self.addCleanup(self.relay.stop)
        self.is_avoided = mock.Mock()
        self.connection = self.connect()

    def make_handler(self) -> relay_handler.RelayHandler:
        """Return the handler of an instance with the product's own parts."""
        platforms.load('users_platform', builds.ROOT / 'platform')
        platform = platforms.platforms.get('users_platform')('127.0.0.1:1')
        self.instance = examples.Instance(examples.OWNER)
        watcher = disconnects.DisconnectWatcher()
        watcher.start()
        return relay_handler.RelayHandler(
            self.directory,
            gateway_module.Gateway(
                platform.upstreams,
                self.directory,
                self.instance.tracker,
                self.instance.permits,
            ),
            connections.ConnectionPool(metrics.Metrics()),
            self.instance.permits,
            watcher,
            metrics.Metrics(),
        )

    def connect(self) -> connection_module.RelayConnection:
        """Return a connection by way of the relaying instance."""
        connection = connection_module.RelayConnection(self.relay.bind_addr)
        connection.set_destination(self.entry, self.is_avoided)
        connection.announce('r', False)
        connection.connect()
        self.addCleanup(connection.close)
        return connection

    def handle_upstream(self, exchange: http_exchange.Exchange) -> None:
        """Record a request and respond as the test says."""
        self.requests.append(
            types.SimpleNamespace(
                method=exchange.method,
                target=exchange.target,
                headers=exchange.headers,
            )
        )
        self.respond(exchange)

    def send(self, body: bytes | None = b'body') -> bytes:
        """Send a request and return the whole body of the response."""
        response = self.connection.exchange(
            'POST', '/a?b=%20c', HEADERS, body, TIMEOUT_S
        )
        self.response = response
        return b''.join(self.connection.iter_body(response, TIMEOUT_S))


class RelayTest(RelayTestCase):
    """Nothing of a request or a response is lost or added."""

    def test_request_arrives_unchanged(self) -> None:
        """Method, target, body and headers are the caller's."""
        self.assertEqual(b'body', self.send())
        self.assertEqual('s', self.response.headers['X-Server-Seal'])
        request = self.requests[0]
        self.assertEqual('POST', request.method)
        self.assertEqual('/a?b=%20c', request.target)
        for name, value in HEADERS:
            self.assertEqual(value, request.headers[name])
        relay_headers = [
            name
            for name in request.headers
            if name.lower().startswith(wire.PREFIX)
        ]
        self.assertEqual([], relay_headers)

    def test_connection_serves_further_requests(self) -> None:
        """Both hops keep their connections."""
        self.send()
        self.assertTrue(self.connection.is_reusable_after(self.response))
        self.assertEqual(b'more', self.send(b'more'))

    def test_response_without_body(self) -> None:
        """Its status has none."""
        self.respond = lambda exchange: exchange.send_response(
            204, 'No Content', [('X-Server-Seal', 's')], b''
        )
        self.assertEqual(b'', self.send())
        self.assertEqual(204, self.response.status)

    def test_cut_response_does_not_look_whole(self) -> None:
        """The upstream broke it off."""

        def respond(exchange: http_exchange.Exchange) -> None:
            exchange.begin_stream(200, 'OK', [])
            exchange.write(b'part')
            serving.close_without_response(exchange)

        self.respond = respond
        with self.assertRaises(connections.ResponseFailed):
            self.send()

    def test_upstream_that_closes_may_have_run_the_request(self) -> None:
        """It got the request."""
        self.respond = serving.close_without_response
        with self.assertRaises(connections.ResponseFailed):
            self.send()
        self.is_avoided.assert_not_called()

    def test_upstream_out_of_reach_has_not_run_the_request(self) -> None:
        """The relaying instance can't connect to it."""
        self.upstream.stop()
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.is_avoided.assert_called_once_with()

    def test_slow_response_times_out(self) -> None:
        """As it does without a relay."""
        self.respond = lambda exchange: time.sleep(2 * TIMEOUT_S)
        with self.assertRaises(connections.ResponseTimedOut):
            self.send()

    def test_upstream_that_leaves_gets_nothing(self) -> None:
        """The relaying instance knows, the other does not yet."""
        self.directory.accepts_requests.return_value = False
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.assertEqual([], self.requests)

    def test_draining_instance_passes_nothing_on(self) -> None:
        """The instance that asked goes by way of another one."""
        self.handler.start_draining()
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.assertEqual([], self.requests)
        self.is_avoided.assert_called_once_with()

    def test_restarted_upstream_gets_nothing(self) -> None:
        """The relaying instance knows another incarnation."""
        self.entry = self.entry._replace(born=2)
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.assertEqual([], self.requests)

    def test_limited_upstream_gets_nothing_without_a_permit(self) -> None:
        """The instance that relays obtains the permit."""
        self.instance.tracker.apply(
            self.entry.incarnation,
            mock.Mock(limit=0.0, stated_at=time.monotonic(), source='x'),
        )
        with self.assertRaises(gateway_module.NoPermit):
            self.send()
        self.assertEqual([], self.requests)

    def test_events_arrive_one_by_one(self) -> None:
        """The second one waits until the first one was read."""
        first_read = threading.Event()

        def respond(exchange: http_exchange.Exchange) -> None:
            exchange.begin_stream(200, 'OK', [])
            exchange.write(b'one')
            if first_read.wait(TIMEOUT_S):
                exchange.write(b'two')

        self.respond = respond
        response = self.connection.exchange(
            'POST', '/', HEADERS, b'', TIMEOUT_S
        )
        chunks = self.connection.iter_body(response, TIMEOUT_S)
        self.assertEqual(b'one', next(chunks))
        first_read.set()
        self.assertEqual([b'two'], list(chunks))

    def test_upstream_learns_that_the_caller_has_left(self) -> None:
        """The instance that asked closes its connection."""
        left = threading.Event()

        def respond(exchange: http_exchange.Exchange) -> None:
            exchange.begin_stream(200, 'OK', [])
            exchange.write(b'one')
            exchange.socket.settimeout(TIMEOUT_S)
            if not exchange.socket.recv(1):
                left.set()

        self.respond = respond
        self.connection.exchange('POST', '/', HEADERS, b'', TIMEOUT_S)
        self.connection.abort()
        self.assertTrue(left.wait(LEAVING_S))

    def test_requests_beyond_the_bound_are_refused_at_once(self) -> None:
        """The relaying instance keeps room for its own callers."""
        release = threading.Event()
        self.respond = lambda exchange: release.wait(TIMEOUT_S)
        self.addCleanup(release.set)
        busy = [self.connect() for _ in range(relay_handler.MAX_RELAYED)]
        for connection in busy:
            threading.Thread(
                target=self.ignore_failure, args=(connection,), daemon=True
            ).start()
        deployment.wait_for(
            lambda: len(self.requests) == relay_handler.MAX_RELAYED
        )
        started_at = time.monotonic()
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.assertLess(time.monotonic() - started_at, LEAVING_S)
        self.is_avoided.assert_called_once_with()

    def ignore_failure(
        self, connection: connection_module.RelayConnection
    ) -> None:
        """Send a request whose outcome does not matter."""
        try:
            connection.exchange('POST', '/', HEADERS, b'', 2 * TIMEOUT_S)
        except connections.ResponseFailed:
            return
