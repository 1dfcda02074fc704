"""Choose the upstream of an item. Answers uneven load, speed and memory."""

import typing

# How much longer an event takes on a full upstream than on an empty one.
FULL_SLOWDOWN = 0.25
# An upstream that holds the group's prompt may be this much slower.
CACHED_PREFIX_FACTOR = 0.9


class Candidate(typing.NamedTuple):
    """Hold what the choice of an upstream depends on."""

    upstream: str
    # Mean time between two events, in seconds.
    gap_s: float
    running: int
    slots: int
    has_cached_prefix: bool
    # Share of the upstream's memory that its runs and this item will need.
    memory_usage: float = 0.0

    @property
    def has_free_slot(self) -> bool:
        """Tell whether one more item may run."""
        return self.running < self.slots


def cost(candidate: Candidate) -> float:
    """Return the expected time between events if one more item runs.

    Runs that need more memory than there is go on in turns.
    """
    slot_usage = (candidate.running + 1) / candidate.slots
    expected = candidate.gap_s * (1.0 + FULL_SLOWDOWN * slot_usage)
    if candidate.running:
        expected *= max(1.0, candidate.memory_usage)
    return (
        expected * CACHED_PREFIX_FACTOR
        if candidate.has_cached_prefix
        else expected
    )


def choose(candidates: list[Candidate]) -> str | None:
    """Return the upstream with the lowest cost that has a free slot."""
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    if not free:
        return None
    return min(free, key=cost).upstream
