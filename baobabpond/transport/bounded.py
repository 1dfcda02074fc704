"""Bound the responses that a connection reads, in bytes and in total time.

A faulty server may send bytes without end, in a head or in a body, or a byte
now and then, which no time-out of a single read detects.
"""

import functools
import http.client
import io
import socket
import time
import typing

from urllib3 import connection as urllib3_connection

from . import framing
from . import heads

# Status line and headers, and body bytes that were received with them.
MAX_HEAD_BYTES = 128 * 1024
# Default for bodies that are read as a whole.
MAX_BODY_BYTES = 16 * 1024 * 1024
MIN_TIMEOUT_S = 0.001
# The only transfer coding that is read, and the first version that knows it,
# as the library numbers them.
CHUNKED = 'chunked'
FIRST_WITH_CHUNKS = 11


class OversizedResponse(OSError):
    """Raised when a response exceeds its limit in bytes."""


class CutResponse(ConnectionError):
    """Raised when the connection ends before the response does."""


class ReadBudget:
    """Limit what may still be read, and for how long."""

    def __init__(self) -> None:
        self._remaining_bytes = MAX_HEAD_BYTES
        self._read_timeout_s = float('inf')
        self._deadline = float('inf')
        self._final_deadline = float('inf')
        self._body_time_s = float('inf')

    @property
    def remaining_s(self) -> float:
        """Return the time until the final deadline, negative after it."""
        return self._final_deadline - time.monotonic()

    @property
    def timeout_s(self) -> float:
        """Return the time-out of the next read; raise TimeoutError."""
        remaining_s = self._deadline - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError('the response takes too long as a whole')
        return max(MIN_TIMEOUT_S, min(self._read_timeout_s, remaining_s))

    def restart(
        self, max_bytes: int, read_timeout_s: float, total_s: float
    ) -> None:
        """Begin a new part of a response with limits of its own."""
        self._remaining_bytes = max_bytes
        self._read_timeout_s = read_timeout_s
        self.restart_time(total_s)

    def begin_head(self, timeout_s: float, body_time_s: float) -> None:
        """Begin a response; the times are for its head and for its body."""
        self.restart(MAX_HEAD_BYTES, timeout_s, timeout_s)
        self._body_time_s = body_time_s

    def begin_body(self) -> None:
        """Begin the body of a response whose head is read."""
        self.restart(MAX_BODY_BYTES, self._read_timeout_s, self._body_time_s)

    def restart_time(self, total_s: float) -> None:
        """Allow a time in seconds from now on, up to the final deadline."""
        self._deadline = min(time.monotonic() + total_s, self._final_deadline)

    def set_final_deadline(self, deadline: float) -> None:
        """Set the monotonic time that no further restart passes."""
        self._final_deadline = deadline

    def consume(self, count: int) -> None:
        """Count bytes that were read; raise OversizedResponse."""
        self._remaining_bytes -= count
        self.check(0)

    def check(self, count: int) -> None:
        """Raise OversizedResponse if some more bytes may not be read."""
        if count > self._remaining_bytes:
            raise OversizedResponse('the response exceeds its size limit')


class BoundedReader(io.RawIOBase):
    """Read from a socket within a budget."""

    def __init__(self, sock: socket.socket, budget: ReadBudget) -> None:
        self._sock = sock
        self._budget = budget
        # Whether the end of the connection may end what is read; the library
        # takes it for the end of a head, and of a chunked body.
        self.may_end = False
        self._has_data = False
        # Keeps the socket open while the response is read, even after its
        # connection has been closed.
        self._raw = sock.makefile('rb', buffering=0)

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read into a buffer.

        Raises OversizedResponse, TimeoutError or CutResponse.
        """
        self._sock.settimeout(self._budget.timeout_s)
        count = self._raw.readinto(buffer)
        if count == 0 and self._has_data and not self.may_end:
            raise CutResponse('the connection ended within the response')
        self._has_data = True
        self._budget.consume(count or 0)
        return count

    def close(self) -> None:
        """Release the socket."""
        if not self.closed:
            self._raw.close()
        super().close()


class BoundedResponse(http.client.HTTPResponse):
    """An HTTP response that is read within a budget."""

    def __init__(
        self,
        sock: socket.socket,
        *args: typing.Any,
        budget: ReadBudget,
        **options: typing.Any,
    ) -> None:
        super().__init__(sock, *args, **options)
        self._budget = budget
        self.fp.close()
        self._reader = BoundedReader(sock, budget)
        self.fp = framing.FramingReader(self._reader)

    def begin(self) -> None:
        """Read the head, then allow for the body.

        Raises MalformedResponse or CutResponse.
        """
        reader = self.fp
        head = heads.read_head(reader)
        # The library only reads again what has the form of a head.
        self.fp = io.BytesIO(head)
        try:
            super().begin()
        finally:
            self.fp = reader
        self._check_framing()
        if self.chunked:
            reader.begin_chunks()
        self._reader.may_end = not self.chunked and self.length is None
        self._budget.begin_body()

    def _safe_read(self, amt: int) -> bytes:
        """Read a number of bytes that was declared.

        The library sets memory aside for all of them. Raises
        OversizedResponse.
        """
        # Some of them may be in the buffer, and are counted already.
        self._budget.check(amt - io.DEFAULT_BUFFER_SIZE)
        return super()._safe_read(amt)

    def _check_framing(self) -> None:
        """Raise MalformedResponse if the end of the body is in doubt."""
        lengths = set(self.headers.get_all('Content-Length', []))
        codings = self.headers.get_all('Transfer-Encoding', [])
        if len(lengths) > 1 or not all(_is_length(text) for text in lengths):
            raise heads.MalformedResponse(f'length {sorted(lengths)}')
        if not codings:
            return
        is_chunked = [coding.lower() for coding in codings] == [CHUNKED]
        if lengths or not is_chunked or self.version < FIRST_WITH_CHUNKS:
            raise heads.MalformedResponse(
                f'transfer encoding {codings}, length {sorted(lengths)}, '
                f'version {self.version}'
            )


def _is_length(text: str) -> bool:
    return text.isascii() and text.isdecimal()


class BoundedConnection(urllib3_connection.HTTPConnection):
    """An HTTP connection whose responses are bounded.

    Used by a connection pool of urllib3, it allows each response
    MAX_BODY_BYTES, and the extra time for its body.
    """

    body_time_s = 10.0

    def __init__(self, *args: typing.Any, **options: typing.Any) -> None:
        super().__init__(*args, **options)
        self.budget = ReadBudget()
        self.response_class = functools.partial(
            BoundedResponse, budget=self.budget
        )

    def getresponse(self) -> typing.Any:
        """Return the response to the request that was sent."""
        # By now the time-out for reading; the socket still has that for
        # connecting. The library may read the body in this call too.
        read_timeout_s = self.timeout or self.body_time_s
        self.budget.begin_head(read_timeout_s, self.body_time_s)
        return super().getresponse()


class BoundedTlsConnection(
    urllib3_connection.HTTPSConnection, BoundedConnection
):
    """A bounded connection over TLS."""
