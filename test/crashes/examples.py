"""Provide upstreams, crashes and attempts for the tests."""

import time

from baobabpond.crashes import registry
from baobabpond.crashes import unresolved
from baobabpond.ports import catalogue


def entry(name: str, born: int = 1) -> catalogue.UpstreamEntry:
    """Return an upstream of the service of orders."""
    return catalogue.UpstreamEntry(
        name, 'orders', 'h', 80, 'a', 6, False, born, {}
    )


def crash(digest: str, upstream: str, born: int = 1) -> registry.Crash:
    """Return the crash of an upstream under a request."""
    return registry.Crash(digest, (upstream, born))


def attempt(
    digest: str,
    upstream: catalogue.UpstreamEntry,
    ending: unresolved.Ending = unresolved.Ending.CUT,
) -> unresolved.UnresolvedAttempt:
    """Return an attempt that has ended now without a response."""
    return unresolved.UnresolvedAttempt(
        digest, 'request-1', upstream, ending, time.monotonic()
    )
