"""Record whether connections to upstreams succeed from this instance."""

import collections
import threading
import time
import typing

from ..ports import catalogue
from ..upstreams import gateway

MAX_TRACKED = 2000
NEVER = float('-inf')


class Suspicion(typing.NamedTuple):
    """A failure that may mean that this instance is cut off."""

    entry: catalogue.UpstreamEntry
    # Start of the failed exchange or connection.
    since: float
    # Nothing arrived on a connection that was open before.
    is_silence: bool


class DirectPath(typing.NamedTuple):
    """Monotonic times of what happened last on the way to an upstream."""

    connected_at: float = NEVER
    # When connecting failed.
    failed_at: float = NEVER
    heard_at: float = NEVER

    @property
    def is_failing(self) -> bool:
        """Return whether the last new connection failed."""
        return self.failed_at > self.connected_at


OnSuspicion = typing.Callable[[Suspicion], None]


class PathTracker(gateway.PathObserver):
    """Track the direct path to each incarnation of an upstream."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._paths: collections.OrderedDict[tuple[str, int], DirectPath] = (
            collections.OrderedDict()
        )
        self._on_suspicion: OnSuspicion = lambda suspicion: None

    def set_listener(self, on_suspicion: OnSuspicion) -> None:
        """Set the callback for failures; it must not block."""
        self._on_suspicion = on_suspicion

    def path_to(self, entry: catalogue.UpstreamEntry) -> DirectPath:
        """Return what is known of the path to an upstream."""
        with self._lock:
            return self._paths.get(entry.incarnation, DirectPath())

    def record_connected(self, entry: catalogue.UpstreamEntry) -> None:
        """Record that a new connection succeeded."""
        self._update(entry, connected_at=time.monotonic())

    def record_failed(
        self, entry: catalogue.UpstreamEntry, since: float
    ) -> None:
        """Record that a new connection, begun at a time, failed."""
        self._update(entry, failed_at=time.monotonic())
        self._on_suspicion(Suspicion(entry, since, False))

    def record_unreachable(self, entry: catalogue.UpstreamEntry) -> None:
        """Record that a probe failed, which raises no suspicion."""
        self._update(entry, failed_at=time.monotonic())

    def record_heard(self, entry: catalogue.UpstreamEntry) -> None:
        """Record that a response arrived."""
        self._update(entry, heard_at=time.monotonic())

    def record_silence(
        self, entry: catalogue.UpstreamEntry, since: float
    ) -> None:
        """Record that no response came to a request sent at a time."""
        self._on_suspicion(Suspicion(entry, since, True))

    def _update(self, entry: catalogue.UpstreamEntry, **times: float) -> None:
        with self._lock:
            path = self._paths.pop(entry.incarnation, DirectPath())
            self._paths[entry.incarnation] = path._replace(**times)
            if len(self._paths) > MAX_TRACKED:
                self._paths.popitem(last=False)
