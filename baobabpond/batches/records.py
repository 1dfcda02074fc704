"""Encode and decode the records of a shard's partition."""

import json
import typing
import zlib

from ..ports import callers
from ..ports import log as log_port

# Below the smallest record limit that platforms are known to set.
MAX_PART_BYTES = 200_000
# Instances that start read all records at once, and share the log's rate.
MIN_COMPRESSED_BYTES = 200
COMPRESSION_LEVEL = 1
ZLIB_PREFIX = b'\x78'
BATCH = 'batch'
RESULT = 'result'
END = 'end'
PROGRESS = 'progress'
INTENT = 'intent'
OWNER_KEY = 'owner'


class BatchHead(typing.NamedTuple):
    """Describe a batch apart from its items."""

    id: str
    host: str
    route: str
    # Time of day of the first submission, in Unix seconds.
    submitted_at: float
    step: int
    model: str
    min_version: int
    group_count: int
    # Newest weight version announced when the batch came.
    newest_version: int


class BatchPart(typing.NamedTuple):
    """Hold a part of a batch; it counts once all parts are there."""

    head: BatchHead
    part_count: int
    index: int
    items: tuple[callers.Item, ...]


class OwnerRecord(typing.NamedTuple):
    """Name the instance that runs a shard's items and gives its orders."""

    instance: str
    # Tells one process of an instance from the next.
    incarnation: str
    epoch: int
    released: bool


class Intent(typing.NamedTuple):
    """Announce an order to an upstream, before it is sent."""

    upstream: str
    instance: str
    # Used once.
    number: str


class Results(typing.NamedTuple):
    """Hold results of a batch, in their order."""

    batch: str
    results: list[callers.Result]


class Progress(typing.NamedTuple):
    """Hold events that a run made and that its result does not list yet."""

    item: str
    # Tells texts of one item that were begun anew from each other.
    output_id: str
    # Number of the first event here, counted from 1.
    first_event: int
    data: list[str]
    versions: list[int]


def encode_batch(
    head: BatchHead, items: tuple[callers.Item, ...]
) -> list[log_port.Record]:
    """Return the records of a batch, none larger than a part."""
    parts: list[list[list[typing.Any]]] = [[]]
    size = 0
    for item in items:
        fields = list(item)
        length = len(json.dumps(fields))
        if parts[-1] and size + length > MAX_PART_BYTES:
            parts.append([])
            size = 0
        parts[-1].append(fields)
        size += length
    return [
        log_port.Record(
            batch_key(head.id, number),
            _encode([list(head), len(parts), number, part]),
        )
        for number, part in enumerate(parts)
    ]


def batch_key(batch: str, number: int) -> str:
    """Return the key of a part of a batch."""
    return f'{BATCH}/{batch}/{number}'


def decode_batch(value: bytes) -> BatchPart:
    """Decode a part of a batch."""
    head, parts, number, items = _decode(value)
    return BatchPart(
        BatchHead(*head),
        parts,
        number,
        tuple(
            callers.Item(*fields[:2], _pairs(fields[2]), *fields[3:])
            for fields in items
        ),
    )


def encode_results(results: Results, unique: str) -> log_port.Record:
    """Return a record of results under a key that is used once."""
    return log_port.Record(
        f'{RESULT}/{results.batch}/{unique}',
        _encode([list(result) for result in results.results]),
    )


def decode_results(key: str, value: bytes) -> Results:
    """Decode results."""
    batch = key.split('/')[1]
    return Results(
        batch,
        [
            callers.Result(*fields[:3], tuple(fields[3]))
            for fields in _decode(value)
        ],
    )


def encode_end(batch: str) -> log_port.Record:
    """Return the record that ends a batch."""
    return log_port.Record(f'{END}/{batch}', b'{}')


def encode_owner(owner: OwnerRecord) -> log_port.Record:
    """Return the record of a shard's owner."""
    return log_port.Record(OWNER_KEY, _encode(owner._asdict()))


def decode_owner(value: bytes) -> OwnerRecord:
    """Decode the record of a shard's owner."""
    return OwnerRecord(**_decode(value))


def encode_intent(intent: Intent) -> log_port.Record:
    """Return the record that announces an order."""
    return log_port.Record(
        f'{INTENT}/{intent.upstream}',
        _encode([intent.instance, intent.number]),
    )


def decode_intent(key: str, value: bytes) -> Intent:
    """Decode the announcement of an order."""
    return Intent(key.split('/')[1], *_decode(value))


def encode_progress(progress: Progress) -> log_port.Record:
    """Return a record of events made so far."""
    return log_port.Record(
        progress_key(progress.item, progress.output_id, progress.first_event),
        _encode([progress.data, progress.versions]),
    )


def decode_progress(key: str, value: bytes) -> Progress:
    """Decode events made so far."""
    _, item, output_id, first_event = key.split('/')
    data, versions = _decode(value)
    return Progress(item, output_id, int(first_event), data, versions)


def progress_key(item: str, output_id: str, first_event: int) -> str:
    """Return the key of a record of events."""
    return f'{PROGRESS}/{item}/{output_id}/{first_event}'


def tombstone(key: str) -> log_port.Record:
    """Return the record that removes a key."""
    return log_port.Record(key, b'')


def _encode(value: typing.Any) -> bytes:
    """Return JSON, compressed where that pays."""
    encoded = json.dumps(value, separators=(',', ':')).encode()
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def _decode(value: bytes) -> typing.Any:
    """Read what _dump wrote, or raise ValueError.

    JSON never begins as compressed data does.
    """
    if value[:1] == ZLIB_PREFIX:
        try:
            value = zlib.decompress(value)
        except zlib.error as error:
            raise ValueError(str(error)) from error
    return json.loads(value)


def _pairs(pairs: list[list[str]]) -> tuple[tuple[str, str], ...]:
    return tuple((name, value) for name, value in pairs)
