"""Define the requests of callers and trainers, and their decoder."""

import enum
import typing


class CallKind(enum.Enum):
    """Identify the operation that a caller requests."""

    REQUEST = 'request'
    READ_RESULTS = 'read_results'
    READ_ITEM = 'read_item'
    END_BATCH = 'end_batch'


class Call(typing.NamedTuple):
    """Hold the decoded request line and headers of a caller's request."""

    kind: CallKind
    request_id: str
    host: str
    path: str
    # Time until the deadline; None if the caller sets none.
    deadline_s: float | None
    # ID of the batch; empty for requests outside of a batch.
    batch: str = ''
    # ID of the item that READ_ITEM reads.
    item: str = ''
    # Index of the first result that READ_RESULTS returns.
    position: int = 0
    # Longest wait for further results.
    wait_s: float = 0.0
    # ID of the request that brought the first event of the stream that is
    # resumed; empty if none is.
    resumed_stream: str = ''
    # Key of the caller's account; None if the request carries none. Never
    # logged.
    key: str | None = None


class RewardCall(typing.NamedTuple):
    """Hold the request that scores the complete output of an item."""

    id: str
    host: str
    target: str
    # Base64-encoded, as submitted.
    body: str


class Item(typing.NamedTuple):
    """Hold one request of a batch."""

    id: str
    target: str
    headers: tuple[tuple[str, str], ...]
    # Base64-encoded, as submitted.
    body: str
    # Upper bound: prompt tokens plus the maximum of output tokens.
    tokens: int
    group: str
    # Estimated output tokens; 0 if the trainer gives no estimate.
    expected_tokens: int
    prompt_tokens: int = 0
    # None if the output needs no score.
    reward_call: RewardCall | None = None


class Submission(typing.NamedTuple):
    """Hold a batch of items as submitted by its trainer."""

    id: str
    step: int
    model: str
    min_version: int
    # Number of groups that the trainer waits for.
    group_count: int
    items: tuple[Item, ...]


class Result(typing.NamedTuple):
    """Hold the final result of one item."""

    id: str
    completed: bool
    output: str
    versions: tuple[int, ...]
    # Signature of the response to the reward call; empty without one.
    score: str = ''


class ResultPage(typing.NamedTuple):
    """Hold the results of a batch that start at a position."""

    total: int
    position: int
    results: list[Result]


class BadRequest(Exception):
    """Report an invalid request; the status is the HTTP status to return."""

    def __init__(self, message: str, status: int = 400) -> None:
        super().__init__(message)
        self.status = status


class CallerProtocol(typing.Protocol):
    """Decode requests of callers and trainers, and encode responses."""

    ready_target: str
    entries_target: str
    # Names, in lower case, of the headers that state a key or an account.
    credential_headers: frozenset[str]

    def call(
        self, method: str, target: str, headers: typing.Mapping[str, str]
    ) -> Call:
        """Decode the request line and headers; raise BadRequest."""
        ...

    def submission(self, batch: str, body: bytes) -> Submission:
        """Decode the body of a batch submission; raise BadRequest."""
        ...

    def result_page(self, page: ResultPage) -> bytes:
        """Encode a page of results."""
        ...

    def entries(self, addresses: list[str], valid_s: float) -> bytes:
        """Encode the addresses of usable instances and their validity."""
        ...
