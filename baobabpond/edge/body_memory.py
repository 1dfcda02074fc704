"""Bound the memory that bodies of requests and responses take up."""

import threading
import time
import types
import typing

from .. import metrics as metrics_module

# Smaller bodies don't count: a body for each thread is little.
SMALL_BYTES = 65536
# While a body is put together from its parts, these and the whole exist side
# by side.
COPIES = 2
BYTES_PER_MB = 1_000_000
# Of the memory limit of a process, for the bodies of requests, and as much
# for those of responses, unless the settings tell it.
DEFAULT_SHARE = 0.175
# Without a memory limit.
DEFAULT_MB = 512.0


class BodyReader(typing.Protocol):
    """What a request's body is read from."""

    def readline(self) -> bytes:
        """Read a line."""
        ...

    def read(self, size: int) -> bytes:
        """Read a number of bytes."""
        ...


def limit_mb(memory_mb: float, body_memory_mb: float | None) -> float:
    """Return the limit for the bodies of one direction, from settings."""
    if body_memory_mb is not None:
        return body_memory_mb
    return memory_mb * DEFAULT_SHARE if memory_mb else DEFAULT_MB


class BodyMemory:
    """Hand out memory for bodies up to a limit.

    A body beyond the limit gets it too while no other body is held, so that
    it is refused only for a time.
    """

    def __init__(
        self, name: str, limit_bytes: float, metrics: metrics_module.Metrics
    ) -> None:
        self._name = name
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._changed = threading.Condition()
        self._used = 0
        metrics.gauge(f'edge.body_memory.{name}.limit_bytes', limit_bytes)

    def reservation(self) -> 'Reservation':
        """Return a reservation of nothing yet."""
        return Reservation(self)

    def try_grow(self, held: int, size: int, timeout_s: float = 0.0) -> bool:
        """Reserve more for a body that holds some; wait for it if asked."""
        ends_at = time.monotonic() + timeout_s
        with self._changed:
            while self._used > held and self._used + size > self._limit_bytes:
                remaining_s = ends_at - time.monotonic()
                if remaining_s <= 0:
                    self._metrics.count(f'edge.body_memory.{self._name}.full')
                    return False
                self._changed.wait(remaining_s)
            self._add(size)
            return True

    def release(self, size: int) -> None:
        """Give memory back."""
        with self._changed:
            self._add(-size)
            self._changed.notify_all()

    def _add(self, size: int) -> None:
        self._used += size
        self._metrics.gauge(
            f'edge.body_memory.{self._name}.used_bytes', self._used
        )


class Reservation:
    """Context manager for the memory of one body."""

    def __init__(self, memory: BodyMemory) -> None:
        self._memory = memory
        self._held = 0
        self._seen = 0

    @property
    def is_held(self) -> bool:
        """Return whether any memory is reserved."""
        return self._held > 0

    def __enter__(self) -> 'Reservation':
        """Return the reservation itself."""
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: types.TracebackType | None,
    ) -> None:
        """Give the memory back."""
        self.release()

    def try_add(self, size: int, timeout_s: float = 0.0) -> bool:
        """Reserve memory for further bytes; return whether there is any."""
        self._seen += size
        if self._seen <= SMALL_BYTES:
            return True
        wanted = self._seen * COPIES - self._held
        if not self._memory.try_grow(self._held, wanted, timeout_s):
            return False
        self._held += wanted
        return True

    def shrink(self, size: int) -> None:
        """Keep memory for one copy of a whole body."""
        if self._held > size:
            self._memory.release(self._held - size)
            self._held = size

    def release(self) -> None:
        """Give the memory back."""
        self.shrink(0)


class ReservingReader:
    """Reserve memory for each chunk of a body before it is read."""

    def __init__(
        self,
        reader: BodyReader,
        reserve: typing.Callable[[int], None],
    ) -> None:
        self._reader = reader
        self._reserve = reserve

    def readline(self) -> bytes:
        """Read the head of a chunk, or a trailer."""
        return self._reader.readline()

    def read(self, size: int) -> bytes:
        """Read a chunk; raise what the reservation raises."""
        self._reserve(size)
        return self._reader.read(size)

    def close(self) -> None:
        """Leave the connection open for the next request."""
