"""Bound the memory that bodies of requests and responses take up."""

import collections.abc
import contextlib
import threading
import time
import types
import typing

from .. import metrics as metrics_module

# Smaller bodies are not counted: even one for each thread takes little.
SMALL_BYTES = 65536
# While a body is put together from its parts, these and the whole exist side
# by side.
COPIES = 2
BYTES_PER_MB = 1_000_000
# Share of the memory limit of the process for the bodies of requests, and the
# same again for those of responses, unless the settings give a limit.
DEFAULT_SHARE = 0.175
# An address competes for memory for this long after its last request for some.
CONTENTION_S = 10.0
# A body is slow only after its client has been waited for this long in total.
SLOW_BODY_S = 2.0
# Limit for bodies of one direction where the process has no memory limit.
DEFAULT_MB = 512.0


class Waiter(typing.Protocol):
    """Wait for the bytes of a body."""

    @property
    def waited_s(self) -> float:
        """Return the time of waiting so far, in seconds."""
        ...

    @property
    def bytes_per_s(self) -> float:
        """Return the rate at which the body arrived meanwhile."""
        ...

    def evict(self) -> None:
        """Stop receiving the body; called from another thread."""
        ...


def limit_mb(memory_mb: float, body_memory_mb: float | None) -> float:
    """Return the limit for the bodies of one direction, from settings."""
    if body_memory_mb is not None:
        return body_memory_mb
    return memory_mb * DEFAULT_SHARE if memory_mb else DEFAULT_MB


class BodyMemory:
    """Hand out memory for bodies up to a limit.

    A body beyond the limit gets it too while no other body is held, so that
    it is refused only for a time. While several addresses ask for memory,
    none of them gets more than its share.
    """

    def __init__(
        self,
        name: str,
        limit_bytes: float,
        metrics: metrics_module.Metrics,
        address_share: float = 1.0,
        # Slower bodies make room while others ask for memory.
        min_bytes_per_s: float = 0.0,
    ) -> None:
        self._min_bytes_per_s = min_bytes_per_s
        self._address_bytes = limit_bytes * address_share
        self._used_by: dict[str, int] = {}
        self._asked_at: dict[str, float] = {}
        # Of the bodies that are being received.
        self._waiters: dict[Waiter, Reservation] = {}
        self._name = name
        self._limit_bytes = limit_bytes
        self._metrics = metrics
        self._changed = threading.Condition()
        self._used = 0
        metrics.gauge(f'edge.body_memory.{name}.limit_bytes', limit_bytes)

    def reservation(self, address: str = '') -> 'Reservation':
        """Return a reservation of nothing yet, for a client's address."""
        return Reservation(self, address)

    def try_grow(
        self, held: int, size: int, timeout_s: float = 0.0, address: str = ''
    ) -> bool:
        """Reserve more for a body that holds some; wait for it if asked."""
        ends_at = time.monotonic() + timeout_s
        with self._changed:
            self._record_demand(address)
            while not self._has_room(held, size, address):
                remaining_s = ends_at - time.monotonic()
                if remaining_s <= 0:
                    self._evict_slowest()
                    self._metrics.count(f'edge.body_memory.{self._name}.full')
                    return False
                self._changed.wait(remaining_s)
            self._add(size, address)
            return True

    def release(self, size: int, address: str = '') -> None:
        """Give memory back."""
        with self._changed:
            self._add(-size, address)
            self._changed.notify_all()

    def _has_room(self, held: int, size: int, address: str) -> bool:
        if self._used <= held:
            return True
        if self._used + size > self._limit_bytes:
            return False
        used = self._used_by.get(address, 0)
        is_contended = len(self._asked_at) > 1 and used > held
        return not is_contended or used + size <= self._address_bytes

    def add_waiter(self, waiter: Waiter, reservation: 'Reservation') -> None:
        """Record that the body of a reservation is being received."""
        with self._changed:
            self._waiters[waiter] = reservation

    def remove_waiter(self, waiter: Waiter) -> None:
        """Record that a body is no longer being received."""
        with self._changed:
            self._waiters.pop(waiter, None)

    def _evict_slowest(self) -> None:
        """Evict the slowest body, if any is slow, to free its memory."""
        slow = [
            waiter
            for waiter, reservation in self._waiters.items()
            if reservation.is_held
            and waiter.waited_s >= SLOW_BODY_S
            and waiter.bytes_per_s < self._min_bytes_per_s
        ]
        if slow:
            slowest = min(slow, key=lambda waiter: waiter.bytes_per_s)
            del self._waiters[slowest]
            slowest.evict()

    def _record_demand(self, address: str) -> None:
        """Record that an address asks for memory, and forget old demands."""
        now = time.monotonic()
        # Kept in the order of the last demand.
        self._asked_at.pop(address, None)
        self._asked_at[address] = now
        while True:
            oldest = next(iter(self._asked_at))
            if now - self._asked_at[oldest] <= CONTENTION_S:
                return
            del self._asked_at[oldest]

    def _add(self, size: int, address: str) -> None:
        self._used += size
        self._used_by[address] = self._used_by.get(address, 0) + size
        if self._used_by[address] <= 0:
            del self._used_by[address]
        self._metrics.gauge(
            f'edge.body_memory.{self._name}.used_bytes', self._used
        )


class Reservation:
    """Context manager for the memory of one body."""

    def __init__(self, memory: BodyMemory, address: str = '') -> None:
        self._memory = memory
        self._address = address
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
        if not self._memory.try_grow(
            self._held, wanted, timeout_s, self._address
        ):
            return False
        self._held += wanted
        return True

    def try_hold(self, size: int, timeout_s: float = 0.0) -> bool:
        """Reserve memory for what is made of the body."""
        if size <= SMALL_BYTES:
            return True
        if not self._memory.try_grow(
            self._held, size, timeout_s, self._address
        ):
            return False
        self._held += size
        return True

    @contextlib.contextmanager
    def waiting(self, waiter: Waiter) -> collections.abc.Iterator[None]:
        """Let the body be given up while it is received slowly."""
        self._memory.add_waiter(waiter, self)
        try:
            yield
        finally:
            self._memory.remove_waiter(waiter)

    def shrink(self, size: int) -> None:
        """Keep memory for one copy of a whole body."""
        if self._held > size:
            self._memory.release(self._held - size, self._address)
            self._held = size

    def release(self) -> None:
        """Give the memory back."""
        self.shrink(0)
