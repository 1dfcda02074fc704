"""Parse server-sent events."""

import collections.abc
import typing

from ..ports import upstreams as upstream_port

from . import connections

EVENT_END = b'\n\n'
MAX_EVENT_BYTES = 1024 * 1024


class EventReader:
    """Split a stream into events; incomplete ones are not emitted."""

    def __init__(self, protocol: upstream_port.UpstreamProtocol) -> None:
        self._protocol = protocol
        self._buffer = b''

    @property
    def has_partial_event(self) -> bool:
        """Return whether an incomplete event is buffered."""
        return bool(self._buffer.strip())

    def read(
        self, chunks: collections.abc.Iterable[bytes]
    ) -> typing.Iterator[upstream_port.StreamEvent]:
        """Yield each event once it is complete."""
        for event, _ in self.read_raw(chunks):
            yield event

    def read_raw(
        self, chunks: collections.abc.Iterable[bytes]
    ) -> typing.Iterator[tuple[upstream_port.StreamEvent, bytes]]:
        """Yield each event with its raw bytes; raise ResponseFailed."""
        for chunk in chunks:
            self._buffer += chunk.replace(b'\r', b'')
            *blocks, self._buffer = self._buffer.split(EVENT_END)
            if len(self._buffer) > MAX_EVENT_BYTES:
                raise connections.ResponseFailed('an event has no end')
            for block in blocks:
                lines = block.decode('utf-8', 'replace').split('\n')
                event = self._protocol.parse_event(lines)
                if event is not None:
                    yield event, block + EVENT_END
