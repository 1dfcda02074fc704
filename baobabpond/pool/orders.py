"""Order an upstream to load weights, and poll until it has."""

import enum
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import upstreams as upstream_port
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module

from . import load_planner
from . import state

CALL_TIMEOUT_S = 0.8
# Loads rarely finish earlier.
FIRST_POLL_DELAY_S = 0.75
POLL_INTERVAL_S = 0.15
# An upstream with a limit of requests is polled less, once its load has
# probably finished.
LIMITED_FIRST_POLL_DELAY_S = 1.1
LIMITED_POLL_INTERVAL_S = 1.0
# A load that takes longer is planned again.
LOAD_TIMEOUT_S = 6.0
# An order without a response is planned again if its load has not started
# by then.
UNANSWERED_ORDER_TIMEOUT_S = 1.0
# No new order for an upstream for this time after an order failed.
BACKOFF_S = 0.5
ACCEPTED = (200, 202)
FENCED = 412
CONFLICT = 409

LOG = structlog.get_logger(__name__)


class OrderOutcome(enum.Enum):
    """Describe how an order ended; logs and metrics show the value."""

    LOADED = 'loaded'
    # Nothing was sent.
    NOT_SENT = 'not_sent'
    # The upstream refused the order.
    REFUSED = 'refused'
    # The upstream has seen a higher fence.
    FENCED = 'fenced'
    UNKNOWN = 'unknown'


class OrderClient:
    """Send orders to upstreams and wait until the loads finish."""

    def __init__(
        self,
        instance: str,
        protocol: upstream_port.UpstreamProtocol,
        gateway: gateway_module.Gateway,
        permits: permits_module.PermitSource,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._instance = instance
        self._protocol = protocol
        self._gateway = gateway
        self._permits = permits
        self._connections = connections
        self._metrics = metrics

    def execute(
        self,
        upstream: state.Upstream,
        planned: load_planner.PlannedLoad,
        fence: int,
        keeps_runs: bool,
        may_send: typing.Callable[[], bool],
    ) -> OrderOutcome:
        """Send an order and wait until the upstream reports the load."""
        known_orders = self._known_orders(upstream)
        if known_orders is None:
            return OrderOutcome.NOT_SENT
        if upstream.versions.get(planned.model, 0) >= planned.version:
            return OrderOutcome.LOADED
        permit = self._obtain_permit(upstream)
        if permit is None or not may_send():
            return OrderOutcome.NOT_SENT
        order = upstream_port.LoadOrder(
            upstream.id,
            planned.model,
            planned.version,
            self._instance,
            fence,
            known_orders,
            keeps_runs,
        )
        upstream.last_orders = None
        status = self._send(upstream, order, permit)
        LOG.info(
            'ordered weights',
            upstream=upstream.id,
            model=planned.model,
            version=planned.version,
            fence=fence,
            expected_orders=known_orders,
            status=status,
        )
        if status == FENCED:
            return OrderOutcome.FENCED
        if status is not None and status not in ACCEPTED:
            return OrderOutcome.REFUSED
        return self._wait_for_load(upstream, planned, known_orders, status)

    def _known_orders(self, upstream: state.Upstream) -> int | None:
        """Return how many orders an idle upstream has accepted.

        None if it loads or does not say. The last report is good enough for
        an upstream that states a limit: an order that rests on an outdated
        one is refused.
        """
        if upstream.last_orders is not None and self._permits.is_limited(
            upstream.entry
        ):
            return upstream.last_orders
        report = self._fetch_report(upstream)
        if report is None or report.is_loading:
            return None
        self._update_versions(upstream, report)
        return report.orders

    def _wait_for_load(
        self,
        upstream: state.Upstream,
        planned: load_planner.PlannedLoad,
        orders_before: int,
        status: int | None,
    ) -> OrderOutcome:
        sent = time.monotonic()
        first_poll_delay_s = FIRST_POLL_DELAY_S
        poll_interval_s = POLL_INTERVAL_S
        if self._permits.is_limited(upstream.entry):
            first_poll_delay_s = LIMITED_FIRST_POLL_DELAY_S
            poll_interval_s = LIMITED_POLL_INTERVAL_S
        time.sleep(first_poll_delay_s)
        while time.monotonic() - sent < LOAD_TIMEOUT_S:
            report = self._fetch_report(upstream)
            if report is not None:
                self._update_versions(upstream, report)
                if report.versions.get(planned.model, 0) >= planned.version:
                    upstream.last_orders = report.orders
                    return OrderOutcome.LOADED
                waited_s = time.monotonic() - sent
                not_started = (
                    report.orders == orders_before and not report.is_loading
                )
                if (
                    not_started
                    and status is None
                    and waited_s > UNANSWERED_ORDER_TIMEOUT_S
                ):
                    return OrderOutcome.UNKNOWN
            time.sleep(poll_interval_s)
        return OrderOutcome.UNKNOWN

    def _update_versions(
        self, upstream: state.Upstream, report: upstream_port.Report
    ) -> None:
        for model, version in report.versions.items():
            upstream.update_version(model, version)

    def _fetch_report(
        self, upstream: state.Upstream
    ) -> upstream_port.Report | None:
        self._metrics.count('orders.reports')
        permit = self._obtain_permit(upstream)
        if permit is None:
            return None
        response = self._call(
            upstream,
            permit,
            'GET',
            self._protocol.report_target,
            [('Host', _host(upstream))],
            None,
        )
        if response is None or response[0] != 200:
            return None
        try:
            return self._protocol.report(response[1])
        except ValueError as error:
            LOG.warning(
                'report cannot be read', upstream=upstream.id, error=str(error)
            )
            return None

    def _send(
        self,
        upstream: state.Upstream,
        order: upstream_port.LoadOrder,
        permit: permits_module.Permit,
    ) -> int | None:
        headers, body = self._protocol.order(order)
        headers = [('Host', _host(upstream)), *headers]
        self._metrics.count('orders.sent')
        response = self._call(
            upstream,
            permit,
            'POST',
            self._protocol.order_target,
            headers,
            body,
        )
        status = response[0] if response else None
        self._metrics.count(f'orders.status.{status}')
        return status

    def _obtain_permit(
        self, upstream: state.Upstream
    ) -> permits_module.Permit | None:
        """Return a permit for a report or an order, None if it must wait."""
        try:
            return self._permits.obtain(upstream.entry, bucket_module.ORDER)
        except permits_module.RateLimited as error:
            LOG.info(
                'no permit for a report or an order',
                upstream=upstream.id,
                reason=str(error),
                retry_s=round(error.retry_s, 2),
            )
            return None

    def _call(
        self,
        upstream: state.Upstream,
        permit: permits_module.Permit,
        method: str,
        target: str,
        headers: upstream_port.Headers,
        body: bytes | None,
    ) -> tuple[int, bytes] | None:
        connection = self._connections.acquire(upstream.address)
        try:
            response, _ = self._gateway.exchange(
                connection,
                upstream.entry,
                permit,
                gateway_module.Outgoing('', method, target, headers, body),
                CALL_TIMEOUT_S,
            )
            data = connection.read_report(response, CALL_TIMEOUT_S)
        except (
            connections_module.ConnectionFailed,
            connections_module.ResponseFailed,
        ) as error:
            connection.close()
            LOG.info(
                'request to upstream failed',
                upstream=upstream.id,
                target=target,
                error=str(error),
            )
            return None
        self._connections.release_or_close(connection, response)
        return response.status, data


def _host(upstream: state.Upstream) -> str:
    host, port = upstream.address
    return f'{host}:{port}'
