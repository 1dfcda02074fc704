"""Hold the slots of one step and commit each sample once."""

import time
import typing

from . import specs


class Sample(typing.NamedTuple):
    """Hold a whole sample and the versions that produced it."""

    text: str
    tokens: int
    weight_versions: tuple[int, ...]
    generated_at: float

    def lag(self, trainer_version: int) -> int:
        """Return how many versions the sample's oldest part lags."""
        return max(0, trainer_version - min(self.weight_versions))


class Attempt:
    """Track one attempt at a slot."""

    def __init__(self, slot: 'Slot') -> None:
        self.slot = slot
        self.started_at = time.monotonic()
        self.upstream: str | None = None
        self.cancelled = False

    @property
    def age_s(self) -> float:
        """Return the time since the start."""
        return time.monotonic() - self.started_at


class Slot:
    """Hold the place of one sample: step, group and index."""

    def __init__(self, step: 'Step', group: int, index: int) -> None:
        self.step = step
        self.group = group
        self.index = index
        self.sample: Sample | None = None
        self.attempts: list[Attempt] = []

    @property
    def spec(self) -> specs.GroupSpec:
        """Return the group's specification."""
        return self.step.spec.groups[self.group]

    @property
    def idle(self) -> bool:
        """Tell whether the slot needs a first attempt."""
        return self.sample is None and not self.attempts


class Step:
    """Hold the slots of a step in the order in which they start."""

    def __init__(self, spec: specs.StepSpec) -> None:
        self.spec = spec
        self._groups = [
            [Slot(self, group, index) for index in range(group_spec.samples)]
            for group, group_spec in enumerate(spec.groups)
        ]
        # The longest first, so that none of them is left for the end.
        self._order = sorted(
            (slot for slots in self._groups for slot in slots),
            key=lambda slot: -slot.spec.max_tokens,
        )
        self._acknowledged = 0

    @property
    def slots(self) -> list[Slot]:
        """Return the slots that the trainer has not acknowledged."""
        return self._order

    def group(self, index: int) -> list[Slot]:
        """Return the slots of a group."""
        return self._groups[index]

    def acknowledge(self, cursor: specs.Cursor) -> list[Attempt]:
        """Drop the groups that the trainer has; return their attempts."""
        added = cursor.delivered & ~self._acknowledged
        if not added:
            return []
        self._acknowledged |= cursor.delivered
        dropped = [slot for slot in self._order if cursor.has(slot.group)]
        self._order = [
            slot for slot in self._order if not cursor.has(slot.group)
        ]
        attempts = [attempt for slot in dropped for attempt in slot.attempts]
        for slot in dropped:
            slot.sample = None
        return attempts

    def whole_groups(self, cursor: specs.Cursor) -> list[int]:
        """Return the groups that are whole and not delivered."""
        return [
            index
            for index, slots in enumerate(self._groups)
            if not cursor.has(index)
            and all(slot.sample is not None for slot in slots)
        ]

    def drop_stale(self, trainer_version: int, bound: int) -> int:
        """Empty the slots whose samples lag too far; return how many."""
        stale = [
            slot
            for slot in self._order
            if slot.sample is not None
            and slot.sample.lag(trainer_version) > bound
        ]
        for slot in stale:
            slot.sample = None
        return len(stale)
