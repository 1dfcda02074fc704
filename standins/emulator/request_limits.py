"""Check that upstreams got no more requests than they stated they take."""

import bisect
import typing

from . import recorder as recorder_module

WINDOW_S = 4.0
# Tolerated beyond the stated limit within a window.
TOLERATED_FACTOR = 1.5
TOLERATED_REQUESTS = 5


class Excess(typing.NamedTuple):
    """A window in which an upstream got too many requests."""

    upstream: str
    began_at: float
    requests: int
    tolerated: float


def find_excess(
    recorder: recorder_module.Recorder,
    upstream: str,
    limit: float,
    since: float,
) -> Excess | None:
    """Return the fullest window that exceeds a limit, None if none does.

    Requests of any kind count, from all instances together, from a monotonic
    time on.
    """
    arrivals = recorder.arrivals_at(upstream, since)
    tolerated = TOLERATED_FACTOR * limit * WINDOW_S + TOLERATED_REQUESTS
    windows = [
        Excess(
            upstream,
            began_at,
            bisect.bisect_right(arrivals, began_at + WINDOW_S) - number,
            tolerated,
        )
        for number, began_at in enumerate(arrivals)
    ]
    fullest = max(windows, key=lambda excess: excess.requests, default=None)
    if fullest is None or fullest.requests <= tolerated:
        return None
    return fullest
