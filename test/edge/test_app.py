"""Test which requests are refused before they are forwarded."""

import time
import unittest
from unittest import mock

from baobabpond.catalogue import current as current_module
from baobabpond.edge import app
from baobabpond.edge import batch_handlers
from baobabpond.edge import forwarder
from baobabpond.edge import http_exchange
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.store import follower as follower_module

from ..store import fakes


class UnknownRouteTest(unittest.TestCase):
    """Ask for a path that no known route matches."""

    def setUp(self) -> None:
        """Create an application that knows a configuration."""
        self.staleness_s = 0.0
        protocol = mock.create_autospec(callers.CallerProtocol, instance=True)
        protocol.call.return_value = callers.Call(
            callers.CallKind.REQUEST, 'request-1', 'host', '/new/', None
        )
        current = mock.create_autospec(
            current_module.CurrentConfiguration, instance=True
        )
        current.match.return_value = None
        current.configuration = catalogue.Configuration(
            1, (), {}, catalogue.Limits()
        )
        self.app = app.CallerApp(
            protocol,
            current,
            lambda: self.staleness_s,
            mock.create_autospec(batch_handlers.BatchHandlers, instance=True),
            mock.create_autospec(forwarder.Forwarder, instance=True),
            metrics.Metrics(),
        )

    def ask(self) -> tuple[int, dict[str, str]]:
        """Return the status and headers of the response."""
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        self.app.handle(exchange)
        status, _, headers, _, _ = exchange.send_response.call_args.args
        return status, dict(headers)

    def test_route_that_no_configuration_has_is_unknown(self) -> None:
        """A configuration that was confirmed lately is authoritative."""
        self.staleness_s = 1.0
        self.assertEqual(404, self.ask()[0])

    def test_stale_configuration_does_not_deny_a_new_route(self) -> None:
        """The route may have been added since; callers do not retry a 404."""
        self.staleness_s = 30.0
        status, headers = self.ask()
        self.assertEqual(503, status)
        self.assertIn('Retry-After', headers)

    def test_quiet_log_in_reach_keeps_the_configuration_authoritative(
        self,
    ) -> None:
        """Long polls without records confirm the configuration."""
        log = fakes.FakeLog()
        log.before_read = lambda: time.sleep(
            follower_module.READ_WAIT_S + 0.004
        )
        follower = follower_module.Follower(
            log,
            'keyed.op',
            0,
            lambda records, is_snapshot: None,
            metrics.Metrics(),
        )
        follower.start()
        self.addCleanup(follower.stop)
        time.sleep(2 * follower_module.READ_WAIT_S)
        for _ in range(20):
            time.sleep(0.1)
            self.staleness_s = follower.staleness_s
            self.assertEqual(404, self.ask()[0], self.staleness_s)


class LongNamesTest(unittest.TestCase):
    """Refuse ids that would fill tables and log lines."""

    def test_each_name_is_bounded(self) -> None:
        """Guards against ids of any length in what the instance keeps."""
        usual = callers.Call(
            callers.CallKind.REQUEST, 'request-1', 'host', '/t', None
        )
        protocol = mock.create_autospec(callers.CallerProtocol, instance=True)
        current = mock.create_autospec(
            current_module.CurrentConfiguration, instance=True
        )
        # Calls with usual names get 503.
        current.configuration = None
        caller_app = app.CallerApp(
            protocol,
            current,
            lambda: 0.0,
            mock.create_autospec(batch_handlers.BatchHandlers, instance=True),
            mock.create_autospec(forwarder.Forwarder, instance=True),
            metrics.Metrics(),
        )
        for name in ('request_id', 'host', 'resumed_stream', 'batch', 'item'):
            for length, expected in ((1024, 503), (1025, 400)):
                protocol.call.return_value = usual._replace(
                    **{name: 'n' * length}
                )
                exchange = mock.create_autospec(
                    http_exchange.Exchange, instance=True
                )
                caller_app.handle(exchange)
                status = exchange.send_response.call_args.args[0]
                self.assertEqual(expected, status, name)


class UnexpectedFailureTest(unittest.TestCase):
    """Handle a request whose handler fails on an error that none expects."""

    def test_response_that_has_begun_does_not_look_complete(self) -> None:
        """The connection is closed, so that the response shows as cut."""
        protocol = mock.create_autospec(callers.CallerProtocol, instance=True)
        protocol.call.return_value = callers.Call(
            callers.CallKind.REQUEST, 'request-1', 'host', '/t', None
        )
        failing = mock.create_autospec(forwarder.Forwarder, instance=True)

        def fail_in_stream(
            exchange: http_exchange.Exchange, *_arguments: object
        ) -> None:
            exchange.response_started = True
            raise RuntimeError('fails on purpose')

        failing.forward.side_effect = fail_in_stream
        current = mock.create_autospec(
            current_module.CurrentConfiguration, instance=True
        )
        current.match.return_value.configuration.accounts = None
        caller_app = app.CallerApp(
            protocol,
            current,
            lambda: 0.0,
            mock.create_autospec(batch_handlers.BatchHandlers, instance=True),
            failing,
            metrics.Metrics(),
        )
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        caller_app.handle(exchange)
        exchange.abort.assert_called_once_with()
