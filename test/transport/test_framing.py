"""Test where responses end: cut ones are never whole, whole ones are read."""

import contextlib
import random
import socket
import struct
import threading
import time
import typing
import unittest

from baobabpond import metrics
from baobabpond.upstreams import connections

ADDRESS = '127.0.0.1'
TIMEOUT_S = 2.0
BODY = b'hello world'
SEED = 32
FUZZ_ROUNDS = 150
RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# An orderly end is not seen as a reset before the client has read it.
READ_BEFORE_RESET_S = 0.02


class Answer(typing.NamedTuple):
    """The bytes of a response, and what a client must make of them."""

    head: bytes
    body: bytes
    content: bytes
    # The end of the connection ends the body.
    ends_with_connection: bool = False
    method: str = 'GET'


def head(status: str, *lines: str) -> bytes:
    """Return the head of a response."""
    return '\r\n'.join((f'HTTP/1.1 {status}', *lines, '', '')).encode()


CHUNKED = b'5\r\nhello\r\n6;x=y\r\n world\r\n0\r\n\r\n'
WITH_TRAILER = b'b\r\nhello world\r\n0\r\nX-Sum: 1\r\n\r\n'
SEAL = 'X-Server-Seal: s'
CLOSE = 'Connection: close'
CHUNKS = 'Transfer-Encoding: chunked'
LENGTH = f'Content-Length: {len(BODY)}'
ANSWERS = {
    'length': Answer(head('200 OK', SEAL, LENGTH), BODY, BODY),
    'length_close': Answer(head('200 OK', LENGTH, CLOSE), BODY, BODY),
    'error_close': Answer(head('500 Failed', LENGTH, CLOSE), BODY, BODY),
    'chunked': Answer(head('200 OK', CHUNKS, SEAL), CHUNKED, BODY),
    'chunked_close': Answer(head('200 OK', CLOSE, CHUNKS), CHUNKED, BODY),
    'trailer': Answer(head('200 OK', CHUNKS), WITH_TRAILER, BODY),
    'no_length': Answer(head('200 OK', SEAL), BODY, BODY, True),
    'no_length_close': Answer(head('200 OK', CLOSE), BODY, BODY, True),
    'empty': Answer(head('200 OK', 'Content-Length: 0', SEAL), b'', b''),
    'no_content': Answer(head('204 No Content', SEAL), b'', b''),
    'no_content_close': Answer(head('204 No Content', CLOSE), b'', b''),
    'not_modified': Answer(head('304 Not Modified', LENGTH), b'', b''),
    'head': Answer(head('200 OK', LENGTH), b'', b'', method='HEAD'),
    'interim': Answer(
        head('100 Continue') + head('200 OK', LENGTH), BODY, BODY
    ),
}
MALFORMED = {
    'two_lengths': (LENGTH, 'Content-Length: 5'),
    'no_number': ('Content-Length: abc',),
    'negative': ('Content-Length: -1',),
    'signed': ('Content-Length: +11',),
    'length_and_chunks': (LENGTH, CHUNKS),
    'other_coding': ('Transfer-Encoding: gzip',),
    'coding_before': ('Transfer-Encoding: gzip, chunked',),
    'two_codings': (CHUNKS, 'Transfer-Encoding: gzip'),
    'chunks_twice': (CHUNKS, CHUNKS),
}


MALFORMED_SIZES = (
    b'+b',
    b'-b',
    b'0xb',
    b'0_b',
    b' b',
    b'',
    b'b;a\x00',
    b'b;a\r',
)
# Of the bytes behind those of a chunk.
MALFORMED_ENDS = (b'xx', b'\n\n', b'\r\r', b'\n\r', b'0\r', b'\n', b'')
SIZES = (b'b', b'B', b'00b', b'b;a', b'b ;a=b', b'b\t; a="b"', b'b ')


class OneAnswerServer:
    """Send some bytes in pieces, then end the connection."""

    def __init__(self, pieces: list[bytes], resets: bool) -> None:
        self._pieces = pieces
        self._resets = resets
        self._listener = socket.create_server((ADDRESS, 0))
        self.address = self._listener.getsockname()
        self._thread = threading.Thread(target=self._serve, daemon=True)
        self._thread.start()

    def close(self) -> None:
        """Stop listening."""
        self._thread.join()
        self._listener.close()

    def _serve(self) -> None:
        connection, _ = self._listener.accept()
        with contextlib.suppress(OSError), connection:
            connection.recv(65536)
            for piece in self._pieces:
                connection.sendall(piece)
            if self._resets:
                time.sleep(READ_BEFORE_RESET_S)
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )


class FramingTest(unittest.TestCase):
    """Read answers that end at each of their bytes."""

    def read(
        self, pieces: list[bytes], method: str, resets: bool
    ) -> bytes | None:
        """Return the body of a whole response, None if it is cut."""
        server = OneAnswerServer(pieces, resets)
        pool = connections.ConnectionPool(metrics.Metrics())
        connection = pool.acquire(server.address)
        connection.connect()
        try:
            response = connection.exchange(method, '/', [], None, TIMEOUT_S)
            return b''.join(connection.iter_body(response, TIMEOUT_S))
        except connections.ResponseFailed as error:
            self.assertNotIsInstance(error, connections.ResponseTimedOut)
            return None
        finally:
            connection.close()
            server.close()

    def expected(
        self, answer: Answer, sent: int, resets: bool
    ) -> bytes | None:
        """Return what a client reads if the answer ends after some bytes."""
        if sent < len(answer.head):
            return None
        if answer.ends_with_connection:
            read = answer.body[: sent - len(answer.head)]
            return None if resets else read
        is_whole = sent == len(answer.head) + len(answer.body)
        return answer.content if is_whole else None

    def check(self, answer: Answer, sent: int, resets: bool) -> None:
        """Check one place at which an answer ends."""
        data = (answer.head + answer.body)[:sent]
        self.assertEqual(
            self.expected(answer, sent, resets),
            self.read([data], answer.method, resets),
            f'after {data!r}',
        )

    def test_answers_that_end_in_order(self) -> None:
        """The upstream closes the connection after each number of bytes."""
        for name, answer in ANSWERS.items():
            for sent in range(len(answer.head) + len(answer.body) + 1):
                with self.subTest(name, sent=sent):
                    self.check(answer, sent, False)

    def test_answers_that_are_reset(self) -> None:
        """A body without a length is not whole after a reset."""
        for name, answer in ANSWERS.items():
            whole = len(answer.head) + len(answer.body)
            places = {len(answer.head) - 1, len(answer.head), whole - 1, whole}
            for sent in sorted(places):
                with self.subTest(name, sent=sent):
                    self.check(answer, sent, True)

    def test_answers_in_random_pieces(self) -> None:
        """Neither how an answer is split nor where it ends confuses."""
        rng = random.Random(SEED)
        for number in range(FUZZ_ROUNDS):
            name = rng.choice(sorted(ANSWERS))
            answer = ANSWERS[name]
            data = answer.head + answer.body
            sent = rng.choice((len(data), rng.randrange(len(data) + 1)))
            cuts = sorted(rng.randrange(sent + 1) for _ in range(3))
            edges = [0, *cuts, sent]
            pieces = [data[start:end] for start, end in zip(edges, edges[1:])]
            with self.subTest(name, number=number, sent=sent):
                self.assertEqual(
                    self.expected(answer, sent, False),
                    self.read(pieces, answer.method, False),
                )

    def test_contradicting_lengths_are_errors(self) -> None:
        """Nothing of such a response is passed on."""
        for name, lines in MALFORMED.items():
            with self.subTest(name):
                for body in (BODY, CHUNKED):
                    data = head('200 OK', *lines) + body
                    self.assertIsNone(self.read([data], 'GET', False))

    def test_chunks_of_an_older_version(self) -> None:
        """HTTP/1.0 knows none, so that something has changed the head."""
        data = head('200 OK', CHUNKS).replace(b'1.1', b'1.0') + CHUNKED
        self.assertIsNone(self.read([data], 'GET', False))

    def test_sizes_of_chunks(self) -> None:
        """Nothing but digits is read as a size."""
        for is_sound, sizes in ((True, SIZES), (False, MALFORMED_SIZES)):
            for size in sizes:
                with self.subTest(size=size):
                    data = head('200 OK', CHUNKS)
                    data += b'%b\r\n%b\r\n0\r\n\r\n' % (size, BODY)
                    body = self.read([data], 'GET', False)
                    self.assertEqual(BODY if is_sound else None, body)

    def test_ends_of_chunks(self) -> None:
        """A chunk with more or fewer bytes than its size is none."""
        first_head = head('200 OK', CHUNKS)
        for end in MALFORMED_ENDS:
            for data in (
                b'5\r\nhello' + end + b'6\r\n world\r\n0\r\n\r\n',
                b'b\r\nhello world' + end + b'0\r\n\r\n',
            ):
                with self.subTest(data=data):
                    read = self.read([first_head + data], 'GET', False)
                    self.assertIsNone(read)

    def test_abort_ends_an_answer_that_closes_its_connection(self) -> None:
        """A caller that leaves does not wait for the rest of the body."""
        ended = threading.Event()
        listener = socket.create_server((ADDRESS, 0))
        self.addCleanup(listener.close)

        def serve() -> None:
            peer, _ = listener.accept()
            with peer:
                peer.recv(65536)
                peer.sendall(head('200 OK', CLOSE) + b'part')
                peer.settimeout(TIMEOUT_S)
                with contextlib.suppress(OSError):
                    if not peer.recv(1):
                        ended.set()

        threading.Thread(target=serve, daemon=True).start()
        connection = connections.Connection(listener.getsockname())
        self.addCleanup(connection.close)
        connection.connect()
        connection.exchange('GET', '/', [], None, TIMEOUT_S)
        connection.abort()
        self.assertTrue(ended.wait(TIMEOUT_S / 2))
