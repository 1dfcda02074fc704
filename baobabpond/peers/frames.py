"""Read and write the Thrift frames of one connection within limits."""

import io
import struct
import time

from thrift.protocol import TCompactProtocol
from thrift.protocol import TProtocol
from thrift.transport import TTransport

from ..edge import client_limits

from . import connections

SIZE = struct.Struct('!i')
RECEIVE_BYTES = 65_536
# A decoded LogRecord takes 105 bytes when empty and 137 with all fields,
# without its strings (Python 3.11, 50,000 records).
ELEMENT_BYTES = 256


class FrameTransport(TTransport.TTransportBase):
    """Receive frames one by one; a message cannot go on in the next one."""

    def __init__(
        self,
        connection: connections.Connection,
        table: connections.ConnectionTable,
        limits: client_limits.ClientLimits,
        excesses: client_limits.Excesses,
    ) -> None:
        self._connection = connection
        self._socket = connection.socket
        self._table = table
        self._limits = limits
        self._excesses = excesses
        self._frame = io.BytesIO()
        self._size = 0
        self._written = io.BytesIO()

    @property
    def remaining_bytes(self) -> int:
        """Return the number of bytes of the frame that are not read yet."""
        return self._size - self._frame.tell()

    def report(self, limit: str) -> None:
        """Count an excess of this connection."""
        self._excesses.report(limit, self._connection.address)

    def receive(self) -> None:
        """Receive the next frame; raise ConnectionClosed."""
        self._frame = io.BytesIO()
        self._table.wait_for_bytes(self._connection)
        head = bytearray(
            self._receive_some(
                SIZE.size,
                time.monotonic() + self._limits.peer_idle_s,
                'peer_idle',
            )
        )
        self._table.begin_frame(self._connection)
        ends_at = time.monotonic() + self._limits.peer_frame_s
        self._receive_rest(head, SIZE.size, ends_at)
        [self._size] = SIZE.unpack(head)
        if self._size > self._limits.peer_frame_bytes:
            self.report('peer_frame_bytes')
            raise connections.ConnectionClosed()
        if self._size <= 0:
            self.report('peer_message')
            raise connections.ConnectionClosed()
        frame = bytearray()
        self._receive_rest(frame, self._size, ends_at)
        self._table.begin_service(self._connection)
        self._frame = io.BytesIO(frame)

    def read(self, size: int) -> bytes:
        """Read bytes of the frame; raise TTransportException at its end."""
        data = self._frame.read(size)
        if size and not data:
            raise TTransport.TTransportException(
                TTransport.TTransportException.END_OF_FILE,
                'the message is longer than its frame',
            )
        return data

    def write(self, data: bytes) -> None:
        """Add to the frame of the response."""
        self._written.write(data)

    def flush(self) -> None:
        """Send the frame; raise ConnectionClosed if it takes too long."""
        frame = self._written.getvalue()
        self._written = io.BytesIO()
        # Bounds the whole, not each part.
        self._socket.settimeout(self._limits.peer_frame_s)
        try:
            self._socket.sendall(SIZE.pack(len(frame)) + frame)
        except TimeoutError as error:
            self.report('peer_reader')
            raise connections.ConnectionClosed() from error
        except OSError as error:
            raise connections.ConnectionClosed() from error

    def charge(self, elements: int) -> None:
        """Count memory for decoded elements; raise TProtocolException."""
        # Each element takes at least a byte.
        if (
            elements > self._limits.peer_container_items
            or elements > self.remaining_bytes
        ):
            self.report('peer_container')
            raise TProtocol.TProtocolException(
                TProtocol.TProtocolException.SIZE_LIMIT,
                'too many elements in a container',
            )
        self._table.grow(self._connection, elements * ELEMENT_BYTES)

    def _receive_rest(
        self, data: bytearray, size: int, ends_at: float
    ) -> None:
        while len(data) < size:
            part = self._receive_some(
                min(size - len(data), RECEIVE_BYTES),
                ends_at,
                'peer_frame_time',
            )
            self._table.grow(
                self._connection, len(part) * connections.FRAME_COPIES
            )
            data += part

    def _receive_some(self, size: int, ends_at: float, limit: str) -> bytes:
        remaining_s = ends_at - time.monotonic()
        try:
            if remaining_s <= 0:
                raise TimeoutError()
            self._socket.settimeout(remaining_s)
            part = self._socket.recv(size)
        except TimeoutError as error:
            self.report(limit)
            raise connections.ConnectionClosed() from error
        except OSError as error:
            raise connections.ConnectionClosed() from error
        if not part:
            raise connections.ConnectionClosed()
        return part


class BoundedProtocol(TCompactProtocol.TCompactProtocol):
    """The compact protocol, with bounds for strings and containers."""

    def __init__(self, transport: FrameTransport) -> None:
        super().__init__(transport)
        self._transport = transport

    def readListBegin(self) -> tuple[int, int]:
        """Read the head of a list."""
        return self._charged(super().readListBegin())

    def readSetBegin(self) -> tuple[int, int]:
        """Read the head of a set."""
        return self._charged(super().readSetBegin())

    def readMapBegin(self) -> tuple[int, int, int]:
        """Read the head of a map."""
        return self._charged(super().readMapBegin())

    def readBinary(self) -> bytes:
        """Read a string; its announced size is bounded by the frame."""
        self.string_length_limit = self._transport.remaining_bytes
        return super().readBinary()

    def _charged(self, head: tuple) -> tuple:
        self._transport.charge(head[-1])
        return head
