"""Pass the events of a stream on as they arrive."""

import urllib3

from ..upstreams import connections as connections_module
from ..upstreams import events as events_module

from . import attempts

# A resumable stream goes on elsewhere after this silence.
RESUME_AFTER_S = 1.0
# Callers have left by then.
SILENCE_LIMIT_S = 8.0
LAST_EVENT_HEADER = 'Last-Event-Id'


class Stream:
    """Hold one answer to a caller, made by one run after the other."""

    def __init__(
        self, forward: attempts.Forward, tools: attempts.Tools
    ) -> None:
        self._forward = forward
        self._tools = tools
        self.last_event = _first_event(forward)

    def carry(
        self, attempt: attempts.Attempt, response: urllib3.HTTPResponse
    ) -> bool:
        """Pass events on; tell whether the stream ended whole."""
        reader = events_module.EventReader(self._tools.protocol)
        pieces = attempt.connection.iter_body(response, self._gap_limit_s())
        exchange = self._forward.exchange
        try:
            for event, raw in reader.read_raw(pieces):
                if not self._follows(event.id):
                    return False
                if not exchange.answered:
                    self._begin(response)
                exchange.write(raw)
                self.last_event = event.id
                if attempt.failed:
                    attempt.note_answer()
        except connections_module.ResponseFailed:
            return False
        if reader.has_partial_event:
            return False
        if not exchange.answered:
            self._begin(response)
        attempt.keep_after(response)
        return True

    def _follows(self, event: int) -> bool:
        if self._forward.route.resumable:
            return event == self.last_event + 1
        return event > self.last_event

    def _gap_limit_s(self) -> float:
        if self._forward.route.resumable:
            return RESUME_AFTER_S
        return SILENCE_LIMIT_S

    def _begin(self, response: urllib3.HTTPResponse) -> None:
        headers = self._tools.protocol.answer_headers(
            list(response.headers.iteritems())
        )
        self._forward.exchange.begin_stream(
            response.status, response.reason or '', headers
        )


def _first_event(forward: attempts.Forward) -> int:
    """Return the event after which the caller wants the stream."""
    for name, value in forward.request.headers:
        if name.lower() == LAST_EVENT_HEADER.lower() and value.isdecimal():
            return int(value)
    return 0
