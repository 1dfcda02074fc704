"""Read requests from connections of clients, and write responses to them."""

import os
import socket
import threading

from . import pace as pace_module

READ_BYTES = 65536
# When a line is wanted; what follows it is copied once more.
LINE_READ_BYTES = 8192
LF = b'\n'

_buffers = threading.local()


def _thread_buffer() -> memoryview:
    """Return the buffer of this thread, valid until its next use."""
    buffer = getattr(_buffers, 'view', None)
    if buffer is None:
        buffer = _buffers.view = memoryview(bytearray(READ_BYTES))
    return buffer


class ClientReader:
    """Read from a connection, through bytes that were received before.

    Has the methods that the HTTP library calls on files of connections.
    """

    def __init__(self, sock: socket.socket, pace: pace_module.Pace) -> None:
        self._socket = sock
        self._pace = pace
        self._buffer = b''
        self._position = 0
        self.bytes_read = 0
        self.closed = False
        # While set, nothing is received: what is not there has not been sent.
        self.is_offline = False

    @property
    def pace(self) -> pace_module.Pace:
        """Return what bounds the waits for the client."""
        return self._pace

    def feed(self, data: bytes) -> None:
        """Add bytes that were received elsewhere."""
        self._buffer = self.pending() + data
        self._position = 0

    def pending(self) -> bytes:
        """Return the bytes that were received and not yet read."""
        if self._position:
            self._buffer = self._buffer[self._position :]
            self._position = 0
        return self._buffer

    def has_data(self) -> bool:
        """Return whether bytes are left that were received before."""
        return self._position < len(self._buffer)

    def readline(self, size: int) -> bytes:
        """Read a line, or the first bytes of a longer one."""
        while True:
            end = self._buffer.find(LF, self._position, self._position + size)
            if end >= 0:
                return self._take(end + 1 - self._position)
            if len(self._buffer) - self._position >= size:
                return self._take(size)
            data = self._receive(LINE_READ_BYTES)
            if not data:
                return self._take(size)
            self.feed(data)

    def read(self, size: int) -> bytes:
        """Read a number of bytes, fewer only at the end of input."""
        data = self._take(size)
        if not data:
            data = self._receive(size)
            self.bytes_read += len(data)
        if len(data) == size or not data:
            return data
        parts = bytearray(data)
        while len(parts) < size:
            data = self._receive(size - len(parts))
            if not data:
                break
            self.bytes_read += len(data)
            parts += data
        return bytes(parts)

    def read_into(self, body: bytearray, size: int) -> None:
        """Append a number of bytes, fewer only at the end of input.

        They pass a buffer of the thread, as blocks that are allocated for each
        part would fragment the heaps of all threads.
        """
        start = self._position
        with memoryview(self._buffer) as buffered:
            taken = buffered[start : start + size]
            body += taken
            size -= len(taken)
            self._advance(len(taken))
            taken.release()
        if size <= 0:
            return
        buffer = _thread_buffer()
        while size > 0:
            count = self._receive_into(buffer[: min(size, READ_BYTES)])
            if not count:
                return
            self.bytes_read += count
            body += buffer[:count]
            size -= count

    def end_body(self) -> None:
        """Count the waits of the next body from the start."""
        self._pace.end()

    def close(self) -> None:
        """Read no more."""
        self._pace.end()
        self.closed = True

    def _take(self, size: int) -> bytes:
        start = self._position
        taken = self._buffer[start : start + size]
        self._advance(len(taken))
        return taken

    def _advance(self, count: int) -> None:
        self._position += count
        self.bytes_read += count
        if self._position >= len(self._buffer):
            self._buffer, self._position = b'', 0

    def _receive(self, size: int) -> bytes:
        buffer = _thread_buffer()[:size]
        return bytes(buffer[: self._receive_into(buffer)])

    def _receive_into(self, buffer: memoryview) -> int:
        """Receive some bytes; return how many, 0 at the end of input."""
        if self.is_offline:
            return 0
        while True:
            try:
                # The socket itself would wait up to its time-out.
                count = os.readv(self._socket.fileno(), [buffer])
            except BlockingIOError:
                self._pace.wait()
                continue
            self._pace.progress(count)
            return count


class ClientWriter:
    """Write to a connection without a copy of what is written."""

    def __init__(self, sock: socket.socket, pace: pace_module.Pace) -> None:
        self._socket = sock
        self._pace = pace
        self.bytes_written = 0

    def write(self, data: bytes) -> int:
        """Write all of the data; raise OSError if the client is gone."""
        left = memoryview(data)
        while left:
            try:
                sent = os.write(self._socket.fileno(), left)
            except BlockingIOError:
                self._wait()
                continue
            self._pace.progress(sent)
            left = left[sent:]
        self.bytes_written += len(data)
        return len(data)

    def end_response(self) -> None:
        """Count the waits of the next response from the start."""
        self._pace.end()

    def _wait(self) -> None:
        try:
            self._pace.wait()
        except pace_module.TooManySlowClients as error:
            raise ConnectionAbortedError(
                'too many clients read slowly'
            ) from error
