"""Decide what follows a run that did not end whole.

Answers upstreams that fail or are full, and items that no upstream takes.
"""

from . import runner
from . import state

RETRY_S = 0.03
SUSPEND_S = 0.15
SUSPEND_UNREACHABLE_S = 1.0
MOST_SUSPEND_S = 4.0
# An item that was refused more often in a row is too large for upstreams
# that others can use.
REFUSALS_OF_UPSTREAMS = 1
MOST_REFUSAL_PAUSE_S = 1.0


def apply(
    task: state.Task,
    upstream: state.Upstream,
    outcome: runner.RunOutcome,
    now: float,
) -> None:
    """Put off the item, and keep new runs away from the upstream."""
    task.not_before = now + RETRY_S
    if outcome is runner.RunOutcome.NOT_RUN:
        task.refusals += 1
        task.not_before = now + refusal_pause_s(task.refusals)
        if task.refusals > REFUSALS_OF_UPSTREAMS:
            return
    least_s = SUSPEND_S
    if outcome is runner.RunOutcome.UNREACHABLE:
        least_s = SUSPEND_UNREACHABLE_S
    suspend(upstream, now, least_s)


def suspend(
    upstream: state.Upstream, now: float, least_s: float = SUSPEND_S
) -> None:
    """Keep new runs away, longer after each failure in a row."""
    wait_s = least_s * 2**upstream.failures_in_row
    upstream.note_failure(now, min(MOST_SUSPEND_S, wait_s))


def refusal_pause_s(refusals: int) -> float:
    """Return how long an item waits after refusals in a row."""
    return min(MOST_REFUSAL_PAUSE_S, RETRY_S * 2**refusals)
