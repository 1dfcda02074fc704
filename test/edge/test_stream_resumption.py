"""Test requests that resume a broken stream."""

import hashlib
import json
import unittest
from unittest import mock

from baobabpond.catalogue import current as current_module
from baobabpond.catalogue import directory as directory_module
from baobabpond.crashes import guard
from baobabpond.edge import body_memory
from baobabpond.edge import disconnects
from baobabpond.edge import forwarder as forwarder_module
from baobabpond.edge import http_exchange
from baobabpond import metrics
from baobabpond.ports import callers
from baobabpond.ports import catalogue
from baobabpond.ports import upstreams
from baobabpond.ratelimits import permits
from baobabpond.relaying import paths
from baobabpond.streams import origins as origins_module
from baobabpond.upstreams import gateway
from baobabpond.upstreams import load_balancer
from test.ratelimits import examples

SERVICES = ('a', 'b')
# Enough ids that both services of a split are met.
IDS = 20


class StreamResumptionTest(unittest.TestCase):
    """Forward to a route that two services share."""

    def setUp(self) -> None:
        """Create a forwarder whose upstreams all have version v2."""
        self.origins = mock.create_autospec(
            origins_module.StreamOrigins, instance=True
        )
        self.directory = mock.create_autospec(
            directory_module.UpstreamDirectory, instance=True
        )
        self.directory.usable.side_effect = lambda service: [
            examples.entry()._replace(service=service, software='v2')
        ]
        self.gateway = mock.create_autospec(gateway.Gateway, instance=True)
        self.forwarder = forwarder_module.Forwarder(
            mock.create_autospec(upstreams.UpstreamProtocol, instance=True),
            self.directory,
            self.gateway,
            mock.create_autospec(paths.Paths, instance=True),
            load_balancer.LoadBalancer(),
            mock.create_autospec(disconnects.DisconnectWatcher, instance=True),
            mock.create_autospec(guard.CrashGuard, instance=True),
            mock.create_autospec(permits.Permits, instance=True),
            self.origins,
            mock.create_autospec(body_memory.BodyMemory, instance=True),
            metrics.Metrics(),
        )
        shares = tuple(
            catalogue.ServiceWeight(service, 1.0) for service in SERVICES
        )
        fields = dict.fromkeys(catalogue.Route._fields, 0)
        fields.update(
            name='drafts',
            kind=catalogue.RouteKind.STREAMING,
            shares=shares,
            timeout_s=2.0,
            max_attempts=2,
            resumable=True,
        )
        self.route = catalogue.Route(**fields)

    def resume(self, stream: str) -> tuple[int, str]:
        """Resume a stream; return the status and the code of the refusal."""
        exchange = mock.create_autospec(http_exchange.Exchange, instance=True)
        exchange.method = 'POST'
        exchange.target = '/drafts/a'
        exchange.headers = {'Last-Event-Id': '3'}
        exchange.response_started = False
        exchange.read_body.return_value = b'x'
        call = callers.Call(
            callers.CallKind.REQUEST,
            hashlib.sha256(stream.encode()).hexdigest(),
            'host',
            '/drafts/a',
            2.0,
            resumed_stream=stream,
        )
        configuration = catalogue.Configuration(1, (), {}, catalogue.Limits())
        self.forwarder.forward(
            exchange,
            call,
            current_module.RouteMatch(self.route, configuration),
        )
        status, _, _, body, *_ = exchange.send_response.call_args.args
        return status, json.loads(body)['code']

    def test_refused_if_its_version_is_unknown(self) -> None:
        """Nothing is sent."""
        self.origins.find.return_value = None
        self.assertEqual((503, 'stream_origin_unknown'), self.resume('s'))
        self.gateway.exchange.assert_not_called()

    def test_refused_if_its_version_has_left(self) -> None:
        """The upstreams of another version are no alternative."""
        self.origins.find.return_value = origins_module.FoundOrigin(
            'v1', 'default'
        )
        self.assertEqual((503, 'stream_version_gone'), self.resume('s'))
        self.gateway.exchange.assert_not_called()

    def test_it_stays_with_the_service_that_began_it(self) -> None:
        """The split goes by the stream, not by the new request."""
        self.origins.find.return_value = None
        streams = [f's{number}' for number in range(IDS)]
        for stream in streams:
            self.resume(stream)
        expected = [
            mock.call(
                current_module.pick_service(self.route, stream),
                stream,
                mock.ANY,
            )
            for stream in streams
        ]
        self.assertEqual(expected, self.origins.find.mock_calls)
        self.assertEqual(2, len({call.args[0] for call in expected}))
