"""Decide which requests an instance still takes while it drains."""

import time
import typing

from .. import verdicts

RETRY_AFTER_S = 0.05
# Sending the response, and the delay until a request is looked at.
MARGIN_S = 0.1


class Drain(typing.NamedTuple):
    """The course of a graceful shutdown, in monotonic time."""

    # Until then callers may not know that the instance leaves.
    announced_until: float
    # What runs then is cut.
    ends_at: float


def refusal(
    drain: Drain | None, limit_s: float, is_repeatable: bool
) -> verdicts.Refusal | None:
    """Return the refusal of a new request, None if it is taken.

    The limit is the longest time that the request may run. One that may run
    once only is taken if it can't be cut; a repeatable one also while callers
    can't know better, as it mostly takes far less than its limit.
    """
    if drain is None:
        return None
    now = time.monotonic()
    if now + limit_s + MARGIN_S <= drain.ends_at:
        return None
    if is_repeatable and now < drain.announced_until:
        return None
    return verdicts.unavailable(
        'leaving',
        'the instance is shutting down; others take the request',
        RETRY_AFTER_S,
    )
