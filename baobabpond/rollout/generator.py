"""Generate samples at the engines of a service."""

import json
import time
import typing
import uuid

from returns import result

from .. import metrics as metrics_module
from .. import verdicts
from ..gen import tree as tree_schema
from ..http import adapters
from ..http import completions
from ..routing import admission
from ..routing import router as router_module
from ..routing import router_manager
from ..routing import upstreams

from . import step as step_module

ADMISSION_WAIT_S = 0.5
JSON_TYPE = 'application/json'


class Generator:
    """Run the attempts of one trainer at the engines."""

    def __init__(
        self,
        caller: str,
        router: router_module.ServiceRouter,
        adapter: adapters.Adapter,
        get_settings: typing.Callable[[], tree_schema.NodeSettings],
        metrics: metrics_module.Metrics,
    ) -> None:
        self._caller = caller
        self._router = router
        self._adapter = adapter
        self._get_settings = get_settings
        self._metrics = metrics

    def generate(
        self, attempt: step_module.Attempt, minimum_version: int
    ) -> step_module.Sample | None:
        """Return a complete sample, or None if the attempt failed.

        Only engines of at least the minimum weight version are tried.
        """
        settings = self._get_settings()
        context = router_module.RequestContext(
            settings,
            self._caller,
            time.monotonic() + settings['timeout_s'],
            attempt.slot.spec.prompt,
            attempt.slot.spec.max_tokens,
        )
        ticket = self._wait_for_admission(attempt, context)
        if ticket is None:
            return None
        try:
            return self._run_admitted(attempt, context, minimum_version)
        finally:
            self._router.release(ticket)

    def is_ejected(self, upstream: str) -> bool:
        """Return whether an upstream is ejected or no longer listed."""
        state = self._router.upstream_set.get(upstream)
        return state is None or state.ejected

    def _wait_for_admission(
        self,
        attempt: step_module.Attempt,
        context: router_module.RequestContext,
    ) -> admission.Ticket | None:
        """Wait for admission until the deadline or cancellation.

        A refusal is retried, since no caller waits for this request.
        """
        while not attempt.cancelled:
            ticket = self._router.admit(context)
            if not isinstance(ticket, verdicts.Refusal):
                attempt.started_at = time.monotonic()
                return ticket
            if time.monotonic() >= context.deadline:
                break
            self._router.wait_for_capacity(ADMISSION_WAIT_S)
        return None

    def _run_admitted(
        self,
        attempt: step_module.Attempt,
        context: router_module.RequestContext,
        minimum_version: int,
    ) -> step_module.Sample | None:
        tried = {
            other_attempt.upstream
            for other_attempt in attempt.slot.attempts
            if other_attempt.upstream is not None
        }
        state = self._router.choose(
            context, tried, router_manager.version_at_least(minimum_version)
        )
        if state is None:
            return None
        attempt.upstream = state.upstream.instance
        opened = self._router.open_stream_at(
            context,
            state,
            lambda chosen, deadline: self._open(
                attempt, context, chosen, deadline
            ),
        )
        if not isinstance(opened, result.Success):
            return None
        stream = typing.cast(completions.CompletionStream, opened.unwrap())
        return self._collect(attempt, stream)

    def _open(
        self,
        attempt: step_module.Attempt,
        context: router_module.RequestContext,
        state: upstreams.UpstreamState,
        deadline: float,
    ) -> typing.Any:
        body = json.dumps(
            {
                'prompt': attempt.slot.spec.prompt,
                'max_tokens': attempt.slot.spec.max_tokens,
                'stream': True,
                'seed': attempt.slot.index,
            }
        )
        request = adapters.UpstreamRequest(
            uuid.uuid4().hex, body.encode(), JSON_TYPE, context.settings
        )
        return self._adapter.open_stream(state.upstream, request, deadline)

    def _collect(
        self,
        attempt: step_module.Attempt,
        stream: completions.CompletionStream,
    ) -> step_module.Sample | None:
        try:
            completion = completions.collect(stream, lambda: attempt.cancelled)
        except completions.IncompleteStreamError:
            self._metrics.count(f'rollout.cut.{stream.failure_code}')
            self._metrics.count('rollout.tokens_wasted', stream.units)
            return None
        return step_module.Sample(
            completion.text,
            completion.tokens,
            completion.weight_versions,
            time.monotonic(),
        )
