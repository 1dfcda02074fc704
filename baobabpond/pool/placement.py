"""Choose the upstream of an item. Answers uneven load, speed and memory."""

import typing

# How much longer an event takes on a full upstream than on an empty one.
FULL_SLOWDOWN = 0.25
# An upstream that holds the group's prompt may be this much slower.
PROMPT_BONUS = 0.9


class Candidate(typing.NamedTuple):
    """Hold what the choice of an upstream depends on."""

    upstream: str
    # Mean time between two events, in seconds.
    gap_s: float
    running: int
    slots: int
    holds_prompt: bool
    # Share of the upstream's memory that its runs and this item will need.
    memory_usage: float = 0.0

    @property
    def is_free(self) -> bool:
        """Tell whether one more item may run."""
        return self.running < self.slots


def cost(candidate: Candidate) -> float:
    """Return the expected time between events if one more item runs.

    Runs that need more memory than there is go on in turns.
    """
    filled = (candidate.running + 1) / candidate.slots
    expected = candidate.gap_s * (1.0 + FULL_SLOWDOWN * filled)
    if candidate.running:
        expected *= max(1.0, candidate.memory_usage)
    return expected * PROMPT_BONUS if candidate.holds_prompt else expected


def choose(candidates: list[Candidate]) -> str | None:
    """Return the upstream with the lowest cost that has a free slot."""
    free = [candidate for candidate in candidates if candidate.is_free]
    if not free:
        return None
    return min(free, key=cost).upstream
