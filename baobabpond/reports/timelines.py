"""Tell where the time of batches went, from the logs of the instances."""

import collections
import collections.abc
import enum
import typing

from . import log_lines


class Phase(enum.Enum):
    """Name what an item's time was spent on, in the order of its life."""

    # From its acceptance until an owner took the batch up.
    OWNER = 'owner'
    # Until an upstream was registered.
    UPSTREAMS = 'upstreams'
    # Until an upstream had allowed weights.
    WEIGHTS = 'weights'
    # Until an upstream that failed might be used again.
    SUSPENSION = 'suspension'
    # Until an upstream had a free slot.
    SLOTS = 'slots'
    # In the run that ended whole.
    RUN = 'run'
    # In runs that did not end whole.
    LOST_RUN = 'lost run'
    # From its end until the log kept its result.
    LOG = 'log'
    # Until the trainer read it.
    READER = 'reader'


class Span(typing.NamedTuple):
    """Hold a part of an item's life, in Unix seconds."""

    phase: Phase
    start: float
    end: float


class ItemStory(typing.NamedTuple):
    """Hold an item's spans, one after the other."""

    id: str
    spans: list[Span]
    is_read: bool

    @property
    def end(self) -> float:
        """Return when the last span ended."""
        return self.spans[-1].end if self.spans else 0.0


class BatchStory(typing.NamedTuple):
    """Hold what became of a batch."""

    id: str
    model: str
    step: int
    size: int
    submitted: float
    # Seconds after its submission at which the batch was due; 0 if unknown.
    due_s: float
    # When the trainer ended it; None if it did not.
    ended: float | None
    items: list[ItemStory]

    @property
    def read(self) -> int:
        """Return how many results were read."""
        return sum(item.is_read for item in self.items)

    @property
    def late(self) -> int:
        """Return how many items were read late or never."""
        in_time = sum(
            item.is_read and item.end <= self.submitted + self.due_s
            for item in self.items
        )
        return self.size - in_time

    def seconds(self) -> dict[Phase, float]:
        """Return the time of all items by phase."""
        totals: dict[Phase, float] = collections.defaultdict(float)
        for item in self.items:
            for span in item.spans:
                totals[span.phase] += span.end - span.start
        return totals


class _Item:
    """Collect the spans of an item."""

    def __init__(self, item_id: str, since: float) -> None:
        self.id = item_id
        self.since = since
        self.spans: list[Span] = []
        self.is_read = False

    def spend(self, phase: Phase, until: float) -> None:
        """Add the time since the last span to a phase."""
        if until > self.since:
            self.spans.append(Span(phase, self.since, until))
        self.since = max(self.since, until)


class _Batch:
    """Collect what the lines say of a batch."""

    def __init__(self, line: log_lines.Line) -> None:
        fields = line.fields
        self.id = fields['request']
        self.model = fields.get('model', '')
        self.step = fields.get('step', 0)
        self.size = fields.get('items', 0)
        self.submitted = line.time - fields.get('took_s', 0.0)
        self.due_s = 0.0
        self.taken_up = self.submitted
        self.ended: float | None = None
        self.items: dict[str, _Item] = {}
        # Items that ended whole and are not kept yet, then not read yet.
        self.unkept: collections.deque[_Item] = collections.deque()
        self.unread: collections.deque[_Item] = collections.deque()
        self.read_to = 0
        # Items that were read before a line said that they are kept.
        self.early = 0

    def item(self, item_id: str) -> _Item:
        """Return an item, from its acceptance on."""
        if item_id not in self.items:
            item = self.items[item_id] = _Item(item_id, self.submitted)
            item.spend(Phase.OWNER, self.taken_up)
        return self.items[item_id]


Handler = collections.abc.Callable[[_Batch, log_lines.Line], None]
_handlers: dict[str, Handler] = {}


def _on(event: str) -> collections.abc.Callable[[Handler], Handler]:
    """Register what is done at lines of an event."""

    def register(handler: Handler) -> Handler:
        _handlers[event] = handler
        return handler

    return register


@_on('batch taken up')
def _take_up(batch: _Batch, line: log_lines.Line) -> None:
    batch.due_s = line.fields.get('due_s', 0.0)
    if not batch.items:
        batch.taken_up = line.time
        return
    # Another owner: runs of the former one are lost with it.
    for item in batch.items.values():
        if item not in batch.unkept and item not in batch.unread:
            if not item.is_read:
                item.spend(Phase.OWNER, line.time)


@_on('run starts')
def _start_run(batch: _Batch, line: log_lines.Line) -> None:
    obstacle = line.fields.get('waited_for') or Phase.SLOTS.value
    item = batch.item(line.fields['request'])
    if item in batch.unkept:
        # The owner that had its result was lost before the log kept it.
        batch.unkept.remove(item)
    item.spend(Phase(obstacle), line.time)


@_on('run ends')
def _end_run(batch: _Batch, line: log_lines.Line) -> None:
    item = batch.item(line.fields['request'])
    if line.fields.get('ending') == 'whole':
        item.spend(Phase.RUN, line.time)
        batch.unkept.append(item)
    else:
        item.spend(Phase.LOST_RUN, line.time)


@_on('results kept')
def _keep(batch: _Batch, line: log_lines.Line) -> None:
    for _ in range(line.fields['count']):
        if batch.early:
            batch.early -= 1
            continue
        if not batch.unkept:
            return
        item = batch.unkept.popleft()
        item.spend(Phase.LOG, line.time)
        batch.unread.append(item)


@_on('results read')
def _read(batch: _Batch, line: log_lines.Line) -> None:
    until = line.fields['position'] + line.fields['count']
    for _ in range(until - batch.read_to):
        if batch.unread:
            item = batch.unread.popleft()
            item.spend(Phase.READER, line.time)
        elif batch.unkept:
            # A reader may be told before the owner logs that it is kept.
            item = batch.unkept.popleft()
            item.spend(Phase.LOG, line.time)
            batch.early += 1
        else:
            break
        item.is_read = True
    batch.read_to = max(batch.read_to, until)


@_on('batch ended by its trainer')
def _end(batch: _Batch, line: log_lines.Line) -> None:
    if line.fields.get('outcome') == 'ended' and batch.ended is None:
        batch.ended = line.time


def stories(
    lines: collections.abc.Iterable[log_lines.Line],
) -> list[BatchStory]:
    """Return the story of each accepted batch, by its submission."""
    batches: dict[str, _Batch] = {}
    for line in lines:
        if line.event == 'batch submitted':
            if line.fields.get('outcome') == 'accepted':
                batches.setdefault(line.fields['request'], _Batch(line))
            continue
        handler = _handlers.get(line.event)
        batch = batches.get(line.fields.get('batch', ''))
        if handler is not None and batch is not None:
            handler(batch, line)
    return [_story(batch) for batch in batches.values()]


def _story(batch: _Batch) -> BatchStory:
    return BatchStory(
        batch.id,
        batch.model,
        batch.step,
        batch.size,
        batch.submitted,
        batch.due_s,
        batch.ended,
        [
            ItemStory(item.id, item.spans, item.is_read)
            for item in batch.items.values()
        ],
    )


def table(told: list[BatchStory]) -> str:
    """Return a table: a row a batch, mean seconds an item in each phase."""
    heads = ['batch', 'model', 'step', 'at', 'items', 'read', 'late', 'whole']
    heads += [phase.value for phase in Phase]
    rows = [heads]
    begin = min((story.submitted for story in told), default=0.0)
    for story in told:
        rows.append(_row(story, begin))
    rows.append(_totals(told))
    widths = [max(len(row[i]) for row in rows) for i in range(len(heads))]
    return '\n'.join(
        '  '.join(
            cell.rjust(width) for cell, width in zip(row, widths, strict=True)
        )
        for row in rows
    )


def _row(story: BatchStory, begin: float) -> list[str]:
    ends = [item.end for item in story.items if item.is_read]
    whole = max(ends) - story.submitted if ends else 0.0
    return [
        story.id[:8],
        story.model[:8],
        str(story.step),
        f'{story.submitted - begin:.1f}',
        str(story.size),
        str(story.read),
        str(story.late),
        f'{whole:.2f}',
        *_means(story.seconds(), len(story.items)),
    ]


def _totals(told: list[BatchStory]) -> list[str]:
    totals: dict[Phase, float] = collections.defaultdict(float)
    for story in told:
        for phase, seconds in story.seconds().items():
            totals[phase] += seconds
    return [
        'all',
        '',
        '',
        '',
        str(sum(story.size for story in told)),
        str(sum(story.read for story in told)),
        str(sum(story.late for story in told)),
        '',
        *_means(totals, sum(len(story.items) for story in told)),
    ]


def _means(seconds: dict[Phase, float], items: int) -> list[str]:
    if not items:
        return ['-'] * len(Phase)
    return [f'{seconds.get(phase, 0.0) / items:.3f}' for phase in Phase]
