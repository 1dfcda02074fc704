"""Make one call to a platform's API on a connection of its own."""

import contextlib
import http.client
import json
import socket
import struct
import typing

import urllib3

from ..ports import control
from ..transport import bounded
from ..transport import sockets

CONNECT_TIMEOUT_S = 0.5
MAX_ANSWER_BYTES = 65536
# Part of an answer that is logged.
MAX_DETAIL_BYTES = 200
SUCCESS = range(200, 300)
# The API rejects the call; a repeat would be rejected as well.
CLIENT_ERRORS = range(400, 500)
# Closing a connection resets it and discards what was not sent yet, so that
# no call arrives after its time-out.
OPTIONS = [
    *sockets.KEEPALIVE_OPTIONS,
    (socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)),
]
TRANSPORT_ERRORS = (
    OSError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
    ValueError,
)


class Call(typing.NamedTuple):
    """A call as it is sent."""

    target: str
    headers: list[tuple[str, str]]
    fields: dict[str, typing.Any]


class Answer(typing.NamedTuple):
    """The status of an answer, and its body as far as it was read."""

    status: int
    body: bytes


def post(
    address: tuple[str, int],
    call: Call,
    by_status: dict[int, control.Outcome],
    context: control.CallContext,
) -> control.CallResult:
    """Post fields as JSON and return the outcome for the answer's status.

    Statuses that are not in by_status: 2xx is DONE, 4xx REJECTED, others
    UNKNOWN.
    """
    connection = bounded.BoundedConnection(
        *address,
        timeout=min(context.timeout_s, CONNECT_TIMEOUT_S),
        socket_options=OPTIONS,
    )
    try:
        try:
            connection.connect()
        except TRANSPORT_ERRORS as error:
            return control.CallResult(control.Outcome.REFUSED, str(error))
        if not context.may_send():
            return control.CallResult(
                control.Outcome.REFUSED, 'the duty may have been lost'
            )
        try:
            answer = _exchange(connection, call, context.timeout_s)
        except TRANSPORT_ERRORS as error:
            return control.CallResult(control.Outcome.UNKNOWN, repr(error))
    finally:
        connection.close()
    return _judge(answer, by_status)


def _exchange(
    connection: bounded.BoundedConnection, call: Call, timeout_s: float
) -> Answer:
    """Send a call and return its answer."""
    connection.timeout = timeout_s
    connection.sock.settimeout(timeout_s)
    connection.request(
        'POST',
        call.target,
        # The same bytes for the same call, whoever sends it.
        body=json.dumps(call.fields, sort_keys=True).encode(),
        headers={'Content-Type': 'application/json', **dict(call.headers)},
        preload_content=False,
        decode_content=False,
    )
    response = connection.getresponse()
    data = b''
    # The status alone tells the outcome, so that a cut body is no failure.
    with contextlib.suppress(*TRANSPORT_ERRORS):
        connection.budget.restart(MAX_ANSWER_BYTES, timeout_s, timeout_s)
        data = response.read()
    response.close()
    return Answer(response.status, data)


def _judge(
    answer: Answer, by_status: dict[int, control.Outcome]
) -> control.CallResult:
    text = answer.body[:MAX_DETAIL_BYTES].decode(errors='replace')
    return control.CallResult(
        by_status.get(answer.status, _usual_outcome(answer.status)),
        f'status {answer.status} {text}'.strip(),
    )


def _usual_outcome(status: int) -> control.Outcome:
    if status in SUCCESS:
        return control.Outcome.DONE
    if status in CLIENT_ERRORS:
        return control.Outcome.REJECTED
    return control.Outcome.UNKNOWN
