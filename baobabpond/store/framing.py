"""Frame keyed records in the bodies of appends and reads."""

import struct

from ..ports import log as log_port

# A page is a header with the log end offset and the offset of the first
# record, then the records, each with its length, key length, key and value.
LENGTH_PREFIX = struct.Struct('>I')
PAGE_HEADER = struct.Struct('>QQ')


def encode_record(record: log_port.Record) -> bytes:
    """Return a record with its length and the length of its key."""
    key = record.key.encode()
    body = bytes([len(key)]) + key + record.value
    return LENGTH_PREFIX.pack(len(body)) + body


def decode_page(data: bytes, offset: int) -> log_port.Page:
    """Decode a page that was read from an offset on; raise LogError."""
    try:
        end, first_offset = PAGE_HEADER.unpack_from(data)
        position = PAGE_HEADER.size
        records = []
        record_offset = max(offset, first_offset)
        while position < len(data):
            (length,) = LENGTH_PREFIX.unpack_from(data, position)
            start = position + LENGTH_PREFIX.size
            position = start + length
            if position > len(data):
                raise log_port.LogError('the answer ends within a record')
            records.append(_decode_record(data[start:position], record_offset))
            record_offset += 1
    except struct.error as error:
        raise log_port.LogError(f'unreadable records: {error!r}') from error
    return log_port.Page(end, records)


def _decode_record(data: bytes, offset: int) -> log_port.Record:
    """Decode a key, its length before it, and a value.

    Another writer may have left a record without a readable key. It stands
    for none, so that the offsets of the others hold.
    """
    key_end = 1 + data[0] if data else 0
    try:
        key = data[1:key_end].decode()
    except UnicodeDecodeError:
        key = ''
    if not key or key_end > len(data):
        return log_port.Record('', b'', offset)
    return log_port.Record(key, data[key_end:], offset)
