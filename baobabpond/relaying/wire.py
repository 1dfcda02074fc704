"""Define the headers that relayed requests and their responses add."""

import enum
import typing

from .. import decoding
from ..ports import headers as header_port
from ..ports import upstreams as upstream_port

UPSTREAM_HEADER = 'Relay-Upstream'
BORN_HEADER = 'Relay-Born'
TIMEOUT_HEADER = 'Relay-Timeout-Ms'
INCARNATION_HEADER = 'Relay-Check-Incarnation'
REQUEST_HEADER = 'Relay-Request'
OUTCOME_HEADER = 'Relay-Outcome'
PREFIX = 'relay-'
MS_PER_S = 1000
MAX_TIMEOUT_MS = 24 * 3600 * MS_PER_S
# Status of the responses that the relaying instance makes up itself.
FAILURE_STATUS = 502


class Outcome(enum.Enum):
    """Describe how a relayed request ended; the header holds the value."""

    # The response is that of the upstream.
    RESPONSE = 'response'
    # The relaying instance has passed on as many requests as it may.
    BUSY = 'busy'
    # Nothing was sent to the upstream.
    NOT_SENT = 'not_sent'
    # The upstream states a limit, and there is no permit.
    NO_PERMIT = 'no_permit'
    # The upstream does not say that it is the registered process.
    NOT_VERIFIED = 'not_verified'
    # The request may have run.
    CUT = 'cut'
    TIMED_OUT = 'timed_out'


class Destination(typing.NamedTuple):
    """Where the relaying instance sends a request, and how."""

    request_id: str
    upstream: str
    born: int
    # For the head of the response as a whole.
    timeout_s: float
    checks_incarnation: bool

    @property
    def incarnation(self) -> tuple[str, int]:
        """Return the key of the upstream, as its registration has it."""
        return self.upstream, self.born


class MalformedRequest(ValueError):
    """Raised when a request lacks a header that relayed requests have."""


def encode_destination(destination: Destination) -> upstream_port.Headers:
    """Return the headers that name a destination."""
    headers = [
        (REQUEST_HEADER, destination.request_id),
        (UPSTREAM_HEADER, destination.upstream),
        (BORN_HEADER, str(destination.born)),
        (TIMEOUT_HEADER, str(max(1, int(destination.timeout_s * MS_PER_S)))),
    ]
    if destination.checks_incarnation:
        headers.append((INCARNATION_HEADER, '1'))
    return headers


def decode_destination(headers: typing.Mapping[str, str]) -> Destination:
    """Return the destination that headers name; raise MalformedRequest."""
    born = decoding.decimal(headers.get(BORN_HEADER))
    timeout_ms = decoding.decimal(headers.get(TIMEOUT_HEADER), MAX_TIMEOUT_MS)
    request = headers.get(REQUEST_HEADER)
    upstream = headers.get(UPSTREAM_HEADER)
    if None in (born, timeout_ms, request, upstream):
        raise MalformedRequest('not a relayed request')
    return Destination(
        request,
        upstream,
        born,
        timeout_ms / MS_PER_S,
        INCARNATION_HEADER in headers,
    )


def end_to_end_headers(
    headers: upstream_port.Headers,
) -> upstream_port.Headers:
    """Return the headers that are not for one connection or relay only."""
    options = header_port.connection_options(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in header_port.HOP_BY_HOP
        and name.lower() not in options
        and not name.lower().startswith(PREFIX)
    ]
