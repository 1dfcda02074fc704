"""Test the relay that simulates a network partition."""

import socket
import threading
import time
import unittest

from standins.emulator import serving
from standins import relay

ADDRESS = '127.0.0.1'
TIMEOUT_S = 5.0
# Time in which a forwarded message would have arrived.
SILENCE_S = 0.2
DELAY_S = 0.2


class RelayTest(unittest.TestCase):
    """Send messages through a relay to a server that echoes them."""

    def setUp(self) -> None:
        """Start the server, the relay and a connection."""
        self.server = socket.create_server((ADDRESS, 0))
        self.addCleanup(self.server.close)
        threading.Thread(target=self.echo, daemon=True).start()
        self.relay = relay.Relay(
            ADDRESS, serving.free_port(), self.server.getsockname()
        )
        self.addCleanup(self.relay.close)
        self.client = self.connect()

    def echo(self) -> None:
        """Echo what arrives on one connection after another."""
        while True:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            threading.Thread(
                target=self.echo_connection, args=(connection,), daemon=True
            ).start()

    def echo_connection(self, connection: socket.socket) -> None:
        """Echo what arrives on a connection until it is closed."""
        with connection:
            while data := connection.recv(100):
                connection.sendall(data)

    def connect(self) -> socket.socket:
        """Return a new connection to the relay."""
        port = int(self.relay.url.rpartition(':')[2])
        client = socket.create_connection((ADDRESS, port), TIMEOUT_S)
        self.addCleanup(client.close)
        return client

    def assert_echoed(self, client: socket.socket, message: bytes) -> None:
        """Check that a message that was sent comes back."""
        client.settimeout(TIMEOUT_S)
        self.assertEqual(message, client.recv(100))

    def assert_silent(self, client: socket.socket) -> None:
        """Check that nothing arrives and the connection stays open."""
        client.settimeout(SILENCE_S)
        with self.assertRaises(TimeoutError):
            client.recv(100)

    def test_held_messages_arrive_once_the_link_is_restored(self) -> None:
        """Connections stay open, and new ones are accepted."""
        self.client.sendall(b'a')
        self.assert_echoed(self.client, b'a')
        self.relay.hold()
        later_client = self.connect()
        for client in (self.client, later_client):
            client.sendall(b'b')
        for client in (self.client, later_client):
            self.assert_silent(client)
        self.relay.restore()
        for client in (self.client, later_client):
            self.assert_echoed(client, b'b')

    def test_held_connections_are_closed_by_a_cut(self) -> None:
        """What was held is lost."""
        self.relay.hold()
        self.client.sendall(b'a')
        self.assert_silent(self.client)
        self.relay.cut()
        self.client.settimeout(TIMEOUT_S)
        self.assertEqual(b'', self.client.recv(100))

    def test_messages_are_delayed_in_each_direction(self) -> None:
        """A message and its echo take two delays."""
        self.relay.delay_s = DELAY_S
        started = time.monotonic()
        self.client.sendall(b'a')
        self.assert_echoed(self.client, b'a')
        self.assertGreaterEqual(time.monotonic() - started, 2 * DELAY_S)
