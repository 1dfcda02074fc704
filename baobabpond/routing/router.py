"""Route requests to the upstreams of one service."""

import collections.abc
import itertools
import random
import time
import typing

from returns import result

from .. import answers
from .. import metrics as metrics_module
from .. import verdicts
from ..gen import tree as tree_schema

from . import admission
from . import balancing
from . import baseline
from . import budget
from . import estimate
from . import limits
from . import streams
from . import upstreams

BACKOFF_FACTOR = 2.0
TIMEOUT_CODE = 'upstream_timeout'
REFUSED_CODE = 'upstream_refused'
CUT_CODE = 'upstream_cut'
NON_EJECTING_CODES = (REFUSED_CODE, streams.CANCELLED_CODE)
NO_UPSTREAM_RETRY_S = 1.0

Attempt = collections.abc.Callable[
    [upstreams.UpstreamState, float],
    result.Result[answers.Answer, verdicts.Refusal],
]
OpenStream = collections.abc.Callable[
    [upstreams.UpstreamState, float],
    result.Result[streams.Stream, verdicts.Refusal],
]
T = typing.TypeVar('T')
UpstreamFilter = collections.abc.Callable[[upstreams.UpstreamState], bool]


class RequestContext(typing.NamedTuple):
    """Describe a request to the router.

    The deadline is monotonic time; units is the expected amount of work,
    such as the maximum number of tokens.
    """

    settings: tree_schema.NodeSettings
    caller: str
    deadline: float
    affinity_key: str = ''
    units: int = 1


class ServiceRouter:
    """Admit, balance, retry and measure the requests of a service."""

    def __init__(
        self,
        service: str,
        metrics: metrics_module.Metrics,
        rng: random.Random,
    ) -> None:
        self._service = service
        self._metrics = metrics
        self._rng = rng
        self._upstream_set = upstreams.UpstreamSet(service, metrics, rng)
        self._admission = admission.AdmissionController()
        self._budget = budget.RetryBudget()
        self._limits: dict[str, limits.LimitPolicy] = {}
        self._round_robin_counter = itertools.count()
        self._unit_time_estimator = estimate.UnitTimeEstimator()
        self._baseline = baseline.LatencyBaseline()

    @property
    def upstream_set(self) -> upstreams.UpstreamSet:
        """Return the set of the service's upstreams."""
        return self._upstream_set

    @property
    def in_flight(self) -> int:
        """Return the number of admitted requests that have not ended."""
        return self._admission.in_flight

    def admit(
        self, context: RequestContext
    ) -> admission.Ticket | verdicts.Refusal:
        """Return a ticket that must be released, or a refusal."""
        outcome = self._admission.admit(
            context.settings,
            context.caller,
            self.limit(context.settings),
            self._expected_unit_s(context.settings) * context.units,
            context.deadline,
        )
        refused = isinstance(outcome, verdicts.Refusal)
        name = 'refused' if refused else 'admitted'
        self._metrics.count(f'routing.{name}.{self._service}')
        return outcome

    def wait_for_capacity(self, timeout_s: float) -> None:
        """Wait until a request is released or the time-out expires.

        For generation by this process, which may queue for admission.
        """
        self._admission.wait_for_release(timeout_s)

    def release(self, ticket: admission.Ticket) -> None:
        """Release the capacity of an admitted request."""
        self._admission.release(ticket)

    def limit(self, settings: tree_schema.NodeSettings) -> float:
        """Return the current concurrency limit of the service."""
        upstream_count = len(self._upstream_set.usable())
        return self._limit_policy(settings).value(settings, upstream_count)

    def choose(
        self,
        context: RequestContext,
        excluded: collections.abc.Container[str] = (),
        upstream_filter: UpstreamFilter | None = None,
    ) -> upstreams.UpstreamState | None:
        """Return the upstream for the next attempt, or None without one.

        Excluded instances are used only if no other candidate is left.
        """
        usable = self._upstream_set.usable()
        if upstream_filter is not None:
            usable = [state for state in usable if upstream_filter(state)]
        untried = [
            state
            for state in usable
            if state.upstream.instance not in excluded
        ]
        candidates = untried or usable
        if not candidates:
            return None
        policy = balancing.policies.get(context.settings['choice'])
        return policy(
            candidates,
            balancing.BalancingContext(
                context.settings,
                context.affinity_key,
                self._rng,
                self._round_robin_counter,
            ),
        )

    def send(
        self, context: RequestContext, attempt: Attempt
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        """Send an admitted request, with retries, and return its outcome."""
        return self._run_with_retries(
            context, lambda state: self._send_attempt(context, state, attempt)
        )

    def open_stream(
        self, context: RequestContext, open_stream: OpenStream
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Open a stream; failures before its first bytes are retried."""
        return self._run_with_retries(
            context,
            lambda state: self.open_stream_at(context, state, open_stream),
        )

    def open_stream_at(
        self,
        context: RequestContext,
        state: upstreams.UpstreamState,
        open_stream: OpenStream,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Open a stream at one upstream; completion is recorded at its end."""
        started = time.monotonic()
        state.record_sent()
        outcome = open_stream(state, context.deadline)
        if isinstance(outcome, result.Success):
            stream = outcome.unwrap()
            stream.on_progress(
                lambda unit_latency_s: self._upstream_set.record_latency(
                    state, unit_latency_s, context.settings
                )
            )
            stream.on_end(
                lambda: self._record_finished(
                    context,
                    state,
                    time.monotonic() - started,
                    stream.failure_code,
                    stream.units,
                )
            )
        else:
            elapsed_s = time.monotonic() - started
            self._record_finished(
                context, state, elapsed_s, outcome.failure().code, 1
            )
        return outcome

    def _run_with_retries(
        self,
        context: RequestContext,
        run_attempt: collections.abc.Callable[
            [upstreams.UpstreamState], result.Result[T, verdicts.Refusal]
        ],
    ) -> result.Result[T, verdicts.Refusal]:
        settings = context.settings
        self._budget.deposit(settings['retry_budget'])
        tried: set[str] = set()
        may_have_run = False
        refusal = no_upstream()
        for attempt_number in range(1, settings['max_attempts'] + 1):
            state = self.choose(context, tried)
            if state is None:
                break
            tried.add(state.upstream.instance)
            outcome = run_attempt(state)
            if isinstance(outcome, result.Success):
                return outcome
            refusal = outcome.failure()
            may_have_run |= refusal.verdict is not verdicts.Verdict.NOT_RUN
            if not self._may_retry(context, refusal, attempt_number):
                break
            self._back_off(context, attempt_number)
        return result.Failure(_with_final_verdict(refusal, may_have_run))

    def _send_attempt(
        self,
        context: RequestContext,
        state: upstreams.UpstreamState,
        attempt: Attempt,
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        started = time.monotonic()
        state.record_sent()
        outcome = attempt(state, context.deadline)
        elapsed_s = time.monotonic() - started
        code = None
        if isinstance(outcome, result.Success):
            unit_latency_s = elapsed_s / max(1, context.units)
            self._upstream_set.record_latency(
                state, unit_latency_s, context.settings
            )
        else:
            code = outcome.failure().code
        self._record_finished(context, state, elapsed_s, code, context.units)
        return outcome

    def _record_finished(
        self,
        context: RequestContext,
        state: upstreams.UpstreamState,
        elapsed_s: float,
        code: str | None,
        units: int,
    ) -> None:
        settings = context.settings
        unit_latency_s = elapsed_s / max(1, units)
        self._update_limit(settings, elapsed_s, unit_latency_s, code)
        expected_s = self._unit_time_estimator.value_s * context.units
        failed = code is not None and _counts_towards_ejection(
            code, elapsed_s, expected_s, settings
        )
        self._upstream_set.record_finished(state, failed, settings)
        if code is not None:
            self._metrics.count(f'routing.failed_attempts.{self._service}')
            return
        self._metrics.record(f'routing.attempt.{self._service}', elapsed_s)
        self._unit_time_estimator.record(unit_latency_s)

    def _update_limit(
        self,
        settings: tree_schema.NodeSettings,
        elapsed_s: float,
        unit_latency_s: float,
        code: str | None,
    ) -> None:
        if code == streams.CANCELLED_CODE:
            return
        if code is None:
            unloaded = self.limit(settings) <= limits.MIN_LIMIT
            self._baseline.record(unit_latency_s, unloaded)
        self._limit_policy(settings).record(
            settings,
            len(self._upstream_set.usable()),
            limits.CompletedRequest(
                elapsed_s,
                unit_latency_s if code is None else None,
                self._baseline.value_s,
                self.in_flight,
            ),
        )

    def _expected_unit_s(self, settings: tree_schema.NodeSettings) -> float:
        """Return the expected time per unit from recent times and queues."""
        if settings['limit_policy'] == 'none':
            return 0.0
        usable = self._upstream_set.usable()
        queue_factor = min(
            (state.queue_factor() for state in usable), default=1.0
        )
        if queue_factor <= 1.0:
            return self._unit_time_estimator.value_s
        queued_s = self._baseline.value_s * queue_factor
        return max(self._unit_time_estimator.value_s, queued_s)

    def _limit_policy(
        self, settings: tree_schema.NodeSettings
    ) -> limits.LimitPolicy:
        name = settings['limit_policy']
        policy = self._limits.get(name)
        if policy is None:
            policy = limits.limits.get(name)()
            self._limits[name] = policy
        return policy

    def _may_retry(
        self,
        context: RequestContext,
        refusal: verdicts.Refusal,
        attempt_number: int,
    ) -> bool:
        settings = context.settings
        if attempt_number >= settings['max_attempts']:
            return False
        if refusal.verdict is verdicts.Verdict.RAN:
            return False
        not_run = refusal.verdict is verdicts.Verdict.NOT_RUN
        if not (settings['idempotent'] or not_run):
            return False
        if time.monotonic() >= context.deadline:
            return False
        if not self._budget.try_withdraw():
            self._metrics.count('routing.retry_budget_empty')
            return False
        self._metrics.count(f'routing.retries.{self._service}')
        return True

    def _back_off(self, context: RequestContext, attempt_number: int) -> None:
        mean_s = context.settings['backoff_initial_s']
        mean_s *= BACKOFF_FACTOR ** (attempt_number - 1)
        delay_s = self._rng.uniform(0, 2 * mean_s)
        remaining_s = max(0.0, context.deadline - time.monotonic())
        time.sleep(min(delay_s, remaining_s))


def no_upstream() -> verdicts.Refusal:
    """Return the refusal for a service without usable upstreams."""
    return verdicts.unavailable(
        'no_upstream',
        'the service has no upstream',
        NO_UPSTREAM_RETRY_S,
    )


def _counts_towards_ejection(
    code: str,
    elapsed_s: float,
    expected_s: float,
    settings: tree_schema.NodeSettings,
) -> bool:
    """Return whether a failure counts towards the upstream's ejection."""
    if code in NON_EJECTING_CODES:
        return False
    if code != TIMEOUT_CODE:
        return True
    # A time-out caused by a caller's short deadline does not count.
    return elapsed_s >= expected_s * settings['ejection_latency_factor']


def _with_final_verdict(
    refusal: verdicts.Refusal, may_have_run: bool
) -> verdicts.Refusal:
    if may_have_run and refusal.verdict is verdicts.Verdict.NOT_RUN:
        return refusal._replace(verdict=verdicts.Verdict.MAY_HAVE_RUN)
    return refusal
