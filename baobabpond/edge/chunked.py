"""Read bodies that come in chunks, within bounds."""

import re
import time
import typing

from . import client_limits

CRLF = b'\r\n'
# Framing (lines before chunks and the ends of chunks) may take one byte for
# each of this many bytes of the body.
BYTES_PER_FRAMING_BYTE = 4
# The thread pauses each time the excess framing has grown by this much, since
# parsing small chunks costs processor time.
FREE_FRAMING_BYTES = 4096
PAUSE_S = 0.005
SIZE = re.compile(rb'[0-9A-Fa-f]{1,16}')


class Reader(typing.Protocol):
    """What a body is read from."""

    def readline(self, size: int) -> bytes:
        """Read a line, or the first bytes of a longer one."""
        ...

    def read(self, size: int) -> bytes:
        """Read a number of bytes, fewer only at the end of input."""
        ...

    def read_into(self, body: bytearray, size: int) -> None:
        """Append a number of bytes, fewer only at the end of input."""
        ...


class LimitExceeded(ValueError):
    """The framing of a body exceeds a limit; carries its name."""

    def __init__(self, limit: str, message: str) -> None:
        super().__init__(message)
        self.limit = limit


class BodyTooLarge(ValueError):
    """The chunks are larger than a body may be."""


class ChunkedBody:
    """Read the chunks of one body and the trailers behind them."""

    def __init__(
        self,
        reader: Reader,
        limits: client_limits.ClientLimits,
        max_bytes: int,
        reserve: typing.Callable[[int], None],
        # Called once before many small chunks are read.
        begin_small_chunks: typing.Callable[[], None] = lambda: None,
    ) -> None:
        self._begin_small_chunks = begin_small_chunks
        self._reader = reader
        self._limits = limits
        self._max_bytes = max_bytes
        self._reserve = reserve
        self._framing_bytes = 0
        self._pause_at = FREE_FRAMING_BYTES
        self._has_small_chunks = False

    def read(self) -> bytes:
        """Read the whole body; raise ValueError if it is invalid.

        Raises BodyTooLarge, LimitExceeded or what the reservation raises.
        """
        body = bytearray()
        while size := self._read_size(len(body)):
            if self._max_bytes and len(body) + size > self._max_bytes:
                raise BodyTooLarge('the body is too large')
            self._reserve(size)
            expected = len(body) + size
            self._reader.read_into(body, size)
            if len(body) < expected or self._reader.read(2) != CRLF:
                raise ValueError('a chunk does not end as it should')
        self._skip_trailers()
        return bytes(body)

    def _read_size(self, body_bytes: int) -> int:
        """Read the line before a chunk; return the size of the chunk."""
        limit = self._limits.chunk_line_bytes
        line = self._reader.readline(limit)
        if len(line) >= limit and not line.endswith(CRLF):
            raise LimitExceeded('chunk_line', 'the line of a chunk is long')
        self._framing_bytes += len(line) + len(CRLF)
        excess = self._framing_bytes - body_bytes // BYTES_PER_FRAMING_BYTE
        if excess > self._limits.chunk_framing_bytes:
            raise LimitExceeded('chunk_framing', 'the chunks are too small')
        if excess > self._pause_at:
            self._yield_processor()
        size = line.partition(b';')[0].strip(b' \t\r\n')
        if not line.endswith(CRLF) or not SIZE.fullmatch(size):
            raise ValueError('the size of a chunk is invalid')
        return int(size, 16)

    def _yield_processor(self) -> None:
        """Pause, so that other threads run between small chunks."""
        if not self._has_small_chunks:
            self._has_small_chunks = True
            self._begin_small_chunks()
        self._pause_at += FREE_FRAMING_BYTES
        time.sleep(PAUSE_S)

    def _skip_trailers(self) -> None:
        """Read up to the end of the request."""
        left = self._limits.trailer_bytes
        while True:
            line = self._reader.readline(left + len(CRLF))
            if line == CRLF:
                return
            left -= len(line)
            if left < 0:
                raise LimitExceeded('trailers', 'the trailers are too long')
            if not line.endswith(CRLF):
                raise ValueError('a trailer does not end as it should')
