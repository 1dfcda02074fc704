"""Define the interface of adapters, one for each upstream protocol."""

import abc
import time
import typing

from returns import result
import urllib3

from .. import answers
from .. import registry
from .. import verdicts
from ..gen import tree as tree_schema
from ..routing import router
from ..routing import streams
from ..routing import upstreams
from ..transport import pools

CONNECT_TIMEOUT_S = 1.0
POLL_TIMEOUT_S = 2.0
MAX_LOAD_BYTES = 1024 * 1024
# A stream that still sends events at its deadline is ended by the reader of
# its events.
STREAM_MARGIN_S = 1.0
MIN_TIMEOUT_S = 0.001
CONNECTIONS_PER_UPSTREAM = 64
MAX_POOLS = 1000
REQUEST_ID_HEADER = 'X-Request-Id'
IDEMPOTENCY_KEY_HEADER = 'Idempotency-Key'
RETRYABLE_STATUSES = (429, 502, 503, 504)
FIRST_SERVER_ERROR_STATUS = 500


class UpstreamRequest(typing.NamedTuple):
    """Describe a request to an upstream."""

    request_id: str
    body: bytes
    content_type: str
    settings: tree_schema.NodeSettings
    idempotency_key: str | None = None


class Adapter(abc.ABC):
    """Send requests to upstreams in one protocol."""

    def __init__(self) -> None:
        self._http = pools.BoundedPoolManager(
            MAX_POOLS, CONNECTIONS_PER_UPSTREAM
        )

    @abc.abstractmethod
    def send(
        self,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        deadline: float,
    ) -> result.Result[answers.Answer, verdicts.Refusal]:
        """Send a request and return the complete answer.

        The deadline is monotonic.
        """

    @abc.abstractmethod
    def open_stream(
        self,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        deadline: float,
    ) -> result.Result[streams.Stream, verdicts.Refusal]:
        """Send a request and return its answer as a stream.

        The deadline is monotonic.
        """

    @abc.abstractmethod
    def poll_load(
        self, upstream: upstreams.Upstream
    ) -> upstreams.LoadReport | None:
        """Return the upstream's load, or None if it cannot be read."""

    def _post(
        self,
        upstream: upstreams.Upstream,
        request: UpstreamRequest,
        deadline: float,
        preload: bool,
    ) -> result.Result[urllib3.BaseHTTPResponse, verdicts.Refusal]:
        headers = {
            'Content-Type': request.content_type,
            REQUEST_ID_HEADER: request.request_id,
        }
        if request.idempotency_key is not None:
            headers[IDEMPOTENCY_KEY_HEADER] = request.idempotency_key
        remaining_s = _remaining_s(deadline)
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, remaining_s), read=remaining_s
        )
        try:
            response = self._http.request(
                'POST',
                url(upstream, request.settings['path']),
                body=request.body,
                headers=headers,
                timeout=timeout,
                preload_content=False,
            )
            remaining_s = _remaining_s(deadline)
            if preload:
                pools.read_body(response, remaining_s)
            else:
                pools.limit_body(response, remaining_s + STREAM_MARGIN_S)
        except urllib3.exceptions.HTTPError as error:
            return result.Failure(_transport_refusal(error))
        return _check_response(response, request)

    def _get_json(self, upstream: upstreams.Upstream, path: str) -> typing.Any:
        try:
            response = self._http.request(
                'GET',
                url(upstream, path),
                timeout=POLL_TIMEOUT_S,
                preload_content=False,
            )
            pools.read_body(response, POLL_TIMEOUT_S, MAX_LOAD_BYTES)
            return response.json() if response.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None


adapters: registry.Registry[type[Adapter]] = registry.Registry('adapter')


class AdapterSet:
    """Hold one adapter of each registered protocol."""

    def __init__(self) -> None:
        self._adapters = {
            name: adapters.get(name)() for name in adapters.names
        }

    def get(self, settings: tree_schema.NodeSettings) -> Adapter:
        """Return the adapter selected by the settings of a node."""
        return self._adapters[settings['adapter']]

    def named(self, name: str) -> Adapter:
        """Return the adapter registered under a name."""
        return self._adapters[name]

    def poll_load(
        self,
        upstream: upstreams.Upstream,
        settings: tree_schema.NodeSettings,
    ) -> upstreams.LoadReport | None:
        """Return an upstream's load, or None if it cannot be read."""
        return self.get(settings).poll_load(upstream)


def _remaining_s(deadline: float) -> float:
    return max(MIN_TIMEOUT_S, deadline - time.monotonic())


def url(upstream: upstreams.Upstream, path: str) -> str:
    """Return the URL of a path at an upstream."""
    return f'http://{upstream.address}:{upstream.port}{path}'


def _transport_refusal(
    error: urllib3.exceptions.HTTPError,
) -> verdicts.Refusal:
    connect_errors = (
        urllib3.exceptions.NewConnectionError,
        urllib3.exceptions.ConnectTimeoutError,
    )
    if isinstance(error, connect_errors):
        return verdicts.Refusal(
            verdicts.Verdict.NOT_RUN,
            503,
            'upstream_unreachable',
            'the upstream accepted no connection',
            router.NO_UPSTREAM_RETRY_S,
        )
    if isinstance(error, urllib3.exceptions.TimeoutError):
        return verdicts.Refusal(
            verdicts.Verdict.MAY_HAVE_RUN,
            504,
            router.TIMEOUT_CODE,
            'the upstream did not answer before the deadline',
        )
    return verdicts.uncertain(
        router.CUT_CODE,
        'the upstream cut its answer short',
    )


def _check_response(
    response: urllib3.BaseHTTPResponse, request: UpstreamRequest
) -> result.Result[urllib3.BaseHTTPResponse, verdicts.Refusal]:
    refusal = _find_refusal(response, request)
    if refusal is None:
        return result.Success(response)
    response.close()
    return result.Failure(refusal)


def _find_refusal(
    response: urllib3.BaseHTTPResponse, request: UpstreamRequest
) -> verdicts.Refusal | None:
    settings = request.settings
    echoed_id = response.headers.get(REQUEST_ID_HEADER)
    if echoed_id is not None and echoed_id != request.request_id:
        return verdicts.uncertain(
            'crossed_answer', 'the upstream answered another request'
        )
    if response.status in settings['not_run_statuses']:
        return verdicts.unavailable(
            router.REFUSED_CODE,
            f'the upstream refused with status {response.status}',
            router.NO_UPSTREAM_RETRY_S,
        )
    is_retryable = response.status in RETRYABLE_STATUSES
    is_server_error = response.status >= FIRST_SERVER_ERROR_STATUS
    if is_retryable or (is_server_error and not settings['idempotent']):
        return verdicts.uncertain(
            'upstream_error',
            f'the upstream answered {response.status}',
        )
    if not _is_delimited(response):
        return verdicts.uncertain(
            router.CUT_CODE,
            'the answer has neither length nor end marker',
        )
    return None


def _is_delimited(response: urllib3.BaseHTTPResponse) -> bool:
    transfer_encoding = response.headers.get('Transfer-Encoding', '').lower()
    return (
        'Content-Length' in response.headers or transfer_encoding == 'chunked'
    )
