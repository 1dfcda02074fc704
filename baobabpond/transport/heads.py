"""Read the heads of HTTP/1 responses in the form that RFC 9112 gives them.

The library takes a line that it cannot read for the end of a head, and tells
nobody: the fields after it, which may say where the body ends, are lost.
"""

import http.client
import io
import re
import typing

# A status line, or a field.
MAX_LINE_BYTES = 65536
# Part of a malformed line that an error shows.
MAX_SHOWN_BYTES = 60
# The reason, and the blank before it, may be missing.
STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] (?P<status>[1-5][0-9]{2})(?: [\t \x21-\x7e\x80-\xff]*)?'
)
# Of heads that come before that of the answer.
INTERIM_STATUSES = range(100, 200)
# No request asks for another protocol.
SWITCHING_PROTOCOLS = 101
# A token, and a value of visible characters, blanks and bytes beyond ASCII.
# Folded lines are obsolete, and a gateway may refuse them.
FIELD_LINE = re.compile(
    rb"(?P<name>[!#$%&'*+\-.^_`|~0-9A-Za-z]+):"
    rb'(?P<value>[\t \x21-\x7e\x80-\xff]*)'
)
BLANKS = b' \t'
LINE_END = b'\r\n'


class MalformedResponse(http.client.HTTPException):
    """Raised when a response does not have the form of one."""


class Field(typing.NamedTuple):
    """A field of a head or of a trailer."""

    name: bytes
    value: bytes


def read_head(reader: io.BufferedIOBase) -> bytes:
    """Return the next head with its end, without the interim ones before it.

    Raises MalformedResponse, or RemoteDisconnected if the connection ends.
    """
    while True:
        status_line = _read_line(reader)
        status = _parse_status(status_line)
        fields = _read_fields(reader)
        if status == SWITCHING_PROTOCOLS:
            raise MalformedResponse('another protocol')
        if status not in INTERIM_STATUSES:
            lines = [b'%b: %b' % field for field in fields]
            return LINE_END.join([status_line, *lines, b'', b''])


def parse_field(line: bytes) -> Field:
    """Return the field in a line without its end; raise MalformedResponse."""
    found = FIELD_LINE.fullmatch(line)
    if found is None:
        raise MalformedResponse(f'field {line[:MAX_SHOWN_BYTES]!r}')
    return Field(found['name'], found['value'].strip(BLANKS))


def strip_end(line: bytes) -> bytes:
    """Return a line without its end; raise MalformedResponse.

    A line may end with a line feed alone.
    """
    if not line.endswith(b'\n'):
        raise MalformedResponse(f'no line {line[:MAX_SHOWN_BYTES]!r}')
    return line[:-1].removesuffix(b'\r')


def _parse_status(status_line: bytes) -> int:
    found = STATUS_LINE.fullmatch(status_line)
    if found is None:
        shown = status_line[:MAX_SHOWN_BYTES]
        raise MalformedResponse(f'status line {shown!r}')
    return int(found['status'])


def _read_line(reader: io.BufferedIOBase) -> bytes:
    line = reader.readline(MAX_LINE_BYTES)
    if not line:
        raise http.client.RemoteDisconnected('the connection has ended')
    return strip_end(line)


def _read_fields(reader: io.BufferedIOBase) -> list[Field]:
    fields = []
    while line := _read_line(reader):
        fields.append(parse_field(line))
    return fields
