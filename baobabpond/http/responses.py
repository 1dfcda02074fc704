"""Build HTTP responses."""

import collections.abc
import json
import math
import typing

from .. import verdicts

JSON_TYPE = 'application/json'
VERDICT_HEADER = 'Baobabpond-Verdict'
REASONS = {
    200: 'OK',
    400: 'Bad Request',
    404: 'Not Found',
    405: 'Method Not Allowed',
    408: 'Request Timeout',
    409: 'Conflict',
    411: 'Length Required',
    413: 'Content Too Large',
    422: 'Unprocessable Content',
    500: 'Internal Server Error',
    502: 'Bad Gateway',
    503: 'Service Unavailable',
    504: 'Gateway Timeout',
}


class Response(typing.NamedTuple):
    """Describe a response; the body is iterated once by the server."""

    status: int
    headers: list[tuple[str, str]]
    body: collections.abc.Iterable[bytes]


def json_response(
    value: object, status: int = 200, headers: dict[str, str] | None = None
) -> Response:
    """Return a response with a JSON body."""
    return bytes_response(
        json.dumps(value).encode(), JSON_TYPE, status, headers
    )


def bytes_response(
    body: bytes,
    content_type: str,
    status: int = 200,
    headers: dict[str, str] | None = None,
) -> Response:
    """Return a response with a Content-Length."""
    fields = [
        ('Content-Type', content_type),
        ('Content-Length', str(len(body))),
    ]
    fields += list((headers or {}).items())
    return Response(status, fields, [body])


def refusal_response(refusal: verdicts.Refusal) -> Response:
    """Return the response for a refusal, with its verdict."""
    body: dict[str, object] = {
        'verdict': refusal.verdict.value,
        'code': refusal.code,
        'message': refusal.message,
    }
    headers = {VERDICT_HEADER: refusal.verdict.value}
    if refusal.retry_after_s is not None:
        body['retry_after_s'] = refusal.retry_after_s
        # Retry-After allows whole seconds only.
        headers['Retry-After'] = str(max(1, math.ceil(refusal.retry_after_s)))
    return json_response(body, refusal.status, headers)


def status_line(status: int) -> str:
    """Return a status line as WSGI requires it, such as 200 OK."""
    return f'{status} {REASONS.get(status, "Unknown")}'
