"""Describe how requests and orders reach an upstream."""

import typing

Headers = list[tuple[str, str]]


class Request(typing.NamedTuple):
    """Hold a request as its caller sent it."""

    id: str
    method: str
    target: str
    host: str
    headers: Headers
    body: bytes


class ResponseHead(typing.NamedTuple):
    """Hold what the head of an upstream's answer tells."""

    # The upstream states that it did not run the request.
    not_run: bool
    # Another upstream listens at the address now.
    misdirected: bool
    # Request that the answer belongs to; empty where it names none.
    request_id: str
    # Running, waiting and available slots; None where not told.
    load: tuple[int, int, int] | None
    # Weight version at the start of the answer; 0 where not told.
    weight_version: int
    # The answer bears the mark of an upstream.
    is_from_upstream: bool


class StreamEvent(typing.NamedTuple):
    """Hold one event of a stream."""

    id: int
    data: str
    # Weight version from this event on; 0 where unchanged.
    weight_version: int


class Report(typing.NamedTuple):
    """Hold an upstream's view of itself, some hundred ms old."""

    versions: dict[str, int]
    is_loading: bool
    # Orders accepted since the upstream started.
    orders: int
    running: int
    queued: int


class LoadOrder(typing.NamedTuple):
    """Order an upstream to a weight version."""

    upstream: str
    model: str
    version: int
    holder: str
    # Increases with each holder.
    fence: int
    # Orders that the upstream must have accepted before.
    expected_orders: int
    # Runs go on under the new weights; otherwise they end first.
    keeps_runs: bool


class UpstreamProtocol(typing.Protocol):
    """Translate requests and answers between product and upstreams."""

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
        """Return the headers to send to an upstream."""
        ...

    def parse_response_head(
        self, status: int, headers: typing.Mapping[str, str]
    ) -> ResponseHead:
        """Return what the head of an answer tells."""
        ...

    def answer_headers(self, headers: Headers) -> Headers:
        """Return the headers of an answer that its caller gets."""
        ...

    def parse_event(self, lines: list[str]) -> StreamEvent | None:
        """Return the event in the lines of a block, None if it has none."""
        ...

    def report(self, body: bytes) -> Report:
        """Decode a report; raise ValueError."""
        ...

    def order(self, order: LoadOrder) -> tuple[Headers, bytes]:
        """Encode an order."""
        ...
