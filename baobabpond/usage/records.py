"""Encode the records of counts and reports on the log.

One partition of the topic has the counts of all instances and the last window
that is closed; another one has the reports, so that counts don't conflict with
the conditional appends of reports.
"""

import json
import typing

from .. import decoding
from ..ports import control
from ..ports import log as log_port

from . import recorder as recorder_module

TOPIC = 'keyed.usage'
COUNTS_PARTITION = 0
COUNTS_PREFIX = 'counts/'
REPORT_PREFIX = 'report/'
# Keys of the last window that takes no more counts, and of the last window
# that has its report.
CLOSED_KEY = 'closed'
LAST_KEY = 'last'


def reports_partition(partitions: int) -> int:
    """Return the partition of the reports.

    With a single partition, counts and reports share it.
    """
    return min(COUNTS_PARTITION + 1, partitions - 1)


class CountsKey(typing.NamedTuple):
    """Identify the counts of one process for one window."""

    instance: str
    incarnation: str
    window: int


class CountsValue(typing.NamedTuple):
    """Counts, and the time of day of the instance at their append."""

    counts: recorder_module.WindowCounts
    unix_s: float


def encode_counts_key(key: CountsKey) -> str:
    """Return the log key of a record of counts."""
    return f'{COUNTS_PREFIX}{key.window}/{key.incarnation}/{key.instance}'


@decoding.decoder('key of counts')
def decode_counts_key(key: str) -> CountsKey:
    """Return what a key of counts identifies; raise MalformedData."""
    parts = key.removeprefix(COUNTS_PREFIX).split('/', 2)
    window, incarnation, instance = parts
    return CountsKey(instance, incarnation, int(window))


def encode_counts(key: CountsKey, value: CountsValue) -> log_port.Record:
    """Return the log record of counts."""
    fields = {
        'revision': value.counts.revision,
        'counts': value.counts.counts,
        'unix_s': round(value.unix_s, 3),
    }
    return _record(encode_counts_key(key), fields)


@decoding.decoder('counts')
def decode_counts(value: bytes) -> CountsValue:
    """Decode the value of a record of counts; raise MalformedData."""
    fields = decoding.load_json(value)
    return CountsValue(
        recorder_module.WindowCounts(
            decoding.integer(fields['revision']), _counts(fields['counts'])
        ),
        decoding.number(fields['unix_s']),
    )


def encode_window(key: str, window: int) -> log_port.Record:
    """Return the record of the last closed, or the last reported window."""
    return _record(key, {'window': window})


@decoding.decoder('window')
def decode_window(value: bytes) -> int:
    """Decode the value of a window's record; raise MalformedData."""
    return decoding.integer(decoding.load_json(value)['window'])


def encode_report_key(window: int) -> str:
    """Return the key of the report of a window."""
    return f'{REPORT_PREFIX}{window}'


def encode_report(report: control.UsageReport) -> log_port.Record:
    """Return the record of a report."""
    return _record(encode_report_key(report.window), report._asdict())


@decoding.decoder('report')
def decode_report(value: bytes) -> control.UsageReport:
    """Decode the value of a report's record; raise MalformedData."""
    fields = decoding.load_json(value)
    return control.UsageReport(
        decoding.integer(fields['window']), _counts(fields['counts'])
    )


def _counts(fields: dict[str, typing.Any]) -> dict[str, int]:
    return {
        decoding.text(account): decoding.integer(count)
        for account, count in fields.items()
    }


def _record(key: str, fields: dict[str, typing.Any]) -> log_port.Record:
    return log_port.Record(key, json.dumps(fields, sort_keys=True).encode())
