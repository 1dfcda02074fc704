"""Serve a small JSON API with fault injection.

POST /faults sets faults by name; 0 clears one.
"""

import argparse
import collections.abc
import json
import re
import signal
import sys
import threading
import time
import typing
import urllib.parse

from cheroot import wsgi

THREADS = 200
BACKLOG = 512


class CutError(Exception):
    """Close the connection before the response is complete."""


class Reply(typing.NamedTuple):
    """Describe the response to a request."""

    body: typing.Any
    status: int = 200
    headers: tuple[tuple[str, str], ...] = ()
    stream: collections.abc.Iterable[bytes] | None = None


class Request(typing.NamedTuple):
    """Describe a parsed request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    def json(self) -> typing.Any:
        """Return the body as JSON."""
        return json.loads(self.body or b'{}')


Handler = collections.abc.Callable[..., Reply]


class StandIn:
    """Route requests to handlers and store the injected faults."""

    def __init__(self) -> None:
        self.faults: dict[str, float] = {}
        self.lock = threading.RLock()
        self._routes: list[tuple[str, re.Pattern[str], Handler]] = []
        self.add_route('POST', '/faults', self._set_faults)

    def add_route(self, method: str, pattern: str, handler: Handler) -> None:
        """Add a route; the pattern's groups become positional arguments."""
        self._routes.append((method, re.compile(pattern), handler))

    def fault(self, name: str) -> float:
        """Return the value of a fault, 0 if it is not set."""
        return self.faults.get(name, 0)

    def consume_fault(self, name: str) -> bool:
        """Use up one occurrence of a counted fault, if any is left."""
        with self.lock:
            remaining = self.faults.get(name, 0)
            if remaining < 1:
                return False
            self.faults[name] = remaining - 1
            return True

    def __call__(
        self, environ: dict[str, typing.Any], start_response: typing.Any
    ) -> collections.abc.Iterable[bytes]:
        """Answer one request as a WSGI application."""
        request = _parse(environ)
        try:
            reply = self._dispatch(request)
        except CutError:
            start_response('200 OK', [('Content-Length', '1000')])
            return _cut()
        return _answer(reply, start_response)

    def _dispatch(self, request: Request) -> Reply:
        for method, pattern, handler in self._routes:
            match = pattern.fullmatch(request.path)
            if match and method == request.method:
                return handler(request, *match.groups())
        return Reply({'message': f'no {request.path}'}, 404)

    def _set_faults(self, request: Request) -> Reply:
        with self.lock:
            self.faults.update(request.json())
            return Reply(self.faults)


def _parse(environ: dict[str, typing.Any]) -> Request:
    length = int(environ.get('CONTENT_LENGTH') or 0)
    headers = {
        key[5:].replace('_', '-').lower(): value
        for key, value in environ.items()
        if key.startswith('HTTP_')
    }
    return Request(
        environ['REQUEST_METHOD'],
        environ['PATH_INFO'],
        dict(urllib.parse.parse_qsl(environ.get('QUERY_STRING', ''))),
        headers,
        environ['wsgi.input'].read(length) if length else b'',
    )


def _answer(
    reply: Reply, start_response: typing.Any
) -> collections.abc.Iterable[bytes]:
    status = f'{reply.status} Status'
    if reply.stream is not None:
        headers = [('Content-Type', 'text/event-stream'), *reply.headers]
        start_response(status, headers)
        return reply.stream
    body = json.dumps(reply.body).encode()
    start_response(
        status,
        [
            ('Content-Type', 'application/json'),
            ('Content-Length', str(len(body))),
            *reply.headers,
        ],
    )
    return [body]


def _cut() -> collections.abc.Iterator[bytes]:
    yield b' '
    raise CutError


class Server(wsgi.Server):
    """Serve a stand-in without logging each broken connection."""

    keep_alive_conn_limit = 2000

    def error_log(
        self, msg: str = '', level: int = 20, traceback: bool = False
    ) -> None:
        """Print tracebacks except for connections that are cut on purpose."""
        if (
            'CutError' not in msg
            and 'IncompleteStream' not in msg
            and traceback
        ):
            print(msg, file=sys.stderr)


def serve(standin: StandIn, address: str, port: int) -> None:
    """Serve until the process is terminated."""
    server = Server(
        (address, port),
        standin,
        numthreads=THREADS,
        request_queue_size=BACKLOG,
    )
    server.shutdown_timeout = 1
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(0))
    threading.Thread(target=server.safe_start, daemon=True).start()
    while True:
        time.sleep(3600)


def parser() -> argparse.ArgumentParser:
    """Return an argument parser with the options common to all stand-ins."""
    arguments = argparse.ArgumentParser()
    arguments.add_argument('--address', required=True)
    arguments.add_argument('--port', type=int, required=True)
    return arguments
