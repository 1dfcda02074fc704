"""Choose an upstream for an item by load, speed and memory."""

import typing

# Relative slowdown of events on a full upstream compared with an idle one.
FULL_SLOWDOWN = 0.25
# Cost factor of an upstream that has the group's prompt in its prefix cache.
CACHED_PREFIX_FACTOR = 0.9


class Candidate(typing.NamedTuple):
    """Describe the state of an upstream that placement depends on."""

    upstream: str
    # Mean time between two events, in seconds.
    gap_s: float
    running: int
    slots: int
    has_cached_prefix: bool
    # Share of the upstream's KV cache needed by its runs and this item.
    memory_usage: float = 0.0
    # The upstream states a limit of requests.
    is_limited: bool = False

    @property
    def has_free_slot(self) -> bool:
        """Return whether one more item can run."""
        return self.running < self.slots


def cost(candidate: Candidate) -> float:
    """Return the expected time between events if one more item runs.

    When runs need more KV cache than there is, the upstream preempts some, so
    that they progress in turns.
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
    """Return the upstream with the lowest cost that has a free slot.

    Those that state a limit of requests come last.
    """
    free = [candidate for candidate in candidates if candidate.has_free_slot]
    if not free:
        return None
    return min(
        free, key=lambda candidate: (candidate.is_limited, cost(candidate))
    ).upstream
