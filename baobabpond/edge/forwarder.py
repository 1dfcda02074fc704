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
from . import attempts as attempts_module
from . import balance as balance_module
from . import server
from . import streams

RETRY_AFTER_S = 0.2
# Time kept for the answer's way back to the caller.
RETURN_S = 0.02
LEAST_ATTEMPT_S = 0.02
SUCCESS = range(200, 300)
SERVER_ERROR = 500

LOG = structlog.get_logger(__name__)


class Tried(typing.NamedTuple):
    """Tell how one attempt ended without the caller having its answer."""

    verdict: verdicts.Verdict
    reason: str
    # A failure that the upstream answered; goes to the caller in the end.
    response: urllib3.HTTPResponse | None = None
    body: bytes = b''


class CallerLeft(Exception):
    """Report that the caller has closed its connection."""


class Forwarder:
    """Attempt, and retry where the route's kind and budget allow it."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        directory: directory_module.UpstreamDirectory,
        connections: connections_module.ConnectionPool,
        watch: server.CallerWatch,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._directory = directory
        self._metrics = metrics
        self._tools = attempts_module.Tools(
            protocol, connections, watch, balance_module.Balance()
        )

    def forward(
        self,
        exchange: server.Exchange,
        call: callers.Call,
        match: current_module.RouteMatch,
    ) -> None:
        """Answer a request of an ordinary or a streaming route."""
        arrived = time.monotonic()
        forward = _make_forward(exchange, call, match.route, arrived)
        reasons: list[str] = []
        try:
            refusal = self._attempt_all(forward, reasons)
        except CallerLeft:
            self._metrics.count('edge.callers_left')
            LOG.info('caller left', request=call.request_id)
            exchange.cut()
            return
        took_s = time.monotonic() - arrived
        outcome = refusal.code if refusal else 'answered'
        self._metrics.record('edge.requests', took_s)
        self._metrics.count(f'edge.outcome.{outcome}')
        LOG.info(
            'request ended',
            request=call.request_id,
            route=match.route.name,
            service=forward.service,
            configuration=match.configuration.version,
            attempts=reasons,
            status=refusal.status if refusal else exchange.status,
            outcome=outcome,
            took_s=round(took_s, 4),
        )
        if refusal is None:
            return
        if exchange.answered:
            exchange.cut()
        else:
            answers.send_refusal(exchange, refusal)

    def _attempt_all(
        self, forward: attempts_module.Forward, reasons: list[str]
    ) -> verdicts.Refusal | None:
        """Attempt until answered; return a refusal if none was."""
        tried: set[str] = set()
        verdict = verdicts.Verdict.NOT_RUN
        last = None
        stream = streams.Stream(forward, self._tools)
        attempts = forward.route.attempts
        for number in range(1, attempts + 1):
            if forward.remaining_s < LEAST_ATTEMPT_S:
                break
            entries = self._directory.usable(forward.service)
            entry = self._tools.balance.choose(entries, tried)
            if entry is None:
                break
            tried.add(entry.id)
            has_others = number < attempts and len(tried) < len(entries)
            last = self._attempt(
                forward._replace(has_others=has_others), entry, stream
            )
            reasons.append(f'{entry.id}: {last.reason if last else "ok"}')
            if last is None:
                return None
            if last.verdict is not verdicts.Verdict.NOT_RUN:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
                if not _may_repeat(forward.route):
                    break
        if last is not None and last.response is not None:
            self._answer(forward, last.response, last.body)
            return None
        return _give_up(forward, verdict, bool(tried))

    def _attempt(
        self,
        forward: attempts_module.Forward,
        entry: catalogue.UpstreamEntry,
        stream: streams.Stream,
    ) -> Tried | None:
        """Attempt once; return None if the caller has its answer."""
        attempt = attempts_module.Attempt(self._tools, forward, entry)
        try:
            with attempt:
                if forward.route.kind is catalogue.RouteKind.STREAMING:
                    tried = self._stream(forward, attempt, stream)
                else:
                    tried = self._exchange(forward, attempt)
        except connections_module.ConnectionFailed as error:
            tried = Tried(verdicts.Verdict.NOT_RUN, f'unreachable: {error}')
        except connections_module.ResponseFailed as error:
            tried = Tried(verdicts.Verdict.MAY_HAVE_RUN, f'cut: {error}')
        if attempt.caller_left:
            raise CallerLeft
        return tried

    def _exchange(
        self,
        forward: attempts_module.Forward,
        attempt: attempts_module.Attempt,
    ) -> Tried | None:
        response, reading = attempt.send(
            _time_left_s(forward), timeout_s=_patience_s(forward)
        )
        return self._take_whole(forward, attempt, response, reading)

    def _take_whole(
        self,
        forward: attempts_module.Forward,
        attempt: attempts_module.Attempt,
        response: urllib3.HTTPResponse,
        reading: upstream_port.Reading,
    ) -> Tried | None:
        """Read a whole answer and hand it over if it is for the caller."""
        pieces = attempt.connection.iter_body(response, _time_left_s(forward))
        body = b''.join(pieces)
        tried = _judge(forward, response, reading, body)
        if reading.request_id in ('', forward.request.id):
            attempt.keep_after(response)
        if tried is None:
            attempt.note_answer()
            attempt.failed = response.status >= SERVER_ERROR
            if not attempt.caller_left:
                self._answer(forward, response, body)
        return tried

    def _stream(
        self,
        forward: attempts_module.Forward,
        attempt: attempts_module.Attempt,
        stream: streams.Stream,
    ) -> Tried | None:
        response, reading = attempt.send(
            _time_left_s(forward), stream.last_event
        )
        if response.status not in SUCCESS:
            return self._take_whole(forward, attempt, response, reading)
        tried = _judge(forward, response, reading, b'')
        if tried is None and not stream.carry(attempt, response):
            reason = f'broke off after event {stream.last_event}'
            tried = Tried(verdicts.Verdict.MAY_HAVE_RUN, reason)
        return tried

    def _answer(
        self,
        forward: attempts_module.Forward,
        response: urllib3.HTTPResponse,
        body: bytes,
    ) -> None:
        if forward.exchange.answered:
            # Events of a stream have gone out; no other answer fits.
            forward.exchange.cut()
            return
        headers = self._tools.protocol.answer_headers(
            list(response.headers.iteritems())
        )
        forward.exchange.answer(
            response.status, response.reason or '', headers, body
        )


def _make_forward(
    exchange: server.Exchange,
    call: callers.Call,
    route: catalogue.Route,
    arrived: float,
) -> attempts_module.Forward:
    limit_s = route.timeout_s
    if call.deadline_s is not None:
        limit_s = min(limit_s, call.deadline_s)
    return attempts_module.Forward(
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


def _time_left_s(forward: attempts_module.Forward) -> float:
    return max(LEAST_ATTEMPT_S, forward.remaining_s - RETURN_S)


def _patience_s(forward: attempts_module.Forward) -> float:
    may_repeat = forward.route.kind is catalogue.RouteKind.IDEMPOTENT
    return attempts_module.patience_s(
        _time_left_s(forward),
        forward.route.target_s,
        forward.has_others and may_repeat,
    )


def _may_repeat(route: catalogue.Route) -> bool:
    if route.kind is catalogue.RouteKind.STREAMING:
        return route.resumable
    return route.kind is catalogue.RouteKind.IDEMPOTENT


def _give_up(
    forward: attempts_module.Forward,
    verdict: verdicts.Verdict,
    was_tried: bool,
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


def _judge(
    forward: attempts_module.Forward,
    response: urllib3.HTTPResponse,
    reading: upstream_port.Reading,
    body: bytes,
) -> Tried | None:
    """Return why an answer is not for the caller, None if it is."""
    if reading.request_id not in ('', forward.request.id):
        return Tried(verdicts.Verdict.MAY_HAVE_RUN, 'foreign answer')
    if reading.not_run:
        return Tried(verdicts.Verdict.NOT_RUN, f'refused {response.status}')
    if response.status in SUCCESS and not reading.is_marked:
        return Tried(verdicts.Verdict.MAY_HAVE_RUN, 'unmarked answer')
    if response.status >= SERVER_ERROR and _may_repeat(forward.route):
        return Tried(
            verdicts.Verdict.MAY_HAVE_RUN,
            f'failed {response.status}',
            response,
            body,
        )
    return None
