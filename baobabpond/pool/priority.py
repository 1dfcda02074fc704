"""Prioritise waiting items when there are more than free slots."""

import typing

# An item later than this is worth less: the trainer credits only part of its
# group.
MIN_SLACK_S = -0.5


class WaitingItem(typing.NamedTuple):
    """Describe the state of a waiting item that its priority depends on."""

    # Seconds until the item's batch is due.
    due_in_s: float
    # Expected remaining run time in seconds.
    expected_run_s: float
    # Unfinished items of the group, this one included.
    group_unfinished: int


def rank(waiting: WaitingItem) -> tuple[int, float, int]:
    """Return a key that is lowest for the item to start first.

    Least slack first. Items that can no longer meet the due time come after
    those that can.
    """
    slack_s = waiting.due_in_s - waiting.expected_run_s
    is_late = int(slack_s < MIN_SLACK_S)
    return is_late, slack_s, waiting.group_unfinished
