"""Define the protocol for requests and weight orders to upstreams."""

import typing

Headers = list[tuple[str, str]]


class Request(typing.NamedTuple):
    """Hold a caller's request and the account that sent it."""

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes
    # None if the deployment has no accounts; empty for a request without one.
    account: str | None = None


class ReportedLoad(typing.NamedTuple):
    """Hold the load that an upstream reports itself; it may be false."""

    running: int
    waiting: int
    slots: int
    # Time that work takes there now, relative to the usual; None if not
    # stated.
    slowness: float | None = None

    @property
    def busy(self) -> int:
        """Return the running and waiting requests."""
        return self.running + self.waiting


class ResponseHead(typing.NamedTuple):
    """Hold what the status and headers of an upstream's response state."""

    # The upstream states that it did not run the request.
    not_run: bool
    # Another upstream now listens at the address.
    misdirected: bool
    # ID of the request that is answered; empty if the response has none.
    request_id: str
    # None if not stated.
    load: ReportedLoad | None
    # Weight version at the start of the response; 0 if not stated.
    weight_version: int
    # Signature that upstreams add to their responses; empty without one.
    signature: str
    # The upstream is shutting down and accepts nothing new for long.
    is_leaving: bool = False
    # Requests a second that the upstream takes from all instances together;
    # None if not stated.
    request_limit: float | None = None
    # It states a limit that is no such number.
    has_unreadable_limit: bool = False

    @property
    def is_from_upstream(self) -> bool:
        """Return whether the response carries an upstream's signature."""
        return bool(self.signature)


class StreamEvent(typing.NamedTuple):
    """Hold one server-sent event."""

    id: int
    data: str
    # Weight version from this event on; 0 if it has not changed.
    weight_version: int


class Report(typing.NamedTuple):
    """Hold the state that an upstream reports, some hundred ms old."""

    versions: dict[str, int]
    is_loading: bool
    # Number of orders accepted since the upstream started.
    orders: int
    running: int
    queued: int
    # Start of the process, as in its registration; 0 if not stated.
    born: int = 0


class LoadOrder(typing.NamedTuple):
    """Order an upstream to load a weight version."""

    upstream: str
    model: str
    version: int
    holder: str
    # Fencing token; increases with each holder.
    fence: int
    # Precondition: number of orders that the upstream has accepted.
    expected_orders: int
    # Running requests continue with the new weights; otherwise the
    # upstream completes them before it loads.
    keeps_runs: bool


class UpstreamProtocol(typing.Protocol):
    """Encode requests and orders to upstreams, and decode responses."""

    report_target: str
    order_target: str

    def request_headers(
        self,
        request: Request,
        upstream: str,
        remaining_s: float,
        last_event: int = 0,
        priority: int | None = None,
        expected_version: int = 0,
    ) -> Headers:
        """Return the headers of the request to the upstream."""
        ...

    def parse_response_head(
        self, status: int, headers: typing.Mapping[str, str]
    ) -> ResponseHead:
        """Decode the status and headers of a response."""
        ...

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the response headers to forward to the caller."""
        ...

    def parse_event(self, lines: list[str]) -> StreamEvent | None:
        """Return the event in a block of lines, None if there is none."""
        ...

    def report(self, body: bytes) -> Report:
        """Decode the body of a report; raise ValueError."""
        ...

    def order(self, order: LoadOrder) -> tuple[Headers, bytes]:
        """Encode an order as headers and a body."""
        ...
