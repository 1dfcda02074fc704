"""Translate between records and their form between instances."""

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
    """Return an append as a peer is asked for it."""
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
    """Return records as peers exchange them."""
    return [ttypes.LogRecord(*record) for record in records]


def decode_records(
    records: list[ttypes.LogRecord],
) -> list[log_port.Record]:
    """Return the records that a peer sent."""
    return [log_port.Record(r.key, r.value, r.offset) for r in records]
