"""Count the upstreams that crashed under each request."""

import collections
import enum
import threading
import time
import typing

# Distinct crashes from which on a request is refused.
MAX_CRASHES = 3
# A request with so many crashes is one short of being refused.
NEAR_MAX_CRASHES = MAX_CRASHES - 1
# A request is refused for this long after its last crash; after that it may
# run again like a suspect.
REFUSAL_S = 300.0
MEMORY_S = 600.0
# Requests that are remembered; those with the fewest crashes go first, and of
# them those without a crash for the longest time.
MAX_REQUESTS = 200
# Crashed incarnations that are remembered, and for how long: until their
# registrations have lapsed. A partition that refuses connections looks like a
# crash; after this time such an upstream is used again.
MAX_INCARNATIONS = 200
ENDED_S = 6.0

Incarnation = tuple[str, int]


class Crash(typing.NamedTuple):
    """The crash of an incarnation of an upstream under a request."""

    digest: str
    incarnation: Incarnation


class Standing(enum.Enum):
    """State how a request may be run, by the crashes under it."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    REFUSED = 'refused'


class CrashRegistry:
    """Remember crashes for a limited time, and a limited number of them."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        # By digest, the crashes and when this process learnt of them; the
        # digest whose last crash is oldest comes first.
        self._requests: collections.OrderedDict[str, dict[Crash, float]] = (
            collections.OrderedDict()
        )
        # Crashes whose records have not been appended to the log yet.
        self._unshared: set[Crash] = set()
        # When this process learnt of their end.
        self._ended: dict[Incarnation, float] = {}

    def standing(self, digest: str) -> Standing:
        """Return how a request may be run now."""
        crashes = self.crash_count(digest)
        if not crashes:
            return Standing.CLEAR
        is_recent = self.last_crash_age_s(digest) < REFUSAL_S
        if crashes >= MAX_CRASHES and is_recent:
            return Standing.REFUSED
        return Standing.SUSPECT

    def crash_count(self, digest: str) -> int:
        """Return how many incarnations crashed under a request."""
        with self._lock:
            return len(self._requests.get(digest, ()))

    def last_crash_age_s(self, digest: str) -> float:
        """Return the time since this process learnt of the last crash."""
        with self._lock:
            crashes = self._requests.get(digest)
            last = max(crashes.values()) if crashes else float('-inf')
        return time.monotonic() - last

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation has crashed lately."""
        ended_at = self._ended.get(incarnation, float('-inf'))
        return time.monotonic() - ended_at < ENDED_S

    def record_end(self, incarnation: Incarnation) -> None:
        """Remember that an incarnation has crashed."""
        with self._lock:
            self._record_end(incarnation)

    def add(self, crash: Crash) -> list[Crash]:
        """Add a crash seen by this instance; return what it displaces."""
        with self._lock:
            self._unshared.add(crash)
            return self._add(crash)

    def confirm(self, crash: Crash) -> None:
        """Add a crash that is on the log."""
        with self._lock:
            self._unshared.discard(crash)
            self._add(crash)

    def mark_shared(self, crash: Crash) -> None:
        """Note that the record of a crash was appended to the log."""
        with self._lock:
            self._unshared.discard(crash)

    def remove(self, crash: Crash) -> None:
        """Forget one crash."""
        with self._lock:
            self._remove(crash)

    def retain(self, present: typing.Container[Crash]) -> None:
        """Forget shared crashes that are no longer on the log."""
        with self._lock:
            for crash in self._crashes():
                if crash not in present and crash not in self._unshared:
                    self._remove(crash)

    def clear(self, digest: str) -> list[Crash]:
        """Forget the crashes under a request, and return them."""
        with self._lock:
            crashes = list(self._requests.get(digest, ()))
            for crash in crashes:
                self._remove(crash)
            return crashes

    def take_expired(self, memory_s: float = MEMORY_S) -> list[Crash]:
        """Forget requests without a crash for long; return their crashes."""
        expired: list[Crash] = []
        oldest = time.monotonic() - memory_s
        with self._lock:
            for crashes in list(self._requests.values()):
                if max(crashes.values()) <= oldest:
                    expired += crashes
            for crash in expired:
                self._remove(crash)
        return expired

    def _add(self, crash: Crash) -> list[Crash]:
        crashes = self._requests.setdefault(crash.digest, {})
        if crash in crashes:
            return []
        self._record_end(crash.incarnation)
        crashes[crash] = time.monotonic()
        self._requests.move_to_end(crash.digest)
        displaced: list[Crash] = []
        if len(self._requests) > MAX_REQUESTS:
            displaced = list(self._requests[self._least_suspect(crash)])
        for other in displaced:
            self._remove(other)
        return displaced

    def _least_suspect(self, added: Crash) -> str:
        """Return the request to forget for one that was added."""
        others = (
            digest for digest in self._requests if digest != added.digest
        )
        return min(others, key=lambda digest: len(self._requests[digest]))

    def _remove(self, crash: Crash) -> None:
        self._unshared.discard(crash)
        crashes = self._requests.get(crash.digest)
        if crashes is None:
            return
        crashes.pop(crash, None)
        if not crashes:
            del self._requests[crash.digest]

    def _record_end(self, incarnation: Incarnation) -> None:
        self._ended[incarnation] = time.monotonic()
        if len(self._ended) > MAX_INCARNATIONS:
            del self._ended[next(iter(self._ended))]

    def _crashes(self) -> list[Crash]:
        return [
            crash for crashes in self._requests.values() for crash in crashes
        ]
