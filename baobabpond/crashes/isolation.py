"""Keep runs of suspected requests apart from one another."""

import collections.abc
import threading
import time

from ..ports import catalogue

# Waiting requests occupy threads.
MAX_WAITING = 8
# Upstreams come and go while a request waits.
POLL_S = 0.05

Entries = list[catalogue.UpstreamEntry]
# Chooses one of some upstreams; None if none fits.
Choose = collections.abc.Callable[[Entries], catalogue.UpstreamEntry | None]


class Isolation:
    """Let an upstream run one suspect at a time, and each suspect once.

    Suspects that crashed an upstream together would otherwise be retried
    together, and share the next crash as well.
    """

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._running: dict[tuple[str, int], str] = {}
        self._waiting = 0

    def reserve(
        self,
        digest: str,
        list_entries: collections.abc.Callable[[], Entries],
        choose: Choose,
        timeout_s: float,
    ) -> catalogue.UpstreamEntry | None:
        """Wait for an upstream without a suspect and reserve it.

        Returns None if there is none in time, or no upstream to wait for.
        """
        ends_at = time.monotonic() + timeout_s
        with self._changed:
            if self._waiting >= MAX_WAITING:
                return None
            self._waiting += 1
            try:
                while entries := list_entries():
                    chosen = self._try_reserve(digest, entries, choose)
                    remaining_s = ends_at - time.monotonic()
                    if chosen is not None or remaining_s <= 0:
                        return chosen
                    self._changed.wait(min(POLL_S, remaining_s))
                return None
            finally:
                self._waiting -= 1

    def release(self, entry: catalogue.UpstreamEntry) -> None:
        """Free a reserved upstream for other suspects."""
        with self._changed:
            self._running.pop(entry.incarnation, None)
            self._changed.notify_all()

    def _try_reserve(
        self, digest: str, entries: Entries, choose: Choose
    ) -> catalogue.UpstreamEntry | None:
        if digest in self._running.values():
            return None
        free = [e for e in entries if e.incarnation not in self._running]
        chosen = choose(free)
        if chosen is not None:
            self._running[chosen.incarnation] = digest
        return chosen
