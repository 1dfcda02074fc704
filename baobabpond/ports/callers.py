"""Describe the calls of routers and trainers."""

import enum
import typing


class CallKind(enum.Enum):
    """Tell what a caller asks for."""

    REQUEST = 'request'
    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END_BATCH = 'end_batch'


class Call(typing.NamedTuple):
    """Hold the decoded head of a caller's request."""

    kind: CallKind
    request_id: str
    host: str
    path: str
    # None where the caller sets no deadline.
    deadline_s: float | None
    # Batch that the call names; empty for ordinary requests.
    batch: str = ''
    item: str = ''
    position: int = 0
    wait_s: float = 0.0


class Item(typing.NamedTuple):
    """Hold one request of a batch."""

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    # Base64, as submitted.
    body: str
    # Prompt tokens and the most output tokens, together.
    tokens: int
    group: str
    # Expected output tokens; 0 where the caller has no estimate.
    expected_tokens: int
    prompt_tokens: int = 0


class Submission(typing.NamedTuple):
    """Hold a batch as its trainer submitted it."""

    id: str
    step: int
    model: str
    min_version: int
    # Groups that the trainer waits for.
    group_count: int
    items: tuple[Item, ...]


class Result(typing.NamedTuple):
    """Hold the final result of one item."""

    id: str
    completed: bool
    output: str
    versions: tuple[int, ...]


class ResultPage(typing.NamedTuple):
    """Hold the results of a batch from a position on."""

    total: int
    position: int
    results: list[Result]


class BadRequest(Exception):
    """Report a request that is wrong in itself."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class CallerProtocol(typing.Protocol):
    """Translate the calls of callers and trainers."""

    ready_target: str
    entries_target: str

    def call(
        self, method: str, target: str, headers: typing.Mapping[str, str]
    ) -> Call:
        """Decode the head of a request; raise BadRequest."""
        ...

    def submission(self, batch: str, body: bytes) -> Submission:
        """Decode a batch; raise BadRequest."""
        ...

    def result_page(self, page: ResultPage) -> bytes:
        """Encode results."""
        ...

    def entries(self, addresses: list[str], valid_s: float) -> bytes:
        """Encode the addresses that a caller should use."""
        ...
