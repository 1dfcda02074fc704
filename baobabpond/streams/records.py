"""Encode and decode which software version began a stream."""

import json
import typing

from .. import decoding
from ..ports import log as log_port

KEY_PREFIX = 'stream/'


class StreamOrigin(typing.NamedTuple):
    """The software version that began a stream."""

    # Id of the request that brought its first event.
    stream: str
    service: str
    software: str


def encode(origin: StreamOrigin) -> log_port.Record:
    """Encode the origin of a stream."""
    value = {'service': origin.service, 'software': origin.software}
    return log_port.Record(
        f'{KEY_PREFIX}{origin.stream}', json.dumps(value).encode()
    )


@decoding.decoder('origin of a stream')
def decode(record: log_port.Record) -> StreamOrigin:
    """Decode a record with a value; raise MalformedData."""
    fields = decoding.load_json(record.value)
    return StreamOrigin(
        stream_of(record),
        decoding.text(fields['service']),
        decoding.text(fields['software']),
    )


def stream_of(record: log_port.Record) -> str:
    """Return the stream of a record or a tombstone."""
    return record.key.removeprefix(KEY_PREFIX)


def tombstone(stream: str) -> log_port.Record:
    """Return the record that removes a stream from the log."""
    return log_port.Record(f'{KEY_PREFIX}{stream}', b'')
