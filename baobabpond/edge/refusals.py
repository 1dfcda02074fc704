"""State why an ordinary request is refused, and when it may come back."""

from .. import verdicts
from ..ratelimits import permits

RETRY_AFTER_S = 0.2
# An instance that has just started soon knows what began a stream.
ORIGIN_RETRY_AFTER_S = 0.3
# A version that has left comes back rarely.
VERSION_RETRY_AFTER_S = 2.0
MIN_LIMITED_RETRY_AFTER_S = 0.05


def after_attempts(
    verdict: verdicts.Verdict, was_attempted: bool, is_late: bool
) -> verdicts.Refusal:
    """Return the refusal of a request that no upstream has answered."""
    if verdict is verdicts.Verdict.NOT_RUN:
        return verdicts.unavailable(
            'upstreams_busy' if was_attempted else 'no_upstream',
            'no upstream can run the request now',
            RETRY_AFTER_S,
        )
    if is_late:
        return verdicts.deadline_passed(verdict)
    return verdicts.uncertain(
        'upstream_failed', 'no upstream gave a whole answer'
    )


def rate_limited(error: permits.RateLimited) -> verdicts.Refusal:
    """Return the refusal of a request that limits of requests prevent."""
    return verdicts.unavailable(
        'upstreams_limited',
        'the upstreams take no more requests now',
        round(max(MIN_LIMITED_RETRY_AFTER_S, error.retry_s), 2),
    )


def stream_origin_unknown() -> verdicts.Refusal:
    """Return the refusal of a resumption whose software version is unknown."""
    return verdicts.unavailable(
        'stream_origin_unknown',
        'the version that began the stream cannot be told now',
        ORIGIN_RETRY_AFTER_S,
    )


def stream_version_gone() -> verdicts.Refusal:
    """Return the refusal of a resumption whose software version has left."""
    return verdicts.unavailable(
        'stream_version_gone',
        'no upstream has the version that began the stream',
        VERSION_RETRY_AFTER_S,
    )
