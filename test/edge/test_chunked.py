"""Test bodies in chunks whose framing is endless, too small or invalid."""

import io
import unittest

from baobabpond.edge import chunked
from baobabpond.edge import client_limits

LIMITS = client_limits.DEFAULTS._replace(
    chunk_line_bytes=32, chunk_framing_bytes=1000, trailer_bytes=40
)
MAX_BYTES = 10_000


class CountingInput(io.BytesIO):
    """Count the largest read and the bytes that were read."""

    def __init__(self, data: bytes) -> None:
        super().__init__(data)
        self.largest = 0

    def readline(self, size: int) -> bytes:
        """Read a line."""
        line = super().readline(size)
        self.largest = max(self.largest, len(line))
        return line

    def read_into(self, body: bytearray, size: int) -> None:
        """Append some bytes."""
        body += self.read(size)


def read(data: bytes) -> bytes:
    """Read a body within the limits of this test."""
    return chunked.ChunkedBody(
        CountingInput(data), LIMITS, MAX_BYTES, lambda size: None
    ).read()


class ChunkedBodyTest(unittest.TestCase):
    """Read valid, excessive and invalid bodies."""

    def assert_exceeds(self, limit: str, data: bytes) -> None:
        """The body is given up because of a limit, early."""
        source = CountingInput(data)
        with self.assertRaises(chunked.LimitExceeded) as caught:
            chunked.ChunkedBody(
                source, LIMITS, MAX_BYTES, lambda size: None
            ).read()
        self.assertEqual(limit, caught.exception.limit)
        self.assertLess(source.largest, 100)

    def test_chunks_are_joined(self) -> None:
        """Extensions and trailers are dropped."""
        body = read(b'3;e=1\r\nabc\r\n2 \r\nde\r\n0\r\nT: a\r\nU: b\r\n\r\n')
        self.assertEqual(b'abcde', body)
        self.assertEqual(b'', read(b'0\r\n\r\n'))

    def test_largest_body(self) -> None:
        """It may be as large as the limit, and no larger."""
        for size in (MAX_BYTES, MAX_BYTES + 1):
            data = b'%x\r\n%s\r\n0\r\n\r\n' % (size, b'b' * size)
            if size == MAX_BYTES:
                self.assertEqual(size, len(read(data)))
            else:
                with self.assertRaises(chunked.BodyTooLarge):
                    read(data)

    def test_endless_chunk_line(self) -> None:
        """Neither digits nor extensions are collected."""
        self.assert_exceeds('chunk_line', b'0' * 100_000)
        self.assert_exceeds('chunk_line', b'1;' + b'e' * 100_000)

    def test_chunks_of_one_byte(self) -> None:
        """A small body may have them, a large one may not."""
        self.assertEqual(b'a' * 100, read(b'1\r\na\r\n' * 100 + b'0\r\n\r\n'))
        self.assert_exceeds('chunk_framing', b'1\r\na\r\n' * 1000)

    def test_chunks_of_some_bytes(self) -> None:
        """A body of any size may have them."""
        chunk = b'18\r\n' + b'a' * 24 + b'\r\n'
        self.assertEqual(9600, len(read(chunk * 400 + b'0\r\n\r\n')))

    def test_endless_trailers(self) -> None:
        """Neither long lines nor many lines are collected."""
        self.assert_exceeds('trailers', b'0\r\nT: ' + b'a' * 100_000)
        self.assert_exceeds('trailers', b'0\r\n' + b'T: a\r\n' * 1000)

    def test_invalid_framing(self) -> None:
        """What programs read differently is refused."""
        for data in (
            b'',
            b'3\r\nab',
            b'3\r\nabcd\r\n0\r\n\r\n',
            b'3\nabc\r\n0\r\n\r\n',
            b'+3\r\nabc\r\n0\r\n\r\n',
            b'-3\r\nabc\r\n0\r\n\r\n',
            b'0x3\r\nabc\r\n0\r\n\r\n',
            b'1_0\r\nabc\r\n0\r\n\r\n',
            b'\r\n',
            b'g\r\n',
            b'0\r\nT: a\n\r\n',
            b'0\r\n',
        ):
            with self.subTest(data=data):
                with self.assertRaises(ValueError):
                    read(data)

    def test_memory_is_reserved_before_each_chunk(self) -> None:
        """What is not there is not waited for."""
        sizes: list[int] = []
        chunked.ChunkedBody(
            CountingInput(b'3\r\nabc\r\n1\r\nd\r\n0\r\n\r\n'),
            LIMITS,
            MAX_BYTES,
            sizes.append,
        ).read()
        self.assertEqual([3, 1], sizes)

    def test_small_chunks_give_way(self) -> None:
        """Many of them are announced, so that few are read at a time."""
        limits = LIMITS._replace(chunk_framing_bytes=100_000)
        for size, expected in ((1, 1), (24, 0)):
            chunk = b'%x\r\n%s\r\n' % (size, b'a' * size)
            data = chunk * 2000 + b'0\r\n\r\n'
            calls: list[None] = []
            chunked.ChunkedBody(
                CountingInput(data),
                limits,
                100_000,
                lambda size: None,
                lambda calls=calls: calls.append(None),
            ).read()
            self.assertEqual(expected, len(calls))
