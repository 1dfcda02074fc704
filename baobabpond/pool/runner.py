"""Carry one attempt at an item to an upstream and read its events."""

import base64
import enum
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import upstreams as upstream_port
from ..upstreams import connections as connections_module
from ..upstreams import events as events_module

from . import work as work_module

# The pool ends runs that fall silent earlier; this ends what it missed.
SILENCE_LIMIT_S = 8.0
OK = 200
CANNOT_BE_DONE = 422
SERVER_ERROR = 500

LOG = structlog.get_logger(__name__)


class Ending(enum.Enum):
    """Tell how an attempt ended."""

    WHOLE = 'whole'
    # The upstream did not begin.
    NOT_RUN = 'not_run'
    # Another upstream has the address.
    MISDIRECTED = 'misdirected'
    # No connection could be made.
    UNREACHABLE = 'unreachable'
    # The upstream answered with a failure.
    FAILED = 'failed'
    # No upstream can do the item.
    IMPOSSIBLE = 'impossible'
    # The stream broke off; events so far count.
    BROKEN = 'broken'
    # The weights are older than the batch allows.
    STALE = 'stale'
    CANCELLED = 'cancelled'


class Attempt(typing.NamedTuple):
    """Hold what an attempt sends."""

    run: work_module.Run
    request: upstream_port.Request
    remaining_s: float
    priority: int
    # Weight version that the upstream must have; 0 for any.
    expected_version: int


class EventSink(typing.Protocol):
    """Take the events of a run as they come."""

    def on_event(
        self, run: work_module.Run, event: upstream_port.StreamEvent
    ) -> bool:
        """Take the next event; tell whether the run shall go on."""
        ...


class Runner:
    """Run attempts over pooled connections."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._protocol = protocol
        self._connections = connections
        self._metrics = metrics

    def run(self, attempt: Attempt, sink: EventSink) -> Ending:
        """Carry out an attempt to its end."""
        run = attempt.run
        connection = self._connections.acquire(run.upstream.address)
        run.abort = connection.abort
        if run.cancelled:
            connection.close()
            return Ending.CANCELLED
        try:
            if connection.is_new:
                connection.connect()
            ending = self._exchange(attempt, connection, sink)
        except connections_module.ConnectionFailed as error:
            connection.close()
            self._log_failure(attempt, error)
            ending = Ending.UNREACHABLE
        except connections_module.ResponseFailed as error:
            connection.close()
            self._log_failure(attempt, error)
            ending = Ending.BROKEN
        return Ending.CANCELLED if run.cancelled else ending

    def _exchange(
        self,
        attempt: Attempt,
        connection: connections_module.Connection,
        sink: EventSink,
    ) -> Ending:
        run = attempt.run
        response = connection.exchange(
            attempt.request.method,
            attempt.request.target,
            self._protocol.request_headers(
                attempt.request,
                run.upstream.id,
                attempt.remaining_s,
                len(run.work.events),
                attempt.priority,
                attempt.expected_version,
            ),
            attempt.request.body,
            SILENCE_LIMIT_S,
        )
        reading = self._protocol.read_head(response.status, response.headers)
        if reading.request_id not in ('', attempt.request.id):
            self._metrics.count('upstream.foreign_answers')
            connection.close()
            return Ending.BROKEN
        if response.status != OK:
            return self._refused(connection, response, reading)
        reader = events_module.EventReader(self._protocol)
        ending = self._read_events(
            run,
            reader.read(connection.iter_body(response, SILENCE_LIMIT_S)),
            reading.weight_version,
            sink,
        )
        if ending is Ending.WHOLE and reader.has_partial_event:
            ending = Ending.BROKEN
        if ending is Ending.WHOLE:
            self._connections.release_or_close(connection, response)
        else:
            connection.close()
        return ending

    def _read_events(
        self,
        run: work_module.Run,
        events: typing.Iterator[upstream_port.StreamEvent],
        version: int,
        sink: EventSink,
    ) -> Ending:
        work = run.work
        for event in events:
            version = event.weight_version or version
            if event.id != len(work.events) + 1:
                self._metrics.count('pool.events_out_of_order')
                return Ending.BROKEN
            if work.model and version < max(1, work.min_version):
                return Ending.STALE
            if not sink.on_event(run, event._replace(weight_version=version)):
                return Ending.CANCELLED
        return Ending.WHOLE

    def _refused(
        self,
        connection: connections_module.Connection,
        response: typing.Any,
        reading: upstream_port.Reading,
    ) -> Ending:
        pieces = connection.iter_body(response, SILENCE_LIMIT_S)
        for _ in pieces:
            pass
        self._connections.release_or_close(connection, response)
        if reading.misdirected:
            return Ending.MISDIRECTED
        if reading.not_run:
            return Ending.NOT_RUN
        if response.status == CANNOT_BE_DONE:
            return Ending.IMPOSSIBLE
        if response.status == SERVER_ERROR:
            return Ending.FAILED
        LOG.warning('unexpected answer to an item', status=response.status)
        return Ending.BROKEN

    def _log_failure(self, attempt: Attempt, error: Exception) -> None:
        if attempt.run.cancelled:
            return
        LOG.info(
            'run broke off',
            request=attempt.request.id,
            upstream=attempt.run.upstream.id,
            events=len(attempt.run.work.events),
            after_s=round(time.monotonic() - attempt.run.started, 3),
            error=str(error),
        )


def request_of(work: work_module.Work) -> upstream_port.Request:
    """Return the request that runs an item."""
    return upstream_port.Request(
        id=work.id,
        method='POST',
        target=work.item.target,
        host=work.batch.head.host,
        headers=list(work.item.headers),
        body=base64.b64decode(work.item.body),
    )
