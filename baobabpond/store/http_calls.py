"""Make HTTP calls to a store on pooled connections."""

import typing
import urllib.parse

import urllib3

from ..transport import pools
from ..transport import sockets

CONNECT_TIMEOUT_S = 0.5
POOL_CONNECTIONS = 32


class HttpCalls:
    """Make single calls, without retries."""

    def __init__(self, address: str) -> None:
        host, port_number = address.rsplit(':', 1)
        self._pool = pools.BoundedPool(
            host,
            int(port_number),
            maxsize=POOL_CONNECTIONS,
            retries=False,
            socket_options=sockets.KEEPALIVE_OPTIONS,
        )

    def send(
        self,
        method: str,
        path: str,
        query: dict[str, typing.Any],
        timeout_s: float,
        body: bytes | None = None,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request and return the whole response.

        Raises urllib3's HTTPError.
        """
        return self._pool.urlopen(
            method,
            f'{path}?{urllib.parse.urlencode(query)}',
            body=body,
            redirect=False,
            timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=timeout_s),
        )
