"""Parse the log lines of instances."""

import collections.abc
import datetime
import typing

from .. import decoding
from .. import errors


class LogLine(typing.NamedTuple):
    """Hold one parsed log line."""

    # Unix seconds.
    time: float
    instance: str
    event: str
    fields: dict[str, typing.Any]


def parse(text: str) -> LogLine | None:
    """Parse a line, ignoring any prefix of its JSON; None if not a log line.

    Collectors of logs may put, for example, a time and a name before the JSON.
    """
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = decoding.load_json(text[start:])
        timestamp = datetime.datetime.fromisoformat(fields['timestamp'])
        return LogLine(
            timestamp.timestamp(), fields['instance'], fields['event'], fields
        )
    except (ValueError, KeyError, TypeError):
        return None


def read(paths: collections.abc.Iterable[str]) -> list[LogLine]:
    """Return the log lines in some files, sorted by time; raise UserError."""
    lines = []
    for path in paths:
        try:
            with open(path, encoding='utf-8', errors='replace') as source:
                lines += [line for text in source if (line := parse(text))]
        except OSError as error:
            raise errors.UserError(f'{path}: {error}', exit_code=2) from error
    return sorted(lines, key=lambda line: line.time)
