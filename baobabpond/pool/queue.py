"""Order the items that wait for an upstream."""

import collections
import collections.abc

from . import priority
from . import state

Rank = collections.abc.Callable[[priority.Waiting], tuple[float, float, float]]


def ordered(
    works: collections.abc.Iterable[state.Work],
    pace: state.Pace,
    now: float,
    rank: Rank = priority.rank,
) -> list[state.Work]:
    """Return the items that may start now, the most pressing first."""
    unfinished = [work for work in works if work.result is None]
    waiting = [
        work
        for work in unfinished
        if work.run is None and work.not_before <= now
    ]
    if not waiting:
        return []
    missing = collections.Counter(
        (work.batch.head.id, work.item.group) for work in unfinished
    )

    def key(work: state.Work) -> tuple[float, float, float]:
        expected = pace.expected_events(work)
        return rank(
            priority.Waiting(
                work.due - now,
                expected * state.INITIAL_GAP_S,
                missing[work.batch.head.id, work.item.group],
            )
        )

    return sorted(waiting, key=key)
