"""Judge whether this instance is cut off, from its own paths and others'."""

import collections.abc
import enum

from ..ports import catalogue

from . import tracker

# Upstreams of a service, besides the one that failed, that must fail too.
MIN_OTHERS_FAILING = 2


class Standing(enum.Enum):
    """Describe the way of an instance to a service; logs show the value."""

    # At least one more upstream can be connected to.
    REACHED = 'reached'
    # No other instance that was asked reaches the upstreams either.
    DOWN = 'down'
    # Others reach upstreams that this instance does not.
    CUT_OFF = 'cut_off'


def is_explained(
    suspicion: tracker.Suspicion,
    others: collections.abc.Iterable[tracker.DirectPath],
) -> bool:
    """Return whether it is the upstream that fails, not its service's path.

    Connections that were open before may outlive a cut that fails new ones,
    so that what arrives on them explains only the silence of another one.
    """
    for path in others:
        if path.connected_at > suspicion.since:
            return True
        if suspicion.is_silence and path.heard_at > suspicion.since:
            return True
    return False


def judge(
    failing: collections.abc.Collection[catalogue.UpstreamEntry],
    reached: collections.abc.Collection[catalogue.UpstreamEntry],
    reached_by_peers: collections.abc.Collection[str],
) -> Standing:
    """Return the standing after connecting to upstreams of a service."""
    if reached or not failing:
        return Standing.REACHED
    if any(entry.id in reached_by_peers for entry in failing):
        return Standing.CUT_OFF
    return Standing.DOWN
