"""Compute how many slots present and expected work needs to be in time."""

import math
import typing

# Time of a deadline that is kept for assigning items and listing results.
RESERVE_S = 0.5
# Work that is overdue, or due within this time of its arrival, counts as due
# at the end of this time.
MIN_WINDOW_S = 0.5
# Shortest duration that is assumed for an item, also if it has nearly ended.
MIN_DURATION_S = 0.05


class Work(typing.NamedTuple):
    """Items with the same arrival, duration and deadline.

    Times are relative to now.
    """

    items: int
    # Time for which one item takes up a slot.
    duration_s: float
    due_in_s: float
    # 0 for items that have arrived.
    arrives_in_s: float = 0.0

    @property
    def ends_in_s(self) -> float:
        """Return the deadline, at least MIN_WINDOW_S after the arrival."""
        return max(self.due_in_s, self.arrives_in_s + MIN_WINDOW_S)


def slots_needed(work: list[Work]) -> int:
    """Return the slots with which all work can be done in time.

    In each period from an arrival to a deadline, what arrives and is due
    within it must fit.
    """
    starts = sorted({group.arrives_in_s for group in work})
    ends = sorted({group.ends_in_s for group in work})
    return max(
        (
            _slots_between(work, start, end)
            for start in starts
            for end in ends
            if end > start
        ),
        default=0,
    )


def _slots_between(work: list[Work], start: float, end: float) -> int:
    """Return the slots for the work that arrives and is due in a period."""
    window_s = max(MIN_WINDOW_S, end - start - RESERVE_S)
    needed = 0.0
    for group in work:
        if group.arrives_in_s < start or group.ends_in_s > end:
            continue
        # Items are not divided between slots.
        duration_s = max(MIN_DURATION_S, group.duration_s)
        items_per_slot = max(1, math.floor(window_s / duration_s))
        needed += group.items / items_per_slot
    return math.ceil(needed)
