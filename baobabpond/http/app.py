"""Route HTTP requests to their handlers and count those in flight."""

import collections.abc
import re
import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from .. import verdicts

from . import parse
from . import responses

# Key of the request environment whose value ends the connection.
CLOSE_KEY = 'baobabpond.close_connection'
DRAINING_RETRY_S = 1.0
BUSY_RETRY_S = 1.0

LOG = structlog.get_logger(__name__)

Handler = typing.Callable[[parse.Environ, str], responses.Response]
StartResponse = typing.Callable[[str, list[tuple[str, str]]], typing.Any]


class Route(typing.NamedTuple):
    """Bind a method and a path pattern to a handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    is_limited: bool


class RequestLimiter:
    """Count the requests in flight, and close for shutdown."""

    def __init__(self, capacity: int) -> None:
        self._changed = threading.Condition()
        self._capacity = capacity
        self._in_flight = 0
        self._draining = False
        self._closes_connections = False

    @property
    def closes_connections(self) -> bool:
        """Tell whether connections are ended after their response."""
        return self._closes_connections

    @property
    def in_flight(self) -> int:
        """Return the requests whose responses have not ended."""
        return self._in_flight

    def enter(self) -> verdicts.Refusal | None:
        """Count a request in, or return why it is refused."""
        with self._changed:
            if self._draining:
                return verdicts.unavailable(
                    'draining', 'the instance is leaving', DRAINING_RETRY_S
                )
            if self._in_flight >= self._capacity:
                return verdicts.unavailable(
                    'instance_busy', 'the instance is full', BUSY_RETRY_S
                )
            self._in_flight += 1
            return None

    def leave(self) -> None:
        """Count a request out."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def start_closing_connections(self) -> None:
        """End each connection after its response from now on."""
        self._closes_connections = True

    def start_draining(self) -> None:
        """Refuse new work from now on."""
        with self._changed:
            self._draining = True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight == 0, timeout_s
            )


class CountedBody:
    """Count a request out when its response has ended."""

    def __init__(
        self, body: collections.abc.Iterable[bytes], limiter: RequestLimiter
    ) -> None:
        self._body = body
        self._limiter = limiter
        self._closed = False

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body; the server calls this in every case."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()
        finally:
            self._limiter.leave()


class App:
    """Serve as the WSGI application of an instance."""

    def __init__(
        self, limiter: RequestLimiter, metrics: metrics_module.Metrics
    ) -> None:
        self._limiter = limiter
        self._metrics = metrics
        self._routes: list[Route] = []

    def add_route(
        self,
        method: str,
        pattern: str,
        handler: Handler,
        is_limited: bool = True,
    ) -> None:
        """Add a route; work is counted and refused while draining."""
        self._routes.append(
            Route(method, re.compile(pattern), handler, is_limited)
        )

    def __call__(
        self, environ: parse.Environ, start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request."""
        response = self._respond(environ)
        headers = list(response.headers)
        unread = getattr(environ['wsgi.input'], 'remaining', 0) > 0
        if self._limiter.closes_connections or unread:
            environ[CLOSE_KEY]()
            headers.append(('Connection', 'close'))
        start_response(responses.status_line(response.status), headers)
        return response.body

    def _respond(self, environ: parse.Environ) -> responses.Response:
        path = environ['PATH_INFO']
        method = environ['REQUEST_METHOD']
        known_path = False
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            known_path = True
            if route.method == method:
                argument = match.group(1) if match.groups() else ''
                return self._run(route, environ, argument)
        if known_path:
            return _refuse('bad_method', f'no {method} here', 405)
        return _refuse('unknown_path', f'no path {path!r}', 404)

    def _run(
        self, route: Route, environ: parse.Environ, argument: str
    ) -> responses.Response:
        if not route.is_limited:
            return self._guard(route, environ, argument)
        refusal = self._limiter.enter()
        if refusal is not None:
            self._metrics.count(f'http.refused.{refusal.code}')
            return responses.refusal_response(refusal)
        started = time.monotonic()
        response = self._guard(route, environ, argument)
        self._metrics.record('http.first_byte', time.monotonic() - started)
        return response._replace(
            body=CountedBody(response.body, self._limiter)
        )

    def _guard(
        self, route: Route, environ: parse.Environ, argument: str
    ) -> responses.Response:
        try:
            return route.handler(environ, argument)
        except Exception:
            # The last resort: a caller gets an answer, never a traceback.
            self._metrics.count('http.internal_errors')
            LOG.exception('request failed', path=environ['PATH_INFO'])
            return responses.refusal_response(
                verdicts.Refusal(
                    verdicts.Verdict.MAY_HAVE_RUN,
                    500,
                    'internal_error',
                    'the instance failed',
                )
            )


def _refuse(code: str, message: str, status: int) -> responses.Response:
    return responses.refusal_response(
        verdicts.bad_request(code, message, status)
    )
