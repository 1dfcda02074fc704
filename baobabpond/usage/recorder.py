"""Count the requests of each account by the window in which they began."""

import collections
import threading
import typing

from .. import metrics as metrics_module

from . import windows as windows_module


class WindowCounts(typing.NamedTuple):
    """The requests of one window at one instance, by account."""

    # Increases with each change.
    revision: int
    counts: dict[str, int]


# Older than the counts of any window.
NO_COUNTS = WindowCounts(-1, {})


class Mark(typing.NamedTuple):
    """A request that was counted, so that it can be withdrawn."""

    account: str
    window: int


class UsageRecorder:
    """Hold the counts of this instance until their window is reported."""

    def __init__(
        self,
        windows: windows_module.Windows,
        metrics: metrics_module.Metrics,
    ) -> None:
        self._windows = windows
        self._metrics = metrics
        self._lock = threading.Lock()
        self._counts: dict[int, collections.Counter[str]] = {}
        self._revisions: dict[int, int] = {}
        self._on_change: typing.Callable[[], None] = lambda: None

    def set_listener(self, on_change: typing.Callable[[], None]) -> None:
        """Set the callback that is called after each change."""
        self._on_change = on_change

    def open(self, window: int) -> None:
        """Begin a window without requests."""
        with self._lock:
            self._counts.setdefault(window, collections.Counter())
            self._revisions.setdefault(window, 0)
        self._on_change()

    def record(self, account: str, began_at_unix_s: float) -> Mark:
        """Count a request in the window in which it began to run."""
        mark = Mark(account, self._windows.at(began_at_unix_s))
        self._add(mark, 1)
        self._metrics.count('usage.requests')
        return mark

    def withdraw(self, mark: Mark) -> None:
        """Take back a request that has not run after all."""
        self._add(mark, -1)
        self._metrics.count('usage.withdrawn')

    def counts(self) -> dict[int, WindowCounts]:
        """Return the counts by window."""
        with self._lock:
            return {
                window: WindowCounts(
                    self._revisions[window], dict(+self._counts[window])
                )
                for window in sorted(self._counts)
            }

    def drop(self, window: int) -> dict[str, int]:
        """Forget a window and return its last counts, by account."""
        with self._lock:
            counts = self._counts.pop(window, collections.Counter())
            self._revisions.pop(window, None)
        return dict(+counts)

    def _add(self, mark: Mark, amount: int) -> None:
        with self._lock:
            counts = self._counts.setdefault(
                mark.window, collections.Counter()
            )
            counts[mark.account] += amount
            self._revisions[mark.window] = (
                self._revisions.get(mark.window, 0) + 1
            )
        self._on_change()
