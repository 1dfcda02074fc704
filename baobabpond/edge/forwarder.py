"""Forward ordinary requests to upstreams, with retries."""

import time

import structlog
import urllib3

from .. import metrics as metrics_module
from .. import verdicts
from ..accounts import decision
from ..accounts import gate as gate_module
from ..catalogue import current as current_module
from ..catalogue import directory as directory_module
from ..crashes import guard as guard_module
from ..crashes import identity
from ..crashes import unresolved
from ..ports import callers
from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..relaying import paths as paths_module
from ..streams import origins as origins_module
from ..upstreams import authenticity
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module
from ..upstreams import load_balancer as load_balancer_module
from ..usage import request as request_usage

from . import attempts as attempts_module
from . import body_memory
from . import disconnects
from . import http_exchange
from . import placer as placer_module
from . import refusals
from . import responses
from . import streams
from . import upstream_responses


LOG = structlog.get_logger(__name__)


class CallerDisconnected(Exception):
    """The caller has closed its connection."""

    def __init__(self, may_run: bool) -> None:
        super().__init__()
        # The upstream has the request, and has not answered it.
        self.may_run = may_run


class Forwarder:
    """Forward requests; retry where the route's kind and attempts allow."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        directory: directory_module.UpstreamDirectory,
        gateway: gateway_module.Gateway,
        paths: paths_module.Paths,
        load_balancer: load_balancer_module.LoadBalancer,
        watcher: disconnects.DisconnectWatcher,
        guard: guard_module.CrashGuard,
        permits: permits_module.Permits,
        origins: origins_module.StreamOrigins,
        response_memory: body_memory.BodyMemory,
        metrics: metrics_module.Metrics,
        request_counter: request_usage.RequestCounter | None = None,
    ) -> None:
        self._request_counter = (
            request_counter or request_usage.RequestCounter()
        )
        self._guard = guard
        self._origins = origins
        self._response_memory = response_memory
        self._placer = placer_module.Placer(
            directory, guard, load_balancer, permits
        )
        self._directory = directory
        self._metrics = metrics
        self._dependencies = attempts_module.AttemptDependencies(
            protocol, gateway, paths, watcher, load_balancer, origins
        )

    def forward(
        self,
        exchange: http_exchange.Exchange,
        call: callers.Call,
        match: current_module.RouteMatch,
        admission: gate_module.Admission = gate_module.WITHOUT_ACCOUNTS,
    ) -> None:
        """Forward a request of an ordinary or a streaming route."""
        received_at = time.monotonic()
        context = _make_context(
            exchange, call, match.route, received_at, admission.authenticated
        )
        context = context._replace(usage=self._follow_usage(context))
        reasons: list[str] = []
        try:
            refusal = admission.recheck()
            if refusal is None:
                refusal = self._attempt_until_answered(context, reasons)
        except CallerDisconnected:
            self._metrics.count('edge.callers_left')
            LOG.info(
                'caller left',
                request=call.request_id,
                digest=context.digest,
                attempts=reasons,
            )
            exchange.abort()
            return
        finally:
            context.usage.end()
        took_s = time.monotonic() - received_at
        outcome = refusal.code if refusal else 'answered'
        self._metrics.record('edge.requests', took_s)
        self._metrics.count(f'edge.outcome.{outcome}')
        LOG.info(
            'request ended',
            request=call.request_id,
            digest=context.digest,
            route=match.route.name,
            account=context.account,
            service=context.service,
            configuration=match.configuration.version,
            attempts=reasons,
            status=refusal.status if refusal else exchange.status,
            outcome=outcome,
            took_s=round(took_s, 4),
        )
        if refusal is None:
            return
        if exchange.response_started:
            exchange.abort()
        else:
            responses.send_refusal(exchange, refusal)

    def _follow_usage(
        self, context: attempts_module.RequestContext
    ) -> request_usage.RequestUsage:
        is_stream = context.route.kind is catalogue.RouteKind.STREAMING
        return self._request_counter.follow(
            context.account,
            is_stream,
            is_stream and streams.requested_last_event(context.request) > 0,
        )

    def _attempt_until_answered(
        self, context: attempts_module.RequestContext, reasons: list[str]
    ) -> verdicts.Refusal | None:
        """Try upstreams until one responds; return a refusal if none did.

        Appends the upstream and outcome of each attempt to the reasons.
        """
        tried: set[str] = set()
        verdict = verdicts.Verdict.NOT_RUN
        last = None
        crashes = 0
        stream = streams.StreamRelay(context, self._dependencies)
        origin_refusal = self._resume_stream(context, stream, reasons)
        if origin_refusal is not None:
            return origin_refusal
        attempts = context.route.max_attempts
        for number in range(1, attempts + 1):
            if context.remaining_s < attempts_module.MIN_ATTEMPT_S:
                break
            entries = self._directory.usable(context.service)
            try:
                placed = self._place(context, tried, number, stream.software)
            except permits_module.RateLimited as error:
                reasons.append(str(error))
                if verdict is verdicts.Verdict.NOT_RUN:
                    return refusals.rate_limited(error)
                break
            if placed is None:
                crash_refusal = self._guard.refusal(context.digest)
                if verdict is verdicts.Verdict.NOT_RUN and crash_refusal:
                    return crash_refusal
                break
            entry = placed.placement.entry
            tried.add(entry.id)
            has_alternatives = number < attempts and len(tried) < len(entries)
            try:
                last = self._attempt(
                    context._replace(has_alternatives=has_alternatives),
                    placed,
                    stream,
                )
            except CallerDisconnected:
                reasons.append(f'{entry.id}: caller left')
                raise
            reasons.append(f'{entry.id}: {last.reason if last else "ok"}')
            if last is None:
                return None
            if last.verdict is not verdicts.Verdict.NOT_RUN:
                verdict = verdicts.Verdict.MAY_HAVE_RUN
                if not context.route.is_repeatable:
                    break
            crashes += last.has_crashed
            if not self._guard.may_retry(context.digest, crashes):
                break
        if last is not None and last.response is not None:
            self._send_response(context, last.response, last.body)
            return None
        is_late = context.remaining_s < attempts_module.MIN_ATTEMPT_S
        return refusals.after_attempts(verdict, bool(tried), is_late)

    def _place(
        self,
        context: attempts_module.RequestContext,
        tried: set[str],
        attempt_number: int,
        software: str | None,
    ) -> placer_module.Placed | None:
        urgency = bucket_module.RETRY
        if attempt_number == 1:
            urgency = bucket_module.caller_urgency(context.priority)
        return self._placer.place(
            placer_module.PlacementRequest(
                context.digest,
                context.service,
                tried,
                context.remaining_s - attempts_module.MIN_ATTEMPT_S,
                urgency,
                software,
                context.route.name,
            )
        )

    def _resume_stream(
        self,
        context: attempts_module.RequestContext,
        stream: streams.StreamRelay,
        reasons: list[str],
    ) -> verdicts.Refusal | None:
        """Find the software version of a stream that the caller resumes.

        Returns the refusal if it can't be told, or is no longer in service.
        """
        if not stream.last_event or not context.route.resumable:
            return None
        registered = {
            entry.software for entry in self._directory.usable(context.service)
        }
        found = self._origins.find(
            context.service, context.resumed_stream, registered
        )
        if found is None:
            reasons.append('software version of the stream unknown')
            return refusals.stream_origin_unknown()
        stream.software = found.software
        reasons.append(f'begun by {found.software} ({found.source})')
        if found.software in registered:
            return None
        return refusals.stream_version_gone()

    def _attempt(
        self,
        context: attempts_module.RequestContext,
        placed: placer_module.Placed,
        stream: streams.StreamRelay,
    ) -> upstream_responses.FailedAttempt | None:
        """Try one upstream; return None if the caller got its response.

        Records whether the upstream crashed under the request, or may do so
        yet. Raises CallerDisconnected.
        """
        entry = placed.placement.entry
        digest, request_id = context.digest, context.request.id
        try:
            failure = self._try_upstream(context, placed, stream)
            if failure is not None and failure.ending is not None:
                has_crashed = self._guard.record_failure(
                    digest, request_id, entry, failure.ending
                )
                failure = failure._replace(has_crashed=has_crashed)
            return failure
        except CallerDisconnected as disconnect:
            if disconnect.may_run:
                self._guard.record_failure(
                    digest, request_id, entry, unresolved.Ending.CALLER_LEFT
                )
            raise
        finally:
            self._guard.release(placed.placement)

    def _try_upstream(
        self,
        context: attempts_module.RequestContext,
        placed: placer_module.Placed,
        stream: streams.StreamRelay,
    ) -> upstream_responses.FailedAttempt | None:
        attempt = attempts_module.Attempt(
            self._dependencies, context, placed.placement.entry, placed.permit
        )
        try:
            with attempt:
                if context.route.kind is catalogue.RouteKind.STREAMING:
                    failure = self._stream(context, attempt, stream)
                else:
                    failure = self._exchange(context, attempt)
        except connections_module.ConnectionFailed as error:
            failure = upstream_responses.FailedAttempt(
                verdicts.Verdict.NOT_RUN, f'unreachable: {error}'
            )
        except connections_module.ResponseFailed as error:
            failure = upstream_responses.FailedAttempt(
                verdicts.Verdict.MAY_HAVE_RUN,
                f'cut: {error}',
                ending=upstream_responses.ending_of(error),
            )
        if attempt.caller_disconnected:
            raise CallerDisconnected(
                failure is not None and failure.ending is not None
            )
        return failure

    def _exchange(
        self,
        context: attempts_module.RequestContext,
        attempt: attempts_module.Attempt,
    ) -> upstream_responses.FailedAttempt | None:
        response, response_head = attempt.send(
            context.budget_s, timeout_s=_attempt_timeout_s(context)
        )
        return self._read_response(context, attempt, response, response_head)

    def _read_response(
        self,
        context: attempts_module.RequestContext,
        attempt: attempts_module.Attempt,
        response: urllib3.HTTPResponse,
        response_head: upstream_port.ResponseHead,
    ) -> upstream_responses.FailedAttempt | None:
        """Read a whole response and send it unless it must be retried."""
        with self._response_memory.reservation() as memory:
            body = upstream_responses.read_body(
                context, attempt, response, memory
            )
            return self._pass_on(
                context, attempt, response, response_head, body
            )

    def _pass_on(
        self,
        context: attempts_module.RequestContext,
        attempt: attempts_module.Attempt,
        response: urllib3.HTTPResponse,
        response_head: upstream_port.ResponseHead,
        body: bytes,
    ) -> upstream_responses.FailedAttempt | None:
        failure = upstream_responses.check(
            context, response, response_head, body
        )
        if response_head.request_id in ('', context.request.id):
            attempt.reuse_after(response)
        if failure is None:
            attempt.record_response()
            attempt.failed = response.status >= upstream_responses.SERVER_ERROR
            if response.status in authenticity.SUCCESS:
                self._record_completion(context)
            if not attempt.caller_disconnected:
                self._send_response(context, response, body)
        return failure

    def _stream(
        self,
        context: attempts_module.RequestContext,
        attempt: attempts_module.Attempt,
        stream: streams.StreamRelay,
    ) -> upstream_responses.FailedAttempt | None:
        response, response_head = attempt.send(
            context.budget_s, stream.last_event
        )
        if response.status not in authenticity.SUCCESS:
            return self._read_response(
                context, attempt, response, response_head
            )
        failure = upstream_responses.check(
            context, response, response_head, b''
        )
        if failure is None and not stream.relay(attempt, response):
            reason = f'stream ended early after event {stream.last_event}'
            failure = upstream_responses.FailedAttempt(
                verdicts.Verdict.MAY_HAVE_RUN, reason, ending=stream.ending
            )
        if failure is None:
            self._record_completion(context)
        return failure

    def _record_completion(
        self, context: attempts_module.RequestContext
    ) -> None:
        self._guard.record_completion(context.digest, context.request.id)

    def _send_response(
        self,
        context: attempts_module.RequestContext,
        response: urllib3.HTTPResponse,
        body: bytes,
    ) -> None:
        if context.exchange.response_started:
            # Events of a stream were sent; a second response can't follow.
            context.exchange.abort()
            return
        headers = self._dependencies.protocol.answer_headers(
            list(response.headers.iteritems())
        )
        context.exchange.send_response(
            response.status, response.reason or '', headers, body
        )


def _make_context(
    exchange: http_exchange.Exchange,
    call: callers.Call,
    route: catalogue.Route,
    received_at: float,
    authenticated: decision.Authenticated,
) -> attempts_module.RequestContext:
    limit_s = route.timeout_s
    if call.deadline_s is not None:
        limit_s = min(limit_s, call.deadline_s)
    request = upstream_port.Request(
        call.request_id,
        exchange.method,
        exchange.target,
        call.host,
        list(exchange.headers.items()),
        exchange.read_body(),
        authenticated.account,
    )
    priority = authenticated.priority
    return attempts_module.RequestContext(
        exchange,
        request,
        identity.digest_request(request),
        route,
        current_module.pick_service(
            route, call.resumed_stream or call.request_id
        ),
        received_at + limit_s,
        resumed_stream=call.resumed_stream,
        account=authenticated.account,
        priority=route.priority if priority is None else priority,
    )


def _attempt_timeout_s(context: attempts_module.RequestContext) -> float:
    is_retryable = context.route.kind is catalogue.RouteKind.IDEMPOTENT
    return attempts_module.attempt_timeout_s(
        context.budget_s,
        context.route.target_latency_s,
        context.has_alternatives and is_retryable,
    )
