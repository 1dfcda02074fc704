"""Send requests to upstreams: the only way by which any reaches one."""

import time
import typing

import structlog
import urllib3

from .. import clock
from ..catalogue import directory as directory_module
from ..ports import catalogue
from ..ports import upstreams as upstream_port
from ..ratelimits import bucket as bucket_module
from ..ratelimits import permits as permits_module
from ..ratelimits import tracker as tracker_module

from . import authenticity
from . import connections as connections_module


REPORT_TIMEOUT_S = 0.5
# The permit of the request that waits for it is not valid for much longer.
REPORT_URGENCY = bucket_module.Urgency(max_wait_s=0.3)
# A restart of an upstream takes longer.
REPORT_VALID_S = 0.2


LOG = structlog.get_logger(__name__)


class NoPermit(connections_module.ConnectionFailed):
    """Raised when a permit has expired or is missing; nothing was sent."""


class NotVerified(connections_module.ConnectionFailed):
    """Raised when an upstream does not say when it started.

    The request itself was not sent.
    """


class Outgoing(typing.NamedTuple):
    """A request as it is sent to an upstream."""

    # Empty for a report or an order.
    id: str
    method: str
    target: str
    headers: upstream_port.Headers
    body: bytes | None
    # The response must come from the registered incarnation, since its
    # software version counts.
    is_for_incarnation: bool = False


class PathObserver:
    """Learn whether upstreams can be reached; this one learns nothing."""

    def record_connected(self, entry: catalogue.UpstreamEntry) -> None:
        """Record that a new connection succeeded."""

    def record_failed(
        self, entry: catalogue.UpstreamEntry, since: float
    ) -> None:
        """Record that a new connection, begun at a time, failed."""

    def record_heard(self, entry: catalogue.UpstreamEntry) -> None:
        """Record that a response arrived."""

    def record_silence(
        self, entry: catalogue.UpstreamEntry, since: float
    ) -> None:
        """Record that no response came to a request sent at a time."""


class Gateway:
    """Exchange requests, and learn what responses state about upstreams."""

    def __init__(
        self,
        protocol: upstream_port.UpstreamProtocol,
        directory: directory_module.UpstreamDirectory,
        limits: tracker_module.LimitTracker,
        permits: permits_module.Permits,
        observer: PathObserver | None = None,
    ) -> None:
        self._observer = observer or PathObserver()
        self._protocol = protocol
        self._directory = directory
        self._limits = limits
        self._permits = permits

    def exchange(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
        permit: permits_module.Permit,
        outgoing: Outgoing,
        timeout_s: float,
    ) -> tuple[urllib3.HTTPResponse, upstream_port.ResponseHead]:
        """Send a request and return the response, its body still unread.

        Connects first if necessary. A permit serves for one request. The
        time-out applies to sending, and to the head as a whole. Raises
        ConnectionFailed if nothing was sent, and ResponseFailed.
        """
        if connection.is_new and not connection.is_connected:
            self._connect(connection, entry)
        connection.announce(outgoing.id, outgoing.is_for_incarnation)
        if outgoing.is_for_incarnation and connection.is_direct:
            self._check_incarnation(connection, entry)
        if not self._directory.accepts_requests(entry):
            raise connections_module.ConnectionFailed('the upstream leaves')
        if not self._permits.may_send(entry, permit):
            raise NoPermit('no permit that is still valid')
        sent_at = time.monotonic()
        response = self._send(connection, entry, outgoing, timeout_s)
        head = self._protocol.parse_response_head(
            response.status, response.headers
        )
        self._directory.observe(entry, head)
        found = authenticity.of_response(outgoing.id, response.status, head)
        if found is not authenticity.Authenticity.FOREIGN:
            # Reports and orders are answered without a signature.
            is_genuine = found is authenticity.Authenticity.GENUINE or (
                not outgoing.id and response.status in authenticity.SUCCESS
            )
            self._limits.observe(entry, head, sent_at, is_genuine)
        return response, head

    def _connect(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
    ) -> None:
        """Connect, and let the observer know what came of it."""
        started_at = time.monotonic()
        try:
            connection.connect()
        except connections_module.DeadlinePassed:
            raise
        except connections_module.ConnectionFailed:
            if connection.is_direct:
                self._observer.record_failed(entry, started_at)
            raise
        if connection.is_direct:
            self._observer.record_connected(entry)

    def _send(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
        outgoing: Outgoing,
        timeout_s: float,
    ) -> urllib3.HTTPResponse:
        started_at = time.monotonic()
        try:
            response = connection.exchange(
                outgoing.method,
                outgoing.target,
                outgoing.headers,
                outgoing.body,
                timeout_s,
            )
        except connections_module.ResponseTimedOut:
            if connection.is_direct:
                self._observer.record_silence(entry, started_at)
            raise
        if connection.is_direct:
            self._observer.record_heard(entry)
        return response

    def _check_incarnation(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
    ) -> None:
        """Make sure that the connection leads to the registered process.

        A process that has been restarted under its id may have another
        software version than its registration still says. Raises
        ConnectionFailed.
        """
        if connection.born is None:
            connection.born = self._read_born(connection, entry)
        if connection.born not in (0, entry.born):
            LOG.info(
                'upstream has been restarted since it registered',
                upstream=entry.id,
                registered=entry.born,
                born=connection.born,
            )
            raise connections_module.ConnectionFailed('it was restarted')

    def ask_start(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
    ) -> int:
        """Return the start that a process without a registration reports.

        Raises NoPermit, RateLimited, ResponseFailed or ValueError.
        """
        permit = self._permits.obtain(entry, REPORT_URGENCY)
        if not self._permits.may_send(entry, permit):
            raise NoPermit('no permit that is still valid')
        report = self._report_request(entry)
        response = self._send(connection, entry, report, REPORT_TIMEOUT_S)
        body = connection.read_report(response, REPORT_TIMEOUT_S)
        return self._protocol.report(body).born

    def _report_request(self, entry: catalogue.UpstreamEntry) -> Outgoing:
        return Outgoing(
            '',
            'GET',
            self._protocol.report_target,
            [('Host', f'{entry.host}:{entry.port}')],
            None,
        )

    def _read_born(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
    ) -> int:
        report = self._report_request(entry)
        asked_at_boot_s = clock.since_boot_s()
        try:
            response, _ = self.exchange(
                connection,
                entry,
                self._permits.obtain(entry, REPORT_URGENCY),
                report,
                REPORT_TIMEOUT_S,
            )
            body = connection.read_report(response, REPORT_TIMEOUT_S)
            born = self._protocol.report(body).born
            if not connection.is_reusable_after(response):
                self._reconnect(connection, entry, asked_at_boot_s)
            return born
        except (
            connections_module.ResponseFailed,
            permits_module.RateLimited,
            ValueError,
        ) as error:
            raise NotVerified(f'no report: {error}') from error

    def _reconnect(
        self,
        connection: connections_module.Connection,
        entry: catalogue.UpstreamEntry,
        asked_at_boot_s: float,
    ) -> None:
        """Connect again to an upstream that closes after each response.

        No other process can listen there so soon. Raises ConnectionFailed.
        """
        connection.close()
        self._connect(connection, entry)
        if clock.since_boot_s() - asked_at_boot_s > REPORT_VALID_S:
            raise NotVerified('closed after its report')
