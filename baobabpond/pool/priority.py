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
    # Items of the group that wait for an upstream, this one included.
    group_waiting: int = 1
    # All upstreams that can run the item state limits of requests.
    is_limited: bool = False


class WaitingReward(typing.NamedTuple):
    """Describe the state of a reward call that its priority depends on."""

    # Seconds until the item's batch is due.
    due_in_s: float
    # Unfinished items of the group, this one included.
    group_unfinished: int


def rank_reward(waiting: WaitingReward) -> tuple[int, float, int]:
    """Return a key that is lowest for the reward call to send first.

    Of one batch, groups with the fewest unfinished items come first: the
    trainer waits for complete groups.
    """
    is_late = int(waiting.due_in_s < MIN_SLACK_S)
    return is_late, waiting.due_in_s, waiting.group_unfinished


def rank(waiting: WaitingItem) -> tuple[int, float, float]:
    """Return a key that is lowest for the item to start first.

    Least slack first. Items that can no longer meet the due time come after
    those that can. If requests are scarce, the group that waits for the
    fewest comes first: long and short items cost one request each, and
    incomplete groups are worth nothing to the trainer.
    """
    slack_s = waiting.due_in_s - waiting.expected_run_s
    is_late = int(slack_s < MIN_SLACK_S)
    if waiting.is_limited:
        return is_late, waiting.group_waiting, slack_s
    return is_late, slack_s, waiting.group_unfinished
