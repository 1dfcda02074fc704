"""Hold the state of items that are run, and of the upstreams they run on."""

import time
import typing

from ..batches import book as book_module
from ..ports import callers
from ..ports import catalogue

# Weight of the newest gap in the mean gap between events.
GAP_EWMA_WEIGHT = 0.08
INITIAL_GAP_S = 0.045
# Tokens in an event until some items have ended.
INITIAL_EVENT_TOKENS = 50.0
# Events of an item that has no estimate.
DEFAULT_EVENTS = 20.0
# Weight of what was learnt before, with each item that ends.
DECAY = 0.98
# What has gone on past its estimate goes on for this share of it.
OVERRUN_SHARE = 0.25


class Run:
    """Hold one attempt at an item on one upstream."""

    def __init__(self, task: 'Task', upstream: 'Upstream') -> None:
        self.task = task
        self.upstream = upstream
        self.started_at = time.monotonic()
        self.last_event_at = self.started_at
        self.events = 0
        self.cancel_reason = ''
        # Ends the exchange; set once it has begun.
        self.abort: typing.Callable[[], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Tell whether an event has come."""
        return self.events > 0

    def cancel(self, reason: str) -> None:
        """End the attempt; its events so far stay with the item."""
        if self.cancel_reason:
            return
        self.cancel_reason = reason
        abort = self.abort
        if abort is not None:
            abort()


class Task:
    """Hold one item on its way to its result."""

    def __init__(
        self, batch: book_module.Batch, item: callers.Item, due_at: float
    ) -> None:
        self.batch = batch
        self.item = item
        self.due_at = due_at
        # Data and weight version of each event, in order.
        self.events: list[tuple[str, int]] = []
        # Names the text that the events belong to.
        self.text_name = ''
        # Events that the log keeps.
        self.persisted_events = 0
        self.failures = 0
        # Times in a row that upstreams refused the item without running it.
        self.consecutive_refusals = 0
        self.migrations = 0
        self.run: Run | None = None
        self.not_before = 0.0
        # What the item waited for last, until it starts.
        self.wait_reason = ''
        # When the result was there; it is not kept yet.
        self.finished_at = 0.0
        self.result: callers.Result | None = None
        # All events of the text must have one weight version.
        self.single_version = False

    @property
    def id(self) -> str:
        """Return the item's id."""
        return self.item.id

    @property
    def min_version(self) -> int:
        """Return the oldest weight version that may run the item."""
        return self.batch.head.min_version

    @property
    def model(self) -> str:
        """Return the model whose weights run the item."""
        return self.batch.head.model

    @property
    def memory_tokens(self) -> int:
        """Return the tokens that a run is expected to hold at its end."""
        item = self.item
        if item.expected_tokens <= 0:
            return item.tokens
        return min(item.tokens, item.prompt_tokens + item.expected_tokens)

    @property
    def required_version(self) -> int:
        """Return the one version that may go on with the item, 0 for any."""
        if self.single_version and self.events:
            return self.events[0][1]
        return 0


class Load(typing.NamedTuple):
    """Hold an order that an upstream carries out."""

    model: str
    version: int
    started_at: float


class Upstream:
    """Hold what is known of one incarnation of an upstream."""

    def __init__(self, entry: catalogue.UpstreamEntry) -> None:
        self.entry = entry
        self.runs: set[Run] = set()
        self.gap_s = INITIAL_GAP_S
        self.gap_samples = 0
        self.suspended_until = 0.0
        self.consecutive_failures = 0
        self.load: Load | None = None
        self.versions = dict(entry.versions)
        # An order was refused for a lower fence; another instance rules.
        self.refused_fence = 0
        self.orders_not_before = 0.0

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.entry.id

    @property
    def address(self) -> tuple[str, int]:
        """Return where the upstream listens."""
        return self.entry.host, self.entry.port

    def update_entry(self, entry: catalogue.UpstreamEntry) -> None:
        """Take a newer entry of the same incarnation."""
        self.entry = entry
        for model, version in entry.versions.items():
            self.update_version(model, version)

    def update_version(self, model: str, version: int) -> None:
        """Note a weight version; an incarnation's versions only grow."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    def observe_gap(self, gap_s: float) -> None:
        """Note the time between two events of a run."""
        self.gap_samples += 1
        self.gap_s += GAP_EWMA_WEIGHT * (gap_s - self.gap_s)

    def record_failure(self, now: float, suspend_s: float) -> None:
        """Keep new runs away for a while."""
        self.consecutive_failures += 1
        self.suspended_until = max(self.suspended_until, now + suspend_s)

    def record_success(self) -> None:
        """Note a run that ended whole."""
        self.consecutive_failures = 0
        self.suspended_until = 0.0

    def serves(self, model: str, min_version: int) -> bool:
        """Tell whether the weights may run an item."""
        if not model or min_version <= 0:
            return True
        return self.versions.get(model, 0) >= min_version


class EventEstimator:
    """Learn how many events items have from how many tokens they expect."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._events = 0.0

    def observe(self, expected_tokens: int, events: int) -> None:
        """Note an item that ended."""
        if expected_tokens <= 0:
            return
        self._tokens = self._tokens * DECAY + expected_tokens
        self._events = self._events * DECAY + events

    def remaining_events(self, task: Task) -> float:
        """Return how many more events an item is expected to have."""
        total = DEFAULT_EVENTS
        if task.item.expected_tokens > 0:
            tokens = INITIAL_EVENT_TOKENS
            if self._events > 0:
                tokens = self._tokens / self._events
            total = task.item.expected_tokens / tokens
        done = len(task.events)
        return max(total - done, OVERRUN_SHARE * done, 1.0)
