"""Make one call to a platform's API on a connection of its own."""

import contextlib
import json
import typing

from ..ports import control

from . import connections

MAX_ANSWER_BYTES = 65536
# Of an answer that is logged.
MAX_DETAIL_BYTES = 200
SUCCESS = range(200, 300)
# The API does not take such a call.
CLIENT_ERRORS = range(400, 500)


class Call(typing.NamedTuple):
    """A call as it is sent."""

    target: str
    headers: list[tuple[str, str]]
    fields: dict[str, typing.Any]


def post(
    address: connections.Address,
    call: Call,
    by_status: dict[int, control.Outcome],
    context: control.CallContext,
) -> control.CallResult:
    """Post fields as JSON; judge the answer by its status.

    Statuses without an outcome of their own mean the usual.
    """
    connection = connections.Connection(address)
    timeout_s = context.timeout_s
    headers = [
        ('Host', f'{address[0]}:{address[1]}'),
        ('Content-Type', 'application/json'),
        *call.headers,
    ]
    # The same bytes for the same call, whoever sends it.
    body = json.dumps(call.fields, sort_keys=True).encode()
    try:
        connection.connect(min(timeout_s, connections.CONNECT_TIMEOUT_S))
        # So that no call arrives after its time-out.
        connection.discard_on_close()
        if not context.may_send():
            return control.CallResult(
                control.Outcome.REFUSED, 'the duty may have been lost'
            )
        response = connection.exchange(
            'POST', call.target, headers, body, timeout_s
        )
        data = b''
        # The status alone tells what has become of the call.
        with contextlib.suppress(connections.ResponseFailed):
            data = b''.join(
                connection.iter_body(
                    response, timeout_s, max_bytes=MAX_ANSWER_BYTES
                )
            )
    except connections.ConnectionFailed as error:
        return control.CallResult(control.Outcome.REFUSED, str(error))
    except connections.ResponseFailed as error:
        return control.CallResult(control.Outcome.UNKNOWN, str(error))
    finally:
        connection.close()
    text = data[:MAX_DETAIL_BYTES].decode(errors='replace')
    return control.CallResult(
        by_status.get(response.status, _usual_outcome(response.status)),
        f'status {response.status} {text}'.strip(),
    )


def _usual_outcome(status: int) -> control.Outcome:
    if status in SUCCESS:
        return control.Outcome.DONE
    if status in CLIENT_ERRORS:
        return control.Outcome.REJECTED
    return control.Outcome.UNKNOWN
