"""Keep failed attempts until it shows whether their upstream has ended."""

import collections
import enum
import threading
import time
import typing

from ..ports import catalogue

from . import registry

# Attempts that are kept; the oldest are given up.
MAX_ATTEMPTS = 1000


class Ending(enum.Enum):
    """Tell how an attempt ended without a response; logs show the value."""

    # The upstream, or something on the way, closed the connection.
    CUT = 'cut'
    TIMED_OUT = 'timed_out'
    # Nobody waits for the response, but the request may still run.
    CALLER_LEFT = 'caller_left'


class UnresolvedAttempt(typing.NamedTuple):
    """An attempt after which its upstream may have ended or live on."""

    digest: str
    request_id: str
    entry: catalogue.UpstreamEntry
    ending: Ending
    # Monotonic time.
    ended_at: float

    @property
    def crash(self) -> registry.Crash:
        """Return the crash that it would be."""
        return registry.Crash(self.digest, self.entry.incarnation)


class UnresolvedAttempts:
    """Hold the attempts of one instance, oldest first."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._attempts: collections.OrderedDict[
            registry.Crash, UnresolvedAttempt
        ] = collections.OrderedDict()
        self._added = threading.Event()

    def add(self, attempt: UnresolvedAttempt) -> UnresolvedAttempt | None:
        """Keep an attempt; return the one that is given up for it, if any."""
        with self._lock:
            self._attempts.pop(attempt.crash, None)
            self._attempts[attempt.crash] = attempt
            given_up = None
            if len(self._attempts) > MAX_ATTEMPTS:
                _, given_up = self._attempts.popitem(last=False)
        self._added.set()
        return given_up

    def remove(self, attempts: typing.Iterable[UnresolvedAttempt]) -> None:
        """Forget attempts, unless the same one has failed again since."""
        with self._lock:
            for attempt in attempts:
                if self._attempts.get(attempt.crash) is attempt:
                    del self._attempts[attempt.crash]

    def forget_request(self, digest: str) -> None:
        """Forget the attempts of a request that an upstream completed."""
        with self._lock:
            for crash in [c for c in self._attempts if c.digest == digest]:
                del self._attempts[crash]

    def by_incarnation(
        self,
    ) -> dict[registry.Incarnation, list[UnresolvedAttempt]]:
        """Return all attempts by the incarnation of their upstream."""
        groups: dict[registry.Incarnation, list[UnresolvedAttempt]] = {}
        with self._lock:
            for attempt in self._attempts.values():
                group = groups.setdefault(attempt.entry.incarnation, [])
                group.append(attempt)
        return groups

    def wait(self) -> None:
        """Wait until there are attempts."""
        while True:
            with self._lock:
                if self._attempts:
                    return
                self._added.clear()
            self._added.wait()


def age_s(attempt: UnresolvedAttempt) -> float:
    """Return how long ago an attempt ended."""
    return time.monotonic() - attempt.ended_at
