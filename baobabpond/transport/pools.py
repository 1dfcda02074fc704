"""Pool connections whose responses are bounded, one pool for each address."""

import typing

import urllib3

from . import bounded

# The coding of a body as it is.
IDENTITY = 'identity'


class BoundedPool(urllib3.HTTPConnectionPool):
    """Pool bounded connections to one address."""

    ConnectionCls = bounded.BoundedConnection

    def urlopen(
        self, *args: typing.Any, **options: typing.Any
    ) -> urllib3.BaseHTTPResponse:
        """Make a request; raise urllib3's HTTPError.

        A body that is compressed, which no request asks for, is refused:
        decompressed it may exceed its limit many times.
        """
        options['decode_content'] = False
        response = super().urlopen(*args, **options)
        coding = response.headers.get('Content-Encoding', IDENTITY)
        if coding.lower() != IDENTITY:
            response.close()
            raise urllib3.exceptions.DecodeError(f'content coding {coding}')
        return response


class BoundedTlsPool(urllib3.HTTPSConnectionPool, BoundedPool):
    """Pool bounded connections to one address, over TLS."""

    ConnectionCls = bounded.BoundedTlsConnection


class BoundedPoolManager(urllib3.PoolManager):
    """Make requests without retries, and bound what answers them.

    A head may take the time-out for reading, a body that is read with it
    BoundedConnection.body_time_s more.
    """

    def __init__(self, num_pools: int, maxsize: int) -> None:
        super().__init__(num_pools=num_pools, maxsize=maxsize, retries=False)
        self.pool_classes_by_scheme = {
            'http': BoundedPool,
            'https': BoundedTlsPool,
        }


def limit_body(
    response: urllib3.BaseHTTPResponse,
    total_s: float,
    max_bytes: int = bounded.MAX_BODY_BYTES,
) -> None:
    """Set the limits for a body that was not read with its head."""
    connection = typing.cast(bounded.BoundedConnection, response.connection)
    connection.budget.restart(max_bytes, total_s, total_s)


def read_body(
    response: urllib3.BaseHTTPResponse,
    total_s: float,
    max_bytes: int = bounded.MAX_BODY_BYTES,
) -> bytes:
    """Read a body within limits; raise urllib3's HTTPError.

    The response keeps it as its data.
    """
    limit_body(response, total_s, max_bytes)
    return response.read(cache_content=True)
