"""Convert log records and appends to and from Thrift structures."""

from ..gen.peer import ttypes
from ..ports import log as log_port

MS_PER_S = 1000


def encode_append(
    topic: str,
    partition: int,
    records: list[log_port.Record],
    expected_end: int | None,
    fence: log_port.Fence | None,
    timeout_s: float,
) -> ttypes.LogAppend:
    """Return the Thrift request that asks a peer to append."""
    return ttypes.LogAppend(
        topic=topic,
        partition=partition,
        records=encode_records(records),
        expected_end=expected_end,
        fence=ttypes.LogFence(*fence) if fence else None,
        timeout_ms=int(timeout_s * MS_PER_S),
    )


def encode_records(
    records: list[log_port.Record],
) -> list[ttypes.LogRecord]:
    """Return records as Thrift structures."""
    return [ttypes.LogRecord(*record) for record in records]


def decode_records(
    records: list[ttypes.LogRecord],
) -> list[log_port.Record]:
    """Return the log records in Thrift structures."""
    return [
        log_port.Record(record.key, record.value, record.offset)
        for record in records
    ]
