"""Sort the items that are waiting for an upstream."""

import collections
import collections.abc

from . import priority
from . import state

Rank = collections.abc.Callable[
    [priority.WaitingItem], tuple[float, float, float]
]


def ordered(
    tasks: collections.abc.Iterable[state.Task],
    estimator: state.EventEstimator,
    now: float,
    rank: Rank = priority.rank,
    is_limited: collections.abc.Callable[[state.Task], bool] = (
        lambda task: False
    ),
) -> list[state.Task]:
    """Return the items that may start now, the highest priority first.

    The callback returns whether all upstreams of an item state limits.
    """
    unfinished = [task for task in tasks if task.result is None]
    idle = [
        task for task in unfinished if task.needs_events and task.run is None
    ]
    waiting = [task for task in idle if task.not_before <= now]
    if not waiting:
        return []
    unfinished_by_group = collections.Counter(
        (task.batch.head.id, task.item.group) for task in unfinished
    )
    waiting_by_group = collections.Counter(
        (task.batch.head.id, task.item.group) for task in idle
    )

    def key(task: state.Task) -> tuple[float, float, float]:
        expected = estimator.remaining_events(task)
        return rank(
            priority.WaitingItem(
                task.due_at - now,
                expected * state.INITIAL_GAP_S,
                unfinished_by_group[task.batch.head.id, task.item.group],
                waiting_by_group[task.batch.head.id, task.item.group],
                is_limited(task),
            )
        )

    return sorted(waiting, key=key)
