"""Bound how long threads wait for slow clients."""

import collections.abc
import select
import socket
import threading
import time

from . import client_limits

# Waits shorter than this, in total for one body or response, are usual and
# take no slot.
SLOW_AFTER_S = 0.25
# A slot is kept for at least this long.
MIN_HELD_S = 1.0
# How soon a thread notices that its client has lost its slot.
EVICTION_POLL_S = 0.1
MS_PER_S = 1000
# The HTTP library recognises a time-out by this message.
TIMED_OUT = 'timed out'


class TooManySlowClients(Exception):
    """Raised where no further thread may wait for a slow client."""


class SlowClients:
    """Let a part of the threads wait for slow clients.

    When all slots are taken, the client with the lowest rate loses its slot.
    """

    def __init__(self, slots: int) -> None:
        self._slots = slots
        self._lock = threading.Lock()
        self._holders: set[Pace] = set()

    @property
    def count(self) -> int:
        """Return the number of threads that wait for slow clients."""
        return len(self._holders)

    def enter(self, pace: 'Pace') -> None:
        """Take a slot; raise TooManySlowClients if there is none."""
        with self._lock:
            if len(self._holders) >= self._slots:
                self._evict()
            self._holders.add(pace)

    def leave(self, pace: 'Pace') -> None:
        """Give a slot back, if one was taken."""
        with self._lock:
            self._holders.discard(pace)

    def _evict(self) -> None:
        candidates = [
            p for p in self._holders if p.waited_s >= SLOW_AFTER_S + MIN_HELD_S
        ]
        if not candidates:
            raise TooManySlowClients()
        slowest = min(candidates, key=lambda pace: pace.bytes_per_s)
        self._holders.discard(slowest)
        slowest.evict()


class Pace:
    """Wait for one client in one direction, within its limits.

    Counts the time of waiting only, so that a body or a stream may take long
    where the delay is not the client's.
    """

    def __init__(
        self,
        sock: socket.socket,
        event: int,
        limits: client_limits.ClientLimits,
        silence_s: float,
        slow_clients: SlowClients,
        # Called with the name of a limit that the client exceeds.
        report: collections.abc.Callable[[str], None],
    ) -> None:
        self._report = report
        self._socket = sock
        self._event = event
        self._kind = 'body' if event & select.POLLIN else 'reader'
        self._limits = limits
        # Longest time without any progress.
        self._silence_s = silence_s
        self._slow_clients = slow_clients
        self._has_slot = False
        self._is_evicted = False
        self._bytes = 0
        self._waited_s = 0.0
        self._waits_since: float | None = None

    @property
    def waited_s(self) -> float:
        """Return the time of waiting so far, in seconds."""
        since = self._waits_since
        if since is None:
            return self._waited_s
        return self._waited_s + time.monotonic() - since

    @property
    def bytes_per_s(self) -> float:
        """Return the rate of the client while it was waited for."""
        return self._bytes / max(self.waited_s, SLOW_AFTER_S)

    def progress(self, size: int) -> None:
        """Count bytes that the client has sent or taken."""
        self._bytes += size

    def evict(self) -> None:
        """End the wait for the client; called from another thread."""
        self._is_evicted = True
        self._report(f'slow_{self._kind}_slots')

    def wait(self) -> None:
        """Wait until the client is ready.

        Raises TimeoutError if it is too slow, and TooManySlowClients if
        others have to be waited for instead.
        """
        allowed_s = (
            self._limits.slow_client_grace_s
            + self._bytes / self._limits.min_client_bytes_per_s
            - self._waited_s
        )
        left_s = min(self._silence_s, allowed_s)
        usual_s = SLOW_AFTER_S - self._waited_s
        if not self._has_slot and usual_s > 0:
            if self._poll(min(usual_s, left_s)):
                return
            left_s -= usual_s
        if left_s > 0:
            self._take_slot()
            if self._poll_slowly(left_s):
                return
        self._report(f'slow_{self._kind}')
        raise TimeoutError(TIMED_OUT)

    def end(self) -> None:
        """Reset the counts and give back the slot after a body or response."""
        if self._has_slot:
            self._slow_clients.leave(self)
            self._has_slot = False
        self._is_evicted = False
        self._bytes = 0
        self._waited_s = 0.0

    def _take_slot(self) -> None:
        if self._has_slot:
            return
        try:
            self._slow_clients.enter(self)
        except TooManySlowClients:
            self._report(f'slow_{self._kind}_slots')
            raise
        self._has_slot = True

    def _poll_slowly(self, timeout_s: float) -> bool:
        """Wait with a slot; raise TooManySlowClients once it is lost."""
        while timeout_s > 0:
            is_ready = self._poll(min(timeout_s, EVICTION_POLL_S))
            if self._is_evicted:
                raise TooManySlowClients()
            if is_ready:
                return True
            timeout_s -= EVICTION_POLL_S
        return False

    def _poll(self, timeout_s: float) -> bool:
        poll = select.poll()
        poll.register(self._socket, self._event)
        self._waits_since = time.monotonic()
        try:
            return bool(poll.poll(timeout_s * MS_PER_S))
        finally:
            self._waited_s = self.waited_s
            self._waits_since = None
