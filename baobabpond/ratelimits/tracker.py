"""Track the request limits that upstreams state in their responses."""

import threading
import time
import typing

import structlog

from .. import metrics as metrics_module
from ..ports import catalogue
from ..ports import upstreams as upstream_port

# Incarnations whose statements are remembered.
MAX_TRACKED = 2000

LOG = structlog.get_logger(__name__)

Incarnation = tuple[str, int]


class Statement(typing.NamedTuple):
    """What an upstream last stated about its limit, as far as is known."""

    # Requests a second from all instances together; None without a limit.
    limit: float | None
    # Monotonic time at which the request was sent whose response stated it.
    stated_at: float
    # Instance that received the response; empty for this one.
    source: str = ''

    def describe(self) -> str:
        """Return the limit, its age and its source for a log line."""
        if self.limit is None:
            return 'none'
        age_s = time.monotonic() - self.stated_at
        source = f' by {self.source}' if self.source else ''
        return f'{self.limit:g}/s, learned {age_s:.1f} s ago{source}'


NO_STATEMENT = Statement(None, float('-inf'))


class LimitTracker:
    """Remember the newest statement of each incarnation of an upstream."""

    def __init__(self, metrics: metrics_module.Metrics) -> None:
        self._metrics = metrics
        self._lock = threading.Lock()
        # Least recently changed first; upstreams that have never stated a
        # limit are left out.
        self._statements: dict[Incarnation, Statement] = {}
        self._on_change: typing.Callable[[], None] = lambda: None

    def set_listener(self, on_change: typing.Callable[[], None]) -> None:
        """Set the callback for changes of limits; it must not block."""
        self._on_change = on_change

    def limit_of(self, incarnation: Incarnation) -> float | None:
        """Return the limit in requests a second, None if there is none."""
        statement = self._statements.get(incarnation)
        return statement.limit if statement else None

    def statement_of(self, incarnation: Incarnation) -> Statement:
        """Return the newest statement, an empty one if there is none."""
        return self._statements.get(incarnation, NO_STATEMENT)

    def statements(self) -> dict[Incarnation, Statement]:
        """Return the newest statement of each upstream that ever made one."""
        with self._lock:
            return dict(self._statements)

    def observe(
        self,
        entry: catalogue.UpstreamEntry,
        head: upstream_port.ResponseHead,
        sent_at: float,
        is_genuine: bool,
    ) -> None:
        """Apply what the response to a request states about the limit.

        The request was sent at a monotonic time. A response to an earlier
        request than that of the newest statement has no effect. Only one that
        is known to be the upstream's shows that a limit has ended.
        """
        if head.misdirected:
            return
        if head.has_unreadable_limit:
            self._metrics.count('ratelimits.unreadable')
            LOG.warning(
                'upstream states an unreadable limit', upstream=entry.id
            )
            return
        if head.request_limit is None and not is_genuine:
            return
        self.apply(entry.incarnation, Statement(head.request_limit, sent_at))

    def apply(self, incarnation: Incarnation, statement: Statement) -> None:
        """Apply a statement unless a newer one is known."""
        with self._lock:
            former = self._statements.get(incarnation)
            if former is None and statement.limit is None:
                return
            if former is not None and statement.stated_at < former.stated_at:
                return
            self._statements.pop(incarnation, None)
            self._statements[incarnation] = statement
            if len(self._statements) > MAX_TRACKED:
                del self._statements[next(iter(self._statements))]
        former_limit = former.limit if former else None
        if former_limit == statement.limit:
            return
        self._metrics.count('ratelimits.changes')
        LOG.info(
            'limit of an upstream has changed',
            upstream=incarnation[0],
            born=incarnation[1],
            limit=statement.limit,
            former=former_limit,
            source=statement.source or 'own response',
            age_s=round(time.monotonic() - statement.stated_at, 3),
        )
        self._on_change()
