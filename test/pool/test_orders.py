"""Test how many requests a weight load takes."""

import json
import types
import unittest
from unittest import mock

import freezegun

from baobabpond import metrics
from baobabpond.pool import load_planner
from baobabpond.pool import orders as orders_module
from baobabpond.ports import upstreams as upstream_port
from baobabpond.ratelimits import permits as permits_module
from baobabpond.upstreams import connections
from baobabpond.upstreams import gateway

from . import examples

MODEL = 'm'
ORDER = '/order'
REPORT = '/report'


class FakeProtocol:
    """Encode orders and reports as JSON."""

    report_target = REPORT
    order_target = ORDER

    def order(
        self, order: upstream_port.LoadOrder
    ) -> tuple[upstream_port.Headers, bytes]:
        """Encode an order."""
        return [], json.dumps(order._asdict()).encode()

    def report(self, body: bytes) -> upstream_port.Report:
        """Decode a report."""
        version, orders = json.loads(body)
        return upstream_port.Report({MODEL: version}, False, orders, 0, 0)


class FakeGateway:
    """Answer reports and orders of one upstream, which loads at once."""

    def __init__(self) -> None:
        self.targets: list[str] = []
        self.version = 1
        self.orders = 0

    def exchange(
        self,
        connection: connections.Connection,
        entry: object,
        permit: permits_module.Permit,
        outgoing: gateway.Outgoing,
        timeout_s: float,
    ) -> tuple[types.SimpleNamespace, None]:
        """Answer a request."""
        self.targets.append(outgoing.target)
        status = 200
        if outgoing.target == ORDER:
            status = self._accept(json.loads(outgoing.body or b''))
        body = json.dumps([self.version, self.orders]).encode()
        return types.SimpleNamespace(status=status, body=body), None

    def _accept(self, order: dict[str, int]) -> int:
        if order['expected_orders'] != self.orders:
            return orders_module.CONFLICT
        self.orders += 1
        self.version = order['version']
        return orders_module.ACCEPTED[1]


class OrderClientTest(unittest.TestCase):
    """Order loads of an upstream that states a limit, or states none."""

    def setUp(self) -> None:
        """Create an order client; sleeping only advances the clock."""
        frozen = freezegun.freeze_time(tick=False)
        clock = frozen.start()
        self.addCleanup(frozen.stop)
        patch = mock.patch.object(
            orders_module.time, 'sleep', autospec=True, side_effect=clock.tick
        )
        patch.start()
        self.addCleanup(patch.stop)
        self.gateway = FakeGateway()
        self.permits = mock.create_autospec(
            permits_module.NoLimits, instance=True
        )
        pool = mock.create_autospec(connections.ConnectionPool, instance=True)
        pool.acquire.return_value.read_report.side_effect = (
            lambda response, timeout_s: response.body
        )
        self.client = orders_module.OrderClient(
            'a',
            FakeProtocol(),
            self.gateway,
            self.permits,
            pool,
            metrics.Metrics(),
        )
        self.upstream = examples.upstream()

    def load(self, version: int) -> orders_module.OrderOutcome:
        """Order a version; forget the requests of before."""
        self.gateway.targets.clear()
        return self.client.execute(
            self.upstream,
            load_planner.PlannedLoad('u', MODEL, version),
            7,
            True,
            lambda: True,
        )

    def test_limited_upstream_is_asked_twice_for_a_load(self) -> None:
        """It reports once before its first load."""
        self.permits.is_limited.return_value = True
        self.load(2)
        self.assertEqual([REPORT, ORDER, REPORT], self.gateway.targets)
        outcome = self.load(3)
        self.assertEqual([ORDER, REPORT], self.gateway.targets)
        self.assertIs(orders_module.OrderOutcome.LOADED, outcome)

    def test_outdated_knowledge_is_refused_and_renewed(self) -> None:
        """Another instance may have ordered since."""
        self.permits.is_limited.return_value = True
        self.load(2)
        self.gateway.orders += 1
        self.assertIs(orders_module.OrderOutcome.REFUSED, self.load(3))
        self.assertIs(orders_module.OrderOutcome.LOADED, self.load(3))
        self.assertEqual([REPORT, ORDER, REPORT], self.gateway.targets)

    def test_unlimited_upstream_reports_before_each_load(self) -> None:
        """An order that is refused costs more than a report."""
        self.permits.is_limited.return_value = False
        self.load(2)
        self.load(3)
        self.assertEqual([REPORT, ORDER, REPORT], self.gateway.targets)

    def test_nothing_is_sent_without_a_permit(self) -> None:
        """The load is planned again later."""
        self.permits.obtain.side_effect = permits_module.RateLimited(
            'u', mock.MagicMock(), 1.0
        )
        outcome = self.load(2)
        self.assertIs(orders_module.OrderOutcome.NOT_SENT, outcome)
        self.assertEqual([], self.gateway.targets)
