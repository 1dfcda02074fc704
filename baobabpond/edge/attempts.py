"""Send a caller's request to one upstream."""

import time
import types
import typing

import urllib3

from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..ratelimits import permits as permits_module
from ..relaying import paths as paths_module
from ..streams import origins as origins_module
from ..upstreams import authenticity
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module
from ..upstreams import load_balancer as load_balancer_module
from ..usage import request as request_usage

from . import disconnects
from . import http_exchange


# An attempt at an idempotent request times out after this many times the
# route's target latency, so that an unresponsive upstream does not use up the
# time for a retry on another one.
TIMEOUT_TARGET_MULTIPLE = 4.0
MIN_ATTEMPT_TIMEOUT_S = 0.3
# Reserved for sending the response to the caller before the deadline.
RESPONSE_MARGIN_S = 0.02
MIN_ATTEMPT_S = 0.02


def attempt_timeout_s(
    remaining_s: float, target_s: float, has_alternatives: bool
) -> float:
    """Return the timeout of an attempt, shorter if a retry is possible.

    The target is the route's target latency.
    """
    if not has_alternatives:
        return remaining_s
    attempt_limit_s = max(
        MIN_ATTEMPT_TIMEOUT_S, TIMEOUT_TARGET_MULTIPLE * target_s
    )
    return min(remaining_s, attempt_limit_s)


class RequestContext(typing.NamedTuple):
    """A request being forwarded, its route and its deadline."""

    exchange: http_exchange.Exchange
    request: upstream_port.Request
    # Recognises the request if it is sent again under another id.
    digest: str
    route: catalogue.Route
    service: str
    # Monotonic time.
    deadline: float
    # Whether another upstream is left to retry on after this attempt.
    has_alternatives: bool = False
    # Id of the request whose stream the caller resumes; empty for a new one.
    resumed_stream: str = ''
    # Name of the account that sent the request; empty for a public request
    # without one, None if the deployment has no accounts.
    account: str | None = None
    # Of the account, or of the route if the account has none.
    priority: int = 0
    # Counts the request for its account; counts nothing by default.
    usage: request_usage.RequestUsage = request_usage.RequestUsage()

    @property
    def remaining_s(self) -> float:
        """Return the time until the deadline, negative once it has passed."""
        return self.deadline - time.monotonic()

    @property
    def budget_s(self) -> float:
        """Return the time that an attempt may take, always some."""
        return max(MIN_ATTEMPT_S, self.remaining_s - RESPONSE_MARGIN_S)


class AttemptDependencies(typing.NamedTuple):
    """Objects that all attempts use."""

    protocol: upstream_port.UpstreamProtocol
    gateway: gateway_module.Gateway
    paths: paths_module.Paths
    watcher: disconnects.DisconnectWatcher
    load_balancer: load_balancer_module.LoadBalancer
    origins: origins_module.StreamOrigins


class Attempt:
    """Context manager for one attempt on one upstream.

    On exit the connection returns to the pool or is closed, and the load
    balancer records the outcome.
    """

    def __init__(
        self,
        dependencies: AttemptDependencies,
        context: RequestContext,
        entry: catalogue.UpstreamEntry,
        permit: permits_module.Permit,
    ) -> None:
        self._dependencies = dependencies
        self._context = context
        self.entry = entry
        self._permit = permit
        self._started = time.monotonic()
        self._watch_handle = 0
        self._latency_s: float | None = None
        self._response_head: upstream_port.ResponseHead | None = None
        self._reusable = False
        self.caller_disconnected = False
        # The load balancer counts a failure unless the upstream responds.
        self.failed = True

    def __enter__(self) -> 'Attempt':
        """Acquire a connection and watch for a disconnect of the caller."""
        self.connection = self._dependencies.paths.acquire(
            self.entry, self._context.request.id
        )
        # Streams as well: their time-out is that of their route.
        self.connection.set_deadline(
            self._context.deadline - RESPONSE_MARGIN_S
        )
        self._watch_handle = self._dependencies.watcher.add(
            self._context.exchange.socket, self._on_disconnect
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Release or close the connection, and record the outcome."""
        self._dependencies.watcher.remove(self._watch_handle)
        if self._reusable and kind is None and not self.caller_disconnected:
            self._dependencies.paths.release(self.connection)
        else:
            self.connection.close()
        load = self._response_head.load if self._response_head else None
        failed: bool | None = self.failed and not self.caller_disconnected
        if kind is gateway_module.NoPermit or self._is_limited_refusal:
            failed = None
        self._dependencies.load_balancer.record_outcome(
            self.entry,
            self._latency_s,
            failed,
            load,
            self._context.route.name,
        )

    @property
    def _is_limited_refusal(self) -> bool:
        """Return whether an upstream with a limit refused the request."""
        head = self._response_head
        return (
            head is not None
            and head.not_run
            and head.request_limit is not None
        )

    def send(
        self,
        remaining_s: float,
        last_event: int = 0,
        timeout_s: float | None = None,
    ) -> tuple[urllib3.HTTPResponse, upstream_port.ResponseHead]:
        """Send the request and return the response, its body still unread.

        The remaining time is sent to the upstream as its deadline and, unless
        a timeout is given, also bounds the wait for the response headers.
        Raises ConnectionFailed or ResponseFailed.
        """
        usage = self._context.usage
        usage.begin_attempt()
        try:
            response, head = self._dependencies.gateway.exchange(
                self.connection,
                self.entry,
                self._permit,
                self._make_outgoing(remaining_s, last_event),
                remaining_s if timeout_s is None else timeout_s,
            )
        except connections_module.ConnectionFailed:
            usage.record_not_run()
            raise
        self._response_head = head
        self._record_usage(response.status, head)
        return response, head

    def _make_outgoing(
        self, remaining_s: float, last_event: int
    ) -> gateway_module.Outgoing:
        request, route = self._context.request, self._context.route
        return gateway_module.Outgoing(
            request.id,
            request.method,
            request.target,
            self._dependencies.protocol.request_headers(
                request, self.entry.id, remaining_s, last_event
            ),
            request.body or None,
            is_for_incarnation=(
                route.kind is catalogue.RouteKind.STREAMING and route.resumable
            ),
        )

    def _record_usage(
        self, status: int, head: upstream_port.ResponseHead
    ) -> None:
        """Record what a response tells about whether the request runs."""
        found = authenticity.of_response(
            self._context.request.id, status, head
        )
        if found is authenticity.Authenticity.FOREIGN:
            return
        if head.not_run:
            self._context.usage.record_not_run()
        elif status not in authenticity.SUCCESS:
            self._context.usage.record_answer()

    def record_response(self) -> None:
        """Count the attempt as successful and measure its latency."""
        self.failed = False
        self._latency_s = time.monotonic() - self._started

    def reuse_after(self, response: urllib3.HTTPResponse) -> None:
        """Reuse the connection on exit if the response allows keep-alive."""
        self._reusable = self.connection.is_reusable_after(response)

    def _on_disconnect(self) -> None:
        self.caller_disconnected = True
        self.connection.abort()
