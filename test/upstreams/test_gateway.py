"""Test the only way by which requests reach upstreams."""

import pathlib
import re
import time
import types
import unittest
from unittest import mock

from baobabpond.catalogue import directory as directory_module
from baobabpond.ports import upstreams as upstream_port
from baobabpond.ratelimits import bucket as bucket_module
from baobabpond.upstreams import connections
from baobabpond.upstreams import gateway as gateway_module
from test.ratelimits import examples

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
CALLER = bucket_module.caller_urgency(0)
REQUEST = gateway_module.Outgoing('r', 'POST', '/a', [], b'x')
REPORT = gateway_module.Outgoing('', 'GET', '/report', [], None)


class GatewayTestCase(unittest.TestCase):
    """Send to one upstream whose response is given."""

    def setUp(self) -> None:
        """Create a gateway of an instance that issues permits."""
        self.instance = examples.Instance(examples.OWNER)
        self.entry = examples.entry()
        self.head = upstream_port.ResponseHead(False, False, 'r', None, 0, 's')
        protocol = mock.create_autospec(
            upstream_port.UpstreamProtocol, instance=True
        )
        protocol.report_target = '/report'
        self.protocol = protocol
        protocol.parse_response_head.side_effect = lambda status, headers: (
            self.head
        )
        self.directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        self.gateway = gateway_module.Gateway(
            protocol,
            self.directory,
            self.instance.tracker,
            self.instance.permits,
        )
        self.connection = mock.create_autospec(
            connections.Connection, instance=True, is_new=False
        )
        self.connection.exchange.return_value = types.SimpleNamespace(
            status=200, headers={}
        )

    def send(
        self, outgoing: gateway_module.Outgoing = REQUEST, **head: object
    ) -> None:
        """Obtain a permit and send a request."""
        self.head = self.head._replace(**head)
        permit = self.instance.permits.obtain(self.entry, CALLER)
        self.gateway.exchange(
            self.connection, self.entry, permit, outgoing, 1.0
        )

    @property
    def limit(self) -> float | None:
        """Return the limit that is known."""
        return self.instance.tracker.limit_of(self.entry.incarnation)


class GatewayTest(GatewayTestCase):
    """Learn from responses, and send only what may be sent."""

    def test_limit_is_learned_from_any_response(self) -> None:
        """It ends with a signed one, or a report, that states none."""
        for ending in (REQUEST, REPORT):
            self.send(request_limit=100.0)
            self.assertEqual(100.0, self.limit)
            self.send(request_limit=None, signature='')
            self.assertEqual(100.0, self.limit)
            signature = 's' if ending.id else ''
            self.send(ending, request_id=ending.id, signature=signature)
            self.assertIsNone(self.limit)
            self.head = self.head._replace(request_id='r', signature='s')

    def test_response_to_another_request_teaches_nothing(self) -> None:
        """It may be an old one."""
        self.send(request_limit=2.0, request_id='other')
        self.assertIsNone(self.limit)

    def test_nothing_is_sent_without_a_valid_permit(self) -> None:
        """The limit may have become known while the connection was made."""
        permit = self.instance.permits.obtain(self.entry, CALLER)
        self.instance.state_limit(1.0, stated_at=time.monotonic())
        with self.assertRaises(gateway_module.NoPermit):
            self.gateway.exchange(
                self.connection, self.entry, permit, REQUEST, 1.0
            )
        self.connection.exchange.assert_not_called()

    def test_nothing_is_sent_to_an_upstream_that_leaves(self) -> None:
        """It was chosen before that was known."""
        self.directory.accepts_requests.return_value = False
        with self.assertRaises(connections.ConnectionFailed):
            self.send()
        self.connection.exchange.assert_not_called()

    def test_no_other_module_sends_to_upstreams(self) -> None:
        """A limiter that one sender passes by is none."""
        senders = [
            path.name
            for path in (ROOT / 'baobabpond').rglob('*.py')
            if re.search(
                r'(?<!gateway)\.exchange\(', path.read_text(encoding='utf-8')
            )
        ]
        self.assertEqual(['gateway.py'], senders)


class IncarnationTest(GatewayTestCase):
    """Send requests whose response must come from the registered process."""

    def setUp(self) -> None:
        """Let the upstream report when it started."""
        super().setUp()
        self.born = self.entry.born
        self.connection.born = None
        self.connection.is_reusable_after.return_value = True
        self.connection.iter_body.return_value = [b'']
        self.protocol.report.side_effect = lambda body: upstream_port.Report(
            {}, False, 0, 0, 0, self.born
        )
        self.outgoing = REQUEST._replace(is_for_incarnation=True)

    def sent(self) -> list[str]:
        """Return the methods of the requests that were sent."""
        return [call.args[0] for call in self.connection.exchange.mock_calls]

    def test_report_is_asked_for_once_for_a_connection(self) -> None:
        """A connection can't lead to another process later."""
        self.send(self.outgoing)
        self.send(self.outgoing)
        self.assertEqual(['GET', 'POST', 'POST'], self.sent())

    def test_nothing_is_sent_to_another_incarnation(self) -> None:
        """It may have another software version."""
        self.born += 1
        with self.assertRaises(connections.ConnectionFailed):
            self.send(self.outgoing)
        self.assertEqual(['GET'], self.sent())

    def test_nothing_is_sent_without_a_report(self) -> None:
        """The request has not run then."""
        self.protocol.report.side_effect = ValueError('garbled')
        with self.assertRaises(gateway_module.NotVerified):
            self.send(self.outgoing)
        self.assertEqual(['GET'], self.sent())

    def test_report_counts_for_the_next_connection_for_a_moment(self) -> None:
        """The upstream closes its connections after each response."""
        self.connection.is_reusable_after.return_value = False
        self.send(self.outgoing)
        self.assertEqual(['GET', 'POST'], self.sent())
        self.connection.connect.assert_called_once_with()

    def test_old_report_does_not_count_for_the_next_connection(self) -> None:
        """The upstream may have been restarted meanwhile."""
        self.connection.is_reusable_after.return_value = False
        with (
            mock.patch.object(gateway_module, 'REPORT_VALID_S', -1.0),
            self.assertRaises(gateway_module.NotVerified),
        ):
            self.send(self.outgoing)
        self.assertEqual(['GET'], self.sent())

    def test_report_of_a_limited_upstream_takes_a_permit(self) -> None:
        """The permit of the request is for that alone."""
        self.instance.state_limit(100.0, stated_at=time.monotonic())
        self.send(self.outgoing)
        self.assertEqual(['GET', 'POST'], self.sent())

    def test_nothing_is_sent_without_a_permit_for_the_report(self) -> None:
        """A restart of the upstream would go unnoticed."""
        self.instance.state_limit(0.5, stated_at=time.monotonic())
        with self.assertRaises(gateway_module.NotVerified):
            self.send(self.outgoing)
        self.assertEqual([], self.sent())
