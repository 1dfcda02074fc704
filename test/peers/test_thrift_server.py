"""Test the listener for calls of other instances against hostile input."""

import contextlib
import socket
import struct
import threading
import time
import unittest

from thrift.protocol import TCompactProtocol
from thrift.transport import TTransport

from baobabpond.edge import client_limits
from baobabpond.gen.peer import LogRelay
from baobabpond.gen.peer import ttypes
from baobabpond import metrics
from baobabpond.peers import pool as pool_module
from baobabpond.peers import thrift_server
from standins.emulator import serving

LIMITS = client_limits.DEFAULTS._replace(
    connections=8,
    peer_frame_bytes=2_000_000,
    peer_memory_bytes=4_000_000,
    peer_container_items=1000,
    peer_frame_s=0.5,
    peer_idle_s=2.0,
)
# By far longer than the limits above, for machines under load.
WAIT_S = 20.0
CALL_TIMEOUT_MS = 10_000
BYTES_PER_MB = 1_000_000


def header(size: int) -> bytes:
    """Return the four bytes that announce a frame."""
    return struct.pack('!i', size)


def append_of(records: int, element: bytes) -> bytes:
    """Return an append whose list announces a number of records."""
    buffer = TTransport.TMemoryBuffer()
    protocol = TCompactProtocol.TCompactProtocol(buffer)
    protocol.writeMessageBegin('append', 1, 1)
    protocol.writeStructBegin('append_args')
    protocol.writeFieldBegin('call', 12, 1)
    protocol.writeStructBegin('LogAppend')
    protocol.writeFieldBegin('records', 15, 3)
    protocol.writeListBegin(12, records)
    return buffer.getvalue() + element


def is_closed(connection: socket.socket) -> bool:
    """Return whether the listener has closed a connection."""
    connection.setblocking(False)
    try:
        return not connection.recv(1)
    except BlockingIOError:
        return False
    except OSError:
        return True


class Handler:
    """Answer appends with the number of records, and reads with a page."""

    def append(self, call: ttypes.LogAppend) -> ttypes.LogAppended:
        """Return the number of bytes."""
        size = sum(len(record.value) for record in call.records)
        return ttypes.LogAppended('done', size, '')

    def read(
        self, topic: str, partition: int, offset: int, wait_ms: int
    ) -> ttypes.LogPage:
        """Return a page of a size, after a while."""
        time.sleep(wait_ms / 1000)
        record = ttypes.LogRecord('k', b'v' * offset, 0)
        return ttypes.LogPage(1, [record], False)


class ListenerTestCase(unittest.TestCase):
    """Serve with low limits, and call as peers do."""

    LIMITS = LIMITS

    def setUp(self) -> None:
        """Serve with low limits."""
        self.address = (serving.ADDRESS, serving.free_port())
        self.metrics = metrics.Metrics()
        thrift_server.serve(
            *self.address,
            LogRelay.Processor(Handler()),
            self.metrics,
            self.LIMITS,
        )
        self.pool = pool_module.ClientPool(LogRelay.Client)
        self.addCleanup(self.pool.close_idle, self.address)

    def connect(self, sent: bytes = b'') -> socket.socket:
        """Open a connection and send some bytes."""
        connection = socket.create_connection(self.address, WAIT_S)
        self.addCleanup(connection.close)
        with contextlib.suppress(OSError):
            connection.sendall(sent)
        return connection

    def check_closed(self, connection: socket.socket) -> None:
        """Check that the listener closes a connection without a response."""
        try:
            received = connection.recv(1)
        except TimeoutError:
            self.fail('the connection is still open')
        except OSError:
            return
        self.assertEqual(b'', received)

    def append(self, size: int = 10) -> int:
        """Send an append as peers do; return the bytes that arrived."""
        call = ttypes.LogAppend(
            't', 0, [ttypes.LogRecord('k', b'v' * size, 0)], timeout_ms=1
        )
        return self.pool.call(
            self.address, CALL_TIMEOUT_MS, lambda c: c.append(call)
        ).offset

    def read(self, size: int, wait_ms: int = 0) -> int:
        """Read a page of a size; return the bytes that arrived."""
        page = self.pool.call(
            self.address,
            CALL_TIMEOUT_MS,
            lambda c: c.read('t', 0, size, wait_ms),
        )
        return len(page.records[0].value)

    def check_counted(self, limit: str, at_least: int = 1) -> None:
        """Wait until excesses are counted; check that peers are served."""
        ends_at = time.monotonic() + WAIT_S
        while self.metrics.counter(f'edge.clients.{limit}') < at_least:
            self.assertLess(time.monotonic(), ends_at, f'no {limit}')
            time.sleep(0.05)
        self.assertEqual(10, self.append())


class ThriftServerTest(ListenerTestCase):
    """Each kind of input, and calls of well-behaved peers beside it."""

    def test_large_messages_of_peers(self) -> None:
        """Guards against bounds that refuse pages and appends."""
        self.assertEqual(1_800_000, self.append(1_800_000))
        self.assertEqual(1_000_000, self.read(1_000_000))

    def test_call_that_takes_longer_than_a_frame(self) -> None:
        """Guards against the time for a frame ending a long poll."""
        wait_ms = int(LIMITS.peer_frame_s * 3000)
        self.assertEqual(10, self.read(10, wait_ms))

    def test_nothing_is_sent(self) -> None:
        """Guards against silent connections that keep their threads."""
        self.check_closed(self.connect())
        self.check_counted('peer_idle')

    def test_half_a_frame(self) -> None:
        """Guards against threads that wait for the rest of a frame."""
        for sent in (b'\0', header(1000), header(1000) + b'x' * 500):
            self.check_closed(self.connect(sent))
        self.check_counted('peer_frame_time')

    def test_frame_of_a_byte_now_and_then(self) -> None:
        """Guards against a time-out that each byte extends."""
        connection = self.connect(header(1000))
        ends_at = time.monotonic() + WAIT_S
        with contextlib.suppress(OSError):
            while time.monotonic() < ends_at:
                connection.sendall(b'x')
                time.sleep(0.1)
        self.assertLess(time.monotonic(), ends_at, 'still open')
        self.check_counted('peer_frame_time')

    def test_huge_announced_frame(self) -> None:
        """Guards against frames of any size."""
        for size in (LIMITS.peer_frame_bytes + 1, 2**31 - 1):
            self.check_closed(self.connect(header(size)))
        self.check_counted('peer_frame_bytes')

    def test_garbage(self) -> None:
        """Guards against threads that end without closing."""
        for sent in (
            header(-1),
            header(0),
            header(9) + b'\xff' * 9,
            header(3) + b'\x82\x21\x01',
            # The message goes on after its frame.
            header(4) + b'\x82\x21\x01\x7f' + header(3) + b'abc',
        ):
            self.check_closed(self.connect(sent))
        self.check_counted('peer_message')

    def test_huge_announced_container(self) -> None:
        """Guards against work and memory for elements that were announced."""
        for records, elements in ((2**31 - 1, b''), (1001, b'\0' * 1010)):
            message = append_of(records, elements)
            self.check_closed(self.connect(header(len(message)) + message))
        self.check_counted('peer_container')

    def test_responses_that_nobody_reads(self) -> None:
        """Guards against threads that wait for readers."""
        buffer = TTransport.TMemoryBuffer()
        client = LogRelay.Client(TCompactProtocol.TCompactProtocol(buffer))
        client.send_read('t', 0, 20 * BYTES_PER_MB, 0)
        message = buffer.getvalue()
        self.connect(header(len(message)) + message)
        self.check_counted('peer_reader')

    def test_pooled_connection_that_was_idle(self) -> None:
        """Guards against calls on connections that the listener closed."""
        self.append()
        # Calls over the pooled connection once it is closed.
        self.check_counted('peer_idle')


class CrowdTest(ListenerTestCase):
    """Many connections that no time-out ends during the test."""

    LIMITS = LIMITS._replace(peer_frame_s=600.0, peer_idle_s=600.0)

    def test_many_frames_that_are_not_whole(self) -> None:
        """Guards against memory in proportion to connections."""
        part = b'x' * (LIMITS.peer_frame_bytes - 1)
        open_ones = [
            self.connect(header(LIMITS.peer_frame_bytes) + part)
            for _ in range(LIMITS.connections - 1)
        ]
        # One of them fits.
        ends_at = time.monotonic() + WAIT_S
        while len(open_ones) > 1:
            self.assertLess(time.monotonic(), ends_at, 'still open')
            open_ones = [c for c in open_ones if not is_closed(c)]
            time.sleep(0.05)
        self.check_counted('peer_memory')

    def test_many_connections(self) -> None:
        """Guards against threads in proportion to connections."""
        threads = threading.active_count()
        for _ in range(LIMITS.connections * 4):
            self.connect(header(1000))
        self.check_counted('peer_connections', LIMITS.connections * 3)
        # Evicted threads end a moment later.
        ends_at = time.monotonic() + WAIT_S
        bound = threads + LIMITS.connections
        while threading.active_count() > bound:
            self.assertLess(time.monotonic(), ends_at, 'too many threads')
            time.sleep(0.05)

    def test_peers_that_are_served_stay(self) -> None:
        """Guards against an eviction of calls that are being served."""
        sizes = []
        reader = threading.Thread(
            target=lambda: sizes.append(self.read(10, 1000))
        )
        reader.start()
        for _ in range(LIMITS.connections * 4):
            self.connect()
        reader.join()
        self.assertEqual([10], sizes)
