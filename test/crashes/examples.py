"""Provide upstreams and crashes for the tests."""

from baobabpond.crashes import registry
from baobabpond.ports import catalogue


def entry(name: str, born: int = 1) -> catalogue.UpstreamEntry:
    """Return an upstream of the service of orders."""
    return catalogue.UpstreamEntry(
        name, 'orders', 'h', 80, 'a', 6, False, born, {}
    )


def crash(digest: str, upstream: str, born: int = 1) -> registry.Crash:
    """Return the crash of an upstream under a request."""
    return registry.Crash(digest, (upstream, born))
