"""Send what no working upstream sends in place of a response."""

import contextlib
import enum
import random
import typing

from baobabpond.edge import http_exchange

from . import serving

NOISE = b'\x00\x17 no answer \xff\r\n id: 1\n\n'
EVENT = b'id: 1\ndata: of nobody\n\n'
# Stands for the id of the request.
REQUEST_ID = b'<id>'
# What an upstream adds to its responses, and the rest of one.
MARK = b'X-Server-Seal: seal.spoilt\r\nX-Request-Id: ' + REQUEST_ID + b'\r\n'
MARKED = b'HTTP/1.1 200 OK\r\n' + MARK
REST = b'Content-Length: %d\r\n\r\n%b' % (len(EVENT), EVENT)


class Kind(enum.Enum):
    """Describe the bytes; the connection ends in order after them."""

    NO_STATUS = NOISE
    STATUS_ONLY = b'HTTP/1.1 200 OK\r\n\r\n'
    STATUS_AND_NOISE = b'HTTP/1.1 200 OK\r\n\r\n' + NOISE
    STATUS_AND_EVENT = b'HTTP/1.1 200 OK\r\n\r\n' + EVENT
    OLD_STATUS = b'HTTP/1.0 200 Fine\r\nServer: other\r\n\r\n' + EVENT
    WITH_LENGTH = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfifth'
    EMPTY = b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n'
    REJECTION = b'HTTP/1.1 422 No\r\nContent-Length: 0\r\n\r\n'
    FAILURE = b'HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n'
    BLANK_IN_NAME = MARKED + b'A b: c\r\n' + REST
    CONTROL_IN_NAME = MARKED + b'A\x01b: c\r\n' + REST
    CONTROL_IN_VALUE = MARKED + b'A: b\x00c\r\n' + REST
    ZERO_STATUS = b'HTTP/1.1 000 OK\r\n' + MARK + REST
    SIGNED_STATUS = b'HTTP/1.1 +200 OK\r\n' + MARK + REST
    UNKNOWN_STATUS = b'HTTP/1.1 999 OK\r\n' + MARK + REST
    INTERIM_STATUS = b'HTTP/1.1 103 Early Hints\r\n' + MARK + b'\r\n'
    SWITCHED_PROTOCOL = b'HTTP/1.1 101 Other\r\n' + MARK + b'\r\n' + EVENT


class Spoiler:
    """Spoil a share of the responses, in given ways drawn by a seed."""

    def __init__(
        self, share: float, kinds: typing.Iterable[Kind], seed: int
    ) -> None:
        self._share = share
        self._kinds = list(kinds)
        self._rng = random.Random(seed)
        self.count = 0

    def spoil(self, exchange: http_exchange.Exchange) -> bool:
        """Answer a request so; return whether it has been answered."""
        if self._rng.random() >= self._share:
            return False
        self.count += 1
        kind = self._rng.choice(self._kinds)
        request_id = exchange.headers.get('X-Request-Id', '').encode()
        with contextlib.suppress(OSError):
            exchange.socket.sendall(kind.value.replace(REQUEST_ID, request_id))
        serving.close_without_response(exchange)
        return True
