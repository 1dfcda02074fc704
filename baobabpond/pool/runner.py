"""Send one attempt at an item to an upstream and read its events."""

import base64
import enum
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import upstreams as upstream_port
from ..ratelimits import permits as permits_module
from ..upstreams import authenticity
from ..upstreams import connections as connections_module
from ..upstreams import events as events_module
from ..upstreams import gateway as gateway_module

from . import state

# Backstop: the scheduler cancels stalled runs earlier.
READ_TIMEOUT_S = 8.0
REFUSAL_TIMEOUT_S = 1.0
OK = 200
UNPROCESSABLE_CONTENT = 422
SERVER_ERROR = 500
# Counters of responses to runs that are not those of their upstreams.
DOUBTFUL_ANSWERS = {
    authenticity.Authenticity.FOREIGN: 'upstream.foreign_answers',
    authenticity.Authenticity.UNMARKED: 'upstream.unmarked_answers',
}

LOG = structlog.get_logger(__name__)


class RunOutcome(enum.Enum):
    """Describe how an attempt ended; logs and metrics show the value."""

    COMPLETED = 'whole'
    # The upstream did not start the item.
    NOT_RUN = 'not_run'
    # Another upstream listens at the address.
    MISDIRECTED = 'misdirected'
    # The permit to send to a limited upstream was no longer valid.
    LIMITED = 'limited'
    # No connection could be made.
    UNREACHABLE = 'unreachable'
    # The upstream answered with a server error.
    FAILED = 'failed'
    # The item cannot be run on any upstream.
    UNSUPPORTED = 'impossible'
    # The stream was interrupted; the item keeps the events received so far.
    INTERRUPTED = 'broken'
    # The weight version is older than the batch allows.
    STALE = 'stale'
    CANCELLED = 'cancelled'


class Attempt(typing.NamedTuple):
    """Combine the request of an attempt with its constraints."""

    run: state.Run
    request: upstream_port.Request
    permit: permits_module.Permit
    remaining_s: float
    priority: int
    # Weight version that the upstream must serve; 0 for any.
    expected_version: int


class EventSink(typing.Protocol):
    """Receive the events of a run as they arrive."""

    def on_event(
        self, run: state.Run, event: upstream_port.StreamEvent
    ) -> bool:
        """Process the next event; return whether the run should continue."""
        ...

    def on_load(
        self, run: state.Run, load: upstream_port.ReportedLoad
    ) -> None:
        """Process the load that the upstream of a run reports."""
        ...


class Runner:
    """Execute attempts over pooled connections."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        gateway: gateway_module.Gateway,
        connections: connections_module.ConnectionPool,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._protocol = protocol
        self._gateway = gateway
        self._connections = connections
        self._metrics = metrics

    def run(self, attempt: Attempt, sink: EventSink) -> RunOutcome:
        """Execute an attempt until it ends."""
        run = attempt.run
        connection = self._connections.acquire(run.upstream.address)
        run.abort = connection.abort
        if run.cancel_reason:
            connection.close()
            return RunOutcome.CANCELLED
        try:
            outcome = self._exchange(attempt, connection, sink)
        except gateway_module.NotVerified as error:
            connection.close()
            self._log_failure(attempt, error)
            outcome = RunOutcome.INTERRUPTED
        except gateway_module.NoPermit:
            self._connections.release(connection)
            outcome = RunOutcome.LIMITED
        except connections_module.ConnectionFailed as error:
            connection.close()
            self._log_failure(attempt, error)
            outcome = RunOutcome.UNREACHABLE
        except connections_module.ResponseFailed as error:
            connection.close()
            self._log_failure(attempt, error)
            outcome = RunOutcome.INTERRUPTED
        return RunOutcome.CANCELLED if run.cancel_reason else outcome

    def _outgoing(self, attempt: Attempt) -> gateway_module.Outgoing:
        return gateway_module.Outgoing(
            attempt.request.id,
            attempt.request.method,
            attempt.request.target,
            self._protocol.request_headers(
                attempt.request,
                attempt.run.upstream.id,
                attempt.remaining_s,
                len(attempt.run.task.events),
                attempt.priority,
                attempt.expected_version,
            ),
            attempt.request.body,
            is_for_incarnation=True,
        )

    def _exchange(
        self,
        attempt: Attempt,
        connection: connections_module.Connection,
        sink: EventSink,
    ) -> RunOutcome:
        run = attempt.run
        response, response_head = self._gateway.exchange(
            connection,
            run.upstream.entry,
            attempt.permit,
            self._outgoing(attempt),
            READ_TIMEOUT_S,
        )
        if not authenticity.is_reliable(
            attempt.request.id, response.status, response_head
        ):
            self._log_doubt(attempt, response, response_head)
            connection.close()
            return RunOutcome.INTERRUPTED
        if response_head.load is not None:
            sink.on_load(run, response_head.load)
        if response.status != OK:
            return self._classify_refusal(connection, response, response_head)
        reader = events_module.EventReader(self._protocol)
        outcome = self._read_events(
            run,
            reader.read(
                connection.iter_body(
                    response, READ_TIMEOUT_S, attempt.remaining_s
                )
            ),
            response_head.weight_version,
            sink,
        )
        if outcome is RunOutcome.COMPLETED and reader.has_partial_event:
            outcome = RunOutcome.INTERRUPTED
        if outcome is RunOutcome.COMPLETED:
            self._connections.release_or_close(connection, response)
        else:
            connection.close()
        return outcome

    def _read_events(
        self,
        run: state.Run,
        events: typing.Iterator[upstream_port.StreamEvent],
        version: int,
        sink: EventSink,
    ) -> RunOutcome:
        task = run.task
        for event in events:
            version = event.weight_version or version
            if event.id != len(task.events) + 1:
                self._metrics.count('pool.events_out_of_order')
                return RunOutcome.INTERRUPTED
            if task.model and version < max(1, task.min_version):
                return RunOutcome.STALE
            if not sink.on_event(run, event._replace(weight_version=version)):
                return RunOutcome.CANCELLED
        return RunOutcome.COMPLETED

    def _classify_refusal(
        self,
        connection: connections_module.Connection,
        response: typing.Any,
        response_head: upstream_port.ResponseHead,
    ) -> RunOutcome:
        connection.drain_body(response, REFUSAL_TIMEOUT_S)
        self._connections.release_or_close(connection, response)
        return classify_refusal(response.status, response_head)

    def _log_doubt(
        self,
        attempt: Attempt,
        response: typing.Any,
        response_head: upstream_port.ResponseHead,
    ) -> None:
        found = authenticity.of_response(
            attempt.request.id, response.status, response_head
        )
        self._metrics.count(DOUBTFUL_ANSWERS[found])
        LOG.info(
            'response to a run is not that of its upstream',
            request=attempt.request.id,
            upstream=attempt.run.upstream.id,
            status=response.status,
            found=found.value,
            events=len(attempt.run.task.events),
        )

    def _log_failure(self, attempt: Attempt, error: Exception) -> None:
        if attempt.run.cancel_reason:
            return
        LOG.info(
            'run interrupted',
            request=attempt.request.id,
            upstream=attempt.run.upstream.id,
            events=len(attempt.run.task.events),
            after_s=round(time.monotonic() - attempt.run.started_at, 3),
            error=str(error),
        )


def classify_refusal(
    status: int, response_head: upstream_port.ResponseHead
) -> RunOutcome:
    """Return the outcome that a response without success stands for."""
    if response_head.misdirected:
        return RunOutcome.MISDIRECTED
    if response_head.not_run:
        return RunOutcome.NOT_RUN
    if status == UNPROCESSABLE_CONTENT:
        return RunOutcome.UNSUPPORTED
    if status == SERVER_ERROR:
        return RunOutcome.FAILED
    LOG.warning('unexpected response to an item', status=status)
    return RunOutcome.INTERRUPTED


def build_request(
    task: state.Task, account: str | None
) -> upstream_port.Request:
    """Return the request for an item of an account's batch."""
    return upstream_port.Request(
        id=task.id,
        method='POST',
        target=task.item.target,
        host=task.batch.head.host,
        headers=list(task.item.headers),
        body=base64.b64decode(task.item.body),
        account=account,
    )
