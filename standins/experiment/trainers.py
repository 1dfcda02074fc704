"""Stand in for trainers in simulated time."""

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

# Spreads of the logarithms of lengths, and of their estimates.
LENGTH_SPREAD = 0.84
ESTIMATE_SPREAD = 0.48
MOST_EVENTS = 143
PROMPT_TOKENS = 270
# Later than its due time by this, a group is worth less.
DUE_SLACK_S = 0.7
LATE_WORTH = 0.375

Submit = collections.abc.Callable[[shard_state.Batch], None]


class Step(typing.NamedTuple):
    """Hold a submitted step."""

    batch: shard_state.Batch
    # When each group was read whole.
    groups: dict[str, float]


class Trainer:
    """Ask for steps, read them, and name new versions."""

    def __init__(
        self,
        kind: load_module.Trainer,
        rng: random.Random,
        schedule: clock.Schedule,
        submit: Submit,
    ) -> None:
        self._kind = kind
        self._rng = rng
        self._schedule = schedule
        self._submit = submit
        self._started = time.monotonic()
        self.version = 1
        # Events of each item, unknown to the product.
        self.lengths: dict[str, int] = {}
        self.steps: list[Step] = []
        self._missing: dict[str, int] = {}
        self._schedule.after(0.0, self._ask)

    @property
    def model(self) -> str:
        """Return the trained model."""
        return self._kind.model

    def worth(self, length_s: float) -> float:
        """Return the share of what the steps of a day could earn."""
        planned = math.floor(length_s / self._kind.every_s)
        earned = sum(self._step_worth(step) for step in self.steps[:planned])
        return earned / planned

    def read(self, batch: shard_state.Batch, item: str) -> None:
        """Read an item's result."""
        if batch.ended:
            return
        group = callers_group(batch, item)
        key = f'{batch.head.id}/{group}'
        self._missing[key] -= 1
        if self._missing[key] == 0:
            step = self.steps[batch.head.step]
            step.groups[group] = time.monotonic() - batch.submitted
            if len(step.groups) >= self._wanted:
                self._end(batch)

    @property
    def _wanted(self) -> int:
        return math.ceil(self._kind.wanted_share * self._kind.groups)

    def _ask(self) -> None:
        number = len(self.steps)
        batch = self._batch(number)
        self.steps.append(Step(batch, {}))
        for item in batch.items:
            key = f'{batch.head.id}/{item.group}'
            self._missing[key] = self._missing.get(key, 0) + 1
        self._submit(batch)
        self._schedule.after(self._kind.give_up_s, lambda: self._end(batch))

    def _end(self, batch: shard_state.Batch) -> None:
        if batch.ended:
            return
        batch.ended = True
        self._schedule.after(self._kind.train_s, self._name_version)

    def _name_version(self) -> None:
        self.version += 1
        due = self._started + len(self.steps) * self._kind.every_s
        self._schedule.after(max(0.0, due - time.monotonic()), self._ask)

    def _batch(self, number: int) -> shard_state.Batch:
        kind = self._kind
        name = f'{kind.model}{number}'
        head = records.BatchHead(
            name,
            'host',
            'route',
            0.0,
            number,
            kind.model,
            max(1, self.version - kind.lag),
            self._wanted,
            self.version,
        )
        items = tuple(
            self._item(f'{name}-{group}-{item}', str(group))
            for group in range(kind.groups)
            for item in range(kind.group_size)
        )
        return shard_state.Batch(head, items, time.monotonic())

    def _item(self, name: str, group: str) -> callers.Item:
        mean = math.log(self._kind.mean_events) - LENGTH_SPREAD**2 / 2
        length = self._rng.lognormvariate(mean, LENGTH_SPREAD)
        events = min(MOST_EVENTS, max(1, round(length)))
        self.lengths[name] = events
        estimate = events * self._rng.lognormvariate(0.0, ESTIMATE_SPREAD)
        return callers.Item(
            name,
            '/',
            (),
            '',
            PROMPT_TOKENS + MOST_EVENTS * samplers.EVENT_TOKENS,
            group,
            max(1, round(estimate * samplers.EVENT_TOKENS)),
            PROMPT_TOKENS,
        )

    def _step_worth(self, step: Step) -> float:
        worth = 0.0
        for took_s in sorted(step.groups.values())[: self._wanted]:
            in_time = took_s <= self._kind.due_s + DUE_SLACK_S
            worth += 1.0 if in_time else LATE_WORTH
        return worth / self._wanted


def callers_group(batch: shard_state.Batch, item: str) -> str:
    """Return the group of a batch's item."""
    found = batch.item(item)
    return found.group if found else ''
