"""Track the slots of one step, each with at most one sample."""

import time
import typing

from . import specs


class Sample(typing.NamedTuple):
    """Describe a complete sample and the weight versions that produced it.

    generated_at is on the monotonic clock.
    """

    text: str
    tokens: int
    weight_versions: tuple[int, ...]
    generated_at: float

    def lag(self, trainer_version: int) -> int:
        """Return the staleness of the sample's oldest part, in versions."""
        return max(0, trainer_version - min(self.weight_versions))


class Attempt:
    """Track one attempt to generate the sample of a slot."""

    def __init__(self, slot: 'Slot') -> None:
        self.slot = slot
        self.started_at = time.monotonic()
        self.upstream: str | None = None
        self.cancelled = False

    @property
    def age_s(self) -> float:
        """Return the seconds since admission, or before it since creation."""
        return time.monotonic() - self.started_at


class Slot:
    """Identify one sample of a step by its group and index."""

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
    def needs_attempt(self) -> bool:
        """Return whether the slot has neither a sample nor an attempt."""
        return self.sample is None and not self.attempts


class Step:
    """Track the slots of a step, in the order in which they start."""

    def __init__(self, spec: specs.StepSpec) -> None:
        self.spec = spec
        self._groups = [
            [Slot(self, group, index) for index in range(group_spec.samples)]
            for group, group_spec in enumerate(spec.groups)
        ]
        # Longest first, so that no long sample starts at the end of the
        # step.
        self._unacknowledged_slots = sorted(
            (slot for slots in self._groups for slot in slots),
            key=lambda slot: -slot.spec.max_tokens,
        )
        self._acknowledged_mask = 0

    @property
    def slots(self) -> list[Slot]:
        """Return the slots of groups that the trainer has not acknowledged."""
        return self._unacknowledged_slots

    def group(self, index: int) -> list[Slot]:
        """Return the slots of a group."""
        return self._groups[index]

    def acknowledge(self, cursor: specs.Cursor) -> list[Attempt]:
        """Remove the groups that a cursor includes; return their attempts."""
        newly_delivered = cursor.delivered & ~self._acknowledged_mask
        if not newly_delivered:
            return []
        self._acknowledged_mask |= cursor.delivered
        dropped = [
            slot
            for slot in self._unacknowledged_slots
            if cursor.includes(slot.group)
        ]
        self._unacknowledged_slots = [
            slot
            for slot in self._unacknowledged_slots
            if not cursor.includes(slot.group)
        ]
        attempts = [attempt for slot in dropped for attempt in slot.attempts]
        for slot in dropped:
            slot.sample = None
        return attempts

    def complete_groups(self, cursor: specs.Cursor) -> list[int]:
        """Return the indices of groups that are complete and not delivered."""
        return [
            index
            for index, slots in enumerate(self._groups)
            if not cursor.includes(index)
            and all(slot.sample is not None for slot in slots)
        ]

    def drop_stale(self, trainer_version: int, bound: int) -> int:
        """Drop the samples staler than the bound; return how many."""
        stale = [
            slot
            for slot in self._unacknowledged_slots
            if slot.sample is not None
            and slot.sample.lag(trainer_version) > bound
        ]
        for slot in stale:
            slot.sample = None
        return len(stale)
