"""Simulate trainers."""

import collections.abc
import math
import random
import time
import typing

from baobabpond.batches import records
from baobabpond.batches import shard_state
from baobabpond.ports import callers

from . import clock
from . import load as load_module
from . import samplers

# Standard deviations of the log-normal distributions of the lengths and
# of the error of their estimates.
LENGTH_SPREAD = 0.84
ESTIMATE_SPREAD = 0.48
MAX_EVENTS = 143
PROMPT_TOKENS = 270
# A group that is later than its due time by more than this has only
# LATE_UTILITY instead of 1.
DUE_GRACE_S = 0.7
LATE_UTILITY = 0.375

Submit = collections.abc.Callable[[shard_state.Batch], None]


class Step(typing.NamedTuple):
    """Describe a submitted step."""

    batch: shard_state.Batch
    # Seconds from submission until each group was complete, by group.
    groups: dict[str, float]


class Trainer:
    """Submit steps, read their results and publish new versions."""

    def __init__(
        self,
        spec: load_module.TrainerSpec,
        rng: random.Random,
        scheduler: clock.Scheduler,
        submit: Submit,
    ) -> None:
        self._spec = spec
        self._rng = rng
        self._scheduler = scheduler
        self._submit = submit
        self._started = time.monotonic()
        self.version = 1
        # Actual number of events by item; the product only sees an estimate.
        self.event_counts: dict[str, int] = {}
        self.steps: list[Step] = []
        self._remaining: dict[str, int] = {}
        self._scheduler.call_later(0.0, self._submit_step)

    @property
    def model(self) -> str:
        """Return the name of the trained model."""
        return self._spec.model

    def utility(self, duration_s: float) -> float:
        """Return the mean utility of the steps due within a run, 0 to 1."""
        step_count = math.floor(duration_s / self._spec.step_period_s)
        total = sum(
            self._step_utility(step) for step in self.steps[:step_count]
        )
        return total / step_count

    def groups_in_time(self, duration_s: float) -> float:
        """Return the share of the due steps' groups complete in time."""
        step_count = math.floor(duration_s / self._spec.step_period_s)
        due_s = self._spec.due_s + DUE_GRACE_S
        in_time = sum(
            took_s <= due_s
            for step in self.steps[:step_count]
            for took_s in step.groups.values()
        )
        return min(1.0, in_time / (step_count * self._required_groups))

    def read_result(self, batch: shard_state.Batch, item: str) -> None:
        """Count a result; end the step once enough groups are complete."""
        if batch.ended:
            return
        group = group_of(batch, item)
        key = f'{batch.head.id}/{group}'
        self._remaining[key] -= 1
        if self._remaining[key] == 0:
            step = self.steps[batch.head.step]
            step.groups[group] = time.monotonic() - batch.submitted
            if len(step.groups) >= self._required_groups:
                self._end_step(batch)

    @property
    def _required_groups(self) -> int:
        return math.ceil(self._spec.required_share * self._spec.groups)

    def _submit_step(self) -> None:
        step_number = len(self.steps)
        batch = self._make_batch(step_number)
        self.steps.append(Step(batch, {}))
        for item in batch.items:
            key = f'{batch.head.id}/{item.group}'
            self._remaining[key] = self._remaining.get(key, 0) + 1
        self._submit(batch)
        self._scheduler.call_later(
            self._spec.step_timeout_s, lambda: self._end_step(batch)
        )

    def _end_step(self, batch: shard_state.Batch) -> None:
        if batch.ended:
            return
        batch.ended = True
        self._scheduler.call_later(self._spec.train_s, self._publish_version)

    def _publish_version(self) -> None:
        self.version += 1
        due = self._started + len(self.steps) * self._spec.step_period_s
        self._scheduler.call_later(
            max(0.0, due - time.monotonic()), self._submit_step
        )

    def _make_batch(self, step_number: int) -> shard_state.Batch:
        spec = self._spec
        name = f'{spec.model}{step_number}'
        head = records.BatchHead(
            name,
            'host',
            'route',
            0.0,
            step_number,
            spec.model,
            max(1, self.version - spec.max_staleness),
            self._required_groups,
            self.version,
        )
        items = tuple(
            self._make_item(f'{name}-{group}-{item}', str(group))
            for group in range(spec.groups)
            for item in range(spec.group_size)
        )
        return shard_state.Batch(head, items, time.monotonic())

    def _make_item(self, name: str, group: str) -> callers.Item:
        log_mean = math.log(self._spec.mean_events) - LENGTH_SPREAD**2 / 2
        length = self._rng.lognormvariate(log_mean, LENGTH_SPREAD)
        events = min(MAX_EVENTS, max(1, round(length)))
        self.event_counts[name] = events
        estimate = events * self._rng.lognormvariate(0.0, ESTIMATE_SPREAD)
        return callers.Item(
            name,
            '/',
            (),
            '',
            PROMPT_TOKENS + MAX_EVENTS * samplers.TOKENS_PER_EVENT,
            group,
            max(1, round(estimate * samplers.TOKENS_PER_EVENT)),
            PROMPT_TOKENS,
        )

    def _step_utility(self, step: Step) -> float:
        utility = 0.0
        for took_s in sorted(step.groups.values())[: self._required_groups]:
            in_time = took_s <= self._spec.due_s + DUE_GRACE_S
            utility += 1.0 if in_time else LATE_UTILITY
        return utility / self._required_groups


def group_of(batch: shard_state.Batch, item: str) -> str:
    """Return the group of a batch's item, empty if it is unknown."""
    found = batch.item(item)
    return found.group if found else ''
