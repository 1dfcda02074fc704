"""Read the events of a stream."""

import collections.abc
import typing

from ..ports import upstreams as upstream_port

BLOCK_END = b'\n\n'


class EventReader:
    """Split a stream into events, whole ones only."""

    def __init__(self, protocol: upstream_port.UpstreamProtocol) -> None:
        self._protocol = protocol
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Tell whether the stream ended within an event."""
        return bool(self._buffer.strip())

    def read(
        self, pieces: collections.abc.Iterable[bytes]
    ) -> typing.Iterator[upstream_port.StreamEvent]:
        """Yield each event when its last byte has come."""
        for event, _ in self.read_raw(pieces):
            yield event

    def read_raw(
        self, pieces: collections.abc.Iterable[bytes]
    ) -> typing.Iterator[tuple[upstream_port.StreamEvent, bytes]]:
        """Yield each event with the bytes it came in."""
        for piece in pieces:
            self._buffer += piece.replace(b'\r', b'')
            *blocks, self._buffer = self._buffer.split(BLOCK_END)
            for block in blocks:
                lines = block.decode('utf-8', 'replace').split('\n')
                event = self._protocol.parse_event(lines)
                if event is not None:
                    yield event, block + BLOCK_END
