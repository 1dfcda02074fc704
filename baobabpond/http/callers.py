"""Handle the requests of callers to services."""

import collections.abc
import functools
import uuid

from returns import result

from .. import answers
from .. import metrics as metrics_module
from .. import verdicts
from ..claims import executor
from ..routing import admission
from ..routing import router as router_module
from ..routing import router_manager
from ..routing import streams
from ..routing import upstreams
from ..settings import current as current_module

from . import adapters
from . import parse
from . import responses

REPLAYED_HEADER = 'Baobabpond-Replayed'
WEIGHT_VERSIONS_HEADER = 'Baobabpond-Weight-Versions'
KEY_MEMORY_HEADER = 'Baobabpond-Key-Memory-S'
EVENT_STREAM = 'text/event-stream'


class CallerHandler:
    """Claim, admit and route the requests of callers."""

    def __init__(
        self,
        current: current_module.CurrentSettings,
        routers: router_manager.RouterManager,
        claims: executor.ClaimExecutor,
        adapter_set: adapters.AdapterSet,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._current = current
        self._routers = routers
        self._claims = claims
        self._adapters = adapter_set
        self._metrics = metrics

    def handle(self, environ: parse.Environ, path: str) -> responses.Response:
        """Return the response to a request for a service."""
        parsed = parse.parse_request(environ, path, self._current.tree)
        if not isinstance(parsed, result.Success):
            refusal = parsed.failure()
            self._metrics.count(f'requests.bad.{refusal.code}')
            return responses.refusal_response(refusal)
        request = parsed.unwrap()
        if request.wants_stream:
            return self._stream(request)
        return self._respond(request, self._execute(request))

    def _execute(
        self, request: parse.CallerRequest
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        dispatch = functools.partial(self._admit_and_send, request)
        if request.settings['idempotent']:
            return dispatch()
        claimed_request = executor.ClaimedRequest(
            key=f'{request.caller}/{request.service}/'
            f'{request.idempotency_key}',
            body_digest=request.body_digest,
            deadline=request.deadline,
            key_retention_s=request.settings['key_memory_s'],
            max_stored_answer_bytes=request.settings[
                'max_stored_answer_bytes'
            ],
        )
        return self._claims.run(claimed_request, dispatch)

    def _admit_and_send(
        self, request: parse.CallerRequest
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        router = self._routers.get(request.service)
        context = _make_context(request)
        ticket = router.admit(context)
        if isinstance(ticket, verdicts.Refusal):
            return result.Failure(ticket)
        adapter = self._adapters.get(request.settings)
        upstream_request = _make_upstream_request(request)

        def attempt(
            state: upstreams.UpstreamState, deadline: float
        ) -> result.Result[answers.Answer, verdicts.Refusal]:
            return adapter.send(state.upstream, upstream_request, deadline)

        try:
            return router.send(context, attempt)
        finally:
            router.release(ticket)

    def _respond(
        self,
        request: parse.CallerRequest,
        outcome: result.Result[answers.Answer, verdicts.Refusal],
    ) -> responses.Response:
        if not isinstance(outcome, result.Success):
            refusal = outcome.failure()
            self._metrics.count(
                f'requests.{refusal.verdict.value}.{refusal.code}'
            )
            return responses.refusal_response(refusal)
        answer = outcome.unwrap()
        self._metrics.count('requests.answered')
        headers = {responses.VERDICT_HEADER: verdicts.Verdict.RAN.value}
        if answer.replayed:
            headers[REPLAYED_HEADER] = 'true'
        if answer.weight_versions:
            headers[WEIGHT_VERSIONS_HEADER] = ','.join(
                map(str, answer.weight_versions)
            )
        if not request.settings['idempotent']:
            key_memory_s = request.settings['key_memory_s']
            headers[KEY_MEMORY_HEADER] = f'{key_memory_s:g}'
        return responses.bytes_response(
            answer.body, answer.content_type, answer.status, headers
        )

    def _stream(self, request: parse.CallerRequest) -> responses.Response:
        if not request.settings['idempotent']:
            return responses.refusal_response(
                verdicts.bad_request(
                    'no_streaming', 'a non-idempotent request cannot stream'
                )
            )
        router = self._routers.get(request.service)
        context = _make_context(request)
        ticket = router.admit(context)
        if isinstance(ticket, verdicts.Refusal):
            return self._respond(request, result.Failure(ticket))
        opened = self._open_stream(request, router, context)
        if not isinstance(opened, result.Success):
            router.release(ticket)
            return self._respond(request, opened)
        headers = [
            ('Content-Type', EVENT_STREAM),
            (responses.VERDICT_HEADER, verdicts.Verdict.RAN.value),
        ]
        body = StreamBody(opened.unwrap(), router, ticket, self._metrics)
        return responses.Response(200, headers, body)

    def _open_stream(
        self,
        request: parse.CallerRequest,
        router: router_module.ServiceRouter,
        context: router_module.RequestContext,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        adapter = self._adapters.get(request.settings)
        upstream_request = _make_upstream_request(request)
        return router.open_stream(
            context,
            lambda state, deadline: adapter.open_stream(
                state.upstream, upstream_request, deadline
            ),
        )


class StreamBody:
    """Relay a stream to the caller; raises if the answer is incomplete."""

    def __init__(
        self,
        stream: streams.Stream,
        router: router_module.ServiceRouter,
        ticket: admission.Ticket,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._stream = stream
        self._router = router
        self._ticket = ticket
        self._metrics = metrics

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return iter(self._stream)

    def close(self) -> None:
        """Close the stream, release its ticket and count its outcome."""
        self._stream.close()
        self._router.release(self._ticket)
        code = self._stream.failure_code
        if code is None:
            self._metrics.count('requests.streamed')
        else:
            self._metrics.count(f'requests.stream_cut.{code}')


def _make_context(
    request: parse.CallerRequest,
) -> router_module.RequestContext:
    prompt = request.fields.get('prompt')
    max_tokens = request.fields.get('max_tokens', 1)
    return router_module.RequestContext(
        request.settings,
        request.caller,
        request.deadline,
        prompt if isinstance(prompt, str) else '',
        max_tokens if isinstance(max_tokens, int) else 1,
    )


def _make_upstream_request(
    request: parse.CallerRequest,
) -> adapters.UpstreamRequest:
    return adapters.UpstreamRequest(
        uuid.uuid4().hex,
        request.body,
        request.content_type,
        request.settings,
        request.idempotency_key,
    )
