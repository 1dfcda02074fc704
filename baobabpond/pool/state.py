"""Track the scheduling state of items, runs and upstreams."""

import time
import typing

from ..batches import shard_state as state_module
from ..ports import callers
from ..ports import catalogue
from ..ratelimits import permits as permits_module
from ..upstreams.capacity import estimator as capacity_module
from ..upstreams.capacity import load_factor

# Time between events until the first were seen.
INITIAL_GAP_S = 0.045
# Estimated tokens per event until the first items have completed.
INITIAL_EVENT_TOKENS = 50.0
# Estimated events of an item whose caller expects no token count.
DEFAULT_EVENTS = 20.0
# Factor by which older samples lose weight with each completed item.
DECAY = 0.98
# Beyond its estimate, an item is expected to continue for this share of the
# events that it has.
OVERRUN_SHARE = 0.25


class Run:
    """Track one attempt at an item on one upstream."""

    def __init__(self, task: 'Task', upstream: 'Upstream') -> None:
        self.task = task
        self.upstream = upstream
        self.started_at = time.monotonic()
        self.last_event_at = self.started_at
        self.events = 0
        self.cancel_reason = ''
        # Aborts the HTTP exchange; set when the exchange starts.
        self.abort: typing.Callable[[], None] | None = None

    @property
    def has_begun(self) -> bool:
        """Return whether the first event has arrived."""
        return self.events > 0

    def cancel(self, reason: str) -> None:
        """Cancel the attempt; the item keeps the events received so far."""
        if self.cancel_reason:
            return
        self.cancel_reason = reason
        abort = self.abort
        if abort is not None:
            abort()


class Task:
    """Track one item from its submission until its result is persisted."""

    def __init__(
        self, batch: state_module.Batch, item: callers.Item, due_at: float
    ) -> None:
        self.batch = batch
        self.item = item
        self.due_at = due_at
        # Data and weight version of each event, in order.
        self.events: list[tuple[str, int]] = []
        # Software version that wrote them; None while there are none.
        self.software: str | None = None
        # Identifies the partial output that the events belong to.
        self.output_id = ''
        # Number of leading events that are persisted in the log.
        self.persisted_events = 0
        self.failures = 0
        # Consecutive refusals by upstreams, none of which ran the item.
        self.consecutive_refusals = 0
        self.migrations = 0
        self.run: Run | None = None
        self.not_before = 0.0
        # Monotonic time at which the item last ran, or was taken up.
        self.idle_since = time.monotonic()
        # Why the item could not start on the last attempt; empty once started.
        self.wait_reason = ''
        # Time of the result, which is not persisted yet.
        self.finished_at = 0.0
        self.result: callers.Result | None = None
        # The complete output, which has no score yet.
        self.unscored: callers.Result | None = None
        # Monotonic time since which it is complete.
        self.unscored_since = 0.0
        self.is_output_persisted = False
        self.reward_failures = 0
        # Attempts at the reward call that got no score, of any kind.
        self.reward_retries = 0
        self.reward_timeouts = 0
        # Upstreams that have failed the reward call, or did not answer it.
        self.reward_upstreams_tried: set[str] = set()
        self.reward_attempt: RewardAttempt | None = None
        self.reward_not_before = 0.0
        # Failure counts as last written to the log.
        self.persisted_failures = (0, 0)
        # Monotonic time after which the item is given up.
        self.give_up_at = float('inf')
        # All events of the output must have the same weight version.
        self.single_version = False

    @property
    def id(self) -> str:
        """Return the item's id."""
        return self.item.id

    def add_event(self, data: str, version: int, software: str) -> None:
        """Add an event with its weight and software versions.

        All events of an output have the same software version.
        """
        self.software = software
        self.events.append((data, version))

    @property
    def needs_events(self) -> bool:
        """Return whether the output is incomplete."""
        return self.result is None and self.unscored is None

    @property
    def min_version(self) -> int:
        """Return the oldest weight version that may run the item."""
        return self.batch.head.min_version

    @property
    def model(self) -> str:
        """Return the model that runs the item."""
        return self.batch.head.model

    @property
    def expected_kv_tokens(self) -> int:
        """Return the tokens expected in the KV cache when the run ends."""
        item = self.item
        if item.expected_tokens <= 0:
            return item.tokens
        return min(item.tokens, item.prompt_tokens + item.expected_tokens)

    @property
    def required_version(self) -> int:
        """Return the weight version needed to resume the item, 0 for any."""
        if self.single_version and self.events:
            return self.events[0][1]
        return 0


class RewardAttempt:
    """Track one attempt at the reward call of an item."""

    def __init__(
        self,
        task: Task,
        entry: catalogue.UpstreamEntry,
        permit: permits_module.Permit,
        timeout_s: float,
    ) -> None:
        self.task = task
        self.entry = entry
        self.permit = permit
        self.timeout_s = timeout_s
        self.started_at = time.monotonic()
        self.is_cancelled = False
        # Aborts the HTTP exchange; set when the exchange starts.
        self.abort: typing.Callable[[], None] | None = None

    def cancel(self) -> None:
        """Cancel the attempt."""
        self.is_cancelled = True
        abort = self.abort
        if abort is not None:
            abort()


class Load(typing.NamedTuple):
    """Describe a weight load in progress on an upstream."""

    model: str
    version: int
    started_at: float


class Upstream:
    """Track one incarnation of an upstream."""

    def __init__(
        self,
        entry: catalogue.UpstreamEntry,
        capacity: capacity_module.Capacity | None = None,
    ) -> None:
        self.entry = entry
        self.runs: set[Run] = set()
        # How fast it is, and how many runs it handles well.
        self.capacity: capacity_module.Capacity = (
            capacity
            or capacity_module.Learner(INITIAL_GAP_S).track(
                entry.service, entry.slots
            )
        )
        self.suspended_until = 0.0
        self.consecutive_failures = 0
        self.load: Load | None = None
        self.versions = dict(entry.versions)
        # Fence of an order that was refused because the upstream had seen a
        # higher one: another instance owns the shard.
        self.refused_fence = 0
        self.orders_not_before = 0.0
        # Orders accepted as of the report of the last load; None if another
        # order may have been accepted since.
        self.last_orders: int | None = None

    @property
    def id(self) -> str:
        """Return the upstream's id."""
        return self.entry.id

    @property
    def address(self) -> tuple[str, int]:
        """Return the host and port at which the upstream listens."""
        return self.entry.host, self.entry.port

    def update_entry(self, entry: catalogue.UpstreamEntry) -> None:
        """Replace the entry by a newer one of the same incarnation."""
        self.entry = entry
        for model, version in entry.versions.items():
            self.update_version(model, version)

    def update_version(self, model: str, version: int) -> None:
        """Raise a weight version; within an incarnation it never decreases."""
        if version > self.versions.get(model, 0):
            self.versions[model] = version

    def observe_gap(self, model: str, gap_s: float) -> None:
        """Learn from the time between two events of a run of a model."""
        self.capacity.observe(model, gap_s, len(self.runs), time.monotonic())

    def gap_s(self, model: str, running: int) -> float:
        """Return the usual time between events beside a number of runs."""
        return self.capacity.expected_s(
            model, time.monotonic()
        ) * load_factor.of(running, self.entry.slots)

    def record_failure(self, now: float, suspend_s: float) -> None:
        """Count a failure and suspend the upstream for new runs."""
        self.consecutive_failures += 1
        self.suspended_until = max(self.suspended_until, now + suspend_s)

    def record_success(self) -> None:
        """Reset the failure count and end the suspension."""
        self.consecutive_failures = 0
        self.suspended_until = 0.0

    def serves(self, model: str, min_version: int) -> bool:
        """Return whether the served weights are new enough for an item."""
        if not model or min_version <= 0:
            return True
        return self.versions.get(model, 0) >= min_version


class EventEstimator:
    """Estimate the events of items from their expected tokens."""

    def __init__(self) -> None:
        self._tokens = 0.0
        self._events = 0.0

    def observe(self, expected_tokens: int, events: int) -> None:
        """Add the expected tokens and the event count of a completed item."""
        if expected_tokens <= 0:
            return
        self._tokens = self._tokens * DECAY + expected_tokens
        self._events = self._events * DECAY + events

    @property
    def event_tokens(self) -> float:
        """Return the mean number of tokens of an event."""
        if self._events > 0:
            return self._tokens / self._events
        return INITIAL_EVENT_TOKENS

    def remaining_events(self, task: Task) -> float:
        """Return how many more events an item is expected to emit."""
        total = DEFAULT_EVENTS
        if task.item.expected_tokens > 0:
            total = task.item.expected_tokens / self.event_tokens
        done = len(task.events)
        return max(total - done, OVERRUN_SHARE * done, 1.0)
