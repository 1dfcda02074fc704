"""Order the waiting items. Answers more items than free slots."""

import typing

# Later than this the trainer takes only part of a group's worth.
MIN_SLACK_S = -0.5


class WaitingItem(typing.NamedTuple):
    """Hold what the order of a waiting item depends on."""

    # Seconds until the item's batch is due.
    due_in_s: float
    # Seconds that the item is expected to run still.
    expected_run_s: float
    # Unfinished items of the group, this one included.
    group_unfinished: int


def rank(waiting: WaitingItem) -> tuple[int, float, int]:
    """Return a key that is lowest for the item to start first.

    The item with the least time to spare goes first. Items that can't be
    in time any more wait for those that can.
    """
    slack_s = waiting.due_in_s - waiting.expected_run_s
    late = int(slack_s < MIN_SLACK_S)
    return late, slack_s, waiting.group_unfinished
