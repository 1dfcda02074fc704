"""Route HTTP requests to handlers and limit those in flight."""

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

# Key of the WSGI environment. Its value is a function that makes the server
# close the connection after the response.
CLOSE_CONNECTION_KEY = 'baobabpond.close_connection'
DRAINING_RETRY_S = 1.0
BUSY_RETRY_S = 1.0

LOG = structlog.get_logger(__name__)

Handler = typing.Callable[[parse.Environ, str], responses.Response]
StartResponse = typing.Callable[[str, list[tuple[str, str]]], typing.Any]


class Route(typing.NamedTuple):
    """Map a method and a path pattern to a handler."""

    method: str
    pattern: re.Pattern[str]
    handler: Handler
    is_limited: bool


class RequestLimiter:
    """Limit the requests in flight, and refuse new ones while draining."""

    def __init__(self, capacity: int) -> None:
        self._changed = threading.Condition()
        self._capacity = capacity
        self._in_flight = 0
        self._draining = False
        self._closes_connections = False

    @property
    def closes_connections(self) -> bool:
        """Return whether connections are closed after their response."""
        return self._closes_connections

    @property
    def in_flight(self) -> int:
        """Return the number of requests whose responses have not ended."""
        return self._in_flight

    def acquire(self) -> verdicts.Refusal | None:
        """Count a new request, or return its refusal."""
        with self._changed:
            if self._draining:
                return verdicts.unavailable(
                    'draining',
                    'the instance is leaving',
                    DRAINING_RETRY_S,
                )
            if self._in_flight >= self._capacity:
                return verdicts.unavailable(
                    'instance_busy',
                    'the instance is full',
                    BUSY_RETRY_S,
                )
            self._in_flight += 1
            return None

    def release(self) -> None:
        """Count a request as ended."""
        with self._changed:
            self._in_flight -= 1
            self._changed.notify_all()

    def start_closing_connections(self) -> None:
        """Close each connection after its response from now on."""
        self._closes_connections = True

    def start_draining(self) -> None:
        """Refuse new requests from now on."""
        with self._changed:
            self._draining = True

    def wait_until_idle(self, timeout_s: float) -> bool:
        """Wait until no request is in flight; return False on timeout."""
        with self._changed:
            return self._changed.wait_for(
                lambda: self._in_flight == 0, timeout_s
            )


class LimitedBody:
    """Wrap a response body to count its request until the body is closed."""

    def __init__(
        self, body: collections.abc.Iterable[bytes], limiter: RequestLimiter
    ) -> None:
        self._body = body
        self._limiter = limiter
        self._closed = False

    def __iter__(self) -> collections.abc.Iterator[bytes]:
        return iter(self._body)

    def close(self) -> None:
        """Close the body; WSGI servers call this also after errors."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._body, 'close', None)
            if close is not None:
                close()
        finally:
            self._limiter.release()


class App:
    """Implement the WSGI application of an instance."""

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
        """Add a route; its first regex group is passed to the handler.

        Requests of a limited route count as in flight and are refused while
        draining.
        """
        self._routes.append(
            Route(method, re.compile(pattern), handler, is_limited)
        )

    def __call__(
        self, environ: parse.Environ, start_response: StartResponse
    ) -> collections.abc.Iterable[bytes]:
        """Handle a request as WSGI defines it."""
        response = self._respond(environ)
        headers = list(response.headers)
        has_unread_body = getattr(environ['wsgi.input'], 'remaining', 0) > 0
        if self._limiter.closes_connections or has_unread_body:
            environ[CLOSE_CONNECTION_KEY]()
            headers.append(('Connection', 'close'))
        start_response(responses.status_line(response.status), headers)
        return response.body

    def _respond(self, environ: parse.Environ) -> responses.Response:
        path = environ['PATH_INFO']
        method = environ['REQUEST_METHOD']
        is_known_path = False
        for route in self._routes:
            match = route.pattern.fullmatch(path)
            if match is None:
                continue
            is_known_path = True
            if route.method == method:
                argument = match.group(1) if match.groups() else ''
                return self._run_route(route, environ, argument)
        if is_known_path:
            return _bad_request_response(
                'bad_method',
                f'no {method} here',
                405,
            )
        return _bad_request_response('unknown_path', f'no path {path!r}', 404)

    def _run_route(
        self, route: Route, environ: parse.Environ, argument: str
    ) -> responses.Response:
        if not route.is_limited:
            return self._call_handler(route, environ, argument)
        refusal = self._limiter.acquire()
        if refusal is not None:
            self._metrics.count(f'http.refused.{refusal.code}')
            return responses.refusal_response(refusal)
        started = time.monotonic()
        response = self._call_handler(route, environ, argument)
        self._metrics.record('http.first_byte', time.monotonic() - started)
        return response._replace(
            body=LimitedBody(response.body, self._limiter)
        )

    def _call_handler(
        self, route: Route, environ: parse.Environ, argument: str
    ) -> responses.Response:
        try:
            return route.handler(environ, argument)
        except Exception:
            # Callers get a response of the usual form, never a traceback.
            self._metrics.count('http.internal_errors')
            LOG.exception('request handler failed', path=environ['PATH_INFO'])
            return responses.refusal_response(
                verdicts.Refusal(
                    verdicts.Verdict.MAY_HAVE_RUN,
                    500,
                    'internal_error',
                    'the instance failed',
                )
            )


def _bad_request_response(
    code: str, message: str, status: int
) -> responses.Response:
    return responses.refusal_response(
        verdicts.bad_request(code, message, status)
    )
