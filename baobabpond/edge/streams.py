"""Relay the events of a streaming response as they arrive."""

import urllib3

from .. import decoding
from ..crashes import unresolved
from ..ports import upstreams as upstream_port
from ..streams import records
from ..upstreams import connections as connections_module
from ..upstreams import events as events_module

from . import attempts

# A resumable stream without an event for this long is resumed on another
# upstream.
RESUMABLE_EVENT_TIMEOUT_S = 1.0
# Callers have disconnected by then.
EVENT_TIMEOUT_S = 8.0
LAST_EVENT_HEADER = 'Last-Event-Id'


class StreamRelay:
    """One stream to a caller, relayed from successive attempts."""

    def __init__(
        self,
        context: attempts.RequestContext,
        dependencies: attempts.AttemptDependencies,
    ) -> None:
        self._context = context
        self._dependencies = dependencies
        self.last_event = requested_last_event(context.request)
        # Software version that began the stream; None before its first event.
        self.software: str | None = None
        # How the last attempt ended, if its upstream did not complete it.
        self.ending: unresolved.Ending | None = None

    def relay(
        self, attempt: attempts.Attempt, response: urllib3.HTTPResponse
    ) -> bool:
        """Relay events; return whether the stream ended completely."""
        reader = events_module.EventReader(self._dependencies.protocol)
        chunks = attempt.connection.iter_body(
            response, self._event_timeout_s()
        )
        exchange = self._context.exchange
        self.ending = None
        try:
            for event, raw in reader.read_raw(chunks):
                if not self._is_next(event.id) or not self._may_go_on(attempt):
                    return False
                self._context.usage.record_event()
                if not exchange.response_started:
                    self._begin(response)
                exchange.write(raw)
                self.last_event = event.id
                attempt.connection.extend_body(self._event_timeout_s())
                if attempt.failed:
                    attempt.record_response()
        except connections_module.ResponseTimedOut:
            self.ending = unresolved.Ending.TIMED_OUT
            return False
        except connections_module.ResponseFailed:
            self.ending = unresolved.Ending.CUT
            return False
        if reader.has_partial_event:
            self.ending = unresolved.Ending.CUT
            return False
        if not exchange.response_started:
            self._begin(response)
        attempt.reuse_after(response)
        return True

    def _may_go_on(self, attempt: attempts.Attempt) -> bool:
        """Return whether an event of the attempt's upstream may follow."""
        software = attempt.entry.software
        if self.software is None:
            origin = records.StreamOrigin(
                self._context.request.id, self._context.service, software
            )
            if self._context.route.resumable and not (
                self._dependencies.origins.begin(origin)
            ):
                return False
            self.software = software
        return software == self.software

    def _is_next(self, event: int) -> bool:
        if self._context.route.resumable:
            return event == self.last_event + 1
        return event > self.last_event

    def _event_timeout_s(self) -> float:
        if self._context.route.resumable:
            return RESUMABLE_EVENT_TIMEOUT_S
        return EVENT_TIMEOUT_S

    def _begin(self, response: urllib3.HTTPResponse) -> None:
        headers = self._dependencies.protocol.answer_headers(
            list(response.headers.iteritems())
        )
        self._context.exchange.begin_stream(
            response.status, response.reason or '', headers
        )


def requested_last_event(request: upstream_port.Request) -> int:
    """Return the id of the last event that the caller received, 0 if none."""
    for name, value in request.headers:
        if name.lower() == LAST_EVENT_HEADER.lower():
            return decoding.decimal(value) or 0
    return 0
