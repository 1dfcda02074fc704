"""Read the log lines of instances."""

import collections.abc
import datetime
import json
import typing

from .. import errors


class Line(typing.NamedTuple):
    """Hold one log line."""

    # Unix seconds.
    time: float
    instance: str
    event: str
    fields: dict[str, typing.Any]


def parse(text: str) -> Line | None:
    """Return a line, whatever stands before its JSON; None if it has none."""
    start = text.find('{')
    if start < 0:
        return None
    try:
        fields = json.loads(text[start:])
        stamp = datetime.datetime.fromisoformat(fields['timestamp'])
        return Line(
            stamp.timestamp(), fields['instance'], fields['event'], fields
        )
    except (ValueError, KeyError, TypeError):
        return None


def read(paths: collections.abc.Iterable[str]) -> list[Line]:
    """Return the lines of files in the order of time; raise UserError."""
    found = []
    for path in paths:
        try:
            with open(path, encoding='utf-8', errors='replace') as source:
                found += [line for text in source if (line := parse(text))]
        except OSError as error:
            raise errors.UserError(f'{path}: {error}', exit_code=2) from error
    return sorted(found, key=lambda line: line.time)
