"""Make one attempt at a request of a caller."""

import time
import types
import typing

import urllib3

from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..upstreams import connections as connections_module

from . import balance as balance_module
from . import server


# An idempotent request is sent elsewhere after this many times its target, so
# that a silent upstream does not use up all of its time.
PATIENCE_TARGETS = 4.0
LEAST_PATIENCE_S = 0.3


def patience_s(remaining_s: float, target_s: float, has_others: bool) -> float:
    """Return how long an attempt may take. Answers silent upstreams."""
    if not has_others:
        return remaining_s
    wanted_s = max(LEAST_PATIENCE_S, PATIENCE_TARGETS * target_s)
    return min(remaining_s, wanted_s)


class Forward(typing.NamedTuple):
    """Hold one request on its way."""

    exchange: server.Exchange
    request: upstream_port.Request
    route: catalogue.Route
    service: str
    ends_at: float
    # Another upstream may still be tried after this attempt.
    has_others: bool = False

    @property
    def remaining_s(self) -> float:
        """Return the time left."""
        return self.ends_at - time.monotonic()


class Tools(typing.NamedTuple):
    """Hold what attempts share."""

    protocol: upstream_port.UpstreamProtocol
    connections: connections_module.ConnectionPool
    watch: server.CallerWatch
    balance: balance_module.Balance


class Attempt:
    """Hold a connection to an upstream while its caller waits.

    Leaving the context keeps or closes the connection and notes how the
    attempt ended.
    """

    def __init__(
        self, tools: Tools, forward: Forward, entry: catalogue.UpstreamEntry
    ) -> None:
        self._tools = tools
        self._forward = forward
        self._entry = entry
        self._started = time.monotonic()
        self._watched = 0
        self._latency_s: float | None = None
        self._reading: upstream_port.Reading | None = None
        self._keep = False
        self.caller_left = False
        # Counts against the upstream unless it answers.
        self.failed = True

    def __enter__(self) -> 'Attempt':
        """Take a connection and watch the caller."""
        self.connection = self._tools.connections.acquire(
            (self._entry.host, self._entry.port)
        )
        self._watched = self._tools.watch.add(
            self._forward.exchange.socket, self._leave
        )
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Keep or close the connection and note the end."""
        self._tools.watch.remove(self._watched)
        if self._keep and kind is None and not self.caller_left:
            self._tools.connections.release(self.connection)
        else:
            self.connection.close()
        load = self._reading.load if self._reading else None
        failed = self.failed and not self.caller_left
        self._tools.balance.note_end(
            self._entry, self._latency_s, failed, load
        )

    def send(
        self,
        remaining_s: float,
        last_event: int = 0,
        timeout_s: float | None = None,
    ) -> tuple[urllib3.HTTPResponse, upstream_port.Reading]:
        """Send the request and return the head of the answer.

        The upstream learns the time that remains; the timeout, where given,
        bounds the wait for the head. Raises ConnectionFailed or
        ResponseFailed.
        """
        request = self._forward.request
        if self.connection.is_new:
            self.connection.connect()
        response = self.connection.exchange(
            request.method,
            request.target,
            self._tools.protocol.request_headers(
                request, self._entry.id, remaining_s, last_event
            ),
            request.body or None,
            remaining_s if timeout_s is None else timeout_s,
        )
        self._reading = self._tools.protocol.read_head(
            response.status, response.headers
        )
        return response, self._reading

    def note_answer(self) -> None:
        """Note that the upstream answered the request."""
        self.failed = False
        self._latency_s = time.monotonic() - self._started

    def keep_after(self, response: urllib3.HTTPResponse) -> None:
        """Keep the connection if the upstream does."""
        self._keep = self.connection.is_reusable_after(response)

    def _leave(self) -> None:
        self.caller_left = True
        self.connection.abort()
