"""Predict the next step of each trainer from its last ones."""

import collections
import statistics
import typing

from . import demand

# Intervals between steps from which the next one is predicted.
KEPT_INTERVALS = 5
# A trainer that is overdue by this many intervals has ended.
MAX_OVERDUE_INTERVALS = 3.0


class Step(typing.NamedTuple):
    """Describe what a trainer submitted at once."""

    # By time.monotonic().
    at: float
    items: int
    # Time for which one item takes up a slot.
    duration_s: float
    # Time from the submission to the deadline.
    due_s: float


class StepPrediction:
    """Remember the last steps of each trainer."""

    def __init__(self) -> None:
        self._steps: dict[str, collections.deque[Step]] = {}

    def record(self, trainer: str, step: Step) -> None:
        """Record a step that was submitted."""
        steps = self._steps.setdefault(
            trainer, collections.deque(maxlen=KEPT_INTERVALS + 1)
        )
        steps.append(step)

    def expected(self, now: float) -> list[demand.Work]:
        """Return the next step of each trainer, as large as its largest.

        A step that is overdue is expected now.
        """
        return [
            work
            for steps in self._steps.values()
            for work in self._next(list(steps), now)
        ]

    def _next(self, steps: list[Step], now: float) -> list[demand.Work]:
        last = steps[-1]
        if len(steps) == 1:
            return []
        interval_s = statistics.median(
            later.at - earlier.at
            for earlier, later in zip(steps, steps[1:], strict=False)
        )
        if now - last.at > MAX_OVERDUE_INTERVALS * interval_s:
            return []
        arrives_in_s = max(0.0, last.at + interval_s - now)
        return [
            demand.Work(
                max(step.items for step in steps),
                max(step.duration_s for step in steps),
                arrives_in_s + last.due_s,
                arrives_in_s,
            )
        ]
