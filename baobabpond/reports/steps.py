"""Break down the time of batches by phase, from the logs of instances."""

import collections
import collections.abc
import enum
import typing

from . import log_lines


class Phase(enum.Enum):
    """Name the phases of an item, in their usual order."""

    # From submission until an owner schedules the batch; after a change of
    # owner also the time since the last span, e.g. of runs that are lost.
    OWNER = 'owner'
    # Waiting for an upstream to be registered.
    UPSTREAMS = 'upstreams'
    # Waiting for an upstream with a permitted weight version.
    WEIGHTS = 'weights'
    # Waiting for an upstream with the software version that began the output.
    SOFTWARE = 'software version'
    # Waiting for a request that the limits of upstreams allow.
    REQUEST_LIMITS = 'request limits'
    # Waiting for the suspension of an upstream after a failure to end.
    SUSPENSION = 'suspension'
    # Waiting for a free slot of an upstream.
    SLOTS = 'slots'
    # The run that completed.
    RUN = 'run'
    # Runs that did not complete.
    LOST_RUN = 'lost run'
    # From the end of the run until the reward call succeeded, if there is one.
    REWARD = 'reward'
    # From then on until the result is persisted in the log.
    LOG = 'log'
    # From then on until the trainer reads the result.
    READER = 'reader'


class Span(typing.NamedTuple):
    """Hold the time that an item spent in a phase, in Unix seconds."""

    phase: Phase
    start: float
    end: float


class ItemTimeline(typing.NamedTuple):
    """Hold the spans of an item, ordered and without overlap."""

    id: str
    spans: list[Span]
    is_read: bool

    @property
    def end(self) -> float:
        """Return the end of the last span; 0 if there are no spans."""
        return self.spans[-1].end if self.spans else 0.0


class BatchTimeline(typing.NamedTuple):
    """Hold the data of a batch and the timelines of its items."""

    id: str
    model: str
    step: int
    size: int
    submitted_at: float
    # Time from submission until the results are due; 0 if unknown.
    due_s: float
    # None if the trainer did not end the batch.
    ended_at: float | None
    items: list[ItemTimeline]

    @property
    def read_count(self) -> int:
        """Return how many results were read."""
        return sum(item.is_read for item in self.items)

    @property
    def late_count(self) -> int:
        """Return how many items were read after they were due, or never."""
        on_time = sum(
            item.is_read and item.end <= self.submitted_at + self.due_s
            for item in self.items
        )
        return self.size - on_time

    def seconds_by_phase(self) -> dict[Phase, float]:
        """Return the total time of all items in each phase."""
        totals: dict[Phase, float] = collections.defaultdict(float)
        for item in self.items:
            for span in item.spans:
                totals[span.phase] += span.end - span.start
        return totals


class _ItemBuilder:
    """Collect the spans of an item while log lines are read."""

    def __init__(self, item_id: str, span_start: float) -> None:
        self.id = item_id
        # Start of the next span, i.e. end of the last one.
        self.span_start = span_start
        self.spans: list[Span] = []
        self.is_read = False

    def add_span(self, phase: Phase, end: float) -> None:
        """Add a span from the end of the last one; skip it if empty."""
        if end > self.span_start:
            self.spans.append(Span(phase, self.span_start, end))
        self.span_start = max(self.span_start, end)


class _BatchBuilder:
    """Collect the state of a batch while log lines are read."""

    def __init__(self, line: log_lines.LogLine) -> None:
        fields = line.fields
        self.id = fields['request']
        self.model = fields.get('model', '')
        self.step = fields.get('step', 0)
        self.size = fields.get('items', 0)
        self.submitted_at = line.time - fields.get('took_s', 0.0)
        self.due_s = 0.0
        self.adopted_at = self.submitted_at
        self.ended_at: float | None = None
        self.items: dict[str, _ItemBuilder] = {}
        # Items whose run completed: first until their result is persisted,
        # those with a reward call once it succeeded; then until it is read.
        self.unpersisted: collections.deque[_ItemBuilder] = collections.deque()
        self.scored: collections.deque[_ItemBuilder] = collections.deque()
        self.unread: collections.deque[_ItemBuilder] = collections.deque()
        self.next_position = 0
        # Results whose read was logged before they were logged as persisted.
        self.read_before_persisted = 0

    def item(self, item_id: str) -> _ItemBuilder:
        """Return an item; create it with its wait for an owner."""
        if item_id not in self.items:
            item = self.items[item_id] = _ItemBuilder(
                item_id, self.submitted_at
            )
            item.add_span(Phase.OWNER, self.adopted_at)
        return self.items[item_id]

    def pop_unpersisted(self) -> _ItemBuilder | None:
        """Remove and return the next item to be persisted, if any."""
        if self.scored:
            return self.scored.popleft()
        return self.unpersisted.popleft() if self.unpersisted else None


Handler = collections.abc.Callable[[_BatchBuilder, log_lines.LogLine], None]
_handlers: dict[str, Handler] = {}


def _on(event: str) -> collections.abc.Callable[[Handler], Handler]:
    """Register a handler of the log lines with an event."""

    def register(handler: Handler) -> Handler:
        _handlers[event] = handler
        return handler

    return register


@_on('batch taken up')
def _handle_adoption(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    batch.due_s = line.fields.get('due_s', 0.0)
    if not batch.items:
        batch.adopted_at = line.time
        return
    # The owner has changed; runs of the previous owner are lost.
    for item in batch.items.values():
        is_complete = (
            item in batch.unpersisted
            or item in batch.scored
            or item in batch.unread
        )
        if not is_complete and not item.is_read:
            item.add_span(Phase.OWNER, line.time)


@_on('run starts')
def _handle_run_start(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    wait_reason = line.fields.get('waited_for') or Phase.SLOTS.value
    item = batch.item(line.fields['request'])
    if item in batch.unpersisted:
        # The previous owner was lost before it persisted the result.
        batch.unpersisted.remove(item)
    item.add_span(Phase(wait_reason), line.time)


@_on('run ends')
def _handle_run_end(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    item = batch.item(line.fields['request'])
    if line.fields.get('ending') == 'whole':
        item.add_span(Phase.RUN, line.time)
        batch.unpersisted.append(item)
    else:
        item.add_span(Phase.LOST_RUN, line.time)


@_on('reward call ends')
def _handle_reward_end(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    if line.fields.get('ending') != 'whole':
        return
    item = batch.item(line.fields['request'])
    item.add_span(Phase.REWARD, line.time)
    if item in batch.unpersisted:
        batch.unpersisted.remove(item)
    batch.scored.append(item)


@_on('results kept')
def _handle_persisted(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    for _ in range(line.fields['count']):
        if batch.read_before_persisted:
            batch.read_before_persisted -= 1
            continue
        item = batch.pop_unpersisted()
        if item is None:
            return
        item.add_span(Phase.LOG, line.time)
        batch.unread.append(item)


@_on('results read')
def _handle_read(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    end_position = line.fields['position'] + line.fields['count']
    for _ in range(end_position - batch.next_position):
        if batch.unread:
            item = batch.unread.popleft()
            item.add_span(Phase.READER, line.time)
        else:
            # Instances log independently: a read may be logged before its
            # result is logged as persisted.
            item = batch.pop_unpersisted()
            if item is None:
                break
            item.add_span(Phase.LOG, line.time)
            batch.read_before_persisted += 1
        item.is_read = True
    batch.next_position = max(batch.next_position, end_position)


@_on('batch ended by its trainer')
def _handle_batch_end(batch: _BatchBuilder, line: log_lines.LogLine) -> None:
    if line.fields.get('outcome') == 'ended' and batch.ended_at is None:
        batch.ended_at = line.time


def build_timelines(
    lines: collections.abc.Iterable[log_lines.LogLine],
) -> list[BatchTimeline]:
    """Return a timeline for each accepted batch, ordered by submission."""
    batches: dict[str, _BatchBuilder] = {}
    for line in lines:
        if line.event == 'batch submitted':
            if line.fields.get('outcome') == 'accepted':
                batches.setdefault(line.fields['request'], _BatchBuilder(line))
            continue
        handler = _handlers.get(line.event)
        batch = batches.get(line.fields.get('batch', ''))
        if handler is not None and batch is not None:
            handler(batch, line)
    return [_build_timeline(batch) for batch in batches.values()]


def _build_timeline(batch: _BatchBuilder) -> BatchTimeline:
    return BatchTimeline(
        batch.id,
        batch.model,
        batch.step,
        batch.size,
        batch.submitted_at,
        batch.due_s,
        batch.ended_at,
        [
            ItemTimeline(item.id, item.spans, item.is_read)
            for item in batch.items.values()
        ],
    )


def format_table(batches: list[BatchTimeline]) -> str:
    """Return a table of mean seconds per item by batch and phase."""
    header = ['batch', 'model', 'step', 'at', 'items', 'read', 'late', 'whole']
    header += [phase.value for phase in Phase]
    rows = [header]
    first_submitted_at = min(
        (batch.submitted_at for batch in batches), default=0.0
    )
    for batch in batches:
        rows.append(_format_row(batch, first_submitted_at))
    rows.append(_format_totals(batches))
    widths = [max(len(row[i]) for row in rows) for i in range(len(header))]
    return '\n'.join(
        '  '.join(
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in rows
    )


def _format_row(batch: BatchTimeline, first_submitted_at: float) -> list[str]:
    read_times = [item.end for item in batch.items if item.is_read]
    duration_s = max(read_times) - batch.submitted_at if read_times else 0.0
    return [
        batch.id[:8],
        batch.model[:8],
        str(batch.step),
        f'{batch.submitted_at - first_submitted_at:.1f}',
        str(batch.size),
        str(batch.read_count),
        str(batch.late_count),
        f'{duration_s:.2f}',
        *_format_means(batch.seconds_by_phase(), len(batch.items)),
    ]


def _format_totals(batches: list[BatchTimeline]) -> list[str]:
    totals: dict[Phase, float] = collections.defaultdict(float)
    for batch in batches:
        for phase, seconds in batch.seconds_by_phase().items():
            totals[phase] += seconds
    return [
        'all',
        '',
        '',
        '',
        str(sum(batch.size for batch in batches)),
        str(sum(batch.read_count for batch in batches)),
        str(sum(batch.late_count for batch in batches)),
        '',
        *_format_means(totals, sum(len(batch.items) for batch in batches)),
    ]


def _format_means(seconds: dict[Phase, float], items: int) -> list[str]:
    if not items:
        return ['-'] * len(Phase)
    return [f'{seconds.get(phase, 0.0) / items:.3f}' for phase in Phase]
