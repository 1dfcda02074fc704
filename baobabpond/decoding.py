"""Decode what other parties wrote: records, reports, heads and bodies.

Whatever is wrong with it, decoders raise one error.
"""

import contextlib
import json
import math
import re
import struct
import typing
import zlib

# Exact in the JSON of all parties, and in the wire formats of this project.
MAX_INTEGER = 2**53 - 1
MAX_TEXT_LENGTH = 1024
MAX_HOST_LENGTH = 253
MAX_PORT = 65535
HOST = re.compile(r'[A-Za-z0-9](?:[A-Za-z0-9._-]*[A-Za-z0-9])?')
SURROGATE = re.compile(rb'\\u[dD][89a-fA-F]')
# What goes wrong with values of unexpected types, ranges and nesting.
_ERRORS = (
    ArithmeticError,
    AttributeError,
    LookupError,
    RecursionError,
    TypeError,
    ValueError,
    struct.error,
    zlib.error,
)


class MalformedData(ValueError):
    """Raised when data of another party cannot be used."""


@contextlib.contextmanager
def decoder(kind: str) -> typing.Iterator[None]:
    """Raise MalformedData for all that goes wrong; also a decorator."""
    try:
        yield
    except MalformedData:
        raise
    except _ERRORS as error:
        # Without the value, which may be of any size.
        reason = f'{type(error).__name__}: {str(error)[:200]}'
        raise MalformedData(f'malformed {kind}: {reason}') from error


@decoder('JSON')
def load_json(data: bytes | str) -> typing.Any:
    """Decode JSON whose numbers are finite and whose texts are Unicode.

    Raises MalformedData.
    """
    value = json.loads(
        data, parse_float=_finite, parse_constant=_refuse_constant
    )
    encoded = data.encode() if isinstance(data, str) else data
    if SURROGATE.search(encoded):
        # Raises for a lone surrogate; pairs are fine.
        json.dumps(value, ensure_ascii=False).encode()
    return value


def text(value: typing.Any, max_length: int = MAX_TEXT_LENGTH) -> str:
    """Return a printable text; raise MalformedData."""
    if not isinstance(value, str):
        raise MalformedData(f'no text: {type(value).__name__}')
    if len(value) > max_length or not value.isprintable():
        raise MalformedData(f'no printable text of up to {max_length}')
    return value


def name(value: typing.Any) -> str:
    """Return a text that can stand in a header; raise MalformedData."""
    found = text(value)
    if not found or not found.isascii() or ' ' in found:
        raise MalformedData('no name')
    return found


def integer(value: typing.Any, low: int = 0, high: int = MAX_INTEGER) -> int:
    """Return a whole number in a range; raise MalformedData."""
    if isinstance(value, bool) or not isinstance(value, int):
        raise MalformedData(f'no whole number: {type(value).__name__}')
    if not low <= value <= high:
        raise MalformedData(f'not from {low} to {high}')
    return value


def flag(value: typing.Any) -> bool:
    """Return true or false; raise MalformedData."""
    if not isinstance(value, bool):
        raise MalformedData('neither true nor false')
    return value


def sequence(value: typing.Any) -> list[typing.Any]:
    """Return a list; raise MalformedData."""
    if not isinstance(value, list):
        raise MalformedData(f'no list: {type(value).__name__}')
    return value


def number(
    value: typing.Any, low: float = 0.0, high: float = float(MAX_INTEGER)
) -> float:
    """Return a number in a range; raise MalformedData."""
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise MalformedData(f'no number: {type(value).__name__}')
    # False for NaN as well.
    if not low <= value <= high:
        raise MalformedData(f'not from {low:g} to {high:g}')
    return float(value)


def address(value: typing.Any) -> tuple[str, int]:
    """Return the host and port of an address; raise MalformedData."""
    host, _, port = text(value).rpartition(':')
    if len(host) > MAX_HOST_LENGTH or not HOST.fullmatch(host):
        raise MalformedData('no host in the address')
    port_number = decimal(port, MAX_PORT + 1)
    if port_number is None or not 1 <= port_number <= MAX_PORT:
        raise MalformedData('no port in the address')
    return host, port_number


def http_address(value: typing.Any) -> tuple[str, int]:
    """Return the host and port of an address, or of the URL of a host."""
    return address(text(value).removeprefix('http://').rstrip('/'))


def decimal(value: str | None, limit: int = MAX_INTEGER) -> int | None:
    """Return a number in plain digits, cut off at a limit.

    None if the text is none.
    """
    digits = value or ''
    if not (digits.isascii() and digits.isdigit()):
        return None
    if len(digits.lstrip('0')) > len(str(limit)):
        return limit
    return min(int(digits), limit)


def rate(value: str | None) -> float | None:
    """Return a rate that is not negative, None if the text is none."""
    try:
        found = float(value or '')
    except ValueError:
        return None
    return found if math.isfinite(found) and found >= 0 else None


def _finite(digits: str) -> float:
    value = float(digits)
    if not math.isfinite(value):
        raise MalformedData('the number is too large')
    return value


def _refuse_constant(name: str) -> float:
    raise MalformedData(f'{name} is no JSON')
