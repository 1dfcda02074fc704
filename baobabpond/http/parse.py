"""Read and validate HTTP requests."""

import re
import time
import typing

from returns import result
import xxhash

from .. import decoding
from .. import verdicts
from ..gen import tree as tree_schema
from ..settings import tree as tree_module

TIMEOUT_HEADER = 'HTTP_BAOBABPOND_TIMEOUT_MS'
CALLER_HEADER = 'HTTP_BAOBABPOND_CALLER'
IDEMPOTENCY_KEY_HEADER = 'HTTP_IDEMPOTENCY_KEY'
IDEMPOTENCY_KEY_PATTERN = re.compile(r'[\x21-\x7e]{1,255}')
CALLER_PATTERN = re.compile(r'[A-Za-z0-9._:-]{1,128}')
# Time reserved to send the response to the caller.
REPLY_MARGIN_S = 0.02
MAX_REPLY_MARGIN_SHARE = 0.1
ANONYMOUS = 'anonymous'
MS_PER_S = 1000
MAX_READ_BYTES = 65_536

Environ = dict[str, typing.Any]


class CallerRequest(typing.NamedTuple):
    """Describe a valid request; the deadline is monotonic."""

    service: str
    settings: tree_schema.NodeSettings
    caller: str
    idempotency_key: str | None
    deadline: float
    body: bytes
    content_type: str
    fields: dict[str, typing.Any]

    @property
    def wants_stream(self) -> bool:
        """Return whether the caller requests a streamed response."""
        return self.fields.get('stream') is True

    @property
    def body_digest(self) -> str:
        """Return a digest that detects a reused key with another body."""
        return xxhash.xxh3_128_hexdigest(self.body)


Parsed = result.Result[CallerRequest, verdicts.Refusal]


def parse_request(
    environ: Environ, path: str, tree: tree_module.Tree
) -> Parsed:
    """Return the request to a service, or the refusal of an invalid one."""
    arrived_at = time.monotonic()
    if not tree.has_service(path):
        return _fail('unknown_service', f'no service {path!r}', 404)
    settings = tree.effective(path)
    caller = environ.get(CALLER_HEADER, ANONYMOUS)
    if not CALLER_PATTERN.fullmatch(caller):
        return _fail('bad_caller', 'the caller name is not valid')
    key = environ.get(IDEMPOTENCY_KEY_HEADER)
    if key is not None and not IDEMPOTENCY_KEY_PATTERN.fullmatch(key):
        return _fail('bad_key', 'the idempotency key is not valid')
    if key is None and not settings['idempotent']:
        return _fail('key_required', 'Idempotency-Key is required')
    return _timeout_s(environ, settings).bind(
        lambda timeout_s: read_json(environ, settings).map(
            lambda json_body: CallerRequest(
                service='/'.join(path.split('/')[:2]),
                settings=settings,
                caller=caller,
                idempotency_key=key,
                deadline=arrived_at + timeout_s - _reply_margin_s(timeout_s),
                body=json_body.body,
                content_type=environ.get('CONTENT_TYPE') or 'application/json',
                fields=json_body.fields,
            )
        )
    )


class JsonBody(typing.NamedTuple):
    """Hold a request body and the JSON object parsed from it."""

    body: bytes
    fields: dict[str, typing.Any]


def read_json(
    environ: Environ, settings: tree_schema.NodeSettings
) -> result.Result[JsonBody, verdicts.Refusal]:
    """Read a body within its size and time limits, and parse it."""
    return _read_body(environ, settings).bind(_parse_json_object)


def _parse_json_object(
    body: bytes,
) -> result.Result[JsonBody, verdicts.Refusal]:
    try:
        fields = decoding.load_json(body)
    except decoding.MalformedData:
        return _fail('bad_json', 'the body is not JSON')
    if not isinstance(fields, dict):
        return _fail('bad_json', 'the body is not a JSON object')
    return result.Success(JsonBody(body, fields))


def _read_body(
    environ: Environ, settings: tree_schema.NodeSettings
) -> result.Result[bytes, verdicts.Refusal]:
    length_text = environ.get('CONTENT_LENGTH', '')
    if not length_text.isdigit():
        return _fail('length_required', 'Content-Length is required', 411)
    length = int(length_text)
    if length > settings['max_body_bytes']:
        limit = settings['max_body_bytes']
        return _fail('body_too_large', f'at most {limit} bytes', 413)
    deadline = time.monotonic() + settings['body_timeout_s']
    try:
        body = _read_until(environ['wsgi.input'], length, deadline)
    except OSError:
        return _fail('slow_sender', 'the body did not arrive in time', 408)
    if len(body) < length:
        return _fail('body_cut', 'the body is shorter than announced')
    return result.Success(body)


def _read_until(source: typing.Any, length: int, deadline: float) -> bytes:
    chunks = []
    remaining_bytes = length
    while remaining_bytes > 0:
        if time.monotonic() > deadline:
            raise TimeoutError
        # peek blocks until some bytes arrive. A read of all remaining bytes
        # would block until the last one and overrun the deadline.
        available_bytes = len(source.rfile.peek(1))
        chunk = source.read(
            min(max(1, available_bytes), remaining_bytes, MAX_READ_BYTES)
        )
        if not chunk:
            break
        chunks.append(chunk)
        remaining_bytes -= len(chunk)
    return b''.join(chunks)


def _timeout_s(
    environ: Environ, settings: tree_schema.NodeSettings
) -> result.Result[float, verdicts.Refusal]:
    text = environ.get(TIMEOUT_HEADER)
    if text is None:
        return result.Success(settings['timeout_s'])
    try:
        timeout_ms = int(text)
    except ValueError:
        return _fail('bad_deadline', 'Baobabpond-Timeout-Ms is no integer')
    if timeout_ms <= 0:
        return _fail('deadline_passed', 'the deadline has passed already')
    if timeout_ms > settings['max_timeout_s'] * MS_PER_S:
        limit = settings['max_timeout_s']
        return _fail(
            'bad_deadline',
            f'the deadline is at most {limit:g} s',
        )
    return result.Success(timeout_ms / MS_PER_S)


def _reply_margin_s(timeout_s: float) -> float:
    return min(REPLY_MARGIN_S, timeout_s * MAX_REPLY_MARGIN_SHARE)


def _fail(
    code: str, message: str, status: int = 400
) -> result.Result[typing.Any, verdicts.Refusal]:
    return result.Failure(verdicts.bad_request(code, message, status))
