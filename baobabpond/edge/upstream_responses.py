"""Read and judge the responses of upstreams to single attempts."""

import typing

import urllib3

from .. import decoding
from .. import verdicts
from ..crashes import unresolved
from ..ports import upstreams as upstream_port
from ..transport import bounded
from ..upstreams import authenticity
from ..upstreams import connections as connections_module

from . import attempts as attempts_module
from . import body_memory

SERVER_ERROR = 500


class FailedAttempt(typing.NamedTuple):
    """An attempt that produced no response for the caller."""

    verdict: verdicts.Verdict
    reason: str
    # Server error of the upstream; sent to the caller if no retry succeeds.
    response: urllib3.HTTPResponse | None = None
    body: bytes = b''
    # How it ended, if the upstream sent no whole response to it.
    ending: unresolved.Ending | None = None
    # The upstream has ended since.
    has_crashed: bool = False


def read_body(
    context: attempts_module.RequestContext,
    attempt: attempts_module.Attempt,
    response: urllib3.HTTPResponse,
    memory: body_memory.Reservation,
) -> bytes:
    """Read a body once there is memory for it; raise ResponseFailed."""
    length = decoding.decimal(response.headers.get('Content-Length', '')) or 0
    _reserve(context, memory, min(length, bounded.MAX_BODY_BYTES))
    parts = []
    read_bytes = 0
    for chunk in attempt.connection.iter_body(response, context.budget_s):
        read_bytes += len(chunk)
        if read_bytes > length:
            _reserve(context, memory, len(chunk))
        parts.append(chunk)
    body = b''.join(parts)
    memory.shrink(len(body))
    return body


def _reserve(
    context: attempts_module.RequestContext,
    memory: body_memory.Reservation,
    size: int,
) -> None:
    # Those that hold memory already must not wait for one another.
    wait_s = 0.0 if memory.is_held else context.budget_s
    if not memory.try_add(size, wait_s):
        raise connections_module.ResponseTimedOut('no memory for the response')


def ending_of(
    error: connections_module.ResponseFailed,
) -> unresolved.Ending:
    """Return how an attempt ended that got no whole response."""
    if isinstance(error, connections_module.ResponseTimedOut):
        return unresolved.Ending.TIMED_OUT
    return unresolved.Ending.CUT


def check(
    context: attempts_module.RequestContext,
    response: urllib3.HTTPResponse,
    response_head: upstream_port.ResponseHead,
    body: bytes,
) -> FailedAttempt | None:
    """Return why a response must not be sent yet, None if it may be."""
    found = authenticity.of_response(
        context.request.id, response.status, response_head
    )
    if found is authenticity.Authenticity.FOREIGN:
        return FailedAttempt(
            verdicts.Verdict.MAY_HAVE_RUN, 'response to another request'
        )
    if response_head.not_run:
        return FailedAttempt(
            verdicts.Verdict.NOT_RUN, f'refused {response.status}'
        )
    if (
        response.status in authenticity.SUCCESS
        and found is authenticity.Authenticity.UNMARKED
    ):
        return FailedAttempt(
            verdicts.Verdict.MAY_HAVE_RUN,
            'response without the mark of an upstream',
        )
    if response.status >= SERVER_ERROR and context.route.is_repeatable:
        return FailedAttempt(
            verdicts.Verdict.MAY_HAVE_RUN,
            f'failed {response.status}',
            response,
            body,
        )
    return None
