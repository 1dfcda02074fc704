"""Define what the router needs of a streamed answer."""

import abc
import collections.abc

CANCELLED_CODE = 'cancelled'

ProgressListener = collections.abc.Callable[[float], None]


class Stream(abc.ABC):
    """Yield an upstream's answer piece by piece."""

    def __init__(self) -> None:
        self._end_listeners: list[collections.abc.Callable[[], None]] = []
        self._progress_listeners: list[ProgressListener] = []
        self._ended = False

    @property
    @abc.abstractmethod
    def units(self) -> int:
        """Return the units of work received so far, such as tokens."""

    @property
    @abc.abstractmethod
    def failure_code(self) -> str | None:
        """Return why the answer is not whole, or None if it is."""

    @abc.abstractmethod
    def __iter__(self) -> collections.abc.Iterator[bytes]:
        """Yield the pieces, and raise if the answer does not end whole."""

    def on_end(self, listener: collections.abc.Callable[[], None]) -> None:
        """Call a listener once, when the stream has ended."""
        self._end_listeners.append(listener)

    def on_progress(self, listener: ProgressListener) -> None:
        """Call a listener now and then with the seconds a unit takes."""
        self._progress_listeners.append(listener)

    def close(self) -> None:
        """End the stream, whether or not it is whole."""
        if self._ended:
            return
        self._ended = True
        self._disconnect()
        for listener in self._end_listeners:
            listener()

    def _report_progress(self, unit_s: float) -> None:
        for listener in self._progress_listeners:
            listener(unit_s)

    @abc.abstractmethod
    def _disconnect(self) -> None:
        """Give the connection back or cut it."""
