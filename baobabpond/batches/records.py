"""Encode and decode the records of a shard's partition."""

import json
import typing
import zlib

from .. import decoding
from ..ports import callers
from ..ports import log as log_port

# Smallest limit of the size of a record among the known platforms; whether
# they count the key is not stated.
MAX_RECORD_BYTES = 262_144
# Text that goes into one record; it grows as JSON and shrinks as it is
# compressed.
MAX_PART_BYTES = 200_000
# Smaller values stay plain JSON. The others are compressed since all instances
# that start read all records, and share the read rate of the log.
MIN_COMPRESSED_BYTES = 200
COMPRESSION_LEVEL = 1
# First byte of zlib data; JSON never begins with it.
ZLIB_PREFIX = b'\x78'
# First parts of record keys.
BATCH = 'batch'
RESULT = 'result'
END = 'end'
PROGRESS = 'progress'
FAILURES = 'failures'
INTENT = 'intent'
SOFTWARE = 'software'
OWNER_KEY = 'owner'


class BatchHead(typing.NamedTuple):
    """A batch without its items."""

    id: str
    host: str
    route: str
    # Unix time of the first submission, in seconds.
    submitted_at: float
    step: int
    model: str
    min_version: int
    group_count: int
    # Newest weight version announced when the batch was submitted.
    newest_version: int
    # Account that submitted the batch: empty for a public request without one,
    # None in records of builds and deployments without accounts.
    account: str | None = None


class BatchPart(typing.NamedTuple):
    """A part of a batch, which exists once all its parts are read."""

    head: BatchHead
    part_count: int
    index: int
    items: tuple[callers.Item, ...]


class OwnerRecord(typing.NamedTuple):
    """The instance that runs a shard's items and sends its orders."""

    instance: str
    # Random id of the process, new with each start of the instance.
    incarnation: str
    epoch: int
    # The owner has released the shard.
    released: bool


class Intent(typing.NamedTuple):
    """An order to an upstream, announced on the log before it is sent."""

    upstream: str
    instance: str
    # Unique id of the order.
    number: str


class Results(typing.NamedTuple):
    """Results of a batch, in order."""

    batch: str
    results: list[callers.Result]


class Progress(typing.NamedTuple):
    """Events that a run has generated for an item without a result."""

    item: str
    # Identifies the output; each restart of the item begins a new one.
    output_id: str
    # Number of the first event in this record, counted from 1.
    first_event: int
    data: list[str]
    versions: list[int]
    # The output is complete with the last of these events.
    is_last: bool = False
    # Software version that wrote the events; None in records of builds that
    # did not note it.
    software: str | None = None
    # Account of the batch of the item, as in BatchHead.
    account: str | None = None


class Failures(typing.NamedTuple):
    """Failed attempts at an item of a batch, which has a limit of them."""

    batch: str
    item: str
    runs: int
    reward_calls: int


def encode_batch(
    head: BatchHead, items: tuple[callers.Item, ...]
) -> list[log_port.Record]:
    """Encode a batch in records of up to MAX_PART_BYTES each.

    A single larger item gets a record of its own.
    """
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
            _encode(
                [
                    _without_absent_account(head, head.account),
                    len(parts),
                    number,
                    part,
                ]
            ),
        )
        for number, part in enumerate(parts)
    ]


def batch_key(batch: str, number: int) -> str:
    """Return the record key of a part of a batch."""
    return f'{BATCH}/{batch}/{number}'


@decoding.decoder('part of a batch')
def decode_batch(value: bytes) -> BatchPart:
    """Decode a part of a batch."""
    head, parts, number, items = _decode(value)
    return BatchPart(
        BatchHead(*head),
        parts,
        number,
        tuple(_decode_item(fields) for fields in items),
    )


def encode_results(results: Results, key_suffix: str) -> log_port.Record:
    """Encode results under a key that ends with a unique suffix."""
    return log_port.Record(
        f'{RESULT}/{results.batch}/{key_suffix}',
        _encode([list(result) for result in results.results]),
    )


@decoding.decoder('results')
def decode_results(key: str, value: bytes) -> Results:
    """Decode results."""
    batch = key.split('/')[1]
    return Results(
        batch,
        [
            callers.Result(*fields[:3], tuple(fields[3]), *fields[4:])
            for fields in _decode(value)
        ],
    )


def encode_end(batch: str) -> log_port.Record:
    """Encode the end of a batch."""
    return log_port.Record(f'{END}/{batch}', b'{}')


def encode_owner(owner: OwnerRecord) -> log_port.Record:
    """Encode the owner of a shard."""
    return log_port.Record(OWNER_KEY, _encode(owner._asdict()))


@decoding.decoder('owner')
def decode_owner(value: bytes) -> OwnerRecord:
    """Decode the owner of a shard."""
    return OwnerRecord(**_decode(value))


def encode_intent(intent: Intent) -> log_port.Record:
    """Encode the intent to send an order."""
    return log_port.Record(
        f'{INTENT}/{intent.upstream}',
        _encode([intent.instance, intent.number]),
    )


@decoding.decoder('intent')
def decode_intent(key: str, value: bytes) -> Intent:
    """Decode the intent to send an order."""
    return Intent(key.split('/')[1], *_decode(value))


def encode_default_software(service: str, software: str) -> log_port.Record:
    """Encode the software version of a service's unrecorded streams."""
    return log_port.Record(f'{SOFTWARE}/{service}', _encode(software))


@decoding.decoder('default software version')
def decode_default_software(key: str, value: bytes) -> tuple[str, str]:
    """Decode a service and the default of its software versions."""
    return key.partition('/')[2], str(_decode(value))


def encode_progress(progress: Progress) -> log_port.Record:
    """Encode events of an unfinished item."""
    return log_port.Record(
        progress_key(progress.item, progress.output_id, progress.first_event),
        _encode(_without_absent_account(progress[3:], progress.account)),
    )


@decoding.decoder('progress')
def decode_progress(key: str, value: bytes) -> Progress:
    """Decode events of an unfinished item."""
    _, item, output_id, first_event = key.split('/')
    data, versions, *rest = _decode(value)
    return Progress(item, output_id, int(first_event), data, versions, *rest)


def progress_key(item: str, output_id: str, first_event: int) -> str:
    """Return the key of a progress record."""
    return f'{PROGRESS}/{item}/{output_id}/{first_event}'


def encode_failures(failures: Failures) -> log_port.Record:
    """Encode the failed attempts at an item."""
    return log_port.Record(
        failures_key(failures.batch, failures.item),
        _encode([failures.runs, failures.reward_calls]),
    )


@decoding.decoder('failures')
def decode_failures(key: str, value: bytes) -> Failures:
    """Decode the failed attempts at an item."""
    _, batch, item = key.split('/')
    return Failures(batch, item, *_decode(value))


def failures_key(batch: str, item: str) -> str:
    """Return the key of the record of an item's failed attempts."""
    return f'{FAILURES}/{batch}/{item}'


def tombstone(key: str) -> log_port.Record:
    """Return the empty record that removes a key from the log."""
    return log_port.Record(key, b'')


def _without_absent_account(
    fields: typing.Iterable[typing.Any], account: str | None
) -> list[typing.Any]:
    """Leave out the last field, the account, where there is none.

    Builds that know no accounts skip records with more fields.
    """
    listed = list(fields)
    return listed[:-1] if account is None else listed


def is_too_large(record: log_port.Record) -> bool:
    """Return whether the log would refuse a record, and all beside it."""
    return len(record.key.encode()) + len(record.value) > MAX_RECORD_BYTES


def _encode(value: typing.Any) -> bytes:
    """Encode as JSON, compressed from MIN_COMPRESSED_BYTES on."""
    encoded = json.dumps(value, separators=(',', ':')).encode()
    if len(encoded) < MIN_COMPRESSED_BYTES:
        return encoded
    return zlib.compress(encoded, COMPRESSION_LEVEL)


def _decode(value: bytes) -> typing.Any:
    """Decode what _encode returned."""
    if value[:1] == ZLIB_PREFIX:
        value = zlib.decompress(value)
    return decoding.load_json(value)


def _decode_item(fields: list[typing.Any]) -> callers.Item:
    item = callers.Item(*fields[:2], _pairs(fields[2]), *fields[3:])
    if item.reward_call is None:
        return item
    return item._replace(reward_call=callers.RewardCall(*item.reward_call))


def _pairs(pairs: list[list[str]]) -> tuple[tuple[str, str], ...]:
    return tuple((name, value) for name, value in pairs)
