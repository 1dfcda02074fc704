"""Back off after a run that did not complete.

Handles upstreams that fail or are full, and items that every upstream refuses.
"""

from . import runner
from . import state

RETRY_DELAY_S = 0.03
SUSPEND_S = 0.15
UNREACHABLE_SUSPEND_S = 1.0
MAX_SUSPEND_S = 4.0
# An item refused more often in a row is too large for upstreams that other
# items can use; these are not suspended for it.
MAX_SUSPENDING_REFUSALS = 1
MAX_REFUSAL_BACKOFF_S = 1.0


def apply(
    task: state.Task,
    upstream: state.Upstream,
    outcome: runner.RunOutcome,
    now: float,
    is_limited: bool = False,
) -> None:
    """Delay the retry of the item, and suspend the upstream for new runs.

    An upstream that refuses runs and states a limit of requests is sound.
    """
    task.not_before = now + RETRY_DELAY_S
    if outcome is runner.RunOutcome.LIMITED:
        return
    if outcome is runner.RunOutcome.NOT_RUN:
        task.consecutive_refusals += 1
        task.not_before = now + refusal_backoff_s(task.consecutive_refusals)
        if is_limited or task.consecutive_refusals > MAX_SUSPENDING_REFUSALS:
            return
    base_s = SUSPEND_S
    if outcome is runner.RunOutcome.UNREACHABLE:
        base_s = UNREACHABLE_SUSPEND_S
    suspend(upstream, now, base_s)


def suspend(
    upstream: state.Upstream, now: float, base_s: float = SUSPEND_S
) -> None:
    """Suspend an upstream, with exponential back-off."""
    suspend_s = base_s * 2**upstream.consecutive_failures
    upstream.record_failure(now, min(MAX_SUSPEND_S, suspend_s))


def refusal_backoff_s(consecutive_refusals: int) -> float:
    """Return the delay of an item after consecutive refusals."""
    return min(MAX_REFUSAL_BACKOFF_S, RETRY_DELAY_S * 2**consecutive_refusals)
