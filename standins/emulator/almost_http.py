"""Generate requests that are almost valid, for the fuzzer."""

import typing

from hypothesis import strategies

from . import deployment as deployment_module

METHODS = (b'GET', b'POST', b'PUT', b'HEAD', b'OPTIONS', b'DELETE', b'get')
VERSIONS = (b'HTTP/1.1', b'HTTP/1.0', b'HTTP/2.0', b'HTTP/x', b'')
LINE_ENDS = (b'\r\n', b'\r\n', b'\r\n', b'\r\n', b'\n', b'\r', b'')
PATHS = (
    b'/orders/a',
    b'/fit/a',
    b'/drafts/a',
    b'/unknown',
    b'/',
    b'*',
    b'//a',
    b'/a%zz',
    b'http://a/b',
    b'/a#b',
    b'/\xff',
    b'/metrics',
    b'/api/readiness',
)
HEADERS = (
    b'Host: ' + deployment_module.HOST.encode(),
    b'X-Request-Id: a',
    b'X-Deadline-Ms: 200',
    b'X-Deadline-Ms: never',
    b'X-Deadline-Ms: -1',
    b'Content-Length: 3',
    b'Content-Length: 0',
    b'Content-Length: -3',
    b'Content-Length: +3',
    b'Content-Length: 3, 3',
    b'Content-Length: 99999999999999999999',
    b'Transfer-Encoding: chunked',
    b'Transfer-Encoding: gzip',
    b'Transfer-Encoding: chunked, chunked',
    b'Expect: 100-continue',
    b'Connection: close',
    b'Connection: Keep-Alive',
    b'Authorization: Bearer a',
    b'X-Model: peg-sizing',
    b'Last-Event-Id: 7',
    b'Last-Event-Id: x',
    b'No colon',
    b': no name',
    b' folded',
    b'A: \xff\x00',
    b'A: ' + b'b' * 20_000,
)
BODIES = (
    b'',
    b'abc',
    b'{}',
    b'3\r\nabc\r\n0\r\n\r\n',
    b'3;e=1\r\nabc\r\n0\r\nT: a\r\n\r\n',
    b'0\r\n\r\n',
    b'-1\r\n',
    b'ffffffffffffffff\r\n',
    b'3\r\nabcdef',
    b'3\nabc\n0\n\n',
    b'1\r\na\r\n' * 50,
    b'0\r\n' + b'T: a\r\n' * 50,
    b'\x00' * 100,
)


class Input(typing.NamedTuple):
    """Bytes, and the positions at which they are split."""

    data: bytes
    splits: tuple[int, ...]

    def parts(self) -> list[bytes]:
        """Return the parts that are sent one after the other."""
        bounds = [0, *sorted(self.splits), len(self.data)]
        return [
            self.data[start:end]
            for start, end in zip(bounds, bounds[1:])
            if end > start
        ]


@strategies.composite
def requests(draw: strategies.DrawFn) -> bytes:
    """Return one request, with some of its parts missing or invalid."""
    line_end = strategies.sampled_from(LINE_ENDS)
    line = b' '.join(
        [
            draw(strategies.sampled_from(METHODS)),
            draw(strategies.sampled_from(PATHS)),
            draw(strategies.sampled_from(VERSIONS)),
        ]
    )
    lines = [line + draw(line_end)]
    for header in draw(
        strategies.lists(strategies.sampled_from(HEADERS), max_size=7)
    ):
        lines.append(header + draw(line_end))
    end = draw(strategies.sampled_from((b'\r\n', b'\r\n', b'\n', b'')))
    return b''.join([*lines, end, draw(strategies.sampled_from(BODIES))])


@strategies.composite
def inputs(draw: strategies.DrawFn) -> Input:
    """Return some requests in a row, changed at random and split."""
    data = bytearray(
        b''.join(draw(strategies.lists(requests(), min_size=1, max_size=3)))
    )
    for _ in range(draw(strategies.integers(0, 3))):
        position = draw(strategies.integers(0, len(data)))
        data[position : position + draw(strategies.integers(0, 4))] = draw(
            strategies.binary(max_size=4)
        )
    splits = draw(
        strategies.lists(strategies.integers(0, len(data)), max_size=4)
    )
    return Input(bytes(data), tuple(splits))
