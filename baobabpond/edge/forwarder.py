"""Carry ordinary requests to upstreams, and whole answers back."""

import time
import typing

import structlog
import urllib3

from .. import metrics as metrics_module
from .. import verdicts
from ..catalogue import current as current_module
from ..catalogue import directory as directory_module
from ..ports import callers
from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..upstreams import connections as connections_module

from . import answers
from . import balance as balance_module
from . import server

RETRY_AFTER_S = 0.2
# Time kept for the answer's way back to the caller.
RETURN_S = 0.02
LEAST_ATTEMPT_S = 0.02
SUCCESS = range(200, 300)

LOG = structlog.get_logger(__name__)


class Forward(typing.NamedTuple):
    """Hold one request on its way."""

    exchange: server.Exchange
    request: upstream_port.Request
    route: catalogue.Route
    service: str
    ends_at: float

    @property
    def remaining_s(self) -> float:
        """Return the time left."""
        return self.ends_at - time.monotonic()


class Tried(typing.NamedTuple):
    """Tell how one attempt ended without an answer for the caller."""

    verdict: verdicts.Verdict
    reason: str


class CallerLeft(Exception):
    """Report that the caller has closed its connection."""


class Forwarder:
    """Attempt, and retry where the route's kind and budget allow it."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        directory: directory_module.Directory,
        connections: connections_module.ConnectionPool,
        watch: server.CallerWatch,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._protocol = protocol
        self._directory = directory
        self._connections = connections
        self._watch = watch
        self._metrics = metrics
        self._balance = balance_module.Balance()

    def forward(
        self,
        exchange: server.Exchange,
        call: callers.Call,
        match: current_module.Match,
    ) -> None:
        """Answer a request of an ordinary route."""
        arrived = time.monotonic()
        route = match.route
        limit_s = route.timeout_s
        if call.deadline_s is not None:
            limit_s = min(limit_s, call.deadline_s)
        forward = Forward(
            exchange,
            upstream_port.Request(
                call.request_id,
                exchange.method,
                exchange.target,
                call.host,
                list(exchange.headers.items()),
                exchange.read_body(),
            ),
            route,
            current_module.pick_service(route, call.request_id),
            arrived + limit_s,
        )
        try:
            refusal, attempts = self._attempt_all(forward)
        except CallerLeft:
            self._metrics.count('edge.callers_left')
            LOG.info('caller left', request=call.request_id)
            exchange.cut()
            exchange.answered = True
            return
        took_s = time.monotonic() - arrived
        self._metrics.record('edge.requests', took_s)
        self._metrics.count(
            f'edge.outcome.{refusal.code if refusal else "answered"}'
        )
        LOG.info(
            'request ended',
            request=call.request_id,
            route=route.name,
            service=forward.service,
            attempts=attempts,
            status=refusal.status if refusal else exchange.status,
            outcome=refusal.code if refusal else 'answered',
            took_s=round(took_s, 4),
        )
        if refusal is not None:
            answers.send_refusal(exchange, refusal)

    def _attempt_all(
        self, forward: Forward
    ) -> tuple[verdicts.Refusal | None, list[str]]:
        """Attempt until answered; return a refusal if none was."""
        tried: set[str] = set()
        reasons: list[str] = []
        verdict = verdicts.Verdict.NOT_RUN
        repeatable = forward.route.kind is catalogue.RouteKind.IDEMPOTENT
        for _ in range(forward.route.attempts):
            if forward.remaining_s < LEAST_ATTEMPT_S:
                break
            entries = self._directory.usable(forward.service)
            entry = self._balance.choose(entries, tried)
            if entry is None:
                break
            tried.add(entry.id)
            outcome = self._attempt(forward, entry)
            reasons.append(f'{entry.id}:{outcome.reason}' if outcome else 'ok')
            if outcome is None:
                return None, reasons
            if outcome.verdict is not verdicts.Verdict.NOT_RUN:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
                if not repeatable or forward.exchange.answered:
                    break
        return self._give_up(forward, verdict, bool(tried)), reasons

    def _give_up(
        self, forward: Forward, verdict: verdicts.Verdict, was_tried: bool
    ) -> verdicts.Refusal:
        if verdict is not verdicts.Verdict.NOT_RUN:
            if forward.remaining_s < LEAST_ATTEMPT_S:
                return verdicts.deadline_passed(verdict)
            return verdicts.uncertain(
                'upstream_failed', 'no upstream gave a whole answer'
            )
        code = 'upstreams_busy' if was_tried else 'no_upstream'
        return verdicts.unavailable(
            code, 'no upstream can run the request now', RETRY_AFTER_S
        )

    def _attempt(
        self, forward: Forward, entry: catalogue.UpstreamEntry
    ) -> Tried | None:
        """Attempt once; return None if the caller has its answer."""
        started = time.monotonic()
        connection = self._connections.take((entry.host, entry.port))
        left: list[bool] = []

        def leave() -> None:
            left.append(True)
            connection.abort()

        handle = self._watch.add(forward.exchange.socket, leave)
        failed = True
        latency_s = None
        load = None
        try:
            if connection.is_new:
                connection.connect()
            response, body = self._exchange(forward, entry, connection)
            reading = self._protocol.read_head(
                response.status, response.headers
            )
            load = reading.load
            tried = _judge(forward, response, reading)
            if tried is None or not reading.request_id:
                failed = response.status >= 500
            if tried is None:
                latency_s = time.monotonic() - started
            if reading.request_id not in ('', forward.request.id):
                connection.close()
            elif connection.may_be_kept(response):
                self._connections.give_back(connection)
            else:
                connection.close()
        except connections_module.ConnectionFailed as error:
            connection.close()
            tried = Tried(verdicts.Verdict.NOT_RUN, f'unreachable: {error}')
        except connections_module.AnswerFailed as error:
            connection.close()
            tried = Tried(verdicts.Verdict.MAY_HAVE_RUN, f'cut: {error}')
        finally:
            self._watch.remove(handle)
            self._balance.note_end(entry, latency_s, failed, load)
        if left:
            raise CallerLeft
        if tried is None:
            self._answer(forward, response, body)
        return tried

    def _exchange(
        self,
        forward: Forward,
        entry: catalogue.UpstreamEntry,
        connection: connections_module.Connection,
    ) -> tuple[urllib3.HTTPResponse, bytes]:
        remaining_s = max(LEAST_ATTEMPT_S, forward.remaining_s - RETURN_S)
        response = connection.exchange(
            forward.request.method,
            forward.request.target,
            self._protocol.request_headers(
                forward.request, entry.id, remaining_s
            ),
            forward.request.body or None,
            remaining_s,
        )
        remaining_s = max(LEAST_ATTEMPT_S, forward.remaining_s - RETURN_S)
        return response, b''.join(connection.pieces(response, remaining_s))

    def _answer(
        self, forward: Forward, response: urllib3.HTTPResponse, body: bytes
    ) -> None:
        headers = self._protocol.answer_headers(
            list(response.headers.iteritems())
        )
        forward.exchange.answer(
            response.status, response.reason or '', headers, body
        )


def _judge(
    forward: Forward,
    response: urllib3.HTTPResponse,
    reading: upstream_port.Reading,
) -> Tried | None:
    """Return why an answer is not for the caller, None if it is."""
    if reading.request_id not in ('', forward.request.id):
        return Tried(verdicts.Verdict.MAY_HAVE_RUN, 'foreign answer')
    if reading.not_run:
        return Tried(verdicts.Verdict.NOT_RUN, f'refused {response.status}')
    if response.status in SUCCESS and not reading.is_marked:
        return Tried(verdicts.Verdict.MAY_HAVE_RUN, 'unmarked answer')
    if response.status >= 500 and _may_repeat(forward):
        return Tried(verdicts.Verdict.MAY_HAVE_RUN, f'{response.status}')
    return None


def _may_repeat(forward: Forward) -> bool:
    return (
        forward.route.kind is catalogue.RouteKind.IDEMPOTENT
        and forward.route.attempts > 1
    )
