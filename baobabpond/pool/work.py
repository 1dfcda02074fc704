"""Hold the state of items that are run, and of the upstreams they run on."""

import time
import typing

from ..batches import shard_state as state_module
from ..ports import callers
from ..ports import catalogue

# Weight of the newest gap in the mean gap between events.
GAP_WEIGHT = 0.08
INITIAL_GAP_S = 0.045
# Tokens in an event until some items have ended.
INITIAL_EVENT_TOKENS = 50.0
# Events of an item that has no estimate.
DEFAULT_EVENTS = 20.0
# Weight of what was learnt before, with each item that ends.
REMEMBERED = 0.98
# What has gone on past its estimate goes on for this share of it.
OVERRUN = 0.25


class Run:
    """Hold one attempt at an item on one upstream."""

    def __init__(self, work: 'Work', upstream: 'Upstream') -> None:
        self.work = work
        self.upstream = upstream
        self.started = time.monotonic()
        self.last_event = self.started
        self.events = 0
        self.cancelled = ''
        # Ends the exchange; set once it has begun.
        self.abort: typing.Callable[[], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Tell whether an event has come."""
        return self.events > 0

    def cancel(self, reason: str) -> None:
        """End the attempt; its events so far stay with the item."""
        if self.cancelled:
            return
        self.cancelled = reason
        abort = self.abort
        if abort is not None:
            abort()


class Work:
    """Hold one item on its way to its result."""

    def __init__(
        self, batch: state_module.Batch, item: callers.Item, due: float
    ) -> None:
        self.batch = batch
        self.item = item
        self.due = due
        # Data and weight version of each event, in order.
        self.events: list[tuple[str, int]] = []
        # Names the text that the events belong to.
        self.text = ''
        # Events that the log keeps.
        self.kept_events = 0
        self.failures = 0
        # Times in a row that upstreams refused the item without running it.
        self.refusals = 0
        self.moves = 0
        self.run: Run | None = None
        self.not_before = 0.0
        # What the item waited for last, until it starts.
        self.obstacle = ''
        # When the result was there; it is not kept yet.
        self.finished = 0.0
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
    since: float


class Upstream:
    """Hold what is known of one incarnation of an upstream."""

    def __init__(self, entry: catalogue.UpstreamEntry) -> None:
        self.entry = entry
        self.runs: set[Run] = set()
        self.gap_s = INITIAL_GAP_S
        self.gaps_seen = 0
        self.suspended_until = 0.0
        self.failures_in_row = 0
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

    def note_entry(self, entry: catalogue.UpstreamEntry) -> None:
        """Take a newer entry of the same incarnation."""
        self.entry = entry
        for model, version in entry.versions.items():
            self.note_version(model, version)

    def note_version(self, model: str, version: int) -> None:
        """Note a weight version; an incarnation's versions only grow."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    def note_gap(self, gap_s: float) -> None:
        """Note the time between two events of a run."""
        self.gaps_seen += 1
        self.gap_s += GAP_WEIGHT * (gap_s - self.gap_s)

    def note_failure(self, now: float, suspend_s: float) -> None:
        """Keep new runs away for a while."""
        self.failures_in_row += 1
        self.suspended_until = max(self.suspended_until, now + suspend_s)

    def note_success(self) -> None:
        """Note a run that ended whole."""
        self.failures_in_row = 0
        self.suspended_until = 0.0

    def serves(self, model: str, min_version: int) -> bool:
        """Tell whether the weights may run an item."""
        if not model or min_version <= 0:
            return True
        return self.versions.get(model, 0) >= min_version


class Pace:
    """Learn how many events items have from how many tokens they expect."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._events = 0.0

    def note(self, expected_tokens: int, events: int) -> None:
        """Note an item that ended."""
        if expected_tokens <= 0:
            return
        self._tokens = self._tokens * REMEMBERED + expected_tokens
        self._events = self._events * REMEMBERED + events

    def expected_events(self, work: Work) -> float:
        """Return how many more events an item is expected to have."""
        total = DEFAULT_EVENTS
        if work.item.expected_tokens > 0:
            tokens = INITIAL_EVENT_TOKENS
            if self._events > 0:
                tokens = self._tokens / self._events
            total = work.item.expected_tokens / tokens
        done = len(work.events)
        return max(total - done, OVERRUN * done, 1.0)
