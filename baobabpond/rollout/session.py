"""Generate the samples of one trainer's steps and serve its pulls."""

import collections
import collections.abc
import statistics
import threading
import time
import typing

from returns import result
import structlog

from .. import metrics as metrics_module
from .. import verdicts
from ..gen import tree as tree_schema

from . import specs
from . import step as step_module

LOG = structlog.get_logger(__name__)

WORKER_WAIT_S = 0.1
DURATION_WINDOW = 256
MIN_DURATIONS = 8
STEP_NOT_OPEN_RETRY_S = 0.1
FAILURE_BACKOFF_S = 0.05

Generate = collections.abc.Callable[
    [step_module.Attempt, int], step_module.Sample | None
]
IsEjected = collections.abc.Callable[[str], bool]
GetSettings = collections.abc.Callable[[], tree_schema.NodeSettings]


class PulledGroup(typing.NamedTuple):
    """Describe one complete group returned to the trainer."""

    name: str
    samples: list[step_module.Sample]


class PullResult(typing.NamedTuple):
    """Describe the response to a pull."""

    cursor: specs.Cursor
    groups: list[PulledGroup]
    done: bool


class Session:
    """Run the open steps of one trainer with a pool of worker threads."""

    def __init__(
        self,
        get_settings: GetSettings,
        generate: Generate,
        is_ejected: IsEjected,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._get_settings = get_settings
        self._generate = generate
        self._is_ejected = is_ejected
        self._metrics = metrics
        self._changed = threading.Condition(threading.RLock())
        self._steps: dict[int, step_module.Step] = {}
        # The trainer's current step, and its weight version when that step
        # began.
        self._trainer_step: int | None = None
        self._version_at_step_start = 0
        self._trainer_version = 0
        self._token_durations: collections.deque[float] = collections.deque(
            maxlen=DURATION_WINDOW
        )
        self._workers = 0
        self._first_attempts = 0
        self._second_attempts = 0
        self._stopped = False
        self._last_called_at = time.monotonic()

    @property
    def last_called_at(self) -> float:
        """Return the monotonic time of the trainer's last call."""
        return self._last_called_at

    def open(self, spec: specs.StepSpec, version: int) -> None:
        """Open a step; repeating the same specification changes nothing.

        With another specification the step starts anew.
        """
        with self._changed:
            first_number = spec.number if self._trainer_step is None else None
            self._update_trainer(version, first_number)
            existing = self._steps.get(spec.number)
            if existing is None or existing.spec.digest != spec.digest:
                if existing is not None:
                    self._cancel(existing)
                self._steps[spec.number] = step_module.Step(spec)
            self._start_workers()
            self._changed.notify_all()

    def pull(
        self,
        number: int,
        cursor_text: typing.Any,
        version: int,
        max_groups: int,
        deadline: float,
    ) -> result.Result[PullResult, verdicts.Refusal]:
        """Return complete groups within the staleness bound.

        Waits until the deadline, on the monotonic clock, for at least one.
        """
        with self._changed:
            self._update_trainer(version, number)
            step = self._steps.get(number)
            if step is None:
                return result.Failure(step_not_open(number))
            return specs.parse_cursor(cursor_text, step.spec).map(
                lambda cursor: self._collect_groups(
                    step, cursor, version, max_groups, deadline
                )
            )

    def announce(self, version: int) -> None:
        """Record a newer weight version and drop now stale samples."""
        with self._changed:
            self._update_trainer(version, None)

    def stop(self) -> None:
        """Cancel all attempts and stop the workers."""
        with self._changed:
            self._stopped = True
            for step in self._steps.values():
                self._cancel(step)
            self._steps.clear()
            self._changed.notify_all()

    def _collect_groups(
        self,
        step: step_module.Step,
        cursor: specs.Cursor,
        version: int,
        max_groups: int,
        deadline: float,
    ) -> PullResult:
        for attempt in step.acknowledge(cursor):
            attempt.cancelled = True
        complete = self._wait_for_groups(step, cursor, version, deadline)
        groups = []
        for index in complete[:max_groups]:
            slot_samples = [slot.sample for slot in step.group(index)]
            samples = [sample for sample in slot_samples if sample is not None]
            self._record_pulled(samples, version)
            groups.append(PulledGroup(step.spec.groups[index].name, samples))
            cursor = cursor.with_group(index)
        done = cursor.delivered == (1 << len(step.spec.groups)) - 1
        return PullResult(cursor, groups, done)

    def _wait_for_groups(
        self,
        step: step_module.Step,
        cursor: specs.Cursor,
        version: int,
        deadline: float,
    ) -> list[int]:
        while True:
            bound = self._get_settings()['staleness_bound']
            dropped = step.drop_stale(version, bound)
            if dropped:
                self._metrics.count('rollout.stale_dropped', dropped)
                self._changed.notify_all()
            complete = step.complete_groups(cursor)
            remaining_s = deadline - time.monotonic()
            if complete or remaining_s <= 0 or self._stopped:
                return complete
            self._changed.wait(remaining_s)

    def _record_pulled(
        self, samples: list[step_module.Sample], version: int
    ) -> None:
        now = time.monotonic()
        for sample in samples:
            lag = sample.lag(version)
            self._metrics.count('rollout.samples_handed')
            self._metrics.count(f'rollout.lag.{lag}')
            self._metrics.record('rollout.age', now - sample.generated_at)

    def _update_trainer(self, version: int, number: int | None) -> None:
        self._last_called_at = time.monotonic()
        if number is not None and number > (self._trainer_step or 0):
            self._trainer_step = number
            self._version_at_step_start = version
            for past_number in [n for n in self._steps if n < number]:
                self._cancel(self._steps.pop(past_number))
        if version <= self._trainer_version:
            return
        self._trainer_version = version
        bound = self._get_settings()['staleness_bound']
        for step in self._steps.values():
            dropped = step.drop_stale(version, bound)
            self._metrics.count('rollout.stale_dropped', dropped)
        self._changed.notify_all()

    def _cancel(self, step: step_module.Step) -> None:
        for slot in step.slots:
            for attempt in slot.attempts:
                attempt.cancelled = True

    def _start_workers(self) -> None:
        target_count = self._get_settings()['step_concurrency']
        while self._workers < target_count:
            self._workers += 1
            threading.Thread(
                target=self._run_worker, name='rollout-worker', daemon=True
            ).start()

    def _run_worker(self) -> None:
        while True:
            attempt = self._next_attempt()
            if attempt is None:
                return
            # The oldest weight version within the staleness bound.
            settings = self._get_settings()
            minimum_version = (
                self._trainer_version - settings['staleness_bound']
            )
            started = time.monotonic()
            sample = self._try_generate(attempt, minimum_version)
            self._finish(attempt, sample, time.monotonic() - started)

    def _try_generate(
        self, attempt: step_module.Attempt, minimum_version: int
    ) -> step_module.Sample | None:
        try:
            return self._generate(attempt, minimum_version)
        except Exception:
            # The attempt must end even so, or its slot would stay occupied.
            self._metrics.count('rollout.internal_errors')
            LOG.exception('attempt failed unexpectedly')
            return None

    def _next_attempt(self) -> step_module.Attempt | None:
        with self._changed:
            while not self._stopped:
                if self._workers > self._get_settings()['step_concurrency']:
                    break
                attempt = self._pick_attempt()
                if attempt is not None:
                    attempt.slot.attempts.append(attempt)
                    return attempt
                self._changed.wait(WORKER_WAIT_S)
            self._workers -= 1
            return None

    def _pick_attempt(self) -> step_module.Attempt | None:
        settings = self._get_settings()
        for number in sorted(self._steps):
            if not self._may_start_step(number, settings):
                break
            for slot in self._steps[number].slots:
                if slot.needs_attempt:
                    self._first_attempts += 1
                    return step_module.Attempt(slot)
        return self._pick_second_attempt(settings)

    def _may_start_step(
        self, number: int, settings: tree_schema.NodeSettings
    ) -> bool:
        """Return whether a sample started now would be fresh when pulled.

        Each step that the trainer has yet to complete before this one adds
        one version to the sample's lag. A version announced since the
        trainer's current step began means that this step is complete.
        """
        completed_steps = self._trainer_version - self._version_at_step_start
        steps_ahead = number - (self._trainer_step or 0) - completed_steps
        if steps_ahead <= 0:
            return True
        return (
            steps_ahead <= settings['run_ahead_steps']
            and steps_ahead <= settings['staleness_bound']
        )

    def _pick_second_attempt(
        self, settings: tree_schema.NodeSettings
    ) -> step_module.Attempt | None:
        step = self._steps.get(self._trainer_step or 0)
        if step is None:
            return None
        for slot in step.slots:
            if slot.sample is not None or len(slot.attempts) != 1:
                continue
            if self._is_at_ejected_upstream(slot.attempts[0]):
                self._metrics.count('rollout.moved_attempts')
                return step_module.Attempt(slot)
            if self._is_straggler(slot, settings):
                self._second_attempts += 1
                self._metrics.count('rollout.second_attempts')
                return step_module.Attempt(slot)
        return None

    def _is_at_ejected_upstream(self, attempt: step_module.Attempt) -> bool:
        """Return whether the attempt's upstream was ejected.

        Such an attempt is repeated outside the straggler budget, since the
        number of ejected upstreams is already bounded.
        """
        upstream = attempt.upstream
        return upstream is not None and self._is_ejected(upstream)

    def _is_straggler(
        self, slot: step_module.Slot, settings: tree_schema.NodeSettings
    ) -> bool:
        budget = self._first_attempts * settings['straggler_budget']
        if self._second_attempts + 1 > budget:
            return False
        if len(self._token_durations) < MIN_DURATIONS:
            return False
        typical_s = (
            statistics.median(self._token_durations) * slot.spec.max_tokens
        )
        return (
            slot.attempts[0].age_s > typical_s * settings['straggler_factor']
        )

    def _finish(
        self,
        attempt: step_module.Attempt,
        sample: step_module.Sample | None,
        elapsed_s: float,
    ) -> None:
        slot = attempt.slot
        with self._changed:
            slot.attempts.remove(attempt)
            if sample is not None:
                self._commit(slot, sample, elapsed_s)
            self._changed.notify_all()
        if sample is None and not attempt.cancelled:
            self._metrics.count('rollout.failed_attempts')
            time.sleep(FAILURE_BACKOFF_S)

    def _commit(
        self,
        slot: step_module.Slot,
        sample: step_module.Sample,
        elapsed_s: float,
    ) -> None:
        self._token_durations.append(elapsed_s / max(1, sample.tokens))
        if slot.sample is not None or slot not in slot.step.slots:
            self._metrics.count('rollout.twins_dropped')
            self._metrics.count('rollout.tokens_wasted', sample.tokens)
            return
        bound = self._get_settings()['staleness_bound']
        if sample.lag(self._trainer_version) > bound:
            self._metrics.count('rollout.stale_dropped')
            self._metrics.count('rollout.tokens_wasted', sample.tokens)
            return
        slot.sample = sample
        self._metrics.count('rollout.samples_committed')
        for duplicate in slot.attempts:
            duplicate.cancelled = True


def step_not_open(number: int) -> verdicts.Refusal:
    """Return the refusal of a pull from a step not open at this instance."""
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        409,
        'step_not_open',
        f'step {number} is not open here; open it again and go on pulling',
        STEP_NOT_OPEN_RETRY_S,
    )
