"""Exchange requests with an upstream by way of another instance."""

import typing

import urllib3

from ..ports import catalogue
from ..upstreams import connections as connections_module
from ..upstreams import gateway as gateway_module

from . import wire

# Added to the time-outs that the relaying instance applies itself, so that it
# still can say what has become of the request.
HOP_MARGIN_S = 0.05
FAILURES: dict[wire.Outcome, type[Exception]] = {
    wire.Outcome.BUSY: connections_module.ConnectionFailed,
    wire.Outcome.NOT_SENT: connections_module.ConnectionFailed,
    wire.Outcome.NO_PERMIT: gateway_module.NoPermit,
    wire.Outcome.NOT_VERIFIED: gateway_module.NotVerified,
    wire.Outcome.CUT: connections_module.ResponseFailed,
    wire.Outcome.TIMED_OUT: connections_module.ResponseTimedOut,
}

OnFailure = typing.Callable[[], None]


class RelayConnection(connections_module.Connection):
    """A connection to an instance that passes requests on to upstreams."""

    is_direct = False
    _hop_s = HOP_MARGIN_S

    def __init__(self, address: connections_module.Address) -> None:
        super().__init__(address)
        self._entry: catalogue.UpstreamEntry | None = None
        self._on_failure: OnFailure = lambda: None
        self._request_id = ''
        self._checks_incarnation = False

    def set_destination(
        self, entry: catalogue.UpstreamEntry, on_failure: OnFailure
    ) -> None:
        """Set where the next request goes.

        The callback is called if the relaying instance can't pass it on.
        """
        self._entry = entry
        self._on_failure = on_failure

    def announce(self, request_id: str, checks_incarnation: bool) -> None:
        """Tell what the next exchange carries."""
        self._request_id = request_id
        self._checks_incarnation = checks_incarnation

    def connect(
        self, timeout_s: float = connections_module.CONNECT_TIMEOUT_S
    ) -> None:
        """Connect to the relaying instance; raise ConnectionFailed."""
        try:
            super().connect(timeout_s)
        except connections_module.ConnectionFailed:
            self._on_failure()
            raise

    def _own_headers(self, timeout_s: float) -> list[tuple[str, str]]:
        """Return the headers that name the upstream."""
        entry = typing.cast(catalogue.UpstreamEntry, self._entry)
        return wire.encode_destination(
            wire.Destination(
                self._request_id,
                entry.id,
                entry.born,
                timeout_s,
                self._checks_incarnation,
            )
        )

    def _check_response(self, response: urllib3.HTTPResponse) -> None:
        """Raise what the relaying instance reports in place of a response."""
        value = response.headers.get(wire.OUTCOME_HEADER, '')
        try:
            outcome = wire.Outcome(value)
        except ValueError as error:
            self.close()
            self._on_failure()
            raise connections_module.ResponseFailed(
                f'not a relayed response: status {response.status}'
            ) from error
        if outcome is wire.Outcome.RESPONSE:
            return
        if outcome in (wire.Outcome.BUSY, wire.Outcome.NOT_SENT):
            self._on_failure()
        self.close()
        raise FAILURES[outcome](f'relay: {outcome.value}')


class NoPath(connections_module.Connection):
    """Stands for a connection where nothing leads to the upstream."""

    is_direct = False

    def connect(
        self, timeout_s: float = connections_module.CONNECT_TIMEOUT_S
    ) -> None:
        """Raise ConnectionFailed."""
        raise connections_module.ConnectionFailed(
            'cut off, and no other instance can pass the request on'
        )
