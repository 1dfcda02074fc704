"""Order an upstream to load weights, and see that it did."""

import enum
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import upstreams as upstream_port
from ..upstreams import connections as connections_module

from . import weights
from . import work as work_module

CALL_TIMEOUT_S = 0.8
# Loads seldom end sooner.
FIRST_LOOK_S = 0.75
LOOK_S = 0.15
# A load that has not ended by then is planned anew.
LOAD_LIMIT_S = 6.0
# An order without an answer that has not begun by then is sent again.
SILENT_ORDER_S = 1.0
# Keeps the plan away from an upstream whose order failed.
BACK_OFF_S = 0.5
ACCEPTED = (200, 202)
FENCED = 412
CONFLICT = 409

LOG = structlog.get_logger(__name__)


class OrderOutcome(enum.Enum):
    """Tell how an order ended."""

    LOADED = 'loaded'
    # Nothing was sent.
    NOT_SENT = 'not_sent'
    # The upstream refused it.
    REFUSED = 'refused'
    # The upstream has seen a higher fence.
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


class OrderDesk:
    """Carry out one order at a time for each upstream."""

    def __init__(
        self,
        instance: str,
        protocol: upstream_port.UpstreamProtocol,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._protocol = protocol
        self._connections = connections
        self._metrics = metrics

    def carry_out(
        self,
        upstream: work_module.Upstream,
        planned: weights.PlannedLoad,
        fence: int,
        keeps_runs: bool,
        may_send: typing.Callable[[], bool],
    ) -> OrderOutcome:
        """Send an order and wait until the upstream reports its end."""
        before = self._report(upstream)
        if before is None or before.is_loading:
            return OrderOutcome.NOT_SENT
        self._note(upstream, before)
        if before.versions.get(planned.model, 0) >= planned.version:
            return OrderOutcome.LOADED
        if not may_send():
            return OrderOutcome.NOT_SENT
        order = upstream_port.LoadOrder(
            upstream.id,
            planned.model,
            planned.version,
            self._instance,
            fence,
            before.orders,
            keeps_runs,
        )
        status = self._send(upstream, order)
        LOG.info(
            'ordered weights',
            upstream=upstream.id,
            model=planned.model,
            version=planned.version,
            fence=fence,
            expected_orders=before.orders,
            status=status,
        )
        if status == FENCED:
            return OrderOutcome.FENCED
        if status is not None and status not in ACCEPTED:
            return OrderOutcome.REFUSED
        return self._await_load(upstream, planned, before.orders, status)

    def _await_load(
        self,
        upstream: work_module.Upstream,
        planned: weights.PlannedLoad,
        orders_before: int,
        status: int | None,
    ) -> OrderOutcome:
        sent = time.monotonic()
        time.sleep(FIRST_LOOK_S)
        while time.monotonic() - sent < LOAD_LIMIT_S:
            report = self._report(upstream)
            if report is not None:
                self._note(upstream, report)
                if report.versions.get(planned.model, 0) >= planned.version:
                    return OrderOutcome.LOADED
                waited_s = time.monotonic() - sent
                not_begun = (
                    report.orders == orders_before and not report.is_loading
                )
                if not_begun and status is None and waited_s > SILENT_ORDER_S:
                    return OrderOutcome.UNKNOWN
            time.sleep(LOOK_S)
        return OrderOutcome.UNKNOWN

    def _note(
        self, upstream: work_module.Upstream, report: upstream_port.Report
    ) -> None:
        for model, version in report.versions.items():
            upstream.note_version(model, version)

    def _report(
        self, upstream: work_module.Upstream
    ) -> upstream_port.Report | None:
        self._metrics.count('orders.reports')
        answer = self._call(
            upstream,
            'GET',
            self._protocol.report_target,
            [('Host', _host(upstream))],
            None,
        )
        if answer is None or answer[0] != 200:
            return None
        try:
            return self._protocol.report(answer[1])
        except ValueError as error:
            LOG.warning(
                'report cannot be read', upstream=upstream.id, error=str(error)
            )
            return None

    def _send(
        self,
        upstream: work_module.Upstream,
        order: upstream_port.LoadOrder,
    ) -> int | None:
        headers, body = self._protocol.order(order)
        headers = [('Host', _host(upstream)), *headers]
        self._metrics.count('orders.sent')
        answer = self._call(
            upstream, 'POST', self._protocol.order_target, headers, body
        )
        status = answer[0] if answer else None
        self._metrics.count(f'orders.status.{status}')
        return status

    def _call(
        self,
        upstream: work_module.Upstream,
        method: str,
        target: str,
        headers: upstream_port.Headers,
        body: bytes | None,
    ) -> tuple[int, bytes] | None:
        connection = self._connections.acquire(upstream.address)
        try:
            if connection.is_new:
                connection.connect()
            response = connection.exchange(
                method, target, headers, body, CALL_TIMEOUT_S
            )
            data = b''.join(connection.iter_body(response, CALL_TIMEOUT_S))
        except (
            connections_module.ConnectionFailed,
            connections_module.ResponseFailed,
        ) as error:
            connection.close()
            LOG.info(
                'call to an upstream failed',
                upstream=upstream.id,
                target=target,
                error=str(error),
            )
            return None
        self._connections.release_or_close(connection, response)
        return response.status, data


def _host(upstream: work_module.Upstream) -> str:
    host, port = upstream.address
    return f'{host}:{port}'
