"""Dispatch requests of callers, trainers and operators to handlers."""

import json
import typing
import urllib.parse

import structlog

from .. import decoding
from .. import metrics as metrics_module
from .. import verdicts
from ..accounts import decision
from ..accounts import gate as gate_module
from ..catalogue import current as current_module
from ..members import roster as roster_module
from ..ports import callers
from ..ports import catalogue

from . import batch_handlers as batch_handlers_module
from . import client_limits
from . import draining
from . import forwarder as forwarder_module
from . import http_exchange
from . import responses

RETRY_AFTER_S = 0.3
# Large bodies take about this long to pass.
MEMORY_RETRY_AFTER_S = 0.5
# A configuration that was confirmed longer ago may lack routes. A quiet log
# confirms it two long polls late, each of 1 s.
MAX_CONFIGURATION_STALENESS_S = 2.5
# How long callers may cache the address list; some cache it for up to three
# times as long.
ADDRESS_LIST_TTL_S = 0.5
# A call on a batch takes no longer, its own wait apart.
BATCH_CALL_LIMIT_S = 2.0
MAX_ADDRESSES = 64
METRICS_PATH = '/metrics'

# Of ids and hosts that become keys of tables and parts of log lines.
MAX_NAME_LENGTH = decoding.MAX_TEXT_LENGTH

LOG = structlog.get_logger(__name__)


class CallerApp:
    """Handle requests on the callers' listener."""

    def __init__(
        self,
        protocol: callers.CallerProtocol,
        current: current_module.CurrentConfiguration,
        configuration_staleness_s: typing.Callable[[], float],
        batch_handlers: batch_handlers_module.BatchHandlers,
        forwarder: forwarder_module.Forwarder,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._protocol = protocol
        self._current = current
        self._configuration_staleness_s = configuration_staleness_s
        self._batch_handlers = batch_handlers
        self._forwarder = forwarder
        self._metrics = metrics
        self._gate = gate_module.Gate(
            current,
            configuration_staleness_s,
            batch_handlers.is_public,
            decision.Limits(MAX_CONFIGURATION_STALENESS_S),
            metrics,
        )
        self._drain: draining.Drain | None = None
        self._excesses = client_limits.Excesses(metrics)

    def set_key_staleness_s(self, max_s: float | None) -> None:
        """Set the age of the configuration up to which keys are accepted."""
        self._gate.set_limits(
            decision.Limits(MAX_CONFIGURATION_STALENESS_S, max_s)
        )

    def start_draining(self, drain: draining.Drain) -> None:
        """Close each connection after its next response from now on.

        Refuse what would be cut at the end of the drain.
        """
        self._drain = drain

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Handle one request."""
        if self._drain is not None:
            exchange.close_after_response()
        try:
            self._dispatch(exchange)
        except http_exchange.BodyError as error:
            LOG.info(
                'request body rejected', error=str(error), status=error.status
            )
            responses.send_refusal(
                exchange,
                verdicts.bad_request('bad_body', str(error), error.status),
            )
        except OSError as error:
            LOG.info('connection to the caller failed', error=repr(error))
            raise
        except Exception:
            LOG.exception('request failed with an unhandled exception')
            self._metrics.count('edge.unexpected_failures')
            if exchange.response_started:
                exchange.abort()
            else:
                responses.send_refusal(
                    exchange,
                    verdicts.uncertain('internal', 'unexpected failure'),
                )

    def _dispatch(self, exchange: http_exchange.Exchange) -> None:
        try:
            call = self._protocol.call(
                exchange.method, exchange.target, exchange.headers
            )
        except callers.BadRequest as error:
            responses.send_refusal(
                exchange,
                verdicts.bad_request('bad_request', str(error), error.status),
            )
            return
        if any(len(name) > MAX_NAME_LENGTH for name in _names(call)):
            self._excesses.report('name_length', exchange.address)
            responses.send_refusal(
                exchange,
                verdicts.bad_request('long_name', 'an id is too long'),
            )
            return
        if self._current.configuration is None:
            responses.send_refusal(
                exchange,
                verdicts.unavailable(
                    'not_configured',
                    'the instance knows no configuration yet',
                    RETRY_AFTER_S,
                ),
            )
            return
        admission = self._gate.admit(call)
        if isinstance(admission, verdicts.Refusal):
            responses.send_refusal(exchange, admission)
            return
        if call.kind is callers.CallKind.REQUEST:
            self._route(exchange, call, admission)
        elif not self._refuse_late(
            exchange, call, BATCH_CALL_LIMIT_S + call.wait_s, True
        ):
            self._use_batch(exchange, call, admission)

    def _use_batch(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        admission: gate_module.Admission,
    ) -> None:
        if call.kind is callers.CallKind.READ_RESULTS:
            self._batch_handlers.read_results(exchange, call, admission)
        elif call.kind is callers.CallKind.READ_ITEM:
            self._batch_handlers.read_item(exchange, call, admission)
        else:
            self._batch_handlers.end(exchange, call, admission)

    def _route(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        admission: gate_module.Admission,
    ) -> None:
        match = admission.match
        if match is None:
            self._refuse_unknown_route(exchange, call)
        elif not call.request_id:
            responses.send_refusal(
                exchange,
                verdicts.bad_request('no_id', 'the request has no id'),
            )
        elif self._refuse_late(
            exchange,
            call,
            _longest_run_s(match.route, call),
            match.route.is_repeatable,
        ):
            return
        else:
            try:
                self._serve(exchange, call, match, admission)
            except http_exchange.BodyMemoryFull as error:
                self._refuse_for_memory(exchange, call, error)

    def _serve(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        match: current_module.RouteMatch,
        admission: gate_module.Admission,
    ) -> None:
        if match.route.kind is catalogue.RouteKind.ROLLOUT:
            self._batch_handlers.submit(exchange, call, match, admission)
        else:
            self._forwarder.forward(exchange, call, match, admission)

    def _refuse_for_memory(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        error: http_exchange.BodyMemoryFull,
    ) -> None:
        LOG.info(
            'no memory for the body of a request',
            request=call.request_id,
            path=call.path,
            size=error.size,
            outcome='memory_full',
        )
        responses.send_refusal(
            exchange,
            verdicts.unavailable(
                'memory_full', str(error), MEMORY_RETRY_AFTER_S
            ),
        )

    def _refuse_late(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        limit_s: float,
        is_repeatable: bool,
    ) -> bool:
        """Refuse a request that a drain would cut; return whether it did."""
        refusal = draining.refusal(self._drain, limit_s, is_repeatable)
        if refusal is None:
            return False
        self._metrics.count('edge.refused_while_draining')
        LOG.info(
            'request comes too late before the shutdown',
            request=call.request_id,
            path=call.path,
            limit_s=round(limit_s, 3),
            outcome=refusal.code,
        )
        responses.send_refusal(exchange, refusal)
        return True

    def _refuse_unknown_route(
        self, exchange: http_exchange.Exchange, call: callers.Call
    ) -> None:
        staleness_s = self._configuration_staleness_s()
        is_known = staleness_s <= MAX_CONFIGURATION_STALENESS_S
        LOG.info(
            'no route matches the request',
            request=call.request_id,
            path=call.path,
            staleness_s=round(staleness_s, 3),
            outcome='no_route' if is_known else 'configuration_stale',
        )
        if is_known:
            refusal = verdicts.bad_request('no_route', 'no route', 404)
        else:
            refusal = verdicts.unavailable(
                'configuration_stale',
                'the route may have been added since',
                RETRY_AFTER_S,
            )
        responses.send_refusal(exchange, refusal)


def _longest_run_s(route: catalogue.Route, call: callers.Call) -> float:
    """Return the longest time that a request may take to be answered."""
    if route.kind is catalogue.RouteKind.ROLLOUT:
        return BATCH_CALL_LIMIT_S
    if call.deadline_s is None:
        return route.timeout_s
    return min(route.timeout_s, call.deadline_s)


class OperatorApp:
    """Handle requests for readiness, the address list and metrics."""

    def __init__(
        self,
        protocol: callers.CallerProtocol,
        list_members: typing.Callable[[], list[roster_module.Member]],
        is_ready: typing.Callable[[], bool],
        metrics: metrics_module.Metrics,
        ttl_s: float,
    ) -> None:
        self._protocol = protocol
        self._list_members = list_members
        self._is_ready = is_ready
        self._metrics = metrics
        self._ttl_s = ttl_s

    def handle(self, exchange: http_exchange.Exchange) -> None:
        """Handle one request."""
        path = urllib.parse.urlsplit(exchange.target).path
        if path == self._protocol.ready_target:
            status = 200 if self._is_ready() else 503
            responses.send_json(exchange, status, b'{}')
        elif path == self._protocol.entries_target:
            self._send_addresses(exchange)
        elif path == METRICS_PATH:
            body = json.dumps(self._metrics.snapshot(), indent=1).encode()
            responses.send_json(exchange, 200, body)
        else:
            responses.send_json(exchange, 404, b'{}')

    def _send_addresses(self, exchange: http_exchange.Exchange) -> None:
        addresses = [member.callers_listen for member in self._list_members()][
            :MAX_ADDRESSES
        ]
        if not addresses:
            responses.send_json(exchange, 503, b'{}')
            return
        body = self._protocol.entries(addresses, self._ttl_s)
        responses.send_json(exchange, 200, body)


def _names(call: callers.Call) -> tuple[str, ...]:
    """Return what a client has chosen and the instance keeps."""
    return (
        call.request_id,
        call.host,
        call.resumed_stream,
        call.batch,
        call.item,
    )
