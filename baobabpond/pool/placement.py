"""Choose an upstream for an item by load, speed and memory."""

import typing

from ..upstreams.capacity import load_factor

# What a run beyond the learnt limit costs, with what it costs other runs.
OVERLOAD_FACTOR = 1.5
# Noise lasts for a part of a run only.
PRESENT_SHARE = 0.25
# Cost factor of an upstream that has the group's prompt in its prefix cache.
CACHED_PREFIX_FACTOR = 0.9


class Candidate(typing.NamedTuple):
    """Describe the state of an upstream that placement depends on."""

    upstream: str
    # Usual time between two events on the idle upstream, in seconds.
    gap_s: float
    running: int
    slots: int
    has_cached_prefix: bool
    # Share of the upstream's KV cache needed by its runs and this item.
    memory_usage: float = 0.0
    # The upstream states a limit of requests.
    is_limited: bool = False
    # Concurrent runs up to which it keeps its speed, as far as is known.
    limit: float = float('inf')
    # Slowness at this moment relative to the usual one.
    present_factor: float = 1.0

    @property
    def has_free_slot(self) -> bool:
        """Return whether one more item can run."""
        return self.running < self.slots


def gap_of_next_s(candidate: Candidate) -> float:
    """Return the usual time between events beside one more run."""
    running = candidate.running + 1
    return candidate.gap_s * load_factor.of(running, candidate.slots)


def cost(candidate: Candidate) -> float:
    """Return the expected time between events if one more item runs.

    When runs need more KV cache than there is, the upstream preempts some, so
    that they progress in turns.
    """
    running = candidate.running + 1
    expected = gap_of_next_s(candidate)
    expected *= candidate.present_factor**PRESENT_SHARE
    if running > candidate.limit:
        expected *= OVERLOAD_FACTOR
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
