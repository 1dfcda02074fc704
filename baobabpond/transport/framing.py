"""Check what frames a body in chunks: sizes, ends of chunks and trailers."""

import io
import re

from . import heads

# Extensions are not read. Blanks before them, or before the end, are allowed.
SIZE_LINE = re.compile(
    rb'(?P<size>[0-9A-Fa-f]+)[\t ]*(?:;[\t \x21-\x7e\x80-\xff]*)?'
)


class FramingReader(io.BufferedReader):
    """Check what frames a body in chunks when the library reads it.

    The library discards trailers and the ends of chunks unread, and takes
    more for a size than is one. Nothing is checked before the chunks begin.
    """

    def __init__(self, raw: io.RawIOBase) -> None:
        super().__init__(raw)
        self._in_sizes = False
        self._in_trailers = False
        # Of the chunk that is being read.
        self._remaining_bytes = 0

    def begin_chunks(self) -> None:
        """Begin with the size of the first chunk."""
        self._in_sizes = True

    def readline(self, size: int | None = -1) -> bytes:
        """Read a line; raise MalformedResponse."""
        line = super().readline(size)
        if self._in_trailers:
            self._check_trailer(heads.strip_end(line))
        elif self._in_sizes:
            self._check_size(heads.strip_end(line))
        return line

    def read(self, size: int | None = -1) -> bytes:
        """Read a part of a chunk, or its end; raise MalformedResponse.

        The library does not read beyond either at once.
        """
        data = super().read(size)
        if self._remaining_bytes:
            self._remaining_bytes -= len(data)
        elif self._in_sizes:
            self._check_end(data)
        return data

    def _check_end(self, data: bytes) -> None:
        if data != heads.LINE_END:
            raise heads.MalformedResponse(f'end of a chunk {data!r}')

    def _check_size(self, line: bytes) -> None:
        found = SIZE_LINE.fullmatch(line)
        if found is None:
            shown = line[: heads.MAX_SHOWN_BYTES]
            raise heads.MalformedResponse(f'size of a chunk {shown!r}')
        self._remaining_bytes = int(found['size'], 16)
        # Trailers follow the chunk without bytes.
        self._in_trailers = not self._remaining_bytes

    def _check_trailer(self, line: bytes) -> None:
        if line:
            heads.parse_field(line)
