"""List all that reads answers of other processes over HTTP."""

import collections.abc
import json
import time
import typing

from returns import result

from baobabpond.duties import single_call
from baobabpond import errors
from baobabpond.http import adapters
from baobabpond.http import completions
from baobabpond.http import plain
from baobabpond.log import client as log_client
from baobabpond.members import instance_list
from baobabpond import metrics
from baobabpond.ports import control
from baobabpond.routing import upstreams
from baobabpond.store import http_calls
from baobabpond.ui import entries
from baobabpond.upstreams import connections

TIMEOUT_S = 2.0
LOAD = b'{"num_running_reqs":0,"num_waiting_reqs":0,"weight_version":"1"}'
EVENT = b'data: {"choices":[{"text":"a"}],"weight_version":"1"}\n\n'

Address = tuple[str, int]


class Reader(typing.NamedTuple):
    """One kind of call, and the body of a sound answer to it."""

    body: bytes
    # Makes a call; returns whether it takes the answer for a sound one.
    accepts: collections.abc.Callable[[Address], bool]


readers: dict[str, Reader] = {}


def register(
    name: str, body: bytes
) -> collections.abc.Callable[
    [collections.abc.Callable[[Address], bool]],
    collections.abc.Callable[[Address], bool],
]:
    """Add a reader to the registry."""

    def add(
        accepts: collections.abc.Callable[[Address], bool],
    ) -> collections.abc.Callable[[Address], bool]:
        readers[name] = Reader(body, accepts)
        return accepts

    return add


@register('upstream', b'abc')
def read_upstream(address: Address) -> bool:
    """Exchange a request with an upstream."""
    connection = connections.ConnectionPool(metrics.Metrics()).acquire(address)
    connection.connect()
    try:
        response = connection.exchange('GET', '/', [], None, TIMEOUT_S)
        body = b''.join(connection.iter_body(response, TIMEOUT_S))
    except connections.ResponseFailed:
        return False
    finally:
        connection.close()
    return (response.status, body) == (200, b'abc')


@register('store', b'abc')
def read_store(address: Address) -> bool:
    """Call the store."""
    calls = http_calls.HttpCalls(f'{address[0]}:{address[1]}')
    try:
        response = calls.send('GET', '/', {}, TIMEOUT_S)
    except http_calls.urllib3.exceptions.HTTPError:
        return False
    return (response.status, response.data) == (200, b'abc')


@register('duty', b'abc')
def read_duty(address: Address) -> bool:
    """Call the platform's API."""
    found = single_call.post(
        address,
        single_call.Call('/', [], {}),
        {},
        control.CallContext(control.Duty('a', 1), lambda: True, TIMEOUT_S),
    )
    # A cut body is no failure there, as the status alone decides.
    return found.outcome is control.Outcome.DONE


@register('poll of an engine', LOAD)
def read_engine_load(address: Address) -> bool:
    """Poll the load of a model engine."""
    return completions.Completions().poll_load(_upstream(address)) is not None


@register('poll of a service', b'{"running":0,"waiting":0}')
def read_service_load(address: Address) -> bool:
    """Poll the load of a plain service."""
    return plain.PlainHttp().poll_load(_upstream(address)) is not None


@register('request of a router', b'abc')
def read_response(address: Address) -> bool:
    """Send a request to a plain service."""
    found = plain.PlainHttp().send(
        _upstream(address), _request(), time.monotonic() + TIMEOUT_S
    )
    return isinstance(found, result.Success) and (
        found.unwrap().body == b'abc'
    )


@register('stream', EVENT + completions.DONE_EVENT)
def read_stream(address: Address) -> bool:
    """Read the tokens of a model engine."""
    found = completions.Completions().open_stream(
        _upstream(address), _request(), time.monotonic() + TIMEOUT_S
    )
    if not isinstance(found, result.Success):
        return False
    try:
        completion = completions.collect(found.unwrap(), lambda: False)
    except completions.IncompleteStreamError:
        return False
    return completion.text == 'a'


@register('order of weights', b'abc')
def read_order(address: Address) -> bool:
    """Order a model engine to load weights."""
    return completions.Completions().update_weights(
        _upstream(address), 2, 1, TIMEOUT_S
    )


@register('log', b'{"beginning_offset":0,"end_offset":0}')
def read_log(address: Address) -> bool:
    """Ask the log service for its bounds."""
    client = log_client.LogClient(_url(address), 't')
    try:
        return client.bounds() == log_client.Bounds(0, 0)
    except log_client.LogError:
        return False


@register('instance list', b'[]')
def read_instance_list(address: Address) -> bool:
    """Read the list of instances."""
    listed = instance_list.InstanceList(_url(address))
    try:
        return listed.read('s').instances == []
    except instance_list.ListError:
        return False


@register('entry list', b'{}')
def read_entries(address: Address) -> bool:
    """Read what an operator's command prints."""
    try:
        return entries.fetch_json(_url(address)) == json.loads(b'{}')
    except errors.UserError:
        return False


def _url(address: Address) -> str:
    return f'http://{address[0]}:{address[1]}'


def _upstream(address: Address) -> upstreams.Upstream:
    return upstreams.Upstream('i', 's', *address, 'd')


def _request() -> adapters.UpstreamRequest:
    return adapters.UpstreamRequest(
        'r',
        b'{}',
        'application/json',
        {'path': '/', 'idempotent': True, 'not_run_statuses': []},
    )
