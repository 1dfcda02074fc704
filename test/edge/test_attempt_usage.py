"""Test which attempts count as used by an account."""

import typing
import unittest
from unittest import mock

from baobabpond.edge import attempts
from baobabpond.edge import http_exchange
from baobabpond import metrics as metrics_module
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams as upstream_port
from baobabpond.ratelimits import permits
from baobabpond.upstreams import connections
from baobabpond.upstreams import gateway
from baobabpond.usage import recorder as recorder_module
from baobabpond.usage import request as request_module
from baobabpond.usage import time_of_day
from baobabpond.usage import windows

REQUEST = upstream_port.Request('r-1', 'POST', '/a', 'h', [], b'x')
NOT_RUN = {'not_run': True}


class AttemptUsageTest(unittest.TestCase):
    """Send requests of an account to an upstream that answers as told."""

    def setUp(self) -> None:
        """Create what attempts need."""
        self.gateway = mock.create_autospec(gateway.Gateway, instance=True)
        self.dependencies = mock.create_autospec(
            attempts.AttemptDependencies, instance=True
        )
        self.dependencies.gateway = self.gateway
        self.recorder = recorder_module.UsageRecorder(
            windows.Windows(1e9), metrics_module.Metrics()
        )
        self.counter = request_module.AccountCounter(
            self.recorder, time_of_day.TimeOfDay()
        )

    def count(self, *answers: typing.Any, is_stream: bool = False) -> int:
        """Return what attempts with some answers have counted.

        An answer is a status, or a status and fields of the head, or an
        exception.
        """
        before = self.total()
        usage = self.counter.follow('kea', is_stream, False)
        for answer in answers:
            self.attempt(usage, answer, is_stream)
        usage.end()
        return self.total() - before

    def total(self) -> int:
        """Return the count of the account."""
        return sum(
            counts.counts.get('kea', 0)
            for counts in self.recorder.counts().values()
        )

    def attempt(
        self,
        usage: request_module.RequestUsage,
        answer: typing.Any,
        is_stream: bool,
    ) -> None:
        """Make one attempt."""
        if isinstance(answer, Exception):
            self.gateway.exchange.side_effect = answer
        else:
            status, fields = (
                answer if isinstance(answer, tuple) else (answer, {})
            )
            head = upstream_port.ResponseHead(
                **{
                    'not_run': False,
                    'misdirected': False,
                    'request_id': REQUEST.id,
                    'load': None,
                    'weight_version': 0,
                    'signature': 's',
                    **fields,
                }
            )
            self.gateway.exchange.side_effect = None
            self.gateway.exchange.return_value = (
                mock.Mock(status=status),
                head,
            )
        route = mock.create_autospec(catalogue.Route, instance=True)
        route.kind = catalogue.RouteKind.IDEMPOTENT
        if is_stream:
            route.kind = catalogue.RouteKind.STREAMING
        attempt = attempts.Attempt(
            self.dependencies,
            attempts.RequestContext(
                mock.create_autospec(http_exchange.Exchange, instance=True),
                REQUEST,
                'd',
                route,
                's',
                0.0,
                usage=usage,
            ),
            mock.create_autospec(catalogue.UpstreamEntry, instance=True),
            mock.create_autospec(permits.Permit, instance=True),
        )
        try:
            with attempt:
                attempt.send(1.0)
        except (
            connections.ConnectionFailed,
            connections.ResponseFailed,
        ) as error:
            self.assertIs(answer, error)

    def test_plain_requests(self) -> None:
        """All that may have run counts, once."""
        cases = (
            (1, [200]),
            (1, [404]),
            (1, [500]),
            (1, [503]),
            (0, [(503, NOT_RUN)]),
            (0, [(421, NOT_RUN)]),
            (0, [connections.ConnectionFailed()]),
            (0, [gateway.NoPermit()]),
            (1, [connections.ResponseFailed()]),
            (1, [connections.ResponseTimedOut()]),
            # It names another request: this one may have run.
            (1, [(503, {**NOT_RUN, 'request_id': 'other'})]),
            (1, [(503, NOT_RUN), 200]),
            (1, [500, 200]),
            (1, [500, (503, NOT_RUN)]),
            (1, [connections.ResponseTimedOut(), 200]),
            (1, [500, connections.ConnectionFailed()]),
            (0, [connections.ConnectionFailed(), (503, NOT_RUN)]),
        )
        for expected, answers in cases:
            with self.subTest(answers=answers):
                self.assertEqual(expected, self.count(*answers))

    def test_streams(self) -> None:
        """Those that get no event count as plain requests do."""
        cases = (
            (1, [500]),
            (0, [(503, NOT_RUN)]),
            (0, [connections.ConnectionFailed()]),
            (1, [connections.ResponseFailed()]),
            (1, [connections.ResponseTimedOut(), (503, NOT_RUN)]),
            (1, [200]),
        )
        for expected, answers in cases:
            with self.subTest(answers=answers):
                self.assertEqual(
                    expected, self.count(*answers, is_stream=True)
                )


if __name__ == '__main__':
    unittest.main()
