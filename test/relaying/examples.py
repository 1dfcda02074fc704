"""Example objects for tests of paths to upstreams."""

import urllib3

from baobabpond.ports import catalogue
from baobabpond.upstreams import connections as connections_module


class DirectPaths:
    """Paths of an instance that is never cut off."""

    def __init__(self, pool: connections_module.ConnectionPool) -> None:
        self._pool = pool

    def acquire(
        self, entry: catalogue.UpstreamEntry, request_id: str
    ) -> connections_module.Connection:
        """Return a direct connection."""
        return self._pool.acquire((entry.host, entry.port))

    def release(self, connection: connections_module.Connection) -> None:
        """Return a connection to the pool."""
        self._pool.release(connection)

    def release_or_close(
        self,
        connection: connections_module.Connection,
        response: urllib3.HTTPResponse,
    ) -> None:
        """Release a connection after a response if it is reusable."""
        self._pool.release_or_close(connection, response)
