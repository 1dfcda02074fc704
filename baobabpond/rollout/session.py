"""Generate one trainer's samples and answer its pulls."""

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

IDLE_WAIT_S = 0.1
RECENT_DURATIONS = 256
MIN_DURATIONS = 8
STEP_UNKNOWN_RETRY_S = 0.1
FAILURE_PAUSE_S = 0.05

Generate = collections.abc.Callable[
    [step_module.Attempt, int], step_module.Sample | None
]
IsEjected = collections.abc.Callable[[str], bool]
GetSettings = collections.abc.Callable[[], tree_schema.NodeSettings]


class HandedGroup(typing.NamedTuple):
    """Hold one whole group on its way to the trainer."""

    name: str
    samples: list[step_module.Sample]


class Batch(typing.NamedTuple):
    """Hold the answer to a pull."""

    cursor: specs.Cursor
    groups: list[HandedGroup]
    done: bool


class Session:
    """Own the open steps of one trainer."""

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
        # The step that the trainer is at, and its version when it came there.
        self._trainer_step: int | None = None
        self._step_version = 0
        self._trainer_version = 0
        self._durations: collections.deque[float] = collections.deque(
            maxlen=RECENT_DURATIONS
        )
        self._workers = 0
        self._first_attempts = 0
        self._second_attempts = 0
        self._stopped = False
        self._last_used = time.monotonic()

    @property
    def last_used(self) -> float:
        """Return when the trainer last called, on the monotonic clock."""
        return self._last_used

    def open(self, spec: specs.StepSpec, version: int) -> None:
        """Take on a step; opening the same one again changes nothing."""
        with self._changed:
            first = spec.number if self._trainer_step is None else None
            self._note_trainer(version, first)
            known = self._steps.get(spec.number)
            if known is None or known.spec.digest != spec.digest:
                if known is not None:
                    self._cancel(known)
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
    ) -> result.Result[Batch, verdicts.Refusal]:
        """Return whole groups within the bound, waiting for the first."""
        with self._changed:
            self._note_trainer(version, number)
            step = self._steps.get(number)
            if step is None:
                return result.Failure(step_not_open(number))
            return specs.parse_cursor(cursor_text, step.spec).map(
                lambda cursor: self._take(
                    step, cursor, version, max_groups, deadline
                )
            )

    def announce(self, version: int) -> None:
        """Learn of a newer version and empty the slots it makes stale."""
        with self._changed:
            self._note_trainer(version, None)

    def stop(self) -> None:
        """Cancel everything that is under way."""
        with self._changed:
            self._stopped = True
            for step in self._steps.values():
                self._cancel(step)
            self._steps.clear()
            self._changed.notify_all()

    def _take(
        self,
        step: step_module.Step,
        cursor: specs.Cursor,
        version: int,
        max_groups: int,
        deadline: float,
    ) -> Batch:
        for attempt in step.acknowledge(cursor):
            attempt.cancelled = True
        whole = self._wait_whole(step, cursor, version, deadline)
        groups = []
        for index in whole[:max_groups]:
            samples = [slot.sample for slot in step.group(index)]
            kept = [sample for sample in samples if sample is not None]
            self._record_handed(kept, version)
            groups.append(HandedGroup(step.spec.groups[index].name, kept))
            cursor = cursor.with_group(index)
        done = cursor.delivered == (1 << len(step.spec.groups)) - 1
        return Batch(cursor, groups, done)

    def _wait_whole(
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
            whole = step.whole_groups(cursor)
            remaining_s = deadline - time.monotonic()
            if whole or remaining_s <= 0 or self._stopped:
                return whole
            self._changed.wait(remaining_s)

    def _record_handed(
        self, samples: list[step_module.Sample], version: int
    ) -> None:
        now = time.monotonic()
        for sample in samples:
            lag = sample.lag(version)
            self._metrics.count('rollout.samples_handed')
            self._metrics.count(f'rollout.lag.{lag}')
            self._metrics.record('rollout.age', now - sample.generated_at)

    def _note_trainer(self, version: int, number: int | None) -> None:
        self._last_used = time.monotonic()
        if number is not None and number > (self._trainer_step or 0):
            self._trainer_step = number
            self._step_version = version
            for old in [n for n in self._steps if n < number]:
                self._cancel(self._steps.pop(old))
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
        wanted = self._get_settings()['step_concurrency']
        while self._workers < wanted:
            self._workers += 1
            threading.Thread(
                target=self._work, name='rollout-worker', daemon=True
            ).start()

    def _work(self) -> None:
        while True:
            attempt = self._next_attempt()
            if attempt is None:
                return
            # The oldest version that may still be handed over.
            settings = self._get_settings()
            minimum = self._trainer_version - settings['staleness_bound']
            started = time.monotonic()
            sample = self._try_generate(attempt, minimum)
            self._finish(attempt, sample, time.monotonic() - started)

    def _try_generate(
        self, attempt: step_module.Attempt, minimum: int
    ) -> step_module.Sample | None:
        try:
            return self._generate(attempt, minimum)
        except Exception:
            # The last resort: an attempt that never ends keeps its slot.
            self._metrics.count('rollout.internal_errors')
            LOG.exception('attempt failed')
            return None

    def _next_attempt(self) -> step_module.Attempt | None:
        with self._changed:
            while not self._stopped:
                if self._workers > self._get_settings()['step_concurrency']:
                    break
                attempt = self._pick()
                if attempt is not None:
                    attempt.slot.attempts.append(attempt)
                    return attempt
                self._changed.wait(IDLE_WAIT_S)
            self._workers -= 1
            return None

    def _pick(self) -> step_module.Attempt | None:
        settings = self._get_settings()
        for number in sorted(self._steps):
            if not self._may_start(number, settings):
                break
            for slot in self._steps[number].slots:
                if slot.idle:
                    self._first_attempts += 1
                    return step_module.Attempt(slot)
        return self._pick_straggler(settings)

    def _may_start(
        self, number: int, settings: tree_schema.NodeSettings
    ) -> bool:
        """Tell whether a sample begun now would be fresh when it is due.

        Each step that the trainer still has to make before it adds one
        version to the sample's lag; a version announced since it came to
        its step says that it has made that step.
        """
        made = self._trainer_version - self._step_version
        ahead = number - (self._trainer_step or 0) - made
        if ahead <= 0:
            return True
        return (
            ahead <= settings['run_ahead_steps']
            and ahead <= settings['staleness_bound']
        )

    def _pick_straggler(
        self, settings: tree_schema.NodeSettings
    ) -> step_module.Attempt | None:
        step = self._steps.get(self._trainer_step or 0)
        if step is None:
            return None
        for slot in step.slots:
            if slot.sample is not None or len(slot.attempts) != 1:
                continue
            if self._is_stuck(slot.attempts[0]):
                self._metrics.count('rollout.moved_attempts')
                return step_module.Attempt(slot)
            if self._is_late(slot, settings):
                self._second_attempts += 1
                self._metrics.count('rollout.second_attempts')
                return step_module.Attempt(slot)
        return None

    def _is_stuck(self, attempt: step_module.Attempt) -> bool:
        """Tell whether the upstream was ejected; needs no budget.

        The number of ejected upstreams is bounded already.
        """
        upstream = attempt.upstream
        return upstream is not None and self._is_ejected(upstream)

    def _is_late(
        self, slot: step_module.Slot, settings: tree_schema.NodeSettings
    ) -> bool:
        allowed = self._first_attempts * settings['straggler_budget']
        if self._second_attempts + 1 > allowed:
            return False
        if len(self._durations) < MIN_DURATIONS:
            return False
        usual_s = statistics.median(self._durations) * slot.spec.max_tokens
        return slot.attempts[0].age_s > usual_s * settings['straggler_factor']

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
            time.sleep(FAILURE_PAUSE_S)

    def _commit(
        self,
        slot: step_module.Slot,
        sample: step_module.Sample,
        elapsed_s: float,
    ) -> None:
        self._durations.append(elapsed_s / max(1, sample.tokens))
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
        for other in slot.attempts:
            other.cancelled = True


def step_not_open(number: int) -> verdicts.Refusal:
    """Return the refusal of a pull from a step that is not known here."""
    return verdicts.Refusal(
        verdicts.Verdict.NOT_RUN,
        409,
        'step_not_open',
        f'step {number} is not open here; open it again and go on pulling',
        STEP_UNKNOWN_RETRY_S,
    )
