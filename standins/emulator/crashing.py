"""Decide what becomes of the runs of a request that crashes upstreams."""

import itertools
import threading

CRASH_AFTER_S = 0.01


class Crashing:
    """Let each run crash its upstream, or let some of them fail instead."""

    def __init__(self) -> None:
        # Crashed upstreams keep their connections and don't answer.
        self.is_silent = False
        # How long a run lasts until it crashes its upstream.
        self.after_s = CRASH_AFTER_S
        # Repeated for the runs one after the other: whether a run gets a
        # server error instead of crashing its upstream.
        self.failing_pattern: tuple[bool, ...] = (False,)
        self._lock = threading.Lock()
        self._numbers = itertools.count()

    def next_run_fails(self) -> bool:
        """Return whether the next run only fails."""
        with self._lock:
            number = next(self._numbers)
        return self.failing_pattern[number % len(self.failing_pattern)]
