"""Define the interface of streamed answers that the router uses."""

import abc
import collections.abc

CANCELLED_CODE = 'cancelled'

ProgressListener = collections.abc.Callable[[float], None]


class Stream(abc.ABC):
    """Iterate over the chunks of an upstream's answer."""

    def __init__(self) -> None:
        self._end_listeners: list[collections.abc.Callable[[], None]] = []
        self._progress_listeners: list[ProgressListener] = []
        self._ended = False

    @property
    @abc.abstractmethod
    def units(self) -> int:
        """Return the number of units of work received, such as tokens."""

    @property
    @abc.abstractmethod
    def failure_code(self) -> str | None:
        """Return why the answer is incomplete, or None if it is complete."""

    @abc.abstractmethod
    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the chunks; raise if the answer ends incomplete."""

    def on_end(self, listener: collections.abc.Callable[[], None]) -> None:
        """Register a listener that is called once when the stream ends."""
        self._end_listeners.append(listener)

    def on_progress(self, listener: ProgressListener) -> None:
        """Register a listener for the latency per unit, in seconds.

        It is called repeatedly while the stream makes progress.
        """
        self._progress_listeners.append(listener)

    def close(self) -> None:
        """End the stream, complete or not; further calls do nothing."""
        if self._ended:
            return
        self._ended = True
        self._disconnect()
        for listener in self._end_listeners:
            listener()

    def _report_progress(self, unit_latency_s: float) -> None:
        for listener in self._progress_listeners:
            listener(unit_latency_s)

    @abc.abstractmethod
    def _disconnect(self) -> None:
        """Release the connection for reuse, or close it."""
